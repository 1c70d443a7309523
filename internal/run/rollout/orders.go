// This file defines the duty to send engines their orders. One node has it for the whole fleet, because an engine
// has one fencing number and the weight store one rate.

package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/ownership"
	core "ebonyferry/internal/core/rollout"
	"ebonyferry/internal/edge/engine"
	"ebonyferry/internal/edge/kvstore"
)

const (
	ordersKey = "orders"
	// probeInterval is how often engines are queried for their versions, idleProbeInterval how often once all orders
	// are carried out.
	probeInterval     = 5 * time.Second
	idleProbeInterval = time.Minute
	probeTimeout      = 2 * time.Second
	// orderTimeout is well below the time that a core.OrderPlanner waits after a takeover for orders in transit.
	orderTimeout     = 5 * time.Second
	probeConcurrency = 16
)

// prober queries engines in the background for the versions that they have loaded. Only one goroutine calls its
// methods.
type prober struct {
	dial      func(addr netip.AddrPort) Engine
	engines   map[netip.AddrPort]Engine
	nextProbe time.Time // time of the next probe
	latest    atomic.Pointer[probeResult]
	probing   atomic.Bool
}

// probeResult holds the answers of engines to one probe. It is immutable.
type probeResult struct {
	in      *bundle.InForce
	reports map[string][]bundle.ModelVersion // by server that manages versions
	absent  map[string]bool                  // servers that did not answer
}

func newProber(dial func(addr netip.AddrPort) Engine) *prober {
	return &prober{dial: dial, engines: make(map[netip.AddrPort]Engine)}
}

func (p *prober) close() {
	for _, e := range p.engines {
		e.Close()
	}
}

// update starts a probe of the engines of a model, or of all engines if model is empty, when the next probe is due or
// the bundle has changed.
func (p *prober) update(ctx context.Context, in *bundle.InForce, model string, now time.Time) {
	last := p.latest.Load()
	if p.probing.Load() || now.Before(p.nextProbe) && last != nil && last.in.Head.BundleSince == in.Head.BundleSince {
		return
	}
	p.nextProbe = now.Add(probeInterval)
	engines := make(map[string]Engine) // by server
	for _, s := range in.Bundle.Servers {
		serves := slices.ContainsFunc(s.Models, func(mv bundle.ModelVersion) bool { return mv.Model == model })
		if s.Kind == bundle.KindEngine && (model == "" || serves) {
			engines[s.ID] = p.engine(s.Addr)
		}
	}
	p.probing.Store(true)
	go func() {
		defer p.probing.Store(false)
		p.latest.Store(probe(ctx, in, engines))
	}()
}

func probe(ctx context.Context, in *bundle.InForce, engines map[string]Engine) *probeResult {
	answer := &probeResult{in: in, reports: make(map[string][]bundle.ModelVersion), absent: make(map[string]bool)}
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(probeConcurrency)
	for id, e := range engines {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			load, err := e.Load(ctx)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				answer.absent[id] = true
			case load.Models != nil:
				answer.reports[id] = load.Models
			}
			return nil
		})
	}
	_ = g.Wait() // absent holds the engines that did not answer
	return answer
}

func (p *prober) engine(addr netip.AddrPort) Engine {
	e := p.engines[addr]
	if e == nil {
		e = p.dial(addr)
		p.engines[addr] = e
	}
	return e
}

// ready returns the fraction of a version's servers that have loaded it, by the latest probe.
func (p *prober) ready(mv bundle.ModelVersion) float64 {
	last := p.latest.Load()
	if last == nil {
		return 0
	}
	return core.Ready(last.in, mv, last.reports, last.absent)
}

// orderDuty is the duty to send orders, while this node has it.
type orderDuty struct {
	*prober
	fence   uint64
	core    *core.OrderPlanner
	planned *probeResult // result that the last plan was made from
}

// orderRecord is the state that the holder of the duty keeps in the store.
type orderRecord struct {
	Fence uint64 `json:"fence"`
	Owner string `json:"owner"`
}

// sendDueOrders takes the duty over if this node owns it, and sends the orders that are due.
func (r *Rollout) sendDueOrders(ctx context.Context, in *bundle.InForce, now time.Time) {
	view := r.view()
	if !ownership.OwnedBySelf(view, ownership.KindRollout, ordersKey, ownership.AnyRegion, now) {
		r.dropOrderDuty()
		return
	}
	if r.orders == nil {
		fence, err := r.claimOrderDuty(ctx, view.Self)
		if err != nil {
			return
		}
		r.orders = &orderDuty{prober: newProber(r.dial), fence: fence, core: core.NewOrderPlanner(now)}
	}
	d := r.orders
	d.update(ctx, in, "", now)
	last := d.latest.Load()
	if last == nil || last == d.planned {
		return
	}
	d.planned = last
	orders := d.core.Plan(in, last.reports, now)
	if len(orders) == 0 && last.settled() {
		d.nextProbe = now.Add(idleProbeInterval)
	}
	for _, o := range orders {
		if !r.view().HoldsLease(time.Now()) {
			return
		}
		r.sendOrder(ctx, d, o)
	}
}

// settled reports whether every engine answered and those that manage versions have loaded all versions listed for
// them.
func (p *probeResult) settled() bool {
	for _, s := range p.in.Bundle.Servers {
		for _, mv := range s.Models {
			if loaded, ok := p.reports[s.ID]; ok && !slices.Contains(loaded, mv) || p.absent[s.ID] {
				return false
			}
		}
	}
	return true
}

// claimOrderDuty increments the fencing number in the store and returns it.
func (r *Rollout) claimOrderDuty(ctx context.Context, self string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var rec orderRecord
	entry, err := r.store.Get(ctx, storePrefix+"_"+ordersKey)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return 0, err
	}
	if err == nil {
		if err := json.Unmarshal(entry.Value, &rec); err != nil {
			return 0, err
		}
	}
	rec.Fence++
	rec.Owner = self
	value, err := json.Marshal(rec)
	if err != nil {
		return 0, err
	}
	_, err = r.store.CompareAndSwap(ctx, storePrefix+"_"+ordersKey, entry.Revision, value, 0)
	return rec.Fence, err // after an unknown outcome the number stays unused
}

// sendOrder sends one order. If the engine does not accept it, the next plan contains it again.
func (r *Rollout) sendOrder(ctx context.Context, d *orderDuty, o core.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	kind := engine.OrderUnload
	if o.Serve {
		kind = engine.OrderServe
	}
	err := d.engine(o.Server.Addr).Order(ctx, engine.Order{Fence: d.fence, Kind: kind, Model: o.Model})
	fields := event.Fields{"server": o.Server.ID, "order": string(kind), "model": o.Model.Model, "version": o.Model.Version, "fence": d.fence}
	if err != nil {
		d.core.RecordFailure(o)
		fields["cause"] = err.Error()
		event.Log(r.log, event.OrderFailed, fields)
		return
	}
	event.Log(r.log, event.OrderGiven, fields)
}

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

// This file defines the duty of giving engines their orders. One node holds it for the whole fleet, since an
// engine has one fencing number and the weight store one rate.

const (
	ordersKey = "orders"
	// probeTime is how often engines are asked what they hold while something is to be done, idleProbeTime else.
	probeTime     = 5 * time.Second
	idleProbeTime = time.Minute
	probeTimeout  = 2 * time.Second
	// orderTimeout is well below the time for which the next holder waits.
	orderTimeout     = 5 * time.Second
	probeConcurrency = 16
)

// prober asks engines which versions they hold, in the background. Its methods are called by one goroutine.
type prober struct {
	dial    func(addr netip.AddrPort) Engine
	engines map[netip.AddrPort]Engine
	next    time.Time // when engines are asked again
	latest  atomic.Pointer[probed]
	asking  atomic.Bool
}

// probed is what engines answered. It is immutable.
type probed struct {
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

// Begins to ask the engines of a model, or all when model is empty, unless that was done a short while ago.
func (p *prober) update(ctx context.Context, in *bundle.InForce, model string, now time.Time) {
	last := p.latest.Load()
	if p.asking.Load() || now.Before(p.next) && last != nil && last.in.Head.BundleSince == in.Head.BundleSince {
		return
	}
	p.next = now.Add(probeTime)
	engines := make(map[string]Engine) // by server
	for _, s := range in.Bundle.Servers {
		serves := slices.ContainsFunc(s.Models, func(mv bundle.ModelVersion) bool { return mv.Model == model })
		if s.Kind == bundle.KindEngine && (model == "" || serves) {
			engines[s.ID] = p.engine(s.Addr)
		}
	}
	p.asking.Store(true)
	go func() {
		defer p.asking.Store(false)
		p.latest.Store(ask(ctx, in, engines))
	}()
}

func ask(ctx context.Context, in *bundle.InForce, engines map[string]Engine) *probed {
	answer := &probed{in: in, reports: make(map[string][]bundle.ModelVersion), absent: make(map[string]bool)}
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
	_ = g.Wait() // who did not answer stands in absent
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

// Returns the part of a version's servers that hold it, as far as is known.
func (p *prober) ready(mv bundle.ModelVersion) float64 {
	last := p.latest.Load()
	if last == nil {
		return 0
	}
	return core.Ready(last.in, mv, last.reports, last.absent)
}

// orderDuty is the duty while this node holds it.
type orderDuty struct {
	*prober
	fence   uint64
	core    *core.OrderPlanner
	planned *probed // answers that the last plan was made from
}

// orderRecord is what the holder of the duty keeps in the store.
type orderRecord struct {
	Fence uint64 `json:"fence"`
	Owner string `json:"owner"`
}

// Takes the duty up when this node owns it, and gives the orders that are due.
func (r *Rollout) order(ctx context.Context, in *bundle.InForce, now time.Time) {
	view := r.view()
	if !ownership.OwnedBySelf(view, ownership.KindRollout, ordersKey, ownership.AnyRegion, now) {
		r.dropOrders()
		return
	}
	if r.orders == nil {
		fence, err := r.claimOrders(ctx, view.Self)
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
		d.next = now.Add(idleProbeTime)
	}
	for _, o := range orders {
		if !r.view().HoldsLease(time.Now()) {
			return
		}
		r.give(ctx, d, o)
	}
}

// Reports whether every engine answered and those that manage versions hold all they are to hold.
func (p *probed) settled() bool {
	for _, s := range p.in.Bundle.Servers {
		for _, mv := range s.Models {
			if loaded, ok := p.reports[s.ID]; ok && !slices.Contains(loaded, mv) || p.absent[s.ID] {
				return false
			}
		}
	}
	return true
}

// Raises the fencing number in the store and returns it.
func (r *Rollout) claimOrders(ctx context.Context, self string) (uint64, error) {
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
	return rec.Fence, err // an unknown outcome leaves a number unused
}

// Gives one order.
func (r *Rollout) give(ctx context.Context, d *orderDuty, o core.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	kind := engine.OrderUnload
	if o.Serve {
		kind = engine.OrderServe
	}
	err := d.engine(o.Server.Addr).Order(ctx, engine.Order{Fence: d.fence, Kind: kind, Model: o.Model})
	fields := event.Fields{"server": o.Server.ID, "order": string(kind), "model": o.Model.Model, "version": o.Model.Version, "fence": d.fence}
	if err != nil {
		d.core.Failed(o)
		fields["cause"] = err.Error()
		event.Log(r.log, event.OrderFailed, fields)
		return
	}
	event.Log(r.log, event.OrderGiven, fields)
}

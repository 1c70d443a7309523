// Package rollout runs rollouts on a node. Package core/rollout makes the decisions.
//
// Every node has an Observer, which collects evidence from the requests that the node serves, and a Rollout, which
// sends this evidence to the model's controller. On strong evidence from its own requests the node cuts off a new
// version without waiting for the controller. The node that owns a model controls its rollout, and one node sends
// engines the orders to load and unload versions.
//
// The head of the configuration holds the decisions. The store holds each controller's checkpoint and fencing number
// under rollout/<model>, from which the next controller continues.
package rollout

import (
	"context"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/ownership"
	core "ebonyferry/internal/core/rollout"
	"ebonyferry/internal/edge/document"
	"ebonyferry/internal/edge/engine"
	"ebonyferry/internal/edge/node"
)

const (
	tickInterval = time.Second
	// minGroupedNodes is the least number of nodes for which evidence is summed by groups before it goes to the
	// controller.
	minGroupedNodes = 26
	// largeFleetReportInterval is how often a node of a fleet with groups sends evidence.
	largeFleetReportInterval = 2 * core.Period
	pathReport               = "/rollout/report"
	pathCut                  = "/rollout/cut"
)

// Engine is the part of a model engine that the package calls.
type Engine interface {
	Load(ctx context.Context) (engine.Load, error)
	Order(ctx context.Context, order engine.Order) error
	Close()
}

// Rollout runs a node's part in rollouts.
type Rollout struct {
	store       document.Store
	view        func() *membership.View
	inForce     func() *bundle.InForce // returns nil before the node has a configuration
	peers       *node.Client
	observer    *Observer
	dial        func(addr netip.AddrPort) Engine
	cutsChanged func() // called when the result of ApplyCuts changes
	log         log.Interface

	mu     sync.Mutex
	locals map[string]*localJudgement // by model with an active rollout; guarded by mu
	// summed holds the group's evidence that is to be sent to the controller, by model; guarded by mu.
	summed map[string]core.Evidence
	// inbox holds evidence for controllers on this node, by model; guarded by mu.
	inbox map[string]core.Evidence
	// cuts holds controllers' verdicts that the head does not yet show, by model; guarded by mu.
	cuts map[string]cutMessage

	controllers map[string]*controller // by model that this node owns; used by runRollouts only
	orders      *orderDuty             // nil while this node does not have the duty; used by runOrders only
}

// localJudgement is this node's own judgement of a model's new versions.
type localJudgement struct {
	since bundle.Revision // BundleSince of the rollout
	judge *core.LocalJudge
	cut   string // why the node cuts off the new versions, or empty
}

// Option configures a Rollout.
type Option func(*Rollout)

// WithLog sets where events are logged.
func WithLog(l log.Interface) Option { return func(r *Rollout) { r.log = l } }

// WithEngines sets how to connect to engines.
func WithEngines(dial func(addr netip.AddrPort) Engine) Option {
	return func(r *Rollout) { r.dial = dial }
}

// WithCutsChanged sets a function that is called when the result of ApplyCuts changes.
func WithCutsChanged(fn func()) Option { return func(r *Rollout) { r.cutsChanged = fn } }

// New returns the Rollout of a node. observer collects the node's evidence. inForce returns the node's configuration,
// or nil before it has one.
func New(store document.Store, view func() *membership.View, inForce func() *bundle.InForce, peers *node.Client, observer *Observer, opts ...Option) *Rollout {
	r := &Rollout{
		store: store, view: view, inForce: inForce, peers: peers, observer: observer,
		dial:        func(addr netip.AddrPort) Engine { return engine.New(addr) },
		cutsChanged: func() {}, log: log.Log,
		locals: make(map[string]*localJudgement), summed: make(map[string]core.Evidence), inbox: make(map[string]core.Evidence),
		cuts: make(map[string]cutMessage), controllers: make(map[string]*controller),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Mount adds the handlers of messages from other nodes to the router of the node-to-node listener.
func (r *Rollout) Mount(router chi.Router) {
	node.Handle(router, pathReport, r.handleReport)
	node.Handle(router, pathCut, r.handleCut)
}

// Run runs the node's part in rollouts until ctx ends.
func (r *Rollout) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.runRollouts(ctx) })
	g.Go(func() error { return r.runOrders(ctx) })
	return g.Wait()
}

// runRollouts sends evidence, updates the cuts and controls the rollouts that this node owns.
func (r *Rollout) runRollouts(ctx context.Context) error {
	var periodAt time.Time
	return r.everyTick(ctx, func(in *bundle.InForce, now time.Time) {
		if now.Sub(periodAt) >= reportInterval(len(r.view().Nodes)) {
			periodAt = now
			r.endPeriod(ctx, in, now)
		}
		r.updateCuts(in, now)
		r.control(ctx, in, now)
	})
}

// reportInterval returns how often nodes send evidence and a controller judges it. It is longer in a large fleet, so
// that neither an aggregator nor the controller receives more than a node may.
func reportInterval(nodes int) time.Duration {
	if nodes < minGroupedNodes {
		return core.Period
	}
	return largeFleetReportInterval
}

// runOrders sends engines their orders while this node has that duty.
func (r *Rollout) runOrders(ctx context.Context) error {
	defer r.dropOrderDuty()
	return r.everyTick(ctx, func(in *bundle.InForce, now time.Time) { r.sendDueOrders(ctx, in, now) })
}

// everyTick calls fn at each tick with the configuration in force, until ctx ends.
func (r *Rollout) everyTick(ctx context.Context, fn func(in *bundle.InForce, now time.Time)) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if in := r.inForce(); in != nil {
			fn(in, time.Now())
		}
	}
}

func (r *Rollout) dropOrderDuty() {
	if r.orders != nil {
		r.orders.close()
		r.orders = nil
	}
}

// activeModels returns the models with an active rollout, sorted.
func activeModels(in *bundle.InForce) []string {
	var models []string
	for model, ro := range in.Head.Rollouts {
		if ro.Active() {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return models
}

// endPeriod judges and sends this node's evidence of the last period, and sends the evidence that it summed for its
// group.
func (r *Rollout) endPeriod(ctx context.Context, in *bundle.InForce, now time.Time) {
	models := activeModels(in)
	evidence := r.observer.takeEvidence(models)
	view := r.view()
	for _, model := range models {
		e, ok := evidence[model]
		if !ok {
			continue
		}
		r.addLocalEvidence(in, model, e, now)
		e.TrimUses(candidateVersions(in, model))
		r.send(ctx, view, aggregator(view, model), reportMessage{Model: model, Since: in.Head.BundleSince, Report: e.Report()})
	}
	r.sendSummed(ctx, in, view)
}

// candidateVersions returns the versions whose shares the rollout increases.
func candidateVersions(in *bundle.InForce, model string) []string {
	plan, _ := core.PlanOf(in, model)
	candidates, _ := plan.SplitVersions()
	return candidates
}

// addLocalEvidence adds the evidence of a period to this node's own judgement of a model.
func (r *Rollout) addLocalEvidence(in *bundle.InForce, model string, e core.Evidence, now time.Time) {
	plan, ok := core.PlanOf(in, model)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.locals[model]
	if l == nil || l.since != in.Head.BundleSince {
		l = &localJudgement{since: in.Head.BundleSince, judge: core.NewLocalJudge(plan)}
		r.locals[model] = l
	}
	l.judge.Add(e, now)
}

// sendSummed sends the group's evidence to the controllers.
func (r *Rollout) sendSummed(ctx context.Context, in *bundle.InForce, view *membership.View) {
	r.mu.Lock()
	summed := r.summed
	r.summed = make(map[string]core.Evidence)
	r.mu.Unlock()
	for model, e := range summed {
		e.TrimUses(candidateVersions(in, model))
		r.send(ctx, view, controllerNode(view, model), reportMessage{Model: model, Since: in.Head.BundleSince, Summed: true, Report: e.Report()})
	}
}

// controllerNode returns the node that owns the rollout of a model.
func controllerNode(view *membership.View, model string) membership.Node {
	n, _ := ownership.Owner(view, ownership.KindRollout, model, ownership.AnyRegion)
	return n
}

// aggregator returns the node that sums the evidence of this node's group. In a small fleet that is the controller. In
// a large one there are about as many groups as each group has nodes.
func aggregator(view *membership.View, model string) membership.Node {
	if len(view.Nodes) < minGroupedNodes {
		return controllerNode(view, model)
	}
	groups := int(math.Sqrt(float64(len(view.Nodes))))
	i, _ := slices.BinarySearchFunc(view.Nodes, view.Self, func(n membership.Node, name string) int {
		switch {
		case n.Name < name:
			return -1
		case n.Name > name:
			return 1
		}
		return 0
	})
	n, _ := ownership.Owner(view, ownership.KindRollout, fmt.Sprintf("%s/%d", model, i%groups), ownership.AnyRegion)
	return n
}

// reportMessage carries evidence to an aggregator, or summed evidence to the controller.
type reportMessage struct {
	Model  string          `json:"model"`
	Since  bundle.Revision `json:"since"`
	Summed bool            `json:"summed,omitempty"`
	Report core.Report     `json:"report"`
}

// cutMessage is a controller's verdict that the head does not yet show.
type cutMessage struct {
	Model  string          `json:"model"`
	Since  bundle.Revision `json:"since"`
	Reason string          `json:"reason"`
}

// received is the answer to both messages.
type received struct{}

// send sends a report. It does not retry if the answer is lost: evidence that counts twice would break the bound on
// false verdicts, but lost evidence does not.
func (r *Rollout) send(ctx context.Context, view *membership.View, to membership.Node, msg reportMessage) {
	if msg.Report.Evidence().Empty() || to.Name == "" {
		return
	}
	if to.Name == view.Self {
		r.addReport(msg, len(view.Nodes))
		return
	}
	go func() {
		_, err := node.Call[reportMessage, received](ctx, r.peers, to.Addr, pathReport, msg)
		if err != nil && ctx.Err() == nil {
			event.Log(r.log, event.EvidenceLost, event.Fields{"model": msg.Model, "to": to.Name, "cause": err.Error()})
		}
	}()
}

func (r *Rollout) handleReport(_ context.Context, _ node.Sender, msg reportMessage) (received, error) {
	in := r.inForce()
	if in == nil || in.Head.BundleSince != msg.Since {
		return received{}, fmt.Errorf("report is for the bundle of revision %d, which is not in force here", msg.Since)
	}
	r.addReport(msg, len(r.view().Nodes))
	return received{}, nil
}

// addReport adds a report to the evidence of this node's group, or to the inbox of a controller on this node.
func (r *Rollout) addReport(msg reportMessage, nodes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	into := r.summed
	if msg.Summed || nodes < minGroupedNodes {
		into = r.inbox
	}
	if _, ok := into[msg.Model]; !ok {
		into[msg.Model] = core.NewEvidence()
	}
	into[msg.Model].Merge(msg.Report.Evidence())
}

func (r *Rollout) handleCut(_ context.Context, _ node.Sender, msg cutMessage) (received, error) {
	in := r.inForce()
	if in == nil || in.Head.BundleSince != msg.Since {
		return received{}, fmt.Errorf("verdict is for the bundle of revision %d, which is not in force here", msg.Since)
	}
	r.recordCut(msg)
	return received{}, nil
}

func (r *Rollout) recordCut(msg cutMessage) {
	r.mu.Lock()
	_, known := r.cuts[msg.Model]
	r.cuts[msg.Model] = msg
	r.mu.Unlock()
	if !known {
		event.Log(r.log, event.VersionCut, event.Fields{"model": msg.Model, "by": "controller", "reason": msg.Reason})
		r.cutsChanged()
	}
}

// updateCuts removes cuts of rollouts that are no longer active, and applies and ends this node's own cuts.
func (r *Rollout) updateCuts(in *bundle.InForce, now time.Time) {
	r.mu.Lock()
	before := len(r.cuts) + len(r.locals)
	active := func(model string, since bundle.Revision) bool {
		return in.Head.BundleSince == since && in.Head.Rollouts[model].Active()
	}
	maps.DeleteFunc(r.cuts, func(model string, c cutMessage) bool { return !active(model, c.Since) })
	maps.DeleteFunc(r.locals, func(model string, l *localJudgement) bool { return !active(model, l.since) })
	changed := before != len(r.cuts)+len(r.locals)
	for model, l := range r.locals {
		cut := l.judge.CutReason(now)
		if cut == l.cut {
			continue
		}
		if l.cut == "" {
			event.Log(r.log, event.VersionCut, event.Fields{"model": model, "by": "this node", "reason": cut})
		}
		l.cut, changed = cut, true
	}
	r.mu.Unlock()
	if changed {
		r.cutsChanged()
	}
}

// ApplyCuts returns in with the shares from before the rollout for models whose new versions are cut off. Without cuts
// it returns in itself.
func (r *Rollout) ApplyCuts(in *bundle.InForce) *bundle.InForce {
	r.mu.Lock()
	defer r.mu.Unlock()
	shares := maps.Clone(in.Head.VersionShares)
	cut := false
	for model, ro := range in.Head.Rollouts {
		l, c := r.locals[model], r.cuts[model]
		own := l != nil && l.since == in.Head.BundleSince && l.cut != ""
		if !ro.Active() || !own && (c.Model == "" || c.Since != in.Head.BundleSince) {
			continue
		}
		if shares == nil {
			shares = make(map[string][]bundle.VersionShare)
		}
		shares[model], cut = ro.From, true
	}
	if !cut {
		return in
	}
	head := in.Head
	head.VersionShares = shares
	return bundle.NewInForce(head, in.Bundle, in.Keys)
}

// Package rollout runs rollouts on a node: it gathers evidence from the requests that the node serves, passes it
// to the controller of the model, cuts a version by itself on strong evidence, holds the duty of controller for
// the models that it owns, and gives engines their orders.
//
// What is decided stands in the head of the configuration. A controller's progress stands in the store under
// rollout/<model> with its fencing number, so that the next controller goes on where it ended.
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
	tickTime = time.Second
	// groupsFrom is the number of nodes from which evidence is summed in groups before it goes to the controller.
	groupsFrom = 26
	// largeReportTime is how often a node of a fleet with groups sends evidence.
	largeReportTime = 2 * core.Period
	pathReport      = "/rollout/report"
	pathCut         = "/rollout/cut"
)

// Engine is what the package asks of a model engine.
type Engine interface {
	Load(ctx context.Context) (engine.Load, error)
	Order(ctx context.Context, order engine.Order) error
	Close()
}

// Rollout is a node's part in rollouts.
type Rollout struct {
	store    document.Store
	view     func() *membership.View
	held     func() *bundle.InForce // nil until the node holds a configuration
	peers    *node.Client
	observer *Observer
	dial     func(addr netip.AddrPort) Engine
	changed  func() // called when the result of ApplyCuts changes
	log      log.Interface

	mu     sync.Mutex
	locals map[string]*local // by model under way; guarded by mu
	// summed holds evidence of other nodes on its way to the controller, by model; guarded by mu.
	summed map[string]core.Evidence
	// inbox holds evidence for controllers on this node, by model; guarded by mu.
	inbox map[string]core.Evidence
	// cuts holds verdicts that controllers sent while the head does not show them, by model; guarded by mu.
	cuts map[string]cutMessage

	controllers map[string]*controller // of models that this node owns; used by runRollouts only
	orders      *orderDuty             // nil while this node does not hold the duty; used by runOrders only
}

// local is this node's own judgement of a model.
type local struct {
	since bundle.Revision // BundleSince of the rollout
	judge *core.LocalJudge
	cut   string // why the node cuts, or empty
}

// Option changes a Rollout.
type Option func(*Rollout)

// WithLog sets the log.
func WithLog(l log.Interface) Option { return func(r *Rollout) { r.log = l } }

// WithEngines sets how engines are reached.
func WithEngines(dial func(addr netip.AddrPort) Engine) Option {
	return func(r *Rollout) { r.dial = dial }
}

// WithCutsChanged sets a function that is called when the result of ApplyCuts changes.
func WithCutsChanged(fn func()) Option { return func(r *Rollout) { r.changed = fn } }

// New returns a node's part in rollouts. observer watches the node's requests.
func New(store document.Store, view func() *membership.View, held func() *bundle.InForce, peers *node.Client, observer *Observer, opts ...Option) *Rollout {
	r := &Rollout{
		store: store, view: view, held: held, peers: peers, observer: observer,
		dial:    func(addr netip.AddrPort) Engine { return engine.New(addr) },
		changed: func() {}, log: log.Log,
		locals: make(map[string]*local), summed: make(map[string]core.Evidence), inbox: make(map[string]core.Evidence),
		cuts: make(map[string]cutMessage), controllers: make(map[string]*controller),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Mount adds the messages of other nodes.
func (r *Rollout) Mount(router chi.Router) {
	node.Handle(router, pathReport, r.handleReport)
	node.Handle(router, pathCut, r.handleCut)
}

// Run takes part in rollouts until ctx ends.
func (r *Rollout) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.runRollouts(ctx) })
	g.Go(func() error { return r.runOrders(ctx) })
	return g.Wait()
}

// Gathers evidence, keeps the cuts, and controls the rollouts that this node owns.
func (r *Rollout) runRollouts(ctx context.Context) error {
	var periodAt time.Time
	return r.everyTick(ctx, func(in *bundle.InForce, now time.Time) {
		if now.Sub(periodAt) >= reportTime(len(r.view().Nodes)) {
			periodAt = now
			r.endPeriod(ctx, in, now)
		}
		r.updateCuts(in, now)
		r.control(ctx, in, now)
	})
}

// Returns how often a node sends evidence and a controller judges it. In a large fleet it does so less often, so that neither the head of a
// group nor the controller receives more than a node may.
func reportTime(nodes int) time.Duration {
	if nodes < groupsFrom {
		return core.Period
	}
	return largeReportTime
}

// Gives engines their orders while this node holds that duty.
func (r *Rollout) runOrders(ctx context.Context) error {
	defer r.dropOrders()
	return r.everyTick(ctx, func(in *bundle.InForce, now time.Time) { r.order(ctx, in, now) })
}

// Calls fn at each tick with what is in force, until ctx ends.
func (r *Rollout) everyTick(ctx context.Context, fn func(in *bundle.InForce, now time.Time)) error {
	tick := time.NewTicker(tickTime)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if in := r.held(); in != nil {
			fn(in, time.Now())
		}
	}
}

func (r *Rollout) dropOrders() {
	if r.orders != nil {
		r.orders.close()
		r.orders = nil
	}
}

// Returns the models with a rollout under way, sorted.
func underWay(in *bundle.InForce) []string {
	var models []string
	for model, ro := range in.Head.Rollouts {
		if ro.Active() {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return models
}

// Judges this node's evidence of the last period and passes it on, with what other nodes sent for passing on.
func (r *Rollout) endPeriod(ctx context.Context, in *bundle.InForce, now time.Time) {
	models := underWay(in)
	seen := r.observer.take(models)
	view := r.view()
	for _, model := range models {
		e, ok := seen[model]
		if !ok {
			continue
		}
		r.judge(in, model, e, now)
		e.TrimUses(growing(in, model))
		r.send(ctx, view, groupHead(view, model), reportMessage{Model: model, Since: in.Head.BundleSince, Report: e.Report()})
	}
	r.passOn(ctx, in, view)
}

// Returns the versions that a rollout brings.
func growing(in *bundle.InForce, model string) []string {
	plan, _ := core.PlanOf(in, model)
	fresh, _ := plan.SplitVersions()
	return fresh
}

// Adds a period to this node's own judgement of a model.
func (r *Rollout) judge(in *bundle.InForce, model string, e core.Evidence, now time.Time) {
	plan, ok := core.PlanOf(in, model)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.locals[model]
	if l == nil || l.since != in.Head.BundleSince {
		l = &local{since: in.Head.BundleSince, judge: core.NewLocalJudge(plan)}
		r.locals[model] = l
	}
	l.judge.Add(e, now)
}

// Sends on what was summed for the controllers.
func (r *Rollout) passOn(ctx context.Context, in *bundle.InForce, view *membership.View) {
	r.mu.Lock()
	summed := r.summed
	r.summed = make(map[string]core.Evidence)
	r.mu.Unlock()
	for model, e := range summed {
		e.TrimUses(growing(in, model))
		r.send(ctx, view, controllerNode(view, model), reportMessage{Model: model, Since: in.Head.BundleSince, Summed: true, Report: e.Report()})
	}
}

// Returns the node that owns the rollout of a model.
func controllerNode(view *membership.View, model string) membership.Node {
	n, _ := ownership.Owner(view, ownership.KindRollout, model, ownership.AnyRegion)
	return n
}

// Returns the node that sums this node's evidence: the controller itself in a small fleet, else the head of one
// of about as many groups as a group has nodes.
func groupHead(view *membership.View, model string) membership.Node {
	if len(view.Nodes) < groupsFrom {
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

// reportMessage carries evidence to a group's head, or summed to the controller.
type reportMessage struct {
	Model  string          `json:"model"`
	Since  bundle.Revision `json:"since"`
	Summed bool            `json:"summed,omitempty"`
	Report core.Report     `json:"report"`
}

// cutMessage is a controller's verdict, sent while the head does not show it yet.
type cutMessage struct {
	Model  string          `json:"model"`
	Since  bundle.Revision `json:"since"`
	Reason string          `json:"reason"`
}

// received is the answer to both messages.
type received struct{}

// Sends a report. A report whose answer is lost is not sent again, since evidence that counts twice would break
// the bound on false verdicts, while evidence that is lost does not.
func (r *Rollout) send(ctx context.Context, view *membership.View, to membership.Node, msg reportMessage) {
	if msg.Report.Evidence().Empty() || to.Name == "" {
		return
	}
	if to.Name == view.Self {
		r.accept(msg, len(view.Nodes))
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
	in := r.held()
	if in == nil || in.Head.BundleSince != msg.Since {
		return received{}, fmt.Errorf("report is for the bundle of revision %d, which is not in force here", msg.Since)
	}
	r.accept(msg, len(r.view().Nodes))
	return received{}, nil
}

// Keeps evidence for passing on, or for this node's own controller.
func (r *Rollout) accept(msg reportMessage, nodes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	into := r.summed
	if msg.Summed || nodes < groupsFrom {
		into = r.inbox
	}
	if _, ok := into[msg.Model]; !ok {
		into[msg.Model] = core.NewEvidence()
	}
	into[msg.Model].Merge(msg.Report.Evidence())
}

func (r *Rollout) handleCut(_ context.Context, _ node.Sender, msg cutMessage) (received, error) {
	in := r.held()
	if in == nil || in.Head.BundleSince != msg.Since {
		return received{}, fmt.Errorf("verdict is for the bundle of revision %d, which is not in force here", msg.Since)
	}
	r.keepCut(msg)
	return received{}, nil
}

func (r *Rollout) keepCut(msg cutMessage) {
	r.mu.Lock()
	_, known := r.cuts[msg.Model]
	r.cuts[msg.Model] = msg
	r.mu.Unlock()
	if !known {
		event.Log(r.log, event.VersionCut, event.Fields{"model": msg.Model, "by": "controller", "reason": msg.Reason})
		r.changed()
	}
}

// Ends cuts that the head has caught up with, and begins and ends this node's own.
func (r *Rollout) updateCuts(in *bundle.InForce, now time.Time) {
	r.mu.Lock()
	before := len(r.cuts) + len(r.locals)
	active := func(model string, since bundle.Revision) bool {
		return in.Head.BundleSince == since && in.Head.Rollouts[model].Active()
	}
	maps.DeleteFunc(r.cuts, func(model string, c cutMessage) bool { return !active(model, c.Since) })
	maps.DeleteFunc(r.locals, func(model string, l *local) bool { return !active(model, l.since) })
	changed := before != len(r.cuts)+len(r.locals)
	for model, l := range r.locals {
		cut := l.judge.Cut(now)
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
		r.changed()
	}
}

// ApplyCuts returns the configuration that the node's dispatcher applies: in itself, or with the shares from before
// a rollout for models whose new versions are cut.
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

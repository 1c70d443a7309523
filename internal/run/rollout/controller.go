package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"time"

	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/ownership"
	core "ebonyferry/internal/core/rollout"
	"ebonyferry/internal/edge/document"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
	"ebonyferry/internal/edge/operator"
)

// This file defines the duty of controlling a model's rollout.

const (
	storePrefix = "rollout/"
	// checkpointTime is how often a controller writes its progress.
	checkpointTime = 10 * time.Second
	// storeTimeout bounds what a controller does with the store at one time.
	storeTimeout = 3 * time.Second
	// cutConcurrency bounds the verdicts sent at a time.
	cutConcurrency = 32
	controllerName = "rollout"
)

// record is what a controller keeps in the store.
type record struct {
	Fence      uint64          `json:"fence"`
	Owner      string          `json:"owner"`
	Epoch      uint64          `json:"epoch"` // of the owner
	Since      bundle.Revision `json:"since"` // BundleSince of the rollout
	Checkpoint core.Checkpoint `json:"checkpoint"`
}

// controller is this node's duty for one model.
type controller struct {
	model   string
	since   bundle.Revision
	fence   uint64
	at      kvstore.Revision // of the record in the store
	core    *core.Controller
	probe   *prober
	periods time.Time       // end of the last period judged
	written time.Time       // when the record was last written
	asked   bundle.Revision // head that this controller wrote last
	warned  map[string]bool // nodes that were sent the verdict
}

// Takes up, goes on with and drops the duty for each model under way.
func (r *Rollout) control(ctx context.Context, in *bundle.InForce, now time.Time) {
	view := r.view()
	wanted := make(map[string]bool)
	for _, model := range underWay(in) {
		if !ownership.OwnedBySelf(view, ownership.KindRollout, model, ownership.AnyRegion, now) {
			continue
		}
		wanted[model] = true
		c := r.controllers[model]
		if c == nil || c.since != in.Head.BundleSince {
			if c = r.takeUp(ctx, in, model, now); c == nil {
				continue
			}
			r.controllers[model] = c
		}
		if err := r.drive(ctx, c, in, view, now); err != nil {
			event.Log(r.log, event.ControllerStopped, event.Fields{"model": model, "fence": c.fence, "cause": err.Error()})
			delete(r.controllers, model)
		}
	}
	for model, c := range r.controllers {
		if !wanted[model] {
			c.probe.close()
			delete(r.controllers, model)
		}
	}
}

// Takes the duty up with a new fencing number. It returns nil when the store does not answer or another node was
// faster; the next tick tries again.
func (r *Rollout) takeUp(ctx context.Context, in *bundle.InForce, model string, now time.Time) *controller {
	plan, ok := core.PlanOf(in, model)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec, at, err := r.readRecord(ctx, model)
	if err != nil {
		return nil
	}
	c := &controller{model: model, since: in.Head.BundleSince, at: at, periods: now, warned: make(map[string]bool)}
	c.probe = newProber(r.dial)
	c.core = core.NewController(plan, core.WithReady(func(version string) float64 {
		return c.probe.ready(bundle.ModelVersion{Model: model, Version: version})
	}))
	if rec.Since == c.since {
		if err := c.core.Restore(rec.Checkpoint); err != nil {
			event.Log(r.log, event.CheckpointUnusable, event.Fields{"model": model, "cause": err.Error()})
		}
	}
	c.core.CatchUp(in.Head.Rollouts[model].State, in.Head.VersionShares[model], now)
	c.fence = max(rec.Fence, in.Head.RolloutFences[model]) + 1
	if err := r.writeRecord(ctx, c, now); err != nil {
		return nil
	}
	event.Log(r.log, event.ControllerStarted, event.Fields{"model": model, "fence": c.fence})
	return c
}

func (r *Rollout) readRecord(ctx context.Context, model string) (record, kvstore.Revision, error) {
	entry, err := r.store.Get(ctx, storePrefix+model)
	if errors.Is(err, kvstore.ErrNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	var rec record
	if err := json.Unmarshal(entry.Value, &rec); err != nil {
		event.Log(r.log, event.CheckpointUnusable, event.Fields{"model": model, "cause": err.Error()})
		return record{}, entry.Revision, nil // the head holds the highest fencing number that wrote
	}
	return rec, entry.Revision, nil
}

// errLostDuty means that another controller has taken the duty over.
var errLostDuty = errors.New("another controller has taken over")

// Writes the controller's progress. A conflict whose cause is the controller's own write is settled by reading.
func (r *Rollout) writeRecord(ctx context.Context, c *controller, now time.Time) error {
	view := r.view()
	rec := record{Fence: c.fence, Owner: view.Self, Epoch: epochOf(view), Since: c.since, Checkpoint: c.core.Checkpoint()}
	value, err := json.Marshal(rec)
	if err != nil {
		return fmt.Errorf("encoding the record of model %q: %w", c.model, err)
	}
	at, err := r.store.CompareAndSwap(ctx, storePrefix+c.model, c.at, value, 0)
	if errors.Is(err, kvstore.ErrConflict) || errors.Is(err, kvstore.ErrOutcomeUnknown) {
		var found record
		found, at, err = r.readRecord(ctx, c.model)
		if err == nil && (found.Fence != rec.Fence || found.Owner != rec.Owner || found.Epoch != rec.Epoch) && at != c.at {
			return errLostDuty
		}
	}
	if err != nil {
		return err
	}
	c.at, c.written = at, now
	return nil
}

func epochOf(view *membership.View) uint64 {
	for _, n := range view.Nodes {
		if n.Name == view.Self {
			return n.Epoch
		}
	}
	return 0
}

// Judges what came in, and brings the head to what is decided. An error ends the duty.
func (r *Rollout) drive(ctx context.Context, c *controller, in *bundle.InForce, view *membership.View, now time.Time) error {
	if now.Sub(c.periods) >= reportTime(len(view.Nodes)) {
		c.periods = now
		c.core.Add(r.takeInbox(c.model))
	}
	c.probe.update(ctx, in, c.model, now)
	step := c.core.Decide(now)
	step.Fence, step.Since = c.fence, c.since
	if step.State == bundle.RolloutTakenBack {
		r.sendVerdict(ctx, c, view, step.Reason)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if in.Head.Revision >= c.asked && differs(in, step) {
		if err := r.switchHead(ctx, c, step, now); err != nil {
			return err
		}
	}
	if now.Sub(c.written) >= checkpointTime {
		if err := r.writeRecord(ctx, c, now); errors.Is(err, errLostDuty) {
			return err
		}
	}
	return nil
}

func (r *Rollout) takeInbox(model string) core.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.inbox[model]
	delete(r.inbox, model)
	if !ok {
		return core.NewEvidence()
	}
	return e
}

// Reports whether the head says otherwise than the step.
func differs(in *bundle.InForce, s bundle.RolloutStep) bool {
	if in.Head.Rollouts[s.Model].State != s.State {
		return true
	}
	return s.State == bundle.RolloutRunning && !reflect.DeepEqual(in.Head.VersionShares[s.Model], s.Shares)
}

// Writes a step into the head. A store that does not answer is asked again at the next tick; a verdict is with
// the nodes meanwhile. The error means that the duty has ended.
func (r *Rollout) switchHead(ctx context.Context, c *controller, step bundle.RolloutStep, now time.Time) error {
	head, at, err := document.LoadHead(ctx, r.store)
	if err != nil {
		return nil
	}
	current, err := document.Load(ctx, r.store, head, r.held())
	if err != nil || !differs(current, step) {
		return nil
	}
	next, err := current.NextRolloutStep(step, bundle.ChangeRequest{By: controllerName, Nonce: operator.NewNonce(), At: now.UTC()})
	if err != nil {
		return err
	}
	var race *document.RaceError
	err = document.SwitchHead(ctx, r.store, head, at, next)
	if errors.As(err, &race) || err != nil {
		return nil // decided again at the next tick
	}
	c.asked = next.Revision
	event.Log(r.log, event.RolloutStep, event.Fields{"model": c.model, "revision": next.Revision, "state": string(step.State), "summary": next.Summary, "reason": step.Reason})
	return nil
}

// Sends a verdict to every node that has not had it, so that it holds also while the store is down.
func (r *Rollout) sendVerdict(ctx context.Context, c *controller, view *membership.View, reason string) {
	msg := cutMessage{Model: c.model, Since: c.since, Reason: reason}
	r.keepCut(msg)
	var g errgroup.Group
	g.SetLimit(cutConcurrency)
	sent := make([]bool, len(view.Nodes))
	for i, n := range view.Nodes {
		if n.Name == view.Self || c.warned[n.Name] {
			continue
		}
		g.Go(func() error {
			_, err := node.Call[cutMessage, received](ctx, r.peers, n.Addr, pathCut, msg)
			sent[i] = err == nil
			return nil
		})
	}
	_ = g.Wait() // who did not answer is asked at the next tick
	for i, n := range view.Nodes {
		if sent[i] {
			c.warned[n.Name] = true
		}
	}
}

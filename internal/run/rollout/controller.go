// This file defines the controller of a rollout on the node that owns the model.

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

const (
	storePrefix = "rollout/"
	// checkpointInterval is how often a controller writes its record to the store.
	checkpointInterval = 10 * time.Second
	// storeTimeout bounds the calls to the store in one tick.
	storeTimeout = 3 * time.Second
	// cutConcurrency bounds the number of nodes that are sent a verdict at the same time.
	cutConcurrency = 32
	// controllerName is the author of heads that a controller writes.
	controllerName = "rollout"
)

// controllerRecord is the state that a controller keeps in the store.
type controllerRecord struct {
	Fence      uint64          `json:"fence"`
	Owner      string          `json:"owner"`
	Epoch      uint64          `json:"epoch"` // of the owner
	Since      bundle.Revision `json:"since"` // BundleSince of the rollout
	Checkpoint core.Checkpoint `json:"checkpoint"`
}

// controller controls the rollout of one model while this node owns the model.
type controller struct {
	model          string
	since          bundle.Revision
	fence          uint64
	recordRevision kvstore.Revision // of the record in the store
	core           *core.Controller
	prober         *prober
	judgedAt       time.Time       // end of the last judged period
	recordedAt     time.Time       // when the record was last written
	lastHead       bundle.Revision // revision of the last head that this controller wrote
	notified       map[string]bool // nodes that have received the verdict
}

// control starts, runs and stops a controller for each model with an active rollout, as the owner changes.
func (r *Rollout) control(ctx context.Context, in *bundle.InForce, now time.Time) {
	view := r.view()
	wanted := make(map[string]bool)
	for _, model := range activeModels(in) {
		if !ownership.OwnedBySelf(view, ownership.KindRollout, model, ownership.AnyRegion, now) {
			continue
		}
		wanted[model] = true
		c := r.controllers[model]
		if c == nil || c.since != in.Head.BundleSince {
			if c = r.takeOver(ctx, in, model, now); c == nil {
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
			c.prober.close()
			delete(r.controllers, model)
		}
	}
}

// takeOver returns a controller with a new fencing number. It returns nil if the store does not answer or another
// node took over first. The next tick tries again.
func (r *Rollout) takeOver(ctx context.Context, in *bundle.InForce, model string, now time.Time) *controller {
	plan, ok := core.PlanOf(in, model)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec, revision, err := r.readRecord(ctx, model)
	if err != nil {
		return nil
	}
	c := &controller{model: model, since: in.Head.BundleSince, recordRevision: revision, judgedAt: now, notified: make(map[string]bool)}
	c.prober = newProber(r.dial)
	c.core = core.NewController(plan, core.WithReady(func(version string) float64 {
		return c.prober.ready(bundle.ModelVersion{Model: model, Version: version})
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

func (r *Rollout) readRecord(ctx context.Context, model string) (controllerRecord, kvstore.Revision, error) {
	entry, err := r.store.Get(ctx, storePrefix+model)
	if errors.Is(err, kvstore.ErrNotFound) {
		return controllerRecord{}, 0, nil
	}
	if err != nil {
		return controllerRecord{}, 0, err
	}
	var rec controllerRecord
	if err := json.Unmarshal(entry.Value, &rec); err != nil {
		event.Log(r.log, event.CheckpointUnusable, event.Fields{"model": model, "cause": err.Error()})
		return controllerRecord{}, entry.Revision, nil // takeOver then uses the highest fencing number in the head
	}
	return rec, entry.Revision, nil
}

// errLostDuty means that another node controls the rollout now.
var errLostDuty = errors.New("another controller has taken over")

// writeRecord writes the controller's record. After a conflict or an unknown outcome it reads the record, and
// returns errLostDuty if another controller has written it.
func (r *Rollout) writeRecord(ctx context.Context, c *controller, now time.Time) error {
	view := r.view()
	rec := controllerRecord{Fence: c.fence, Owner: view.Self, Epoch: epochOf(view), Since: c.since, Checkpoint: c.core.Checkpoint()}
	value, err := json.Marshal(rec)
	if err != nil {
		return fmt.Errorf("encoding the record of model %q: %w", c.model, err)
	}
	revision, err := r.store.CompareAndSwap(ctx, storePrefix+c.model, c.recordRevision, value, 0)
	if errors.Is(err, kvstore.ErrConflict) || errors.Is(err, kvstore.ErrOutcomeUnknown) {
		var found controllerRecord
		found, revision, err = r.readRecord(ctx, c.model)
		if err == nil && (found.Fence != rec.Fence || found.Owner != rec.Owner || found.Epoch != rec.Epoch) && revision != c.recordRevision {
			return errLostDuty
		}
	}
	if err != nil {
		return err
	}
	c.recordRevision, c.recordedAt = revision, now
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

// drive judges the evidence received and updates the head to the controller's decision. An error means that the
// controller must stop.
func (r *Rollout) drive(ctx context.Context, c *controller, in *bundle.InForce, view *membership.View, now time.Time) error {
	if now.Sub(c.judgedAt) >= reportInterval(len(view.Nodes)) {
		c.judgedAt = now
		c.core.Add(r.takeInbox(c.model))
	}
	c.prober.update(ctx, in, c.model, now)
	step := c.core.Decide(now)
	step.Fence, step.Since = c.fence, c.since
	if step.State == bundle.RolloutTakenBack {
		r.sendVerdict(ctx, c, view, step.Reason)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if in.Head.Revision >= c.lastHead && headDiffers(in, step) {
		if err := r.switchHead(ctx, c, step, now); err != nil {
			return err
		}
	}
	if now.Sub(c.recordedAt) >= checkpointInterval {
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

// headDiffers reports whether the head differs from the step.
func headDiffers(in *bundle.InForce, s bundle.RolloutStep) bool {
	if in.Head.Rollouts[s.Model].State != s.State {
		return true
	}
	return s.State == bundle.RolloutRunning && !reflect.DeepEqual(in.Head.VersionShares[s.Model], s.Shares)
}

// switchHead writes a step into the head. If the store does not answer, the next tick tries again; the nodes already
// have a verdict by then. An error means that the controller must stop.
func (r *Rollout) switchHead(ctx context.Context, c *controller, step bundle.RolloutStep, now time.Time) error {
	head, revision, err := document.LoadHead(ctx, r.store)
	if err != nil {
		return nil
	}
	current, err := document.Load(ctx, r.store, head, r.inForce())
	if err != nil || !headDiffers(current, step) {
		return nil
	}
	next, err := current.NextRolloutStep(step, bundle.ChangeRequest{By: controllerName, Nonce: operator.NewNonce(), At: now.UTC()})
	if err != nil {
		return err
	}
	var race *document.RaceError
	err = document.SwitchHead(ctx, r.store, head, revision, next)
	if errors.As(err, &race) || err != nil {
		return nil // the next tick decides again
	}
	c.lastHead = next.Revision
	event.Log(r.log, event.RolloutStep, event.Fields{"model": c.model, "revision": next.Revision, "state": string(step.State), "summary": next.Summary, "reason": step.Reason})
	return nil
}

// sendVerdict sends a verdict to every node that has not received it, so that nodes apply it while the store is down.
func (r *Rollout) sendVerdict(ctx context.Context, c *controller, view *membership.View, reason string) {
	msg := cutMessage{Model: c.model, Since: c.since, Reason: reason}
	r.recordCut(msg)
	var g errgroup.Group
	g.SetLimit(cutConcurrency)
	sent := make([]bool, len(view.Nodes))
	for i, n := range view.Nodes {
		if n.Name == view.Self || c.notified[n.Name] {
			continue
		}
		g.Go(func() error {
			_, err := node.Call[cutMessage, received](ctx, r.peers, n.Addr, pathCut, msg)
			sent[i] = err == nil
			return nil
		})
	}
	_ = g.Wait() // the next tick sends it again to nodes that did not answer
	for i, n := range view.Nodes {
		if sent[i] {
			c.notified[n.Name] = true
		}
	}
}

// This file defines rollouts as the head records them. The head holds the plan, the current shares and the verdict.
// One head switch puts all of them into force, and they outlive the controller that decided them.

package bundle

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"
)

// RolloutState is the progress of a rollout.
type RolloutState string

// The states of a rollout.
const (
	RolloutRunning   RolloutState = "running"   // shares move in steps
	RolloutWatching  RolloutState = "watching"  // the bundle's shares are in force and under observation
	RolloutDone      RolloutState = "done"      // the verdict is good
	RolloutTakenBack RolloutState = "takenBack" // rolled back: the previous shares are in force again
)

// Rollout moves a model's shares in steps from those in force before a bundle to the bundle's own.
type Rollout struct {
	From      []VersionShare `json:"from"` // previous shares, of the bundle's versions
	StartedAt time.Time      `json:"startedAt"`
	DoneBy    time.Time      `json:"doneBy"`
	State     RolloutState   `json:"state"`
	Reason    string         `json:"reason,omitempty"` // evidence for the verdict
}

// Active reports whether the rollout still needs a controller.
func (r Rollout) Active() bool { return r.State == RolloutRunning || r.State == RolloutWatching }

// ErrNoRollout means that a model has no active rollout.
var ErrNoRollout = errors.New("model has no rollout in progress")

// startRollouts adds to h, which refers to bundle b, a rollout for each model whose shares differ from those in
// force. It fails when b lacks a version that takes traffic now.
func (in *InForce) startRollouts(h *Head, b Bundle, req ChangeRequest) error {
	if !req.DoneBy.After(req.At) {
		return Problems{{Field: "doneBy", Message: fmt.Sprintf("%s is in the past", req.DoneBy.Format(time.RFC3339))}}
	}
	for _, m := range b.Models {
		now := in.Shares(m.Name)
		if now == nil || reflect.DeepEqual(inTraffic(now), inTraffic(m.Versions)) {
			continue
		}
		from := slices.Clone(m.Versions)
		for i := range from {
			from[i].Share = inTraffic(now)[from[i].Version]
		}
		var v validator
		v.shares("from", from)
		if len(v.problems) > 0 {
			return Problems{{Field: "models", Message: fmt.Sprintf("model %q lacks a version that takes traffic now; it must stay until the rollout is done", m.Name)}}
		}
		h.VersionShares = withEntry(h.VersionShares, m.Name, from, true)
		h.Rollouts = withEntry(h.Rollouts, m.Name, Rollout{From: from, StartedAt: req.At, DoneBy: req.DoneBy, State: RolloutRunning}, true)
	}
	return nil
}

// inTraffic returns the shares by version of the versions that take traffic.
func inTraffic(shares []VersionShare) map[string]int {
	out := make(map[string]int)
	for _, vs := range shares {
		if vs.Share > 0 {
			out[vs.Version] = vs.Share
		}
	}
	return out
}

// RolloutStep is a change of a rollout that its controller asks for.
type RolloutStep struct {
	Model  string
	State  RolloutState
	Shares []VersionShare // for RolloutRunning
	Reason string
	Fence  uint64   // the controller's fencing number
	Since  Revision // Head.BundleSince when the rollout started
}

// NextRolloutStep returns the head that follows from a step of a rollout. A rollout that is done or taken back
// accepts no step. Errors wrap ErrStaleRollout, ErrNoRollout or ErrUnknownName, or are Problems.
func (in *InForce) NextRolloutStep(s RolloutStep, req ChangeRequest) (Head, error) {
	if s.Since != in.Head.BundleSince {
		return Head{}, fmt.Errorf("%w: the bundle of revision %d was replaced at %d", ErrStaleRollout, s.Since, in.Head.BundleSince)
	}
	if seen := in.Head.RolloutFences[s.Model]; s.Fence < seen {
		return Head{}, fmt.Errorf("%w: fencing number %d of model %q is older than %d", ErrStaleRollout, s.Fence, s.Model, seen)
	}
	h, err := in.applyStep(s, req)
	h.RolloutFences = withEntry(h.RolloutFences, s.Model, s.Fence, true)
	return h, err
}

// NextRolloutVerdict returns the head with an operator's verdict on a rollout: RolloutTakenBack or RolloutDone.
// Errors wrap ErrNoRollout or ErrUnknownName.
func (in *InForce) NextRolloutVerdict(model string, state RolloutState, req ChangeRequest) (Head, error) {
	if state != RolloutTakenBack && state != RolloutDone {
		return Head{}, fmt.Errorf("%w: verdict %q", ErrUnknownName, state)
	}
	return in.applyStep(RolloutStep{Model: model, State: state, Reason: fmt.Sprintf("decided by %q", req.By)}, req)
}

// applyStep returns the head with the step's state and shares recorded. It does not check the step's Fence and Since.
func (in *InForce) applyStep(s RolloutStep, req ChangeRequest) (Head, error) {
	r, ok := in.Head.Rollouts[s.Model]
	if !ok || !r.Active() {
		return Head{}, fmt.Errorf("%w: model %q", ErrNoRollout, s.Model)
	}
	shares := s.Shares
	switch s.State {
	case RolloutWatching, RolloutDone:
		shares = nil
	case RolloutTakenBack:
		shares = r.From
	case RolloutRunning:
		if err := in.checkShares(s.Model, shares); err != nil {
			return Head{}, err
		}
	default:
		return Head{}, fmt.Errorf("%w: state %q of a rollout", ErrUnknownName, s.State)
	}
	r.State, r.Reason = s.State, s.Reason
	h := in.nextHead(req, fmt.Sprintf("rollout of model %q %s: %s", s.Model, s.State, describeShares(shares)))
	h.Rollouts = withEntry(h.Rollouts, s.Model, r, true)
	h.VersionShares = withEntry(h.VersionShares, s.Model, shares, shares != nil)
	return h, nil
}

// checkShares checks that shares are valid and that the bundle has their versions.
func (in *InForce) checkShares(model string, shares []VersionShare) error {
	m, ok := in.Bundle.model(model)
	if !ok {
		return fmt.Errorf("%w: model %q", ErrUnknownName, model)
	}
	var v validator
	v.shares("shares", shares)
	if len(v.problems) > 0 {
		return v.problems
	}
	for _, vs := range shares {
		if !m.has(vs.Version) {
			return fmt.Errorf("%w: version %q of model %q", ErrUnknownName, vs.Version, model)
		}
	}
	return nil
}

// withEntry returns a copy of m with key set to value, or without key. An empty copy is nil.
func withEntry[V any](m map[string]V, key string, value V, with bool) map[string]V {
	out := maps.Clone(m)
	if out == nil {
		out = make(map[string]V)
	}
	delete(out, key)
	if with {
		out[key] = value
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

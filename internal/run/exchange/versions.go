package exchange

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/versions"
)

// This file defines how requests spread over the versions of a service while operators bring in a new one.

// SetRollout takes an operators' order, or ends it.
func (rt *Runtime) SetRollout(o versions.Order, on bool) {
	rt.mu.Lock()
	held := rt.rollouts[o.Service]
	switch {
	case !on:
		delete(rt.rollouts, o.Service)
	case held == nil || held.Order != o:
		rt.rollouts[o.Service] = versions.New(o, time.Now())
	}
	rt.mu.Unlock()
	event.Log(rt.log, event.RolloutOrdered, event.Fields{"service": o.Service, "target": o.Target, "on": on})
	rt.wake()
}

// SetRolloutState takes the state of a rollout that the store holds.
func (rt *Runtime) SetRolloutState(service, target string, s versions.State) {
	rt.mu.Lock()
	if r := rt.rollouts[service]; r != nil && r.Target == target {
		r.SetState(s)
	}
	rt.mu.Unlock()
	rt.wake()
	rt.rescue()
}

// Rollouts returns the orders in hand with the states that they should have now.
func (rt *Runtime) Rollouts() map[versions.Order]versions.State {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	wanted := make(map[versions.Order]versions.State, len(rt.rollouts))
	now := time.Now()
	for _, r := range rt.rollouts {
		wanted[r.Order] = r.ProposedState(now)
	}
	return wanted
}

// Evidence returns what this node saw of the rollouts in hand, by service.
func (rt *Runtime) Evidence() map[string]versions.Evidence {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := time.Now()
	seen := make(map[string]versions.Evidence, len(rt.rollouts))
	for service, r := range rt.rollouts {
		seen[service] = r.LocalEvidence(now)
	}
	return seen
}

// JudgeRollout takes what all nodes saw.
func (rt *Runtime) JudgeRollout(service string, e versions.Evidence) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if r := rt.rollouts[service]; r != nil {
		r.AddFleetEvidence(e, time.Now())
	}
}

// Records an answer for the rollout of a service. The caller holds mu.
func (rt *Runtime) tallied(srv backend.Server, took time.Duration, failed bool) {
	if r := rt.rollouts[srv.Service]; r != nil {
		r.Answered(srv.Version, took, failed)
	}
}

// Returns which of the usable servers may get a request while a rollout runs. Without an ID it is a copy, which
// keeps away from a version that may be bad, and from one that will soon be gone. The caller holds mu.
func (rt *Runtime) ofVersion(usable []backend.Server, id string, now time.Time) []backend.Server {
	if len(usable) == 0 {
		return usable
	}
	r := rt.rollouts[usable[0].Service]
	if r == nil {
		return usable
	}
	share := r.Share(now)
	target := share >= 1
	if id != "" && share < 1 {
		target = chance(id) < share
	}
	side := make([]backend.Server, 0, len(usable))
	for _, s := range usable {
		if (s.Version == r.Target) == target {
			side = append(side, s)
		}
	}
	if len(side) == 0 && (share > 0 || !target) {
		return usable // the other version is better than none, unless it is known to be bad
	}
	return side
}

// Returns a number from 0 up to 1 that is always the same for a request.
func chance(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// Reports whether a server leaves: it drains or is gone, or its version will be stopped. The caller holds mu.
func (rt *Runtime) leaving(srv backend.Server, now time.Time) bool {
	if rt.pool.Leaving(srv, now) {
		return true
	}
	r := rt.rollouts[srv.Service]
	return r != nil && srv.Version != r.Target && r.Share(now) >= 1
}

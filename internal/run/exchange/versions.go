// This file defines how requests are distributed over the versions of a service during a rollout.

package exchange

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/versions"
)

// SetRollout starts the rollout that the operators ordered, or ends it if on is false.
func (rt *Runtime) SetRollout(o versions.Order, on bool) {
	rt.mu.Lock()
	current := rt.rollouts[o.Service]
	switch {
	case !on:
		delete(rt.rollouts, o.Service)
	case current == nil || current.Order != o:
		rt.rollouts[o.Service] = versions.New(o, time.Now())
	}
	rt.mu.Unlock()
	event.Log(rt.log, event.RolloutOrdered, event.Fields{"service": o.Service, "target": o.Target, "on": on})
	rt.grantWaiting()
}

// SetRolloutState applies the state of a rollout as read from the store.
func (rt *Runtime) SetRolloutState(service, target string, s versions.State) {
	rt.mu.Lock()
	if r := rt.rollouts[service]; r != nil && r.Target == target {
		r.SetState(s)
	}
	rt.mu.Unlock()
	rt.grantWaiting()
	rt.moveLeaving()
}

// ProposedStates returns the current orders, each with the state that its rollout should have now.
func (rt *Runtime) ProposedStates() map[versions.Order]versions.State {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	proposed := make(map[versions.Order]versions.State, len(rt.rollouts))
	now := time.Now()
	for _, r := range rt.rollouts {
		proposed[r.Order] = r.ProposedState(now)
	}
	return proposed
}

// DecidedStates returns the current orders whose rollouts have a final state that the fleet agreed on.
func (rt *Runtime) DecidedStates() map[versions.Order]versions.State {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	decided := make(map[versions.Order]versions.State)
	for _, r := range rt.rollouts {
		if r.State() != versions.Running {
			decided[r.Order] = r.State()
		}
	}
	return decided
}

// LocalEvidence returns what this node observed of the current rollouts, by service.
func (rt *Runtime) LocalEvidence() map[string]versions.Evidence {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := time.Now()
	local := make(map[string]versions.Evidence, len(rt.rollouts))
	for service, r := range rt.rollouts {
		local[service] = r.LocalEvidence(now)
	}
	return local
}

// ApplyFleetEvidence judges a rollout by the evidence of all nodes.
func (rt *Runtime) ApplyFleetEvidence(service string, e versions.Evidence) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if r := rt.rollouts[service]; r != nil {
		r.ApplyFleetEvidence(e, time.Now())
	}
}

// expectAnswer records that a request is sent to srv, as evidence for the rollout of the server's service. The caller calls the
// result when the answer begins, or with false if the request ends without one; further calls do nothing.
func (rt *Runtime) expectAnswer(adm *Admitted, srv backend.Server) func(answered bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	r := rt.rollouts[srv.Service]
	if r == nil {
		return func(bool) {}
	}
	r.ExpectAnswer(adm.ID, srv.Version, adm.Route.LatencyTarget, time.Now())
	return func(answered bool) {
		rt.mu.Lock()
		defer rt.mu.Unlock()
		r.EndWait(adm.ID, answered, time.Now())
	}
}

// gapsPerRecord is the number of gaps after which a stream records them.
const gapsPerRecord = 4

// recordGap records the gap before an event as evidence for the rollout of the service. It keeps a few gaps back, since most
// services have no rollout.
func (s *streamRun) recordGap(gap time.Duration) {
	s.gaps = append(s.gaps, gap)
	s.heldUp = s.heldUp || s.wroteAt.Sub(s.lastEventAt) > maxWriteTime
	if len(s.gaps) < gapsPerRecord {
		return
	}
	srv := s.currentGrant().server
	s.rt.mu.Lock()
	if r := s.rt.rollouts[srv.Service]; r != nil {
		r.RecordGaps(srv.Version, s.gaps, !s.gapsRecorded)
		s.gapsRecorded = true
	}
	s.recordSpeed(srv, time.Now())
	s.rt.mu.Unlock()
	s.gaps = s.gaps[:0]
}

// recordAnswer records an answer on a route as evidence for the rollout of the server's service. The caller holds mu.
func (rt *Runtime) recordAnswer(srv backend.Server, route string, took time.Duration, failed bool) {
	if r := rt.rollouts[srv.Service]; r != nil {
		r.RecordAnswer(srv.Version, took, failed)
		r.RecordRoute(route, srv.Version, failed)
	}
}

// filterVersion returns the usable servers that may receive the request adm during a rollout. Without a request they are for
// a copy, which avoids a version that may be bad, and one that will be stopped soon. The caller holds mu.
func (rt *Runtime) filterVersion(usable []backend.Server, adm *Admitted, now time.Time) []backend.Server {
	if len(usable) == 0 {
		return usable
	}
	r := rt.rollouts[usable[0].Service]
	if r == nil {
		return usable
	}
	share := r.Share(now)
	target := share >= 1
	if adm != nil && share < 1 {
		target = requestFraction(adm.ID) < r.ShareOn(adm.Route.Name, now)
	}
	matching := make([]backend.Server, 0, len(usable))
	for _, s := range usable {
		if (s.Version == r.Target) == target {
			matching = append(matching, s)
		}
	}
	if len(matching) == 0 && (share > 0 || !target) {
		return usable // use the other version rather than none, unless it is known to be bad
	}
	return matching
}

// requestFraction maps a request ID to a number in [0, 1), always the same for the same ID.
func requestFraction(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// leaving reports whether a server drains or was removed, or its version will be stopped. The caller holds mu.
func (rt *Runtime) leaving(srv backend.Server, now time.Time) bool {
	if rt.pool.Leaving(srv, now) {
		return true
	}
	r := rt.rollouts[srv.Service]
	return r != nil && srv.Version != r.Target && r.Share(now) >= 1
}

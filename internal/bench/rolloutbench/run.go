// This file defines one run of one policy.

package rolloutbench

import (
	"math/rand/v2"
	"slices"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/rollout"
)

// runResult is the result of one run.
type runResult struct {
	doneAt      time.Duration // when the new version received all requests; zero if never
	takenBackAt time.Duration // when the new version was taken back on all nodes; zero if never
	firstHitAt  time.Duration // when the fault hit the first request; zero if never
	requests    int           // until the new version was taken back on all nodes, or to the end
	hit         int           // requests hit by the fault, or lost with a server that it crashed
	routedLate  int           // requests sent to the new version more than spreadDelay after the verdict
	localCuts   int           // requests at nodes that had cut off the new version on their own
}

// pendingEnd is the end of a request in flight.
type pendingEnd struct {
	at time.Duration
	r  request
}

// runState is the state of one run.
type runState struct {
	workload   *workload
	policy     policy
	failureRNG *rand.Rand
	inFlight   []pendingEnd // in order of at
	result     runResult
	verdictAt  time.Duration // negative before a verdict
}

// run simulates a rollout under one policy. It ends when rollout.Watch after the window is over, or a minute after a
// verdict that takes the new version back.
func run(seed uint64, rate float64, f *fault, newPolicy func() policy) runResult {
	s := &runState{workload: newWorkload(seed, rate, f), policy: newPolicy(), failureRNG: rand.New(rand.NewPCG(seed, 2)), verdictAt: -1}
	share, pending := 0, []shareChange{{at: 0, share: s.policy.share()}}
	end := window + rollout.Watch
	for at := time.Duration(0); at < end; at += tick {
		for len(pending) > 0 && pending[0].at <= at {
			share, pending = pending[0].share, pending[1:]
		}
		s.tick(at, share)
		if last := latestShare(share, pending); s.policy.share() != last {
			pending = append(pending, shareChange{at: at + spreadDelay, share: s.policy.share()})
		}
		if share == bundle.ShareTotal && s.result.doneAt == 0 {
			s.result.doneAt = at
		}
		if s.policy.takenBack() && s.verdictAt < 0 {
			s.verdictAt = at
			s.result.takenBackAt = at + spreadDelay
			end = min(end, at+time.Minute)
		}
	}
	return s.result
}

// tick simulates one tick with the given share of the new version.
func (s *runState) tick(at time.Duration, share int) {
	shareAt := func(node int) int {
		if s.policy.cut(node) {
			s.result.localCuts++
			return 0
		}
		return share
	}
	for range s.workload.drawArrivals() {
		r := s.workload.drawRequest(at, shareAt)
		s.result.count(r, at, s.verdictAt)
		s.policy.firstToken(r, at)
		s.inFlight = append(s.inFlight, pendingEnd{at + requestDuration, r})
	}
	for len(s.inFlight) > 0 && s.inFlight[0].at <= at {
		s.policy.ended(s.inFlight[0].r, at)
		s.inFlight = s.inFlight[1:]
	}
	for _, e := range s.inFlight {
		if e.r.crashesServer && e.at-at <= requestDuration/2 {
			s.result.hit += s.failServer(e.r.server, at) - 1 // the request itself is already counted
			break                                            // other crashes follow in the next ticks
		}
	}
	if s.failureRNG.Float64() < serverFailuresPerHour*tick.Hours() {
		s.failServer(s.failureRNG.IntN(servers), at)
	}
	s.policy.decide(at)
}

// failServer removes all requests of a failed server and returns their number.
func (s *runState) failServer(server int, at time.Duration) int {
	var lost []request
	s.inFlight = slices.DeleteFunc(s.inFlight, func(e pendingEnd) bool {
		if e.r.server == server {
			lost = append(lost, e.r)
		}
		return e.r.server == server
	})
	s.policy.serverFailed(server, lost, at)
	return len(lost)
}

// shareChange is a change of the new version's share that takes effect on the nodes at a later time.
type shareChange struct {
	at    time.Duration
	share int
}

// latestShare returns the share after all pending changes.
func latestShare(share int, pending []shareChange) int {
	if len(pending) > 0 {
		return pending[len(pending)-1].share
	}
	return share
}

// count counts a request sent at the given time. verdictAt is negative before a verdict.
func (res *runResult) count(r request, at, verdictAt time.Duration) {
	if verdictAt >= 0 && at > verdictAt+spreadDelay {
		if r.key.Version == newVersion {
			res.routedLate++
		}
		return
	}
	res.requests++
	if r.hit {
		res.hit++
		if res.firstHitAt == 0 {
			res.firstHitAt = max(at, tick)
		}
	}
}

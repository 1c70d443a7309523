// Package versions decides how the requests of a service move to a new version of its servers, and whether the new
// version is bad.
//
// The servers of the new version run beside the old ones. At first a small share of the requests goes to the new
// version. The share then grows to all requests well before the order's duration has passed, so that a version that
// fails only under load is found while the old servers still run. A new version is bad if it fails far more often than
// the old one or takes far longer.
//
// Each node keeps a [Rollout] per order and counts the answers of both versions. It judges its own [Evidence] and the
// sum of the evidence of all nodes. The fleet agrees on the [State] of a rollout; a final state does not change.
//
// Gateways use this package for services. Other nodes use package rollout for the versions of a model.
package versions

import (
	"math"
	"time"
)

const (
	// Shares of requests that go to the new version before the share grows. The initial share is larger, to find a
	// version that is bad from the start before its share grows. Until the share grows, the new version gets
	// less than a tenth of the requests in the order's duration, which is the most that a bad version may get.
	initialShare = 0.2
	trialShare   = 0.07
	// Fractions of an order's duration: the initial share ends at initialUntil, the share grows from growFrom to
	// growUntil, and the rollout may complete from completeFrom. The rollout completes early, because servers of the
	// new version that are reclaimed during a rollout come back with the old version.
	initialUntil = 0.2
	growFrom     = 0.35
	growUntil    = 0.5
	completeFrom = 0.6
	// minAnswers is the least number of answers of each version for a verdict.
	minAnswers = 12
	// failureExcess is how much the new version's failure rate may exceed that of the old one.
	failureExcess = 0.12
	// minDeviations is the least difference of the failure rates in a verdict, in standard deviations.
	minDeviations = 3.2
	// slowFactor is the largest ratio of the new version's mean duration to that of the old one.
	slowFactor = 2.2
)

// State is the state of a rollout.
type State int

// The states of a rollout.
const (
	Running State = iota
	Completed
	RolledBack
)

// Order is an operator's order to move a service to a version.
type Order struct {
	Service  string
	Target   string // the new version
	Duration time.Duration
}

// Tally counts the answers of the old version or of the new one.
type Tally struct {
	Answers  int     `json:"n"`
	Failures int     `json:"f"`
	Seconds  float64 `json:"s"` // sum of the times until the answer, or until a stream's first event
}

// Evidence counts the answers of both versions since an order.
type Evidence struct {
	Target string `json:"target"`
	Old    Tally  `json:"old"`
	New    Tally  `json:"new"`
	AgeMs  int64  `json:"ageMs"` // since the node received the order; the largest of all nodes in a sum
}

// Add returns the sum of the evidence of two nodes on the same order.
func (e Evidence) Add(o Evidence) Evidence {
	return Evidence{Target: e.Target, Old: e.Old.Add(o.Old), New: e.New.Add(o.New), AgeMs: max(e.AgeMs, o.AgeMs)}
}

// Add returns the sum of two tallies.
func (t Tally) Add(o Tally) Tally {
	return Tally{Answers: t.Answers + o.Answers, Failures: t.Failures + o.Failures, Seconds: t.Seconds + o.Seconds}
}

// Bad reports whether the new version is far worse than the old one.
func (e Evidence) Bad() bool {
	if e.New.Answers < minAnswers || e.Old.Answers < minAnswers {
		return false
	}
	n, o := float64(e.New.Answers), float64(e.Old.Answers)
	rate, base := float64(e.New.Failures)/n, float64(e.Old.Failures)/o
	pooled := float64(e.New.Failures+e.Old.Failures) / (n + o)
	spread := math.Sqrt(pooled * (1 - pooled) * (1/n + 1/o))
	if rate-base > failureExcess && rate-base > minDeviations*spread {
		return true
	}
	return e.New.Seconds/n > slowFactor*e.Old.Seconds/o
}

// Rollout is one order with the evidence that this node has on it. It is not safe for concurrent use.
type Rollout struct {
	Order
	since         time.Time // when the first node received the order, as far as this node knows
	state         State
	local         Evidence // of this node
	bad           bool     // by the evidence of this node or of all nodes
	answeredByNew bool     // the evidence of all nodes has an answer of the new version
}

// New returns the rollout of an order that this node receives now.
func New(o Order, now time.Time) *Rollout {
	return &Rollout{Order: o, since: now, local: Evidence{Target: o.Target}}
}

// State returns the state that the fleet agreed on.
func (r *Rollout) State() State { return r.state }

// SetState sets the state that the fleet agreed on. A final state does not change.
func (r *Rollout) SetState(s State) {
	if r.state == Running {
		r.state = s
	}
}

// RecordAnswer records an answer from a server of the given version.
func (r *Rollout) RecordAnswer(version string, took time.Duration, failed bool) {
	t := &r.local.Old
	if version == r.Target {
		t = &r.local.New
	}
	t.Answers++
	t.Seconds += took.Seconds()
	if failed {
		t.Failures++
	}
	r.bad = r.bad || r.local.Bad()
}

// LocalEvidence returns the evidence of this node.
func (r *Rollout) LocalEvidence(now time.Time) Evidence {
	seen := r.local
	seen.AgeMs = now.Sub(r.since).Milliseconds()
	return seen
}

// ApplyFleetEvidence judges the sum of the evidence of all nodes. A node that started after the order takes the order's
// age from it.
func (r *Rollout) ApplyFleetEvidence(e Evidence, now time.Time) {
	if e.Target != r.Target {
		return
	}
	r.bad = r.bad || e.Bad()
	r.answeredByNew = r.answeredByNew || e.New.Answers > 0
	if since := now.Add(-time.Duration(e.AgeMs) * time.Millisecond); since.Before(r.since) {
		r.since = since
	}
}

// Share returns the share of the requests that the new version gets now.
func (r *Rollout) Share(now time.Time) float64 {
	switch {
	case r.state == Completed:
		return 1
	case r.state == RolledBack || r.bad:
		return 0
	}
	elapsed := now.Sub(r.since).Seconds() / r.Duration.Seconds()
	if elapsed < initialUntil {
		return initialShare
	}
	grown := (elapsed - growFrom) / (growUntil - growFrom)
	return min(1, max(trialShare, grown))
}

// ProposedState returns the state that the fleet should agree on now.
func (r *Rollout) ProposedState(now time.Time) State {
	switch {
	case r.state != Running:
		return r.state
	case r.bad:
		return RolledBack
	case now.Sub(r.since).Seconds() >= completeFrom*r.Duration.Seconds() && (r.answeredByNew || r.local.New.Answers > 0):
		return Completed
	}
	return Running
}

// Package versions decides how the requests of a service move to a new version of its servers, and whether the new
// version is bad.
//
// The servers of the new version run beside the old ones. A small share of the requests tries the new version first;
// then the share grows to all well before the order's duration has passed, so that a version that fails under load still
// shows while the old servers are there. Evidence is the sum of what all nodes saw since the order; a new version that
// fails far more often than the old one, or takes far longer, is bad. A verdict is final.
package versions

import (
	"math"
	"time"
)

const (
	// Shares of requests that try the new version: more at first, so that a version which is bad from the start shows
	// before its share grows. Together they stay below the tenth that a bad version may get.
	firstShare = 0.2
	trialShare = 0.07
	// Parts of an order's duration: the first share ends at firstTo, the share grows from growFrom to growTo, and the
	// rollout may be done from doneFrom. A rollout is not drawn out: while it lasts, servers of the new version that are
	// reclaimed come back as old ones.
	firstTo  = 0.2
	growFrom = 0.35
	growTo   = 0.5
	doneFrom = 0.6
	// minAnswers is how many answers of a version are judged at least.
	minAnswers = 12
	// failureExcess is by how much the failure rate of a bad version exceeds that of the old one at least.
	failureExcess = 0.12
	// deviations is how unlikely the difference must be by chance, in standard deviations.
	deviations = 3.2
	// slowFactor is how many times longer than the old one a bad version takes at least.
	slowFactor = 2.2
)

// State is how far a rollout is.
type State int

// The states of a rollout.
const (
	Running State = iota
	Completed
	RolledBack
)

// Order asks for a version of a service.
type Order struct {
	Service  string
	Target   string
	Duration time.Duration
}

// Tally counts answers of one side.
type Tally struct {
	Answers  int     `json:"n"`
	Failures int     `json:"f"`
	Seconds  float64 `json:"s"` // sum of the times to the answer, or to a stream's first event
}

// Evidence is what was seen of both sides since an order.
type Evidence struct {
	Target string `json:"target"`
	Old    Tally  `json:"old"`
	New    Tally  `json:"new"`
	AgeMs  int64  `json:"ageMs"` // since a node heard of the order; the largest of all in a sum
}

// Plus returns the sum of the evidence of two nodes on the same order.
func (e Evidence) Add(o Evidence) Evidence {
	return Evidence{Target: e.Target, Old: e.Old.Add(o.Old), New: e.New.Add(o.New), AgeMs: max(e.AgeMs, o.AgeMs)}
}

// Plus returns the sum of two tallies.
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
	if rate-base > failureExcess && rate-base > deviations*spread {
		return true
	}
	return e.New.Seconds/n > slowFactor*e.Old.Seconds/o
}

// Rollout is one order with what this node knows of it. It has one owner.
type Rollout struct {
	Order
	since time.Time // when this node heard of the order
	state State
	seen  Evidence // by this node
	bad   bool     // by its own evidence or that of all nodes
	tried bool     // a node had an answer of the new version
}

// New returns the rollout of an order that a node hears of now.
func New(o Order, now time.Time) *Rollout {
	return &Rollout{Order: o, since: now, seen: Evidence{Target: o.Target}}
}

// State returns the state that the fleet agreed on.
func (r *Rollout) State() State { return r.state }

// Agree takes the state that the fleet agreed on. A final one stays.
func (r *Rollout) SetState(s State) {
	if r.state == Running {
		r.state = s
	}
}

// Answered records an answer of a server of a version.
func (r *Rollout) Answered(version string, took time.Duration, failed bool) {
	t := &r.seen.Old
	if version == r.Target {
		t = &r.seen.New
	}
	t.Answers++
	t.Seconds += took.Seconds()
	if failed {
		t.Failures++
	}
	r.bad = r.bad || r.seen.Bad()
}

// Seen returns what this node saw.
func (r *Rollout) LocalEvidence(now time.Time) Evidence {
	seen := r.seen
	seen.AgeMs = now.Sub(r.since).Milliseconds()
	return seen
}

// Judge takes what all nodes saw. A node that started after the order learns its age from the others.
func (r *Rollout) AddFleetEvidence(e Evidence, now time.Time) {
	if e.Target != r.Target {
		return
	}
	r.bad = r.bad || e.Bad()
	r.tried = r.tried || e.New.Answers > 0
	if since := now.Add(-time.Duration(e.AgeMs) * time.Millisecond); since.Before(r.since) {
		r.since = since
	}
}

// Share returns the part of the requests that the new version gets now.
func (r *Rollout) Share(now time.Time) float64 {
	switch {
	case r.state == Completed:
		return 1
	case r.state == RolledBack || r.bad:
		return 0
	}
	part := now.Sub(r.since).Seconds() / r.Duration.Seconds()
	if part < firstTo {
		return firstShare
	}
	grown := (part - growFrom) / (growTo - growFrom)
	return min(1, max(trialShare, grown))
}

// Wanted returns the state that the fleet should agree on now.
func (r *Rollout) ProposedState(now time.Time) State {
	switch {
	case r.state != Running:
		return r.state
	case r.bad:
		return RolledBack
	case now.Sub(r.since).Seconds() >= doneFrom*r.Duration.Seconds() && (r.tried || r.seen.New.Answers > 0):
		return Completed
	}
	return Running
}

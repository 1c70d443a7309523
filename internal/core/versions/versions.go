// Package versions decides how the requests of a service move to a new version of its servers, and whether the new
// version is bad.
//
// The servers of the new version run beside the old ones. At first a small share of the requests goes to the new
// version. The share then grows to all requests well before the order's duration has passed, so that a version that
// fails only under load is found while the old servers still run. It does not grow before there are enough answers for a
// verdict. A new version is bad if it fails far more often than the old one, takes far longer to answer or to begin a
// stream, or sends the events of its streams far more slowly. Answers that are overdue count with the time that they have
// taken so far, since those of a slow version come last.
//
// Each node keeps a [Rollout] per order and counts the answers of both versions. It judges its own [Evidence] and the
// sum of the evidence of all nodes. The fleet agrees on the [State] of a rollout; a final state does not change.
//
// Gateways use this package for services. Other nodes use package rollout for the versions of a model.
package versions

import (
	"maps"
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
	// heldShare is the share from then on while there are too few answers for a verdict.
	heldShare = 0.4
	// minAnswers is the least number of answers of each version for a verdict on failures, and of the old version for any.
	minAnswers = 12
	// minTimed is the least number of answers of the new version for a verdict on their times, without which its share does
	// not grow.
	minTimed = 8
	// minGaps is the least number of gaps between events of each version for a verdict, and minGapStreams that of the
	// streams that they come from.
	minGaps       = 24
	minGapStreams = 3
	// failureExcess is how much the new version's failure rate may exceed that of the old one.
	failureExcess = 0.12
	// minDeviations is the least difference of the failure rates in a verdict, in standard deviations.
	minDeviations = 3.2
	// slowFactor is the largest ratio of the new version's mean duration, or mean gap, to that of the old one. With few
	// answers, or streams, chance makes larger ones: slowMargin divided by their number is added.
	slowFactor = 2.2
	slowMargin = 6.0
	// maxGap is how much a gap counts at most: a single preemption must not decide.
	maxGap = time.Second
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

	Gaps       int     `json:"g,omitempty"`  // between the events of streams
	GapSeconds float64 `json:"gs,omitempty"` // sum of the gaps
	GapStreams int     `json:"gn,omitempty"` // streams with gaps
}

// Evidence counts the answers of both versions since an order.
type Evidence struct {
	Target string `json:"target"`
	Old    Tally  `json:"old"`
	New    Tally  `json:"new"`
	AgeMs  int64  `json:"ageMs"` // since the node received the order; the largest of all nodes in a sum

	Routes map[string]RouteTally `json:"routes,omitempty"` // by route; nodes of earlier versions send none
}

// Add returns the sum of the evidence of two nodes on the same order.
func (e Evidence) Add(o Evidence) Evidence {
	return Evidence{
		Target: e.Target, Old: e.Old.Add(o.Old), New: e.New.Add(o.New), AgeMs: max(e.AgeMs, o.AgeMs), Routes: addRoutes(e.Routes, o.Routes),
	}
}

// Add returns the sum of two tallies.
func (t Tally) Add(o Tally) Tally {
	return Tally{
		Answers: t.Answers + o.Answers, Failures: t.Failures + o.Failures, Seconds: t.Seconds + o.Seconds,
		Gaps: t.Gaps + o.Gaps, GapSeconds: t.GapSeconds + o.GapSeconds, GapStreams: t.GapStreams + o.GapStreams,
	}
}

// canCompareGaps reports whether both tallies have enough gaps for a verdict.
func (e Evidence) canCompareGaps() bool {
	return min(e.New.Gaps, e.Old.Gaps) >= minGaps && min(e.New.GapStreams, e.Old.GapStreams) >= minGapStreams
}

// insufficient reports whether the new version has too few answers for its share to grow.
func (e Evidence) insufficient() bool {
	if e.sum().lacks(minGood) {
		return true
	}
	if e.Old.Answers < minAnswers {
		return false
	}
	return e.New.Answers < minTimed || e.slowness() > slowFactor || e.Old.GapStreams >= minAnswers && !e.canCompareGaps()
}

// slowness returns the ratio of the new version's mean duration to that of the old one. Both have answers.
func (e Evidence) slowness() float64 {
	return e.New.Seconds / float64(e.New.Answers) / (e.Old.Seconds / float64(e.Old.Answers))
}

// gapSlowness returns the ratio of the new version's mean gap to that of the old one. Both have gaps.
func (e Evidence) gapSlowness() float64 {
	return e.New.GapSeconds / float64(e.New.Gaps) / (e.Old.GapSeconds / float64(e.Old.Gaps))
}

// slowLimit returns the largest ratio of two means that chance and load may make with n answers or streams of the new version.
func slowLimit(n int) float64 { return slowFactor + slowMargin/float64(n) }

// Bad reports whether the new version is far worse than the old one.
func (e Evidence) Bad() bool {
	switch {
	case e.badOnARoute():
		return true
	case e.canCompareGaps() && e.gapSlowness() > slowLimit(e.New.GapStreams):
		return true
	case e.New.Answers < minTimed || e.Old.Answers < minAnswers:
		return false
	case e.slowness() > slowLimit(e.New.Answers):
		return true
	case e.New.Answers < minAnswers:
		return false
	}
	n, o := float64(e.New.Answers), float64(e.Old.Answers)
	rate, base := float64(e.New.Failures)/n, float64(e.Old.Failures)/o
	pooled := float64(e.New.Failures+e.Old.Failures) / (n + o)
	spread := math.Sqrt(pooled * (1 - pooled) * (1/n + 1/o))
	return rate-base > failureExcess && rate-base > minDeviations*spread
}

// Rollout is one order with the evidence that this node has on it. It is not safe for concurrent use.
type Rollout struct {
	Order
	since         time.Time // when the first node received the order, as far as this node knows
	state         State
	local         Evidence // of this node, without overdue answers
	fleet         Evidence // of all nodes, as last received
	awaited       map[string]awaited
	heldAt        time.Time // when the evidence was last insufficient for the share to grow
	bad           bool      // by the evidence of this node or of all nodes
	answeredByNew bool      // the evidence of all nodes has an answer of the new version
}

// New returns the rollout of an order that this node receives now.
func New(o Order, now time.Time) *Rollout {
	return &Rollout{Order: o, since: now, local: Evidence{Target: o.Target}, awaited: make(map[string]awaited)}
}

// awaited is a request whose answer has not begun.
type awaited struct {
	version string
	sentAt  time.Time
	target  time.Duration // the answer is overdue after it
}

// ExpectAnswer records that a request was sent to a server of the given version and should be answered within target.
func (r *Rollout) ExpectAnswer(id, version string, target time.Duration, now time.Time) {
	r.awaited[id] = awaited{version, now, target}
}

// EndWait records that a request no longer waits for an answer. An answer that is overdue and did not come counts with the
// time that the request waited.
func (r *Rollout) EndWait(id string, answered bool, now time.Time) {
	a, ok := r.awaited[id]
	delete(r.awaited, id)
	if took := now.Sub(a.sentAt); ok && !answered && took > a.target {
		r.RecordAnswer(a.version, took, false)
	}
}

// tally returns this node's tally of a version.
func (e *Evidence) tally(version string) *Tally {
	if version == e.Target {
		return &e.New
	}
	return &e.Old
}

// State returns the state that the fleet agreed on.
func (r *Rollout) State() State { return r.state }

// SetState sets the state that the fleet agreed on. A final state does not change.
func (r *Rollout) SetState(s State) {
	if r.state == Running {
		r.state = s
	}
}

// RecordRoute records whether an answer on a route, which RecordAnswer records as well, is a failure.
func (r *Rollout) RecordRoute(route, version string, failed bool) {
	r.local.recordRoute(route, version, failed)
	r.bad = r.bad || r.local.Bad()
}

// RecordAnswer records an answer from a server of the given version.
func (r *Rollout) RecordAnswer(version string, took time.Duration, failed bool) {
	t := r.local.tally(version)
	t.Answers++
	t.Seconds += took.Seconds()
	if failed {
		t.Failures++
	}
	r.bad = r.bad || r.local.Bad()
}

// RecordGaps records gaps between events of a stream of the given version. first is set the first time for a stream.
func (r *Rollout) RecordGaps(version string, gaps []time.Duration, first bool) {
	t := r.local.tally(version)
	for _, gap := range gaps {
		t.Gaps++
		t.GapSeconds += min(gap, maxGap).Seconds()
	}
	if first {
		t.GapStreams++
	}
	r.bad = r.bad || r.local.Bad()
}

// LocalEvidence returns the evidence of this node, with the answers that are overdue now.
func (r *Rollout) LocalEvidence(now time.Time) Evidence {
	seen := r.local
	seen.Routes = maps.Clone(r.local.Routes)
	seen.AgeMs = now.Sub(r.since).Milliseconds()
	for _, a := range r.awaited {
		if took := now.Sub(a.sentAt); took > a.target {
			t := seen.tally(a.version)
			t.Answers++
			t.Seconds += took.Seconds()
		}
	}
	return seen
}

// ApplyFleetEvidence judges the sum of the evidence of all nodes. A node that started after the order takes the order's
// age from it.
func (r *Rollout) ApplyFleetEvidence(e Evidence, now time.Time) {
	if e.Target != r.Target {
		return
	}
	r.fleet = e
	r.bad = r.bad || e.Bad()
	r.answeredByNew = r.answeredByNew || e.New.Answers > 0
	if since := now.Add(-time.Duration(e.AgeMs) * time.Millisecond); since.Before(r.since) {
		r.since = since
	}
}

// ShareOn returns the share of the requests on a route that the new version gets now. It is larger than that of the service on a route
// that the new version has hardly been tried on.
func (r *Rollout) ShareOn(route string, now time.Time) float64 {
	share := r.Share(now)
	if share == 0 || share >= heldShare || !r.evidence().untried(route) {
		return share
	}
	return heldShare
}

// Share returns the share of the requests that the new version gets now.
func (r *Rollout) Share(now time.Time) float64 {
	switch {
	case r.state == Completed:
		return 1
	case r.state == RolledBack || r.bad:
		return 0
	}
	elapsed := r.elapsed(now)
	held, share := r.holds(elapsed, now)
	switch {
	case elapsed < initialUntil:
		return initialShare
	case held:
		return share
	}
	from := max(growFrom, r.heldAt.Sub(r.since).Seconds()/r.Duration.Seconds())
	grown := (elapsed - from) / (growUntil - growFrom)
	return min(1, max(trialShare, grown))
}

// elapsed returns the fraction of the duration that has passed.
func (r *Rollout) elapsed(now time.Time) float64 {
	return now.Sub(r.since).Seconds() / r.Duration.Seconds()
}

// evidence returns that of all nodes or, if it lags behind, that of this node.
func (r *Rollout) evidence() Evidence {
	if r.fleet.Old.Answers+r.fleet.New.Answers < r.local.Old.Answers+r.local.New.Answers {
		return r.local
	}
	return r.fleet
}

// holds reports whether the evidence is insufficient for the share to grow, and the share until then.
func (r *Rollout) holds(elapsed float64, now time.Time) (held bool, share float64) {
	e := r.evidence()
	switch {
	case e.New.Answers > 0 && elapsed >= judgedUntil && !e.suspicious() && (e.sum().lacks(minGood) || e.untriedRoutes()):
		return false, 0 // there are too few requests
	case e.New.Answers == 0 && elapsed >= judgedUntil && e.Old.Answers < fewRequests:
		share = lateShare
	case e.insufficient():
		share = heldShare
	case e.untriedRoutes() || e.suspicious():
		share = trialShare
	default:
		return false, 0
	}
	r.heldAt = now
	return true, share
}

// ProposedState returns the state that the fleet should agree on now.
func (r *Rollout) ProposedState(now time.Time) State {
	switch {
	case r.state != Running:
		return r.state
	case r.bad || r.elapsed(now) >= 1 && r.evidence().suspicious():
		return RolledBack
	case r.Share(now) < 1:
		return Running
	case now.Sub(r.since).Seconds() >= completeFrom*r.Duration.Seconds() && (r.answeredByNew || r.local.New.Answers > 0):
		return Completed
	}
	return Running
}

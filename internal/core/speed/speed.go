package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// slowPeriod is how long a server is slow at a time. A momentary factor counts for this long.
	slowPeriod = 600 * time.Millisecond
	// weightHalfLife is the time in which observations lose half of their weight in a steady factor.
	weightHalfLife = 20 * time.Second
	// staleAfter is the age of the last observation from which a steady factor approaches 1, by half in each staleHalfLife.
	// A server that became faster unseen gets an occasional request by that, and no more than one of ordinary speed does.
	staleAfter    = 5 * time.Second
	staleHalfLife = 10 * time.Second
	// priorWeight is the weight of the assumption that a server has a factor of 1.
	priorWeight = 3.0
	// maxWeight bounds the weight of a steady factor, so that observations of the last minute prevail.
	maxWeight = 60.0
	// settledWeight is the weight from which a steady factor is known well enough to separate momentary deviations from it.
	settledWeight = 8.0
	// maxDeviation bounds the effect of one observation on a settled steady factor, as a ratio. Slow periods and prompts
	// that other nodes placed a moment ago exceed it.
	maxDeviation = 1.4
	// minFactor and maxFactor bound factors: a request that waited for other reasons says nothing of the speed.
	minFactor = 0.2
	maxFactor = 8.0
	// slowGaps is the ratio of gaps to their prediction, at the steady factor, from which a server counts as slow at the
	// moment. Prompts that the node does not know of lengthen gaps by up to 1.9, few by more than 1.6.
	slowGaps = 1.6
	// bunchedGap is the fraction of its prediction below which a gap shows that events arrive together. The fastest servers
	// have gaps of 0.6.
	bunchedGap = 0.25
	// paceTTL is how long a pace that the server states takes precedence over observed gaps.
	paceTTL = 150 * time.Millisecond
	// firstEventWeight is the weight of a time to the first event, where the gaps of four events have 1: prompts of other
	// nodes and their urgency make it vary more.
	firstEventWeight = 0.5
)

// Server identifies one start of a server. Another start under the same ID has none of the earlier factors.
type Server struct {
	ID      string
	Started int64 // Unix milliseconds
}

// Estimate is what is known of the speed of a server. The zero value means that speeds are not in use.
type Estimate struct {
	Steady     float64       // factor of the hardware
	Momentary  float64       // factor of the shared machine, as it was last observed
	SlowFor    time.Duration // how much longer the momentary factor is expected to hold
	Likely     float64       // probability, from 0 to 1, that the momentary factor still holds
	Age        time.Duration // of the last observation
	Confidence float64       // in the steady factor, from 0 to 1
}

// Known reports whether speeds are in use.
func (e Estimate) Known() bool { return e.Steady > 0 }

// Factor returns the expected factor at the moment.
func (e Estimate) Factor() float64 { return e.Steady * (1 + (e.Momentary-1)*e.Likely) }

// Time returns the expected time of work that begins now and would take a given time at a factor of 1.
func (e Estimate) Time(work time.Duration) time.Duration {
	usual := time.Duration(float64(work) * e.Steady)
	if e.SlowFor <= 0 || e.Momentary <= 0 {
		return usual
	}
	if now := time.Duration(float64(usual) * e.Momentary); now <= e.SlowFor {
		return now
	}
	return usual + e.SlowFor - time.Duration(float64(e.SlowFor)/e.Momentary)
}

// Report is what one or several nodes know of one server.
type Report struct {
	Factor       float64 // steady
	Weight       float64
	Age          time.Duration // of the last observation
	Momentary    float64       // 0 if it is not known
	MomentaryAge time.Duration
}

// Merge returns the report of two disjoint sets of nodes. A zero report adds nothing.
func Merge(a, b Report) Report {
	switch {
	case a == (Report{}):
		return b
	case b == (Report{}):
		return a
	case b.Weight > a.Weight:
		a, b = b, a
	}
	a.Age = min(a.Age, b.Age)
	if b.Momentary > 0 && (a.Momentary == 0 || b.MomentaryAge < a.MomentaryAge) {
		a.Momentary, a.MomentaryAge = b.Momentary, b.MomentaryAge
	}
	if b.Weight <= 0 {
		return a
	}
	total := a.Weight + b.Weight
	a.Factor = math.Exp((a.Weight*math.Log(a.Factor) + b.Weight*math.Log(b.Factor)) / total)
	a.Weight = min(total, maxWeight)
	return a
}

// Estimate returns the estimate by a report.
func (r Report) Estimate() Estimate {
	e := Estimate{Steady: 1, Momentary: 1, Age: r.Age}
	if r.Weight > 0 {
		stale := max(0, r.Age-staleAfter).Seconds() / staleHalfLife.Seconds()
		e.Confidence = r.Weight / (r.Weight + priorWeight) * math.Exp2(-stale)
		e.Steady = 1 + (r.Factor-1)*e.Confidence
	}
	// Where in its slow period a server was observed is unknown, so that the rest of the period is uniformly distributed.
	if rest := slowPeriod - r.MomentaryAge; r.Momentary > 0 && rest > 0 {
		e.Momentary = r.Momentary
		e.Likely = rest.Seconds() / slowPeriod.Seconds()
		e.SlowFor = time.Duration(float64(rest) * e.Likely / 2)
	}
	return e
}

// Later returns the report after more time.
func (r Report) Later(d time.Duration) Report {
	r.Weight *= math.Exp2(-d.Seconds() / weightHalfLife.Seconds())
	r.Age += d
	r.MomentaryAge += d
	return r
}

// record is what was observed of one server.
type record struct {
	started int64
	logMean float64 // of the steady factor
	weight  float64
	at      time.Time // of the last observation that weight is decayed to; zero before the first

	momentary   float64 // 0 before the first observation
	momentaryAt time.Time
	pacedAt     time.Time // when the server last stated its pace
}

// Tracker tracks the servers that a node uses. It is not safe for concurrent use.
type Tracker struct {
	servers map[string]*record
}

// NewTracker returns a tracker without observations.
func NewTracker() *Tracker { return &Tracker{servers: make(map[string]*record)} }

// record returns the record of a server, or nil if another start of it is known that is later.
func (t *Tracker) record(s Server) *record {
	r := t.servers[s.ID]
	if r == nil || r.started < s.Started {
		r = &record{started: s.Started}
		t.servers[s.ID] = r
	}
	if r.started > s.Started {
		return nil
	}
	return r
}

// RecordPace records that a server states its pace, where 1 is as usual.
func (t *Tracker) RecordPace(s Server, pace float64, now time.Time) {
	if r := t.record(s); r != nil {
		r.momentary, r.momentaryAt, r.pacedAt = pace, now, now
	}
}

// RecordGaps records successive gaps between the events of a stream, and the prediction for each.
func (t *Tracker) RecordGaps(s Server, gaps []time.Duration, predicted time.Duration, now time.Time) {
	r := t.record(s)
	if r == nil || len(gaps) == 0 || predicted <= 0 {
		return
	}
	sum := time.Duration(0)
	for _, g := range gaps {
		sum += g
	}
	ratio := sum.Seconds() / float64(len(gaps)) / predicted.Seconds()
	paced := now.Sub(r.pacedAt) < paceTTL
	// Events that arrive together were held up on their way, by a link or a busy node.
	bunched := slices.Min(gaps).Seconds() < bunchedGap*predicted.Seconds()
	if r.weight >= settledWeight && !paced && !bunched {
		relative := ratio / math.Exp(r.logMean)
		r.momentary, r.momentaryAt = 1, now
		if relative > slowGaps {
			r.momentary = min(relative, maxFactor)
		}
	}
	if paced {
		ratio /= r.momentary
	}
	r.learn(ratio, 1, now)
}

// RecordFirstEvent records the time to the first event of a stream, and its prediction for the prompts that were ahead.
func (t *Tracker) RecordFirstEvent(s Server, took, predicted time.Duration, now time.Time) {
	t.recordWork(s, took, predicted, firstEventWeight, now)
}

// RecordCall records the duration of a call of a plain service, and its prediction.
func (t *Tracker) RecordCall(s Server, took, predicted time.Duration, now time.Time) {
	t.recordWork(s, took, predicted, 1, now)
}

func (t *Tracker) recordWork(s Server, took, predicted time.Duration, weight float64, now time.Time) {
	r := t.record(s)
	if r == nil || took <= 0 || predicted <= 0 {
		return
	}
	ratio := took.Seconds() / predicted.Seconds()
	if r.momentary > 0 && now.Sub(r.momentaryAt) < paceTTL {
		ratio /= r.momentary
	}
	r.learn(ratio, weight, now)
}

// learn adds an observation to the steady factor.
func (r *record) learn(ratio, weight float64, now time.Time) {
	x := math.Log(min(maxFactor, max(minFactor, ratio)))
	if !r.at.IsZero() {
		r.weight *= math.Exp2(-max(0, now.Sub(r.at).Seconds()) / weightHalfLife.Seconds())
	}
	if r.weight >= settledWeight {
		bound := math.Log(maxDeviation)
		x = min(r.logMean+bound, max(r.logMean-bound, x))
	}
	r.weight = min(r.weight+weight, maxWeight)
	r.logMean += (x - r.logMean) * weight / r.weight
	r.at = now
}

// Report returns what was observed of a server. It is zero without observations.
func (t *Tracker) Report(s Server, now time.Time) Report {
	r := t.servers[s.ID]
	if r == nil || r.started != s.Started {
		return Report{}
	}
	return r.report(now)
}

func (r *record) report(now time.Time) Report {
	var rep Report
	if r.weight > 0 {
		rep = Report{Factor: math.Exp(r.logMean), Weight: r.weight}.Later(max(0, now.Sub(r.at)))
	}
	if r.momentary > 0 {
		rep.Momentary, rep.MomentaryAge = r.momentary, max(0, now.Sub(r.momentaryAt))
	}
	if r.weight == 0 || r.momentary > 0 {
		rep.Age = min(cmp.Or(rep.Age, rep.MomentaryAge), rep.MomentaryAge)
	}
	return rep
}

const (
	// maxReported is the largest number of servers in a digest.
	maxReported = 64
	// minDeviation is how far a factor differs from 1 that is reported. Smaller differences do not change a choice.
	minDeviation = 0.1
	// reportedAge is the age of the last observation up to which a server is reported.
	reportedAge = 30 * time.Second
)

// Worth reports whether other nodes should know a report.
func (r Report) Worth() bool {
	if r.Age > reportedAge {
		return false
	}
	return r.Deviates() || r.Weight >= 1 && math.Abs(r.Factor-1) > minDeviation
}

// Deviates reports whether the momentary factor counts and differs from 1.
func (r Report) Deviates() bool {
	return r.Momentary > 0 && r.MomentaryAge < slowPeriod && math.Abs(r.Momentary-1) > minDeviation
}

// Newest keeps at most the reports of maxReported servers, those with the latest observations.
func Newest(reports map[Server]Report) {
	if len(reports) <= maxReported {
		return
	}
	servers := slices.SortedFunc(maps.Keys(reports), func(a, b Server) int {
		return cmp.Or(cmp.Compare(reports[a].Age, reports[b].Age), cmp.Compare(a.ID, b.ID))
	})
	for _, s := range servers[maxReported:] {
		delete(reports, s)
	}
}

// Reports returns what other nodes should know of the servers.
func (t *Tracker) Reports(now time.Time) map[Server]Report {
	reports := make(map[Server]Report)
	for id, r := range t.servers {
		if rep := r.report(now); rep.Worth() {
			reports[Server{id, r.started}] = rep
		}
	}
	Newest(reports)
	return reports
}

// RetainOnly drops what was observed of all servers that keep does not accept.
func (t *Tracker) RetainOnly(keep func(id string) bool) {
	maps.DeleteFunc(t.servers, func(id string, _ *record) bool { return !keep(id) })
}

package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// This file defines the judge of one new version.

// metric is one way in which a version can be bad.
type metric string

const (
	metricFailed metric = "failed"
	metricFirst  metric = "slow to the first token"
	metricGap    metric = "slow between tokens"
	// metricKills is judged over servers and periods: how often a server dies while the version runs on it.
	metricServerFailures metric = "killing its servers"
)

// metrics are those that are judged by route and load level.
var metrics = []metric{metricFailed, metricFirst, metricGap}

// tolerance is how much worse than the version beside it a version may be.
type tolerance struct {
	ratio float64 // of the rates of bad requests
	floor float64 // rate of bad requests that is always tolerated
}

var tolerances = map[metric]tolerance{
	metricFailed:         {ratio: 1.5, floor: 0.005},
	metricFirst:          {ratio: 2, floor: 0.05},
	metricGap:            {ratio: 2, floor: 0.05},
	metricServerFailures: {ratio: 3, floor: 0.002},
}

const (
	// slowBuckets above the control's median is slow: more than 1.25 to the power of 2, 1.56 times.
	slowBuckets = 2
	// slowBucketsElsewhere applies where the control ran only at another load level: 3 times.
	slowBucketsElsewhere = 5
	// minControl is how many requests of the control a cell needs for a comparison of its own.
	minControl = 20
	// maxTolerated bounds a tolerated rate, so that a worse one can always be seen.
	maxTolerated = 0.8
	// aloneFrom is the part of the requests from which the new version counts as having no control beside it.
	withoutControlShare = 0.95
	// maxCells is the number of cells that the error is divided over.
	maxCells = 2 * (maxRoutes + 1)
)

// comparison tests one metric in one cell.
type comparison struct {
	VersusControl  *testProcess `json:"beside"` // against the control in the same periods
	AboveRate      *testProcess `json:"above"`  // above the tolerated rate in those periods
	WithoutControl *testProcess `json:"alone"`  // above the tolerated rate in periods without a control
}

// comparisonKey names a comparison. The cell of all routes and levels has neither.
type comparisonKey struct {
	route  string
	load   Load
	metric metric
}

// String describes the comparison to operators.
func (k comparisonKey) String() string {
	if k.route == "" {
		return string(k.metric)
	}
	return fmt.Sprintf("%s on route %s at %s load", k.metric, k.route, k.load)
}

// Judge tests one new version against the other versions of its model. It is not safe for concurrent use.
type Judge struct {
	version               string
	control               map[string]bool // versions that are compared with
	alpha                 float64
	horizon               int
	controlCells          map[Key]*Tally // of the control, by cell with an empty version, since the start
	tests                 map[comparisonKey]*comparison
	serverFailures        map[ServerFailure]bool // counted already
	lastFailureWindow     int64                  // window of the latest death counted
	servers               int                    // that may run the model; zero when not known
	controlServerFailures counts                 // deaths of servers without the new version, over servers and periods
	verdict               string                 // not empty once the version is condemned
	requests              int                    // requests of the new version
}

// NewJudge returns a judge whose chance of ever condemning a version that keeps the tolerances is at most
// alpha. horizon is the number of periods it is to watch, servers the number of servers that may run the model.
func NewJudge(version string, control []string, alpha float64, horizon, servers int) *Judge {
	j := &Judge{
		version: version, control: make(map[string]bool), alpha: alpha, horizon: max(horizon, 1), servers: servers,
		controlCells: make(map[Key]*Tally), tests: make(map[comparisonKey]*comparison), serverFailures: make(map[ServerFailure]bool),
	}
	for _, v := range control {
		j.control[v] = true
	}
	return j
}

// Verdict returns why the version is bad, or an empty string.
func (j *Judge) Verdict() string { return j.verdict }

// Seen returns how many requests of the new version were judged.
func (j *Judge) RequestCount() int { return j.requests }

// Suspicion returns how far the most suspicious test is towards a verdict, from 0 to 1.
func (j *Judge) Suspicion() float64 {
	most := 0.0
	for k, t := range j.tests {
		most = max(most, t.progress(j.threshold(k)))
	}
	return min(most, 1)
}

// Returns the log threshold of a comparison. Half of alpha goes to periods with a control and half to those
// without; of each, half goes to the two tests over all cells and half to the cells.
func (j *Judge) threshold(k comparisonKey) float64 {
	if k.route == "" {
		return math.Log(8 / j.alpha)
	}
	return math.Log(4 / j.alpha * float64(maxCells*len(metrics)))
}

// Returns how far the comparison is towards its threshold. With a control beside it, a version must be both
// worse than the control and above the tolerated rate.
func (c *comparison) progress(threshold float64) float64 {
	beside := min(c.VersusControl.log(), c.AboveRate.log())
	return max(beside, c.WithoutControl.log()) / threshold
}

// Add judges one period.
func (j *Judge) Add(e Evidence) {
	candidate, control := j.split(e)
	total := pair{}
	for _, k := range sortedKeys(candidate, control) {
		p := pair{candidate: candidate[k], control: control[k]}
		total = total.plus(p)
	}
	alone := total.withoutControl()
	j.updateComparison(comparisonKey{metric: metricFailed}, total.counts(metricFailed, 0), j.toleratedRate(metricFailed, j.controlRequests()), alone)
	j.addServerFailures(e)
	for _, k := range sortedKeys(candidate, control) {
		j.addCell(k, pair{candidate: candidate[k], control: control[k]}, alone)
	}
	for k, t := range control {
		j.controlCell(k).Merge(*t)
	}
	j.requests += total.tally(true).Requests
}

// Returns the cells of the new version and of the control, without their versions.
func (j *Judge) split(e Evidence) (candidate, control map[Key]*Tally) {
	candidate, control = make(map[Key]*Tally), make(map[Key]*Tally)
	for k, t := range e.Cells {
		side := candidate
		if j.control[k.Version] {
			side = control
		} else if k.Version != j.version {
			continue
		}
		k.Version = ""
		if side[k] == nil {
			side[k] = new(Tally)
		}
		side[k].Merge(*t)
	}
	return candidate, control
}

func sortedKeys(a, b map[Key]*Tally) []Key {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return slices.SortedFunc(maps.Keys(all), compareKeys)
}

// pair is what was seen of both sides in one cell. Either may be nil.
type pair struct{ candidate, control *Tally }

func (p pair) tally(candidate bool) Tally {
	t := p.control
	if candidate {
		t = p.candidate
	}
	if t == nil {
		return Tally{}
	}
	return *t
}

func (p pair) plus(q pair) pair {
	candidate, control := new(Tally), new(Tally)
	candidate.Merge(p.tally(true))
	candidate.Merge(q.tally(true))
	control.Merge(p.tally(false))
	control.Merge(q.tally(false))
	return pair{candidate: candidate, control: control}
}

// Reports whether hardly any requests ran beside the new version's.
func (p pair) withoutControl() bool {
	n, c := p.tally(true).Requests, p.tally(false).Requests
	return n > 0 && float64(n) >= withoutControlShare*float64(n+c)
}

// Returns the counts of both sides for a metric; above bucket slow is bad.
func (p pair) counts(m metric, slow int) [2]counts {
	return [2]counts{countsOf(p.tally(true), m, slow), countsOf(p.tally(false), m, slow)}
}

func countsOf(t Tally, m metric, slow int) counts {
	switch m {
	case metricFirst:
		return counts{N: t.First.Total(), Bad: t.First.above(slow)}
	case metricGap:
		return counts{N: t.Gap.Total(), Bad: t.Gap.above(slow)}
	}
	return counts{N: t.Requests, Bad: t.Failures}
}

// Tests every metric in one cell. What is slow, and what is tolerated, is taken from the control's history up
// to this period, so that it does not depend on the period itself.
func (j *Judge) addCell(k Key, p pair, alone bool) {
	for _, m := range metrics {
		slow, history, ok := j.slowReference(k, m)
		if !ok {
			continue
		}
		key := comparisonKey{route: k.Route, load: k.Load, metric: m}
		j.updateComparison(key, p.counts(m, slow), j.toleratedRate(m, history), alone)
	}
}

// Returns the bucket above which a metric is slow and the control's counts with it. A cell in which the
// control has run too little uses what the control did on its other load levels, and then on all routes.
func (j *Judge) slowReference(k Key, m metric) (slow int, history counts, ok bool) {
	if t := j.controlCells[k]; t != nil {
		if slow, history, ok = referenceOf(*t, m, slowBuckets); ok {
			return slow, history, true
		}
	}
	for _, at := range []Key{{Route: k.Route}, {}} {
		if slow, history, ok = referenceOf(j.controlTally(at), m, slowBucketsElsewhere); ok {
			return slow, history, true
		}
	}
	return 0, counts{}, false
}

// Returns the reference that a tally of the control gives, if it holds enough.
func referenceOf(t Tally, m metric, margin int) (slow int, history counts, ok bool) {
	switch m {
	case metricFirst:
		slow = t.First.median() + margin
	case metricGap:
		slow = t.Gap.median() + margin
	}
	history = countsOf(t, m, slow)
	return slow, history, history.N >= minControl
}

// Returns what the control did on a route, or on all when k has none.
func (j *Judge) controlTally(k Key) Tally {
	var all Tally
	for have, t := range j.controlCells {
		if k.Route == "" || have.Route == k.Route {
			all.Merge(*t)
		}
	}
	return all
}

// Returns the control's requests and failures over all cells.
func (j *Judge) controlRequests() counts {
	var c counts
	for _, t := range j.controlCells {
		c.N += t.Requests
		c.Bad += t.Failures
	}
	return c
}

func (j *Judge) controlCell(k Key) *Tally {
	if j.controlCells[k] == nil {
		j.controlCells[k] = new(Tally)
	}
	return j.controlCells[k]
}

// Returns the rate of bad requests that is tolerated given the control's history.
func (j *Judge) toleratedRate(m metric, history counts) float64 {
	t := tolerances[m]
	if history.N < minControl {
		return t.floor
	}
	return min(max(t.floor, t.ratio*history.upper()), maxTolerated)
}

// Updates one comparison and condemns the version when it passes its threshold.
func (j *Judge) updateComparison(key comparisonKey, sides [2]counts, tolerated float64, alone bool) {
	candidate, control := sides[0], sides[1]
	if candidate.N == 0 && control.N == 0 {
		return
	}
	c := j.tests[key]
	if c == nil {
		c = &comparison{VersusControl: newTestProcess(j.horizon), AboveRate: newTestProcess(j.horizon), WithoutControl: newTestProcess(j.horizon)}
		j.tests[key] = c
	}
	if alone {
		c.WithoutControl.compareWithRate(candidate, tolerated)
	} else {
		c.VersusControl.compareWithControl(candidate, control, tolerances[key.metric].ratio)
		c.AboveRate.compareWithRate(candidate, tolerated)
	}
	if j.verdict == "" && c.progress(j.threshold(key)) >= 1 {
		j.verdict = fmt.Sprintf("version %s is %s: %d of %d in the last period, %d of %d beside it", j.version, key, candidate.Bad, candidate.N, control.Bad, control.N)
	}
}

package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// metric is a way in which a version can be bad. Checkpoints store its text, and verdicts show it to operators.
type metric string

const (
	metricFailed metric = "failed"
	metricFirst  metric = "slow to the first token"
	metricGap    metric = "slow between tokens"
	// metricServerFailures is how often a server fails while the version runs on it. It counts servers and periods
	// instead of requests.
	metricServerFailures metric = "killing its servers"
)

// metrics are the metrics that are judged for each route and load level.
var metrics = []metric{metricFailed, metricFirst, metricGap}

// tolerance is how much worse than the control a new version may be.
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
	// slowBuckets is how many buckets above the control's median a duration counts as slow: more than 1.56 times the
	// median, which is bucketRatio to the power of 2.
	slowBuckets = 2
	// slowBucketsElsewhere replaces slowBuckets where the control ran only at other load levels or on other routes: 3
	// times the median.
	slowBucketsElsewhere = 5
	// minControl is the least number of the control's requests from which a limit for slow durations or a tolerated rate
	// is derived.
	minControl = 20
	// maxTolerated is the largest tolerated rate, so that a worse rate is always possible.
	maxTolerated = 0.8
	// withoutControlShare is the least share of the requests, or of the servers, at which the new version counts as
	// running without a control.
	withoutControlShare = 0.95
	// maxCells is the largest number of cells: two load levels for each route and for otherRoutes. Judge.threshold divides
	// alpha among them.
	maxCells = 2 * (maxRoutes + 1)
)

// comparison holds the tests of one metric in one cell.
type comparison struct {
	VersusControl  *testProcess `json:"beside"` // rate against that of the control, in periods with a control
	AboveRate      *testProcess `json:"above"`  // rate against the tolerated rate, in the same periods
	WithoutControl *testProcess `json:"alone"`  // rate against the tolerated rate, in periods without a control
}

// comparisonKey identifies a comparison. The two comparisons over all routes and load levels have neither.
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
	control               map[string]bool // versions that the new version is compared with
	alpha                 float64         // largest chance of a verdict on a good version
	horizon               int             // number of periods to judge
	controlCells          map[Key]*Tally  // of the control since the start; the keys have no version
	comparisons           map[comparisonKey]*comparison
	serverFailures        map[ServerFailure]bool // already counted; the keys have no version
	lastFailureWindow     int64                  // window of the latest failure counted
	servers               int                    // servers that may run the model; zero if not known
	controlServerFailures counts                 // failures of servers without the new version, over servers and periods
	verdict               string                 // empty until the version is found bad
	requests              int                    // of the new version
}

// NewJudge returns a judge of a new version. The chance that it ever finds a version bad that keeps the tolerances is
// at most alpha. horizon is the number of periods to judge, servers the number of servers that may run the model.
func NewJudge(version string, control []string, alpha float64, horizon, servers int) *Judge {
	j := &Judge{
		version: version, control: make(map[string]bool), alpha: alpha, horizon: max(horizon, 1), servers: servers,
		controlCells: make(map[Key]*Tally), comparisons: make(map[comparisonKey]*comparison), serverFailures: make(map[ServerFailure]bool),
	}
	for _, v := range control {
		j.control[v] = true
	}
	return j
}

// Verdict returns why the version is bad, or an empty string.
func (j *Judge) Verdict() string { return j.verdict }

// RequestCount returns how many requests of the new version were judged.
func (j *Judge) RequestCount() int { return j.requests }

// Suspicion returns how close the most advanced comparison is to a verdict, from 0 to 1.
func (j *Judge) Suspicion() float64 {
	most := 0.0
	for k, t := range j.comparisons {
		most = max(most, t.progress(j.threshold(k)))
	}
	return min(most, 1)
}

// threshold returns the log of a comparison's threshold. Half of alpha goes to periods with a control and half to
// periods without one. Of each half, one half goes to the two comparisons over all cells and the other to the cells.
func (j *Judge) threshold(k comparisonKey) float64 {
	if k.route == "" {
		return math.Log(8 / j.alpha)
	}
	return math.Log(4 / j.alpha * float64(maxCells*len(metrics)))
}

// progress returns how far the comparison is towards its threshold, where 1 is a verdict. If there is a control, a bad
// version must be both worse than the control and above the tolerated rate.
func (c *comparison) progress(threshold float64) float64 {
	versusControl := min(c.VersusControl.log(), c.AboveRate.log())
	return max(versusControl, c.WithoutControl.log()) / threshold
}

// Add judges the evidence of one period.
func (j *Judge) Add(e Evidence) {
	candidate, control := j.split(e)
	total := pair{}
	for _, k := range sortedKeys(candidate, control) {
		p := pair{candidate: candidate[k], control: control[k]}
		total = total.plus(p)
	}
	noControl := total.withoutControl()
	j.updateComparison(comparisonKey{metric: metricFailed}, total.counts(metricFailed, 0), j.toleratedRate(metricFailed, j.controlRequests()), noControl)
	j.addServerFailures(e)
	for _, k := range sortedKeys(candidate, control) {
		j.addCell(k, pair{candidate: candidate[k], control: control[k]}, noControl)
	}
	for k, t := range control {
		j.controlCell(k).Merge(*t)
	}
	j.requests += total.tally(true).Requests
}

// split returns the cells of the new version and of the control, by keys without a version.
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

// pair holds the tallies of the new version and of the control in one cell. Either may be nil.
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

// withoutControl reports whether hardly any requests ran on the control.
func (p pair) withoutControl() bool {
	n, c := p.tally(true).Requests, p.tally(false).Requests
	return n > 0 && float64(n) >= withoutControlShare*float64(n+c)
}

// counts returns the counts of the new version and of the control for a metric. Durations above bucket slow are bad.
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

// addCell tests every metric in one cell. The limits for a slow duration and a tolerated rate come from the control's
// history before this period, so that they do not depend on the period itself.
func (j *Judge) addCell(k Key, p pair, noControl bool) {
	for _, m := range metrics {
		slow, history, ok := j.slowReference(k, m)
		if !ok {
			continue
		}
		key := comparisonKey{route: k.Route, load: k.Load, metric: m}
		j.updateComparison(key, p.counts(m, slow), j.toleratedRate(m, history), noControl)
	}
}

// slowReference returns the bucket above which a duration is slow, and the control's counts with that limit. If the
// control has too few requests in the cell, it uses the control's requests at all load levels of the route, and then
// those on all routes.
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

// referenceOf returns the reference from a tally of the control. ok is false if the tally has too few requests.
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

// controlTally returns the control's tally on the route of k, or on all routes if k has none.
func (j *Judge) controlTally(k Key) Tally {
	var all Tally
	for have, t := range j.controlCells {
		if k.Route == "" || have.Route == k.Route {
			all.Merge(*t)
		}
	}
	return all
}

// controlRequests returns the control's requests and failures over all cells.
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

// toleratedRate returns the tolerated rate of bad requests, given the control's history.
func (j *Judge) toleratedRate(m metric, history counts) float64 {
	t := tolerances[m]
	if history.N < minControl {
		return t.floor
	}
	return min(max(t.floor, t.ratio*history.upper()), maxTolerated)
}

// updateComparison adds one period to a comparison and sets the verdict when the comparison passes its threshold.
func (j *Judge) updateComparison(key comparisonKey, sides [2]counts, tolerated float64, noControl bool) {
	candidate, control := sides[0], sides[1]
	if candidate.N == 0 && control.N == 0 {
		return
	}
	c := j.comparisons[key]
	if c == nil {
		c = &comparison{VersusControl: newTestProcess(j.horizon), AboveRate: newTestProcess(j.horizon), WithoutControl: newTestProcess(j.horizon)}
		j.comparisons[key] = c
	}
	if noControl {
		c.WithoutControl.compareWithRate(candidate, tolerated)
	} else {
		c.VersusControl.compareWithControl(candidate, control, tolerances[key.metric].ratio)
		c.AboveRate.compareWithRate(candidate, tolerated)
	}
	if j.verdict == "" && c.progress(j.threshold(key)) >= 1 {
		j.verdict = fmt.Sprintf("version %s is %s: %d of %d in the last period, %d of %d beside it", j.version, key, candidate.Bad, candidate.N, control.Bad, control.N)
	}
}

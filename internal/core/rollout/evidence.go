// Package rollout decides how the requests of a model move to a new version, and whether the new version is bad.
//
// Every node collects [Evidence]: for each version, route and load level, how many requests ran, how many failed, and
// how long first tokens and the gaps between tokens took; also which servers failed. A [Judge] compares a new version
// (the candidate) with the model's other versions (the control) by a sequential test, which bounds the chance of ever
// finding a good version bad.
//
// One [Controller] per rollout receives the evidence of all nodes. It moves the shares of the versions in steps until a
// set time, takes a bad version back, and keeps watching after the last step. A [LocalJudge] on each node cuts off a
// version on strong evidence of its own. An [OrderPlanner] decides when engines load and unload versions.
package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Load is the load level of a server at the time when a request was placed there.
type Load string

// The load levels.
const (
	LoadLow  Load = "low"
	LoadHigh Load = "high"
)

// highLoadFrom is the used fraction of a server's limit from which its load counts as high.
const highLoadFrom = 0.6

// LoadOf returns the load level for the used fraction of a server's limit.
func LoadOf(used float64) Load {
	if used >= highLoadFrom {
		return LoadHigh
	}
	return LoadLow
}

const (
	// bucketRatio is the ratio between the bounds of neighbouring buckets.
	bucketRatio = 1.25
	// buckets is the number of buckets. They cover 1 ms to half a minute.
	buckets = 48
	// firstBound is the upper bound of the first bucket.
	firstBound = time.Millisecond
)

// Histogram counts durations in buckets whose bounds grow by bucketRatio. Counts begins at bucket Offset and
// has no zeros at its ends.
type Histogram struct {
	Offset int   `json:"o,omitempty"`
	Counts []int `json:"c,omitempty"`
}

func bucketOf(d time.Duration) int {
	if d <= firstBound {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(firstBound)) / math.Log(bucketRatio)))
	return min(i, buckets-1)
}

// Add counts one duration.
func (h *Histogram) Add(d time.Duration) { h.addCount(bucketOf(d), 1) }

func (h *Histogram) addCount(bucket, n int) {
	if n == 0 {
		return
	}
	if len(h.Counts) == 0 {
		h.Offset = bucket
	}
	if bucket < h.Offset {
		h.Counts = append(make([]int, h.Offset-bucket), h.Counts...)
		h.Offset = bucket
	}
	for bucket >= h.Offset+len(h.Counts) {
		h.Counts = append(h.Counts, 0)
	}
	h.Counts[bucket-h.Offset] += n
}

// Merge adds the counts of other.
func (h *Histogram) Merge(other Histogram) {
	for i, n := range other.Counts {
		h.addCount(other.Offset+i, n)
	}
}

// Total returns the number of durations counted.
func (h Histogram) Total() int {
	total := 0
	for _, n := range h.Counts {
		total += n
	}
	return total
}

// above returns how many durations are in buckets above the given one.
func (h Histogram) above(bucket int) int {
	n := 0
	for i, c := range h.Counts {
		if h.Offset+i > bucket {
			n += c
		}
	}
	return n
}

// median returns the bucket of the median.
func (h Histogram) median() int {
	half, seen := (h.Total()+1)/2, 0
	for i, c := range h.Counts {
		seen += c
		if seen >= half {
			return h.Offset + i
		}
	}
	return 0
}

// maxCount is the largest valid count in a report.
const maxCount = 1 << 30

// Valid reports whether a histogram from another node has only valid buckets and counts.
func (h Histogram) Valid() bool {
	if h.Offset < 0 || h.Offset+len(h.Counts) > buckets {
		return false
	}
	return !slices.ContainsFunc(h.Counts, func(n int) bool { return n < 0 || n > maxCount })
}

// Key identifies a cell of evidence.
type Key struct {
	Version string `json:"v"`
	Route   string `json:"r"`
	Load    Load   `json:"l"`
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Load, b.Load))
}

// Tally sums up the requests in one cell.
type Tally struct {
	Requests int       `json:"n,omitempty"` // that ended, with or without an error
	Failures int       `json:"f,omitempty"` // that ended with an error
	First    Histogram `json:"t,omitzero"`  // time to the first token
	Gap      Histogram `json:"g,omitzero"`  // mean time between tokens, one count per request
}

// Merge adds other.
func (t *Tally) Merge(other Tally) {
	t.Requests += other.Requests
	t.Failures += other.Failures
	t.First.Merge(other.First)
	t.Gap.Merge(other.Gap)
}

// ServerFailure is the failure of a server while generations ran on it. Several nodes may report the same failure,
// which counts once.
type ServerFailure struct {
	Version string `json:"v"`
	Server  string `json:"s"`
	Window  int64  `json:"w"` // time of the failure in units of failureWindow
}

// failureWindow is the length of a window. Reports of a failure of one server in the same window, or in neighbouring
// ones, are about one failure.
const failureWindow = 10 * time.Second

// Use records that a version had requests on a server in the period.
type Use struct {
	Version string
	Server  string // or the constant everywhere
}

const (
	// everywhere replaces the servers of a version that ran on more than maxUses.
	everywhere = "*"
	// maxUses is how many servers a report lists for one version.
	maxUses = 32
)

// Evidence is what one or more nodes observed of one model in one period.
type Evidence struct {
	Cells          map[Key]*Tally
	ServerFailures map[ServerFailure]bool
	Uses           map[Use]bool
}

// NewEvidence returns empty evidence.
func NewEvidence() Evidence {
	return Evidence{Cells: make(map[Key]*Tally), ServerFailures: make(map[ServerFailure]bool), Uses: make(map[Use]bool)}
}

// maxRoutes is how many routes of a model are counted separately.
const maxRoutes = 8

// otherRoutes replaces the routes beyond maxRoutes.
const otherRoutes = "other"

// cell returns the tally of a cell, and adds the cell if it is missing.
func (e Evidence) cell(k Key) *Tally {
	if t := e.Cells[k]; t != nil {
		return t
	}
	routes := map[string]bool{}
	for have := range e.Cells {
		routes[have.Route] = true
	}
	if len(routes) >= maxRoutes && !routes[k.Route] {
		k.Route = otherRoutes
	}
	t := e.Cells[k]
	if t == nil {
		t = new(Tally)
		e.Cells[k] = t
	}
	return t
}

// AddFirstToken counts the time to the first token of a request.
func (e Evidence) AddFirstToken(k Key, d time.Duration) { e.cell(k).First.Add(d) }

// AddTokenGap counts the mean time between tokens of a request.
func (e Evidence) AddTokenGap(k Key, d time.Duration) { e.cell(k).Gap.Add(d) }

// AddOutcome counts the end of a request.
func (e Evidence) AddOutcome(k Key, failed bool) {
	t := e.cell(k)
	t.Requests++
	if failed {
		t.Failures++
	}
}

// AddUse records that a version had a request on a server.
func (e Evidence) AddUse(version, server string) {
	e.Uses[Use{Version: version, Server: server}] = true
}

// TrimUses keeps only the uses of the given versions, and replaces the servers of a version by everywhere if there are
// more than maxUses.
func (e Evidence) TrimUses(versions []string) {
	maps.DeleteFunc(e.Uses, func(u Use, _ bool) bool { return !slices.Contains(versions, u.Version) })
	for _, v := range versions {
		if e.uses(v) <= maxUses {
			continue
		}
		maps.DeleteFunc(e.Uses, func(u Use, _ bool) bool { return u.Version == v })
		e.AddUse(v, everywhere)
	}
}

// uses returns the number of servers on which a version had requests.
func (e Evidence) uses(version string) int {
	n := 0
	for u := range e.Uses {
		if u.Version == version {
			n++
		}
	}
	return n
}

// AddServerFailure records that a server failed during a request. It takes the place of AddOutcome for this request.
func (e Evidence) AddServerFailure(version, server string, at time.Time) {
	e.ServerFailures[ServerFailure{Version: version, Server: server, Window: at.UnixNano() / int64(failureWindow)}] = true
}

// Empty reports whether there is no evidence.
func (e Evidence) Empty() bool { return len(e.Cells)+len(e.ServerFailures)+len(e.Uses) == 0 }

// Merge adds other.
func (e Evidence) Merge(other Evidence) {
	for k, t := range other.Cells {
		e.cell(k).Merge(*t)
	}
	maps.Copy(e.ServerFailures, other.ServerFailures)
	maps.Copy(e.Uses, other.Uses)
}

// Cell is one cell of a Report.
type Cell struct {
	Key
	Tally
}

// Report is the form in which nodes send evidence.
type Report struct {
	Cells          []Cell              `json:"cells,omitempty"`
	ServerFailures []ServerFailure     `json:"deaths,omitempty"`
	Uses           map[string][]string `json:"uses,omitempty"` // servers, by version
}

// Report returns e as a sorted report.
func (e Evidence) Report() Report {
	var r Report
	for k, t := range e.Cells {
		r.Cells = append(r.Cells, Cell{Key: k, Tally: *t})
	}
	slices.SortFunc(r.Cells, func(a, b Cell) int { return compareKeys(a.Key, b.Key) })
	for f := range e.ServerFailures {
		r.ServerFailures = append(r.ServerFailures, f)
	}
	slices.SortFunc(r.ServerFailures, func(a, b ServerFailure) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Version, b.Version))
	})
	for u := range e.Uses {
		if r.Uses == nil {
			r.Uses = make(map[string][]string)
		}
		r.Uses[u.Version] = append(r.Uses[u.Version], u.Server)
	}
	for _, servers := range r.Uses {
		slices.Sort(servers)
	}
	return r
}

// Evidence returns the evidence in a report, without cells whose counts are invalid.
func (r Report) Evidence() Evidence {
	e := NewEvidence()
	for _, c := range r.Cells {
		if c.Requests < 0 || c.Requests > maxCount || c.Failures < 0 || c.Failures > c.Requests || !c.First.Valid() || !c.Gap.Valid() {
			continue
		}
		e.cell(c.Key).Merge(c.Tally)
	}
	for _, f := range r.ServerFailures {
		e.ServerFailures[f] = true
	}
	for version, servers := range r.Uses {
		for _, server := range servers {
			e.AddUse(version, server)
		}
	}
	return e
}

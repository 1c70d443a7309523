// Package rollout decides how the shares of a model's versions move, and whether a new version is bad.
//
// Evidence comes from every node: for each version, route and load level how many requests ran, how many
// failed, and how long first tokens and the gaps between tokens took. A Judge compares a new version with the
// version beside it by a sequential test whose chance of ever condemning a good version is bounded. A
// Controller moves the shares in steps until a set time, takes a bad version back, and watches on after the
// last step.
package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// This file defines evidence and its summaries.

// Load is the load level of a server when a request was placed there.
type Load string

// The load levels.
const (
	LoadLow  Load = "low"
	LoadHigh Load = "high"
)

// highLoad is the part of a server's limit in use from which its load counts as high.
const highLoadFrom = 0.6

// LoadOf returns the level for the part of a server's limit that is in use.
func LoadOf(used float64) Load {
	if used >= highLoadFrom {
		return LoadHigh
	}
	return LoadLow
}

const (
	// bucketRatio is the ratio between the bounds of neighbouring buckets.
	bucketRatio = 1.25
	// buckets covers 1 ms to half a minute.
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

// Returns how many durations fell into buckets after one.
func (h Histogram) above(bucket int) int {
	n := 0
	for i, c := range h.Counts {
		if h.Offset+i > bucket {
			n += c
		}
	}
	return n
}

// Returns the bucket that holds the median.
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

// maxCount bounds each count of a report.
const maxCount = 1 << 30

// Valid reports whether the histogram, received from another node, keeps its bounds.
func (h Histogram) Valid() bool {
	if h.Offset < 0 || h.Offset+len(h.Counts) > buckets {
		return false
	}
	return !slices.ContainsFunc(h.Counts, func(n int) bool { return n < 0 || n > maxCount })
}

// Key names one cell of evidence.
type Key struct {
	Version string `json:"v"`
	Route   string `json:"r"`
	Load    Load   `json:"l"`
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Load, b.Load))
}

// Tally is what was seen in one cell.
type Tally struct {
	Requests int       `json:"n,omitempty"` // that ran to an end, good or bad
	Failures int       `json:"f,omitempty"` // answered with an error
	First    Histogram `json:"t,omitzero"`  // time to the first token
	Gap      Histogram `json:"g,omitzero"`  // mean time between tokens, one count a request
}

// Merge adds other.
func (t *Tally) Merge(other Tally) {
	t.Requests += other.Requests
	t.Failures += other.Failures
	t.First.Merge(other.First)
	t.Gap.Merge(other.Gap)
}

// Death is the end of a server with generations on it. Several nodes see the same one; it counts once.
type ServerFailure struct {
	Version string `json:"v"`
	Server  string `json:"s"`
	Window  int64  `json:"w"` // time of the death in units of deathWindow
}

// deathWindow is the time within which the deaths that nodes see of one server are one.
const failureWindow = 10 * time.Second

// Use says that a version had requests on a server in the period.
type Use struct {
	Version string
	Server  string // or everywhere
}

const (
	// everywhere stands for more servers than are listed.
	everywhere = "*"
	// maxUses is how many servers of one version a report lists.
	maxUses = 32
)

// Evidence is what was seen of one model in one period.
type Evidence struct {
	Cells          map[Key]*Tally
	ServerFailures map[ServerFailure]bool
	Uses           map[Use]bool
}

// NewEvidence returns empty evidence.
func NewEvidence() Evidence {
	return Evidence{Cells: make(map[Key]*Tally), ServerFailures: make(map[ServerFailure]bool), Uses: make(map[Use]bool)}
}

// maxRoutes bounds the routes of a model that are told apart.
const maxRoutes = 8

// otherRoutes stands for the routes beyond maxRoutes.
const otherRoutes = "other"

// Returns the tally of a cell, made when new.
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

// First counts a first token.
func (e Evidence) AddFirstToken(k Key, d time.Duration) { e.cell(k).First.Add(d) }

// Gap counts one request's mean time between tokens.
func (e Evidence) AddTokenGap(k Key, d time.Duration) { e.cell(k).Gap.Add(d) }

// End counts the end of a request.
func (e Evidence) AddOutcome(k Key, failed bool) {
	t := e.cell(k)
	t.Requests++
	if failed {
		t.Failures++
	}
}

// Used tells that a version had a request on a server.
func (e Evidence) AddUse(version, server string) {
	e.Uses[Use{Version: version, Server: server}] = true
}

// Trim keeps the uses of the given versions only, and names no servers where there are many.
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

// Returns on how many servers a version had requests.
func (e Evidence) uses(version string) int {
	n := 0
	for u := range e.Uses {
		if u.Version == version {
			n++
		}
	}
	return n
}

// Died tells of the death of a server under a request, which is not counted by End.
func (e Evidence) AddServerFailure(version, server string, at time.Time) {
	e.ServerFailures[ServerFailure{Version: version, Server: server, Window: at.UnixNano() / int64(failureWindow)}] = true
}

// Empty reports whether nothing was seen.
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

// Report is evidence in the form that nodes send.
type Report struct {
	Cells          []Cell              `json:"cells,omitempty"`
	ServerFailures []ServerFailure     `json:"deaths,omitempty"`
	Uses           map[string][]string `json:"uses,omitempty"` // servers by version
}

// Report returns e in the form that nodes send, sorted.
func (e Evidence) Report() Report {
	var r Report
	for k, t := range e.Cells {
		r.Cells = append(r.Cells, Cell{Key: k, Tally: *t})
	}
	slices.SortFunc(r.Cells, func(a, b Cell) int { return compareKeys(a.Key, b.Key) })
	for d := range e.ServerFailures {
		r.ServerFailures = append(r.ServerFailures, d)
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

// Evidence returns what a report says, leaving out cells that no node sends.
func (r Report) Evidence() Evidence {
	e := NewEvidence()
	for _, c := range r.Cells {
		if c.Requests < 0 || c.Requests > maxCount || c.Failures < 0 || c.Failures > c.Requests || !c.First.Valid() || !c.Gap.Valid() {
			continue
		}
		e.cell(c.Key).Merge(c.Tally)
	}
	for _, d := range r.ServerFailures {
		e.ServerFailures[d] = true
	}
	for version, servers := range r.Uses {
		for _, server := range servers {
			e.AddUse(version, server)
		}
	}
	return e
}

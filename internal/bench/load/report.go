// This file defines the report and the recorder of its figures.

package load

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Check names one property that must always hold. Its figure in a report counts the violations.
type Check string

// The checks. Those from CheckDoubleRun on need the fakes.
const (
	CheckLost      Check = "lost"      // tokens missing from a stream, or from an answer reported as complete
	CheckRepeated  Check = "repeated"  // tokens received more than once
	CheckForeign   Check = "foreign"   // tokens of another request or generation, wrong digests
	CheckCrossed   Check = "crossed"   // answers of the service that belong to another request
	CheckDoubleRun Check = "doubleRun" // runs of a booking beyond its first
	// CheckFalseNotRun counts requests that were refused as not run at every attempt, and that a fake ran.
	CheckFalseNotRun Check = "falseNotRun"
	// CheckFalseReceipt counts confirmed bookings that never ran.
	CheckFalseReceipt Check = "falseReceipt"
	// CheckColdOverload counts crashes of engines under more streams than their capacity.
	CheckColdOverload Check = "coldOverload"
)

const (
	maxExamples = 5 // kept for each check
	maxCuts     = 10_000

	lowestLatency  = int64(time.Microsecond)
	highestLatency = int64(10 * time.Minute)
	latencyDigits  = 2
	stallThreshold = 500 * time.Millisecond // a longer gap between tokens counts as a stall
)

// Report holds what callers received, with the checks against fakes if the generator has any.
//
// Invariant: Requests = Complete + Refused + Failed + Unknown + Unanswered + Abandoned + requests in flight.
type Report struct {
	Seed       uint64 `json:"seed"`
	Requests   int    `json:"requests"`
	Complete   int    `json:"complete"`
	Refused    int    `json:"refused"`    // refused as not run at the last attempt
	Failed     int    `json:"failed"`     // ended by another typed error
	Unknown    int    `json:"unknown"`    // bookings whose outcome the node does not know
	Unanswered int    `json:"unanswered"` // without an answer in time
	Abandoned  int    `json:"abandoned"`  // in flight when the load was stopped
	Resumed    int    `json:"resumed"`    // resume calls
	Restarted  int    `json:"restarted"`  // generations started again after a chunk was received
	Bookings   int    `json:"bookings"`   // confirmed

	Lost          int `json:"lost"`
	Repeated      int `json:"repeated"`
	Foreign       int `json:"foreign"`
	Crossed       int `json:"crossed"`
	DoubleRuns    int `json:"doubleRuns"`
	FalseNotRun   int `json:"falseNotRun"`
	FalseReceipts int `json:"falseReceipts"`
	ColdOverloads int `json:"coldOverloads"`

	FakesChecked bool                `json:"standInsChecked"` // if false, DoubleRuns to ColdOverloads are zero
	Kinds        map[Kind]KindReport `json:"kinds"`
	Cuts         []Cut               `json:"cuts,omitempty"`
	Violations   []Violation         `json:"violations,omitempty"`
	Endings      map[string]int      `json:"endings,omitempty"` // counts of requests that did not complete, by reason
}

// KindReport holds the figures of one kind of request.
type KindReport struct {
	Requests   int       `json:"requests"`
	Complete   int       `json:"complete"`
	Tokens     int       `json:"tokens"`
	FirstToken Quantiles `json:"firstToken"` // from arrival, retries included
	TokenGap   Quantiles `json:"tokenGap"`   // between tokens of one generation
	Stalls     int       `json:"stalls"`     // gaps longer than half a second
	StallMs    int64     `json:"stallMs"`    // their sum
}

// Quantiles holds the quantiles of a latency in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	// Histogram counts latencies by doubling bounds, without the empty buckets at either end.
	Histogram []Bucket `json:"histogram,omitempty"`
}

// Bucket counts the latencies above the previous bucket's bound and up to its own.
type Bucket struct {
	UpToMs float64 `json:"upToMs"`
	Count  int64   `json:"count"`
}

// Cut is an answer that ended before it was complete.
type Cut struct {
	AtMs int64          `json:"atMs"` // since the start of the load
	Addr netip.AddrPort `json:"addr"` // entry address that it came from
}

// Violation is an example of a violated check.
type Violation struct {
	AtMs    int64  `json:"atMs"`
	Check   Check  `json:"check"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%6.2fs %s: %s: %s", float64(v.AtMs)/1000, v.Check, v.Request, v.Detail)
}

// ViolationCount returns the number of violations of all checks.
func (r *Report) ViolationCount() int {
	return r.Lost + r.Repeated + r.Foreign + r.Crossed + r.DoubleRuns + r.FalseNotRun + r.FalseReceipts + r.ColdOverloads
}

// figure returns the report's field that counts the violations of a check.
func (r *Report) figure(c Check) *int {
	switch c {
	case CheckLost:
		return &r.Lost
	case CheckRepeated:
		return &r.Repeated
	case CheckForeign:
		return &r.Foreign
	case CheckCrossed:
		return &r.Crossed
	case CheckDoubleRun:
		return &r.DoubleRuns
	case CheckFalseNotRun:
		return &r.FalseNotRun
	case CheckFalseReceipt:
		return &r.FalseReceipts
	}
	return &r.ColdOverloads
}

// kindRecord holds the figures of one kind of request.
type kindRecord struct {
	requests, complete, tokens, stalls int
	stallTime                          time.Duration
	firstToken, tokenGap               *hdrhistogram.Histogram // nanoseconds
}

// finishedRequest is a request with its ending, kept for the checks against the fakes.
type finishedRequest struct {
	*request
	ending
}

// recorder collects the figures of a report. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	start    time.Time
	rep      Report // without Kinds; guarded by mu
	kinds    map[Kind]*kindRecord
	examples map[Check]int
	finished []finishedRequest
}

func newRecorder() *recorder {
	rec := &recorder{kinds: make(map[Kind]*kindRecord), examples: make(map[Check]int), start: time.Now()}
	rec.rep.Endings = make(map[string]int)
	for _, kind := range []Kind{KindNarrative, KindQuick, KindBooking, KindLookup} {
		rec.kinds[kind] = &kindRecord{
			firstToken: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
			tokenGap:   hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		}
	}
	return rec
}

func (rec *recorder) setStart(start time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.start = start
}

func (rec *recorder) addRequest(req *request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.rep.Requests++
	rec.kinds[req.kind].requests++
}

func (rec *recorder) addEnding(req *request, end ending) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.finished = append(rec.finished, finishedRequest{req, end})
	switch end.outcome {
	case Complete:
		rec.rep.Complete++
		rec.kinds[req.kind].complete++
	case Refused:
		rec.rep.Refused++
	case Failed:
		rec.rep.Failed++
	case Unknown:
		rec.rep.Unknown++
	case Unanswered:
		rec.rep.Unanswered++
	}
	if end.receipt {
		rec.rep.Bookings++
	}
	if end.outcome != Complete {
		rec.rep.Endings[string(end.outcome)+": "+end.detail]++
	}
}

func (rec *recorder) addAbandoned(*request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.rep.Abandoned++
}

func (rec *recorder) addResume() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.rep.Resumed++
}

func (rec *recorder) addRestart() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.rep.Restarted++
}

func (rec *recorder) addCut(addr netip.AddrPort) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.rep.Cuts) < maxCuts {
		rec.rep.Cuts = append(rec.rep.Cuts, Cut{AtMs: time.Since(rec.start).Milliseconds(), Addr: addr})
	}
}

func (rec *recorder) addFirstToken(kind Kind, d time.Duration) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	k := rec.kinds[kind]
	k.tokens++
	_ = k.firstToken.RecordValue(min(int64(d), highestLatency)) // clamped, so it is in range
}

func (rec *recorder) addTokenGap(kind Kind, d time.Duration) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	k := rec.kinds[kind]
	k.tokens++
	_ = k.tokenGap.RecordValue(min(int64(d), highestLatency)) // clamped, so it is in range
	if d > stallThreshold {
		k.stalls++
		k.stallTime += d
	}
}

// addViolation counts one violation of a check by the answer to req.
func (rec *recorder) addViolation(c Check, req *request, format string, args ...any) {
	rec.addViolations(c, 1, req, format, args...)
}

func (rec *recorder) addViolations(c Check, n int, req *request, format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	*rec.rep.figure(c) += n
	if rec.examples[c]++; rec.examples[c] > maxExamples {
		return
	}
	rec.rep.Violations = append(rec.rep.Violations, Violation{
		AtMs:    time.Since(rec.start).Milliseconds(),
		Check:   c,
		Request: req.String(),
		Detail:  fmt.Sprintf(format, args...),
	})
}

// report returns a report with a copy of the figures.
func (rec *recorder) report(seed uint64) Report {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rep := rec.rep
	rep.Seed = seed
	rep.Cuts = append([]Cut(nil), rep.Cuts...)
	rep.Violations = append([]Violation(nil), rep.Violations...)
	rep.Endings = make(map[string]int, len(rec.rep.Endings))
	for reason, n := range rec.rep.Endings {
		rep.Endings[reason] = n
	}
	rep.Kinds = make(map[Kind]KindReport, len(rec.kinds))
	for kind, k := range rec.kinds {
		rep.Kinds[kind] = KindReport{
			Requests: k.requests, Complete: k.complete, Tokens: k.tokens,
			FirstToken: quantiles(k.firstToken), TokenGap: quantiles(k.tokenGap),
			Stalls: k.stalls, StallMs: k.stallTime.Milliseconds(),
		}
	}
	return rep
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond) }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / float64(time.Millisecond), Histogram: buckets(h)}
}

// buckets returns the counts of h in buckets whose bounds double from one millisecond.
func buckets(h *hdrhistogram.Histogram) []Bucket {
	var list []Bucket
	var counted int64
	for bound := time.Millisecond; counted < h.TotalCount(); bound *= 2 {
		upTo := countUpTo(h, int64(bound))
		if upTo > counted || len(list) > 0 {
			list = append(list, Bucket{UpToMs: float64(bound) / float64(time.Millisecond), Count: upTo - counted})
		}
		counted = upTo
	}
	return list
}

func countUpTo(h *hdrhistogram.Histogram, value int64) int64 {
	var n int64
	for _, bar := range h.Distribution() {
		if bar.To <= value {
			n += bar.Count
		}
	}
	return n
}

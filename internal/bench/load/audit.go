// This file compares what callers received with what the fakes did.

package load

import (
	"fmt"
	"maps"
	"slices"

	fakeengine "ebonyferry/internal/fake/engine"
	fakeservice "ebonyferry/internal/fake/service"
)

// Fakes holds the in-process fakes of backend servers that can have run the callers' requests.
type Fakes struct {
	Engines  []*fakeengine.Engine
	Services []*fakeservice.Service
}

// audit adds the checks against the fakes to a report.
func (g *Generator) audit(rep *Report) {
	if len(g.fakes.Engines)+len(g.fakes.Services) == 0 {
		return
	}
	rep.FakesChecked = true
	runs := make(map[string]int)
	for _, s := range g.fakes.Services {
		for booking, n := range s.Runs() {
			runs[booking] += n
		}
	}
	starts := make(map[uint64]int)
	for _, e := range g.fakes.Engines {
		rep.ColdOverloads += e.Counters().ColdOverloads
		for seed, n := range e.StartsByPrompt() {
			starts[seed] += n
		}
	}
	g.rec.mu.Lock()
	finished := g.rec.finished
	g.rec.mu.Unlock()
	for _, req := range finished {
		auditRequest(rep, req, runs, starts)
	}
	for _, booking := range slices.Sorted(maps.Keys(runs)) {
		if n := runs[booking]; n > 1 {
			rep.addViolations(CheckDoubleRun, n-1, booking, fmt.Sprintf("the service ran it %d times", n))
		}
	}
}

// auditRequest checks the ending of one request. runs has the number of runs of each booking, by its ID.
// starts has the number of generations that engines started, by the text seed of the prompt.
func auditRequest(rep *Report, req finishedRequest, runs map[string]int, starts map[uint64]int) {
	ran := starts[fakeengine.TextSeed(req.enginePrompt())]
	if req.kind == KindBooking {
		ran = runs[req.booking]
	}
	if req.kind == KindBooking && req.receipt && ran == 0 {
		rep.addViolations(CheckFalseReceipt, 1, req.String(), "confirmed booking never ran")
	}
	if req.kind != KindLookup && req.outcome == Refused && req.neverRun && ran > 0 {
		rep.addViolations(CheckFalseNotRun, 1, req.String(), fmt.Sprintf("refused as not run (%s) but ran %d times", req.detail, ran))
	}
}

// addViolations adds n violations of a check to the report, with one example.
func (r *Report) addViolations(c Check, n int, request, detail string) {
	*r.figure(c) += n
	r.Violations = append(r.Violations, Violation{Check: c, Request: request, Detail: detail})
}

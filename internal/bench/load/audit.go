package load

import (
	"fmt"
	"maps"
	"slices"

	fakeengine "ebonyferry/internal/fake/engine"
	fakeservice "ebonyferry/internal/fake/service"
)

// This file defines the checks of what callers were told against what the stand-ins did.

// Fakes are the in-process fakes of backend servers that may have run the callers' requests.
type Fakes struct {
	Engines  []*fakeengine.Engine
	Services []*fakeservice.Service
}

// Adds the checks against the stand-ins to a report.
func (g *Generator) audit(rep *Report) {
	if len(g.standIns.Engines)+len(g.standIns.Services) == 0 {
		return
	}
	rep.FakesChecked = true
	runs := make(map[string]int)
	for _, s := range g.standIns.Services {
		for booking, n := range s.Runs() {
			runs[booking] += n
		}
	}
	starts := make(map[uint64]int)
	for _, e := range g.standIns.Engines {
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
			rep.add(CheckDoubleRun, n-1, booking, fmt.Sprintf("the service ran it %d times", n))
		}
	}
}

// Checks one request's ending against the runs of bookings by id and the starts of generations by prompt.
func auditRequest(rep *Report, req finishedRequest, runs map[string]int, starts map[uint64]int) {
	ran := starts[fakeengine.TextSeed(req.enginePrompt())]
	if req.kind == KindBooking {
		ran = runs[req.booking]
	}
	if req.kind == KindBooking && req.receipt && ran == 0 {
		rep.add(CheckFalseReceipt, 1, req.String(), "confirmed booking never ran")
	}
	if req.kind != KindLookup && req.outcome == Refused && req.neverRun && ran > 0 {
		rep.add(CheckFalseNotRun, 1, req.String(), fmt.Sprintf("refused as not run (%s) and was run %d times", req.detail, ran))
	}
}

// add counts violations in the report itself.
func (r *Report) add(c Check, n int, request, detail string) {
	*r.figure(c) += n
	r.Violations = append(r.Violations, Violation{Check: c, Request: request, Detail: detail})
}

// This file defines the checks of a soak, apart from those that package load makes for callers.

package soak

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/bench/load"
	"ebonyferry/internal/edge/operator"
)

// spanDomainOut is the kind of the spans in which a failure domain is out of service. No schedule contains it.
const spanDomainOut Kind = "out"

// Time limits that the requirements state, or that stand for "a few seconds" in them.
const (
	stopWithin   = 3 * time.Second  // for new work to stop in a domain that is out, or on a server that is leaving
	spreadWithin = 12 * time.Second // for an accepted change to be in force at all nodes
	pollEvery    = 500 * time.Millisecond
	pollTimeout  = 2 * time.Second
)

// Figures counts the violations of each requirement. All must be zero.
type Figures struct {
	Tokens         int `json:"tokens"`         // lost, repeated or foreign tokens
	ColdOverloads  int `json:"coldOverloads"`  // crashes of cold servers under more streams than their capacity
	DomainStarts   int `json:"domainStarts"`   // new work in a failure domain that was taken out
	BadVersion     int `json:"badVersion"`     // bad versions with too large a share, or work for them after enough failures
	WrongAnswers   int `json:"wrongAnswers"`   // answers to another request, or no answer
	FalseNotRun    int `json:"falseNotRun"`    // requests refused as not run that ran
	DoubleRuns     int `json:"doubleRuns"`     // second runs of a booking, or confirmed bookings that never ran
	LeavingStarts  int `json:"leavingStarts"`  // new work on a leaving server
	DrainCuts      int `json:"drainCuts"`      // answers cut by a graceful shutdown, or shutdowns that got stuck
	LateRevisions  int `json:"lateRevisions"`  // nodes where an accepted change was not in force in time
	RevisionsLost  int `json:"revisionsLost"`  // nodes that went back to an earlier revision
	FailedRestarts int `json:"failedRestarts"` // nodes that did not become ready again
	KindsUnserved  int `json:"kindsUnserved"`  // kinds of request of which none completed
}

// Total returns the sum of the figures.
func (f Figures) Total() int {
	return f.Tokens + f.ColdOverloads + f.DomainStarts + f.BadVersion + f.WrongAnswers + f.FalseNotRun + f.DoubleRuns + f.LeavingStarts +
		f.DrainCuts + f.LateRevisions + f.RevisionsLost + f.FailedRestarts + f.KindsUnserved
}

// watchRevisions polls the revision of every node until ctx ends.
func (s *soak) watchRevisions(ctx context.Context) {
	var wg sync.WaitGroup
	for _, n := range s.nodes {
		client := operator.NewClient([]netip.AddrPort{n.operatorAddr}, operatorNames[0], s.env.operators[operatorNames[0]], operator.WithTimeout(pollTimeout))
		wg.Go(func() {
			for pause.For(ctx, pollEvery) {
				status, err := operator.Get[operator.Status](ctx, client, "/status")
				if err == nil {
					s.journal.addSighting(n.name, status.Head.Revision)
				}
			}
		})
	}
	wg.Wait()
}

// check makes all checks. It returns the figures and a line for each violation; for violations that callers found, the
// lines are only examples.
func (s *soak) check(rep *load.Report) (f Figures, violations []string) {
	f.Tokens = rep.Lost + rep.Repeated + rep.Foreign
	f.ColdOverloads = rep.ColdOverloads
	f.WrongAnswers = rep.Crossed + rep.Unanswered
	f.FalseNotRun = rep.FalseNotRun
	f.DoubleRuns = rep.DoubleRuns + rep.FalseReceipts
	for _, v := range rep.Violations {
		violations = append(violations, v.String())
	}
	if rep.Unanswered > 0 {
		violations = append(violations, fmt.Sprintf("unanswered: %v", rep.Endings))
	}
	add := func(figure *int, list []string) {
		*figure += len(list)
		violations = append(violations, list...)
	}
	add(&f.KindsUnserved, unservedKinds(rep))
	add(&f.DomainStarts, s.domainStarts())
	add(&f.BadVersion, s.badVersionStarts())
	add(&f.LeavingStarts, s.leavingStarts())
	add(&f.DrainCuts, s.drainCuts(rep))
	add(&f.LateRevisions, s.lateRevisions())
	add(&f.RevisionsLost, s.revisionsLost())
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&f.DrainCuts, s.stuckDrains)
	add(&f.FailedRestarts, s.failedActions)
	return f, violations
}

// unservedKinds finds kinds of request of which none completed. It guards against a soak that passes because the
// nodes serve nothing.
func unservedKinds(rep *load.Report) (found []string) {
	for _, kind := range slices.Sorted(maps.Keys(rep.Kinds)) {
		if k := rep.Kinds[kind]; k.Requests > 0 && k.Complete == 0 {
			found = append(found, fmt.Sprintf("none of %d requests of kind %s completed", k.Requests, kind))
		}
	}
	return found
}

// domainStarts finds generations that started in a failure domain more than stopWithin after it was taken out.
func (s *soak) domainStarts() (found []string) {
	for _, out := range s.journal.spansOf(spanDomainOut) {
		for _, e := range s.env.engines {
			if e.domain == out.target {
				found = append(found, lateStartsIn(e, out)...)
			}
		}
	}
	return found
}

// leavingStarts finds generations that engines started more than stopWithin after they reported that they are leaving.
func (s *soak) leavingStarts() (found []string) {
	for _, leaving := range s.journal.spansOf(LeaveEngine) {
		late := leaving
		late.from = late.from.Add(loadLag) // the load reports lag
		found = append(found, lateStartsIn(s.env.engine(leaving.target), late)...)
	}
	return found
}

// lateStartsIn finds generations that an engine started more than stopWithin after the beginning of a span and before
// its end.
func lateStartsIn(e *linkedEngine, period span) (found []string) {
	from := period.from.Add(stopWithin)
	for _, start := range e.engine.Starts(from) {
		if start.At.Before(period.to) {
			found = append(found, fmt.Sprintf("engine %s started a generation %s after %s %s", e.id, start.At.Sub(period.from).Round(time.Millisecond), period.kind, period.target))
		}
	}
	return found
}

// drainCuts finds answers that were cut while their node was draining, without a fault of its link to callers.
func (s *soak) drainCuts(rep *load.Report) (found []string) {
	for _, cut := range rep.Cuts {
		at := s.loadStart.Add(time.Duration(cut.AtMs) * time.Millisecond)
		for _, n := range s.nodes {
			if n.callerAddr != cut.Addr {
				continue
			}
			near := func(kinds ...Kind) bool { return s.journal.disturbed(n.name, at.Add(-time.Second), at, kinds...) }
			if s.journal.disturbed(n.name, at, at, DrainNode) && !near(CutCallers, StallCallers) {
				found = append(found, fmt.Sprintf("%6.2fs an answer was cut at %s, which was draining", float64(cut.AtMs)/1000, n.name))
			}
		}
	}
	return found
}

// lateRevisions finds nodes that did not report an accepted revision in time. It excludes nodes that were killed, paused
// or drained shortly before or meanwhile, and changes whose time limit ends after the load or overlaps an outage of the
// store.
func (s *soak) lateRevisions() (found []string) {
	s.journal.mu.Lock()
	changes := s.journal.changes
	s.journal.mu.Unlock()
	for _, c := range changes {
		limit := c.at.Add(spreadWithin)
		if s.loadEnd.Before(limit) || s.journal.disturbed("", c.at, limit, StoreOutage) {
			continue
		}
		for _, n := range s.nodes {
			if s.journal.disturbed(n.name, c.at.Add(-recoveryTime), limit, KillNode, PauseNode, DrainNode) {
				continue
			}
			if !s.reported(n.name, c, limit) {
				found = append(found, fmt.Sprintf("node %s did not have revision %d (%s) in force after %s", n.name, c.revision, c.description, spreadWithin))
			}
		}
	}
	return found
}

// reported reports whether a node reported the revision of c, or a later one, at most one polling interval after limit.
func (s *soak) reported(node string, c change, limit time.Time) bool {
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	for _, sg := range s.journal.sightings[node] {
		if sg.revision >= c.revision && !sg.at.After(limit.Add(pollEvery)) {
			return true
		}
	}
	return false
}

// revisionsLost finds nodes that reported a lower revision after a higher one.
func (s *soak) revisionsLost() (found []string) {
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	for _, n := range s.nodes {
		list := s.journal.sightings[n.name]
		for i := 1; i < len(list); i++ {
			if list[i].revision < list[i-1].revision {
				found = append(found, fmt.Sprintf("node %s went back from revision %d to %d", n.name, list[i-1].revision, list[i].revision))
			}
		}
	}
	return found
}

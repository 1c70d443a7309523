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

// This file defines the checks that are made beside those of the callers.

// Kinds of span that no schedule draws.
const spanOut Kind = "out" // a failure domain is out of service, confirmed

// Times that the target states or that "a few seconds" is taken for.
const (
	outAfter    = 3 * time.Second  // no new work on what was taken out or leaves
	spreadAfter = 12 * time.Second // an accepted change is in force everywhere
	pollEvery   = 500 * time.Millisecond
	pollTimeout = 2 * time.Second
)

// Figures counts how often something that must always hold did not, one figure for each line of the brief.
type Figures struct {
	Tokens         int `json:"tokens"`         // lost, repeated or foreign tokens
	ColdOverloads  int `json:"coldOverloads"`  // cold servers given more than they bear
	DomainStarts   int `json:"domainStarts"`   // new work in a failure domain that was taken out
	BadVersion     int `json:"badVersion"`     // bad versions with more than a small share, or work after they had shown
	WrongAnswers   int `json:"wrongAnswers"`   // answers to another request, or none at all
	FalseNotRun    int `json:"falseNotRun"`    // refusals saying "not run" that were false
	DoubleRuns     int `json:"doubleRuns"`     // second runs of a booking, or confirmed ones that never ran
	LeavingStarts  int `json:"leavingStarts"`  // new work on a leaving server
	DrainCuts      int `json:"drainCuts"`      // requests cut by a graceful shutdown, or shutdowns that got stuck
	LateRevisions  int `json:"lateRevisions"`  // nodes where an accepted change was not in force in time
	RevisionsLost  int `json:"revisionsLost"`  // nodes that went back to an earlier revision
	FailedRestarts int `json:"failedRestarts"` // nodes that did not come back
	KindsUnserved  int `json:"kindsUnserved"`  // kinds of request of which none was complete
}

// Total returns the sum of the figures.
func (f Figures) Total() int {
	return f.Tokens + f.ColdOverloads + f.DomainStarts + f.BadVersion + f.WrongAnswers + f.FalseNotRun + f.DoubleRuns + f.LeavingStarts +
		f.DrainCuts + f.LateRevisions + f.RevisionsLost + f.FailedRestarts + f.KindsUnserved
}

// Asks every node for its revision until ctx ends.
func (s *soak) watchRevisions(ctx context.Context) {
	var wg sync.WaitGroup
	for _, n := range s.nodes {
		client := operator.NewClient([]netip.AddrPort{n.operators}, operatorNames[0], s.world.operators[operatorNames[0]], operator.WithTimeout(pollTimeout))
		wg.Go(func() {
			for pause.For(ctx, pollEvery) {
				status, err := operator.Get[operator.Status](ctx, client, "/status")
				if err == nil {
					s.journal.see(n.name, status.Head.Revision)
				}
			}
		})
	}
	wg.Wait()
}

// Makes all checks and returns the figures with a line for each violation.
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
	add(&f.KindsUnserved, unserved(rep))
	add(&f.DomainStarts, s.domainStarts())
	add(&f.BadVersion, s.badVersionStarts())
	add(&f.LeavingStarts, s.leavingStarts())
	add(&f.DrainCuts, s.drainCuts(rep))
	add(&f.LateRevisions, s.lateRevisions())
	add(&f.RevisionsLost, s.revisionsLost())
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&f.DrainCuts, s.stuck)
	add(&f.FailedRestarts, s.failed)
	return f, violations
}

// Finds kinds of request that no caller got an answer to. Where nothing is served nothing else can go wrong.
func unserved(rep *load.Report) (found []string) {
	for _, kind := range slices.Sorted(maps.Keys(rep.Kinds)) {
		if k := rep.Kinds[kind]; k.Requests > 0 && k.Complete == 0 {
			found = append(found, fmt.Sprintf("none of %d requests of kind %s was complete", k.Requests, kind))
		}
	}
	return found
}

// Finds work that engines began in a failure domain that had been out for a few seconds.
func (s *soak) domainStarts() (found []string) {
	for _, out := range s.journal.ofKind(spanOut) {
		for _, u := range s.world.engines {
			if u.domain == out.target {
				found = append(found, startsWithin(u, out)...)
			}
		}
	}
	return found
}

// Finds work that engines began a few seconds after they had said that they leave.
func (s *soak) leavingStarts() (found []string) {
	for _, leaving := range s.journal.ofKind(LeaveEngine) {
		late := leaving
		late.from = late.from.Add(loadLag) // reports lag
		found = append(found, startsWithin(s.world.engine(leaving.target), late)...)
	}
	return found
}

func startsWithin(u *engineUnit, out span) (found []string) {
	from := out.from.Add(outAfter)
	for _, start := range u.engine.Starts(from) {
		if start.At.Before(out.to) {
			found = append(found, fmt.Sprintf("engine %s began work %s after %s %s", u.id, start.At.Sub(out.from).Round(time.Millisecond), out.kind, out.target))
		}
	}
	return found
}

// Finds answers that broke off at a node while it was draining, with nothing else wrong with its link.
func (s *soak) drainCuts(rep *load.Report) (found []string) {
	for _, cut := range rep.Cuts {
		at := s.began.Add(time.Duration(cut.AtMs) * time.Millisecond)
		for _, n := range s.nodes {
			if n.callerAddr != cut.Addr {
				continue
			}
			near := func(kinds ...Kind) bool { return s.journal.troubled(n.name, at.Add(-time.Second), at, kinds...) }
			if s.journal.troubled(n.name, at, at, DrainNode) && !near(CutCallers, StallCallers) {
				found = append(found, fmt.Sprintf("%6.2fs an answer was cut at %s, which was draining", float64(cut.AtMs)/1000, n.name))
			}
		}
	}
	return found
}

// Finds nodes that did not report an accepted revision in time though nothing was wrong with them.
func (s *soak) lateRevisions() (found []string) {
	s.journal.mu.Lock()
	changes := s.journal.changes
	s.journal.mu.Unlock()
	for _, c := range changes {
		limit := c.at.Add(spreadAfter)
		if s.ended.Before(limit) || s.journal.troubled("", c.at, limit, StoreOutage) {
			continue
		}
		for _, n := range s.nodes {
			if s.journal.troubled(n.name, c.at.Add(-recoveryTime), limit, KillNode, PauseNode, DrainNode) {
				continue
			}
			if !s.sawBy(n.name, c, limit) {
				found = append(found, fmt.Sprintf("node %s had revision %d (%s) not in force after %s", n.name, c.revision, c.what, spreadAfter))
			}
		}
	}
	return found
}

func (s *soak) sawBy(node string, c accepted, limit time.Time) bool {
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	for _, seen := range s.journal.sightings[node] {
		if seen.revision >= c.revision && !seen.at.After(limit.Add(pollEvery)) {
			return true
		}
	}
	return false
}

// Finds nodes that reported a lower revision after a higher one.
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

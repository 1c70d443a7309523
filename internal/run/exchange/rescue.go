package exchange

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/placement"
)

// This file defines how runs leave a server that will go.
//
// An engine keeps the copy of a run while it grows, and a run whose server goes continues there when its stream
// breaks. A run that has no copy, since none had room or the copy's server went before, moves: its memory is copied
// while it goes on, and shortly before the server may be gone the run is stopped and what is new is copied. By then
// the link has carried the long copies of all runs, so that the last ones, and the pauses that callers see, are short.

const (
	// copyTimeout bounds one copy. Servers that are reclaimed are gone about two seconds after the notice.
	copyTimeout = 2 * time.Second
	// rescuePeriod is how often runs on leaving servers are looked for, beside every change of servers.
	rescuePeriod = 250 * time.Millisecond
	// stopAfter is how long after the notice a run is stopped. Servers that are reclaimed work on for 1.5 s.
	stopAfter = 1100 * time.Millisecond
	// maxTargets is how many servers are asked one after another for room for a copy.
	maxTargets = 4
	// roomPause is the time until they are asked again: runs that end free their memory.
	roomPause = 200 * time.Millisecond
)

// MoveRuns moves runs that need it, until ctx ends.
func (rt *Runtime) MoveRuns(ctx context.Context) error {
	for pause.For(ctx, rescuePeriod) {
		rt.rescue()
	}
	return nil
}

// Looks at all runs, and moves those that need it now.
func (rt *Runtime) rescue() {
	bySource := make(map[string][]*streamRun)
	notices := make(map[string]time.Time)
	rt.mu.Lock()
	now := time.Now()
	for _, s := range rt.runs {
		s.mu.Lock()
		rt.dropLostCopy(s, now)
		from := s.grant.server.ID
		if rt.leaving(s.grant.server, now) {
			notices[from] = rt.notice(from, now)
		}
		if _, leaves := notices[from]; leaves && !rt.moving[from] && s.needsMove() {
			bySource[from] = append(bySource[from], s)
			s.copying = make(chan struct{})
		}
		s.mu.Unlock()
	}
	rt.notices = notices
	for from := range bySource {
		rt.moving[from] = true
	}
	rt.mu.Unlock()
	for from, runs := range bySource {
		go rt.moveAll(from, runs, notices[from].Add(stopAfter))
	}
}

// Returns when a server with runs was first known to leave. The caller holds mu.
func (rt *Runtime) notice(server string, now time.Time) time.Time {
	if at, ok := rt.notices[server]; ok {
		return at
	}
	return now
}

// Forgets a copy whose server gets no new work, so that the run could not go on there. The caller holds rt.mu and s.mu.
func (rt *Runtime) dropLostCopy(s *streamRun, now time.Time) {
	c := s.grant.copy
	if c == nil || s.copying != nil || rt.pool.MayUse(*c, now) && !rt.leaving(*c, now) {
		return
	}
	rt.book.copy(c.ID, -1, s.grant.need.Tokens)
	s.grant.copy = nil
}

// Reports whether a run moves when its server leaves. The caller holds s.mu.
func (s *streamRun) needsMove() bool {
	e := s.adm.Service.Engine
	return e != nil && e.Moves && s.copying == nil && !s.stopped && s.grant.copy == nil
}

// Moves runs off one server that leaves. Its link carries one copy at a time, so they are copied one after another;
// those that lose most with their server go first. A run whose copy found no room tries again while there is time; one
// that found some only after stopAt is stopped at once.
func (rt *Runtime) moveAll(from string, runs []*streamRun, stopAt time.Time) {
	slices.SortFunc(runs, func(a, b *streamRun) int { return cmp.Compare(b.progress(), a.progress()) })
	for {
		if rt.copyAll(from, runs) || !pause.For(context.Background(), roomPause) || !time.Now().Before(stopAt) {
			break
		}
	}
	pause.Until(context.Background(), stopAt)
	for _, s := range runs {
		s.note(from, s.copyOnce(true), true)
		s.endMove()
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	delete(rt.moving, from)
}

// Copies those runs that have no copy yet, and reports whether all have one.
func (rt *Runtime) copyAll(from string, runs []*streamRun) bool {
	all := true
	for _, s := range runs {
		if s.place().copy != nil {
			continue
		}
		s.without = map[string]bool{from: true}
		var err error
		for range maxTargets {
			err = s.copyOnce(false)
			s.note(from, err, false)
			if err == nil || errors.Is(err, errNoRoom) {
				break
			}
		}
		all = all && err == nil
	}
	return all
}

func (s *streamRun) note(from string, err error, stop bool) {
	if err != nil {
		event.Log(s.rt.log, event.MoveFailed, event.Fields{"request": s.adm.ID, "server": from, "stop": stop, "cause": err.Error()})
	}
}

// Tells who waits for it that the move has ended, one way or another.
func (s *streamRun) endMove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.copying)
	s.copying = nil
}

// Copies the memory of a run, or what is new of it after the run was stopped. A run is stopped only where it can go
// on: its copy's server still takes it, and the budget has a repeat for it.
func (s *streamRun) copyOnce(stop bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	g := s.place()
	if !s.inHand() || (stop && g.copy == nil) {
		return nil
	}
	s.rt.refresh(ctx)
	to, err := s.bookMove(g)
	if err != nil {
		return err
	}
	if stop && !s.rt.mayUse(to) {
		s.dropMove()
		return errLeaving
	}
	if stop && !s.rt.mayRepeatOrBorrow(ctx, s.adm.Service.Name) {
		return errNoBudget
	}
	handle, err := s.rt.upstream.Copy(ctx, g.server, to, s.adm.ID, stop)
	if err != nil {
		s.dropMove()
		s.without[to.ID] = true
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handle, s.stopped, s.paid = handle, stop, stop
	return nil
}

// Returns the server that a run moves to, choosing and booking it the first time.
func (s *streamRun) bookMove(g grant) (backend.Server, error) {
	if g.copy != nil {
		return *g.copy, nil
	}
	s.rt.mu.Lock()
	defer s.rt.mu.Unlock()
	servers, list := s.rt.candidates(s.adm.Service, "", s.without, time.Now())
	to := s.rt.bookCopy(servers, list, g, placement.ChooseMove)
	if to == nil {
		return backend.Server{}, errNoRoom
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant.copy = to
	return *to, nil
}

// Takes back what bookMove booked.
func (s *streamRun) dropMove() {
	s.rt.mu.Lock()
	defer s.rt.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.grant.copy; c != nil {
		s.rt.book.copy(c.ID, -1, s.grant.need.Tokens)
	}
	s.grant.copy, s.handle = nil, ""
}

// Reports whether the run has not ended.
func (s *streamRun) inHand() bool {
	s.rt.mu.Lock()
	defer s.rt.mu.Unlock()
	return s.rt.runs[s.adm.ID] == s
}

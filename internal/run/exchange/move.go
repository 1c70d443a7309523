// This file defines how runs move off servers that will stop.
//
// An engine keeps the copy of a run up to date, and a run whose server stops continues there when its stream breaks
// off. A run may have no copy, because no server had capacity or because the server of the copy stopped first. Such a
// run moves: its memory is copied while it continues to run. Shortly before the server may stop, the run is stopped and
// the rest of its memory is copied. By then the server's link has carried the long copies of all runs, so the last
// copies, and the pauses that callers see, are short.

package exchange

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/completion"
	"ebonyferry/internal/core/placement"
)

const (
	// copyTimeout limits one copy. A reclaimed server stops about two seconds after its termination notice.
	copyTimeout = 2 * time.Second
	// leavingCheckPeriod is how often runs on leaving servers are looked for, besides after every change of the pool.
	leavingCheckPeriod = 250 * time.Millisecond
	// stopAfter is how long after the notice a run is stopped. A reclaimed server keeps working for 1.5 s.
	stopAfter = 1100 * time.Millisecond
	// returnTime is how long after it was known to leave a server takes back a run that it has stopped. Other nodes may have known earlier,
	// and no request may reach the server long after the first of them did.
	returnTime = 1300 * time.Millisecond
	// maxMoveTargets is how many servers are tried one after another for a copy.
	maxMoveTargets = 4
	// moveRetryPause is the pause before these servers are tried again: runs that end free their memory.
	moveRetryPause = 200 * time.Millisecond
)

// move is the move of one run off its server. While it lasts, the run stays at that server.
type move struct {
	exclude map[string]bool // servers that the run cannot move to; belongs to the goroutine of the move
	done    chan struct{}   // closed when the move ends
}

func newMove(from string) *move {
	m := &move{done: make(chan struct{})}
	m.excludeOnly(from)
	return m
}

func (m *move) excludeOnly(server string) { m.exclude = map[string]bool{server: true} }

// MoveRuns moves runs off leaving servers until ctx ends.
func (rt *Runtime) MoveRuns(ctx context.Context) error {
	for pause.For(ctx, leavingCheckPeriod) {
		rt.moveLeaving()
	}
	return nil
}

// moveLeaving starts moves for the runs on leaving servers that need one.
func (rt *Runtime) moveLeaving() {
	bySource := make(map[string][]*streamRun)
	notices := make(map[string]time.Time)
	rt.mu.Lock()
	now := time.Now()
	for _, s := range rt.runs {
		s.mu.Lock()
		rt.dropUnusableCopy(s, now)
		from := s.grant.server.ID
		if rt.leaving(s.grant.server, now) {
			notices[from] = rt.noticeTime(from, now)
		}
		if _, leaves := notices[from]; leaves && !rt.moving[from] && s.needsMove() {
			bySource[from] = append(bySource[from], s)
			s.move = newMove(from)
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

// noticeTime returns when a server with runs was first known to leave. The caller holds mu.
func (rt *Runtime) noticeTime(server string, now time.Time) time.Time {
	if at, ok := rt.notices[server]; ok {
		return at
	}
	return now
}

// dropUnusableCopy drops a copy on a server that gets no new work, since the run could not continue there. The caller
// holds rt.mu and s.mu.
func (rt *Runtime) dropUnusableCopy(s *streamRun, now time.Time) {
	c := s.grant.copy
	if c == nil || s.move != nil || rt.pool.MayUse(*c, now) && !rt.leaving(*c, now) {
		return
	}
	rt.loads.addCopy(c.ID, -1, s.grant.need.Tokens)
	s.grant.copy, s.copyHandle = nil, ""
}

// needsMove reports whether a run moves if its server leaves. A run that continues elsewhere is about to have another
// server, and perhaps a copy. The caller holds s.mu.
func (s *streamRun) needsMove() bool {
	e := s.adm.Service.Engine
	return e != nil && e.Moves && s.move == nil && !s.continuing && s.orders.Stop() == completion.NotStopped && s.grant.copy == nil
}

// moveAll moves runs off one leaving server. The server's link carries one copy at a time, so runs are copied one after
// another, those that would lose the most progress first. If a run finds no server for its copy, moveAll tries again
// until stopAt. A run whose first copy ends after stopAt is stopped immediately.
func (rt *Runtime) moveAll(from string, runs []*streamRun, stopAt time.Time) {
	slices.SortFunc(runs, func(a, b *streamRun) int { return cmp.Compare(b.progress(), a.progress()) })
	for {
		if rt.copyAll(from, runs) || !pause.For(context.Background(), moveRetryPause) || !time.Now().Before(stopAt) {
			break
		}
	}
	pause.Until(context.Background(), stopAt)
	for _, s := range runs {
		s.logMoveFailure(from, s.copyMemory(true), true)
		s.endMove()
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	delete(rt.moving, from)
}

// copyAll copies the runs that have no copy yet, and reports whether all have one now.
func (rt *Runtime) copyAll(from string, runs []*streamRun) bool {
	all := true
	for _, s := range runs {
		if s.currentGrant().copy != nil {
			continue
		}
		s.currentMove().excludeOnly(from) // servers without capacity are tried again
		var err error
		for range maxMoveTargets {
			err = s.copyMemory(false)
			s.logMoveFailure(from, err, false)
			if err == nil || errors.Is(err, errNoCapacity) || errors.Is(err, errNoPermit) {
				break
			}
		}
		all = all && err == nil
	}
	return all
}

func (s *streamRun) logMoveFailure(from string, err error, stop bool) {
	if err != nil {
		event.Log(s.rt.log, event.MoveFailed, event.Fields{"request": s.adm.ID, "server": from, "stop": stop, "cause": err.Error()})
	}
}

// endMove ends a move, successful or not, and wakes those that wait for it.
func (s *streamRun) endMove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.move.done)
	s.move = nil
}

// currentMove returns the move of the run, or nil.
func (s *streamRun) currentMove() *move {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.move
}

// copyMemory copies the memory of a run or, with stop, stops the run and copies the rest. It stops a run only if the
// run can continue: the server of its copy still accepts it, and the budget has a retry for it.
func (s *streamRun) copyMemory(stop bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	g, m := s.currentGrant(), s.currentMove()
	if !s.inFlight() || (stop && g.copy == nil) {
		return nil
	}
	if err := s.rt.takeUrgentPermit(ctx, g.server); err != nil {
		return err
	}
	s.rt.refreshPeerLoads(ctx)
	to, err := s.reserveMove(g, m)
	switch {
	case errors.Is(err, errEnded):
		return nil
	case err != nil:
		return err
	case stop:
		return s.stopAndMove(ctx, g.server, to)
	}
	handle, err := s.rt.upstream.Copy(ctx, g.server, to, s.adm.ID, false)
	if err != nil {
		s.releaseMove()
		m.exclude[to.ID] = true
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copyHandle = handle
	return nil
}

// stopAndMove stops the run, which has a copy at another server. If that fails, the run can still continue from this copy once its stream breaks.
func (s *streamRun) stopAndMove(ctx context.Context, from, to backend.Server) error {
	if !s.rt.mayUse(to) {
		s.releaseMove()
		return errLeaving
	}
	if !s.payRetry(ctx) {
		return errNoBudget
	}
	err := s.orderStop(ctx, from, to, stopForMove)
	if errors.Is(err, errEnded) {
		return nil
	}
	return err
}

// recordDraining records when servers were first known to drain. The caller holds mu.
func (rt *Runtime) recordDraining(now time.Time) {
	for _, id := range rt.pool.IDs() {
		srv, _ := rt.pool.Get(id)
		if _, known := rt.drainingSince[startOf(srv)]; srv.Draining && !known {
			rt.drainingSince[startOf(srv)] = now
		}
	}
	maps.DeleteFunc(rt.drainingSince, func(s serverStart, since time.Time) bool {
		srv, listed := rt.pool.Get(s.id)
		return now.Sub(since) > returnTime && (!listed || startOf(srv) != s)
	})
}

// takesBack reports whether a server that leaves still takes back a run that it has stopped.
func (rt *Runtime) takesBack(srv backend.Server) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := time.Now()
	since, ok := rt.drainingSince[startOf(srv)]
	return ok && now.Sub(since) < returnTime && !rt.pool.Evacuated(srv.Domain) && !rt.awaitsFreshData(now)
}

// reserveMove returns the server that a run moves to. The first call chooses the server and reserves the memory there.
func (s *streamRun) reserveMove(g grant, m *move) (backend.Server, error) {
	if g.copy != nil {
		return *g.copy, nil
	}
	s.rt.mu.Lock()
	defer s.rt.mu.Unlock()
	if s.rt.runs[s.adm.ID] != s {
		return backend.Server{}, errEnded
	}
	servers, list := s.rt.candidates(s.adm.Service, nil, m.exclude, time.Now())
	to := s.rt.reserveCopy(servers, list, g, placement.ChooseMove)
	if to == nil {
		return backend.Server{}, errNoCapacity
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant.copy = to
	s.rt.signalLoads()
	return *to, nil
}

// releaseMove undoes reserveMove.
func (s *streamRun) releaseMove() {
	s.rt.mu.Lock()
	defer s.rt.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.grant.copy; c != nil {
		s.rt.loads.addCopy(c.ID, -1, s.grant.need.Tokens)
	}
	s.grant.copy, s.copyHandle = nil, ""
}

// inFlight reports whether the run has not ended.
func (s *streamRun) inFlight() bool {
	s.rt.mu.Lock()
	defer s.rt.mu.Unlock()
	return s.rt.runs[s.adm.ID] == s
}

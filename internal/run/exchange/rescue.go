package exchange

import (
	"cmp"
	"context"
	"slices"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/backend"
)

// This file defines how runs leave a server that will go: those without a live copy are moved while it still works,
// those with one continue there when their stream breaks.

// moveTimeout bounds one move. Servers that are reclaimed are gone about two seconds after the notice.
const moveTimeout = 2500 * time.Millisecond

// Looks at all runs after servers changed, and moves those that would be lost with their server.
func (rt *Runtime) rescue() {
	bySource := make(map[string][]*streamRun)
	rt.mu.Lock()
	now := time.Now()
	for _, s := range rt.runs {
		s.mu.Lock()
		if c := s.grant.copy; c != nil && rt.pool.Leaving(*c, now) {
			rt.book.add(c.ID, 0, -s.grant.need.Tokens)
			s.grant.copy = nil
		}
		if s.grant.copy == nil && s.moving == nil && rt.movable(s) && rt.pool.Leaving(s.grant.server, now) {
			s.moving = make(chan struct{})
			bySource[s.grant.server.ID] = append(bySource[s.grant.server.ID], s)
		}
		s.mu.Unlock()
	}
	rt.mu.Unlock()
	for _, runs := range bySource {
		go rt.moveAll(runs)
	}
}

func (rt *Runtime) movable(s *streamRun) bool {
	e := s.adm.Service.Engine
	return e != nil && e.Moves
}

// Moves runs off one server, one after another, since its link carries one at a time. Those that lose most go
// first.
func (rt *Runtime) moveAll(runs []*streamRun) {
	slices.SortFunc(runs, func(a, b *streamRun) int { return cmp.Compare(b.progress(), a.progress()) })
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	for _, s := range runs {
		s.move(ctx)
	}
}

func (s *streamRun) progress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events
}

// Copies the run's memory while it goes on, then stops it and copies the rest.
func (s *streamRun) move(ctx context.Context) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.moving != nil {
			close(s.moving)
		}
	}()
	from := s.place().server
	if !s.inHand() {
		return
	}
	to, ok := s.rt.moveTarget(s, from)
	if !ok {
		event.Log(s.rt.log, event.MoveFailed, event.Fields{"request": s.adm.ID, "server": from.ID, "cause": "no server has room"})
		return
	}
	handle, err := s.rt.upstream.Copy(ctx, from, to, s.adm.ID, false)
	if err == nil && s.inHand() {
		handle, err = s.rt.upstream.Copy(ctx, from, to, s.adm.ID, true)
	}
	if err != nil {
		event.Log(s.rt.log, event.MoveFailed, event.Fields{"request": s.adm.ID, "server": from.ID, "to": to.ID, "cause": err.Error()})
		return
	}
	s.mu.Lock()
	s.moved, s.target = &Source{Server: from, Handle: handle}, to
	s.mu.Unlock()
}

// Reports whether the run has not ended.
func (s *streamRun) inHand() bool {
	s.rt.mu.Lock()
	defer s.rt.mu.Unlock()
	return s.rt.runs[s.adm.ID] == s
}

// Returns the server that a run moves to.
func (rt *Runtime) moveTarget(s *streamRun, from backend.Server) (backend.Server, bool) {
	w := want{adm: s.adm, need: s.need()}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	to := rt.chooseCopy(w, from, from.ID)
	if to == nil {
		return backend.Server{}, false
	}
	rt.book.add(to.ID, 0, -w.need.Tokens) // booked when the run continues there
	return *to, true
}

package exchange

import (
	"context"
	"errors"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/placement"
)

// This file defines how a stream goes on at the server that holds a copy of its memory.

const (
	// Tries to continue from a copy, and the pause between them: a copy's server may be full for a moment.
	maxContinues  = 4
	continuePause = 80 * time.Millisecond
)

// errNoCopy means that no server holds memory to continue from.
var errNoCopy = errors.New("no server holds a copy of the run")

// Continues a broken stream from a copy of its memory, after the last event that reached the caller.
func (s *streamRun) resume(ctx context.Context, cause error) (Events, error) {
	fields := s.breakFields(cause)
	src, to, ok := s.source(ctx)
	if !ok {
		s.lost(fields)
		return nil, errNoCopy
	}
	fields["to"] = to.ID
	events, err := s.continueAt(ctx, src, to, maxContinues)
	if err != nil {
		fields["refusal"] = err.Error()
		s.lost(fields)
		return nil, errNoCopy
	}
	s.continued = fields
	return events, nil
}

// Returns what a log line says of a stream that broke.
func (s *streamRun) breakFields(cause error) event.Fields {
	s.mu.Lock()
	defer s.mu.Unlock()
	return event.Fields{
		"request": s.adm.ID, "server": s.grant.server.ID, "lastEvent": s.last, "cause": cause.Error(),
		"moved": s.stopped || s.copying != nil,
	}
}

func (s *streamRun) lost(fields event.Fields) {
	s.rt.count.lost.Add(1)
	event.Log(s.rt.log, event.StreamLost, fields)
}

// Errors that keep a run from being sent to the server of its copy.
var (
	errLeaving  = errors.New("the copy's server leaves")
	errNoBudget = errors.New("no repeat is left in the budget")
)

// Sends the request to the server that holds a copy, up to a number of times, and books the run there.
func (s *streamRun) continueAt(ctx context.Context, src CopyRef, to backend.Server, tries int) (Events, error) {
	next := s.rt.bookAt(to, s.place().server, want{adm: s.adm, need: s.need(), copy: s.worthCopy()})
	events, err := s.tryAt(ctx, src, next, tries)
	if err != nil {
		s.rt.giveBack(next)
		return nil, err
	}
	s.mu.Lock()
	old := s.grant
	s.grant, s.handle, s.stopped, s.paid = next, "", false, false
	s.mu.Unlock()
	s.rt.giveBack(old)
	return events, nil
}

// Sends the request to a server until it takes it, or refuses for good.
func (s *streamRun) tryAt(ctx context.Context, src CopyRef, at grant, tries int) (events Events, err error) {
	for try := range tries {
		wait := continuePause
		if try == 0 {
			wait = 0
		}
		switch {
		case !pause.For(ctx, wait):
			return nil, ctx.Err()
		case !s.rt.mayUse(at.server):
			return nil, errLeaving
		case !s.takePaid() && !s.rt.mayRepeatOrBorrow(ctx, s.adm.Service.Name):
			return nil, errNoBudget
		}
		var ans *Answer
		events, ans, err = s.rt.upstream.Open(ctx, at.server, s.adm, OpenOptions{CopyTo: at.copy, From: src, AfterID: s.last})
		if err == nil && ans != nil {
			err = ErrUnknown
		}
		if err == nil || !errors.Is(err, ErrNotRun) {
			return events, err
		}
	}
	return nil, err
}

// Reports whether a move has paid for the next repeat, and uses it up.
func (s *streamRun) takePaid() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	paid := s.paid
	s.paid = false
	return paid
}

func (s *streamRun) isMoving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copying != nil
}

// Returns the copy to continue from, and its server.
func (s *streamRun) source(ctx context.Context) (src CopyRef, to backend.Server, ok bool) {
	s.mu.Lock()
	copying := s.copying
	s.mu.Unlock()
	if copying != nil {
		select {
		case <-copying:
		case <-ctx.Done():
			return CopyRef{}, backend.Server{}, false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.grant.copy
	switch {
	case c == nil:
		return CopyRef{}, backend.Server{}, false
	case s.handle != "":
		return CopyRef{Server: s.grant.server, Handle: s.handle}, *c, true
	}
	return CopyRef{Server: *c, Handle: s.adm.ID}, *c, true
}

// Books a run at the server of its copy, with a server for its next copy that is not the one it comes from.
func (rt *Runtime) bookAt(to, from backend.Server, w want) grant {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	g := grant{server: to, need: w.need}
	rt.book.run(to.ID, 1, w.need.Tokens)
	if w.copy {
		servers, list := rt.candidates(w.adm.Service, "", map[string]bool{from.ID: true}, time.Now())
		g.copy = rt.bookCopy(servers, list, g, placement.ChooseCopy)
	}
	rt.placed()
	return g
}

// errSilent is why a stream left its server.
var errSilent = errors.New("server is silent")

// Goes on at the copy of a run whose server is silent, if the copy's server takes it. The silent server's stream is
// closed after that, and kept when it does not.
func (s *streamRun) leaveSilent(ctx context.Context) Events {
	if s.isMoving() {
		return nil // the run leaves its server by itself
	}
	src, to, ok := s.source(ctx)
	if !ok {
		return nil
	}
	fields := s.breakFields(errSilent)
	events, err := s.continueAt(ctx, src, to, 1)
	if err != nil {
		return nil
	}
	fields["to"] = to.ID
	s.continued = fields
	return events
}

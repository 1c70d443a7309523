package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/placement"
)

// This file defines streams: a request with an answer in events that may outlive its server.

const (
	// streamWait is the part of a route's target that a stream waits for a place: the prompt is read in what is left.
	streamWait = 0.6
	// fullRetryAfter is when a caller may come back to engines without room: some streams end every second.
	fullRetryAfter = time.Second
	// silenceLimit is the silence after an event from which on a stream goes on at its copy, if it can: callers leave
	// after two seconds. Without a copy the server is waited for; it may have preempted the run.
	silenceLimit = time.Second
	// firstSilence is the same before the first event, in targets.
	firstSilence = 2.5
)

// streamRun is one stream in hand. The goroutine that serves it owns it but for what mu guards.
type streamRun struct {
	rt   *Runtime
	adm  *Admitted
	w    Responder
	last string // ID of the last event that reached the caller

	typical   float64       // length of answers on the route in tokens, when the request came
	opened    time.Time     // when the request was sent
	passed    time.Time     // when an event last arrived
	waited    time.Duration // until the request got its place
	first     time.Duration // until the first event
	continued event.Fields  // of a stream that goes on elsewhere, until its first event there

	without map[string]bool // servers that the run cannot move to; owned by the move

	mu      sync.Mutex
	grant   grant         // where it runs now, and where its copy is
	events  int           // that reached the caller
	handle  string        // of the copy that a move made; empty when the engine keeps the copy
	stopped bool          // the server has ended the run, which continues from handle
	paid    bool          // the move took the next repeat out of the budget
	copying chan struct{} // closed when the move has ended; nil without one
}

func (rt *Runtime) serveStream(ctx context.Context, adm *Admitted, w Responder) Result {
	rt.mu.Lock()
	typical := rt.typical(adm.Route.Name).Tokens()
	rt.mu.Unlock()
	s := &streamRun{rt: rt, adm: adm, w: w, last: adm.ResumeFrom, typical: typical}
	events, res := s.open(ctx)
	if events == nil {
		return res
	}
	defer s.end()
	if err := w.Begin(events.Head()); err != nil {
		events.Close()
		return Result{Reason: ReasonCallerLeft, Server: s.grant.server.ID}
	}
	return s.relay(ctx, events)
}

// Returns what the rest of the stream is predicted to take.
func (s *streamRun) need() placement.Need {
	return placement.RunNeed(s.adm.Generation.PromptTokens, s.length(), s.made(s.progress()))
}

func (s *streamRun) length() placement.AnswerLength {
	return placement.AnswerLength{Typical: s.typical, Hint: s.adm.Generation.LengthHint, Max: s.adm.Generation.MaxTokens}
}

// Reports whether an engine is to keep a copy of the run.
func (s *streamRun) worthCopy() bool {
	e := s.adm.Service.Engine
	return e != nil && e.Copies && s.length().WorthCopy(s.made(s.progress()))
}

// Returns the tokens in a number of events.
func (s *streamRun) made(events int) int {
	if e := s.adm.Service.Engine; e != nil {
		return events * e.TokensPerEvent
	}
	return 0
}

func (s *streamRun) progress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events
}

// Opens the stream at one server after another until one runs it. Without events the result is final.
func (s *streamRun) open(ctx context.Context) (Events, Result) {
	until := s.adm.Arrived.Add(time.Duration(streamWait * float64(s.adm.Route.LatencyTarget)))
	w := want{adm: s.adm, need: s.need(), copy: s.worthCopy(), except: make(map[string]bool)}
	for sends := 0; ; {
		s.rt.refresh(ctx)
		g, err := s.rt.place(ctx, w, until)
		if err != nil {
			return nil, s.unplaced(ctx, err, sends)
		}
		events, ans, err := s.send(ctx, g)
		switch {
		case events != nil:
			s.begin(g)
			return events, Result{}
		case ans != nil:
			s.rt.giveBack(g)
			return nil, s.answer(g.server, *ans)
		}
		s.rt.giveBack(g)
		w.except[g.server.ID] = true
		if errors.Is(err, ErrNotRun) {
			sends++
		}
		if res, final := s.unsent(ctx, g.server, err, sends); final {
			return nil, res
		}
		s.rt.logRepeat(s.adm, g.server, err.Error())
	}
}

// Sends the request to the server of a place.
func (s *streamRun) send(ctx context.Context, g grant) (Events, *Answer, error) {
	if ctx.Err() != nil || !s.rt.mayUse(g.server) {
		return nil, nil, ErrNotSent
	}
	s.opened = time.Now()
	s.waited = s.opened.Sub(s.adm.Arrived)
	return s.rt.upstream.Open(ctx, g.server, s.adm, OpenOptions{CopyTo: g.copy, AfterID: s.last})
}

// Passes on a whole answer that is no stream.
func (s *streamRun) answer(srv backend.Server, ans Answer) Result {
	s.rt.observe(srv, time.Since(s.adm.Arrived), ans.Status >= http.StatusInternalServerError)
	if err := s.w.Answer(ans); err != nil {
		return Result{Reason: ReasonCallerLeft, Server: srv.ID}
	}
	return Result{Server: srv.ID, Status: ans.Status}
}

// Ends a stream that got no place.
func (s *streamRun) unplaced(ctx context.Context, err error, sends int) Result {
	reason := ReasonOverloaded
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return Result{Reason: ReasonCallerLeft}
	case errors.Is(err, errNoServer):
		reason = ReasonNoServer
	case sends > 0:
		reason = ReasonNotRun
	}
	return refuse(s.w, Refusal{Reason: reason, RetryAfter: fullRetryAfter})
}

// Decides what a failed opening means. Unless it is final, another server is asked.
func (s *streamRun) unsent(ctx context.Context, srv backend.Server, err error, sends int) (Result, bool) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return Result{Reason: ReasonCallerLeft, Server: srv.ID}, true
	case errors.Is(err, ErrNotSent):
		if ctx.Err() == nil {
			s.rt.unreachable(srv, err)
			return Result{}, false
		}
		return refuse(s.w, Refusal{Reason: ReasonOverloaded}), true
	case errors.Is(err, ErrNotRun):
		s.rt.markFull(srv)
		if sends < maxSends && ctx.Err() == nil && s.rt.mayRepeatOrBorrow(ctx, s.adm.Service.Name) {
			return Result{}, false
		}
		return refuse(s.w, Refusal{Reason: ReasonNotRun, RetryAfter: fullRetryAfter}), true
	case ctx.Err() != nil:
		return s.failed(srv, ReasonTimeout), true
	}
	s.rt.unreachable(srv, err)
	return s.failed(srv, ReasonLost), true
}

func (s *streamRun) failed(srv backend.Server, reason Reason) Result {
	res := refuse(s.w, Refusal{Reason: reason})
	res.Server = srv.ID
	return res
}

// Enters the run among those in hand.
func (s *streamRun) begin(g grant) {
	s.grant = g
	s.rt.mu.Lock()
	s.rt.runs[s.adm.ID] = s
	s.rt.mu.Unlock()
}

// Takes the run off those in hand.
func (s *streamRun) end() {
	s.rt.mu.Lock()
	delete(s.rt.runs, s.adm.ID)
	s.rt.mu.Unlock()
	s.mu.Lock()
	g := s.grant
	s.mu.Unlock()
	s.rt.giveBack(g)
}

// Relays events until the stream has ended one way or another.
func (s *streamRun) relay(ctx context.Context, events Events) Result {
	for {
		next, err := s.pump(ctx, events)
		events.Close()
		srv := s.place().server
		res := Result{Server: srv.ID, Status: http.StatusOK, Events: s.events, Waited: s.waited, First: s.first}
		switch {
		case next != nil:
			events = next
			continue
		case err == nil:
			s.learn()
			if s.w.End() != nil {
				res.Reason = ReasonCallerLeft
			}
			return res
		case errors.Is(err, errCallerLeft) || errors.Is(ctx.Err(), context.Canceled):
			res.Reason = ReasonCallerLeft
			return res
		case ctx.Err() != nil:
			res.Reason, res.Truncated = ReasonTimeout, true
			return res
		}
		if events, err = s.resume(ctx, err); err != nil {
			res.Reason, res.Truncated = ReasonBroken, true
			return res
		}
	}
}

// Returns what is known of the lengths of a route's answers. The caller holds mu.
func (rt *Runtime) typical(name string) *placement.TypicalLength {
	t := rt.lengths[name]
	if t == nil {
		t = new(placement.TypicalLength)
		rt.lengths[name] = t
	}
	return t
}

// Learns from the length of a whole answer.
func (s *streamRun) learn() {
	s.rt.mu.Lock()
	defer s.rt.mu.Unlock()
	s.rt.typical(s.adm.Route.Name).Observe(s.made(s.progress()))
}

// errCallerLeft means that an event could not be written.
var errCallerLeft = errors.New("caller has left")

// reading is what one call of Next returned.
type reading struct {
	event Event
	err   error
}

// Reads events in the background until the stream ends or done is closed.
func read(events Events, done <-chan struct{}) <-chan reading {
	out := make(chan reading)
	go func() {
		for {
			ev, err := events.Next()
			select {
			case out <- reading{ev, err}:
			case <-done:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return out
}

// Passes events on until the stream ends. It returns no error when the stream is complete, and the stream that goes
// on at the copy when this one was silent.
func (s *streamRun) pump(ctx context.Context, events Events) (Events, error) {
	done := make(chan struct{})
	defer close(done)
	readings := read(events, done)
	limit := silenceLimit
	if s.events == 0 {
		limit = time.Duration(firstSilence * float64(s.adm.Route.LatencyTarget))
	}
	silence := time.NewTimer(limit)
	defer silence.Stop()
	for {
		select {
		case r := <-readings:
			if errors.Is(r.err, io.EOF) {
				return nil, nil
			}
			if r.err != nil {
				return nil, r.err
			}
			silence.Reset(silenceLimit)
			if err := s.pass(r.event); err != nil {
				return nil, err
			}
		case <-silence.C:
			if next := s.leaveSilent(ctx); next != nil {
				return next, nil
			}
			silence.Reset(silenceLimit)
		}
	}
}

// Passes one event on.
func (s *streamRun) pass(ev Event) error {
	s.measure()
	if err := s.w.Event(ev.Data); err != nil {
		return errCallerLeft
	}
	s.last = ev.ID
	s.advance()
	return nil
}

// Counts an event that reached the caller. With the first one the server has read the prompt.
func (s *streamRun) advance() {
	s.mu.Lock()
	s.events++
	events := s.events
	server, unread := s.grant.server.ID, s.grant.unread
	s.grant.unread = 0
	s.mu.Unlock()
	if unread > 0 {
		s.rt.mu.Lock()
		s.rt.book.reading(server, -1, unread)
		s.rt.mu.Unlock()
	}
	if events%rebookEvents == 0 {
		s.rebookNeed()
	}
}

// rebookEvents is after how many events what a run needs is predicted anew.
const rebookEvents = 25

// Books what the rest of the run is predicted to need now.
func (s *streamRun) rebookNeed() {
	need := s.need()
	s.rt.mu.Lock()
	defer s.rt.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	more := need.Tokens - s.grant.need.Tokens
	s.grant.need = need
	s.rt.book.add(s.grant.server.ID, placement.Load{RunTokens: more})
	if c := s.grant.copy; c != nil {
		s.rt.book.add(c.ID, placement.Load{CopyTokens: more})
	}
}

// Measures an event, and logs the first one after the stream went on elsewhere, with the pause that the caller saw.
func (s *streamRun) measure() {
	now := time.Now()
	class := classes[s.adm.Route.Kind]
	if s.passed.IsZero() {
		s.first = now.Sub(s.adm.Arrived)
		s.rt.observer.FirstEvent(class, s.adm.Account, s.first)
		s.rt.tallyFirst(s.place().server, now.Sub(s.opened))
	} else {
		s.rt.observer.EventGap(class, s.adm.Account, now.Sub(s.passed))
	}
	if s.continued != nil {
		s.continued["pauseMs"] = now.Sub(s.passed).Milliseconds()
		s.rt.count.continued.Add(1)
		event.Log(s.rt.log, event.StreamContinued, s.continued)
		s.continued = nil
	}
	s.passed = now
}

func (s *streamRun) place() grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grant
}

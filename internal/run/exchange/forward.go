// This file defines how the events of one server are forwarded until its stream ends or the server has been silent for too long.

package exchange

import (
	"context"
	"errors"
	"time"
)

const (
	// silenceLimit is the time without an event after which a stream continues from its copy, if it can and its server ends
	// it: callers leave after two seconds. Any other stream waits for its server, which may have preempted the run.
	silenceLimit = time.Second
	// lateTimer is how late a timer may be. After a longer delay the process itself was stalled, and events may have arrived
	// that were not read: these have stallGrace.
	lateTimer  = 150 * time.Millisecond
	stallGrace = 100 * time.Millisecond
	// maxSilences bounds how often silenceLimit doubles while continuations bring no event: where all servers are slow, each
	// continuation would begin the wait anew.
	maxSilences = 3
	// firstSilenceTargets is the silence limit before the first event, as a multiple of the route's target.
	firstSilenceTargets = 2.5
)

// errCallerLeft means that an event could not be written to the caller.
var errCallerLeft = errors.New("caller has left")

// readResult is what one call of Events.Next returned.
type readResult struct {
	event Event
	err   error
}

// readEvents reads events in the background until the stream ends or done is closed.
func readEvents(events Events, done <-chan struct{}) <-chan readResult {
	out := make(chan readResult)
	go func() {
		for {
			ev, err := events.Next()
			select {
			case out <- readResult{ev, err}:
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

// errSilent is why a stream left a server that stopped sending events.
var errSilent = errors.New("server is silent")

// forwardFrom forwards the events of one server until the stream ends. It returns no error if the stream is complete, and errSilent
// if its server fell silent and the run has ended there. If the run already continues at another server, it returns the new stream.
func (s *streamRun) forwardFrom(ctx context.Context, events Events) (Events, error) {
	done := make(chan struct{})
	defer close(done)
	readings := readEvents(events, done)
	limit := silenceLimit
	if s.forwarded == 0 {
		limit = time.Duration(firstSilenceTargets * float64(s.adm.Route.LatencyTarget))
	}
	limit <<= s.silences
	silence := newSilence(limit)
	defer silence.stop()
	var stopping <-chan stopOutcome
	notThere := false // the server has no such run; its last events or the end of its stream may be on their way
	var pending *pendingContinuation
	for {
		select {
		case r := <-readings:
			if r.err != nil {
				return s.afterEnd(ctx, pending, s.judgeEnd(ctx, r.err, stopping))
			}
			if pending != nil { // the server goes on with the run
				s.withdraw(ctx, pending)
				s.endContinuation()
				pending = nil
			}
			if err := s.forwardEvent(r.event); err != nil {
				return nil, err
			}
			s.silences = 0
			if s.ended == runUnreachable || notThere { // it goes on
				s.ended, notThere = "", false
				s.endContinuation()
			}
			silence.reset(silenceLimit)
		case res := <-pending.done():
			s.endContinuation()
			if next, err := s.finish(pending, res); err == nil {
				return next, nil
			}
			pending = nil
			silence.reset(silenceLimit)
		case <-silence.timer.C:
			switch {
			case silence.isLate():
				silence.reset(stallGrace)
			case s.ended != "":
				return nil, errSilent
			case notThere:
				notThere = false
				if pending = s.continueWaiting(ctx); pending == nil {
					s.endContinuation()
					silence.reset(silenceLimit)
				}
			case stopping == nil:
				stopping = s.beginStopSilent(ctx)
				silence.reset(silenceLimit)
			}
		case out := <-stopping:
			stopping = nil
			switch out {
			case runGoesOn:
				s.endContinuation()
				silence.reset(silenceLimit)
			case runNotThere:
				notThere = true
				silence.reset(lastEventsTime)
			default:
				s.ended = out
				s.silences = min(s.silences+1, maxSilences)
				silence.reset(lastEventsTime)
			}
		}
	}
}

// silenceTimer fires when a server has sent nothing for a time.
type silenceTimer struct {
	timer *time.Timer
	due   time.Time
}

func newSilence(d time.Duration) *silenceTimer {
	return &silenceTimer{timer: time.NewTimer(d), due: time.Now().Add(d)}
}

func (t *silenceTimer) reset(d time.Duration) {
	t.timer.Reset(d)
	t.due = time.Now().Add(d)
}

// isLate reports whether the timer fired late, so that events may wait unread.
func (t *silenceTimer) isLate() bool { return time.Since(t.due) > lateTimer }

func (t *silenceTimer) stop() { t.timer.Stop() }

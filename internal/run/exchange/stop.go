// This file defines how a run ends at its server before it goes on at another one.
//
// An engine may go on with a run after its connection has closed, and one that sends nothing may have preempted the run or be
// paused itself. A run that continued without more would be worked on twice. Its server is therefore asked to stop it, which
// an engine does before it copies the memory, and the run continues once that is known or the server cannot be reached. What is
// known of all servers that were sent the run is kept in streamRun.fence, see fence.go.

package exchange

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/completion"
	"ebonyferry/internal/core/fencing"
)

const (
	// stopTimeout limits one request to stop a broken run. A server that does not answer for that long counts as not reached.
	stopTimeout = 700 * time.Millisecond
	// silentStopTargets is that limit for a silent run, as a multiple of the route's target. A server that accepts connections
	// and does not answer may be paused and go on; callers leave after four times the target.
	silentStopTargets = 2.0
	// stopPause is the pause before a server that did not say that it has stopped a run is ordered again. It doubles up to maxStopPause.
	stopPause    = 50 * time.Millisecond
	maxStopPause = 200 * time.Millisecond
	// stopPatience is for how long it is ordered, as a fraction of the time that callers wait for an event: the rest is for the continuation.
	stopPatience = 0.5
	// lastEventsTime is how long the events that a stopped run made before may take to arrive.
	lastEventsTime = 100 * time.Millisecond
)

// stopOutcome is what is known of a run at its server.
type stopOutcome string

const (
	runStopped     stopOutcome = "stopped"     // on request; the server may hold the memory
	runNotThere    stopOutcome = "notThere"    // the server has no such run: it has ended, or waits in the server's queue
	runUnreachable stopOutcome = "unreachable" // the server refuses connections or does not answer
	runGoesOn      stopOutcome = "goesOn"      // as far as is known
)

// stopCause is why a server is asked to stop a run.
type stopCause string

const (
	stopForMove    stopCause = "move"   // the server leaves
	stopForSilence stopCause = "silent" // the server sends no events
	stopForBreak   stopCause = "broken" // the stream broke off
	stopForLoss    stopCause = "lost"   // the answer to a continuation is lost
	stopForQueue   stopCause = "queued" // the run is elsewhere, and may wait in the server's queue
)

// errEnded means that the stream is whole, so that no order is sent.
var errEnded = fmt.Errorf("%w: its stream is whole", ErrNoRun)

// orderStop asks a server to stop the run and to copy the rest of its memory to another server. It returns the error of Upstream.Copy, or errEnded. It
// is the only place where a run is stopped, and records what is known of it. An earlier copy stays in use unless this one replaces it.
func (s *streamRun) orderStop(ctx context.Context, from, to backend.Server, why stopCause) error {
	s.mu.Lock()
	orders := s.ordersTo(from.ID)
	mayOrder := orders.Begin()
	s.mu.Unlock()
	if !mayOrder {
		return errEnded
	}
	began := time.Now()
	handle, err := s.rt.upstream.Copy(ctx, from, to, s.adm.ID, true)
	s.rt.logStopOrder(s.adm.ID, from, to, why, began, err)
	s.mu.Lock()
	answer := orderAnswer(err)
	orders.Answer(answer, time.Now())
	s.recordOrder(from, answer, err)
	switch {
	case answer != completion.AnsweredStopped:
	case s.orders == orders:
		s.sourceHandle = handle
		if err == nil {
			s.copyHandle = handle
		}
	case from.ID != s.grant.server.ID: // else the run has continued meanwhile
		s.keepLostCopy(from, to, handle, err == nil)
	}
	s.mu.Unlock()
	select {
	case s.orderAnswered <- struct{}{}:
	default:
	}
	return err
}

// ordersTo returns the orders to a server. The caller holds mu.
func (s *streamRun) ordersTo(server string) *completion.Orders {
	if server == s.grant.server.ID {
		return s.orders
	}
	if s.otherOrders[server] == nil {
		s.otherOrders[server] = new(completion.Orders)
	}
	return s.otherOrders[server]
}

// recordOrder records what the answer to an order says of the run at a server. The caller holds mu.
func (s *streamRun) recordOrder(at backend.Server, answer completion.Answer, err error) {
	switch {
	case answer == completion.AnsweredStopped:
		s.fence.Record(at.ID, fencing.SaidStopped)
	case answer == completion.AnsweredNoRun:
		s.fence.Record(at.ID, fencing.SaidNoRun)
	case errors.Is(err, ErrNotSent), errors.Is(err, context.DeadlineExceeded):
		s.fence.Record(at.ID, fencing.NotReached)
	case answer == completion.AnswerLost:
		s.fence.Record(at.ID, fencing.LostOrder)
	}
}

// orderAnswer returns what the error of Upstream.Copy says of an order to stop a run.
func orderAnswer(err error) completion.Answer {
	switch {
	case err == nil, errors.Is(err, ErrNoRoom):
		return completion.AnsweredStopped
	case errors.Is(err, ErrNoRun):
		return completion.AnsweredNoRun
	case errors.Is(err, ErrNotRun), errors.Is(err, ErrNotSent):
		return completion.AnsweredNot
	}
	return completion.AnswerLost
}

// stopRun asks the server of the run to stop it.
func (s *streamRun) stopRun(ctx context.Context, timeout time.Duration, why stopCause) stopOutcome {
	g := s.currentGrant()
	return s.stopAt(ctx, timeout, g.server, g.copy, why)
}

// stopAt asks a server to stop the run and to copy its memory to another one.
func (s *streamRun) stopAt(ctx context.Context, timeout time.Duration, at backend.Server, to *backend.Server, why stopCause) stopOutcome {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !s.takesOrders(to) {
		return s.askEnded(ctx, at)
	}
	if err := s.rt.takeUrgentPermit(ctx, at); err != nil {
		return runGoesOn
	}
	err := s.orderStop(ctx, at, *to, why)
	switch {
	case err == nil, errors.Is(err, ErrNoRoom):
		return runStopped
	case errors.Is(err, ErrNoRun):
		return runNotThere
	case errors.Is(err, ErrNotSent), errors.Is(ctx.Err(), context.DeadlineExceeded):
		s.recordAt(at, fencing.NotReached)
		return runUnreachable
	}
	return runGoesOn
}

// askEnded reports what is known of a run whose server cannot be asked to stop it. The closed connection is the only sign that it gets.
func (s *streamRun) askEnded(ctx context.Context, at backend.Server) stopOutcome {
	if _, err := s.rt.upstream.Report(ctx, at); errors.Is(err, ErrNotSent) {
		s.recordAt(at, fencing.NotReached)
		return runUnreachable
	}
	return runGoesOn
}

// stopBroken ends the run at the server whose stream broke. The closed connection is no sign that it has ended, unless it is the only one that the
// server gets.
func (s *streamRun) stopBroken(ctx context.Context) stopOutcome {
	g := s.currentGrant()
	out := s.stopUntil(ctx, func() stopOutcome { return s.stopRun(ctx, stopTimeout, stopForBreak) })
	if out == runGoesOn && !s.takesOrders(g.copy) {
		s.recordAt(g.server, fencing.GaveUpStream)
	}
	return out
}

// takesOrders reports whether servers of the run's service can be ordered to stop it and to copy its memory to another server.
func (s *streamRun) takesOrders(to *backend.Server) bool {
	e := s.adm.Service.Engine
	return e != nil && e.Moves && to != nil
}

// stopUntil calls stop until the run goes on no more, for stopPatience at most.
func (s *streamRun) stopUntil(ctx context.Context, stop func() stopOutcome) stopOutcome {
	until := time.Now().Add(time.Duration(stopPatience * float64(s.adm.Route.Patience())))
	out := stop()
	for wait := stopPause; out == runGoesOn && time.Now().Before(until) && pause.For(ctx, wait); wait = min(2*wait, maxStopPause) {
		out = stop()
	}
	return out
}

// stopWithoutCopy ends a run without a copy at the server whose stream broke, and has its memory copied to another server. The server may
// go on although the connection broke, since the path to it may have failed.
func (s *streamRun) stopWithoutCopy(ctx context.Context) {
	if e := s.adm.Service.Engine; e == nil || !e.Moves || s.progress() == 0 {
		return
	}
	g := s.currentGrant()
	if _, err := s.reserveMove(g, newMove(g.server.ID)); err != nil {
		return
	}
	s.ended = s.stopBroken(ctx)
	if s.ended != runStopped || s.currentHandle() == "" {
		s.releaseMove() // nothing of the run is there
	}
}

func (s *streamRun) currentHandle() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copyHandle
}

// beginStopSilent begins to stop a run whose server is silent, and returns the channel on which the outcome arrives. It returns nil if the
// run could not continue elsewhere or moves already. No move of the run begins until endContinuation.
func (s *streamRun) beginStopSilent(ctx context.Context) <-chan stopOutcome {
	if s.rt.quarantined(s.adm) > 0 || s.beginContinuation() != nil {
		return nil
	}
	c := s.currentGrant().copy
	if c == nil || !s.rt.mayUse(*c) || !s.payRetry(ctx) {
		s.endContinuation()
		return nil
	}
	outcome := make(chan stopOutcome, 1)
	timeout := max(stopTimeout, time.Duration(silentStopTargets*float64(s.adm.Route.LatencyTarget)))
	go func() { outcome <- s.stopRun(ctx, timeout, stopForSilence) }()
	return outcome
}

// payRetry takes the next retry of the run from the budget, unless that has been done already.
func (s *streamRun) payRetry(ctx context.Context) bool {
	if !s.takePaidRetry() && !s.rt.takeOrBorrowRetry(ctx, s.adm.Service.Name) {
		return false
	}
	s.keepPaidRetry()
	return true
}

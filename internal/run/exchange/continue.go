// This file defines how a stream continues at the server that holds a copy of its memory.

package exchange

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/completion"
	"ebonyferry/internal/core/fencing"
	"ebonyferry/internal/core/placement"
)

const (
	// maxContinueAttempts limits the attempts to continue from a copy, and continuePause is the pause between them: the
	// server that holds the copy may be full for a moment.
	maxContinueAttempts = 4
	continuePause       = 80 * time.Millisecond
	// maxCopiesTried bounds the copies that a run is tried to continue from after one break: each server whose answer is lost adds some.
	maxCopiesTried = 8
)

// errNotContinued means that no server holds a copy of the run, or that the one that holds it did not accept the run.
var errNotContinued = errors.New("stream could not be continued")

// continueBroken continues a broken stream, after the last event that reached the caller and after it has ended at its server.
func (s *streamRun) continueBroken(ctx context.Context, cause error) (Events, error) {
	fields := s.breakFields(cause)
	if !s.awaitMove(ctx) {
		s.countLost(fields)
		return nil, errNotContinued
	}
	defer s.endContinuation()
	if !s.awaitWithdrawal(ctx) {
		s.countLost(fields)
		return nil, errNotContinued
	}
	switch {
	case s.ended != "" || s.stoppedOrClosed():
	case s.currentGrant().copy != nil:
		s.ended = s.stopBroken(ctx)
	default:
		s.stopWithoutCopy(ctx)
	}
	fields["ended"] = s.ended
	c, err := s.continueAnywhere(ctx, fields, maxContinueAttempts)
	if err != nil {
		fields["refusal"] = err.Error()
		s.countLost(fields)
		return nil, errNotContinued
	}
	s.continuation = fields
	return s.adopt(c), nil
}

// continueAnywhere continues the run from the first of its copies whose server accepts it. A server whose answer is lost stops the run first, and what
// it keeps of the run is a copy too. The last copy is tried at most attempts times.
func (s *streamRun) continueAnywhere(ctx context.Context, fields event.Fields, attempts int) (*continuation, error) {
	var tried []runCopy
	var last error
	s.stopHeld(ctx)
	for len(tried) < maxCopiesTried {
		list, err := s.usableCopies()
		list = slices.DeleteFunc(list, func(c runCopy) bool { return slices.Contains(tried, c) })
		if len(list) == 0 {
			if last == nil {
				last = err
			}
			break
		}
		c, n := list[0], 1
		if len(list) == 1 {
			n = attempts
		}
		tried = append(tried, c)
		fields["to"] = c.at.ID
		next, err := s.continueAt(ctx, c, n)
		if err == nil {
			return next, nil
		}
		last = err
		if errors.Is(err, errAnswerLost) {
			s.stopLost(ctx, c.at)
		}
	}
	return nil, last
}

// usableCopies returns the copies whose servers may get the run now. If there is none, it returns why.
func (s *streamRun) usableCopies() ([]runCopy, error) {
	err := errNoCopy
	var usable []runCopy
	for _, c := range s.findCopies() {
		if refusal := s.checkContinuation(c.at); refusal != nil {
			err = refusal
			continue
		}
		usable = append(usable, c)
	}
	return usable, err
}

// breakFields returns the log fields that describe a broken stream.
func (s *streamRun) breakFields(cause error) event.Fields {
	s.mu.Lock()
	defer s.mu.Unlock()
	return event.Fields{
		"request": s.adm.ID, "server": s.grant.server.ID, "lastEvent": s.lastID, "cause": cause.Error(),
		"moved": s.orders.Stop() != completion.NotStopped || s.move != nil,
	}
}

func (s *streamRun) countLost(fields event.Fields) {
	s.rt.count.lost.Add(1)
	event.Log(s.rt.log, event.StreamLost, fields)
}

// Errors that keep a run from continuing at the server that holds its copy.
var (
	errLeaving  = errors.New("the server that holds the copy is leaving")
	errNoBudget = errors.New("the retry budget is used up")
	errNoCopy   = errors.New("no server holds a copy")
)

// continuation is a run that a server has accepted after another one.
type continuation struct {
	at     grant
	events Events
	sentAt time.Time
}

// errAnswerLost means that the server to which a run was sent may work on it.
var errAnswerLost = fmt.Errorf("%w: the run may be at work", ErrUnknown)

// continueAt reserves capacity for the run at the server that holds its copy and sends the request there, at most
// attempts times. After errAnswerLost the server holds the run until it has stopped it.
func (s *streamRun) continueAt(ctx context.Context, c runCopy, attempts int) (*continuation, error) {
	next := &continuation{at: s.rt.reserveAt(c.at, s.currentGrant().server, slotRequest{adm: s.adm, need: s.need(), copy: s.worthCopy()})}
	err := s.openCopy(ctx, c.from, next, attempts)
	if err == nil {
		return next, nil
	}
	if errors.Is(err, ErrUnknown) && !errors.Is(err, ErrMalformed) && s.hasJustBegun() {
		go s.rt.confirmCrash(ctx, s.adm, c.at)
	}
	s.rt.release(next.at)
	return nil, err
}

// adopt makes a continuation the present run.
func (s *streamRun) adopt(c *continuation) Events {
	s.mu.Lock()
	old := s.grant
	s.otherOrders[old.server.ID] = s.orders
	s.orders = new(completion.Orders)
	if before := s.otherOrders[c.at.server.ID]; before != nil {
		s.orders = before.Next()
	}
	s.grant, s.copyHandle, s.sourceHandle, s.retryPaid, s.lostCopies = c.at, "", "", false, nil
	s.mu.Unlock()
	s.sentAt, s.ended = c.sentAt, ""
	if old.server.ID == c.at.server.ID {
		s.silences = maxSilences // it has been refused elsewhere
	}
	s.rt.release(old)
	s.watchQueues()
	return c.events
}

// openCopy sends the request to the server of c until the server accepts it or fails with an error other than ErrNotRun.
func (s *streamRun) openCopy(ctx context.Context, ref CopyRef, c *continuation, attempts int) (err error) {
	for attempt := range attempts {
		wait := continuePause
		if attempt == 0 {
			wait = 0
		}
		if !pause.For(ctx, wait) {
			return ctx.Err()
		}
		if err = s.checkContinuation(c.at.server); err != nil {
			return err
		}
		if !s.payRetry(ctx) {
			return errNoBudget
		}
		if err = s.rt.awaitColdShare(ctx, s.adm.Service, c.at.server); err != nil {
			return err
		}
		if err = s.rt.takeUrgentPermit(ctx, c.at.server); err != nil {
			continue // the retry is still paid for
		}
		if err = s.checkContinuation(c.at.server); err != nil {
			return err // the server's state changed during the waits above
		}
		if err = s.fenceSend(c.at.server); err != nil {
			return err
		}
		s.takePaidRetry()
		if err = s.sendCopy(ctx, ref, c); err == nil || !errors.Is(err, ErrNotRun) {
			return err
		}
	}
	return err
}

// sendCopy sends the request to the server of c once, and records what is known of the run there.
func (s *streamRun) sendCopy(ctx context.Context, ref CopyRef, c *continuation) error {
	c.sentAt = time.Now()
	events, ans, err := s.rt.upstream.Open(ctx, c.at.server, s.adm, OpenOptions{CopyTo: c.at.copy, From: ref, AfterID: s.lastEventID()})
	switch {
	case ans != nil: // the server does not work on the run, which has failed there
		s.recordAt(c.at.server, fencing.Refused)
		return ErrUnknown
	case err == nil:
		c.events = events
		s.recordAt(c.at.server, fencing.Accepted)
	case errors.Is(err, ErrNotRun), errors.Is(err, ErrNotSent):
		s.recordAt(c.at.server, fencing.Refused)
	default:
		s.logAnswerLost(c.at.server, err)
		return fmt.Errorf("%w: %w", errAnswerLost, err)
	}
	return err
}

// checkContinuation returns why the run may not continue at a server now, or nil.
func (s *streamRun) checkContinuation(at backend.Server) error {
	switch {
	case !s.rt.mayUse(at) && !s.mayReturnTo(at):
		return errLeaving
	case s.rt.wantsNothing(at):
		return errBackoff
	case s.hasJustBegun() && s.rt.quarantined(s.adm) > 0:
		return errQuarantined
	}
	return nil
}

// takePaidRetry reports whether a move has already taken the next retry from the budget, and consumes it.
func (s *streamRun) takePaidRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	paid := s.retryPaid
	s.retryPaid = false
	return paid
}

// keepPaidRetry keeps a retry that was taken from the budget for the next attempt.
func (s *streamRun) keepPaidRetry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryPaid = true
}

// beginContinuation keeps the run from moving until endContinuation, so that it has one server at a time and one owner of
// its copy. It returns the move that is in progress instead, if there is one.
func (s *streamRun) beginContinuation() *move {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.continuing = s.move == nil
	return s.move
}

func (s *streamRun) endContinuation() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.continuing = false
}

// awaitMove waits until the run does not move and begins a continuation. It reports false, and begins none, if ctx ends first.
func (s *streamRun) awaitMove(ctx context.Context) bool {
	for {
		m := s.beginContinuation()
		if m == nil {
			return true
		}
		select {
		case <-m.done:
		case <-ctx.Done():
			return false
		}
	}
}

// stoppedOrClosed reports whether the server of the run works on it no more: it has stopped the run, or it closed the stream in order and may have
// stopped it.
func (s *streamRun) stoppedOrClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stop := s.orders.Stop()
	return stop == completion.Stopped || stop == completion.MaybeStopped && s.end == completion.Closed
}

// mayReturnTo reports whether a stopped run may continue at its own server, which keeps the memory, although that leaves.
func (s *streamRun) mayReturnTo(at backend.Server) bool {
	return at.ID == s.currentGrant().server.ID && s.rt.takesBack(at)
}

// runCopy is a copy of a run's memory and the server that the run can continue at.
type runCopy struct {
	from CopyRef
	at   backend.Server
}

// findCopies returns the copies that the run can continue from, the best one first. The last one may be the memory that the server
// of a stopped run keeps.
func (s *streamRun) findCopies() []runCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.Clone(s.lostCopies)
	switch c := s.grant.copy; {
	case c == nil:
	case s.copyHandle != "":
		list = append(list, runCopy{CopyRef{Server: s.grant.server, Handle: s.copyHandle}, *c})
	default:
		list = append(list, runCopy{CopyRef{Server: *c, Handle: s.adm.ID}, *c})
	}
	if s.sourceHandle != "" {
		list = append(list, runCopy{CopyRef{Server: s.grant.server, Handle: s.sourceHandle}, s.grant.server})
	}
	return list
}

// reserveAt reserves capacity for a run at the server that holds its copy, and for its next copy at a server other than
// the one that it comes from.
func (rt *Runtime) reserveAt(to, from backend.Server, req slotRequest) grant {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	g := grant{server: to, need: req.need}
	rt.loads.addRun(to.ID, 1, req.need.Tokens)
	if req.copy {
		servers, list := rt.candidates(req.adm.Service, nil, map[string]bool{from.ID: true}, time.Now())
		g.copy = rt.reserveCopy(servers, list, g, placement.ChooseCopy)
	}
	rt.signalLoads()
	return g
}

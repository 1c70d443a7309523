// This file defines how a run that waits in its server's queue continues at the server of its copy. The stream of the first server is read until the
// other one has answered: whichever brings the run on first keeps it, and the other one is stopped.

package exchange

import (
	"context"
	"errors"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/fencing"
)

// queueCheckPeriod is how often a server is ordered to stop a run that it may have in its queue. Two servers may work on a run for 400 ms.
const queueCheckPeriod = 250 * time.Millisecond

// pendingContinuation is a continuation whose server has not answered yet, while the stream of the server before is still read.
type pendingContinuation struct {
	cancel context.CancelFunc
	fields event.Fields            // log fields; not to be used before the result arrives
	result chan continuationResult // buffered
}

type continuationResult struct {
	*continuation // nil after an error
	err           error
}

// done returns the channel on which the result arrives. p may be nil.
func (p *pendingContinuation) done() <-chan continuationResult {
	if p == nil {
		return nil
	}
	return p.result
}

// continueWaiting begins to continue a run that a silent server does not run at the server that holds its copy. It returns nil if there is none, and the
// stream stays: the run waits at its server, for its first turn or after a preemption.
func (s *streamRun) continueWaiting(ctx context.Context) *pendingContinuation {
	if s.forwarded == 0 || len(s.findCopies()) == 0 || s.isWithdrawing() {
		return nil
	}
	p := &pendingContinuation{fields: s.breakFields(errSilent), result: make(chan continuationResult, 1)}
	p.fields["ended"] = runNotThere
	ctx, p.cancel = context.WithCancel(ctx)
	go func() {
		c, err := s.continueAnywhere(ctx, p.fields, 1)
		p.result <- continuationResult{c, err}
	}()
	return p
}

// finish makes the continuation the present run if its server has accepted it.
func (s *streamRun) finish(p *pendingContinuation, res continuationResult) (Events, error) {
	if res.err != nil {
		p.cancel()
		return nil, res.err
	}
	s.continuation = p.fields
	return s.adopt(res.continuation), nil
}

// afterEnd returns what becomes of a stream that has ended while a continuation is pending. end is the result of judgeEnd.
func (s *streamRun) afterEnd(ctx context.Context, p *pendingContinuation, end error) (Events, error) {
	if p == nil {
		return nil, end
	}
	defer s.endContinuation()
	if end == nil {
		s.withdraw(ctx, p)
		return nil, nil
	}
	select {
	case res := <-p.result:
		if next, err := s.finish(p, res); err == nil {
			return next, nil
		}
	case <-ctx.Done():
		s.withdraw(ctx, p)
	}
	return nil, end
}

// withdraw ends a continuation that is not needed: the server before has gone on with the run. The other server is ordered to stop it in the
// background.
func (s *streamRun) withdraw(ctx context.Context, p *pendingContinuation) {
	p.cancel()
	ended := make(chan struct{})
	s.withdrawn = ended
	go func() {
		defer close(ended)
		if res := <-p.result; res.err == nil {
			res.events.Close()
			s.rt.release(res.at)
			s.stopLost(ctx, res.at.server)
		}
	}()
}

// isWithdrawing reports whether a continuation is being withdrawn.
func (s *streamRun) isWithdrawing() bool {
	if s.withdrawn == nil {
		return false
	}
	select {
	case <-s.withdrawn:
		return false
	default:
		return true
	}
}

// awaitWithdrawal waits until no continuation is being withdrawn. It reports false if ctx ends first.
func (s *streamRun) awaitWithdrawal(ctx context.Context) bool {
	if s.withdrawn == nil {
		return true
	}
	select {
	case <-s.withdrawn:
		return true
	case <-ctx.Done():
		return false
	}
}

// watchQueues begins to watch the servers that may have the run in their queues, but for the one whose stream is read.
func (s *streamRun) watchQueues() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.fence.Queued() {
		if id != s.grant.server.ID && !s.watched[id] {
			s.watched[id] = true
			go s.watchQueue(s.sentTo[id])
		}
	}
}

// watchQueue orders a server to stop the run again and again, until the server has done so, has ended or gets the run again, or the run ends.
func (s *streamRun) watchQueue(srv backend.Server) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watched, srv.ID)
	}()
	for pause.For(s.life, queueCheckPeriod) && s.orderQueued(s.life, srv) {
	}
}

// orderQueued orders a server to stop the run if it may have it in its queue, and reports whether it may still have it. The run is not sent there
// meanwhile.
func (s *streamRun) orderQueued(ctx context.Context, srv backend.Server) bool {
	s.queueOrder <- struct{}{}
	defer func() { <-s.queueOrder }()
	to := s.stopTarget(srv)
	if s.stateAt(srv) != fencing.Queued || to == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if s.rt.takeUrgentPermit(ctx, srv) != nil {
		return true
	}
	err := s.orderStop(ctx, srv, *to, stopForQueue)
	return !errors.Is(err, ErrNotSent) && s.stateAt(srv) == fencing.Queued
}

func (s *streamRun) stateAt(srv backend.Server) fencing.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence.State(srv.ID)
}

// This file defines what a node does to find out whether a stream that ended is whole. Package completion decides.

package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/completion"
	"ebonyferry/internal/core/fencing"
)

const (
	// askEndTimeout limits one question to the server of a stream that its close ended, askEndAttempts is how often a server is asked that
	// does not answer, and askEndPause is the pause between. A process that ends may accept a connection in its last milliseconds.
	askEndTimeout  = 250 * time.Millisecond
	askEndAttempts = 3
	askEndPause    = 100 * time.Millisecond
	// settleTime is how long after the close of a stream its server must still run. A process that is stopped may close its streams before its
	// listener.
	settleTime = 400 * time.Millisecond
)

// endOf returns how a stream ended whose Next returned err.
func endOf(err error) completion.End {
	switch {
	case errors.Is(err, io.EOF):
		return completion.Marked
	case errors.Is(err, ErrClosed):
		return completion.Closed
	}
	return completion.Broken
}

// judgeEnd returns nil if the stream is whole that ended with err. Otherwise it returns an error after all orders to stop the run are
// answered, and the run may continue elsewhere. stopping is the outcome of a stop in progress, or nil.
func (s *streamRun) judgeEnd(ctx context.Context, err error, stopping <-chan stopOutcome) error {
	s.end = endOf(err)
	began := time.Now()
	server := completion.NotAsked
	for {
		switch action, stop := s.decideEnd(server); action {
		case completion.Complete:
			s.logEndJudged(stop, server, true, began)
			return nil
		case completion.Continue:
			if stopping != nil {
				if out := <-stopping; out != runGoesOn && out != runNotThere {
					s.ended = out
				}
			}
			if s.end == completion.Closed {
				s.recordAt(s.currentGrant().server, fencing.ClosedStream)
			}
			s.logEndJudged(stop, server, false, began)
			return err
		case completion.AwaitOrder:
			select {
			case <-s.orderAnswered:
			case <-ctx.Done():
				return err
			}
		case completion.AskServer:
			server = s.rt.askEnd(ctx, s.currentGrant().server, s.sentAt, settleTime)
		}
	}
}

func (s *streamRun) decideEnd(server completion.Server) (completion.Action, completion.Stop) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders.Decide(s.end, server), s.orders.Stop()
}

// errPart means that an answer may be a part: its server closed the connection, which is all that ends it, and runs no more.
var errPart = fmt.Errorf("%w: the server ended with its answer, whose length is not known", ErrUnknown)

// isWhole reports whether an answer that is not a stream, to a request sent at sentAt, is whole.
func (rt *Runtime) isWhole(ctx context.Context, adm *Admitted, srv backend.Server, ans Answer, sentAt time.Time) bool {
	if !ans.Closed {
		return true
	}
	began := time.Now()
	server := rt.askEnd(ctx, srv, sentAt, 0)
	whole := completion.Decide(completion.Closed, completion.NotStopped, server) == completion.Complete
	rt.logEndJudged(adm.ID, srv, endJudgement{end: completion.Closed, server: server, whole: whole, began: began})
	return whole
}

// look is what one look at a server showed.
type look int

const (
	lookAnswers look = iota // its process answers
	lookSilent              // it accepts connections and does not answer in time, as a paused process does
	lookCloses              // it accepts connections and closes them
	lookDark                // it cannot be connected to
	lookEnded               // it refuses connections, or another process answers
)

// askEnd finds out whether the process of a server that received a request at sentAt still runs, at once and again after settle, if that is not 0.
func (rt *Runtime) askEnd(ctx context.Context, srv backend.Server, sentAt time.Time, settle time.Duration) completion.Server {
	waits := []time.Duration{0, settle}
	if settle == 0 {
		waits = waits[:1]
	}
	for _, wait := range waits {
		if !pause.For(ctx, wait) {
			return completion.Gone
		}
		switch l := rt.lookAt(ctx, srv, sentAt); {
		case l == lookEnded || l == lookDark, l == lookCloses && rt.expectsReport(srv), ctx.Err() != nil:
			return completion.Gone
		case l == lookAnswers:
			rt.mu.Lock()
			rt.reported[startOf(srv)] = true
			rt.mu.Unlock()
		}
	}
	return completion.Runs
}

// lookAt asks a server for a report. The start of a server in the pool may be that of an earlier process until its next heartbeat, so one that
// started before sentAt is the same.
func (rt *Runtime) lookAt(ctx context.Context, srv backend.Server, sentAt time.Time) look {
	last := lookDark
	for attempt := range askEndAttempts {
		if attempt > 0 && !pause.For(ctx, askEndPause) {
			return lookDark
		}
		askCtx, cancel := context.WithTimeout(ctx, askEndTimeout)
		report, err := rt.upstream.Report(askCtx, srv)
		cancel()
		switch {
		case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, ErrReplaced) && !report.StartedAt.Before(sentAt):
			return lookEnded
		case err == nil, errors.Is(err, ErrMalformed):
			return lookAnswers
		case errors.Is(err, ErrNotSent):
			last = lookDark
		case errors.Is(err, context.DeadlineExceeded):
			return lookSilent
		default:
			last = lookCloses
		}
	}
	return last
}

// expectsReport reports whether a server that closes connections unanswered has probably ended: it leaves, or it has answered before. Something in
// front of it may go on accepting connections.
func (rt *Runtime) expectsReport(srv backend.Server) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.reported[startOf(srv)] || rt.leaving(srv, time.Now())
}

// maxEndLines is how many ends of streams are logged in a second that were not marked, or whose runs were ordered to stop.
const maxEndLines = 50

// endJudgement is how the end of an answer was judged, and from what.
type endJudgement struct {
	end       completion.End
	stop      completion.Stop
	server    completion.Server
	whole     bool
	lastEvent string
	began     time.Time
}

func (s *streamRun) logEndJudged(stop completion.Stop, server completion.Server, whole bool, began time.Time) {
	s.rt.logEndJudged(s.adm.ID, s.currentGrant().server, endJudgement{s.end, stop, server, whole, s.lastID, began})
}

// logEndJudged logs a judgement, unless there was nothing to weigh.
func (rt *Runtime) logEndJudged(id string, srv backend.Server, j endJudgement) {
	if j.stop == completion.NotStopped && j.end != completion.Closed {
		return
	}
	rt.mu.Lock()
	own, _ := rt.endLog.take(time.Now(), maxEndLines)
	rt.mu.Unlock()
	if own {
		event.Log(rt.log, event.StreamEndJudged, event.Fields{
			"request": id, "server": srv.ID, "end": j.end.String(), "stop": j.stop.String(), "asked": j.server.String(),
			"whole": j.whole, "lastEvent": j.lastEvent, "tookMs": time.Since(j.began).Milliseconds(),
		})
	}
}

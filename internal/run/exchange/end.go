// This file defines what a node does to find out whether a stream that ended is whole. Package completion decides.

package exchange

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/completion"
)

const (
	// askEndTimeout limits one question to the server of a stream that its close ended, askEndAttempts is how often a server that does not
	// answer is asked, and askEndPause is the pause between. A process that ends may accept a connection in its last milliseconds.
	askEndTimeout  = 400 * time.Millisecond
	askEndAttempts = 3
	askEndPause    = 100 * time.Millisecond
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
			s.logEndJudged(stop, server, false, began)
			return err
		case completion.AwaitOrder:
			select {
			case <-s.orderAnswered:
			case <-ctx.Done():
				return err
			}
		case completion.AskServer:
			server = s.askEnd(ctx)
		}
	}
}

func (s *streamRun) decideEnd(server completion.Server) (completion.Action, completion.Stop) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders.Decide(s.end, server), s.orders.Stop()
}

// askEnd finds out whether the server of a stream that its close ended still runs. One whose listener goes on accepting connections does, though
// it may be paused.
func (s *streamRun) askEnd(ctx context.Context) completion.Server {
	srv := s.currentGrant().server
	state := completion.Gone
	for attempt := range askEndAttempts {
		if attempt > 0 && !pause.For(ctx, askEndPause) {
			return completion.Gone
		}
		askCtx, cancel := context.WithTimeout(ctx, askEndTimeout)
		_, err := s.rt.upstream.Report(askCtx, srv)
		cancel()
		switch {
		case errors.Is(err, ErrReplaced), errors.Is(err, syscall.ECONNREFUSED):
			return completion.Gone
		case err == nil, errors.Is(err, ErrMalformed):
			return completion.Runs
		case errors.Is(err, ErrNotSent):
			state = completion.Gone
		default:
			state = completion.Runs
		}
	}
	return state
}

// maxEndLines is how many ends of streams are logged in a second that were not marked, or whose runs were ordered to stop.
const maxEndLines = 50

func (s *streamRun) logEndJudged(stop completion.Stop, server completion.Server, whole bool, began time.Time) {
	if stop == completion.NotStopped && s.end != completion.Closed {
		return
	}
	s.rt.mu.Lock()
	own, _ := s.rt.endLog.take(time.Now(), maxEndLines)
	s.rt.mu.Unlock()
	if own {
		event.Log(s.rt.log, event.StreamEndJudged, event.Fields{
			"request": s.adm.ID, "server": s.currentGrant().server.ID, "end": s.end.String(), "stop": stop.String(), "asked": server.String(),
			"whole": whole, "lastEvent": s.lastID, "tookMs": time.Since(began).Milliseconds(),
		})
	}
}

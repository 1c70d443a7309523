// This file defines what a node does so that a run goes on at a server only once no other one can work on it. Package fencing decides.

package exchange

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/fencing"
)

// errHeld means that a server may work on the run, so that it cannot go on elsewhere.
var errHeld = errors.New("a server may still work on the run")

// fenceSend records that the request is about to be sent to a server. It returns an error that wraps errHeld if it may not be.
func (s *streamRun) fenceSend(to backend.Server) error {
	s.queueOrder <- struct{}{} // an order that is on its way would stop the run that begins
	defer func() { <-s.queueOrder }()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fence.Send(to.ID) {
		return fmt.Errorf("%w: %s", errHeld, strings.Join(s.fence.Held(), ", "))
	}
	s.sentTo[to.ID] = to
	return nil
}

// recordAt records what is known of the run at a server.
func (s *streamRun) recordAt(srv backend.Server, e fencing.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence.Record(srv.ID, e)
}

// stopLost stops the run at a server whose answer to a continuation is lost: it may not learn that the connection has closed. It returns when that has
// ended or ctx ends; the server is ordered on in the background then.
func (s *streamRun) stopLost(ctx context.Context, at backend.Server) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ctx := context.WithoutCancel(ctx)
		began := time.Now()
		out := s.stopUntil(ctx, func() stopOutcome { return s.stopAt(ctx, stopTimeout, at, s.stopTarget(at), stopForLoss) })
		event.Log(s.rt.log, event.LostRunEnded, event.Fields{
			"request": s.adm.ID, "server": at.ID, "ended": out, "tookMs": time.Since(began).Milliseconds(),
		})
		s.watchQueues()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// stopHeld stops the run at the servers that hold it and that earlier orders did not stop, but for its present one.
func (s *streamRun) stopHeld(ctx context.Context) {
	s.mu.Lock()
	var held []backend.Server
	for _, id := range s.fence.Held() {
		if id != s.grant.server.ID {
			held = append(held, s.sentTo[id])
		}
	}
	s.mu.Unlock()
	for _, srv := range held {
		s.stopLost(ctx, srv)
	}
}

// stopTarget returns the server to which another one is ordered to copy the memory of the run, or nil.
func (s *streamRun) stopTarget(from backend.Server) *backend.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.grant.copy; c != nil && c.ID != from.ID {
		return c
	}
	if s.grant.server.ID != from.ID {
		return &s.grant.server
	}
	for id, srv := range s.sentTo {
		if id != from.ID {
			return &srv
		}
	}
	return nil
}

// keepLostCopy keeps the memory of the run that a server has stopped whose answer is lost. The caller holds mu.
func (s *streamRun) keepLostCopy(at, to backend.Server, handle string, copied bool) {
	ref := CopyRef{Server: at, Handle: handle}
	s.lostCopies = []runCopy{{ref, at}}
	if copied {
		s.lostCopies = append(s.lostCopies, runCopy{ref, to})
	}
}

// logAnswerLost logs that the answer to a continuation is lost.
func (s *streamRun) logAnswerLost(at backend.Server, err error) {
	event.Log(s.rt.log, event.ContinuationLost, event.Fields{"request": s.adm.ID, "server": at.ID, "cause": err.Error()})
}

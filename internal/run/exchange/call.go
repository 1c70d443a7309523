package exchange

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/route"
)

// This file defines calls of plain services: a request with one whole answer.

const (
	// callWait is the part of a route's target that a call waits for a place: what is left must do for its work.
	callWait = 0.5
	// maxSends bounds the servers that are asked when they say that they did not run it.
	maxSends = 4
	// busyRetryAfter is when a caller may come back to a service whose servers are full: some calls last as long.
	busyRetryAfter = 150 * time.Millisecond
)

// call is one call in hand.
type call struct {
	rt   *Runtime
	adm  *Admitted
	want want
	sent int // requests that reached a server
	ran  int // servers that may have run it
	last Answer
	got  bool // last holds an answer of a server
	from backend.Server

	placed time.Time // when the call last got a place
	cause  string    // why the last server did not answer it
}

func (rt *Runtime) serveCall(ctx context.Context, adm *Admitted, w Responder) Result {
	c := &call{rt: rt, adm: adm, want: want{adm: adm, except: make(map[string]bool)}}
	reason := c.run(ctx)
	if c.got {
		if err := w.Answer(c.last); err != nil {
			return Result{Reason: ReasonCallerLeft, Server: c.from.ID}
		}
		return Result{Server: c.from.ID, Status: c.last.Status, Waited: c.placed.Sub(adm.Arrived), First: time.Since(adm.Arrived)}
	}
	res := refuse(w, Refusal{Reason: reason, RetryAfter: busyRetryAfter})
	res.Server = c.from.ID
	return res
}

// Sends the call to one server after another until there is an answer to pass on, and returns why there is none.
func (c *call) run(ctx context.Context) Reason {
	until := c.adm.Arrived.Add(time.Duration(callWait * float64(c.adm.Route.LatencyTarget)))
	for {
		g, err := c.rt.place(ctx, c.want, until)
		if err != nil {
			return c.unplaced(ctx, err)
		}
		c.placed = time.Now()
		done := c.try(ctx, g)
		c.rt.giveBack(g)
		if done || !c.mayGoOn(ctx) {
			return c.unanswered(ctx)
		}
		c.rt.logRepeat(c.adm, c.from, c.cause)
	}
}

// Returns why a call that got no place ends.
func (c *call) unplaced(ctx context.Context, err error) Reason {
	switch {
	case c.ran > 0 || ctx.Err() != nil:
		return c.unanswered(ctx)
	case errors.Is(err, errNoServer):
		return ReasonNoServer
	case c.sent > 0:
		return ReasonNotRun
	}
	return ReasonOverloaded
}

// Returns why a call without an answer ends.
func (c *call) unanswered(ctx context.Context) Reason {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case ctx.Err() != nil && !timedOut:
		return ReasonCallerLeft
	case c.ran == 0 && timedOut:
		return ReasonOverloaded
	case c.ran == 0:
		return ReasonNotRun
	case timedOut:
		return ReasonTimeout
	}
	return ReasonLost
}

// Sends the call to one server and reports whether the call has its answer.
func (c *call) try(ctx context.Context, g grant) bool {
	if ctx.Err() != nil || !c.rt.mayUse(g.server) {
		return false
	}
	start := time.Now()
	ans, err := c.rt.upstream.Call(ctx, g.server, c.adm)
	took := time.Since(start)
	c.from = g.server
	c.cause = causeOf(ans, err)
	if ctx.Err() != nil && !errors.Is(err, ErrNotSent) && err != nil {
		c.sent++
		c.ran++
		c.rt.observeSilence(g.server, took, ctx)
		return false
	}
	switch {
	case err == nil:
		c.sent++
		c.ran++
		failed := ans.Status >= http.StatusInternalServerError
		c.rt.observe(g.server, took, failed)
		c.last, c.got = ans, true
		return !failed
	case errors.Is(err, ErrNotSent):
		c.rt.unreachable(g.server, err)
	case errors.Is(err, ErrNotRun):
		c.sent++
		c.rt.markFull(g.server)
	default:
		c.sent++
		c.ran++
		c.rt.unreachable(g.server, err)
	}
	c.want.except[g.server.ID] = true
	return false
}

// Reports whether the call may be sent once more.
func (c *call) mayGoOn(ctx context.Context) bool {
	if ctx.Err() != nil || c.sent >= maxSends {
		return false
	}
	if c.ran > 0 && (c.adm.Route.Kind != route.Repeatable || c.ran >= c.adm.Route.MaxAttempts) {
		return false
	}
	if c.sent == 0 {
		return len(c.want.except) < maxSends
	}
	c.want.except[c.from.ID] = true
	return c.rt.mayRepeat(c.adm.Service.Name)
}

func (rt *Runtime) observe(srv backend.Server, took time.Duration, failed bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.tracker.Answered(srv.ID, took, failed, time.Now())
	rt.tallied(srv, took, failed)
}

// Records the first event of a stream for the rollout of its service.
func (rt *Runtime) tallyFirst(srv backend.Server, took time.Duration) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.tallied(srv, took, false)
}

// Records that a server did not answer until the deadline. Nothing is held against it when the caller left.
func (rt *Runtime) observeSilence(srv backend.Server, took time.Duration, ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		rt.observe(srv, took, true)
	}
}

// Records that a connection to a server failed.
func (rt *Runtime) unreachable(srv backend.Server, err error) {
	event.Log(rt.log, event.ServerUnreachable, event.Fields{"server": srv.ID, "addr": srv.Addr.String(), "cause": err.Error()})
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.tracker.Unreachable(srv.ID, time.Now())
	rt.book.lost(srv.ID, 1)
	rt.placed()
	time.AfterFunc(lossLife, func() {
		rt.mu.Lock()
		defer rt.mu.Unlock()
		rt.book.lost(srv.ID, -1)
	})
}

// lossLife is how long a lost request counts against its server at all nodes, which do not know more of it: about as long
// as the node that lost it avoids the server.
const lossLife = 4 * time.Second

// Returns in words why an answer is not passed on.
func causeOf(ans Answer, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("status %d", ans.Status)
}

// Logs that a request goes to another server.
func (rt *Runtime) logRepeat(adm *Admitted, from backend.Server, cause string) {
	event.Log(rt.log, event.RequestRepeated, event.Fields{"request": adm.ID, "server": from.ID, "cause": cause})
}

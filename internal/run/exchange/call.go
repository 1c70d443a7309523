// This file defines calls of plain services: requests with one complete answer.

package exchange

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/assurance"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/route"
)

const (
	// callWaitFraction is the fraction of a route's target that a call may wait for a slot. The rest must suffice for its
	// work.
	callWaitFraction = 0.5
	// maxSends limits the servers that a request is sent to while each states that it did not run it.
	maxSends = 4
	// busyRetryAfter is when a caller may retry at a service whose servers are full: some calls take that long.
	busyRetryAfter = 150 * time.Millisecond
)

// call is one call in flight.
type call struct {
	rt         *Runtime
	adm        *Admitted
	slotReq    slotRequest
	sent       int  // servers that received it
	maybeRan   int  // servers that may have run it
	counted    bool // its usage was recorded
	answer     Answer
	answered   bool // answer and answeredBy are valid
	answeredBy backend.Server
	retryAfter time.Duration // of a refusal
	server     backend.Server

	placedAt  time.Time // when the call was last placed
	lastError string    // why the last server's answer was not forwarded
}

func (rt *Runtime) serveCall(ctx context.Context, adm *Admitted, w Responder) Result {
	until := adm.Arrived.Add(time.Duration(callWaitFraction * float64(adm.Route.LatencyTarget)))
	c := &call{rt: rt, adm: adm, slotReq: slotRequest{adm: adm, exclude: make(map[string]bool), until: until}, retryAfter: busyRetryAfter}
	reason := c.run(ctx)
	if c.sent > 0 && !errors.Is(ctx.Err(), context.Canceled) {
		rt.observeDuration(adm, time.Since(adm.Arrived))
	}
	if c.answered {
		res := rt.forwardAnswer(w, adm, c.answeredBy, c.answer)
		res.Waited, res.First = c.placedAt.Sub(adm.Arrived), time.Since(adm.Arrived)
		return res
	}
	if reason == ReasonCallerLeft { // a refusal would assure a caller who only closed its side that nothing has run
		return Result{Reason: reason, Server: c.server.ID}
	}
	refusal := Refusal{Reason: reason, RetryAfter: c.retryAfter}
	switch reason {
	case ReasonQuarantined:
		refusal = refuseQuarantined(rt.quarantined(adm))
	case ReasonDraining:
		refusal.RetryAfter = drainRetryAfter
	}
	res := refuse(w, refusal)
	res.Server = c.server.ID
	return res
}

// run sends the call to one server after another until one answers. If none does, it returns the reason.
func (c *call) run(ctx context.Context) Reason {
	for {
		g, err := c.rt.waitForSlot(ctx, c.slotReq)
		if err != nil {
			return c.reasonUnplaced(ctx, err)
		}
		c.placedAt = time.Now()
		done := c.attempt(ctx, g)
		c.rt.release(g)
		if done || !c.mayRetry(ctx) {
			return c.reasonUnanswered(ctx)
		}
		c.rt.logRetry(c.adm, c.server, c.lastError)
	}
}

// reasonUnplaced returns why a call that could not be placed ends.
func (c *call) reasonUnplaced(ctx context.Context, err error) Reason {
	var limited *rateLimitedError
	if errors.As(err, &limited) {
		c.retryAfter = limited.retryAfter
	}
	switch {
	case c.maybeRan > 0 || ctx.Err() != nil:
		return c.reasonUnanswered(ctx)
	case errors.Is(err, errDraining):
		return ReasonDraining
	case errors.Is(err, errQuarantined):
		return ReasonQuarantined
	case errors.Is(err, errNoServer):
		return ReasonNoServer
	case c.sent > 0:
		return ReasonNotRun
	case limited != nil:
		return ReasonRateLimited
	}
	return ReasonOverloaded
}

// reasonUnanswered returns why a call without an answer ends.
func (c *call) reasonUnanswered(ctx context.Context) Reason {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case callerLeft(ctx):
		return ReasonCallerLeft
	case c.maybeRan > 0 && isStopped(ctx):
		return ReasonStopped
	case c.maybeRan == 0 && c.rt.stopsBefore(c.adm):
		return ReasonDraining
	case c.maybeRan == 0 && timedOut:
		return ReasonOverloaded
	case c.maybeRan == 0 && c.rt.quarantined(c.adm) > 0:
		return ReasonQuarantined
	case c.maybeRan == 0:
		return ReasonNotRun
	case timedOut:
		return ReasonTimeout
	}
	return ReasonLost
}

// attempt sends the call to one server and reports whether it received a final answer.
func (c *call) attempt(ctx context.Context, g grant) bool {
	if ctx.Err() != nil || c.rt.stopsBefore(c.adm) || c.rt.quarantined(c.adm) > 0 || !c.rt.mayStart(g.server) {
		return false
	}
	start := time.Now()
	answered := c.rt.expectAnswer(c.adm, g.server)
	ans, err := c.rt.upstream.Call(ctx, g.server, c.adm)
	answered(err == nil || errors.Is(ctx.Err(), context.DeadlineExceeded)) // a timeout is recorded below
	took := c.adm.workSince(start)
	if err == nil && !c.rt.isWhole(ctx, c.adm, g.server, ans, start) {
		err = errPart
	}
	c.server = g.server
	c.lastError = errorText(ans, err)
	if ctx.Err() != nil && !errors.Is(err, ErrNotSent) && err != nil {
		c.sent++
		c.maybeRan++
		c.rt.observeTimeout(g.server, c.adm.Route.Name, took, ctx)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			go c.rt.watchSilent(ctx, c.adm, g.server)
		}
		return false
	}
	switch {
	case err == nil:
		c.sent++
		c.maybeRan++
		failed := assurance.Failed(ans.Status)
		c.rt.observe(g.server, c.adm.Route.Name, took, failed)
		c.answer, c.answered, c.answeredBy = ans, true, g.server
		if !c.counted {
			c.counted = true
			c.rt.recordUsage(c.adm, start)
		}
		c.rt.recordPass(c.adm.parts)
		return !failed
	case errors.Is(err, ErrNotSent):
		if ctx.Err() == nil { // else the call's time ended while it connected, which says nothing of the server
			c.rt.markUnreachable(g.server, err)
		}
	case errors.Is(err, ErrNotRun):
		c.sent++
		c.rt.markFull(g.server)
	default:
		c.sent++
		c.maybeRan++
		c.rt.markUnreachable(g.server, err)
		if !errors.Is(err, ErrMalformed) {
			go c.rt.confirmCrash(ctx, c.adm, g.server)
		}
	}
	c.slotReq.exclude[g.server.ID] = true
	return false
}

// mayRetry reports whether the call may be sent again. It takes a retry from the budget if the call has reached a
// server.
func (c *call) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil || c.sent >= maxSends || c.rt.stopsBefore(c.adm) || c.rt.quarantined(c.adm) > 0 {
		return false
	}
	if c.maybeRan > 0 && (c.adm.Route.Kind != route.Repeatable || c.maybeRan >= c.adm.Route.MaxAttempts) {
		return false
	}
	if c.sent == 0 {
		return len(c.slotReq.exclude) < maxSends
	}
	c.slotReq.exclude[c.server.ID] = true
	return c.rt.takeRetry(c.adm.Service.Name)
}

func (rt *Runtime) observe(srv backend.Server, route string, took time.Duration, failed bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.tracker.RecordAnswer(srv.ID, took, failed, time.Now())
	rt.recordAnswer(srv, route, took, failed)
	rt.recordCallSpeed(srv, route, took, failed)
}

// observeFirstEvent records the first event of a stream as evidence for the rollout of its service.
func (rt *Runtime) observeFirstEvent(srv backend.Server, route string, took time.Duration) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.recordAnswer(srv, route, took, false)
}

// observeTimeout records that a server did not answer until the deadline. It records nothing if the caller left.
func (rt *Runtime) observeTimeout(srv backend.Server, route string, took time.Duration, ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		rt.observe(srv, route, took, true)
	}
}

// markUnreachable records that a connection to a server failed, or that the server sent no valid answer on it.
func (rt *Runtime) markUnreachable(srv backend.Server, err error) {
	if errors.Is(err, ErrMalformed) {
		rt.count.malformed.Add(1)
	}
	event.Log(rt.log, event.ServerUnreachable, event.Fields{"server": srv.ID, "addr": srv.Addr.String(), "cause": err.Error()})
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.tracker.RecordUnreachable(srv.ID, time.Now())
	rt.countFailure(srv)
}

// countFailure counts a request that a server lost or failed in the loads that nodes exchange, for failureTTL. The caller holds mu.
func (rt *Runtime) countFailure(srv backend.Server) {
	rt.loads.addFailures(srv.ID, 1)
	rt.signalLoads()
	time.AfterFunc(failureTTL, func() {
		rt.mu.Lock()
		defer rt.mu.Unlock()
		rt.loads.addFailures(srv.ID, -1)
	})
}

// failureTTL is how long a lost request counts against its server at all nodes. The other nodes learn only the number of
// failures, so this is about as long as the node that lost the request avoids the server.
const failureTTL = 4 * time.Second

// errorText describes why an answer is not forwarded.
func errorText(ans Answer, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("status %d", ans.Status)
}

// logRetry logs that a request goes to another server.
func (rt *Runtime) logRetry(adm *Admitted, from backend.Server, cause string) {
	event.Log(rt.log, event.RequestRepeated, event.Fields{"request": adm.ID, "server": from.ID, "cause": cause})
}

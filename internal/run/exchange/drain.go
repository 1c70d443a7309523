// This file defines how a planned stop of the node ends its requests. Package core/drain decides which are still accepted.

package exchange

import (
	"context"
	"errors"
	"time"

	"ebonyferry/internal/core/drain"
	"ebonyferry/internal/core/route"
)

const (
	// drainRetryAfter makes a caller retry at another node almost immediately.
	drainRetryAfter = 50 * time.Millisecond
	// lastAnswerTime is how long before the end of a drain requests that are still unanswered end, so that their callers get an answer
	// in place of a closed connection.
	lastAnswerTime = 200 * time.Millisecond
	// maxObservedRoutes bounds the memory of durations: configs may have thousands of routes, of which few get many calls.
	maxObservedRoutes = 1024
)

var (
	// errDraining means that the node would stop before a request that has not been sent is answered.
	errDraining = errors.New("node stops before the request would end")
	// errStopped is the cause of contexts that end because the node has no more time.
	errStopped = errors.New("node stopped")
)

// Drain makes the node refuse requests that would not end before the given time. Those that are unanswered shortly before it get a final
// answer.
func (rt *Runtime) Drain(end time.Time) {
	w := drain.Window{Start: time.Now(), End: end.Add(-lastAnswerTime)}
	rt.drain.Store(&w)
	time.AfterFunc(time.Until(w.End), func() { rt.stop(errStopped) })
	rt.mu.Lock()
	rt.waiting.refuse(func(w *waiter) error {
		if rt.drainEndsBefore(w.adm) {
			return errDraining
		}
		return nil
	})
	rt.mu.Unlock()
	rt.grantWaiting()
}

// drainEndsBefore reports whether the node may stop before a request is answered that is not sent yet. The caller holds mu.
func (rt *Runtime) drainEndsBefore(adm *Admitted) bool {
	w := rt.drain.Load()
	if w == nil {
		return false
	}
	r := drain.Request{
		Stream: adm.Route.Kind == route.Stream, Arrived: adm.Arrived, Deadline: adm.Deadline,
		Takes: rt.durations[adm.Route.Name].Expect(adm.Route.LatencyTarget),
	}
	return !w.Accepts(r, time.Now())
}

// stopsBefore is drainEndsBefore for callers that do not hold mu.
func (rt *Runtime) stopsBefore(adm *Admitted) bool {
	if rt.drain.Load() == nil {
		return false
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.drainEndsBefore(adm)
}

// observeDuration records how long a call took from its arrival on.
func (rt *Runtime) observeDuration(adm *Admitted, took time.Duration) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	d := rt.durations[adm.Route.Name]
	if d == nil {
		if len(rt.durations) == maxObservedRoutes {
			for other := range rt.durations {
				delete(rt.durations, other)
				break
			}
		}
		d = new(drain.Durations)
		rt.durations[adm.Route.Name] = d
	}
	d.Observe(took)
}

// untilStopped returns a context that ends with ctx, or with the cause errStopped.
func (rt *Runtime) untilStopped(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(rt.stopping, func() { cancel(errStopped) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// isStopped reports whether ctx ended because the node stops.
func isStopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopped) }

// callerLeft reports whether ctx ended because the caller closed its connection.
func callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !isStopped(ctx)
}

// This file defines early refusals where the memory of engines is scarce, and how callers that return are recognized.

package exchange

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ebonyferry/internal/core/route"
	"ebonyferry/internal/core/sharing"
)

const (
	// refusalFill is the used part of the engines' memory below which no request is refused early. Placements stop at 0.92 of
	// each engine.
	refusalFill = 0.85
	// settledAfter is how long requests must have waited without interruption before one is refused early: until then the rate
	// at which memory is granted is that of a time without waiting.
	settledAfter = time.Second
	// maxRetryAfter bounds the time that an early refusal names: demand differs after that.
	maxRetryAfter = 10 * time.Second
	// promiseWindow is how long memory is kept for a caller from the time that it got in its refusal.
	promiseWindow = 500 * time.Millisecond
	// maxPromises bounds the promises that a node keeps for a service.
	maxPromises = 512
	// minElapsed is the time since its first attempt from which a caller counts as returning. Shorter differences are those of
	// callers' clocks.
	minElapsed = 250 * time.Millisecond
	// longestPeriod is how long the longest time that callers allow on a route counts after it was seen, at least.
	longestPeriod = 30 * time.Second
)

// turnError means that the turn of a request comes later than the request may wait.
type turnError struct {
	overShare  bool // its account received more than its share, while others' requests are served
	retryAfter time.Duration
}

func (e *turnError) Error() string {
	return fmt.Sprintf("memory is expected to be free in %v", e.retryAfter.Round(time.Millisecond))
}

func (e *turnError) reason() Reason {
	if e.overShare {
		return ReasonAccountShare
	}
	return ReasonOverloaded
}

// promise is memory kept for a caller that got a time to return.
type promise struct {
	at      time.Time
	urgency int
	account string
	tokens  int
}

// keepPromise keeps memory for a caller that returns after a time. It drops promises that are over.
func (d *serviceDemand) keepPromise(adm *Admitted, tokens int, after time.Duration, now time.Time) {
	d.promises = slices.DeleteFunc(d.promises, func(p promise) bool { return now.After(p.at.Add(promiseWindow)) })
	if len(d.promises) < maxPromises {
		d.promises = append(d.promises, promise{at: now.Add(after), urgency: adm.Priority, account: adm.Account, tokens: tokens})
	}
}

// addPromises adds the memory that is kept now.
func (d *serviceDemand) addPromises(out *sharing.Demand, now time.Time) {
	for _, p := range d.promises {
		if !now.Before(p.at) && now.Before(p.at.Add(promiseWindow)) {
			out.AddWaiting(p.urgency, p.account, 0, p.tokens)
		}
	}
}

// beyondTurn returns an error if the turn of a waiting request clearly comes later than it may wait. It never does while an
// engine has room, while the rate of grants is not known, or for a caller that got a time to return. The caller holds mu.
func (rt *Runtime) beyondTurn(svc *route.Service, d *serviceDemand, w *waiter, now time.Time) *turnError {
	if w.adm.returning || rt.demand.fill(svc, d, now) < refusalFill || !d.settled(now) {
		return nil
	}
	if free := rt.freeMemory(svc, now); len(free) > 0 && slices.Max(free) >= w.need.Tokens {
		return nil
	}
	list, entries := rt.demand.waiters(svc.Name, now)
	at := slices.Index(entries, w)
	if at < 0 {
		return nil
	}
	turn := sharing.Predict(list, at, rt.demand.state(svc, d, now))
	w.predicted = turn.After
	if !turn.ClearlyAfter(w.until.Sub(now)) {
		return nil
	}
	// Callers that were refused together do not return together.
	after := min(time.Duration((1+0.3*rand.Float64())*float64(turn.After)), maxRetryAfter)
	d.keepPromise(w.adm, w.need.Tokens, after, now)
	if w.adm.Priority == 0 {
		rt.demand.count.RefusedUrgent += int64(w.need.Tokens)
	} else {
		rt.demand.count.RefusedOther += int64(w.need.Tokens)
	}
	if turn.OverShare {
		rt.demand.count.RefusedForShare++
	}
	return &turnError{overShare: turn.OverShare, retryAfter: after}
}

// observeWaiting records whether requests of the service wait.
func (d *serviceDemand) observeWaiting(waits bool, now time.Time) {
	switch {
	case !waits:
		d.waitingSince = time.Time{}
	case d.waitingSince.IsZero():
		d.waitingSince = now
	}
}

func (d *serviceDemand) settled(now time.Time) bool {
	return !d.waitingSince.IsZero() && now.Sub(d.waitingSince) >= settledAfter
}

// longestTimeout is the longest time that callers of a route allowed recently.
type longestTimeout struct {
	current, previous time.Duration
	since             time.Time // of current
}

func (l *longestTimeout) observe(d time.Duration, now time.Time) time.Duration {
	if now.Sub(l.since) >= longestPeriod {
		l.previous, l.current, l.since = l.current, 0, now
	}
	l.current = max(l.current, d)
	return max(l.current, l.previous)
}

// recognize finds out whether the caller of a request returns after a refusal: the time that it has left is shorter than
// the longest seen on the route by the time since its first attempt. The caller holds mu.
func (t *demandTable) recognize(adm *Admitted, now time.Time) {
	if adm.CallerTimeout <= 0 || t.of(adm.Service) == nil {
		return
	}
	left := min(adm.CallerTimeout, adm.Route.Timeout)
	l := t.longest[adm.Route.Name]
	if l == nil {
		l = &longestTimeout{since: now}
		t.longest[adm.Route.Name] = l
	}
	if elapsed := l.observe(left, now) - left; elapsed >= minElapsed {
		adm.returning, adm.sinceFirst = true, elapsed
	}
}

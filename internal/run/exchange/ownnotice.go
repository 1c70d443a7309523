// This file defines what the node does when a server says in an answer that it leaves, or that it wants nothing for a time.

package exchange

import (
	"errors"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/backend"
)

// Notice is what a server says of itself in an answer to a request.
type Notice struct {
	Leaving bool
	Backoff time.Duration // how long the server wants no requests from this node; 0 if it says nothing
}

// maxBackoff bounds how long a server is left alone at its own request.
const maxBackoff = 10 * time.Minute

// errBackoff means that the server wants no requests for now.
var errBackoff = errors.New("the server wants no requests for now")

// OnNotice sets the function that RecordNotice calls.
func (a *Admitted) OnNotice(fn func(srv backend.Server, n Notice)) { a.recordNotice = fn }

// RecordNotice records what a server said of itself in an answer to the request.
func (a *Admitted) RecordNotice(srv backend.Server, n Notice) {
	if a.recordNotice != nil {
		a.recordNotice(srv, n)
	}
}

func (rt *Runtime) recordNotice(srv backend.Server, n Notice) {
	if n.Leaving {
		rt.recordLeaving(srv)
	}
	if n.Backoff <= 0 {
		return
	}
	rt.mu.Lock()
	rt.loads.leaveAlone(srv.ID, time.Now().Add(min(n.Backoff, maxBackoff)))
	rt.mu.Unlock()
	event.Log(rt.log, event.ServerBackoff, event.Fields{"server": srv.ID, "forMs": n.Backoff.Milliseconds()})
	rt.grantWaiting() // requests that would wait in vain are refused
}

// recordLeaving records that a server says that it leaves. It gets no new work, whatever the store lists, and its runs move.
func (rt *Runtime) recordLeaving(srv backend.Server) {
	rt.mu.Lock()
	known := rt.pool.Leaving(srv, time.Now())
	rt.mu.Unlock()
	if known {
		return
	}
	event.Log(rt.log, event.ServerLeaving, event.Fields{"server": srv.ID})
	rt.UpdatePool(func(p *backend.Pool) { p.Leave(srv) })
}

// wantsNothing reports whether a server wants no requests for now.
func (rt *Runtime) wantsNothing(srv backend.Server) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return time.Now().Before(rt.loads.backoffUntil[srv.ID])
}

// leaveAlone records that a server wants no requests until a time. A later answer does not shorten it.
func (t *loadTable) leaveAlone(server string, until time.Time) {
	if until.After(t.backoffUntil[server]) {
		t.backoffUntil[server] = until
	}
}

// backoffBeyond returns an error if all servers that could serve a request want none until after req.until, with the time when the first
// does. The caller holds mu.
func (rt *Runtime) backoffBeyond(req slotRequest, now time.Time) *rateLimitedError {
	if len(rt.loads.backoffUntil) == 0 {
		return nil
	}
	var first time.Time
	for _, srv := range rt.filterVersion(rt.pool.Usable(req.adm.Service.Name, now), req.adm, now) {
		until := rt.loads.backoffUntil[srv.ID]
		if !until.After(req.until) {
			return nil
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if first.IsZero() {
		return nil
	}
	return &rateLimitedError{retryAfter: first.Sub(now)}
}

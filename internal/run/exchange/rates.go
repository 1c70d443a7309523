// This file defines what a node knows of the rates that servers name, and how it gets permits for requests to them. Package
// core/permit divides the rates.
//
// A request to a server that limits its rate takes a permit of this node. Without one, the server has no capacity for the
// request: it goes to another server, or waits while the node asks the server's issuer for permits. A node sends one such
// message at a time for each server, and none before the time that the issuer named in its last answer, so that the messages
// grow with the rate and not with the demand.

package exchange

import (
	"context"
	"errors"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/permit"
)

// serverStart identifies one start of a server. Another start under the same ID has not named a rate.
type serverStart struct {
	id      string
	started int64 // Unix milliseconds
}

func startOf(srv backend.Server) serverStart {
	return serverStart{id: srv.ID, started: srv.StartedAt.UnixMilli()}
}

// serverRate is what a node knows of the rate of one server, and its permits.
type serverRate struct {
	permit.Rate
	service string
	holder  permit.Holder
	asking  int       // permits that a message in flight asks for
	issuer  string    // node that answered last
	askedAt time.Time // when it answered
}

// RecordRate records the rate of requests per second that srv names in its answer to a request that was sent at sentAt, or
// zero if it names none.
func (a *Admitted) RecordRate(srv backend.Server, perSecond float64, sentAt time.Time) {
	if a.recordRate != nil {
		a.recordRate(srv, permit.Rate{PerSecond: perSecond, SentAt: sentAt, HeardAt: time.Now()})
	}
}

// recordRate records the rate in an answer to this node, and reports a change to the server's issuer.
func (rt *Runtime) recordRate(srv backend.Server, named permit.Rate) {
	rt.mu.Lock()
	changed := rt.observeRate(srv, named)
	rt.mu.Unlock()
	if changed {
		go rt.reportRate(startOf(srv))
		rt.grantWaiting()
	}
}

// observeRate records a rate and reports whether it changed. The caller holds mu.
func (rt *Runtime) observeRate(srv backend.Server, named permit.Rate) bool {
	key := startOf(srv)
	r := rt.rates[key]
	if r == nil {
		if !named.Limited() {
			return false // most servers never name a rate
		}
		r = &serverRate{service: srv.Service}
		rt.rates[key] = r
	}
	before := r.PerSecond
	if !r.Observe(named) {
		return false
	}
	if r.PerSecond < before {
		r.holder.Drop()
	}
	event.Log(rt.log, event.ServerRateChanged, event.Fields{"server": srv.ID, "service": srv.Service, "perSecond": named.PerSecond})
	return true
}

// limit returns what the node knows of the rate of a server that limits it, or nil if it does not. The caller holds mu.
func (rt *Runtime) limit(srv backend.Server) *serverRate {
	if len(rt.rates) == 0 {
		return nil
	}
	if r := rt.rates[startOf(srv)]; r != nil && r.Limited() {
		return r
	}
	return nil
}

// limitedServers returns the number of servers that limit their rate. The caller holds mu.
func (rt *Runtime) limitedServers() int {
	n := 0
	for _, r := range rt.rates {
		if r.Limited() {
			n++
		}
	}
	return n
}

// takeSend reports whether a request may be sent to srv now, within the rates of cold servers and of those that limit their
// rate. It counts the request if so, and otherwise asks for a permit. The caller holds mu.
func (rt *Runtime) takeSend(req slotRequest, srv backend.Server, now time.Time) bool {
	r := rt.limit(srv)
	if r != nil && !r.holder.Available(now) {
		rt.askFor(srv, r, req, now)
		return false
	}
	if !rt.takeColdRequest(req.adm.Service, srv, now) {
		return false
	}
	return r == nil || r.holder.Take(now)
}

// askFor asks for permits for a request that has none, and for those that wait. A request asks for a permit of one server, and
// of the next one when it gets none. The caller holds mu.
func (rt *Runtime) askFor(srv backend.Server, r *serverRate, req slotRequest, now time.Time) {
	wait := req.until.Sub(now)
	if r.asking > 0 || wait < 0 || now.Before(r.holder.RetryAt()) {
		return
	}
	servers, expected := 0, 0
	for _, other := range rt.rates {
		if other.service == srv.Service && other.Limited() {
			servers++
			expected += other.asking + other.holder.Pending(now)
		}
	}
	count := max(1, rt.waiting.count(srv.Service)) - expected
	if count <= 0 {
		return
	}
	r.asking = (count + servers - 1) / servers
	go rt.requestPermits(srv, permit.Request{Count: r.asking, MaxWait: wait, Refused: r.holder.TakeRefused(), Servers: servers})
}

// requestPermits asks for permits and places waiting requests with them.
func (rt *Runtime) requestPermits(srv backend.Server, req permit.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), issuerAttempts*issuerTimeout)
	defer cancel()
	grant, err := rt.askIssuer(ctx, srv, req)
	rt.mu.Lock()
	if r := rt.rates[startOf(srv)]; r != nil {
		r.asking = 0
		if err != nil {
			r.holder.Postpone(time.Now().Add(noIssuerPause))
		} else {
			r.holder.Accept(grant, time.Now())
		}
	}
	rt.mu.Unlock()
	rt.grantWaiting()
}

// noIssuerPause is how long a node does not ask for permits after no issuer answered.
const noIssuerPause = 250 * time.Millisecond

// errNoPermit means that a server's rate has no room for a request.
var errNoPermit = errors.New("the server's rate is used up")

// urgentWait is how long a request that continues a run waits for a permit.
const urgentWait = 100 * time.Millisecond

// takeUrgentPermit takes a permit for a request that continues or moves a run and can be sent to no other server.
func (rt *Runtime) takeUrgentPermit(ctx context.Context, srv backend.Server) error {
	rt.mu.Lock()
	r := rt.limit(srv)
	taken := r == nil || r.holder.Take(time.Now())
	rt.mu.Unlock()
	if taken {
		return nil
	}
	grant, err := rt.askIssuer(ctx, srv, permit.Request{Count: 1, MaxWait: urgentWait, Urgent: true})
	if err != nil || grant.Count == 0 || !pause.For(ctx, grant.First) {
		return errNoPermit
	}
	return nil
}

// takeSparePermit takes a permit for a question to a server that can be left out.
func (rt *Runtime) takeSparePermit(srv backend.Server) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	r := rt.limit(srv)
	return r == nil || r.holder.Take(time.Now())
}

// rateLimitedError means that all servers that a request could use limit their rates, and that none has room in time.
type rateLimitedError struct {
	retryAfter time.Duration // when the caller's turn is expected
}

func (e *rateLimitedError) Error() string { return "no server's rate has room in time" }

// limitedBeyond returns an error if only servers whose rates have no room before req.until could serve a request, with the time
// when one of them is expected to have room. asked reports whether permits were requested for it. The caller holds mu.
func (rt *Runtime) limitedBeyond(req slotRequest, asked bool, now time.Time) *rateLimitedError {
	if len(rt.rates) == 0 {
		return nil
	}
	servers, _ := rt.candidates(req.adm.Service, req.adm, req.exclude, now)
	if len(servers) == 0 {
		return nil
	}
	waiting := rt.waiting.count(req.adm.Service.Name)
	var first *serverRate // that expects to have room
	for _, srv := range servers {
		r := rt.limit(srv)
		if r == nil || r.asking > 0 || r.holder.Available(now) || r.holder.Pending(now) > waiting || !r.nextTurn().After(req.until) {
			return nil
		}
		if first == nil || r.nextTurn().Before(first.nextTurn()) {
			first = r
		}
	}
	return &rateLimitedError{retryAfter: max(minRetryAfter, first.holder.Refuse(first.PerSecond, asked, now).Sub(now))}
}

// minRetryAfter is the shortest retry time. A caller that returns at once would find the same rates.
const minRetryAfter = 50 * time.Millisecond

// nextTurn returns when a request may expect a permit.
func (r *serverRate) nextTurn() time.Time {
	if r.holder.RetryAt().After(r.holder.TurnAt()) {
		return r.holder.RetryAt()
	}
	return r.holder.TurnAt()
}

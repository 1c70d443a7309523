// This file defines what a node knows of the rates that servers accept.

package exchange

import (
	"time"

	"ebonyferry/internal/base/event"
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

// serverRate is what a node knows of the rate of one server.
type serverRate struct {
	permit.Rate
}

// RecordRate records the rate of requests per second that srv names in its answer to a request that was sent at sentAt, or
// zero if it names none.
func (a *Admitted) RecordRate(srv backend.Server, perSecond float64, sentAt time.Time) {
	if a.recordRate != nil {
		a.recordRate(srv, permit.Rate{PerSecond: perSecond, SentAt: sentAt, HeardAt: time.Now()})
	}
}

func (rt *Runtime) recordRate(srv backend.Server, named permit.Rate) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	key := startOf(srv)
	r := rt.rates[key]
	if r == nil {
		if !named.Limited() {
			return // most servers never name a rate
		}
		r = new(serverRate)
		rt.rates[key] = r
	}
	if r.Observe(named) {
		event.Log(rt.log, event.ServerRateChanged, event.Fields{"server": srv.ID, "service": srv.Service, "perSecond": named.PerSecond})
	}
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

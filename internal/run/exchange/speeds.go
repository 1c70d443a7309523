// This file defines what a node knows of the speed of backend servers.

package exchange

import (
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/backend"
)

// ServerLoad is what a server says of its load in an answer.
type ServerLoad struct {
	Running, Waiting, Slots int
	Pace                    float64 // how long work takes there at the moment, where 1 is as usual; 0 if the server does not say
}

// OnLoad sets the functions that RecordLoad and RecordMalformedLoad call.
func (a *Admitted) OnLoad(load func(srv backend.Server, l ServerLoad), malformed func(srv backend.Server, text string)) {
	a.recordLoad, a.recordMalformedLoad = load, malformed
}

// RecordLoad records what a server said of its load in an answer to the request.
func (a *Admitted) RecordLoad(srv backend.Server, l ServerLoad) {
	if a.recordLoad != nil {
		a.recordLoad(srv, l)
	}
}

// RecordMalformedLoad records that a server stated its load in a text that cannot be read.
func (a *Admitted) RecordMalformedLoad(srv backend.Server, text string) {
	if a.recordMalformedLoad != nil {
		a.recordMalformedLoad(srv, text)
	}
}

// speedTable is what a node knows of the speed of servers. It is guarded by Runtime.mu.
type speedTable struct {
	pool *backend.Pool

	malformedLog lineLimit
	unlogged     int // malformed loads since the last line
}

func newSpeedTable(pool *backend.Pool) *speedTable { return &speedTable{pool: pool} }

func (rt *Runtime) recordLoad(backend.Server, ServerLoad) {}

const (
	// maxMalformedLines is how many malformed loads are logged in a second: a faulty version of a server sends one with
	// every answer.
	maxMalformedLines = 1
	// maxMalformedText is how many bytes of a malformed load are logged.
	maxMalformedText = 64
)

func (rt *Runtime) recordMalformedLoad(srv backend.Server, text string) {
	rt.mu.Lock()
	own, _ := rt.speeds.malformedLog.take(time.Now(), maxMalformedLines)
	unlogged := rt.speeds.unlogged
	rt.speeds.unlogged++
	if own {
		rt.speeds.unlogged = 0
	}
	rt.mu.Unlock()
	if own {
		event.Log(rt.log, event.LoadMalformed, event.Fields{"server": srv.ID, "value": text[:min(len(text), maxMalformedText)], "unlogged": unlogged})
	}
}

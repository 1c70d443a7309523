package dispatch

import (
	"time"

	"ebonyferry/internal/core/admission"
	"ebonyferry/internal/core/bundle"
)

// This file defines the budgets used while no slices are leased.

// equalParts gives each node an equal part of each server, by the number of nodes now.
type equalParts struct {
	fleet   func() (nodes, rank int)
	servers []bundle.Server
	nodes   int // of static
	rank    int
	static  *admission.Static
}

func (e *equalParts) configure(servers []bundle.Server) {
	e.servers, e.static = servers, nil
}

// Budget implements admission.Budgets.
func (e *equalParts) Budget(server string, now time.Time) (streams, tokens int) {
	nodes, rank := e.fleet()
	if e.static == nil || nodes != e.nodes || rank != e.rank {
		e.nodes, e.rank = nodes, rank
		e.static = admission.NewStatic(e.servers, nodes, rank)
	}
	return e.static.Budget(server, now)
}

package dispatch

import (
	"time"

	"ebonyferry/internal/core/admission"
	"ebonyferry/internal/core/bundle"
)

// This file defines the budgets used while no slices are leased, and what is told to the part that leases them.

const demandInterval = 500 * time.Millisecond

// AdaptiveBudgets is implemented by Budgets that follow the demand and the evidence of this node.
type AdaptiveBudgets interface {
	// SetDemand tells how much of a server this node could use now.
	SetDemand(server string, streams, tokens int)
	// SetEvidence tells which part of a server's full limit the node's observations suggest.
	SetEvidence(server string, fraction float64)
}

// demand is what the node tells of one server.
type demand struct {
	server  string
	streams int
	tokens  int
	present float64 // part of the full limit that is agreed now
	wished  float64 // that the evidence suggests; zero for the present one
}

// told is the last suggestion for a server.
type told struct {
	fraction float64
	at       time.Time
}

// Demands returns what is to be told, or nil when it is not yet time. The caller holds mu.
func (d *Dispatcher) demands(now time.Time) []demand {
	if _, ok := d.budgets.(AdaptiveBudgets); !ok || d.inForce == nil || now.Sub(d.toldAt) < demandInterval {
		return nil
	}
	d.toldAt = now
	var list []demand
	for _, srv := range d.inForce.Bundle.Servers {
		if srv.Kind != bundle.KindEngine || srv.MaxStreams <= 0 {
			continue
		}
		dem := d.scheduler.Demand(srv.ID, now)
		list = append(list, demand{
			server:  srv.ID,
			streams: dem.Streams + dem.Waiting,
			tokens:  dem.Tokens + dem.WaitingTokens,
			present: d.scheduler.WarmFraction(srv.ID, now),
			wished:  float64(dem.Limit) / float64(srv.MaxStreams),
		})
	}
	return list
}

// TellDemand hands the demand on. A wish that was not met for a while is told anew, from the present fraction.
func (d *Dispatcher) tellDemand(list []demand, now time.Time) {
	to, ok := d.budgets.(AdaptiveBudgets)
	if !ok {
		return
	}
	for _, dem := range list {
		to.SetDemand(dem.server, dem.streams, dem.tokens)
		fraction := dem.present
		last := d.told[dem.server]
		if dem.wished > 0 && (dem.wished != last.fraction || now.Sub(last.at) < wishPatience) {
			fraction = dem.wished
		}
		if fraction <= 0 || fraction == last.fraction {
			continue
		}
		to.SetEvidence(dem.server, fraction)
		d.told[dem.server] = told{fraction: fraction, at: now}
	}
}

const wishPatience = 3 * time.Second

// equalParts gives each node an equal part of each server, by the number of nodes now.
type equalParts struct {
	fleet   func() (nodes, rank int)
	servers []bundle.Server
	nodes   int // of static
	rank    int
	static  *admission.StaticBudgets
}

func (e *equalParts) configure(servers []bundle.Server) {
	e.servers, e.static = servers, nil
}

// Budget implements admission.Budgets.
func (e *equalParts) Budget(server string, now time.Time) (streams, tokens int) {
	nodes, rank := e.fleet()
	if e.static == nil || nodes != e.nodes || rank != e.rank {
		e.nodes, e.rank = nodes, rank
		e.static = admission.NewStaticBudgets(e.servers, nodes, rank)
	}
	return e.static.Budget(server, now)
}

// This file defines the default budgets and the reports of demand and evidence to adaptive ones.

package dispatch

import (
	"time"

	"ebonyferry/internal/core/admission"
	"ebonyferry/internal/core/bundle"
)

const demandInterval = 500 * time.Millisecond

// AdaptiveBudgets is implemented by Budgets that follow the demand and the evidence of this node.
type AdaptiveBudgets interface {
	// SetDemand sets how much of a server this node could use now.
	SetDemand(server string, streams, tokens int)
	// SetEvidence sets the fraction of a server's full limit that the node's observations suggest.
	SetEvidence(server string, fraction float64)
}

// serverDemand is the node's demand for one server and its evidence about the server.
type serverDemand struct {
	server    string
	streams   int
	tokens    int
	current   float64 // fraction of the full limit that applies at this node now
	suggested float64 // fraction that the evidence suggests; zero suggests no change
}

// sentEvidence is the last fraction that was set as the evidence about a server.
type sentEvidence struct {
	fraction float64
	at       time.Time
}

// dueDemands returns the demand for each server, or nil before the next demandInterval. The caller holds mu.
func (d *Dispatcher) dueDemands(now time.Time) []serverDemand {
	if _, ok := d.budgets.(AdaptiveBudgets); !ok || d.inForce == nil || now.Sub(d.demandSentAt) < demandInterval {
		return nil
	}
	d.demandSentAt = now
	var list []serverDemand
	for _, srv := range d.inForce.Bundle.Servers {
		if srv.Kind != bundle.KindEngine || srv.MaxStreams <= 0 {
			continue
		}
		dem := d.scheduler.Demand(srv.ID, now)
		list = append(list, serverDemand{
			server:    srv.ID,
			streams:   dem.Streams + dem.Waiting,
			tokens:    dem.Tokens + dem.WaitingTokens,
			current:   d.scheduler.WarmFraction(srv.ID, now),
			suggested: float64(dem.Limit) / float64(srv.MaxStreams),
		})
	}
	return list
}

// sendDemands sets the demand and the evidence in adaptive budgets. If the owner does not follow a
// suggestion within suggestionTimeout, sendDemands sets the current fraction once and then the suggestion again.
func (d *Dispatcher) sendDemands(list []serverDemand, now time.Time) {
	budgets, ok := d.budgets.(AdaptiveBudgets)
	if !ok {
		return
	}
	for _, dem := range list {
		budgets.SetDemand(dem.server, dem.streams, dem.tokens)
		fraction := dem.current
		last := d.sentEvidence[dem.server]
		if dem.suggested > 0 && (dem.suggested != last.fraction || now.Sub(last.at) < suggestionTimeout) {
			fraction = dem.suggested
		}
		if fraction <= 0 || fraction == last.fraction {
			continue
		}
		budgets.SetEvidence(dem.server, fraction)
		d.sentEvidence[dem.server] = sentEvidence{fraction: fraction, at: now}
	}
}

const suggestionTimeout = 3 * time.Second

// equalShares gives each node an equal share of each server, by the current number of nodes.
type equalShares struct {
	fleet   func() (nodes, rank int)
	servers []bundle.Server
	nodes   int // for which static was made
	rank    int // for which static was made
	static  *admission.StaticBudgets
}

func (e *equalShares) configure(servers []bundle.Server) {
	e.servers, e.static = servers, nil
}

// Budget implements admission.Budgets.
func (e *equalShares) Budget(server string, now time.Time) (streams, tokens int) {
	nodes, rank := e.fleet()
	if e.static == nil || nodes != e.nodes || rank != e.rank {
		e.nodes, e.rank = nodes, rank
		e.static = admission.NewStaticBudgets(e.servers, nodes, rank)
	}
	return e.static.Budget(server, now)
}

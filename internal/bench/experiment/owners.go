// This file simulates the owners of the servers. Once a second, each owner adjusts its server's limit as the nodes suggest
// and divides it into slices by their demand.

package experiment

import (
	"time"

	"ebonyferry/internal/core/admission"
)

// owners holds the limits and the slices of all servers.
type owners struct {
	s         *sim
	slices    [][]slice // by node and server
	limits    []int     // by server
	loweredAt []time.Duration
}

type slice struct{ streams, tokens int }

func newOwners(s *sim, n int) *owners {
	o := &owners{s: s, slices: make([][]slice, n), loweredAt: make([]time.Duration, len(s.engines))}
	for i := range o.slices {
		o.slices[i] = make([]slice, len(s.engines))
	}
	for _, e := range s.engines {
		limit := e.MaxStreams
		if s.scenario.startCold {
			limit = e.ColdStreams
		}
		o.limits = append(o.limits, limit)
	}
	return o
}

// nodeSlices holds the slices of all servers that one node has.
type nodeSlices struct {
	owners *owners
	slices []slice
	index  map[string]int
}

func (o *owners) slicesOf(node int) *nodeSlices {
	s := &nodeSlices{owners: o, slices: o.slices[node], index: make(map[string]int)}
	for i, e := range o.s.engines {
		s.index[e.ID] = i
	}
	return s
}

// Budget implements admission.Budgets.
func (n *nodeSlices) Budget(server string, _ time.Time) (streams, tokens int) {
	s := n.slices[n.index[server]]
	return s.streams, s.tokens
}

// Limit implements admission.SharedLimits.
func (n *nodeSlices) Limit(server string, _ time.Time) int { return n.owners.limits[n.index[server]] }

const raiseDelay = 2 * time.Second // after a limit was lowered, during which it is not raised

// rebalance updates the limit and the slices of each server.
func (o *owners) rebalance(list []*admission.Scheduler) {
	for j := range o.s.engines {
		demands := make([]admission.Demand, len(list))
		for i, node := range list {
			demands[i] = node.Demand(o.s.engines[j].ID, clock(o.s.now))
		}
		o.updateLimit(j, demands)
		o.splitLimit(j, demands)
	}
}

// updateLimit lowers the limit to the lowest suggestion. If none is lower than the limit, it raises the limit to the
// highest suggestion, provided that 70% of the limit is in use and raiseDelay has passed.
func (o *owners) updateLimit(j int, demands []admission.Demand) {
	e := o.s.engines[j]
	lowest, highest, used := o.limits[j], o.limits[j], 0
	for _, d := range demands {
		used += d.Streams
		if d.Limit > 0 {
			lowest, highest = min(lowest, d.Limit), max(highest, d.Limit)
		}
	}
	switch {
	case lowest < o.limits[j]:
		o.limits[j], o.loweredAt[j] = max(lowest, e.ColdStreams), o.s.now
	case o.s.now-o.loweredAt[j] >= raiseDelay && 10*used >= 7*o.limits[j]:
		o.limits[j] = min(highest, e.MaxStreams)
	}
}

// splitLimit gives each node the budget that it uses, and an equal share of the rest.
func (o *owners) splitLimit(j int, demands []admission.Demand) {
	e, n := o.s.engines[j], len(demands)
	streams, tokens := o.limits[j], e.MemoryTokens
	for _, d := range demands {
		streams -= d.Streams
		tokens -= d.Tokens
	}
	for i, d := range demands {
		rank := (i + j) % n
		o.slices[i][j] = slice{
			streams: d.Streams + equalShare(max(0, streams), n, rank),
			tokens:  d.Tokens + equalShare(max(0, tokens), n, rank),
		}
	}
}

func equalShare(total, n, rank int) int { return (total + n - 1 - rank) / n }

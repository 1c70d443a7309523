package experiment

import (
	"time"

	"ebonyferry/internal/core/admission"
)

// This file stands in for the owners of the servers: once a second each parts its server's limit among the
// nodes, towards what they want, and moves the limit as they suggest.

// owners holds the parts of all servers.
type owners struct {
	s      *sim
	parts  [][]part // by node and server
	limits []int    // by server
	fallen []time.Duration
}

type part struct{ streams, tokens int }

func newOwners(s *sim, n int) *owners {
	o := &owners{s: s, parts: make([][]part, n), fallen: make([]time.Duration, len(s.engines))}
	for i := range o.parts {
		o.parts[i] = make([]part, len(s.engines))
	}
	for _, e := range s.engines {
		limit := e.MaxStreams
		if s.scenario.cold {
			limit = e.ColdStreams
		}
		o.limits = append(o.limits, limit)
	}
	return o
}

// held is the part of each server that one node holds.
type held struct {
	owners *owners
	parts  []part
	index  map[string]int
}

func (o *owners) of(node int) *held {
	h := &held{owners: o, parts: o.parts[node], index: make(map[string]int)}
	for i, e := range o.s.engines {
		h.index[e.ID] = i
	}
	return h
}

// Budget implements admission.Budgets.
func (h *held) Budget(server string, _ time.Time) (streams, tokens int) {
	p := h.parts[h.index[server]]
	return p.streams, p.tokens
}

// Limit implements admission.SharedLimits.
func (h *held) Limit(server string, _ time.Time) int { return h.owners.limits[h.index[server]] }

const fallHoldoff = 2 * time.Second // after a fall, in which a limit does not rise

// Move parts each server anew.
func (o *owners) move(list []*admission.Scheduler) {
	for j := range o.s.engines {
		demands := make([]admission.Demand, len(list))
		for i, node := range list {
			demands[i] = node.Demand(o.s.engines[j].ID, clock(o.s.now))
		}
		o.limit(j, demands)
		o.split(j, demands)
	}
}

// Limit takes the lowest suggestion, or the highest when none is lower than the limit and it is well used.
func (o *owners) limit(j int, demands []admission.Demand) {
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
		o.limits[j], o.fallen[j] = max(lowest, e.ColdStreams), o.s.now
	case o.s.now-o.fallen[j] >= fallHoldoff && 10*used >= 7*o.limits[j]:
		o.limits[j] = min(highest, e.MaxStreams)
	}
}

// Split gives each node what it uses and the rest in equal parts.
func (o *owners) split(j int, demands []admission.Demand) {
	e, n := o.s.engines[j], len(demands)
	streams, tokens := o.limits[j], e.MemoryTokens
	for _, d := range demands {
		streams -= d.Streams
		tokens -= d.Tokens
	}
	for i, d := range demands {
		rank := (i + j) % n
		o.parts[i][j] = part{
			streams: d.Streams + share(max(0, streams), n, rank),
			tokens:  d.Tokens + share(max(0, tokens), n, rank),
		}
	}
}

func share(total, n, rank int) int { return (total + n - 1 - rank) / n }

// Package scaling decides how many servers of a service each failure domain is to have.
//
// Its load pattern: demand that jumps to 2.5 times for a few seconds, demand that oscillates with a period of about 13 s, and servers that
// serve seconds after they are ordered and are billed by the second. Orders follow rising demand at once and falling demand late, so that an
// oscillation changes no number.
package scaling

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// usable is the share of the servers that predicted demand may take. Copies of runs are made while runs take at most half of the memory of
	// all servers; with fewer servers, runs end with a server that is reclaimed.
	usable = 0.5
	// holdBoots is how many times its boot time a service keeps the servers for its highest demand, and minHold is at least how long: longer
	// than the period of the oscillation in the load pattern.
	holdBoots = 4
	minHold   = 20 * time.Second
	// trendWeight is the share of the trend that counts: one that is taken in full orders a third more servers than the peak of the
	// oscillation in the load pattern needs.
	trendWeight = 0.5
	// noReduction is how long after its start a planner orders no fewer servers than there are: the holder before it may have ordered them,
	// and servers that leave cut or move their runs.
	noReduction = 20 * time.Second
	// samplePeriod is the time between two samples of demand.
	samplePeriod = 500 * time.Millisecond
)

// Limits bound the number of a service's servers in each failure domain.
type Limits struct {
	Min, Max int
	Boot     time.Duration // from an order until the servers serve
}

// hold returns how long the highest demand counts.
func (l Limits) hold() time.Duration { return max(holdBoots*l.Boot, minHold) }

// Planner plans the numbers of one service. It is not safe for concurrent use.
type Planner struct {
	started time.Time
	samples []sample             // oldest first, not older than the hold
	ordered map[string]placement // by failure domain
}

type sample struct {
	at        time.Time
	demand    float64
	predicted float64 // for one boot time later; at least demand
}

// placement is the number of servers in a failure domain: ordered, or found at the first sight of the domain.
type placement struct {
	servers   int
	changedAt time.Time
	found     bool // not ordered by this planner
}

// NewPlanner returns a planner that has seen no demand.
func NewPlanner(now time.Time) *Planner {
	return &Planner{started: now, ordered: make(map[string]placement)}
}

// Plan returns the numbers to order by failure domain, where they differ from those ordered last. demand is what all requests of the
// service take and wait for, as a number of full servers, and present the number of servers in each failure domain. A domain that was
// present once stays one with no servers.
func (p *Planner) Plan(l Limits, demand float64, present map[string]int, now time.Time) map[string]int {
	if math.IsNaN(demand) || math.IsInf(demand, 0) || demand < 0 {
		return nil
	}
	for domain, n := range present {
		last, ok := p.ordered[domain]
		// Some of the servers that an earlier holder ordered may be starting, or being replaced.
		if !ok || last.found && n > last.servers && now.Sub(p.started) < noReduction {
			p.ordered[domain] = placement{servers: n, changedAt: now, found: true}
		}
	}
	want := p.need(l, p.predict(l, demand, now))
	orders := make(map[string]int)
	for domain, last := range p.ordered {
		switch {
		case want > last.servers:
			orders[domain] = want
		case want < last.servers && now.Sub(p.started) >= noReduction && now.Sub(last.changedAt) >= l.hold():
			orders[domain] = want
		}
	}
	return orders
}

// Ordered records that an order was given.
func (p *Planner) Ordered(domain string, servers int, now time.Time) {
	p.ordered[domain] = placement{servers: servers, changedAt: now}
}

// Domains returns the failure domains that the planner knows, sorted.
func (p *Planner) Domains() []string { return slices.Sorted(maps.Keys(p.ordered)) }

// predict returns the demand to prepare for: the highest one of the hold, with what its trend over one boot time led to when servers that were
// ordered then served.
func (p *Planner) predict(l Limits, demand float64, now time.Time) float64 {
	p.samples = slices.DeleteFunc(p.samples, func(s sample) bool { return now.Sub(s.at) > l.hold() })
	before := demand
	for _, s := range p.samples {
		if now.Sub(s.at) <= l.Boot {
			before = s.demand // the oldest sample that is not older than the boot time
			break
		}
	}
	predicted := demand + trendWeight*max(0, demand-before)
	if n := len(p.samples); n > 0 && now.Sub(p.samples[n-1].at) < samplePeriod {
		last := &p.samples[n-1]
		last.demand, last.predicted = max(demand, last.demand), max(predicted, last.predicted)
	} else {
		p.samples = append(p.samples, sample{now, demand, predicted})
	}
	for _, s := range p.samples {
		predicted = max(predicted, s.predicted)
	}
	return predicted
}

// need returns the number of servers in each failure domain for a predicted demand. Without one of the domains, the others must hold it too,
// then without room for bursts.
func (p *Planner) need(l Limits, demand float64) int {
	domains := float64(len(p.ordered))
	if domains == 0 {
		return l.Min
	}
	n := math.Ceil(demand / usable / domains)
	if domains > 1 {
		n = max(n, math.Ceil(demand/(domains-1)))
	}
	return int(min(max(n, float64(l.Min)), float64(l.Max)))
}

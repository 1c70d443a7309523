// This file defines the baselines.

package experiment

import "slices"

// baseline is the common part of the baselines: each node counts its requests in flight on each server.
type baseline struct {
	s            *sim
	inFlight     [nodes][]int  // number of requests by node and server
	outOfService [nodes]string // failure domain out of service, by node
}

func newBaseline(s *sim) baseline {
	p := baseline{s: s}
	for i := range p.inFlight {
		p.inFlight[i] = make([]int, len(s.engines))
	}
	return p
}

func (p *baseline) send(r *request, server int) {
	p.inFlight[r.node][server]++
	r.placedOn = server
	p.s.send(r, server)
}

func (p *baseline) ended(r *request, _ outcome) {
	p.inFlight[r.node][r.placedOn]--
}

func (p *baseline) firstToken(*request)       {}
func (p *baseline) tick()                     {}
func (p *baseline) loadReport(snapshot)       {}
func (p *baseline) cacheStored(int, int, int) {}

// eligible returns the servers that have the model of r, are not out of service and have not rejected r.
func (p *baseline) eligible(r *request) []int {
	var list []int
	for i, e := range p.s.engines {
		if e.Models[0].Model == r.model && e.FailureDomain != p.outOfService[r.node] && !slices.Contains(r.excluded, i) {
			list = append(list, i)
		}
	}
	return list
}

// roundRobin sends the requests of each node to the servers in turn.
type roundRobin struct {
	baseline
	next [nodes]int
}

func (p *roundRobin) arrive(r *request) {
	list := p.eligible(r)
	p.next[r.node]++
	p.send(r, list[(p.next[r.node]+r.node)%len(list)])
}

// leastOutstanding sends each request to the server on which its node has the fewest requests in flight.
type leastOutstanding struct{ baseline }

func (p *leastOutstanding) arrive(r *request) {
	p.send(r, p.leastLoaded(r))
}

func (p *baseline) leastLoaded(r *request) int {
	list := p.eligible(r)
	inFlight := p.inFlight[r.node]
	best := list[r.node%len(list)]
	for i := range list {
		s := list[(i+r.node)%len(list)]
		if inFlight[s] < inFlight[best] {
			best = s
		}
	}
	return best
}

// staticShares gives each node an equal share of the streams of each server. It refuses a request if the share is in
// use on the least loaded server.
type staticShares struct{ baseline }

func (p *staticShares) arrive(r *request) {
	server := p.leastLoaded(r)
	if p.inFlight[r.node][server] >= p.s.engines[server].MaxStreams/nodes {
		p.s.refuse(r)
		return
	}
	p.send(r, server)
}

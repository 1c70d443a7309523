package experiment

import "slices"

// This file defines the baselines.

// sender is what the baselines have in common: each node counts the requests that it has on each server.
type sender struct {
	s    *sim
	busy [nodes][]int  // by node and server
	out  [nodes]string // failure domain out of service, by node
}

func newSender(s *sim) sender {
	p := sender{s: s}
	for i := range p.busy {
		p.busy[i] = make([]int, len(s.engines))
	}
	return p
}

func (p *sender) send(r *request, server int) {
	p.busy[r.node][server]++
	r.placedOn = server
	p.s.send(r, server)
}

func (p *sender) ended(r *request, _ outcome) {
	p.busy[r.node][r.placedOn]--
}

func (p *sender) first(*request)       {}
func (p *sender) tick()                {}
func (p *sender) report(snapshot)      {}
func (p *sender) stored(int, int, int) {}

// Eligible returns the servers of the request's model.
func (p *sender) eligible(r *request) []int {
	var list []int
	for i, e := range p.s.engines {
		if e.Models[0].Model == r.model && e.FailureDomain != p.out[r.node] && !slices.Contains(r.exclude, i) {
			list = append(list, i)
		}
	}
	return list
}

// roundRobin sends each request to the next server.
type roundRobin struct {
	sender
	next [nodes]int
}

func (p *roundRobin) arrive(r *request) {
	list := p.eligible(r)
	p.next[r.node]++
	p.send(r, list[(p.next[r.node]+r.node)%len(list)])
}

// leastOutstanding sends each request to the server on which its node has the fewest.
type leastOutstanding struct{ sender }

func (p *leastOutstanding) arrive(r *request) {
	p.send(r, p.least(r))
}

func (p *sender) least(r *request) int {
	list := p.eligible(r)
	busy := p.busy[r.node]
	best := list[r.node%len(list)]
	for i := range list {
		s := list[(i+r.node)%len(list)]
		if busy[s] < busy[best] {
			best = s
		}
	}
	return best
}

// staticShares gives each node an equal part of the streams of each server and refuses what finds them in use.
type staticShares struct{ sender }

func (p *staticShares) arrive(r *request) {
	server := p.least(r)
	if p.busy[r.node][server] >= p.s.engines[server].MaxStreams/nodes {
		p.s.refuse(r)
		return
	}
	p.send(r, server)
}

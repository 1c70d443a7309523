package exchange

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/placement"
	"ebonyferry/internal/core/route"
)

// This file defines what a node knows of the load on backend servers: what it placed there itself, and what the
// other nodes say that they placed.

// book holds placed work by server ID. It has one owner.
type book struct {
	own   loads
	peers map[string]peerLoads // by node
	full  map[string]time.Time // servers that refused work for lack of room, until when they are passed over
}

// peerLoads is what another node placed, as of a time.
type peerLoads struct {
	loads loads
	at    time.Time
}

const (
	// peerLife is how long the loads of a silent node count.
	peerLife = 2 * time.Second
	// fullFor is how long a server is passed over that refused work for lack of room.
	fullFor = 150 * time.Millisecond
)

func newBook() *book {
	return &book{
		own:   make(loads),
		peers: make(map[string]peerLoads),
		full:  make(map[string]time.Time),
	}
}

// Run adds a run to the own load of a server, or takes one off.
func (b *book) run(server string, n, tokens int) {
	b.add(server, placement.Load{Streams: n, RunTokens: n * tokens})
}

// Copy adds a copy to the own load of a server, or takes one off.
func (b *book) copy(server string, n, tokens int) {
	b.add(server, placement.Load{CopyTokens: n * tokens})
}

// Reading adds a prompt that a server has yet to read to its own load, or takes one off.
func (b *book) reading(server string, n, tokens int) {
	b.add(server, placement.Load{PrefillTokens: n * tokens})
}

// Lost adds requests that a server cut or did not take, or takes them off.
func (b *book) lost(server string, n int) { b.add(server, placement.Load{Failures: n}) }

func (b *book) add(server string, d placement.Load) {
	l := b.own[server].Plus(d)
	if l == (placement.Load{}) {
		delete(b.own, server)
		return
	}
	b.own[server] = l
}

// Load returns the load of a server by all nodes.
func (b *book) load(server string, now time.Time) placement.Load {
	sum := b.own[server]
	for _, p := range b.peers {
		if now.Sub(p.at) <= peerLife {
			sum = sum.Plus(p.loads[server])
		}
	}
	return sum
}

// Mine returns a copy of the own loads.
func (b *book) mine() loads { return maps.Clone(b.own) }

// Hear takes what another node, or a hub for its failure domain, says that it placed.
func (b *book) hear(from string, msg loadsMessage, now time.Time) {
	known := msg.Loads
	if msg.Changes {
		known = b.peers[from].loads
		if known == nil {
			known = make(loads)
		}
		known.merge(msg.Loads)
	}
	b.peers[from] = peerLoads{loads: known, at: now}
}

// Sum returns the own loads and those of the peers for which include holds.
func (b *book) sum(include func(name string) bool, now time.Time) loads {
	total := make(loads)
	total.add(b.own)
	for name, p := range b.peers {
		if include(name) && now.Sub(p.at) <= peerLife {
			total.add(p.loads)
		}
	}
	return total
}

// verdict says which servers of a service are avoided, as of a time.
type verdict struct {
	avoided map[string]bool
	at      time.Time
}

// verdictLife is how long a verdict is used before servers are judged anew.
const verdictLife = 100 * time.Millisecond

// Returns the servers of a service that are avoided now. The caller holds mu.
func (rt *Runtime) avoided(service string, usable []backend.Server, now time.Time) map[string]bool {
	v, ok := rt.verdicts[service]
	if ok && now.Sub(v.at) < verdictLife {
		return v.avoided
	}
	ids := make([]string, len(usable))
	for i, s := range usable {
		ids[i] = s.ID
	}
	v = verdict{avoided: rt.tracker.Judge(ids, now), at: now}
	rt.verdicts[service] = v
	return v.avoided
}

// Returns the servers that may get the request of an ID now, or a copy where there is no ID, and what placement needs
// to know of them. Those in except are left out. The caller holds mu.
func (rt *Runtime) candidates(svc *route.Service, id string, except map[string]bool, now time.Time) ([]backend.Server, []placement.Candidate) {
	usable := rt.ofVersion(rt.pool.Usable(svc.Name, now), id, now)
	avoided := rt.avoided(svc.Name, usable, now)
	servers := make([]backend.Server, 0, len(usable))
	list := make([]placement.Candidate, 0, len(usable))
	for _, s := range usable {
		if except[s.ID] || avoided[s.ID] || now.Before(rt.book.full[s.ID]) {
			continue
		}
		c := placement.Candidate{
			Load:        rt.book.load(s.ID, now),
			Slots:       s.Slots,
			Domain:      s.Domain,
			CrossDomain: s.Domain != rt.domain,
			Cold:        s.Cold(now),
			TieBreak:    rand.Float64(),
		}
		if svc.Engine != nil {
			c.Memory = svc.Engine.MemoryTokens
			if svc.Engine.Slots > 0 {
				c.Slots = svc.Engine.Slots
			}
		}
		servers = append(servers, s)
		list = append(list, c)
	}
	return servers, list
}

// pace bounds the requests that this node sends to cold servers. Each server's rate is divided among the nodes: a
// whole part each, and what is left over to the nodes that rank first for the server.
type pace struct {
	sent map[string][]time.Time // to cold servers within the last second, by server ID
}

// paceWindow is the window over which a cold server's rate holds.
const paceWindow = time.Second

// paceShare is the part of the bound that is used: requests sent in one second may arrive in less.
const paceShare = 0.7

// Take counts a request to a cold server and reports whether this node may send it.
func (p *pace) take(server string, limit float64, nodes, rank int, now time.Time) bool {
	if p.sent == nil {
		p.sent = make(map[string][]time.Time)
	}
	recent := p.sent[server]
	for len(recent) > 0 && now.Sub(recent[0]) >= paceWindow {
		recent = recent[1:]
	}
	if len(recent) >= part(server, int(paceShare*limit), nodes, rank) {
		p.sent[server] = recent
		return false
	}
	p.sent[server] = append(recent, now)
	return true
}

// Part returns this node's part of a limit. Which nodes get one more differs from server to server.
func part(server string, limit, nodes, rank int) int {
	nodes = max(1, nodes)
	turn := (rank + int(xxhash.Sum64String(server)%uint64(nodes))) % nodes
	n := limit / nodes
	if turn < limit%nodes {
		n++
	}
	return n
}

// Reports whether a request may be sent to srv now, and counts it. The caller holds mu.
func (rt *Runtime) paced(svc *route.Service, srv backend.Server, now time.Time) bool {
	if svc.ColdPerSecond <= 0 || !srv.Cold(now) {
		return true
	}
	nodes, rank := rt.fleet.Rank()
	limit := svc.ColdPerSecond*rt.rules.ColdRatio + rt.rules.ColdSlack
	return rt.pace.take(srv.ID, limit, nodes, rank, now)
}

// This file defines how a gateway applies the entries of a platform's store, and what it derives from the view of the
// fleet.

package serve

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/entry"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/route"
	"ebonyferry/internal/core/versions"
	"ebonyferry/internal/run/detour"
	"ebonyferry/internal/run/exchange"
	"ebonyferry/internal/run/fleet"
	"ebonyferry/internal/run/mirror"
)

// Fact is the decoded content of one store entry: a ConfigFact, a ServerFact, a ServerRemovedFact, an EvacuationFact, a
// RolloutFact or a RolloutStateFact.
type Fact interface{ fact() }

// ConfigFact puts a config in force.
type ConfigFact struct{ Config *route.Config }

// ServerFact is the registration of a backend server.
type ServerFact struct{ Server backend.Server }

// ServerRemovedFact is the removal of a backend server's registration.
type ServerRemovedFact struct{ ID string }

// EvacuationFact starts or ends the evacuation of a failure domain. The servers of an evacuated domain get no new work.
type EvacuationFact struct {
	Domain string
	On     bool
}

// RolloutFact is the operators' order to roll out a new version, or the end of that order.
type RolloutFact struct {
	Order versions.Order // only Service is set if On is false
	On    bool
}

// RolloutStateFact is the state of a rollout that the fleet agreed on.
type RolloutStateFact struct {
	Service string
	Target  string
	State   versions.State
}

func (ConfigFact) fact()        {}
func (ServerFact) fact()        {}
func (ServerRemovedFact) fact() {}
func (EvacuationFact) fact()    {}
func (RolloutFact) fact()       {}
func (RolloutStateFact) fact()  {}

// apply applies a batch of changes to the store: first configurations and orders, then the agreed states of rollouts,
// then the changes of the pool.
func (g *Gateway) apply(b mirror.Batch) {
	now := time.Now()
	var facts []Fact
	for _, c := range b.Changes {
		if c.Key == verdictsKey {
			g.applyVerdicts(c)
			continue
		}
		fact, err := g.platform.DecodeFact(c.Key, c.Value, c.Deleted, now)
		switch {
		case err != nil:
			event.Log(g.log, event.EntryUnreadable, event.Fields{"key": c.Key, "revision": c.Revision, "cause": err.Error()})
		case fact != nil && !g.postpone(b, c.Key, fact, now):
			facts = append(facts, fact)
		}
	}
	if len(facts) > 0 {
		g.applyFacts(facts, b, now)
	}
}

func (g *Gateway) applyFacts(facts []Fact, b mirror.Batch, now time.Time) {
	for _, f := range facts {
		switch f := f.(type) {
		case ConfigFact:
			g.rt.SetConfig(f.Config)
		case RolloutFact:
			g.rt.SetRollout(f.Order, f.On)
		}
	}
	for _, f := range facts {
		if f, ok := f.(RolloutStateFact); ok {
			g.rt.SetRolloutState(f.Service, f.Target, f.State)
		}
	}
	g.rt.UpdatePool(func(p *backend.Pool) {
		for _, f := range facts {
			g.applyToPool(p, f, b, now)
		}
	})
}

func (g *Gateway) applyToPool(p *backend.Pool, f Fact, b mirror.Batch, now time.Time) {
	switch f := f.(type) {
	case ServerFact:
		p.Put(f.Server)
		event.Log(g.log, event.ServerListed, event.Fields{
			"server": f.Server.ID, "service": f.Server.Service, "domain": f.Server.Domain, "addr": f.Server.Addr.String(),
			"draining": f.Server.Draining, "coldMs": max(0, f.Server.ColdUntil.Sub(now).Milliseconds()),
		})
	case ServerRemovedFact:
		if b.AfterOutage {
			p.Expire(f.ID, b.OutageEnd)
		} else {
			p.Remove(f.ID, now)
		}
		event.Log(g.log, event.ServerGone, event.Fields{"server": f.ID, "lapsed": b.AfterOutage})
	case EvacuationFact:
		p.SetEvacuated(f.Domain, f.On)
		event.Log(g.log, event.DomainEvacuated, event.Fields{"domain": f.Domain, "on": f.On})
	}
}

// Entries implements EntryList. It ignores the failure domain.
func (g *Gateway) Entries(region, _ string) ([]netip.AddrPort, time.Duration) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	q := entry.Query{Region: region, Self: g.self, SelfCanServe: g.rt.Ready()}
	return entry.Choose(g.fleet.View(), nil, q, rng), g.cfg.Bounds.EntryTTL.Duration
}

// roles is what a gateway derives from one view of the fleet. It changes only with the view.
type roles struct {
	view     *membership.View
	peers    []exchange.Peer   // all nodes but this one
	watchers []membership.Node // nodes that watch the store, in the same order at all nodes
	others   []netip.AddrPort  // all nodes but this one
	carriers []detour.Carrier  // nodes through which connections to backend servers may pass
	follow   []netip.AddrPort  // nodes that this one receives the store's data from
	watcher  bool              // this node is one of watchers
}

// currentRoles returns the roles in the current view. They are cached because each request and message needs them, and
// ranking the nodes of all failure domains takes longer than either.
func (g *Gateway) currentRoles() *roles {
	view := g.fleet.View()
	if r := g.roles.Load(); r != nil && r.view == view {
		return r
	}
	first := membership.FirstRelays(view.Nodes)
	r := &roles{view: view, watchers: membership.StoreWatchers(view.Nodes)}
	for _, n := range view.Nodes {
		if n.Name != g.self.Name {
			hub := first[n.FailureDomain].Name == n.Name
			r.peers = append(r.peers, exchange.Peer{Name: n.Name, Addr: n.Addr, Domain: n.FailureDomain, Hub: hub})
			r.others = append(r.others, n.Addr)
			if n.Region == g.self.Region && !n.Draining {
				r.carriers = append(r.carriers, detour.Carrier{Name: n.Name, Addr: n.Addr})
			}
		}
	}
	sources, watcher := membership.MirrorSources(view.Nodes, g.self)
	r.watcher = watcher
	for _, n := range sources {
		r.follow = append(r.follow, n.Addr)
	}
	g.roles.Store(r)
	return r
}

// Self implements exchange.Fleet.
func (g *Gateway) Self() string { return g.self.Name }

// Peers implements exchange.Fleet.
func (g *Gateway) Peers() []exchange.Peer { return g.currentRoles().peers }

// Judges implements exchange.Fleet. The nodes that watch the store judge, since they write the verdicts there.
func (g *Gateway) Judges() (others []exchange.Peer, self bool) {
	r := g.currentRoles()
	for _, n := range r.watchers {
		if n.Name != g.self.Name {
			others = append(others, exchange.Peer{Name: n.Name, Addr: n.Addr, Domain: n.FailureDomain})
		}
	}
	return others, r.watcher || len(r.watchers) == 0
}

// Rank implements exchange.Fleet.
func (g *Gateway) Rank() (nodes, rank int) { return g.fleet.View().Sharers(g.self.Name) }

// Sources implements mirror.Peers. A node follows the configured peers while it has no view of the fleet.
func (g *Gateway) Sources() (follow []netip.AddrPort, watcher bool) {
	r := g.currentRoles()
	if len(r.view.Nodes) == 0 {
		seeds := g.otherSeeds()
		return seeds[:min(len(seeds), mirror.MaxSources)], false
	}
	return r.follow, r.watcher
}

// Follower implements mirror.Peers.
func (g *Gateway) Follower(name string) mirror.Follower {
	nodes := g.fleet.View().Nodes
	i, n, older := membership.MirrorSourceIndex(nodes, name, g.self.Name, g.takesTurns)
	return mirror.Follower{Index: i, Sources: n, Older: older, Serves: membership.ServesMirrors(nodes, name)}
}

// takesTurns reports whether a node sends large values to nodes of older builds by turns. It reads the node's own record: the list of the fleet
// may have passed a node of an older build, which drops what it does not know.
func (g *Gateway) takesTurns(name string) bool {
	entry, ok := g.mirror.Get(fleet.RecordKey(name))
	if !ok {
		return true
	}
	takesTurns, err := fleet.TakesTurns(entry)
	if err != nil {
		event.Log(g.log, event.BadMemberRecord, event.Fields{"error": err.Error()})
	}
	return takesTurns
}

// detourDirectory implements detour.Directory.
type detourDirectory struct{ *Gateway }

// Carriers implements detour.Directory.
func (d detourDirectory) Carriers() []detour.Carrier { return d.currentRoles().carriers }

// ServerAt implements detour.Directory.
func (d detourDirectory) ServerAt(addr netip.AddrPort) (string, bool) { return d.rt.ServerAt(addr) }

// ServerAddr implements detour.Directory.
func (d detourDirectory) ServerAddr(id string) (netip.AddrPort, bool) { return d.rt.ServerAddr(id) }

// Others implements mirror.Peers.
func (g *Gateway) Others() []netip.AddrPort {
	r := g.currentRoles()
	if len(r.view.Nodes) == 0 {
		return g.otherSeeds()
	}
	return r.others
}

// otherSeeds returns the configured peers, without this node.
func (g *Gateway) otherSeeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, addr := range g.cfg.Node.Peers {
		if addr != g.self.Addr {
			seeds = append(seeds, addr)
		}
	}
	return seeds
}

package serve

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/entry"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/route"
	"ebonyferry/internal/core/versions"
	"ebonyferry/internal/run/exchange"
	"ebonyferry/internal/run/mirror"
)

// This file defines what a gateway learns from a platform's store, and what it tells its parts of the fleet.

// Fact is what one entry of the store says: a ConfigFact, a ServerFact, a ServerRemovedFact,
// an EvacuationFact, a RolloutFact or a RolloutStateFact.
type Fact interface{ fact() }

// ConfigFact puts a config in force.
type ConfigFact struct{ Config *route.Config }

// ServerFact is the registration of a backend server.
type ServerFact struct{ Server backend.Server }

// ServerRemovedFact says that the registration of a backend server has gone.
type ServerRemovedFact struct{ ID string }

// EvacuationFact takes the servers of a failure domain out of new work, or back.
type EvacuationFact struct {
	Domain string
	On     bool
}

// RolloutFact is the operators' order of a new version, or its end.
type RolloutFact struct {
	Order versions.Order // only the service when On is false
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

// Applies changes of the store in order.
func (g *Gateway) apply(b mirror.Batch) {
	now := time.Now()
	var facts []Fact
	for _, c := range b.Changes {
		fact, err := g.platform.DecodeFact(c.Key, c.Value, c.Deleted, now)
		switch {
		case err != nil:
			event.Log(g.log, event.EntryUnreadable, event.Fields{"key": c.Key, "revision": c.Revision, "cause": err.Error()})
		case fact != nil:
			facts = append(facts, fact)
		}
	}
	if len(facts) == 0 {
		return
	}
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
			g.applyToPool(p, f, b.AfterOutage, now)
		}
	})
}

func (g *Gateway) applyToPool(p *backend.Pool, f Fact, afterOutage bool, now time.Time) {
	switch f := f.(type) {
	case ServerFact:
		p.Put(f.Server)
		event.Log(g.log, event.ServerListed, event.Fields{
			"server": f.Server.ID, "service": f.Server.Service, "domain": f.Server.Domain, "addr": f.Server.Addr.String(),
			"draining": f.Server.Draining, "coldMs": max(0, f.Server.ColdUntil.Sub(now).Milliseconds()),
		})
	case ServerRemovedFact:
		if afterOutage {
			p.Expire(f.ID, now)
		} else {
			p.Remove(f.ID)
		}
		event.Log(g.log, event.ServerGone, event.Fields{"server": f.ID, "lapsed": afterOutage})
	case EvacuationFact:
		p.SetEvacuated(f.Domain, f.On)
		event.Log(g.log, event.DomainEvacuated, event.Fields{"domain": f.Domain, "on": f.On})
	}
}

// Entries implements EntryList.
func (g *Gateway) Entries(region, _ string) ([]netip.AddrPort, time.Duration) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	q := entry.Query{Region: region, Self: g.self, SelfCanServe: g.rt.Ready()}
	return entry.Choose(g.fleet.View(), nil, q, rng), g.cfg.Bounds.EntryTTL.Duration
}

// roles are what the nodes of one view are to a gateway. They change only with the view.
type roles struct {
	view     *membership.View
	peers    []exchange.Peer   // all but this node
	watchers []membership.Node // of the store, in an order that all nodes agree on
}

// Returns the roles in the fleet's view. They are asked for with each request and message, and ranking the nodes of
// all failure domains takes longer than either.
func (g *Gateway) currentRoles() *roles {
	view := g.fleet.View()
	if r := g.roles.Load(); r != nil && r.view == view {
		return r
	}
	first := firstRelays(view.Nodes)
	r := &roles{view: view}
	for _, n := range view.Nodes {
		if n.Name != g.self.Name {
			hub := first[n.FailureDomain].Name == n.Name
			r.peers = append(r.peers, exchange.Peer{Name: n.Name, Addr: n.Addr, Domain: n.FailureDomain, Hub: hub})
		}
	}
	watchers := membership.Sources(slices.Collect(maps.Values(first)), "")
	r.watchers = watchers[:min(maxWatchers, len(watchers))]
	g.roles.Store(r)
	return r
}

// Peers implements exchange.Fleet.
func (g *Gateway) Peers() []exchange.Peer { return g.currentRoles().peers }

// Returns the first relay of each failure domain.
func firstRelays(nodes []membership.Node) map[string]membership.Node {
	first := make(map[string]membership.Node)
	for _, n := range nodes {
		if _, ok := first[n.FailureDomain]; ok {
			continue
		}
		if relays := membership.Relays(nodes, n.FailureDomain); len(relays) > 0 {
			first[n.FailureDomain] = relays[0]
		}
	}
	return first
}

// Rank implements exchange.Fleet.
func (g *Gateway) Rank() (nodes, rank int) { return g.fleet.View().Place(g.self.Name) }

// maxWatchers is how many nodes of the fleet watch the store, each in another failure domain. Calls to the store are
// priced, and a node that loses both watches it itself.
const maxWatchers = 2

// Sources implements mirror.Peers: a node follows the watchers of the fleet.
func (g *Gateway) Sources() (follow []netip.AddrPort, watcher bool) {
	watchers := g.currentRoles().watchers
	for _, n := range watchers {
		if n.Name == g.self.Name {
			watcher = true
		} else {
			follow = append(follow, n.Addr)
		}
	}
	if len(watchers) == 0 {
		return g.otherSeeds(), true
	}
	return follow, watcher
}

// Returns the configured peers, for a node that knows no other yet.
func (g *Gateway) otherSeeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, addr := range g.cfg.Node.Peers {
		if addr != g.self.Addr && len(seeds) < 2 {
			seeds = append(seeds, addr)
		}
	}
	return seeds
}

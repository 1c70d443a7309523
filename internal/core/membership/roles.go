// This file defines which nodes watch the store for the others, which probe each other, and which confirm that a
// node is unreachable. The choices are functions of a list of nodes, so nodes with the same list agree.

package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// RelaysPerDomain is how many nodes of a failure domain watch the store.
	RelaysPerDomain = 3
	// ProbersPerNode is how many nodes of the same failure domain probe each node.
	ProbersPerNode = 2
	// ConfirmersPerSuspect is how many nodes are asked before a node counts as unreachable.
	ConfirmersPerSuspect = 3
	// maxCapacity exceeds the capacity of any VM.
	maxCapacity = 1 << 20
)

// Relays returns the nodes of a failure domain that watch the store, best first: nodes on VMs with the largest
// capacity come first, since other nodes follow them. Draining nodes are chosen only when others are missing.
func Relays(nodes []Node, domain string) []Node {
	return pick(nodes, RelaysPerDomain, func(n Node) (rank, bool) {
		return rank{tier: boolRank(n.Draining)*maxCapacity - n.Capacity, hash: xxhash.Sum64String(n.Name)}, n.FailureDomain == domain
	})
}

// Sources returns the relays that a node follows, in order of preference. Followers spread evenly over the relays.
func Sources(relays []Node, follower string) []Node {
	return pick(relays, len(relays), func(n Node) (rank, bool) {
		return rank{hash: xxhash.Sum64String(n.Name + "/" + follower)}, n.Name != follower
	})
}

const (
	// maxStoreWatchers is the number of nodes that watch the store's data for all others, each in another failure domain.
	// It is low since each call to the store has a price.
	maxStoreWatchers = 2
	// maxFlatNodes is the size of the largest fleet in which every node follows the watchers. In a larger one the watchers
	// are followed by two relays of each failure domain, and those by the other nodes of their domain, so that what a node
	// sends grows with its failure domain and not with the fleet.
	maxFlatNodes = 16
	// mirrorRelays is the number of relays of a failure domain that follow the watchers.
	mirrorRelays = 2
)

// FirstRelays returns the first relay of each failure domain.
func FirstRelays(nodes []Node) map[string]Node {
	first := make(map[string]Node)
	for _, n := range nodes {
		if _, ok := first[n.FailureDomain]; ok {
			continue
		}
		if relays := Relays(nodes, n.FailureDomain); len(relays) > 0 {
			first[n.FailureDomain] = relays[0]
		}
	}
	return first
}

// StoreWatchers returns the nodes that watch the store's data for all others, best first.
func StoreWatchers(nodes []Node) []Node {
	watchers := Sources(slices.Collect(maps.Values(FirstRelays(nodes))), "")
	return watchers[:min(maxStoreWatchers, len(watchers))]
}

// MirrorSources returns the nodes from which a node receives the store's data, and whether it watches the store itself for
// others. The first one is preferred for large values; the nodes of a failure domain that follow the same ones begin with either by
// turns. Nodes with the same list of nodes agree on the watchers, and no node follows another in a circle, except that the watchers
// follow each other.
func MirrorSources(nodes []Node, self Node) (follow []Node, watcher bool) {
	watchers := StoreWatchers(nodes)
	relays := Relays(nodes, self.FailureDomain)
	relays = relays[:min(mirrorRelays, len(relays))]
	named := func(n Node) bool { return n.Name == self.Name }
	switch {
	case slices.ContainsFunc(watchers, named):
		return slices.DeleteFunc(watchers, named), true
	case len(nodes) <= maxFlatNodes || len(relays) == 0:
		return byTurns(watchers, nodes, self, func(Node) bool { return true }), false
	case slices.ContainsFunc(relays, named):
		if !named(relays[0]) {
			slices.Reverse(watchers)
		}
		return watchers, false
	}
	return byTurns(relays, nodes, self, func(n Node) bool { return n.FailureDomain == self.FailureDomain }), false
}

// MirrorSourceIndex returns the position of the node named source among the n nodes from which the one named follower receives the store's
// data, and whether another one of them does not send large values by turns. It returns n 0 if source is not one of them. The function
// takesTurns reports whether a node sends them by turns.
func MirrorSourceIndex(nodes []Node, follower, source string, takesTurns func(name string) bool) (i, n int, older bool) {
	at := slices.IndexFunc(nodes, func(n Node) bool { return n.Name == follower })
	if at < 0 {
		return 0, 0, false
	}
	sources, _ := MirrorSources(nodes, nodes[at])
	if i = slices.IndexFunc(sources, func(n Node) bool { return n.Name == source }); i < 0 {
		return 0, 0, false
	}
	older = slices.ContainsFunc(sources, func(n Node) bool { return n.Name != source && !takesTurns(n.Name) })
	return i, len(sources), older
}

// ServesMirrors reports whether others of the nodes receive the store's data from the named one.
func ServesMirrors(nodes []Node, name string) bool {
	isNamed := func(n Node) bool { return n.Name == name }
	if slices.ContainsFunc(StoreWatchers(nodes), isNamed) {
		return true
	}
	i := slices.IndexFunc(nodes, isNamed)
	if i < 0 || len(nodes) <= maxFlatNodes {
		return false
	}
	relays := Relays(nodes, nodes[i].FailureDomain)
	return slices.ContainsFunc(relays[:min(mirrorRelays, len(relays))], isNamed)
}

// byTurns reverses sources for every other one of the nodes that share them.
func byTurns(sources, nodes []Node, self Node, shares func(Node) bool) []Node {
	before := 0
	for _, n := range nodes {
		if n.Name < self.Name && shares(n) {
			before++
		}
	}
	if before%2 == 1 {
		slices.Reverse(sources)
	}
	return sources
}

// ProbeTargets returns the nodes that self probes: its successors on the hash ring of its failure domain.
func ProbeTargets(nodes []Node, self Node) []Node {
	at := xxhash.Sum64String(self.Name)
	return pick(nodes, ProbersPerNode, func(n Node) (rank, bool) {
		// The unsigned difference wraps around, which orders the nodes on a ring.
		distance := xxhash.Sum64String(n.Name) - at
		return rank{hash: distance}, n.FailureDomain == self.FailureDomain && n.Name != self.Name
	})
}

// Confirmers returns the nodes that self asks whether they reach subject: nodes of its failure domain first, then
// of its region, then any.
func Confirmers(nodes []Node, self Node, subject string) []Node {
	return pick(nodes, ConfirmersPerSuspect, func(n Node) (rank, bool) {
		r := rank{hash: xxhash.Sum64String(n.Name + "/" + subject)}
		switch {
		case n.FailureDomain == self.FailureDomain:
			r.tier = 0
		case n.Region == self.Region:
			r.tier = 1
		default:
			r.tier = 2
		}
		return r, n.Name != self.Name && n.Name != subject
	})
}

// rank orders candidates; the lowest comes first.
type rank struct {
	tier int // compared first
	hash uint64
}

// pick returns up to count nodes of the lowest rank. The function rankOf reports false for nodes that are not eligible.
func pick(nodes []Node, count int, rankOf func(Node) (rank, bool)) []Node {
	type candidate struct {
		Node
		rank
	}
	var candidates []candidate
	for _, n := range nodes {
		if r, ok := rankOf(n); ok {
			candidates = append(candidates, candidate{n, r})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.hash, b.hash), byName(a.Node, b.Node))
	})
	picked := make([]Node, 0, count)
	for _, c := range candidates[:min(count, len(candidates))] {
		picked = append(picked, c.Node)
	}
	return picked
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

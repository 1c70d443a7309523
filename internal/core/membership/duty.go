package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// This file defines which nodes watch the store for the others, probe each other and vouch for each other.
// The choices are functions of a list of nodes, so that nodes with the same list agree.

const (
	// RelaysPerDomain is how many nodes of a failure domain watch the store.
	RelaysPerDomain = 3
	// Probers is how many nodes probe each node of their failure domain.
	ProbersPerNode = 2
	// Witnesses is how many nodes are asked before a node counts as unreachable.
	ConfirmersPerSuspect = 3
	// maxCapacity is above the capacity of any VM.
	maxCapacity = 1 << 20
)

// Relays returns the nodes of a failure domain that watch the store, sorted by rank: those on VMs of the largest
// capacity first, since others follow them. Draining nodes are taken only where others are missing.
func Relays(nodes []Node, domain string) []Node {
	return pick(nodes, RelaysPerDomain, func(n Node) (rank, bool) {
		return rank{class: boolRank(n.Draining)*maxCapacity - n.Capacity, hash: xxhash.Sum64String(n.Name)}, n.FailureDomain == domain
	})
}

// Sources returns the relays of a node in the order in which it follows them; the followers spread evenly.
func Sources(relays []Node, follower string) []Node {
	return pick(relays, len(relays), func(n Node) (rank, bool) {
		return rank{hash: xxhash.Sum64String(n.Name + "/" + follower)}, n.Name != follower
	})
}

// Targets returns the nodes that self probes: the next ones on the ring of its failure domain.
func ProbeTargets(nodes []Node, self Node) []Node {
	at := xxhash.Sum64String(self.Name)
	return pick(nodes, ProbersPerNode, func(n Node) (rank, bool) {
		// The difference wraps round, which is what makes the order a ring.
		distance := xxhash.Sum64String(n.Name) - at
		return rank{hash: distance}, n.FailureDomain == self.FailureDomain && n.Name != self.Name
	})
}

// Vouchers returns the nodes that self asks whether they reach subject: of its failure domain first, then of
// its region, then any.
func Confirmers(nodes []Node, self Node, subject string) []Node {
	return pick(nodes, ConfirmersPerSuspect, func(n Node) (rank, bool) {
		r := rank{hash: xxhash.Sum64String(n.Name + "/" + subject)}
		switch {
		case n.FailureDomain == self.FailureDomain:
			r.class = 0
		case n.Region == self.Region:
			r.class = 1
		default:
			r.class = 2
		}
		return r, n.Name != self.Name && n.Name != subject
	})
}

// rank orders candidates; the least comes first.
type rank struct {
	class int
	hash  uint64
}

// Returns the count best of the nodes that the function admits.
func pick(nodes []Node, count int, of func(Node) (rank, bool)) []Node {
	type candidate struct {
		Node
		rank
	}
	var candidates []candidate
	for _, n := range nodes {
		if r, ok := of(n); ok {
			candidates = append(candidates, candidate{n, r})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.hash, b.hash), byName(a.Node, b.Node))
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

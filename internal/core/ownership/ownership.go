// Package ownership decides which node owns a backend server or a ledger partition, and which nodes use a
// backend server.
//
// Both answers are functions of a membership.View alone, so nodes with the same view agree without talking.
// Nodes with different views may name different owners for a while: an Owner is a candidate. It acts only
// while its own lease surely holds (View.HoldsLease), and what it does is fenced in the store by its term or
// by compare-and-swap (see the packages slice and ledger).
//
// Owners are chosen by rendezvous hashing (Thaler and Ravishankar, 1998): a node that leaves moves only what
// it owned, a node that joins takes only what it will own. Subsets use rendezvous hashing with a bound on the
// load of each node (after Mirrokni, Thorup and Zadimoghaddam, 2018).
package ownership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyferry/internal/core/membership"
)

// Kind separates the things that are owned, so that one name has unrelated owners in two kinds.
type Kind string

// The kinds of owned things.
const (
	KindServer    Kind = "server"    // the budget of a backend server
	KindPartition Kind = "partition" // a partition of the ledger
	KindRollout   Kind = "rollout"   // the rollout of a model
	KindSuspects  Kind = "suspects"  // running suspects of crashes on a backend server
)

// AnyRegion lets nodes of every region own a thing.
const AnyRegion = ""

// Owner returns the node that owns the named thing among the live nodes of a region that do not drain. It
// reports false when there is none. It does not allocate.
func Owner(v *membership.View, kind Kind, name, region string) (membership.Node, bool) {
	best, bestWeight := -1, uint64(0)
	thing := thingHash(kind, name)
	for i := range v.Nodes {
		n := &v.Nodes[i]
		if !eligible(n, region) {
			continue
		}
		// Equal weights go to the first by name, since Nodes is sorted.
		if w := weight(thing, n.Name); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	if best < 0 {
		return membership.Node{}, false
	}
	return v.Nodes[best], true
}

// Choose returns the one of the named nodes that owns the named thing, or an empty name when there is none.
func OwnerAmong(nodes []string, kind Kind, name string) string {
	best, bestWeight := "", uint64(0)
	thing := thingHash(kind, name)
	for _, n := range nodes {
		w := weight(thing, n)
		if best == "" || w > bestWeight || w == bestWeight && n < best {
			best, bestWeight = n, w
		}
	}
	return best
}

// OwnedBySelf reports whether the view's own node owns the thing and its lease surely holds at now.
func OwnedBySelf(v *membership.View, kind Kind, name, region string, now time.Time) bool {
	if !v.HoldsLease(now) {
		return false
	}
	n, ok := Owner(v, kind, name, region)
	return ok && n.Name == v.Self
}

func eligible(n *membership.Node, region string) bool {
	return !n.Draining && (region == AnyRegion || n.Region == region)
}

func thingHash(kind Kind, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(kind)) // a Digest never fails
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Returns the rendezvous weight of a node for a thing.
func weight(thing uint64, node string) uint64 {
	return mix(thing ^ xxhash.Sum64String(node))
}

// Spreads the bits of x (the finalizer of SplitMix64, Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

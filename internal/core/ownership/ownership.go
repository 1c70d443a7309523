// Package ownership decides which node owns a resource, such as the budget of a backend server or a ledger partition,
// and which nodes use a backend server.
//
// Both decisions are functions of a membership.View alone, so nodes with the same view agree without communication.
// Nodes with different views may name different owners for a while. The result of Owner is therefore only a candidate:
// it acts only while its own lease is certainly valid (View.HoldsLease), and its writes to the store are fenced by its
// term or by compare-and-swap (see the packages slice and ledger).
//
// Owners are chosen by rendezvous hashing (Thaler and Ravishankar, 1998): when a node leaves, only the resources that
// it owned get another owner, and when a node joins, only the resources that it will own do. Subsets use rendezvous
// hashing with a bound on the load of each node (after Mirrokni, Thorup and Zadimoghaddam, 2018).
package ownership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyferry/internal/core/membership"
)

// Kind is a kind of resource. Resources of the same name but different kinds have unrelated owners.
type Kind string

// The kinds of resources.
const (
	KindServer    Kind = "server"    // the budget of a backend server
	KindPartition Kind = "partition" // a partition of the ledger
	KindRollout   Kind = "rollout"   // the rollout of a model
	KindSuspects  Kind = "suspects"  // running requests suspected of crashing engines, on a backend server
)

// AnyRegion lets nodes of every region own a resource.
const AnyRegion = ""

// Owner returns the node that owns the named resource, among the live nodes of a region that are not draining. It
// reports false if there is none. It does not allocate.
func Owner(v *membership.View, kind Kind, name, region string) (membership.Node, bool) {
	best, bestWeight := -1, uint64(0)
	resource := resourceHash(kind, name)
	for i := range v.Nodes {
		n := &v.Nodes[i]
		if !eligible(n, region) {
			continue
		}
		// The first by name wins among equal weights, since Nodes is sorted.
		if w := weight(resource, n.Name); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	if best < 0 {
		return membership.Node{}, false
	}
	return v.Nodes[best], true
}

// OwnerAmong returns the node that owns the named resource among the given names of nodes. It returns an empty name if
// there are none.
func OwnerAmong(nodes []string, kind Kind, name string) string {
	best, bestWeight := "", uint64(0)
	resource := resourceHash(kind, name)
	for _, n := range nodes {
		w := weight(resource, n)
		if best == "" || w > bestWeight || w == bestWeight && n < best {
			best, bestWeight = n, w
		}
	}
	return best
}

// OwnedBySelf reports whether the view's own node owns the resource and its lease is certainly valid at now.
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

func resourceHash(kind Kind, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(kind)) // a Digest never returns an error
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// weight returns the rendezvous weight of a node for a resource hash.
func weight(resource uint64, node string) uint64 {
	return mix(resource ^ xxhash.Sum64String(node))
}

// mix spreads the bits of x (the finalizer of SplitMix64, Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

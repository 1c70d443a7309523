// Package entry decides which nodes callers should connect to.
//
// Callers have no balancer before them: they ask any node, keep the answer for its time to live, and connect
// themselves. An answer lists nodes near the caller first, in an order that spreads callers by load, and a few
// farther ones in case the near ones are lost together.
package entry

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
)

// TTL is how long callers keep an answer. A draining node serves late callers for that long.
const TTL = 5 * time.Second

const (
	maxNear     = 6  // addresses in the caller's region
	maxFar      = 2  // addresses elsewhere
	fullLoad    = 90 // percent, from which on a node is listed after the others
	minHeadroom = 5  // percent; what counts as room at least, so that every node has a chance
)

// Query says who asks.
type Query struct {
	Region string          // of the caller; the answering node's own where it is empty or has no node
	Self   membership.Node // the answering node
	Able   bool            // the answering node can serve
}

// Choose returns addresses for a caller, best first. It is empty when no node can serve. The rng decides among
// equals.
func Choose(v *membership.View, in *bundle.InForce, q Query, rng *rand.Rand) []netip.AddrPort {
	near, far := split(candidates(v, in, q), region(v, q))
	near = order(near, v, rng)
	far = order(far, v, rng)
	var addrs []netip.AddrPort
	for _, n := range near[:min(maxNear, len(near))] {
		addrs = append(addrs, n.CallerAddr)
	}
	for _, n := range far[:min(maxFar, len(far))] {
		addrs = append(addrs, n.CallerAddr)
	}
	return addrs
}

// Returns the nodes that take new callers.
func candidates(v *membership.View, in *bundle.InForce, q Query) []membership.Node {
	var nodes []membership.Node
	listed := false
	for _, n := range v.Nodes {
		if n.Name == q.Self.Name {
			listed = true
			if !q.Able {
				continue
			}
		}
		if takesCallers(n, v, in) {
			nodes = append(nodes, n)
		}
	}
	// Without the store a node's lease runs out; it serves callers all the same.
	if !listed && q.Able && !v.IsLeaving(q.Self.Name) && takesCallers(q.Self, v, in) {
		nodes = append(nodes, q.Self)
	}
	return nodes
}

func takesCallers(n membership.Node, v *membership.View, in *bundle.InForce) bool {
	if n.Draining || !n.CallerAddr.IsValid() || v.IsUnable(n.Name) {
		return false
	}
	return in == nil || in.UsableVM(n.Name, n.FailureDomain)
}

// Returns the region that counts as near.
func region(v *membership.View, q Query) string {
	for _, n := range v.Nodes {
		if n.Region == q.Region {
			return q.Region
		}
	}
	return q.Self.Region
}

func split(nodes []membership.Node, region string) (near, far []membership.Node) {
	for _, n := range nodes {
		if n.Region == region {
			near = append(near, n)
		} else {
			far = append(far, n)
		}
	}
	return near, far
}

// Orders nodes by drawing them one by one with chances in proportion to their room. Full ones come last.
func order(nodes []membership.Node, v *membership.View, rng *rand.Rand) []membership.Node {
	var open, full []membership.Node
	for _, n := range nodes {
		if v.Loads[n.Name] >= fullLoad {
			full = append(full, n)
		} else {
			open = append(open, n)
		}
	}
	return append(draw(open, v, rng), draw(full, v, rng)...)
}

func draw(nodes []membership.Node, v *membership.View, rng *rand.Rand) []membership.Node {
	total := 0
	for _, n := range nodes {
		total += room(n, v)
	}
	drawn := make([]membership.Node, 0, len(nodes))
	for len(nodes) > 0 {
		at := rng.IntN(total)
		i := 0
		for at >= room(nodes[i], v) {
			at -= room(nodes[i], v)
			i++
		}
		total -= room(nodes[i], v)
		drawn = append(drawn, nodes[i])
		nodes[i] = nodes[len(nodes)-1]
		nodes = nodes[:len(nodes)-1]
	}
	return drawn
}

// Returns a node's room in percent. A node whose load is not known counts as an average one of those known.
func room(n membership.Node, v *membership.View) int {
	load, known := v.Loads[n.Name]
	if !known {
		load = meanLoad(v)
	}
	return max(minHeadroom, 100-load)
}

func meanLoad(v *membership.View) int {
	if len(v.Loads) == 0 {
		return 0
	}
	sum := 0
	for _, load := range v.Loads {
		sum += load
	}
	return sum / len(v.Loads)
}

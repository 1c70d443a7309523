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
	Region       string          // of the caller; the answering node's own where it is empty or has no node
	Self         membership.Node // the answering node
	SelfCanServe bool            // the answering node can serve
}

// Choose returns addresses for a caller, best first. It is empty when no node can serve. The rng decides among
// equals.
func Choose(v *membership.View, in *bundle.InForce, q Query, rng *rand.Rand) []netip.AddrPort {
	near, far := candidates(v, in, q)
	addrs := make([]netip.AddrPort, 0, maxNear+maxFar)
	addrs = near.draw(addrs, maxNear, rng)
	return far.draw(addrs, maxFar, rng)
}

// candidate is a node that takes new callers.
type candidate struct {
	addr netip.AddrPort
	room int // in percent of what the node bears, times the capacity of its VM
}

// group holds candidates of one distance. Full ones come last.
type group struct {
	open, full []candidate
}

// Returns the nodes that take new callers, near and far.
func candidates(v *membership.View, in *bundle.InForce, q Query) (near, far group) {
	region := nearRegion(v, q)
	mean := meanLoad(v)
	add := func(n *membership.Node) {
		if !takesCallers(n, v, in) {
			return
		}
		if n.Region == region {
			near.add(n, v, mean)
		} else {
			far.add(n, v, mean)
		}
	}
	listed := false
	for i := range v.Nodes {
		n := &v.Nodes[i]
		if n.Name == q.Self.Name {
			listed = true
			if !q.SelfCanServe {
				continue
			}
		}
		add(n)
	}
	// Without the store a node's lease runs out; it serves callers all the same.
	if !listed && q.SelfCanServe && !v.IsLeaving(q.Self.Name) {
		add(&q.Self)
	}
	return near, far
}

func (g *group) add(n *membership.Node, v *membership.View, mean int) {
	load, known := v.Loads[n.Name]
	if !known {
		load = mean
	}
	c := candidate{addr: n.CallerAddr, room: max(minHeadroom, 100-load) * max(1, n.Capacity)}
	if load >= fullLoad {
		g.full = append(g.full, c)
	} else {
		g.open = append(g.open, c)
	}
}

func takesCallers(n *membership.Node, v *membership.View, in *bundle.InForce) bool {
	if n.Draining || !n.CallerAddr.IsValid() || v.IsUnable(n.Name) {
		return false
	}
	return in == nil || in.UsableVM(n.Name, n.FailureDomain)
}

// Returns the region that counts as near.
func nearRegion(v *membership.View, q Query) string {
	for i := range v.Nodes {
		if v.Nodes[i].Region == q.Region {
			return q.Region
		}
	}
	return q.Self.Region
}

// Appends at most limit addresses, drawn one by one with chances in proportion to their room.
func (g *group) draw(addrs []netip.AddrPort, limit int, rng *rand.Rand) []netip.AddrPort {
	wanted := len(addrs) + limit
	addrs = draw(addrs, g.open, wanted, rng)
	return draw(addrs, g.full, wanted, rng)
}

func draw(addrs []netip.AddrPort, from []candidate, wanted int, rng *rand.Rand) []netip.AddrPort {
	total := 0
	for _, c := range from {
		total += c.room
	}
	for len(from) > 0 && len(addrs) < wanted {
		at := rng.IntN(total)
		i := 0
		for at >= from[i].room {
			at -= from[i].room
			i++
		}
		total -= from[i].room
		addrs = append(addrs, from[i].addr)
		from[i] = from[len(from)-1]
		from = from[:len(from)-1]
	}
	return addrs
}

// Returns the mean of the known loads, which stands for one that is not known.
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

// Package entry decides which nodes callers should connect to.
//
// There is no load balancer in front of the nodes. A caller asks any node for addresses, caches the answer for its
// time to live, and connects directly. An answer lists nodes in the caller's region first, in an order that spreads
// callers by load. A few nodes of other regions follow, in case the near ones fail together.
package entry

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
)

// TTL is how long callers cache an answer. A draining node still serves callers with an earlier answer for that long.
const TTL = 5 * time.Second

const (
	maxNear     = 6  // addresses in the caller's region
	maxFar      = 2  // addresses elsewhere
	fullLoad    = 90 // percent; from this load on a node is listed after the others
	minHeadroom = 5  // percent; lower bound of the headroom, so that every node has a chance
)

// Query identifies the caller's region and the answering node.
type Query struct {
	Region       string          // of the caller; when it is empty or has no node, the answering node's region applies
	Self         membership.Node // the answering node
	SelfCanServe bool            // the answering node can serve
}

// Choose returns addresses for a caller, best first. The result is empty when no node can serve. Near nodes come first.
// Near and far nodes are each in random order, weighted by headroom, with full nodes last.
func Choose(v *membership.View, in *bundle.InForce, q Query, rng *rand.Rand) []netip.AddrPort {
	near, far := candidates(v, in, q)
	addrs := make([]netip.AddrPort, 0, maxNear+maxFar)
	addrs = near.draw(addrs, maxNear, rng)
	return far.draw(addrs, maxFar, rng)
}

// candidate is a node that accepts new callers.
type candidate struct {
	addr     netip.AddrPort
	headroom int // free percent of the node, times the capacity of its VM
}

// group holds the near candidates, or the far ones. Full ones are listed last.
type group struct {
	open, full []candidate
}

// candidates returns the nodes that accept new callers, near and far.
func candidates(v *membership.View, in *bundle.InForce, q Query) (near, far group) {
	region := nearRegion(v, q)
	mean := meanLoad(v)
	add := func(n *membership.Node) {
		if !acceptsCallers(n, v, in) {
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
	// During a store outage a node's lease expires, but the node still serves callers.
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
	c := candidate{addr: n.CallerAddr, headroom: max(minHeadroom, 100-load) * max(1, n.Capacity)}
	if load >= fullLoad {
		g.full = append(g.full, c)
	} else {
		g.open = append(g.open, c)
	}
}

func acceptsCallers(n *membership.Node, v *membership.View, in *bundle.InForce) bool {
	if n.Draining || !n.CallerAddr.IsValid() || v.IsUnable(n.Name) {
		return false
	}
	return in == nil || in.UsableVM(n.Name, n.FailureDomain)
}

// nearRegion returns the region that counts as near.
func nearRegion(v *membership.View, q Query) string {
	for i := range v.Nodes {
		if v.Nodes[i].Region == q.Region {
			return q.Region
		}
	}
	return q.Self.Region
}

// draw appends at most limit addresses, open nodes first.
func (g *group) draw(addrs []netip.AddrPort, limit int, rng *rand.Rand) []netip.AddrPort {
	maxLen := len(addrs) + limit
	addrs = draw(addrs, g.open, maxLen, rng)
	return draw(addrs, g.full, maxLen, rng)
}

// draw appends addresses until there are maxLen. It draws each at random with a probability in proportion to its
// headroom.
func draw(addrs []netip.AddrPort, from []candidate, maxLen int, rng *rand.Rand) []netip.AddrPort {
	total := 0
	for _, c := range from {
		total += c.headroom
	}
	for len(from) > 0 && len(addrs) < maxLen {
		point := rng.IntN(total)
		i := 0
		for point >= from[i].headroom {
			point -= from[i].headroom
			i++
		}
		total -= from[i].headroom
		addrs = append(addrs, from[i].addr)
		from[i] = from[len(from)-1]
		from = from[:len(from)-1]
	}
	return addrs
}

// meanLoad returns the mean of the known loads. It substitutes for an unknown load.
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

// This file defines which nodes use a backend server.

package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ebonyferry/internal/core/membership"
)

// Server describes a backend server to NewSubsets.
type Server struct {
	ID     string
	Region string
}

// Subsets maps backend servers to the nodes that use them, and back. It is immutable.
type Subsets struct {
	nodes   map[string][]string // by server ID, sorted by node name
	servers map[string][]string // by node name, sorted by server ID
}

// Nodes returns the names of the nodes that use a server, sorted. The caller must not modify the slice.
func (s *Subsets) Nodes(server string) []string { return s.nodes[server] }

// Servers returns the IDs of the servers that a node uses, sorted. The caller must not modify the slice.
func (s *Subsets) Servers(node string) []string { return s.servers[node] }

// Uses reports whether a node uses a server.
func (s *Subsets) Uses(node, server string) bool {
	_, found := slices.BinarySearch(s.nodes[server], node)
	return found
}

// NewSubsets assigns each server perServer nodes of its own region, or all of them if there are fewer.
//
// Servers choose nodes in order of their IDs, by rendezvous weight among the nodes whose load is below an even share of
// the servers, rounded up. When too few such nodes are left for one of the last servers, it takes the least loaded of
// the others, which then exceed the even share. Draining nodes get no servers.
func NewSubsets(v *membership.View, servers []Server, perServer int) *Subsets {
	s := &Subsets{
		nodes:   make(map[string][]string, len(servers)),
		servers: make(map[string][]string, len(v.Nodes)),
	}
	byRegion := make(map[string][]Server)
	for _, server := range servers {
		byRegion[server.Region] = append(byRegion[server.Region], server)
	}
	for region, list := range byRegion {
		slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
		newAssigner(v, region, len(list), perServer).assign(s, list)
	}
	for _, list := range s.servers {
		slices.Sort(list)
	}
	return s
}

// candidate is a node that servers may choose.
type candidate struct {
	name   string
	hash   uint64
	load   int    // servers assigned so far
	weight uint64 // for the server that is choosing
}

// assigner assigns nodes to the servers of one region.
type assigner struct {
	nodes     []candidate
	perServer int // at most len(nodes)
	maxLoad   int // an even share of the servers, rounded up
}

func newAssigner(v *membership.View, region string, servers, perServer int) *assigner {
	a := &assigner{}
	for i := range v.Nodes {
		if n := &v.Nodes[i]; eligible(n, region) {
			a.nodes = append(a.nodes, candidate{name: n.Name, hash: xxhash.Sum64String(n.Name)})
		}
	}
	a.perServer = min(perServer, len(a.nodes))
	if len(a.nodes) > 0 {
		a.maxLoad = (servers*a.perServer + len(a.nodes) - 1) / len(a.nodes)
	}
	return a
}

func (a *assigner) assign(s *Subsets, servers []Server) {
	for _, server := range servers {
		resource := resourceHash(KindServer, server.ID)
		for i := range a.nodes {
			a.nodes[i].weight = mix(resource ^ a.nodes[i].hash)
		}
		names := make([]string, 0, a.perServer)
		for range a.perServer {
			n := a.best(names)
			n.load++
			names = append(names, n.name)
			s.servers[n.name] = append(s.servers[n.name], server.ID)
		}
		slices.Sort(names)
		s.nodes[server.ID] = names
	}
}

// best returns the node of the highest weight that is not yet chosen and has a load below maxLoad. If no such node is
// left, it returns the least loaded one.
func (a *assigner) best(chosen []string) *candidate {
	var best, least *candidate
	for i := range a.nodes {
		n := &a.nodes[i]
		if slices.Contains(chosen, n.name) {
			continue
		}
		if least == nil || n.load < least.load {
			least = n
		}
		if n.load < a.maxLoad && (best == nil || n.weight > best.weight) {
			best = n
		}
	}
	if best == nil {
		return least
	}
	return best
}

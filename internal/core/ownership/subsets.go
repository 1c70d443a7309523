package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ebonyferry/internal/core/membership"
)

// This file defines which nodes use a backend server.

// Server is what subsets need to know of a backend server.
type Server struct {
	ID     string
	Region string
}

// Subsets says which nodes use which backend servers. It is immutable.
type Subsets struct {
	nodes   map[string][]string // by server ID, sorted by node name
	servers map[string][]string // by node name, sorted by server ID
}

// Nodes returns the names of the nodes that use a server, sorted. The slice is shared and must not be changed.
func (s *Subsets) Nodes(server string) []string { return s.nodes[server] }

// Servers returns the IDs of the servers that a node uses, sorted. The slice is shared and must not be changed.
func (s *Subsets) Servers(node string) []string { return s.servers[node] }

// Uses reports whether a node uses a server.
func (s *Subsets) Uses(node, server string) bool {
	_, found := slices.BinarySearch(s.nodes[server], node)
	return found
}

// NewSubsets gives each server perServer nodes of its own region, or all of them when there are fewer, so
// that no node has more than its even part of the servers rounded up, and none without a server while
// another has two more.
//
// Servers choose in order of ID by rendezvous weight among the nodes that are not full. Draining nodes keep
// no servers.
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
		newRegion(v, region, len(list), perServer).assign(s, list)
	}
	for _, list := range s.servers {
		slices.Sort(list)
	}
	return s
}

// candidate is a node while subsets are chosen.
type candidate struct {
	name   string
	hash   uint64
	load   int    // servers given so far
	weight uint64 // for the server being placed
}

// region chooses the subsets of one region.
type region struct {
	nodes     []candidate
	perServer int // at most len(nodes)
	bound     int // most servers that a node is given
}

func newRegion(v *membership.View, name string, servers, perServer int) *region {
	r := &region{}
	for i := range v.Nodes {
		if n := &v.Nodes[i]; eligible(n, name) {
			r.nodes = append(r.nodes, candidate{name: n.Name, hash: xxhash.Sum64String(n.Name)})
		}
	}
	r.perServer = min(perServer, len(r.nodes))
	if len(r.nodes) > 0 {
		r.bound = (servers*r.perServer + len(r.nodes) - 1) / len(r.nodes)
	}
	return r
}

func (r *region) assign(s *Subsets, servers []Server) {
	for _, server := range servers {
		thing := thingHash(KindServer, server.ID)
		for i := range r.nodes {
			r.nodes[i].weight = mix(thing ^ r.nodes[i].hash)
		}
		names := make([]string, 0, r.perServer)
		for range r.perServer {
			n := r.best(names)
			n.load++
			names = append(names, n.name)
			s.servers[n.name] = append(s.servers[n.name], server.ID)
		}
		slices.Sort(names)
		s.nodes[server.ID] = names
	}
}

// Returns the node of highest weight that is not full and not chosen, or the least loaded one when only full
// nodes are left.
func (r *region) best(chosen []string) *candidate {
	var best, least *candidate
	for i := range r.nodes {
		n := &r.nodes[i]
		if slices.Contains(chosen, n.name) {
			continue
		}
		if least == nil || n.load < least.load {
			least = n
		}
		if n.load < r.bound && (best == nil || n.weight > best.weight) {
			best = n
		}
	}
	if best == nil {
		return least
	}
	return best
}

// Package membership decides which nodes are live.
//
// A node holds a lease in the store under its name, with an epoch that grows at every start, and exchanges
// heartbeats with the nodes of its failure domain. A View is the outcome: an immutable list that every other
// decision (ownership, entry addresses, relays) takes as its input.
package membership

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Node is one live node of the fleet.
type Node struct {
	Name          string         `json:"name"`
	Epoch         uint64         `json:"epoch"`      // grows at each registration: at a start, and after a lapsed lease
	Addr          netip.AddrPort `json:"addr"`       // where other nodes reach it
	CallerAddr    netip.AddrPort `json:"callerAddr"` // where callers reach it
	Region        string         `json:"region"`
	FailureDomain string         `json:"failureDomain"`
	Draining      bool           `json:"draining,omitempty"` // takes no new callers
	Capacity      int            `json:"capacity,omitempty"` // of the VM relative to others, in percent of a core; 0 is not known
}

// View is the fleet as one node sees it. It is immutable.
type View struct {
	Self  string // name of the node whose view this is
	Nodes []Node // sorted by Name, Self included while its lease holds
	// Unreachable are nodes that heartbeats show dead while the store's list still holds them. They are not in
	// Nodes, get no new work, and may still act under a lease until it lapses. Sorted by Name.
	Unreachable []Node
	// Leaving names the VMs that the platform's list says will go, both nodes and backend servers. Sorted.
	Leaving []string
	// Unable names the live nodes that say they cannot serve. Sorted. Those of other failure domains appear a
	// few seconds later.
	Unable []string
	// Loads holds the load of nodes of the own failure domain in percent, a few seconds old, as far as known.
	Loads map[string]int
	// StoreFresh is false while the store has not confirmed the list for longer than a lease.
	StoreFresh bool
	// SelfLeased is true while the node's own lease surely holds, by its own monotonic clock with a margin, as
	// of the time the view was made. A holder asks HoldsLease before each use instead.
	SelfLeased bool
	// LeaseEnd is the instant until which the own lease surely holds unless it is renewed.
	LeaseEnd time.Time
	// SelfEpoch is the epoch of the node's own registration, also while Nodes lags behind it. It changes when
	// the node registers anew after its lease lapsed.
	SelfEpoch uint64
}

// HoldsLease reports whether the node's own lease surely holds at now. A process that was paused asks with a
// time taken after it woke.
func (v *View) HoldsLease(now time.Time) bool {
	return v.SelfLeased && now.Before(v.LeaseEnd)
}

// IsLeaving reports whether the platform's list says that the VM of this name will go.
func (v *View) IsLeaving(name string) bool {
	_, ok := slices.BinarySearch(v.Leaving, name)
	return ok
}

// IsUnable reports whether the node of this name says that it cannot serve.
func (v *View) IsUnable(name string) bool {
	_, ok := slices.BinarySearch(v.Unable, name)
	return ok
}

// Place returns the number of live nodes, at least 1, and the place of the named one among them, from 0; that of a node
// which is not among them is 0.
func (v *View) Place(name string) (nodes, rank int) {
	for i, n := range v.Nodes {
		if n.Name == name {
			rank = i
		}
	}
	return max(1, len(v.Nodes)), rank
}

// Node returns the live node of that name.
func (v *View) Node(name string) (Node, bool) {
	i, ok := slices.BinarySearchFunc(v.Nodes, name, func(n Node, name string) int {
		return strings.Compare(n.Name, name)
	})
	if !ok {
		return Node{}, false
	}
	return v.Nodes[i], true
}

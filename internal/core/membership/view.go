// Package membership decides which nodes of the fleet are live.
//
// Each node registers in the store: it writes a member entry under its name, attached to a lease. The registration has
// an epoch, which grows each time the node registers. A name with an epoch is an Incarnation of the node. Nodes
// also exchange heartbeats with the nodes of their failure domain, which detect a failed node before its lease expires.
//
// State collects the store's list of members, the results of heartbeats and the platform's list of VMs, and makes a
// View of them: an immutable list of live and unreachable nodes. Every other decision, such as ownership, entry
// addresses and relays, takes a View as its input. The functions Relays, Sources, ProbeTargets and Confirmers assign
// nodes their roles in the exchange.
package membership

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Node is a registered node of the fleet.
type Node struct {
	Name          string         `json:"name"`
	Epoch         uint64         `json:"epoch"`      // grows at each registration: at start, and after the lease expired
	Addr          netip.AddrPort `json:"addr"`       // where other nodes reach it
	CallerAddr    netip.AddrPort `json:"callerAddr"` // where callers reach it
	Region        string         `json:"region"`
	FailureDomain string         `json:"failureDomain"`
	Draining      bool           `json:"draining,omitempty"` // accepts no new callers
	Capacity      int            `json:"capacity,omitempty"` // of the VM relative to others, in percent of a core; 0 if unknown
}

// View is the fleet as one node sees it. It is immutable.
type View struct {
	Self  string // name of the node whose view this is
	Nodes []Node // sorted by Name; includes Self while its lease is valid
	// Unreachable are nodes that failed heartbeats while the store's list still has them. They are not in Nodes
	// and get no new work, but may still act under their lease until it expires. Sorted by Name.
	Unreachable []Node
	// Leaving names the VMs that the platform's list marks for termination, nodes and backend servers alike. Sorted.
	Leaving []string
	// Unable names the live nodes that report that they cannot serve. Sorted. Nodes of other failure domains
	// appear a few seconds later.
	Unable []string
	// Loads is the load of nodes of the own failure domain in percent, by node name. It is a few seconds old, and
	// lacks nodes whose load is unknown.
	Loads map[string]int
	// StoreFresh is false if the store has not confirmed the list for longer than a lease.
	StoreFresh bool
	// SelfLeased reports whether the node's own lease was valid when the view was made, by the node's monotonic
	// clock and with a safety margin. Code that acts under the lease calls HoldsLease before each use instead.
	SelfLeased bool
	// LeaseEnd is the time until which the own lease is valid at least; a renewal extends it.
	LeaseEnd time.Time
	// SelfEpoch is the epoch of the node's own registration, also while Nodes lags behind it. It changes when
	// the node registers again after its lease expired.
	SelfEpoch uint64
}

// HoldsLease reports whether the node's own lease is certainly valid at now. The caller reads now right before it
// acts, so that a pause of the process is noticed.
func (v *View) HoldsLease(now time.Time) bool {
	return v.SelfLeased && now.Before(v.LeaseEnd)
}

// IsLeaving reports whether the platform's list marks the VM of this name for termination.
func (v *View) IsLeaving(name string) bool {
	_, ok := slices.BinarySearch(v.Leaving, name)
	return ok
}

// IsUnable reports whether the node of this name reports that it cannot serve.
func (v *View) IsUnable(name string) bool {
	_, ok := slices.BinarySearch(v.Unable, name)
	return ok
}

// Sharers returns the number of nodes that may act, which share bounds on their sum, and the rank of the named node among them, counted
// from 0. Unreachable nodes count, since they may act under their lease. The number is 0 if the named node does not know itself as one of
// them, because it has just started.
func (v *View) Sharers(name string) (nodes, rank int) {
	known := false
	for _, n := range slices.Concat(v.Nodes, v.Unreachable) {
		known = known || n.Name == name
		if n.Name < name {
			rank++
		}
	}
	if !known {
		return 0, 0
	}
	return len(v.Nodes) + len(v.Unreachable), rank
}

// Rank returns the number of live nodes, at least 1, and the rank of the named node among them, counted from 0. The
// rank of a node that is not live is 0.
func (v *View) Rank(name string) (nodes, rank int) {
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

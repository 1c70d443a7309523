// Package membership decides which nodes are live.
//
// A node holds a lease in the store under its name, with an epoch that grows at every start, and exchanges
// heartbeats with the nodes of its failure domain. A View is the outcome: an immutable list that every other
// decision (ownership, entry addresses, relays) takes as its input.
package membership

import "net/netip"

// Node is one live node of the fleet.
type Node struct {
	Name          string         `json:"name"`
	Epoch         uint64         `json:"epoch"`      // grows at every start of the node
	Addr          netip.AddrPort `json:"addr"`       // where other nodes reach it
	CallerAddr    netip.AddrPort `json:"callerAddr"` // where callers reach it
	Region        string         `json:"region"`
	FailureDomain string         `json:"failureDomain"`
	Draining      bool           `json:"draining,omitempty"` // takes no new callers
}

// View is the fleet as one node sees it. It is immutable.
type View struct {
	Self  string // name of the node whose view this is
	Nodes []Node // sorted by Name, Self included while its lease holds
	// StoreFresh is false while the store has not confirmed the list for longer than a lease.
	StoreFresh bool
	// SelfLeased is true while the node's own lease surely holds, by its own monotonic clock with a margin.
	SelfLeased bool
}

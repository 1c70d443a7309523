// This file defines how a node counts its running work by backend server. The counts show operators when a failure
// domain is free of work.

package serve

import (
	"context"
	"net/netip"
	"sync"

	"ebonyferry/internal/edge/service"
	"ebonyferry/internal/run/ledger"
)

// callCounter counts the running calls of plain services.
type callCounter struct {
	ledger.Services

	mu      sync.Mutex
	running map[netip.AddrPort]int // by address of the backend server; guarded by mu
}

func newCallCounter(services ledger.Services) *callCounter {
	return &callCounter{Services: services, running: make(map[netip.AddrPort]int)}
}

// Call implements ledger.Services.
func (c *callCounter) Call(ctx context.Context, addr netip.AddrPort, call service.Call) (service.Answer, error) {
	c.add(addr, 1)
	defer c.add(addr, -1)
	return c.Services.Call(ctx, addr, call)
}

func (c *callCounter) add(addr netip.AddrPort, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[addr] += n
	if c.running[addr] == 0 {
		delete(c.running, addr)
	}
}

// at returns the number of calls that run at addr.
func (c *callCounter) at(addr netip.AddrPort) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running[addr]
}

// running returns the number of this node's streams and calls by the ID of their backend server. It omits servers
// without any.
func (n *Node) running() map[string]int {
	running := n.dispatcher.Running()
	for id, streams := range n.caller.ResumedStreams() {
		running[id] += streams
	}
	in := n.Held()
	if in == nil {
		return running
	}
	for _, s := range in.Bundle.Servers {
		if calls := n.calls.at(s.Addr); calls > 0 {
			running[s.ID] += calls
		}
	}
	return running
}

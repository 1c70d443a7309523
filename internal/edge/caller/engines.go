// This file defines the pool of engine clients.

package caller

import (
	"net/netip"
	"sync"

	"ebonyferry/internal/edge/engine"
)

// engineClients creates one client per address and reuses it.
type engineClients struct {
	mu     sync.Mutex
	byAddr map[netip.AddrPort]*engine.Client // guarded by mu
}

func newEngineClients() *engineClients {
	return &engineClients{byAddr: make(map[netip.AddrPort]*engine.Client)}
}

func (c *engineClients) forAddr(addr netip.AddrPort) *engine.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	cl := c.byAddr[addr]
	if cl == nil {
		cl = engine.New(addr)
		c.byAddr[addr] = cl
	}
	return cl
}

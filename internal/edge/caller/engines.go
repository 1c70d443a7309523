package caller

import (
	"net/netip"
	"sync"

	"ebonyferry/internal/edge/engine"
)

// This file defines the pool of engine clients.

// engineClients makes one client for each address and keeps it.
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

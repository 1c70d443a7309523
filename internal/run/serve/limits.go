// This file limits what the clients of a process take together, so that none of them can end it.

package serve

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"time"

	"ebonyferry/internal/base/budget"
	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/run/certs"
	"ebonyferry/internal/run/metrics"
	"ebonyferry/internal/run/settings"
)

const (
	// memoryPart is the divisor of the VM's memory that yields the budget for clients. With GOGC=50 the heap grows to 1.5 times what
	// is live, and an idle process takes 20 MiB of the 112 MiB of the smallest VM.
	memoryPart = 4
	// defaultMemory and defaultFiles apply if neither the settings nor the system name a limit.
	defaultMemory = 512 << 20
	defaultFiles  = 1024
	// ownFiles are the descriptors of an idle process, with connections to the store and to other nodes.
	ownFiles = 32
	// minConns is the least number of connections of a listener.
	minConns = 4
	// callerConnCost is the memory of a caller's connection: goroutines and buffers of the connection and of the one to a
	// backend server. Other connections have no second one.
	callerConnCost = 32 << 10
	otherConnCost  = 16 << 10
	// dropsPeriod is how often drops are logged.
	dropsPeriod = 5 * time.Second
)

// clientShare is what all clients of a process may take.
type clientShare struct {
	memory int64 // bytes
	files  int   // descriptors
}

// memoryOf returns the VM's memory that the settings or the system name.
func memoryOf(l settings.Limits) int64 {
	return cmp.Or(int64(l.MemoryMB*(1<<20)), budget.MachineMemory(), defaultMemory)
}

// MemoryLimit returns the soft limit for the memory of the Go runtime, five eighths of the VM's. The live heap stays below it, so it
// causes no endless collections; it returns freed memory to the system sooner while clients send much.
func MemoryLimit(l settings.Limits) int64 { return memoryOf(l) / 8 * 5 }

// shareOf returns the clients' share of the VM that the settings or the system name.
func shareOf(l settings.Limits) clientShare {
	files := cmp.Or(l.MaxFiles, budget.MachineFiles(), defaultFiles)
	return clientShare{memory: memoryOf(l) / memoryPart, files: files - ownFiles}
}

// conns returns the largest number of connections of a listener, and what each costs. Listeners together get two thirds of the
// descriptors; a caller's request needs a second one for its backend server.
func (s clientShare) conns(name string) (most int, cost int64) {
	files, memory := s.files/32, s.memory/16
	cost = otherConnCost
	switch name {
	case listenCallers:
		files, memory, cost = s.files*5/16, s.memory/2, callerConnCost
	case listenNodes, listenEntries:
		files, memory = s.files/8, s.memory/4
	}
	return max(minConns, min(files, int(memory/cost))), cost
}

// openListener returns a listener, and the one of its connections before they are decrypted.
func (p *process) openListener(cfg listenerConfig, share clientShare) (net.Listener, *budget.Listener, error) {
	var src *certs.Source
	if cfg.cert.IsSet() {
		var err error
		if src, err = certs.New(cfg.cert.CertFile, cfg.cert.KeyFile, cfg.cert.CAFile); err != nil {
			return nil, nil, err
		}
	}
	ln, err := net.Listen("tcp", cfg.addr.String())
	if err != nil {
		return nil, nil, err
	}
	most, cost := share.conns(cfg.name)
	limited := p.budget.Listen(ln, most, cost, src != nil)
	if src == nil {
		return limited, limited, nil
	}
	return tls.NewListener(limited, src.Server()), limited, nil
}

// logDrops logs how many requests and connections were dropped, if any.
func (p *process) logDrops(ctx context.Context) error {
	var memory, conns int64
	for pause.For(ctx, dropsPeriod) {
		m, c := p.budget.Drops(budget.NoMemory), p.budget.Drops(budget.NoConnections)
		if m > memory || c > conns {
			event.Log(p.log, event.ClientsDropped, event.Fields{
				budget.NoMemory.String(): m - memory, budget.NoConnections.String(): c - conns, "bytesHeld": p.budget.Used(), "bytes": p.budget.Size(),
			})
		}
		memory, conns = m, c
	}
	return nil
}

// limitGauges returns the gauges of the budget, which open has created when they are read.
func (p *process) limitGauges() []metrics.Gauge {
	drops := func(c budget.Cause) func() float64 { return func() float64 { return float64(p.budget.Drops(c)) } }
	return []metrics.Gauge{
		{Name: "ferry.client_bytes", Doc: "Bytes of memory that clients' connections and requests hold.", Read: func() float64 { return float64(p.budget.Used()) }},
		{Name: "ferry.client_connections", Doc: "Open connections of clients.", Read: func() float64 { return float64(p.budget.Accounts()) }},
		{Name: "ferry.dropped_for_memory", Doc: "Requests since the start that were dropped because memory was short.", Read: drops(budget.NoMemory)},
		{Name: "ferry.dropped_for_connections", Doc: "Connections since the start that were dropped because a listener had too many.", Read: drops(budget.NoConnections)},
	}
}

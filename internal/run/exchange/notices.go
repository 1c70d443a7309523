// This file defines how a node learns of termination notices while the store is unavailable.
//
// Servers announce in the store that they will stop. During an outage of the store these notices do not arrive, and every
// run without a copy on a reclaimed server would be lost. The servers also report their state to those who ask them, so
// a node then asks the servers that hold its runs.

package exchange

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/backend"
)

// ServerReport is what a server says of itself.
type ServerReport struct {
	Leaving   bool
	LeavesIn  time.Duration // until it stops; 0 if unknown
	StartedAt time.Time     // of the process that answers
}

const (
	// askPeriod is how often the servers are asked. Reports are half a second old, and a reclaimed server stops 1.5 s after
	// its notice at the earliest.
	askPeriod = 250 * time.Millisecond
	// askTimeout limits one question.
	askTimeout = 200 * time.Millisecond
	// reportDelay is the assumed time since the notice if a report does not say when its server stops.
	reportDelay = 700 * time.Millisecond
	// lastCopyTime is how long before its server stops a run is stopped, so that the rest of its memory can be copied.
	lastCopyTime = 600 * time.Millisecond
)

// AskLeaving asks the servers that hold runs or copies of this node whether they leave, while storeLost reports that the
// store's data is old. It returns when ctx ends.
func (rt *Runtime) AskLeaving(ctx context.Context, storeLost func() bool) error {
	for pause.For(ctx, askPeriod) {
		if !storeLost() {
			continue
		}
		var group errgroup.Group
		for _, srv := range rt.serversInUse() {
			group.Go(func() error {
				rt.askLeaving(ctx, srv)
				return nil
			})
		}
		_ = group.Wait() // a server that does not answer is noticed when its streams break
	}
	return nil
}

// serversInUse returns the servers that hold runs or copies of this node and are not known to leave.
func (rt *Runtime) serversInUse() map[string]backend.Server {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := time.Now()
	used := make(map[string]backend.Server)
	for _, s := range rt.runs {
		g := s.currentGrant()
		used[g.server.ID] = g.server
		if g.copy != nil {
			used[g.copy.ID] = *g.copy
		}
	}
	for id, srv := range used {
		if rt.pool.Leaving(srv, now) {
			delete(used, id)
		}
	}
	return used
}

// Probe asks a server for its state and ignores the answer: the connection shows whether there is a path to the server.
func (rt *Runtime) Probe(ctx context.Context, server string) {
	rt.mu.Lock()
	srv, ok := rt.pool.Get(server)
	rt.mu.Unlock()
	if ok && rt.takeSparePermit(srv) {
		_, _ = rt.upstream.Report(ctx, srv)
	}
}

func (rt *Runtime) askLeaving(ctx context.Context, srv backend.Server) {
	if !rt.takeSparePermit(srv) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	report, err := rt.upstream.Report(ctx, srv)
	if err != nil || !report.Leaving {
		return
	}
	noticed := time.Now().Add(-reportDelay)
	if report.LeavesIn > 0 {
		noticed = time.Now().Add(report.LeavesIn - lastCopyTime - stopAfter)
	}
	rt.UpdatePool(func(p *backend.Pool) {
		p.Drain(srv)
		if _, known := rt.notices[srv.ID]; !known {
			rt.notices[srv.ID] = noticed
		}
	})
}

// This file defines the goroutines of a dispatcher: the timer of the scheduler and the queries to engines.

package dispatch

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/routing"
	"ebonyferry/internal/core/warmup"
	"ebonyferry/internal/edge/engine"
)

const (
	evidenceInterval    = 250 * time.Millisecond
	reportInterval      = 1500 * time.Millisecond
	maxReportJitter     = 150 * time.Millisecond // reportInterval varies by up to this much in both directions
	budgetCheckInterval = 250 * time.Millisecond // between checks whether this node may use a server
)

// Engine is the part of a model engine that the dispatcher calls.
type Engine interface {
	Load(ctx context.Context) (engine.Load, error)
	CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error)
	Close()
}

// WithEngines sets how to connect to engines.
func WithEngines(dial func(addr netip.AddrPort) Engine) Option {
	return func(d *Dispatcher) { d.dial = dial }
}

// Run polls the scheduler, queries the engines and shares crashes and verdicts until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.drive(ctx) })
	g.Go(func() error { return d.watchEngines(ctx) })
	g.Go(func() error { return d.broadcast.run(ctx) })
	g.Go(func() error { return d.broadcast.judgeParts(ctx) })
	if d.broadcast.verdicts != nil {
		g.Go(func() error { return d.broadcast.verdicts.run(ctx, d) })
	}
	return g.Wait()
}

// drive polls the scheduler, and passes evidence to it and demand to the budgets, at intervals.
func (d *Dispatcher) drive(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	var collected time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		d.mu.Lock()
		now := time.Now()
		d.checkStall(now)
		d.stalls.Tick(now)
		if now.Sub(collected) >= evidenceInterval {
			d.collect(now)
			collected = now
		}
		d.poll(now)
		demands := d.dueDemands(now)
		d.mu.Unlock()
		d.sendDemands(demands, now)
	}
}

// collect passes the counted tokens to the scheduler. The caller holds mu.
func (d *Dispatcher) collect(now time.Time) {
	for id, m := range d.meters {
		if e := m.collect(); e.Tokens+e.FirstTokens > 0 {
			d.scheduler.RecordEvidence(id, e, now)
		}
	}
}

// watchEngines runs one watchEngine for each engine of the configuration.
func (d *Dispatcher) watchEngines(ctx context.Context) error {
	watches := make(map[engineKey]context.CancelFunc)
	defer func() {
		for _, cancel := range watches {
			cancel()
		}
	}()
	for {
		wanted := d.engines()
		for e, cancel := range watches {
			if !wanted[e] {
				cancel()
				delete(watches, e)
			}
		}
		for e := range wanted {
			if watches[e] == nil {
				watchCtx, cancel := context.WithCancel(ctx)
				watches[e] = cancel
				go d.watchEngine(watchCtx, e.id, e.addr)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.configChanged:
		}
	}
}

// engineKey identifies an engine at an address.
type engineKey struct {
	id   string
	addr netip.AddrPort
}

func (d *Dispatcher) engines() map[engineKey]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make(map[engineKey]bool)
	if d.inForce == nil {
		return list
	}
	for _, srv := range d.inForce.Bundle.Servers {
		if srv.Kind == bundle.KindEngine {
			list[engineKey{srv.ID, srv.Addr}] = true
		}
	}
	return list
}

// watchEngine queries one engine for its load and cache events until ctx ends. It sends no queries while this
// node may not use the server.
func (d *Dispatcher) watchEngine(ctx context.Context, id string, addr netip.AddrPort) {
	client := d.dial(addr)
	defer client.Close()
	var seq uint64
	for {
		pause := budgetCheckInterval
		if d.mayUse(id) {
			began := time.Now()
			seq = d.queryEngine(ctx, client, id, seq)
			pause = reportInterval - maxReportJitter + rand.N(2*maxReportJitter) - time.Since(began)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

func (d *Dispatcher) mayUse(server string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	streams, _ := d.budgets.Budget(server, time.Now())
	if streams <= 0 {
		d.queried.forget(server)
	}
	return streams > 0
}

// queryEngine fetches a load report and the cache events after seq, and returns the new seq. A failed call is not
// evidence: package warmup judges a silent server by the time since its last sign of life.
func (d *Dispatcher) queryEngine(ctx context.Context, client Engine, id string, seq uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	began := time.Now()
	load, err := client.Load(ctx)
	if err != nil {
		d.recordFailedQuery(id, began)
		return seq
	}
	d.recordReport(id, load, began)
	events, err := client.CacheEvents(ctx, seq)
	if err != nil || len(events) == 0 {
		return seq
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.RecordCacheEvents(id, cacheEvents(events), time.Now())
	return events[len(events)-1].Seq
}

// recordReport records a load report. It is called before the query for cache events, which an engine may answer late.
func (d *Dispatcher) recordReport(id string, load engine.Load, queriedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.scheduler.RecordLoadReport(id, warmup.Report{
		BootID: load.BootID, SampledAt: load.SampledAt, Running: load.Running, Waiting: load.Waiting,
	}, load.Leaving, now)
	d.queried.recordQuery(id, queriedAt)
	d.poll(now)
}

// recordFailedQuery makes a server usable although it did not answer.
func (d *Dispatcher) recordFailedQuery(id string, queriedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queried.recordQuery(id, queriedAt)
	d.poll(time.Now())
}

func cacheEvents(events []engine.CacheEvent) []routing.Event {
	list := make([]routing.Event, len(events))
	for i, e := range events {
		list[i] = routing.Event{
			Seq:     e.Seq,
			Evicted: e.Kind == engine.CacheEvicted,
			Prefix:  routing.Prefix{Hash: e.Prefix, Tokens: e.Tokens},
		}
	}
	return list
}

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

// This file defines the timers of the dispatcher and the watch of the engines' reports.

const (
	evidenceInterval = 250 * time.Millisecond
	reportInterval   = 1500 * time.Millisecond
	reportJitter     = 150 * time.Millisecond // spread of the interval to either side
	unusedInterval   = 250 * time.Millisecond // between looks whether a server may be used by now
)

// Engine is what the dispatcher asks of a model engine.
type Engine interface {
	Load(ctx context.Context) (engine.Load, error)
	CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error)
	Close()
}

// WithEngines sets how engines are reached.
func WithEngines(dial func(addr netip.AddrPort) Engine) Option {
	return func(d *Dispatcher) { d.dial = dial }
}

// Run drives the queue and watches the engines until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.drive(ctx) })
	g.Go(func() error { return d.watchEngines(ctx) })
	g.Go(func() error { return d.spread.run(ctx) })
	if d.spread.store != nil {
		g.Go(func() error { return d.spread.store.run(ctx, d) })
	}
	return g.Wait()
}

// Decides what waits and collects evidence at intervals.
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
		if now.Sub(collected) >= evidenceInterval {
			d.collect(now)
			collected = now
		}
		d.poll(now)
		tell := d.demands(now)
		d.mu.Unlock()
		d.tellDemand(tell, now)
	}
}

// Collect hands the counted tokens to the decisions. The caller holds mu.
func (d *Dispatcher) collect(now time.Time) {
	for id, m := range d.meters {
		if e := m.collect(); e.Tokens+e.FirstTokens > 0 {
			d.scheduler.RecordEvidence(id, e, now)
		}
	}
}

// Keeps one watch for each engine of the configuration.
func (d *Dispatcher) watchEngines(ctx context.Context) error {
	watches := make(map[watched]context.CancelFunc)
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
				watch, cancel := context.WithCancel(ctx)
				watches[e] = cancel
				go d.watchEngine(watch, e.id, e.addr)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.changed:
		}
	}
}

// watched is one engine at one address.
type watched struct {
	id   string
	addr netip.AddrPort
}

func (d *Dispatcher) engines() map[watched]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make(map[watched]bool)
	if d.inForce == nil {
		return list
	}
	for _, srv := range d.inForce.Bundle.Servers {
		if srv.Kind == bundle.KindEngine {
			list[watched{srv.ID, srv.Addr}] = true
		}
	}
	return list
}

// Asks one engine for its load and cache events until ctx ends. A node that may not use the server does not
// ask.
func (d *Dispatcher) watchEngine(ctx context.Context, id string, addr netip.AddrPort) {
	client := d.dial(addr)
	defer client.Close()
	var seq uint64
	for {
		pause := unusedInterval
		if d.mayUse(id) {
			began := time.Now()
			seq = d.ask(ctx, client, id, seq)
			pause = reportInterval - reportJitter + rand.N(2*reportJitter) - time.Since(began)
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
		d.heard.forget(server)
	}
	return streams > 0
}

// Ask takes one report and the cache events after seq, and returns the new seq. A failed call teaches nothing:
// silence is weighed by time.
func (d *Dispatcher) ask(ctx context.Context, client Engine, id string, seq uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	load, err := client.Load(ctx)
	if err != nil {
		d.asked(id)
		return seq
	}
	d.report(id, load)
	events, err := client.CacheEvents(ctx, seq)
	if err != nil || len(events) == 0 {
		return seq
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.RecordCacheEvents(id, cacheEvents(events), time.Now())
	return events[len(events)-1].Seq
}

// Applies a load report at once: an engine may make the call for cache events wait.
func (d *Dispatcher) report(id string, load engine.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.scheduler.RecordLoadReport(id, warmup.Report{
		BootID: load.BootID, SampledAt: load.SampledAt, Running: load.Running, Waiting: load.Waiting,
	}, load.Leaving, now)
	d.heard.note(id)
	d.poll(now)
}

// Lets a server be used that was asked in vain.
func (d *Dispatcher) asked(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard.note(id)
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

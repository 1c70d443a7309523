// Package entries provides the list of addresses that callers connect to, and reports to the fleet whether this node
// can serve callers.
package entries

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/entry"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/spread"
	"ebonyferry/internal/run/fleet"
)

// statusPeriod is how often the node's status is updated.
const statusPeriod = 500 * time.Millisecond

// Fleet is what a List needs of membership.
type Fleet interface {
	View() *membership.View
	Self() membership.Node
	SetStatus(s fleet.Status)
}

// Config is what a List needs of the configuration.
type Config interface {
	Current() (*bundle.InForce, spread.Freshness)
}

// List implements caller.EntryList. It is safe for concurrent use.
type List struct {
	fleet  Fleet
	config Config
	load   func() int

	mu       sync.Mutex
	draining bool
	rng      *rand.Rand
}

// Option changes a List.
type Option func(*List)

// WithLoad sets the function that returns the node's load in percent of its capacity.
func WithLoad(load func() int) Option { return func(l *List) { l.load = load } }

// New returns the entry list of a node.
func New(f Fleet, config Config, opts ...Option) *List {
	l := &List{
		fleet:  f,
		config: config,
		load:   func() int { return 0 },
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Drain removes this node from the addresses that it returns. Run then reports to the fleet that the node cannot serve
// callers, through the relays and without the store. Callers may keep earlier answers for entry.TTL.
func (l *List) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
}

// Entries returns addresses for a caller in region, best first, and how long the caller may keep them.
func (l *List) Entries(region string) ([]netip.AddrPort, time.Duration) {
	inForce, _ := l.config.Current()
	canServe := l.canServe()
	l.mu.Lock()
	defer l.mu.Unlock()
	q := entry.Query{Region: region, Self: l.fleet.Self(), SelfCanServe: canServe}
	return entry.Choose(l.fleet.View(), inForce, q, l.rng), entry.TTL
}

// canServe reports whether this node accepts callers.
func (l *List) canServe() bool {
	_, freshness := l.config.Current()
	l.mu.Lock()
	defer l.mu.Unlock()
	return freshness.AcceptsWork() && !l.draining
}

// Run reports the node's status to the fleet until ctx ends.
func (l *List) Run(ctx context.Context) error {
	ticker := time.NewTicker(statusPeriod)
	defer ticker.Stop()
	for {
		l.fleet.SetStatus(fleet.Status{Unable: !l.canServe(), Load: l.load()})
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

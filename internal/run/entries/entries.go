// Package entries answers which addresses callers should use, and tells the fleet whether this node can serve.
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

// statusPeriod is how often the node's own status is looked at.
const statusPeriod = 500 * time.Millisecond

// Fleet is what the list needs of membership.
type Fleet interface {
	View() *membership.View
	Self() membership.Node
	SetStatus(s fleet.Status)
}

// Config is what the list needs of the configuration.
type Config interface {
	Current() (*bundle.InForce, spread.Freshness)
}

// List implements caller.EntryList. It is safe for concurrent use.
type List struct {
	fleet  Fleet
	intent Config
	load   func() int

	mu       sync.Mutex
	draining bool
	rng      *rand.Rand
}

// Option changes a List.
type Option func(*List)

// WithLoad sets the function that returns the node's load in percent of what it bears.
func WithLoad(load func() int) Option { return func(l *List) { l.load = load } }

// New returns the entry list of a node.
func New(f Fleet, in Config, opts ...Option) *List {
	l := &List{
		fleet:  f,
		intent: in,
		load:   func() int { return 0 },
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Drain takes this node out of its own answers, and tells the fleet through the relays, without the store.
// Callers may hold earlier answers for entry.TTL.
func (l *List) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
}

// Entries returns addresses for a caller in region, best first, and how long the answer may be kept.
func (l *List) Entries(region string) ([]netip.AddrPort, time.Duration) {
	in, _ := l.intent.Current()
	able := l.able()
	l.mu.Lock()
	defer l.mu.Unlock()
	q := entry.Query{Region: region, Self: l.fleet.Self(), SelfCanServe: able}
	return entry.Choose(l.fleet.View(), in, q, l.rng), entry.TTL
}

// Reports whether this node takes callers.
func (l *List) able() bool {
	_, fresh := l.intent.Current()
	l.mu.Lock()
	defer l.mu.Unlock()
	return fresh.AcceptsWork() && !l.draining
}

// Run tells the fleet the node's status until ctx ends.
func (l *List) Run(ctx context.Context) error {
	ticker := time.NewTicker(statusPeriod)
	defer ticker.Stop()
	for {
		l.fleet.SetStatus(fleet.Status{Unable: !l.able(), Load: l.load()})
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

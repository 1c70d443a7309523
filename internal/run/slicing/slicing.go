// Package slicing gives a node its slices of the budgets of backend servers, and splits the budgets of those
// servers that the node owns.
//
// The protocol and its invariant stand in core/slice. This package supplies what it needs: the owner and the
// users of each server by core/ownership, terms by compare-and-swap in the store, and the messages between
// nodes, gathered by pair of nodes. A node asks once a second for servers whose demand its slice does not
// meet or for which it has new evidence, and seldom otherwise.
package slicing

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/slice"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
)

// Store is the part of the platform's key-value service that slices use.
type Store interface {
	Get(ctx context.Context, key string) (kvstore.Entry, error)
	CompareAndSwap(ctx context.Context, key string, expected kvstore.Revision, value []byte, lease kvstore.LeaseID) (kvstore.Revision, error)
	// VMs returns the platform's list of VMs, which lags behind the truth.
	VMs(ctx context.Context) ([]kvstore.VM, error)
}

// Views publishes the fleet as this node sees it.
type Views interface {
	View() *membership.View
}

// Bundles publishes the configuration in force, or nil.
type Bundles interface {
	InForce() *bundle.InForce
}

const (
	defaultRound     = time.Second
	defaultIdleRound = 4 * time.Second
	defaultPerServer = 6
	maxOutgoing      = 1024
	startRounds      = 5   // rounds in the time of one while the node starts
	roundJitter      = 0.1 // part of a round by which rounds vary
)

// Manager holds this node's slices and splits the budgets that it owns. It is safe for concurrent use.
type Manager struct {
	self      slice.Process // Epoch is zero until the node has registered; guarded by mu
	store     Store
	views     Views
	bundles   Bundles
	peers     *node.Client
	log       log.Interface
	timing    slice.Timing
	round     time.Duration // between requests for servers whose slice does not meet the demand
	idleRound time.Duration // between requests for other servers
	perServer int           // nodes that use one server

	outbox  chan outgoing                           // reductions to be sent
	kick    chan struct{}                           // wakes the loop before its time
	budgets atomic.Pointer[map[string]slice.Holder] // what Budget reads

	mu       sync.Mutex
	assigned assignment          // guarded by mu
	holdings map[string]*holding // by server ID; guarded by mu
	seats    map[string]*seat    // servers that this node owns; guarded by mu
	claiming map[string]bool     // servers whose term is being taken; guarded by mu
	gone     goneList            // guarded by mu
}

// Option changes a Manager.
type Option func(*Manager)

// WithTiming sets the times of the protocol, which must be the same at all nodes.
func WithTiming(t slice.Timing) Option { return func(m *Manager) { m.timing = t } }

// WithRound sets the time between requests.
func WithRound(d time.Duration) Option { return func(m *Manager) { m.round = d } }

// WithNodesPerServer sets how many nodes use one server. It must be the same at all nodes.
func WithNodesPerServer(n int) Option { return func(m *Manager) { m.perServer = n } }

// WithLog sets where events are logged.
func WithLog(l log.Interface) Option { return func(m *Manager) { m.log = l } }

// New returns the manager of the node with the given name. Run must be called for it to work.
func New(name string, store Store, views Views, bundles Bundles, peers *node.Client, opts ...Option) *Manager {
	m := &Manager{
		self:      slice.Process{Name: name},
		store:     store,
		views:     views,
		bundles:   bundles,
		peers:     peers,
		log:       log.Log,
		timing:    slice.DefaultTiming,
		round:     defaultRound,
		idleRound: defaultIdleRound,
		perServer: defaultPerServer,
		kick:      make(chan struct{}, 1),
		outbox:    make(chan outgoing, maxOutgoing),
		holdings:  make(map[string]*holding),
		seats:     make(map[string]*seat),
		claiming:  make(map[string]bool),
		assigned:  assignment{view: &membership.View{}},
	}
	for _, opt := range opts {
		opt(m)
	}
	m.budgets.Store(&map[string]slice.Holder{})
	return m
}

// Register adds the messages between nodes to the router of the node-to-node listener.
func (m *Manager) Register(router chi.Router) {
	node.Handle(router, pathRequest, m.handleRequest)
	node.Handle(router, pathLower, m.handleLower)
	node.Handle(router, pathFollow, m.handleFollow)
	node.Handle(router, pathRelease, m.handleRelease)
}

// Run asks for slices and keeps the terms of owned servers until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	go m.sendReductions(ctx)
	for {
		m.assign()
		m.keepTerms(ctx)
		m.askAll(ctx)
		jitter := 1 + roundJitter*(2*rand.Float64()-1)
		timer := time.NewTimer(time.Duration(float64(m.pause()) * jitter))
		select {
		case <-timer.C:
		case <-m.kick:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// Returns the time until the next round: short while the node has no slice of a server that it is to use.
func (m *Manager) pause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.assigned.inForce == nil || m.self.Epoch == 0 {
		return m.round / startRounds
	}
	for id, h := range m.holdings {
		if h.starved(time.Now()) && m.assigned.subsets.Uses(m.self.Name, id) {
			return m.round / startRounds
		}
	}
	return m.round
}

func (m *Manager) wake() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// Budget returns the streams and the tokens of engine memory that this node may use of a server at now, which
// is read by the monotonic clock right before the use. It takes no lock.
func (m *Manager) Budget(server string, now time.Time) (streams, tokens int) {
	h, ok := (*m.budgets.Load())[server]
	if !ok {
		return 0, 0
	}
	a := h.Usable(now)
	return a.Streams, a.Tokens
}

// Publishes what Budget reads. The caller holds mu.
func (m *Manager) publish() {
	budgets := make(map[string]slice.Holder, len(m.holdings))
	for id, h := range m.holdings {
		budgets[id] = h.limited()
	}
	m.budgets.Store(&budgets)
}

// SetDemand tells how much of a server this node could use now.
func (m *Manager) SetDemand(server string, streams, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h := m.holdings[server]; h != nil {
		h.want = slice.Amount{Streams: streams, Tokens: tokens}
	}
}

// SetEvidence tells which part of a server's full limit the node's own observations suggest, above 0 and at
// most 1. A fall binds this node at once and goes to the owner at once.
func (m *Manager) SetEvidence(server string, fraction float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.holdings[server]
	if h != nil && h.observe(fraction, m.assigned.config[server].Full.Streams) {
		m.publish()
		m.wake()
	}
}

// Limit returns the streams that all nodes together may use of a server, as this node last heard, or zero when
// it has heard nothing. Evidence above it says nothing about the server, and its source comes down to it.
func (m *Manager) Limit(server string, _ time.Time) int {
	return (*m.budgets.Load())[server].Limit
}

// Servers returns the IDs of the servers that this node uses, sorted.
func (m *Manager) Servers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.holdings))
}

// Users returns the names of the nodes that use a server, none before they are known.
func (m *Manager) Users(server string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.assigned.subsets == nil {
		return nil
	}
	return m.assigned.subsets.Nodes(server)
}

// Owned returns the IDs of the servers whose budgets this node splits, sorted.
func (m *Manager) Owned() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.seats))
}

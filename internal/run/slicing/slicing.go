// Package slicing leases slices of the budgets of backend servers for a node, and splits the budgets of those servers
// that the node owns.
//
// Package core/slice defines the protocol and its invariant. This package runs it: it chooses the owner and the users
// of each server by core/ownership, takes terms by compare-and-swap in the store, and exchanges the messages between
// nodes, batched by pair of nodes. A node sends requests about once a second for servers whose slice does not meet the
// demand or for which it has new evidence, and rarely otherwise.
//
// The Manager does all of this in Run. Its callers set the demand and the evidence of each server, and read the Budget
// before each use.
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

// Store is the part of the platform's key-value service that this package uses.
type Store interface {
	Get(ctx context.Context, key string) (kvstore.Entry, error)
	CompareAndSwap(ctx context.Context, key string, expected kvstore.Revision, value []byte, lease kvstore.LeaseID) (kvstore.Revision, error)
	// VMs returns the platform's list of VMs, which may be outdated.
	VMs(ctx context.Context) ([]kvstore.VM, error)
}

// Views provides this node's current view of the fleet.
type Views interface {
	View() *membership.View
}

// Bundles provides the configuration in force, or nil if there is none yet.
type Bundles interface {
	InForce() *bundle.InForce
}

const (
	defaultRound        = time.Second
	defaultIdleRound    = 4 * time.Second
	defaultPerServer    = 6 // nodes
	maxQueuedReductions = 1024
	startupSpeedup      = 5   // factor by which rounds are shorter while the node starts
	roundJitter         = 0.1 // fraction by which rounds vary
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
	perServer int           // number of nodes that use one server

	outbox  chan queuedReduction                    // reductions to send
	wakeup  chan struct{}                           // starts the next round early
	budgets atomic.Pointer[map[string]slice.Holder] // read by Budget and Limit

	mu       sync.Mutex
	assigned assignment             // guarded by mu
	owned    ownedServers           // guarded by mu
	holdings map[string]*holding    // by server ID; guarded by mu
	terms    map[string]*serverTerm // of the servers that this node owns; guarded by mu
	claiming map[string]bool        // servers with a claim in progress; guarded by mu
	absent   absentNodes            // guarded by mu
}

// Option configures a Manager.
type Option func(*Manager)

// WithTiming sets the durations of the protocol. They must be the same at all nodes.
func WithTiming(t slice.Timing) Option { return func(m *Manager) { m.timing = t } }

// WithRound sets the time between requests.
func WithRound(d time.Duration) Option { return func(m *Manager) { m.round = d } }

// WithNodesPerServer sets how many nodes use one server. It must be the same at all nodes.
func WithNodesPerServer(n int) Option { return func(m *Manager) { m.perServer = n } }

// WithLog sets where events are logged.
func WithLog(l log.Interface) Option { return func(m *Manager) { m.log = l } }

// New returns the manager of the node with the given name. It has no slices until Run is called.
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
		wakeup:    make(chan struct{}, 1),
		outbox:    make(chan queuedReduction, maxQueuedReductions),
		holdings:  make(map[string]*holding),
		terms:     make(map[string]*serverTerm),
		claiming:  make(map[string]bool),
		assigned:  assignment{view: &membership.View{}},
	}
	for _, opt := range opts {
		opt(m)
	}
	m.budgets.Store(&map[string]slice.Holder{})
	return m
}

// Mount adds the handlers of messages from other nodes to the router of the node-to-node listener.
func (m *Manager) Mount(router chi.Router) {
	node.Handle(router, pathRequest, m.handleRequest)
	node.Handle(router, pathReduce, m.handleReduce)
	node.Handle(router, pathFollow, m.handleFollow)
	node.Handle(router, pathRelease, m.handleRelease)
}

// Run requests slices and maintains the terms of owned servers until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	go m.sendReductions(ctx)
	for {
		m.updateAssignment()
		m.maintainTerms(ctx)
		m.requestAll(ctx)
		jitter := 1 + roundJitter*(2*rand.Float64()-1)
		timer := time.NewTimer(time.Duration(float64(m.roundInterval()) * jitter))
		select {
		case <-timer.C:
		case <-m.wakeup:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// roundInterval returns the time until the next round. It is short while the node has no slice of a server that it
// should use.
func (m *Manager) roundInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.assigned.inForce == nil || m.self.Epoch == 0 {
		return m.round / startupSpeedup
	}
	for id, h := range m.holdings {
		if h.starved(time.Now()) && m.assigned.subsets.Uses(m.self.Name, id) {
			return m.round / startupSpeedup
		}
	}
	return m.round
}

// wake starts the next round immediately.
func (m *Manager) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// Budget returns the streams and the tokens of engine memory that this node may use of a server at now. The caller reads
// now from the monotonic clock right before the use. Budget takes no lock.
func (m *Manager) Budget(server string, now time.Time) (streams, tokens int) {
	h, ok := (*m.budgets.Load())[server]
	if !ok {
		return 0, 0
	}
	a := h.Usable(now)
	return a.Streams, a.Tokens
}

// publish updates the budgets that Budget and Limit read. The caller holds mu.
func (m *Manager) publish() {
	budgets := make(map[string]slice.Holder, len(m.holdings))
	for id, h := range m.holdings {
		budgets[id] = h.withLocalLimit()
	}
	m.budgets.Store(&budgets)
}

// SetDemand sets how much of a server this node could use now.
func (m *Manager) SetDemand(server string, streams, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h := m.holdings[server]; h != nil {
		h.want = slice.Amount{Streams: streams, Tokens: tokens}
	}
}

// SetEvidence sets the fraction of a server's full limit that the node's own observations suggest, above 0 and at most 1.
// A decrease limits this node immediately, and is sent to the owner immediately.
func (m *Manager) SetEvidence(server string, fraction float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.holdings[server]
	if h != nil && h.observe(fraction, m.assigned.config[server].Full.Streams) {
		m.publish()
		m.wake()
	}
}

// Limit returns the streams that all nodes together may use of a server, by the last grant to this node, or zero without
// a grant. After a decrease of the limit, higher evidence is ignored until its source has reduced it to the limit.
func (m *Manager) Limit(server string, _ time.Time) int {
	return (*m.budgets.Load())[server].Limit
}

// Servers returns the IDs of the servers that this node uses, sorted.
func (m *Manager) Servers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.holdings))
}

// Users returns the names of the nodes that use a server. It returns none before the first assignment.
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
	return slices.Sorted(maps.Keys(m.terms))
}

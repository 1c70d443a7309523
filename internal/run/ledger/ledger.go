// Package ledger runs service calls: those that may not be repeated at most once, the others with retries.
//
// A call that may not be repeated goes to the node that owns the partition of its key, which writes an intent
// to the store, sends the call, and writes the outcome. Ownership only gathers the writes of a partition at
// one node: what makes a run unique is the compare-and-swap of the partition's head (see core/ledger), so two
// nodes that both hold themselves to be the owner do no harm, and any node may act when the owner is out of
// reach.
package ledger

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/ledger"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/ownership"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
	"ebonyferry/internal/edge/service"
)

// Store is the part of the platform's key-value service that the ledger uses.
type Store interface {
	Get(ctx context.Context, key string) (kvstore.Entry, error)
	CompareAndSwap(ctx context.Context, key string, expected kvstore.Revision, value []byte, lease kvstore.LeaseID) (kvstore.Revision, error)
	Delete(ctx context.Context, key string, expected kvstore.Revision) error
	GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error)
}

// Services calls plain services.
type Services interface {
	// Call's error wraps service.ErrNotSent or service.ErrOutcomeUnknown.
	Call(ctx context.Context, addr netip.AddrPort, call service.Call) (service.Answer, error)
	// Ask returns the stored answer to the call with the given key.
	Ask(ctx context.Context, addr netip.AddrPort, key string) (service.Answer, error)
}

// Views publishes the fleet as this node sees it.
type Views interface {
	View() *membership.View
}

// Bundles publishes the configuration in force, or nil.
type Bundles interface {
	InForce() *bundle.InForce
}

// reasonKeyMissing is the reason of the refusal of a call that may not be repeated and has no key.
const reasonKeyMissing = "idempotencyKeyMissing"

const (
	defaultLinger         = 3 * time.Millisecond
	defaultOutcomeLinger  = 50 * time.Millisecond
	defaultCommitInterval = 100 * time.Millisecond
	defaultCommitTimeout  = 2 * time.Second
	defaultCallTimeout    = 30 * time.Second
	defaultRetryRate      = 10 // retries a second of calls that may be repeated
	defaultRetryBurst     = 20
	housekeepingInterval  = time.Second
)

// Manager runs service calls. It implements caller.Ledger and is safe for concurrent use.
type Manager struct {
	store    Store
	services Services
	views    Views
	bundles  Bundles
	peers    *node.Client
	log      log.Interface

	limits         ledger.Limits
	linger         time.Duration // how long an intent waits for others to be written with it
	outcomeLinger  time.Duration // how long an outcome waits for other records
	commitInterval time.Duration // least time between the starts of two writes of one partition
	commitTimeout  time.Duration // how long a call waits for its intent to be written
	callTimeout    time.Duration // bound of a call without a deadline
	mayRetry       func(account string) bool

	partitions [ledger.Partitions]*partition
	bodies     bodies
}

// Option changes a Manager.
type Option func(*Manager)

// WithLimits sets the limits of each partition.
func WithLimits(l ledger.Limits) Option { return func(m *Manager) { m.limits = l } }

// WithCommitInterval sets the least time between two writes of one partition.
func WithCommitInterval(d time.Duration) Option { return func(m *Manager) { m.commitInterval = d } }

// WithCommitTimeout bounds how long a call waits for its intent to be written.
func WithCommitTimeout(d time.Duration) Option { return func(m *Manager) { m.commitTimeout = d } }

// WithRetryBudget sets the function that each retry of a call that may be repeated asks first.
func WithRetryBudget(allow func(account string) bool) Option {
	return func(m *Manager) { m.mayRetry = allow }
}

// WithLog sets where events are logged.
func WithLog(l log.Interface) Option { return func(m *Manager) { m.log = l } }

// New returns a manager. Peers carries calls to owners; a call that takes longer than its timeout is asked
// for again, so the timeout bounds no call. Run must be called for the manager to work.
func New(store Store, services Services, views Views, bundles Bundles, peers *node.Client, opts ...Option) *Manager {
	retries := rate.NewLimiter(defaultRetryRate, defaultRetryBurst)
	m := &Manager{
		store:          store,
		services:       services,
		views:          views,
		bundles:        bundles,
		peers:          peers,
		log:            log.Log,
		limits:         ledger.DefaultLimits,
		linger:         defaultLinger,
		outcomeLinger:  defaultOutcomeLinger,
		commitInterval: defaultCommitInterval,
		commitTimeout:  defaultCommitTimeout,
		callTimeout:    defaultCallTimeout,
		bodies:         bodies{io: make(chan struct{}, 1)},
		mayRetry:       func(string) bool { return retries.Allow() },
	}
	for _, opt := range opts {
		opt(m)
	}
	for i := range m.partitions {
		m.partitions[i] = newPartition(m, i)
	}
	return m
}

// Register adds the messages between nodes to the router of the node-to-node listener.
func (m *Manager) Register(router chi.Router) { node.Handle(router, pathCall, m.handleCall) }

// Run writes records until ctx ends, and then the outcomes of ended calls for two seconds at most. Calls that
// have not been sent by then are refused, and those under way end with an unknown outcome, so a node drains
// before it ends ctx.
func (m *Manager) Run(ctx context.Context) error {
	var writers sync.WaitGroup
	defer writers.Wait()
	for _, p := range m.partitions {
		writers.Go(func() { p.write(ctx) })
	}
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		m.housekeep(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Loads the partitions that this node owns and drops those that it no longer does.
func (m *Manager) housekeep(ctx context.Context) {
	for i, p := range m.partitions {
		if m.owns(i) {
			p.preload()
			continue
		}
		p.unloadIdle()
	}
}

func (m *Manager) owns(partition int) bool {
	n, ok := m.owner(partition)
	return ok && n.Name == m.views.View().Self
}

func (m *Manager) owner(partition int) (membership.Node, bool) {
	return ownership.Owner(m.views.View(), ownership.KindPartition, ledger.HeadKey(partition), ownership.AnyRegion)
}

// Call implements caller.Ledger.
func (m *Manager) Call(ctx context.Context, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	if call.Deadline.IsZero() {
		call.Deadline = time.Now().Add(m.callTimeout)
	}
	if call.Repeatable {
		ctx, cancel := context.WithDeadline(ctx, call.Deadline)
		defer cancel()
		return m.callRepeatable(ctx, call)
	}
	if call.IdempotencyKey == "" {
		return caller.ServiceAnswer{}, refusal(reasonKeyMissing, "a call that may not be repeated needs an idempotency key")
	}
	return m.callOnce(ctx, call)
}

// Returns the truthful refusal of a call of which nothing was sent.
func refusal(reason, message string) *caller.Refusal {
	return &caller.Refusal{Reason: reason, Message: message, NotRun: true}
}

// Returns the refusal of a call that may be asked again after a moment.
func busy(reason, message string) *caller.Refusal {
	r := refusal(reason, message)
	r.RetryAfter = time.Second
	return r
}

// Returns the servers of a service that may be given new work, those that the platform says will go last.
func (m *Manager) servers(name string) []bundle.Server {
	inForce := m.bundles.InForce()
	if inForce == nil {
		return nil
	}
	view := m.views.View()
	servers := inForce.ServiceServers(name)
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	slices.SortStableFunc(servers, func(a, b bundle.Server) int {
		return cmp.Compare(leaving(view, a), leaving(view, b))
	})
	return servers
}

func leaving(view *membership.View, s bundle.Server) int {
	if view.IsLeaving(s.ID) {
		return 1
	}
	return 0
}

func fromService(a service.Answer) caller.ServiceAnswer {
	return caller.ServiceAnswer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
}

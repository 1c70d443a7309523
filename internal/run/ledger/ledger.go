// Package ledger runs service calls: repeatable calls with retries, and other calls at most once.
//
// A call that may not be repeated goes to the node that owns the partition of its key. That node writes an intent
// to the store, sends the call, and writes the outcome. Ownership only batches the writes of a partition at one
// node. The compare-and-swap of the partition's head makes a run unique (see core/ledger). Two nodes that both
// consider themselves the owner therefore do no harm, and any node may act when the owner is unreachable.
//
// New returns a Manager, whose Run writes the records and whose Call runs one call.
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
	// Era returns the latest era of the store that an answer named.
	Era() kvstore.Era
}

// Services calls plain services.
type Services interface {
	// Call's error wraps service.ErrNotSent or service.ErrOutcomeUnknown.
	Call(ctx context.Context, addr netip.AddrPort, call service.Call) (service.Answer, error)
	// FetchOutcome returns the stored answer to the call with the given key.
	FetchOutcome(ctx context.Context, addr netip.AddrPort, key string) (service.Answer, error)
}

// Views returns this node's view of the fleet.
type Views interface {
	View() *membership.View
}

// Bundles returns the configuration in force, or nil if there is none.
type Bundles interface {
	InForce() *bundle.InForce
}

// reasonKeyMissing is the reason for refusing a call that may not be repeated and has no idempotency key.
const reasonKeyMissing = "idempotencyKeyMissing"

const (
	defaultIntentLinger   = 3 * time.Millisecond
	defaultOutcomeLinger  = 50 * time.Millisecond
	defaultCommitInterval = 100 * time.Millisecond
	defaultCommitTimeout  = 2 * time.Second
	defaultCallTimeout    = 30 * time.Second
	defaultRetryRate      = 10 // retries of repeatable calls per second
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
	intentLinger   time.Duration // how long an intent waits for others to be written in the same batch
	outcomeLinger  time.Duration // the same for an outcome
	commitInterval time.Duration // minimum time between the starts of two writes of one partition
	commitTimeout  time.Duration // how long a call waits for its intent to be written
	callTimeout    time.Duration // timeout of a call without a deadline
	allowRetry     func(account string) bool

	partitions [ledger.Partitions]*partition
	bodyLeases leaseCache
}

// Option configures a Manager.
type Option func(*Manager)

// WithLimits sets the limits of each partition.
func WithLimits(l ledger.Limits) Option { return func(m *Manager) { m.limits = l } }

// WithCommitInterval sets the minimum time between the starts of two writes of one partition.
func WithCommitInterval(d time.Duration) Option { return func(m *Manager) { m.commitInterval = d } }

// WithCommitTimeout bounds how long a call waits for its intent to be written.
func WithCommitTimeout(d time.Duration) Option { return func(m *Manager) { m.commitTimeout = d } }

// WithRetryBudget sets the function that decides whether a repeatable call may be retried.
func WithRetryBudget(allow func(account string) bool) Option {
	return func(m *Manager) { m.allowRetry = allow }
}

// WithLog sets the logger for events.
func WithLog(l log.Interface) Option { return func(m *Manager) { m.log = l } }

// New returns a manager, which works only while Run runs. The manager forwards calls to owners through peers.
// When the answer takes longer than the timeout of peers, the manager sends the call to the owner again and gets
// the answer of the same run, so that timeout does not limit the duration of a call.
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
		intentLinger:   defaultIntentLinger,
		outcomeLinger:  defaultOutcomeLinger,
		commitInterval: defaultCommitInterval,
		commitTimeout:  defaultCommitTimeout,
		callTimeout:    defaultCallTimeout,
		bodyLeases:     leaseCache{lock: make(chan struct{}, 1)},
		allowRetry:     func(string) bool { return retries.Allow() },
	}
	for _, opt := range opts {
		opt(m)
	}
	for i := range m.partitions {
		m.partitions[i] = newPartition(m, i)
	}
	return m
}

// Mount adds the handlers of messages from other nodes to the router of the node-to-node listener.
func (m *Manager) Mount(router chi.Router) { node.Handle(router, pathCall, m.handleCall) }

// Run writes records until ctx ends, and then writes the outcomes of finished calls for at most two seconds. It
// refuses the calls that have not been sent when ctx ends. Those still in flight end with an unknown outcome, so a
// node drains before it ends ctx.
func (m *Manager) Run(ctx context.Context) error {
	var writers sync.WaitGroup
	defer writers.Wait()
	for _, p := range m.partitions {
		writers.Go(func() { p.runWriter(ctx) })
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

// housekeep loads the partitions that this node owns and unloads idle ones that it does not own.
func (m *Manager) housekeep(ctx context.Context) {
	for i, p := range m.partitions {
		if p.lacksEra() {
			p.wakeWriter()
			continue
		}
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
		return caller.ServiceAnswer{}, notRunRefusal(reasonKeyMissing, "a call that may not be repeated needs an idempotency key")
	}
	return m.callOnce(ctx, call)
}

// notRunRefusal returns the refusal of a call of which nothing was sent.
func notRunRefusal(reason, message string) *caller.Refusal {
	return &caller.Refusal{Reason: reason, Message: message, NotRun: true}
}

// retryableRefusal returns the refusal of a call of which nothing was sent, and which may succeed a second later.
func retryableRefusal(reason, message string) *caller.Refusal {
	r := notRunRefusal(reason, message)
	r.RetryAfter = time.Second
	return r
}

// servers returns the servers of a service that may get new work, in random order. Servers with a termination
// notice from the platform come last.
func (m *Manager) servers(name string) []bundle.Server {
	inForce := m.bundles.InForce()
	if inForce == nil {
		return nil
	}
	view := m.views.View()
	servers := inForce.ServiceServers(name)
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	slices.SortStableFunc(servers, func(a, b bundle.Server) int {
		return cmp.Compare(leavingRank(view, a), leavingRank(view, b))
	})
	return servers
}

func leavingRank(view *membership.View, s bundle.Server) int {
	if view.IsLeaving(s.ID) {
		return 1
	}
	return 0
}

func fromService(a service.Answer) caller.ServiceAnswer {
	return caller.ServiceAnswer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
}

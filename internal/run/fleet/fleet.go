// Package fleet maintains a node's membership in the fleet.
//
// A node registers in the store under a lease, which it renews. The store's entries form the list of members. A
// few relays of each failure domain watch the store for changes of the list; the other nodes follow a relay by
// long polls. Nodes of a failure domain also send each other heartbeats, which detect a failed node before its
// lease expires. Relays exchange digests of the heartbeat results, the nodes that cannot serve and the loads.
//
// [Fleet.Run] does all of this. [Fleet.View] returns the current [membership.View], and [Fleet.Subscribe] returns
// each new one. Package core/membership decides which nodes are live and which are relays; this package does the
// input and output.
package fleet

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/latest"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
)

// ErrSuperseded means that another process has registered under this node's name.
var ErrSuperseded = errors.New("another process has registered under this node's name")

// Store is the part of the platform's API that the fleet uses. Its errors are those of package kvstore.
type Store interface {
	Get(ctx context.Context, key string) (kvstore.Entry, error)
	List(ctx context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error)
	CompareAndSwap(ctx context.Context, key string, expected kvstore.Revision, value []byte, lease kvstore.LeaseID) (kvstore.Revision, error)
	Watch(ctx context.Context, prefix string, after kvstore.Revision) ([]kvstore.Change, kvstore.Revision, error)
	GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error)
	KeepAlive(ctx context.Context, id kvstore.LeaseID) (time.Duration, error)
	RevokeLease(ctx context.Context, id kvstore.LeaseID) error
	VMs(ctx context.Context) ([]kvstore.VM, error)
	// Era returns the latest era of the store that an answer named.
	Era() kvstore.Era
}

// Timing holds the periods of the membership protocol.
type Timing struct {
	LeaseTTL          time.Duration
	LeaseMargin       time.Duration // the holder stops acting under the lease this long before it expires
	RenewInterval     time.Duration // between renewals of the lease
	HeartbeatInterval time.Duration // between probes of one target
	ProbeTimeout      time.Duration
	FollowWait        time.Duration // how long a relay holds a follower's request without a change
	DigestInterval    time.Duration // between a relay's requests to other relays
	VMPollInterval    time.Duration // between a relay's reads of the list of VMs
	RetryMin          time.Duration // after a failed call; the wait is uniformly random between RetryMin and RetryMax
	RetryMax          time.Duration
	OutageThreshold   time.Duration // a relay that had no contact with the store for longer defers removals by LeaseTTL
	BatchDelay        time.Duration // how long a relay waits after a change for further changes
}

// DefaultTiming detects a failed peer in about two seconds and an expired lease in twelve.
var DefaultTiming = Timing{
	LeaseTTL:          12 * time.Second,
	LeaseMargin:       2 * time.Second,
	RenewInterval:     4 * time.Second,
	HeartbeatInterval: time.Second,
	ProbeTimeout:      400 * time.Millisecond,
	FollowWait:        6 * time.Second,
	DigestInterval:    4 * time.Second,
	VMPollInterval:    5 * time.Second,
	RetryMin:          500 * time.Millisecond,
	RetryMax:          1500 * time.Millisecond,
	OutageThreshold:   7 * time.Second,
	BatchDelay:        100 * time.Millisecond,
}

// Fleet is the membership part of a node. It is safe for concurrent use.
type Fleet struct {
	self         membership.Node // Epoch is not used
	nonce        string          // identifies this process in its record
	store        Store
	client       *node.Client
	probeClient  *node.Client // bounded by ProbeTimeout
	followClient *node.Client // bounded by FollowWait and followSlack
	timing       Timing
	peers        []netip.AddrPort
	lookup       Lookup // nil after its first use
	takesTurns   bool   // TakesTurns of the record
	log          log.Interface

	view          atomic.Pointer[membership.View]
	draining      atomic.Bool
	suspects      chan membership.Incarnation // reported by other nodes
	drainChanged  chan struct{}               // signals a change of draining; capacity 1
	recordLost    chan struct{}               // signals that the store no longer has the record; capacity 1
	storeRegained chan struct{}               // signals that the store confirms the list again; capacity 1

	mu            sync.Mutex
	state         *membership.State
	batches       []batch       // recent changes in order of revision
	batchesFrom   uint64        // batches are complete after this revision
	version       uint64        // counts changes of what a relay sends, except changes of the list and of loads
	updated       chan struct{} // closed and replaced by wakeFollowers
	changes       latest.Topic[*membership.View]
	skipUntil     map[netip.AddrPort]time.Time    // failed sources, and the time until which they are skipped
	investigating map[membership.Incarnation]bool // nodes whose investigation is running
	lease         kvstore.LeaseID                 // zero while not registered
	ownRecordLost bool                            // see checkOwnRecord
	left          bool                            // Leave was called; the node does not register again
	status        Status                          // of this node
	statuses      map[string]receivedStatus       // of this node and its followers
	relayDigests  map[string]receivedDigest       // of the other relays of the failure domain, by node name
	domainDigests map[string]receivedDigest       // of one relay of each other failure domain, by domain
	isRelay       bool                            // at the last digest exchange; a relay also sends its followers the unreachable nodes that others reported
	storeContact  time.Time                       // when the store last answered this node's own watch or list
}

// batch is the changes that lead to a revision.
type batch struct {
	revision uint64
	updates  []membership.Update
}

// Option changes a Fleet.
type Option func(*Fleet)

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option { return func(f *Fleet) { f.timing = t } }

// WithPeers sets nodes that are asked for the list if the store cannot be reached at startup.
func WithPeers(peers ...netip.AddrPort) Option { return func(f *Fleet) { f.peers = peers } }

// Lookup returns an entry of a copy of the store, and whether there is one. It may be outdated.
type Lookup func(ctx context.Context, key string) (entry kvstore.Entry, ok bool, err error)

// WithLookup sets where the node looks for an earlier record under its name when it first registers, instead of reading
// the store.
func WithLookup(l Lookup) Option { return func(f *Fleet) { f.lookup = l } }

// WithTurns says in the node's record that it sends large values to nodes of older builds by turns.
func WithTurns() Option { return func(f *Fleet) { f.takesTurns = true } }

// WithLog sets the log for events.
func WithLog(l log.Interface) Option { return func(f *Fleet) { f.log = l } }

// maxSuspects bounds the nodes that other nodes suspect and that wait for an investigation.
const maxSuspects = 64

// followSlack is how long an answer to a follower may take beyond the wait.
const followSlack = time.Second

// New returns the membership part of the node self. Each registration sets the epoch that client sends.
func New(self membership.Node, store Store, client *node.Client, opts ...Option) *Fleet {
	f := &Fleet{
		self:          self,
		nonce:         uuid.NewString(),
		store:         store,
		client:        client,
		timing:        DefaultTiming,
		log:           &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		drainChanged:  make(chan struct{}, 1),
		recordLost:    make(chan struct{}, 1),
		storeRegained: make(chan struct{}, 1),
		suspects:      make(chan membership.Incarnation, maxSuspects),
		updated:       make(chan struct{}),
		version:       1,
		skipUntil:     make(map[netip.AddrPort]time.Time),
		investigating: make(map[membership.Incarnation]bool),
		statuses:      make(map[string]receivedStatus),
		relayDigests:  make(map[string]receivedDigest),
		domainDigests: make(map[string]receivedDigest),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.probeClient = client.Derive(node.WithTimeout(f.timing.ProbeTimeout))
	f.followClient = client.Derive(node.WithTimeout(f.timing.FollowWait + followSlack))
	f.state = membership.NewState(self.Name, f.timing.LeaseTTL)
	f.view.Store(f.state.View(time.Now()))
	f.changes.Publish(f.view.Load())
	return f
}

// Mount adds the handlers of messages from other nodes to the router of the node-to-node listener.
func (f *Fleet) Mount(router chi.Router) {
	node.Handle(router, pathProbe, f.handleProbe)
	node.Handle(router, pathVerify, f.handleVerify)
	node.Handle(router, pathSuspect, f.handleSuspect)
	node.Handle(router, pathFollow, f.handleFollow)
	node.Handle(router, pathDigest, f.handleDigest)
}

// Run maintains the membership until ctx ends, and then returns nil. It returns ErrSuperseded if another process
// has registered under the node's name.
func (f *Fleet) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.keepLease(ctx) })
	group.Go(func() error { return f.keepList(ctx) })
	group.Go(func() error { return f.heartbeat(ctx) })
	group.Go(func() error { return f.pollVMs(ctx) })
	group.Go(func() error { return f.exchangeDigests(ctx) })
	group.Go(func() error { return f.tick(ctx) })
	err := group.Wait()
	if errors.Is(err, ErrSuperseded) {
		return err
	}
	return nil
}

// View returns the current view of the fleet. It is never nil.
func (f *Fleet) View() *membership.View { return f.view.Load() }

// Subscribe returns a channel that carries the latest view after each change, until ctx ends. A slow reader
// misses intermediate views, never the latest one.
func (f *Fleet) Subscribe(ctx context.Context) <-chan *membership.View {
	return f.changes.Subscribe(ctx)
}

// Relays returns the relays of the node's failure domain, and whether the node itself is one of them. A relay
// whose lease cannot be renewed remains one, since its followers still have it in their views.
func (f *Fleet) Relays() (relays []membership.Node, self bool) {
	nodes := f.View().Nodes
	if _, ok := f.View().Node(f.self.Name); !ok {
		nodes = append(slices.Clone(nodes), f.self)
	}
	relays = membership.Relays(nodes, f.self.FailureDomain)
	self = slices.ContainsFunc(relays, func(r membership.Node) bool { return r.Name == f.self.Name })
	return relays, self
}

// WhileReachable returns a context that ends when ctx does or when the named node becomes unreachable.
func (f *Fleet) WhileReachable(ctx context.Context, name string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	views := f.Subscribe(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case v := <-views:
				if slices.ContainsFunc(v.Unreachable, func(n membership.Node) bool { return n.Name == name }) {
					cancel()
				}
			}
		}
	}()
	return ctx, cancel
}

// Self returns the node that was passed to New. Its Epoch is not set.
func (f *Fleet) Self() membership.Node { return f.self }

// publish stores a new view if it differs from the last one or the own lease was renewed, and sends it to
// subscribers if it differs. A change of loads alone becomes visible with the next renewal. The caller holds f.mu.
func (f *Fleet) publish(now time.Time) {
	f.state.RemoveDeferred(now)
	next := f.state.View(now)
	last := f.view.Load()
	if next.Equal(last) && next.LeaseEnd.Equal(last.LeaseEnd) {
		return
	}
	f.view.Store(next)
	if next.Equal(last) {
		return
	}
	f.logChange(last, next)
	f.changes.Publish(next)
	if next.StoreFresh && !last.StoreFresh {
		f.notifyStoreRegained()
	}
}

// notifyStoreRegained notifies this node's registration and its followers that the store confirms the list again. Without
// it they would learn of it only after their backoff and after FollowWait. The caller holds f.mu.
func (f *Fleet) notifyStoreRegained() {
	f.version++
	f.wakeFollowers()
	select {
	case f.storeRegained <- struct{}{}:
	default:
	}
}

// logChange logs the differences between two views.
func (f *Fleet) logChange(last, next *membership.View) {
	if last.StoreFresh != next.StoreFresh {
		event.Log(f.log, event.StoreFreshness, event.Fields{"fresh": next.StoreFresh})
	}
	for _, n := range next.Nodes {
		if old, ok := last.Node(n.Name); !ok || old.Epoch != n.Epoch {
			event.Log(f.log, event.MemberJoined, event.Fields{"node": n.Name, "epoch": n.Epoch})
		}
	}
	for _, n := range last.Nodes {
		if _, ok := next.Node(n.Name); !ok {
			unreachable := slices.ContainsFunc(next.Unreachable, func(u membership.Node) bool { return u.Name == n.Name })
			event.Log(f.log, event.MemberLeft, event.Fields{"node": n.Name, "epoch": n.Epoch, "unreachable": unreachable})
		}
	}
}

// wakeFollowers wakes the followers that wait for a change. The caller holds f.mu.
func (f *Fleet) wakeFollowers() {
	close(f.updated)
	f.updated = make(chan struct{})
}

// tick publishes changes of the view that result from the passage of time alone.
func (f *Fleet) tick(ctx context.Context) error {
	ticker := time.NewTicker(f.timing.HeartbeatInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			f.mu.Lock()
			f.publish(now)
			f.mu.Unlock()
		}
	}
}

// Package fleet keeps a node's membership: its lease in the store, heartbeats with other nodes, and the list
// of the fleet, which a few relays of each failure domain watch for the others.
//
// The decisions are those of core/membership; this package gives them events and carries out what they ask.
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

// Store is what the fleet needs of the platform. Its errors are those of the platform's client.
type Store interface {
	Get(ctx context.Context, key string) (kvstore.Entry, error)
	List(ctx context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error)
	CompareAndSwap(ctx context.Context, key string, expected kvstore.Revision, value []byte, lease kvstore.LeaseID) (kvstore.Revision, error)
	Watch(ctx context.Context, prefix string, after kvstore.Revision) ([]kvstore.Change, kvstore.Revision, error)
	GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error)
	KeepAlive(ctx context.Context, id kvstore.LeaseID) (time.Duration, error)
	RevokeLease(ctx context.Context, id kvstore.LeaseID) error
	VMs(ctx context.Context) ([]kvstore.VM, error)
}

// Timing holds the periods of the membership protocol.
type Timing struct {
	LeaseTTL          time.Duration
	LeaseMargin       time.Duration // the holder stops that much before the lease lapses
	RenewInterval     time.Duration // between renewals of the lease
	HeartbeatInterval time.Duration // between probes of one target
	ProbeTimeout      time.Duration
	FollowWait        time.Duration // how long a relay holds a follower's request without news
	DigestInterval    time.Duration // between a relay's questions to other relays
	VMPollInterval    time.Duration // between a relay's reads of the list of VMs
	RetryMin          time.Duration // after a failed call; the wait is spread evenly up to RetryMax
	RetryMax          time.Duration
	OutageThreshold   time.Duration // a relay that misses the store for longer defers removals by a lease's time
	BatchDelay        time.Duration // a relay waits that long after a change for further ones
}

// DefaultTiming detects a dead peer in about two seconds and a lapsed lease in twelve.
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
	self   membership.Node // Epoch is not used
	nonce  string          // names this process in its record
	store  Store
	client *node.Client
	probes *node.Client // bounded by ProbeTimeout
	follow *node.Client // bounded by FollowWait and a little more
	timing Timing
	peers  []netip.AddrPort
	log    log.Interface

	view     atomic.Pointer[membership.View]
	draining atomic.Bool
	suspects chan membership.Incarnation // reported by other nodes
	drain    chan struct{}               // signals a change of draining, capacity one

	mu       sync.Mutex
	state    *membership.State
	batches  []batch       // recent changes in order of revision
	base     uint64        // batches are complete after this revision
	version  uint64        // grows when what a relay tells besides the list changes
	news     chan struct{} // closed and replaced when revision or version grow
	changes  latest.Topic[*membership.View]
	avoid    map[netip.AddrPort]time.Time    // sources that failed, and until when they are passed over
	checking map[membership.Incarnation]bool // investigations under way
	lease    kvstore.LeaseID                 // zero while not registered
	left     bool                            // the node has given up its lease for good
	status   Status                          // of this node
	statuses map[string]heardStatus          // of the nodes that follow this one
	fellows  map[string]heardDigest          // of the other relays of the failure domain by name
	domains  map[string]heardDigest          // of other failure domains
	relay    bool                            // relayed marks come from other failure domains, not from a relay
	storeOK  time.Time                       // last answer of the store to this node's own watch or list
}

// batch is a set of changes that lead to a revision.
type batch struct {
	revision uint64
	updates  []membership.Update
}

// Option changes a Fleet.
type Option func(*Fleet)

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option { return func(f *Fleet) { f.timing = t } }

// WithPeers names nodes that are asked for the list when the store cannot be reached at the start.
func WithPeers(peers ...netip.AddrPort) Option { return func(f *Fleet) { f.peers = peers } }

// WithLog sets where events go.
func WithLog(l log.Interface) Option { return func(f *Fleet) { f.log = l } }

// maxSuspects bounds the suspicions that wait to be looked into.
const maxSuspects = 64

// followSlack is what an answer to a follower may take beyond the wait.
const followSlack = time.Second

// New returns the membership part of the node self. The client is the node's own; it learns its epoch here.
func New(self membership.Node, store Store, client *node.Client, opts ...Option) *Fleet {
	f := &Fleet{
		self:     self,
		nonce:    uuid.NewString(),
		store:    store,
		client:   client,
		timing:   DefaultTiming,
		log:      &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		drain:    make(chan struct{}, 1),
		suspects: make(chan membership.Incarnation, maxSuspects),
		news:     make(chan struct{}),
		version:  1,
		avoid:    make(map[netip.AddrPort]time.Time),
		checking: make(map[membership.Incarnation]bool),
		statuses: make(map[string]heardStatus),
		fellows:  make(map[string]heardDigest),
		domains:  make(map[string]heardDigest),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.probes = client.Derive(node.WithTimeout(f.timing.ProbeTimeout))
	f.follow = client.Derive(node.WithTimeout(f.timing.FollowWait + followSlack))
	f.state = membership.NewState(self.Name, f.timing.LeaseTTL)
	f.view.Store(f.state.View(time.Now()))
	f.changes.Publish(f.view.Load())
	return f
}

// Mount registers the messages that other nodes send.
func (f *Fleet) Mount(router chi.Router) {
	node.Handle(router, pathProbe, f.handleProbe)
	node.Handle(router, pathVerify, f.handleVerify)
	node.Handle(router, pathSuspect, f.handleSuspect)
	node.Handle(router, pathFollow, f.handleFollow)
	node.Handle(router, pathDigest, f.handleDigest)
}

// Run keeps the membership until ctx ends. It returns ErrSuperseded when another process has registered under
// the node's name, and nil when ctx ended.
func (f *Fleet) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.keepLease(ctx) })
	group.Go(func() error { return f.keepList(ctx) })
	group.Go(func() error { return f.heartbeat(ctx) })
	group.Go(func() error { return f.pollVMs(ctx) })
	group.Go(func() error { return f.exchange(ctx) })
	group.Go(func() error { return f.tick(ctx) })
	err := group.Wait()
	if errors.Is(err, ErrSuperseded) {
		return err
	}
	return nil
}

// View returns the fleet as this node sees it now. It is never nil.
func (f *Fleet) View() *membership.View { return f.view.Load() }

// Subscribe returns a channel that carries the latest view after each change, until ctx ends. A reader that
// is slow misses views between, never the last one.
func (f *Fleet) Subscribe(ctx context.Context) <-chan *membership.View {
	return f.changes.Subscribe(ctx)
}

// Relays returns the relays of the node's failure domain, and whether the node itself is one of them. A node
// that was one stays one while its lease cannot be renewed, since its followers see it as before.
func (f *Fleet) Relays() (relays []membership.Node, self bool) {
	nodes := f.View().Nodes
	if _, ok := f.View().Node(f.self.Name); !ok {
		nodes = append(slices.Clone(nodes), f.self)
	}
	relays = membership.Relays(nodes, f.self.FailureDomain)
	self = slices.ContainsFunc(relays, func(r membership.Node) bool { return r.Name == f.self.Name })
	return relays, self
}

// WhileReachable returns a context that ends when ctx does or the node of that name becomes unreachable.
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

// Self returns the node's own place in the fleet.
func (f *Fleet) Self() membership.Node { return f.self }

// Publishes a new view when it differs from the last, at least as often as the own lease is renewed.
// The caller holds f.mu.
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
}

// Logs what differs between two views.
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

// Wakes the followers that wait for news. The caller holds f.mu.
func (f *Fleet) wake() {
	close(f.news)
	f.news = make(chan struct{})
}

// Publishes what only the passing of time changes.
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

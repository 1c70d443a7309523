// Package intent brings the head of the configuration and its documents from the store to the node.
//
// The relays of a failure domain watch the head in the store; the other nodes follow a relay by long polls,
// with the store as the fallback. The decisions are those of core/spread.
package intent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/latest"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/spread"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
)

// Store is what the spread needs of the platform. Its errors are those of the platform's client. Watches wait
// WatchWait.
type Store interface {
	List(ctx context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error)
	Watch(ctx context.Context, prefix string, after kvstore.Revision) ([]kvstore.Change, kvstore.Revision, error)
}

// Fleet is what the spread needs of membership.
type Fleet interface {
	View() *membership.View
	Relays() (relays []membership.Node, self bool)
	Self() membership.Node
	// WhileReachable returns a context that ends when the node of that name becomes unreachable.
	WhileReachable(ctx context.Context, name string) (context.Context, context.CancelFunc)
}

// The periods of the spread. In rest a relay's confirmation is at most WatchWait old and a follower's at most
// that and FollowWait, well inside spread.MaxConfirmationAge.
const (
	WatchWait  = 2500 * time.Millisecond // of a relay's watch of the head
	FollowWait = 2500 * time.Millisecond // of a follower's long poll

	followSlack   = time.Second
	documentTime  = 5 * time.Second // to fetch one document
	retryMin      = 300 * time.Millisecond
	retryMax      = time.Second
	quietTime     = 4 * time.Second         // without a confirmation, other failure domains are asked
	consultPeriod = 2500 * time.Millisecond // between rounds of asking them
	sharedTime    = 3 * consultPeriod       // how long one such round vouches for
	avoidTime     = 5 * time.Second
	reportTime    = 3 * FollowWait // a follower that is silent for longer counts as missing
	tickPeriod    = 500 * time.Millisecond
)

// Intent is the configuration part of a node. It is safe for concurrent use.
type Intent struct {
	store  Store
	fleet  Fleet
	follow *node.Client
	fetch  *node.Client
	report *node.Client
	log    log.Interface

	current atomic.Pointer[snapshot]

	mu       sync.Mutex
	state    spread.State
	inForce  *bundle.InForce
	revision kvstore.Revision // of the store, after which the head is watched
	teller   membership.Node  // told of the wanted head; empty when the store did
	problem  string           // why the wanted head is not in force
	docs     documents
	news     chan struct{} // closed and replaced when a head comes into force
	changes  latest.Topic[*bundle.InForce]
	reports  map[string]report // of followers by name
	avoid    map[string]time.Time
	standing spread.Status // as last logged
}

// snapshot is what readers see.
type snapshot struct {
	inForce *bundle.InForce
	contact spread.Confirmation
}

// Option changes an Intent.
type Option func(*Intent)

// WithLog sets where events go.
func WithLog(l log.Interface) Option { return func(in *Intent) { in.log = l } }

// New returns the configuration part of a node.
func New(store Store, fleet Fleet, client *node.Client, opts ...Option) *Intent {
	in := &Intent{
		store:    store,
		fleet:    fleet,
		follow:   client.Derive(node.WithTimeout(FollowWait + followSlack)),
		fetch:    client.Derive(node.WithTimeout(documentTime)),
		report:   client.Derive(node.WithTimeout(reportTimeout)),
		log:      &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		news:     make(chan struct{}),
		reports:  make(map[string]report),
		avoid:    make(map[string]time.Time),
		standing: spread.None,
	}
	for _, opt := range opts {
		opt(in)
	}
	in.current.Store(&snapshot{})
	return in
}

// Mount registers the messages that other nodes send.
func (in *Intent) Mount(router chi.Router) {
	node.Handle(router, pathFollow, in.handleFollow)
	node.Handle(router, pathDocument, in.handleDocument)
	node.Handle(router, pathReport, in.handleReport)
}

// Run keeps the configuration current until ctx ends.
func (in *Intent) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return in.keepHead(ctx) })
	group.Go(func() error { return in.keepInTouch(ctx) })
	group.Go(func() error { return in.tick(ctx) })
	return group.Wait()
}

// Current returns what the node applies, nil before it holds a head, and how fresh that is. A node whose
// freshness does not take work refuses new requests.
func (in *Intent) Current() (*bundle.InForce, spread.Freshness) {
	s := in.current.Load()
	return s.inForce, spread.Evaluate(s.inForce != nil, s.contact, time.Now())
}

// Subscribe returns a channel that carries what is in force after each change, until ctx ends. A reader that
// is slow misses some between, never the last one.
func (in *Intent) Subscribe(ctx context.Context) <-chan *bundle.InForce {
	return in.changes.Subscribe(ctx)
}

// Puts a head into force whose documents are at hand. The caller holds in.mu.
func (in *Intent) apply(next *bundle.InForce) {
	if !in.state.Apply(next.Head) {
		return
	}
	in.inForce = next
	in.problem = ""
	in.publish()
	event.Log(in.log, event.HeadInForce, event.Fields{"revision": next.Head.Revision, "bundle": next.Head.BundleID})
	close(in.news)
	in.news = make(chan struct{})
	in.changes.Publish(next)
}

// Hands readers what is in force and when it was vouched for. The caller holds in.mu.
func (in *Intent) publish() {
	in.current.Store(&snapshot{inForce: in.inForce, contact: in.state.Confirmation()})
}

// Logs changes of the node's standing, which come with the passing of time too.
func (in *Intent) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		_, fresh := in.Current()
		in.mu.Lock()
		if fresh.Status != in.standing {
			in.standing = fresh.Status
			event.Log(in.log, event.StandingChanged, event.Fields{"standing": string(fresh.Status), "age": fresh.Age.String()})
		}
		in.mu.Unlock()
	}
}

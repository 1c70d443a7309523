// Package intent distributes the configuration: it brings the head, and the documents that the head names, from the
// store to every node.
//
// The relays of a failure domain watch the head in the store. The other nodes follow a relay by long polls, and read
// the store if no relay serves them. Package core/spread decides which head a node applies and whether the node accepts
// new work under it.
//
// An Intent runs on each node: Run keeps it current, Mount serves other nodes, Current and Subscribe return what is in
// force, and InForceReport collects which nodes have a revision in force.
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
	"ebonyferry/internal/base/progress"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/spread"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
	"ebonyferry/internal/run/transfer"
)

// Store is the key-value service. Its errors are those of package kvstore. A watch waits for up to WatchWait.
type Store interface {
	Get(ctx context.Context, key string) (kvstore.Entry, error)
	CompareAndSwap(ctx context.Context, key string, expected kvstore.Revision, value []byte, lease kvstore.LeaseID) (kvstore.Revision, error)
	Delete(ctx context.Context, key string, expected kvstore.Revision) error
	List(ctx context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error)
	Watch(ctx context.Context, prefix string, after kvstore.Revision) ([]kvstore.Change, kvstore.Revision, error)
}

// Fleet provides the membership.
type Fleet interface {
	View() *membership.View
	// Relays returns the relays of the node's failure domain, and whether the node is one of them.
	Relays() (relays []membership.Node, self bool)
	Self() membership.Node
	// WhileReachable returns a context that ends when the named node becomes unreachable.
	WhileReachable(ctx context.Context, name string) (context.Context, context.CancelFunc)
}

// The timing of the distribution. At rest, a relay's confirmation is at most WatchWait old and a follower's at most
// WatchWait+FollowWait, well below spread.MaxConfirmationAge.
const (
	WatchWait  = 2500 * time.Millisecond // of a relay's watch on the head
	FollowWait = 2500 * time.Millisecond // of a follower's long poll

	followSlack        = time.Second
	retryMin           = 300 * time.Millisecond
	retryMax           = time.Second
	maxConfirmationGap = 4 * time.Second         // without a confirmation, before the node queries the fleet
	queryPeriod        = 2500 * time.Millisecond // between queries of the fleet
	sharedOutageTime   = 3 * queryPeriod         // for which one query establishes a shared outage
	avoidTime          = 5 * time.Second         // for which a failed relay is not followed
	maxReportAge       = 3 * FollowWait          // a follower without a newer report is no longer counted
	statusLogPeriod    = 500 * time.Millisecond
)

// documentLimit bounds the time of a document that is sent in one message, or of one of its parts. Followers of a relay may all wait for
// their parts.
var documentLimit = progress.Limit{Start: 5 * time.Second, Stall: 2 * time.Second}

// Intent keeps the configuration of one node current. It is safe for concurrent use.
type Intent struct {
	store          Store
	fleet          Fleet
	followClient   *node.Client
	documentClient *node.Client
	reportClient   *node.Client
	values         *transfer.Cache // documents, by kind
	log            log.Interface

	current atomic.Pointer[snapshot]

	mu           sync.Mutex
	state        spread.State
	inForce      *bundle.InForce
	revision     kvstore.Revision           // of the store; the watch on the head continues after it
	known        map[bundle.Revision]string // recent heads of the store, encoded
	oldestKnown  bundle.Revision            // lowest key of known
	headLost     bool                       // the store was restored and may lack the head in force
	latestFrom   membership.Node            // that sent the latest head; empty if the store did
	problem      string                     // why the latest head is not in force
	docs         documentCache
	headChanged  chan struct{} // closed and replaced when the node applies a head
	changes      latest.Topic[*bundle.InForce]
	reports      map[string]followerReport // of followers by name
	avoid        map[string]time.Time
	loggedStatus spread.Status // the status that was logged last
}

// snapshot is the state that Current reads without a lock.
type snapshot struct {
	inForce      *bundle.InForce
	confirmation spread.Confirmation
}

// Option configures an Intent.
type Option func(*Intent)

// WithLog sets the logger of events; by default they are discarded.
func WithLog(l log.Interface) Option { return func(in *Intent) { in.log = l } }

// New returns an Intent without a head. It is idle until Run.
func New(store Store, fleet Fleet, client *node.Client, opts ...Option) *Intent {
	in := &Intent{
		store:          store,
		fleet:          fleet,
		followClient:   client.Derive(node.WithTimeout(FollowWait + followSlack)),
		documentClient: client.Derive(node.WithLimit(documentLimit)),
		reportClient:   client.Derive(node.WithTimeout(reportTimeout)),
		log:            &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		headChanged:    make(chan struct{}),
		reports:        make(map[string]followerReport),
		values:         transfer.NewCache(),
		known:          make(map[bundle.Revision]string),
		avoid:          make(map[string]time.Time),
		loggedStatus:   spread.None,
	}
	for _, opt := range opts {
		opt(in)
	}
	in.current.Store(&snapshot{})
	return in
}

// Mount adds the handlers of messages from other nodes to the router of the node-to-node listener.
func (in *Intent) Mount(router chi.Router) {
	node.Handle(router, pathFollow, in.handleFollow)
	node.Handle(router, pathDocument, in.handleDocument)
	node.Handle(router, pathReport, in.handleReport)
	in.values.Mount(router)
}

// Run keeps the configuration current until ctx ends.
func (in *Intent) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return in.keepHead(ctx) })
	group.Go(func() error { return in.pollFleet(ctx) })
	group.Go(func() error { return in.logStatusChanges(ctx) })
	return group.Wait()
}

// Current returns the configuration in force, nil before the first head, and its freshness. The caller must refuse new
// requests unless the freshness accepts work.
func (in *Intent) Current() (*bundle.InForce, spread.Freshness) {
	s := in.current.Load()
	return s.inForce, spread.Evaluate(s.inForce != nil, s.confirmation, time.Now())
}

// Subscribe returns a channel that receives the configuration in force after each change, until ctx ends. A slow reader
// misses intermediate values, never the last one.
func (in *Intent) Subscribe(ctx context.Context) <-chan *bundle.InForce {
	return in.changes.Subscribe(ctx)
}

// apply puts a head into force whose documents have been loaded. The caller holds in.mu.
func (in *Intent) apply(next *bundle.InForce) {
	if !in.state.Apply(next.Head) {
		return
	}
	in.inForce = next
	in.problem = ""
	in.publish()
	event.Log(in.log, event.HeadInForce, event.Fields{"revision": next.Head.Revision, "bundle": next.Head.BundleID})
	close(in.headChanged)
	in.headChanged = make(chan struct{})
	in.changes.Publish(next)
}

// publish makes the configuration in force and its confirmation visible to Current. The caller holds in.mu.
func (in *Intent) publish() {
	in.current.Store(&snapshot{inForce: in.inForce, confirmation: in.state.Confirmation()})
}

// logStatusChanges logs changes of the node's status. It polls, since the passage of time alone can change the status.
func (in *Intent) logStatusChanges(ctx context.Context) error {
	ticker := time.NewTicker(statusLogPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		_, fresh := in.Current()
		in.mu.Lock()
		if fresh.Status != in.loggedStatus {
			in.loggedStatus = fresh.Status
			event.Log(in.log, event.StandingChanged, event.Fields{"standing": string(fresh.Status), "age": fresh.Age.String()})
		}
		in.mu.Unlock()
	}
}

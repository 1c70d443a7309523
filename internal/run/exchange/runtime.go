package exchange

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/evidence"
	"ebonyferry/internal/core/placement"
	"ebonyferry/internal/core/retry"
	"ebonyferry/internal/core/route"
	"ebonyferry/internal/core/versions"
	"ebonyferry/internal/edge/node"
)

// This file defines the runtime: what all exchanges of a node share.

// Peer is another node.
type Peer struct {
	Name   string
	Addr   netip.AddrPort
	Domain string // failure domain
	Hub    bool   // sums up what the nodes of its failure domain placed
}

// Fleet tells what the runtime needs of membership.
type Fleet interface {
	// Peers returns the other live nodes. The caller does not change the list.
	Peers() []Peer
	// Rank returns the number of live nodes and this node's rank among them, from 0.
	Rank() (nodes, rank int)
}

// Runtime runs exchanges. It is safe for concurrent use.
type Runtime struct {
	domain   string // failure domain of the node
	upstream Upstream
	fleet    Fleet
	log      log.Interface
	observer Observer
	config   atomic.Pointer[route.Config]
	count    counters
	inHand   atomic.Int64
	stop     atomic.Pointer[time.Time]   // the drain's end; nil while not draining
	peers    atomic.Pointer[node.Client] // nil until BroadcastLoads runs
	news     chan struct{}               // holds one while other nodes have something to hear

	mu       sync.Mutex
	rules    Bounds
	pool     *backend.Pool
	book     *book
	tracker  *evidence.Tracker
	verdicts map[string]verdict // by service
	pace     pace
	budget   *retry.WindowBudget
	waiting  waitlist
	served   servedLines
	lengths  map[string]*placement.TypicalLength // of whole answers, by route
	rollouts map[string]*versions.Rollout        // by service
	runs     map[string]*streamRun               // streams in hand by request ID
	moving   map[string]bool                     // servers whose runs are being moved
	notices  map[string]time.Time                // when servers with runs were first known to leave
	isHub    bool                                // passes on what the nodes of its failure domain placed
	asking   bool                                // a request asks the hub for the sum of loads
	askAfter time.Time                           // until when the hub is not asked
}

// Bounds are the bounds that a node keeps together with the others.
type Bounds struct {
	RetryRatio  float64       // repeats in a window to requests in it, of all nodes
	RetrySlack  float64       // repeats in a window beside the ratio, of all nodes
	RetryWindow time.Duration //
	ColdRatio   float64       // cold servers bear that many times their rate
	ColdSlack   float64       // requests a second beside that
}

// DefaultBounds are safe where the platform names no bounds.
var DefaultBounds = Bounds{RetryRatio: 0.1, RetrySlack: 10, RetryWindow: 10 * time.Second, ColdRatio: 1, ColdSlack: 0}

// Option changes a Runtime.
type Option func(*Runtime)

// WithLog sets where events go.
func WithLog(l log.Interface) Option { return func(rt *Runtime) { rt.log = l } }

// WithBounds sets the bounds that the node keeps.
func WithBounds(r Bounds) Option { return func(rt *Runtime) { rt.rules = r } }

// New returns the runtime of a node in a failure domain. It refuses all work until SetConfig.
func New(domain string, up Upstream, fleet Fleet, opts ...Option) *Runtime {
	rt := &Runtime{
		domain: domain, upstream: up, fleet: fleet, log: log.Log, observer: silent{}, rules: DefaultBounds,
		pool:     backend.NewPool(),
		book:     newBook(),
		tracker:  evidence.New(),
		verdicts: make(map[string]verdict),
		lengths:  make(map[string]*placement.TypicalLength),
		rollouts: make(map[string]*versions.Rollout),
		runs:     make(map[string]*streamRun),
		moving:   make(map[string]bool),
		news:     make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(rt)
	}
	rt.budget = retry.NewWindowBudget(rt.rules.RetryRatio, rt.rules.RetrySlack, rt.rules.RetryWindow)
	return rt
}

// SetBounds changes the bounds that the node keeps.
func (rt *Runtime) SetBounds(r Bounds) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if r == rt.rules {
		return
	}
	rt.rules = r
	rt.budget = retry.NewWindowBudget(r.RetryRatio, r.RetrySlack, r.RetryWindow)
}

// SetConfig puts a config in force unless a higher version is.
func (rt *Runtime) SetConfig(c *route.Config) {
	old := rt.config.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	rt.config.Store(c)
	event.Log(rt.log, event.ConfigInForce, event.Fields{"version": c.Version})
	rt.wake()
}

// Ready reports whether the node takes new callers.
func (rt *Runtime) Ready() bool { return rt.config.Load() != nil && rt.stop.Load() == nil }

// InFlight returns the number of requests being served.
func (rt *Runtime) InFlight() int { return int(rt.inHand.Load()) }

// Drain makes the node refuse requests that would not end by a time.
func (rt *Runtime) Drain(end time.Time) {
	rt.stop.Store(&end)
	rt.wake()
}

// UpdatePool changes the registered servers through fn, and tells those that wait and run.
func (rt *Runtime) UpdatePool(fn func(p *backend.Pool)) {
	rt.mu.Lock()
	fn(rt.pool)
	rt.forgetGone()
	rt.mu.Unlock()
	rt.wake()
	rt.rescue()
}

// Drops what is known of servers that are gone. The caller holds mu.
func (rt *Runtime) forgetGone() {
	known := make(map[string]bool)
	for _, id := range rt.pool.IDs() {
		known[id] = true
	}
	rt.tracker.RetainOnly(known)
	maps.DeleteFunc(rt.book.full, func(id string, _ time.Time) bool { return !known[id] })
	maps.DeleteFunc(rt.pace.sent, func(id string, _ []time.Time) bool { return !known[id] })
}

// Run keeps the shared state current until ctx ends.
func (rt *Runtime) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			rt.wake()
		}
	}
}

// tickPeriod is how often waiting requests are looked at when nothing else wakes them: paces of cold servers and
// lapsed entries change with time alone.
const tickPeriod = 20 * time.Millisecond

// Serve runs one exchange. ctx ends when the caller leaves.
func (rt *Runtime) Serve(ctx context.Context, req *Request, w Responder) Result {
	rt.inHand.Add(1)
	defer rt.inHand.Add(-1)
	adm, refusal := rt.admit(req)
	if refusal != nil {
		result := refuse(w, *refusal)
		rt.logEnd(req, classNone, "", 0, result)
		return result
	}
	result := rt.serve(ctx, adm, w)
	rt.logEnd(req, classes[adm.Route.Kind], adm.Account, adm.Route.LatencyTarget, result)
	return result
}

func (rt *Runtime) serve(ctx context.Context, adm *Admitted, w Responder) Result {
	ctx, cancel := context.WithDeadline(ctx, adm.Deadline)
	defer cancel()
	rt.mu.Lock()
	rt.budget.CountRequest(adm.Service.Name, time.Now())
	rt.mu.Unlock()
	if adm.Route.Kind == route.Stream {
		return rt.serveStream(ctx, adm, w)
	}
	return rt.serveCall(ctx, adm, w)
}

// Writes a refusal and returns it as a result.
func refuse(w Responder, r Refusal) Result {
	if err := w.Refuse(r); err != nil {
		return Result{Reason: ReasonCallerLeft}
	}
	return Result{Reason: r.Reason}
}

// configRetryAfter is when a caller may come back to a node without a config: the store answers in milliseconds
// once it is reached.
const configRetryAfter = 500 * time.Millisecond

// Finds the route, the client account and the deadline of a request.
func (rt *Runtime) admit(req *Request) (*Admitted, *Refusal) {
	cfg := rt.config.Load()
	if cfg == nil {
		return nil, &Refusal{Reason: ReasonNotReady, RetryAfter: configRetryAfter}
	}
	r, ok := cfg.Match(req.Host, req.Path)
	if !ok {
		return nil, &Refusal{Reason: ReasonNoRoute}
	}
	account := cfg.Account(req.Key)
	if account == nil && cfg.NeedsKey(r) {
		return nil, &Refusal{Reason: ReasonNoAccount}
	}
	if req.ID == "" {
		return nil, &Refusal{Reason: ReasonBadRequest}
	}
	adm := &Admitted{Request: req, Route: r, Urgency: r.EffectivePriority(account)}
	if account != nil && !r.Public {
		adm.Account = account.Name
	}
	adm.Service = cfg.Service(r.Pick(req.ID))
	if adm.Service == nil {
		return nil, &Refusal{Reason: ReasonNoServer, RetryAfter: configRetryAfter}
	}
	adm.Deadline = req.Arrived.Add(r.Timeout)
	if req.CallerTimeout > 0 && req.CallerTimeout < r.Timeout {
		adm.Deadline = req.Arrived.Add(req.CallerTimeout)
	}
	if rt.endsBefore(adm) {
		return nil, &Refusal{Reason: ReasonDraining, RetryAfter: drainRetryAfter}
	}
	return adm, nil
}

// drainRetryAfter sends a caller to another node at once.
const drainRetryAfter = 50 * time.Millisecond

// shortWork is how long a call of a plain service or a short stream takes at most as a rule.
const shortWork = 1500 * time.Millisecond

// Reports whether the node ends before a request that came now would be answered.
func (rt *Runtime) endsBefore(adm *Admitted) bool {
	end := rt.stop.Load()
	if end == nil {
		return false
	}
	if adm.Route.Kind == route.Stream {
		return true
	}
	return time.Now().Add(min(shortWork, adm.Route.Timeout)).After(*end)
}

// Limits returns the bounds on what a caller may send, of zero when no config is in force.
func (rt *Runtime) Limits() route.Limits {
	if cfg := rt.config.Load(); cfg != nil {
		return cfg.Limits
	}
	return route.Limits{}
}

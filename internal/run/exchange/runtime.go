// This file defines the runtime: the state that all exchanges of a node share.

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
	"ebonyferry/internal/base/stall"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/drain"
	"ebonyferry/internal/core/evidence"
	"ebonyferry/internal/core/placement"
	"ebonyferry/internal/core/quarantine"
	"ebonyferry/internal/core/retry"
	"ebonyferry/internal/core/route"
	"ebonyferry/internal/core/versions"
	"ebonyferry/internal/edge/node"
)

// Peer is another node.
type Peer struct {
	Name   string
	Addr   netip.AddrPort
	Domain string // failure domain
	Hub    bool   // sums the loads that the nodes of its failure domain placed
}

// Fleet is what the runtime needs of membership.
type Fleet interface {
	// Self returns the name of this node.
	Self() string
	// Peers returns the other live nodes. The caller must not modify the list.
	Peers() []Peer
	// Rank returns the number of nodes that share the bounds, and this node's rank among them, from 0. They are all nodes that may send
	// requests, also those that other nodes do not reach. The number is 0 while the fleet is not known.
	Rank() (nodes, rank int)
	// Judges returns the nodes that sum what all nodes observed of crashes, without this node, and whether it is one.
	Judges() (others []Peer, self bool)
}

// Runtime runs exchanges. It is safe for concurrent use.
type Runtime struct {
	domain        string // failure domain of the node
	firstStart    bool   // of the whole fleet
	upstream      Upstream
	fleet         Fleet
	log           log.Interface
	observer      Observer
	usage         func(account string, began time.Time) // see WithUsage; may be nil
	config        atomic.Pointer[route.Config]
	count         counters
	inFlight      atomic.Int64
	drain         atomic.Pointer[drain.Window] // nil while not draining
	stopping      context.Context              // ends when unanswered requests end, see Drain
	stop          context.CancelCauseFunc      // ends stopping
	peerClient    atomic.Pointer[node.Client]  // nil until BroadcastLoads runs
	loadsChanged  chan struct{}                // holds one element while there are load changes to send
	crashReported chan struct{}                // holds one element while there are crashes to report or to judge

	mu             sync.Mutex
	bounds         Bounds
	pool           *backend.Pool
	loads          *loadTable
	tracker        *evidence.Tracker
	verdicts       map[string]verdict // by service
	coldPacer      coldPacer
	retries        *retry.WindowBudget
	waiting        waitlist
	servedLog      lineLimit
	speeds         *speedTable
	placedLog      lineLimit
	stopLog        lineLimit
	endLog         lineLimit
	answerLengths  map[string]*placement.TypicalLength // of whole answers, by route
	durations      map[string]*drain.Durations         // of calls, by route; at most maxObservedRoutes
	rollouts       map[string]*versions.Rollout        // by service
	runs           map[string]*streamRun               // streams in flight by request ID
	moving         map[string]bool                     // servers whose runs are being moved
	reported       map[serverStart]bool                // servers that answered when they were asked whether they still run
	notices        map[string]time.Time                // when servers with runs were first known to leave
	drainingSince  map[serverStart]time.Time           // when servers were first known to drain, never later than now
	parts          *quarantine.Parts
	passes         passes
	crashes        crashReports
	silent         []silentRequest
	rates          map[serverStart]*serverRate // of servers that name a rate, or did
	issued         map[serverStart]*issued     // servers that this node issues permits of
	avoidedIssuers map[string]time.Time        // until when nodes that did not answer are not asked for permits
	stalls         stall.Detector
	resumed        resumption            // after the last stall
	isHub          bool                  // the node forwards the loads of its failure domain
	refreshing     bool                  // a request is asking the hub for the sum of loads
	refreshAfter   time.Time             // the hub is not asked before this time
	digests        map[string]digestKind // by name; not changed after New
	demand         *demandTable
}

// Bounds are limits that all nodes keep together.
type Bounds struct {
	RetryRatio  float64 // retries per request in a window, over all nodes
	RetrySlack  float64 // retries in a window beyond the ratio, over all nodes
	RetryWindow time.Duration
	ColdRatio   float64 // multiple of its rate that a cold server accepts
	ColdSlack   float64 // requests per second beyond that
}

// DefaultBounds apply without WithBounds. They are safe if the platform sets no bounds.
var DefaultBounds = Bounds{RetryRatio: 0.1, RetrySlack: 10, RetryWindow: 10 * time.Second, ColdRatio: 1, ColdSlack: 0}

// Option changes a Runtime.
type Option func(*Runtime)

// WithLog sets where log events are written.
func WithLog(l log.Interface) Option { return func(rt *Runtime) { rt.log = l } }

// WithBounds sets the fleet's bounds.
func WithBounds(b Bounds) Option { return func(rt *Runtime) { rt.bounds = b } }

// WithFirstStart sets that the whole fleet starts for the first time.
func WithFirstStart() Option { return func(rt *Runtime) { rt.firstStart = true } }

// New returns the runtime of a node in a failure domain. It refuses all requests until SetConfig is called.
func New(domain string, up Upstream, fleet Fleet, opts ...Option) *Runtime {
	rt := &Runtime{
		domain: domain, upstream: up, fleet: fleet, log: log.Log, observer: noopObserver{}, bounds: DefaultBounds,
		pool:           backend.NewPool(),
		loads:          newLoadTable(),
		tracker:        evidence.New(),
		verdicts:       make(map[string]verdict),
		answerLengths:  make(map[string]*placement.TypicalLength),
		durations:      make(map[string]*drain.Durations),
		rollouts:       make(map[string]*versions.Rollout),
		runs:           make(map[string]*streamRun),
		moving:         make(map[string]bool),
		reported:       make(map[serverStart]bool),
		notices:        make(map[string]time.Time),
		drainingSince:  make(map[serverStart]time.Time),
		loadsChanged:   make(chan struct{}, 1),
		parts:          quarantine.NewParts(),
		crashes:        crashReports{sent: make(map[netip.AddrPort]int)},
		crashReported:  make(chan struct{}, 1),
		rates:          make(map[serverStart]*serverRate),
		issued:         make(map[serverStart]*issued),
		avoidedIssuers: make(map[string]time.Time),
		digests:        make(map[string]digestKind),
	}
	rt.stopping, rt.stop = context.WithCancelCause(context.Background())
	rt.speeds = newSpeedTable(rt.pool)
	rt.digests["speed"] = rt.speeds
	rt.demand = newDemandTable(rt)
	rt.digests[demandDigest] = rt.demand
	for _, opt := range opts {
		opt(rt)
	}
	rt.retries = retry.NewWindowBudget(rt.bounds.RetryRatio, rt.bounds.RetrySlack, rt.bounds.RetryWindow, time.Now())
	if rt.firstStart {
		rt.retries.NoEarlierProcess()
	}
	return rt
}

// SetBounds changes the fleet's bounds.
func (rt *Runtime) SetBounds(b Bounds) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if b == rt.bounds {
		return
	}
	rt.bounds = b
	rt.retries.SetLimits(b.RetryRatio, b.RetrySlack, b.RetryWindow, time.Now())
}

// SetConfig applies a configuration unless one of the same or a higher version is in force.
func (rt *Runtime) SetConfig(c *route.Config) {
	old := rt.config.Load()
	if old != nil && old.Version >= c.Version {
		return
	}
	rt.config.Store(c)
	event.Log(rt.log, event.ConfigInForce, event.Fields{"version": c.Version})
	if bad := c.MalformedWeights(); len(bad) > 0 {
		event.Log(rt.log, event.WeightMalformed, event.Fields{"version": c.Version, "accounts": len(bad), "account": bad[0]})
	}
	rt.grantWaiting()
}

// Ready reports whether the node accepts new callers.
func (rt *Runtime) Ready() bool { return rt.config.Load() != nil && rt.drain.Load() == nil }

// InFlight returns the number of requests being served.
func (rt *Runtime) InFlight() int { return int(rt.inFlight.Load()) }

// UpdatePool changes the registered servers through fn. It then places waiting requests and moves runs off servers
// that are leaving.
func (rt *Runtime) UpdatePool(fn func(p *backend.Pool)) {
	rt.mu.Lock()
	fn(rt.pool)
	rt.judgeSilent(time.Now())
	rt.recordDraining(time.Now())
	rt.forgetRemoved()
	rt.mu.Unlock()
	rt.grantWaiting()
	rt.moveLeaving()
}

// HasLeft reports whether a registration is from before its server was known to drain or to have left.
func (rt *Runtime) HasLeft(srv backend.Server) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.pool.Left(srv, time.Now())
}

// ServerAt returns the ID of the server at an address.
func (rt *Runtime) ServerAt(addr netip.AddrPort) (id string, ok bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	srv, ok := rt.pool.At(addr)
	return srv.ID, ok
}

// ServerAddr returns the address of a server.
func (rt *Runtime) ServerAddr(id string) (addr netip.AddrPort, ok bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	srv, ok := rt.pool.Get(id)
	return srv.Addr, ok
}

// forgetRemoved drops the state of servers that are no longer in the pool. The caller holds mu.
func (rt *Runtime) forgetRemoved() {
	known := make(map[string]bool)
	for _, id := range rt.pool.IDs() {
		known[id] = true
	}
	rt.tracker.RetainOnly(known)
	maps.DeleteFunc(rt.loads.fullUntil, func(id string, _ time.Time) bool { return !known[id] })
	maps.DeleteFunc(rt.loads.backoffUntil, func(id string, until time.Time) bool { return !known[id] || !time.Now().Before(until) })
	maps.DeleteFunc(rt.coldPacer.sent, func(id string, _ []time.Time) bool { return !known[id] })
	rt.speeds.retainServers(known)
	maps.DeleteFunc(rt.reported, func(s serverStart, _ bool) bool { return !known[s.id] })
	maps.DeleteFunc(rt.rates, func(s serverStart, _ *serverRate) bool { return !known[s.id] })
}

// Run regularly places waiting requests until ctx ends.
func (rt *Runtime) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			nodes, _ := rt.fleet.Rank()
			rt.mu.Lock()
			now := time.Now()
			rt.awaitsFreshData(now)
			rt.stalls.Tick(now)
			rt.retries.ObserveFleet(nodes, now)
			rt.mu.Unlock()
			rt.grantWaiting()
		}
	}
}

// tickPeriod is how often waiting requests are examined if no event triggers it: the rate limits of cold servers and
// the grace of lapsed registrations change with time alone.
const tickPeriod = 20 * time.Millisecond

// Serve runs one exchange. ctx ends if the caller leaves.
func (rt *Runtime) Serve(ctx context.Context, req *Request, w Responder) Result {
	rt.inFlight.Add(1)
	defer rt.inFlight.Add(-1)
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
	ctx, detach := rt.untilStopped(ctx)
	defer detach()
	ctx, cancel := context.WithDeadline(ctx, adm.Deadline)
	defer cancel()
	rt.mu.Lock()
	rt.retries.CountRequest(adm.Service.Name, time.Now())
	rt.mu.Unlock()
	if adm.Route.Kind == route.Stream {
		return rt.serveStream(ctx, adm, w)
	}
	return rt.serveCall(ctx, adm, w)
}

// refuse writes a refusal and returns the result.
func refuse(w Responder, r Refusal) Result {
	if err := w.Refuse(r); err != nil {
		return Result{Reason: ReasonCallerLeft}
	}
	return Result{Reason: r.Reason}
}

// configRetryAfter is when a caller may retry at a node without a configuration. The store answers within milliseconds
// once it is reachable.
const configRetryAfter = 500 * time.Millisecond

// admit determines the route, the client account and the deadline of a request.
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
	adm := &Admitted{Request: req, Route: r, Priority: r.EffectivePriority(account), recordRate: rt.recordRate, recordNotice: rt.recordNotice, recordLoad: rt.recordLoad, recordMalformedLoad: rt.recordMalformedLoad}
	if account != nil && !r.Public {
		adm.Account = account.Name
	}
	adm.Service = cfg.Service(r.Pick(req.ID))
	if adm.Service == nil {
		return nil, &Refusal{Reason: ReasonNoServer, RetryAfter: configRetryAfter}
	}
	adm.parts = partsOf(adm)
	if d := rt.quarantined(adm); d > 0 {
		refusal := refuseQuarantined(d)
		return nil, &refusal
	}
	adm.Deadline = req.Arrived.Add(r.Timeout)
	if req.CallerTimeout > 0 && req.CallerTimeout < r.Timeout {
		adm.Deadline = req.Arrived.Add(req.CallerTimeout)
	}
	if rt.stopsBefore(adm) {
		return nil, &Refusal{Reason: ReasonDraining, RetryAfter: drainRetryAfter}
	}
	return adm, nil
}

// Limits returns the limits on what a caller may send. They are zero while the node has no configuration.
func (rt *Runtime) Limits() route.Limits {
	if cfg := rt.config.Load(); cfg != nil {
		return cfg.Limits
	}
	return route.Limits{}
}

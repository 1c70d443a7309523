// This file defines a gateway: a node between the callers and the backend servers of a platform. An adapter translates
// the protocols of the platform's callers, backend servers, store and operators. Membership, the choice of entries and
// the processing of requests are those of this project.

package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
	"ebonyferry/internal/run/detour"
	"ebonyferry/internal/run/duty"
	"ebonyferry/internal/run/exchange"
	"ebonyferry/internal/run/fleet"
	"ebonyferry/internal/run/metrics"
	"ebonyferry/internal/run/mirror"
	"ebonyferry/internal/run/settings"
)

// Store is the store of a platform.
type Store interface {
	fleet.Store
	mirror.Store
}

// Platform is the adapter between a platform's protocols and a gateway.
type Platform interface {
	Store(addr netip.AddrPort) Store           // client of the store at addr
	Upstream(dial Dial) exchange.Upstream      // client of backend servers
	Ingress(rt *exchange.Runtime) http.Handler // requests of callers
	Directory(list EntryList) http.Handler     // the entry list
	Readiness(ready func() bool) http.Handler  // whether the node accepts new callers
	// DecodeFact decodes an entry of the store. The fact is nil if the entry does not concern nodes. A removed entry
	// has no value.
	DecodeFact(key string, value []byte, removed bool, now time.Time) (Fact, error)
	// EncodeRollout returns the store entry that shows operators the state of a rollout.
	EncodeRollout(f RolloutStateFact) (key string, value []byte, err error)
	// Duties returns the client of the service at addr that takes the calls of singleton duties, or nil if the platform has none.
	Duties(addr netip.AddrPort) duty.Client
}

// Dial connects to a backend server, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// EntryList chooses the nodes that callers connect to.
type EntryList interface {
	// Entries returns addresses for a caller in a region and failure domain, and how long the caller may keep them.
	Entries(region, domain string) ([]netip.AddrPort, time.Duration)
}

// Gateway is one running node between a platform's callers and backend servers.
type Gateway struct {
	process
	cfg      settings.Settings
	platform Platform
	self     membership.Node
	metrics  *metrics.Metrics

	store  Store
	peers  *node.Client
	mirror *mirror.Mirror
	rt     *exchange.Runtime
	dialer *detour.Dialer // of connections to backend servers
	duties *duty.Service  // nil without duties
	roles  atomic.Pointer[roles]

	evidenceMu sync.Mutex
	firstStart bool                        // of the whole fleet
	evidence   map[string]receivedEvidence // of rollouts, by node name; guarded by evidenceMu

	postponedMu sync.Mutex
	postponed   map[string]postponedFact // by key; guarded by postponedMu
}

// GatewayOption changes a Gateway.
type GatewayOption func(*Gateway)

// WithGatewayLog sets where events are logged.
func WithGatewayLog(l log.Interface) GatewayOption { return func(g *Gateway) { g.log = l } }

// WithFirstStart sets that the whole fleet starts for the first time, so that no earlier process has used its share of the bounds.
func WithFirstStart() GatewayOption { return func(g *Gateway) { g.firstStart = true } }

// leaseBeyondSettleTime is how much longer than the settle time a node's lease lasts. Entry lists may name a failed node
// for three seconds more, one of which is left for the other nodes to learn of the end of its lease.
const leaseBeyondSettleTime = 2 * time.Second

// gatewayFleetTiming detects a failed node in about a second, since callers keep an entry for two. Only the loss of a
// whole failure domain is left to the leases, so they are renewed as rarely as the settle time allows.
func gatewayFleetTiming(settle time.Duration) fleet.Timing {
	ttl := settle + leaseBeyondSettleTime
	return fleet.Timing{
		LeaseTTL:          ttl,
		LeaseMargin:       500 * time.Millisecond,
		RenewInterval:     ttl * 9 / 20, // two attempts before the lease expires
		HeartbeatInterval: 500 * time.Millisecond,
		ProbeTimeout:      300 * time.Millisecond,
		FollowWait:        2 * time.Second,
		DigestInterval:    time.Second,
		VMPollInterval:    time.Hour, // a platform keeps no list of VMs
		RetryMin:          100 * time.Millisecond,
		RetryMax:          400 * time.Millisecond,
		OutageThreshold:   3500 * time.Millisecond,
		BatchDelay:        20 * time.Millisecond,
	}
}

// callerIdleTimeout is longer than callers keep an idle connection, so that the caller closes it and not the node.
const callerIdleTimeout = 2 * time.Minute

// StartGateway creates a gateway and starts its listeners and components. They run until Drain or End is called, or
// until ctx ends.
func StartGateway(ctx context.Context, cfg settings.Settings, p Platform, opts ...GatewayOption) (*Gateway, error) {
	g := &Gateway{
		process: process{log: log.Log, drained: make(chan struct{})},
		cfg:     cfg, platform: p, evidence: make(map[string]receivedEvidence),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.log = g.log.WithField("node", cfg.Node.Name)
	g.self = membership.Node{
		Name: cfg.Node.Name, Region: cfg.Node.Region, FailureDomain: cfg.Node.FailureDomain,
		Addr: cfg.Advertise.Nodes, CallerAddr: cfg.Advertise.Callers, Capacity: int(100 * cfg.Node.CPUCores),
	}
	var err error
	if g.metrics, err = metrics.New(); err != nil {
		return nil, err
	}
	g.makeParts()
	if err := errors.Join(g.defineGauges(), g.listen()); err != nil {
		g.closeListeners()
		return nil, err
	}
	ctx, g.endParts = context.WithCancel(ctx)
	g.group, ctx = errgroup.WithContext(ctx)
	g.serveAll(g.handlers())
	g.runParts(ctx, g.fleet.Run, g.mirror.Run, g.rt.Run, g.rt.MoveRuns, g.askLeaving, g.decideRollouts, g.broadcastLoads, g.exchangeDigests, g.shareCrashes, g.keepVerdicts, g.applyPostponed, g.reportStatus, g.performDuties, g.dialer.Run)
	event.Log(g.log, event.NodeStarted, event.Fields{"callers": g.self.CallerAddr.String(), "nodes": g.self.Addr.String(), "firstStart": g.firstStart})
	return g, nil
}

func (g *Gateway) makeParts() {
	g.peers = node.NewClient(node.Sender{Name: g.cfg.Node.Name}, node.WithHTTPClient(&http.Client{Transport: plainTransport()}, "http"))
	g.store = g.platform.Store(g.cfg.Platform.Addrs[0])
	g.mirror = mirror.New(g.store, "", mirror.WithLog(g.log), mirror.WithPeers(g, g.peers), mirror.WithApply(g.apply),
		mirror.WithFresh(func(sentAt time.Time) { g.rt.RecordFreshData(sentAt) }))
	g.fleet = fleet.New(g.self, mirroredStore{g.store, g.mirror}, g.peers,
		fleet.WithLog(g.log), fleet.WithTiming(gatewayFleetTiming(g.cfg.Bounds.SettleTime.Duration)),
		fleet.WithPeers(g.cfg.Node.Peers...), fleet.WithLookup(g.mirror.Lookup), fleet.WithTurns())
	opts := []exchange.Option{
		exchange.WithLog(g.log), exchange.WithBounds(boundsOf(g.cfg.Bounds)), exchange.WithObserver(gatewayMetrics{g.metrics}),
	}
	if !g.cfg.Sharing.Enabled {
		opts = append(opts, exchange.WithoutSharing())
	}
	if g.firstStart {
		opts = append(opts, exchange.WithFirstStart())
	}
	g.makeDuties()
	if g.duties != nil {
		opts = append(opts, exchange.WithUsage(g.duties.Count))
	}
	g.dialer = detour.New(g.peers, detourDirectory{g}, detour.WithLog(g.log),
		detour.WithProbe(func(ctx context.Context, server string) { g.rt.Probe(ctx, server) }))
	g.rt = exchange.New(g.cfg.Node.FailureDomain, g.platform.Upstream(g.dialer.DialContext), g, opts...)
}

// gatewayMetrics implements exchange.Observer: it records the measurements as metrics.
type gatewayMetrics struct{ m *metrics.Metrics }

func (o gatewayMetrics) RecordRequest(class, account, result string) {
	o.m.RecordRequest(caller.Class(class), account, result)
}

func (o gatewayMetrics) RecordFirstEvent(class, account string, d time.Duration) {
	o.m.RecordFirstToken(caller.Class(class), account, d)
}

func (o gatewayMetrics) RecordEventGap(class, account string, d time.Duration) {
	o.m.RecordTokenGap(caller.Class(class), account, d)
}

// defineGauges adds the gateway's gauges to its metrics.
func (g *Gateway) defineGauges() error {
	total := func(read func(t exchange.Totals) float64) func() float64 {
		return func() float64 { return read(g.rt.Totals()) }
	}
	return addGauges(g.metrics, append(slices.Concat(g.dutyGauges(), g.limitGauges()), []metrics.Gauge{
		{Name: "ferry.requests_in_hand", Doc: "Requests being served.", Read: total(func(t exchange.Totals) float64 { return float64(t.InFlight) })},
		{Name: "ferry.requests_waiting", Doc: "Requests that wait for a place on a backend server.", Read: total(func(t exchange.Totals) float64 { return float64(t.Waiting) })},
		{Name: "ferry.streams_continued", Doc: "Streams that went on at another server since the start.", Read: total(func(t exchange.Totals) float64 { return float64(t.Continued) })},
		{Name: "ferry.streams_lost", Doc: "Streams that broke for good since the start.", Read: total(func(t exchange.Totals) float64 { return float64(t.Lost) })},
		{Name: "ferry.malformed_answers", Doc: "Answers of backend servers since the start that were too long or no answer.", Read: total(func(t exchange.Totals) float64 { return float64(t.Malformed) })},
		{Name: "ferry.streams_ended_by_close", Doc: "Complete streams since the start whose end only the close of the server's connection marks.", Read: total(func(t exchange.Totals) float64 { return float64(t.Closed) })},
		{Name: "ferry.answers_withheld", Doc: "Answers of backend servers since the start that would have assured callers wrongly that their requests had not run.", Read: total(func(t exchange.Totals) float64 { return float64(t.Withheld) })},
		{Name: "ferry.quarantined_parts", Doc: "Parts of requests that crash backend servers and are refused.", Read: func() float64 { return float64(len(g.rt.Verdicts())) }},
		{Name: "ferry.servers_unreachable", Doc: "Backend servers to which this node's last connection failed. Many at one node and few at others: the node is cut off from them.", Read: total(func(t exchange.Totals) float64 { return float64(t.Unreachable) })},
		{Name: "ferry.paths_failed", Doc: "Backend servers that this node does not reach by itself; connections to them pass through other nodes.", Read: func() float64 { return float64(g.dialer.FailedPaths()) }},
		{Name: "ferry.tunnels_carried", Doc: "Connections to backend servers that this node carries for others.", Read: func() float64 { return float64(g.dialer.Carried()) }},
		{Name: "ferry.limited_servers", Doc: "Backend servers that name a rate of requests that they accept.", Read: total(func(t exchange.Totals) float64 { return float64(t.LimitedServers) })},
		{Name: "ferry.servers_fast", Doc: "Backend servers of services with speeds whose work takes less than 0.8 times as long as usual.", Read: total(func(t exchange.Totals) float64 { return float64(t.Speeds.Fast) })},
		{Name: "ferry.servers_usual", Doc: "Backend servers of services with speeds between fast and slow, or of which nothing is known.", Read: total(func(t exchange.Totals) float64 { return float64(t.Speeds.Usual) })},
		{Name: "ferry.servers_slow", Doc: "Backend servers of services with speeds whose work takes more than 1.25 times as long as usual.", Read: total(func(t exchange.Totals) float64 { return float64(t.Speeds.Slow) })},
		{Name: "ferry.speed_age", Doc: "Mean age in seconds of the last observation of the servers whose speed is known.", Read: total(func(t exchange.Totals) float64 { return t.Speeds.MeanAge.Seconds() })},
		{Name: "ferry.placed_on_slow", Doc: "Generations since the start that waited for their first event on a server that turned slow.", Read: total(func(t exchange.Totals) float64 { return float64(t.Speeds.PlacedOnSlow) })},
		{Name: "ferry.sharing_granted_urgent_tokens", Doc: "Tokens of engine memory granted to the most urgent requests since the start, while memory was scarce.", Read: total(func(t exchange.Totals) float64 { return float64(t.Sharing.GrantedUrgent) })},
		{Name: "ferry.sharing_granted_other_tokens", Doc: "The same for all less urgent requests.", Read: total(func(t exchange.Totals) float64 { return float64(t.Sharing.GrantedOther) })},
		{Name: "ferry.sharing_refused_urgent_tokens", Doc: "Tokens of engine memory that the most urgent requests asked for which were refused early since the start.", Read: total(func(t exchange.Totals) float64 { return float64(t.Sharing.RefusedUrgent) })},
		{Name: "ferry.sharing_refused_other_tokens", Doc: "The same for all less urgent requests.", Read: total(func(t exchange.Totals) float64 { return float64(t.Sharing.RefusedOther) })},
		{Name: "ferry.sharing_refused_for_share", Doc: "Requests refused early for their account's share since the start.", Read: total(func(t exchange.Totals) float64 { return float64(t.Sharing.RefusedForShare) })},
		{Name: "ferry.sharing_accounts_below_half", Doc: "Accounts that wait and received less than half of their share of scarce memory.", Read: total(func(t exchange.Totals) float64 { return float64(t.Sharing.BelowHalf) })},
		{Name: "ferry.sharing_predicted_wait", Doc: "Seconds of waiting that were predicted for requests placed since the start, while memory was scarce.", Read: total(func(t exchange.Totals) float64 { return t.Sharing.PredictedWait.Seconds() })},
		{Name: "ferry.sharing_actual_wait", Doc: "Seconds that the same requests waited.", Read: total(func(t exchange.Totals) float64 { return t.Sharing.ActualWait.Seconds() })},
		{Name: "ferry.config_version", Doc: "Version of the config in force.", Read: total(func(t exchange.Totals) float64 { return float64(t.ConfigVersion) })},
		{Name: "ferry.store_age", Doc: "Seconds since the last word of the store.", Read: func() float64 { return time.Since(g.mirror.State().ConfirmedAt).Seconds() }},
		{Name: "ferry.values_pending", Doc: "Large values of the store, such as the config, that the node knows of and has not received.", Read: func() float64 { return float64(g.mirror.PendingValues()) }},
		{Name: "ferry.nodes", Doc: "Live nodes in this node's view.", Read: func() float64 { return float64(len(g.fleet.View().Nodes)) }},
	}...))
}

func boundsOf(b settings.Bounds) exchange.Bounds {
	return exchange.Bounds{
		RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack, RetryWindow: b.RetryWindow.Duration,
		ColdRatio: b.ColdRatio, ColdSlack: b.ColdSlack,
	}
}

// Reload applies changed bounds on retries and on cold servers. All other settings keep the values of the start.
func (g *Gateway) Reload(cfg settings.Settings) {
	g.rt.SetBounds(boundsOf(cfg.Bounds))
	event.Log(g.log, event.SettingsReloaded, nil)
}

// mirroredStore is the store, with List and Watch answered from the mirror's memory.
type mirroredStore struct {
	Store
	mirror *mirror.Mirror
}

// List implements fleet.Store.
func (m mirroredStore) List(ctx context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error) {
	return m.mirror.List(ctx, prefix)
}

// Watch implements fleet.Store.
func (m mirroredStore) Watch(ctx context.Context, prefix string, after kvstore.Revision) ([]kvstore.Change, kvstore.Revision, error) {
	return m.mirror.Watch(ctx, prefix, after)
}

func (g *Gateway) listen() error {
	l := g.cfg.Listen
	none := settings.Certificate{}
	return g.open(g.cfg.Limits, []listenerConfig{
		{listenCallers, l.Callers, none},
		{listenNodes, l.Nodes, none},
		{listenEntries, l.Entries, none},
		{listenReady, l.Ready, none},
		{listenStatus, l.Status, none},
	}, callerIdleTimeout)
}

// Names of the listeners that only a gateway has.
const (
	listenEntries = "entries"
	listenReady   = "ready"
)

// handlers returns the handlers of the listeners by name.
func (g *Gateway) handlers() map[string]http.Handler {
	nodes := chi.NewRouter()
	g.fleet.Mount(nodes)
	g.mirror.Mount(nodes)
	g.rt.Mount(nodes)
	g.dialer.Mount(nodes)
	g.mountEvidence(nodes)
	g.mountDuties(nodes)
	return map[string]http.Handler{
		listenCallers: g.platform.Ingress(g.rt),
		listenNodes:   nodes,
		listenEntries: g.platform.Directory(g),
		listenReady:   g.platform.Readiness(g.rt.Ready),
		listenStatus:  g.metrics.Handler(),
	}
}

// askLeaving asks servers for their state while the store's data is older than a node relies on.
func (g *Gateway) askLeaving(ctx context.Context) error {
	return g.rt.AskLeaving(ctx, func() bool {
		return time.Since(g.mirror.State().ConfirmedAt) > mirror.DefaultTiming.MaxConfirmationAge
	})
}

func (g *Gateway) shareCrashes(ctx context.Context) error { return g.rt.ShareCrashes(ctx, g.peers) }

func (g *Gateway) broadcastLoads(ctx context.Context) error { return g.rt.BroadcastLoads(ctx, g.peers) }

func (g *Gateway) exchangeDigests(ctx context.Context) error {
	return g.rt.ExchangeDigests(ctx, g.peers)
}

// statusPeriod is how often a gateway reports to the fleet whether it can serve callers.
const statusPeriod = 200 * time.Millisecond

func (g *Gateway) reportStatus(ctx context.Context) error {
	for {
		g.fleet.SetStatus(fleet.Status{Unable: !g.rt.Ready()})
		if !pause.For(ctx, statusPeriod) {
			return nil
		}
	}
}

// Drain removes the gateway from the entry list, serves the requests in flight and those of late callers until the stop
// grace ends, and stops the gateway. It returns when the gateway has stopped.
func (g *Gateway) Drain(context.Context) error {
	g.drainOnce.Do(func() { go g.drainAll() })
	<-g.drained
	return g.Wait()
}

const (
	// stopMargin is the part of the stop grace that is reserved for the exit of the process.
	stopMargin = 400 * time.Millisecond
	// lateCallerWait is how long a draining gateway accepts new connections from callers that hold an earlier entry
	// answer.
	lateCallerWait = 1500 * time.Millisecond
	// entryUses is how many times its time to live some callers keep an entry answer. Until then they may send a request
	// on a connection that they kept.
	entryUses = 3
)

func (g *Gateway) drainAll() {
	end := time.Now().Add(g.cfg.Bounds.StopGrace.Duration - stopMargin)
	event.Log(g.log, event.NodeDraining, event.Fields{"inHand": g.rt.InFlight()})
	g.draining.Store(true)
	g.rt.Drain(end)
	g.fleet.Drain()
	g.drainDuties()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	kept, cancelKept := context.WithTimeout(ctx, entryUses*g.cfg.Bounds.EntryTTL.Duration)
	defer cancelKept()
	pause.For(ctx, lateCallerWait)
	g.stopAccepting(kept)
	g.shutDownCallers(ctx)
	g.dialer.Drain(ctx)
	g.flushDuties(ctx)
	g.leave(ctx)
}

// End stops the gateway immediately, without draining.
func (g *Gateway) End() {
	g.closeListeners()
	g.endParts()
}

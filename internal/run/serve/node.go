// Package serve assembles the components of a node, opens its listeners and drains it.
//
// There are two kinds of nodes. A Node speaks this project's own protocols and has up to four listeners: for callers,
// for other nodes, for operators, and for its status. A Gateway serves a platform with protocols of its own, which a
// Platform adapter translates.
//
// The components run until the node has drained. A draining node leaves the entry list, still serves callers that hold
// an earlier list, finishes the requests in flight, releases its lease and stops.
package serve

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/bug"
	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/entry"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
	"ebonyferry/internal/edge/service"
	"ebonyferry/internal/run/certs"
	"ebonyferry/internal/run/dispatch"
	"ebonyferry/internal/run/entries"
	"ebonyferry/internal/run/fleet"
	"ebonyferry/internal/run/intent"
	"ebonyferry/internal/run/ledger"
	"ebonyferry/internal/run/metrics"
	"ebonyferry/internal/run/rollout"
	"ebonyferry/internal/run/settings"
	"ebonyferry/internal/run/slicing"
	"ebonyferry/internal/run/survey"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 32 << 10
	// closeTimeout limits the shutdown of the callers' listener in endServing, and the release of the lease after a
	// drain.
	closeTimeout = 2 * time.Second
)

// Node is a running node that speaks this project's own protocols.
type Node struct {
	process
	cfg     settings.Settings
	metrics *metrics.Metrics
	self    membership.Node

	store       *kvstore.Client
	peers       *node.Client
	intent      *intent.Intent
	entries     *entries.List
	dispatcher  *dispatch.Dispatcher
	slicing     *slicing.Manager
	ledger      *ledger.Manager
	calls       *callCounter
	survey      *survey.Survey
	observer    *rollout.Observer
	rollout     *rollout.Rollout
	cutsChanged chan struct{} // signals that the result of rollout.ApplyCuts has changed; capacity 1
	caller      *caller.Server
	forwarded   forwardedCalls // calls of plain services that other nodes forwarded to this one

	endWork context.CancelFunc // ends running streams immediately
	workCtx context.Context    // done after endWork
}

// Option changes a Node.
type Option func(*Node)

// WithLog sets where events are logged.
func WithLog(l log.Interface) Option { return func(n *Node) { n.log = l } }

// Start creates a node and starts its listeners and components. They run until Drain or Stop is called, or until ctx
// ends, which stops them immediately.
func Start(ctx context.Context, cfg settings.Settings, opts ...Option) (*Node, error) {
	n := &Node{cfg: cfg, process: process{log: log.Log, drained: make(chan struct{})}}
	for _, opt := range opts {
		opt(n)
	}
	n.log = n.log.WithField("node", cfg.Node.Name)
	bug.Handle(func(rep bug.Report) {
		event.Log(n.log, event.BugFound, event.Fields{"place": rep.Place, "message": rep.Message})
	})
	partsCtx, endParts := context.WithCancel(ctx)
	workCtx, endWork := context.WithCancel(ctx)
	n.endParts, n.endWork, n.workCtx = endParts, endWork, workCtx
	if err := n.start(partsCtx, workCtx); err != nil {
		endParts()
		endWork()
		n.closeListeners()
		return nil, err
	}
	event.Log(n.log, event.NodeStarted, event.Fields{"callers": n.self.CallerAddr.String(), "nodes": n.self.Addr.String()})
	return n, nil
}

// start creates the components and starts them.
func (n *Node) start(partsCtx, workCtx context.Context) error {
	var err error
	if n.metrics, err = metrics.New(); err != nil {
		return err
	}
	if err := n.listen(); err != nil {
		return err
	}
	if err := n.makeParts(workCtx); err != nil {
		return err
	}
	n.group, partsCtx = errgroup.WithContext(partsCtx)
	n.serveAll(n.handlers())
	n.runParts(partsCtx, n.fleet.Run, n.intent.Run, n.dispatcher.Run, n.entries.Run, n.slicing.Run, n.ledger.Run, n.rollout.Run, n.applyConfigs)
	n.group.Go(func() error {
		<-partsCtx.Done()
		n.endServing()
		return nil
	})
	return n.defineGauges()
}

// makeParts creates the components in the order of their dependencies.
func (n *Node) makeParts(workCtx context.Context) error {
	sender := node.Sender{Name: n.cfg.Node.Name}
	transport, scheme, err := n.nodeTransport()
	if err != nil {
		return err
	}
	n.store = kvstore.New(n.cfg.Platform.Addrs, kvstore.WithTimeout(n.cfg.Platform.Timeout.Duration))
	watches := kvstore.New(n.cfg.Platform.Addrs, kvstore.WithTimeout(n.cfg.Platform.Timeout.Duration), kvstore.WithWatchWait(intent.WatchWait))
	n.peers = node.NewClient(sender, node.WithHTTPClient(transport, scheme))
	n.fleet = fleet.New(n.self, n.store, n.peers, fleet.WithLog(n.log), fleet.WithPeers(n.cfg.Node.Peers...))
	n.intent = intent.New(watches, n.fleet, n.peers, intent.WithLog(n.log))
	n.slicing = slicing.New(n.cfg.Node.Name, n.store, n.fleet, n, n.peers, slicing.WithLog(n.log))
	n.dispatcher = dispatch.New(dispatch.WithBudgets(n.slicing), dispatch.WithUsers(n.slicing.Users), dispatch.WithNode(n.cfg.Node.Name), dispatch.WithLog(n.log), dispatch.WithFleet(n.rank),
		dispatch.WithPeers(n.peers, n.fleet.View), dispatch.WithVerdicts(n.store))
	n.entries = entries.New(n.fleet, n.intent, entries.WithLoad(n.load))
	n.calls = newCallCounter(newServices())
	n.ledger = ledger.New(n.store, n.calls, n.fleet, n, n.peers, ledger.WithLog(n.log))
	n.survey = survey.New(n.peers, n.fleet.View, n.Held, n.running)
	n.makeRollout()
	parts := caller.Dependencies{Config: n, Dispatcher: n.observer, Ledger: n.ledger, Entries: n.entries}
	n.caller = caller.New(workCtx, n.cfg.Node.Name, parts,
		caller.WithLimits(callerLimits(n.cfg)), caller.WithLog(n.log), caller.WithObserver(n.metrics), caller.WithNotifier(n))
	return nil
}

// nodeTransport returns the HTTP client and URL scheme for calls to other nodes, with mutual TLS if the settings name a
// certificate.
func (n *Node) nodeTransport() (*http.Client, string, error) {
	transport := plainTransport()
	cert := n.cfg.TLS.Nodes
	if !cert.IsSet() {
		return &http.Client{Transport: transport}, "http", nil
	}
	src, err := certs.New(cert.CertFile, cert.KeyFile, cert.CAFile)
	if err != nil {
		return nil, "", err
	}
	transport.TLSClientConfig = src.Client()
	return &http.Client{Transport: transport}, "https", nil
}

func callerLimits(cfg settings.Settings) caller.Limits {
	l := caller.DefaultLimits()
	l.MaxBodyBytes = int64(cfg.Limits.MaxBodyBytes)
	l.MaxConcurrent = cfg.Limits.MaxConcurrent
	l.MaxAttempts = cfg.Limits.MaxAttempts
	l.BodyTimeout = cfg.Timing.BodyTimeout.Duration
	l.WriteTimeout = cfg.Timing.WriteTimeout.Duration
	l.FirstTokenTarget = cfg.Timing.FirstTokenTarget.Duration
	l.StallTimeout = cfg.Timing.StallTimeout.Duration
	l.ResumeGrace = cfg.Timing.ResumeGrace.Duration
	return l
}

// rank returns the number of live nodes and this node's rank among them by name, from 0.
func (n *Node) rank() (nodes, rank int) { return n.fleet.View().Rank(n.cfg.Node.Name) }

// load returns the requests in flight in percent of the node's limit.
func (n *Node) load() int { return 100 * n.caller.InFlight() / n.cfg.Limits.MaxConcurrent }

// endServing closes the listeners of a node whose components have ended. Such a node receives no configuration any
// more, so its callers need another node. Running streams end with an error that asks callers to resume elsewhere.
func (n *Node) endServing() {
	n.endWork()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	n.shutDownCallers(ctx)
	n.closeListeners()
}

// nodeRoutes returns the routes of the node-to-node listener.
func (n *Node) nodeRoutes() http.Handler {
	r := chi.NewRouter()
	n.fleet.Mount(r)
	n.intent.Mount(r)
	r.Group(func(r chi.Router) {
		r.Use(n.forwarded.count)
		n.ledger.Mount(r)
	})
	n.slicing.Mount(r)
	n.dispatcher.Mount(r)
	n.survey.Mount(r)
	n.rollout.Mount(r)
	n.mountResumed(r)
	return r
}

// Drain removes the node from the entry list, serves new callers for as long as they may keep the node's address,
// finishes the requests in flight and stops the node. It returns when the node has stopped. If ctx ends earlier, it
// returns ctx's error, and the node continues to drain.
func (n *Node) Drain(ctx context.Context) error {
	n.drainOnce.Do(func() { go n.drainAll() })
	select {
	case <-n.drained:
		return n.Wait()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// keptConnWait is how long a draining node that accepts no more connections serves those that callers keep, once no
// caller holds its address any more.
const keptConnWait = time.Second

func (n *Node) drainAll() {
	event.Log(n.log, event.NodeDraining, event.Fields{"inHand": n.caller.InFlight()})
	n.draining.Store(true)
	n.entries.Drain()
	n.fleet.Drain()
	time.Sleep(entry.TTL)
	kept, cancelKept := context.WithTimeout(context.Background(), keptConnWait)
	defer cancelKept()
	n.stopAccepting(kept)
	n.shutDownCallers(context.Background())
	n.forwarded.wait(n.workCtx)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	n.leave(ctx)
}

// End ends running streams with an error that asks callers to resume elsewhere. Drain then soon returns.
func (n *Node) End() { n.endWork() }

// Stop ends the node immediately, as a crash would. It closes the connections and leaves the lease to expire.
func (n *Node) Stop() {
	n.closeListeners()
	n.endWork()
	n.endParts()
}

// Wait returns when all components have ended, with the error of the first that failed.
func (n *Node) Wait() error {
	if err := n.process.Wait(); err != nil {
		return fmt.Errorf("node %s: %w", n.cfg.Node.Name, err)
	}
	return nil
}

// CallerAddr returns the address that callers use.
func (n *Node) CallerAddr() netip.AddrPort { return n.self.CallerAddr }

// Addr returns the address that other nodes use.
func (n *Node) Addr() netip.AddrPort { return n.self.Addr }

func newServices() *service.Client { return service.New() }

// FleetSize returns the number of live nodes in this node's view.
func (n *Node) FleetSize() int { return len(n.fleet.View().Nodes) }

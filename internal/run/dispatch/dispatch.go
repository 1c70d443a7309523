// Package dispatch schedules the requests of a node on backend servers.
//
// A Dispatcher runs the admission.Scheduler of the node and grants its slots to package caller. It passes tokens,
// outcomes, load reports and cache events to the scheduler, and the demand and the evidence of the node to the
// budgets. It also shares crashes of servers and quarantine verdicts with the other nodes, by messages and by the
// store.
package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"

	"ebonyferry/internal/base/stall"
	"ebonyferry/internal/core/admission"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/retry"
	"ebonyferry/internal/core/routing"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/engine"
)

const pollInterval = 50 * time.Millisecond

// Dispatcher grants slots on backend servers. It implements caller.Dispatcher and is safe for concurrent use.
// It holds mu for each decision and each first token. Further tokens only change atomic counters.
type Dispatcher struct {
	node      string
	budgets   admission.Budgets // equalShares by default
	queried   *queriedBudgets   // the scheduler's view of budgets
	fleet     func() (nodes, rank int)
	dial      func(addr netip.AddrPort) Engine
	log       log.Interface
	usersOf   func(server string) []string // nil: every live node may use every server
	broadcast broadcaster                  // of crashes and verdicts
	targetGap time.Duration

	mu            sync.Mutex
	inForce       *bundle.InForce // guarded by mu
	scheduler     *admission.Scheduler
	waiters       map[*admission.Ticket]chan struct{} // closed when the ticket is decided; guarded by mu
	meters        map[string]*meter                   // by server ID; guarded by mu
	sentEvidence  map[string]sentEvidence             // by server ID; used by drive only
	demandSentAt  time.Time                           // used by drive only
	stalls        stall.Detector                      // guarded by mu
	configChanged chan struct{}                       // signals a new configuration to watchEngines; capacity 1
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithNode sets the name of the node.
func WithNode(name string) Option { return func(d *Dispatcher) { d.node = name } }

// WithBudgets sets how much of each server this node may use. The default is an equal share of each server.
func WithBudgets(b admission.Budgets) Option { return func(d *Dispatcher) { d.budgets = b } }

// WithFleet sets a function that returns the number of nodes that share servers and account limits, and the rank
// of this node among them, from 0.
func WithFleet(fn func() (nodes, rank int)) Option { return func(d *Dispatcher) { d.fleet = fn } }

// WithLog sets where events are logged.
func WithLog(l log.Interface) Option { return func(d *Dispatcher) { d.log = l } }

// New returns a dispatcher that refuses all work until SetConfig is called.
func New(opts ...Option) *Dispatcher {
	d := &Dispatcher{
		node:          "node",
		fleet:         func() (int, int) { return 1, 0 },
		dial:          func(addr netip.AddrPort) Engine { return engine.New(addr) },
		log:           log.Log,
		targetGap:     admission.DefaultTargets.TokenGap,
		waiters:       make(map[*admission.Ticket]chan struct{}),
		meters:        make(map[string]*meter),
		configChanged: make(chan struct{}, 1),
		sentEvidence:  make(map[string]sentEvidence),
	}
	d.broadcast = broadcaster{d: d, pending: make(chan notice, maxPendingNotices), crashed: make(chan struct{}, 1)}
	for _, opt := range opts {
		opt(d)
	}
	budgets := d.budgets
	if budgets == nil {
		budgets = &equalShares{fleet: d.fleet}
		d.budgets = budgets
	}
	d.queried = &queriedBudgets{inner: budgets, queried: make(map[string]bool)}
	schedulerOpts := []admission.Option{admission.WithSuspectServers(d.mayRunSuspects)}
	if d.broadcast.client != nil {
		schedulerOpts = append(schedulerOpts, admission.WithNodeAnswers())
	}
	d.scheduler = admission.New(d.node, d.queried, schedulerOpts...)
	return d
}

// SetConfig applies a configuration. Running work is not affected.
func (d *Dispatcher) SetConfig(in *bundle.InForce) {
	nodes, rank := d.fleet()
	d.mu.Lock()
	if e, ok := d.budgets.(*equalShares); ok {
		e.configure(in.Bundle.Servers)
	}
	d.inForce = in
	d.scheduler.Configure(in, nodes, rank)
	d.poll(time.Now())
	d.mu.Unlock()
	select {
	case d.configChanged <- struct{}{}:
	default:
	}
}

// Acquire implements caller.Dispatcher.
func (d *Dispatcher) Acquire(ctx context.Context, w caller.Work) (caller.Slot, error) {
	if err := backOff(ctx, w.Attempt); err != nil {
		return nil, err
	}
	s := &slot{d: d}
	work := d.work(w, s)
	decided := make(chan struct{})
	d.mu.Lock()
	now := time.Now()
	d.checkStall(now)
	t := d.scheduler.Offer(work, now)
	d.waiters[t] = decided
	d.wakeWaiters(d.scheduler.TakeDecided())
	d.mu.Unlock()

	select {
	case <-decided:
	case <-ctx.Done():
		if d.withdraw(t) {
			return nil, ctx.Err()
		}
	}
	if t.Refusal != nil {
		return nil, refusal(t.Refusal, w)
	}
	if ctx.Err() != nil {
		d.cancelGranted(t)
		return nil, ctx.Err()
	}
	return d.fillSlot(s, t), nil
}

// backOff waits a random time before a retry.
func backOff(ctx context.Context, attempt int) error {
	if attempt == 0 {
		return nil
	}
	wait := time.NewTimer(retry.Backoff(attempt, rand.N))
	defer wait.Stop()
	select {
	case <-wait.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Dispatcher) work(w caller.Work, s *slot) admission.Work {
	return admission.Work{
		Account:      w.Account,
		Class:        classOf(w.Class),
		Model:        w.Model,
		PromptTokens: w.PromptTokens,
		Prefixes:     prefixesOf(w.Model, w.Prompt),
		MaxTokens:    w.MaxTokens,
		Deadline:     w.Deadline,
		Fingerprint:  w.Fingerprint,
		Exclude:      w.Exclude,
		Attempt:      w.Attempt,
		Progress:     s.generated,
	}
}

// withdraw cancels a waiting ticket. It returns false if the ticket is already decided.
func (d *Dispatcher) withdraw(t *admission.Ticket) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.scheduler.Cancel(t) {
		return false
	}
	delete(d.waiters, t)
	return true
}

// cancelGranted releases a slot that was granted after its caller had left.
func (d *Dispatcher) cancelGranted(t *admission.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.scheduler.Done(t, admission.Canceled, 0, now)
	d.poll(now)
}

// fillSlot fills in s for a granted ticket.
func (d *Dispatcher) fillSlot(s *slot, t *admission.Ticket) *slot {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.ticket = t
	s.meter = d.meter(t.Server)
	s.meter.running.Add(1)
	for _, srv := range d.inForce.Bundle.Servers {
		if srv.ID == t.Server {
			s.server = srv
		}
	}
	return s
}

// poll decides waiting tickets where possible. The caller holds mu.
func (d *Dispatcher) poll(now time.Time) {
	d.checkStall(now)
	d.wakeWaiters(d.scheduler.Poll(now))
}

// checkStall makes all servers unusable until their next query if the process has just resumed from a stall. The caller
// holds mu.
func (d *Dispatcher) checkStall(now time.Time) {
	if d.stalls.Check(now) {
		d.queried.forgetAll(now)
	}
}

// wakeWaiters wakes the callers of decided tickets. The caller holds mu.
func (d *Dispatcher) wakeWaiters(decided []*admission.Ticket) {
	for _, t := range decided {
		if ch := d.waiters[t]; ch != nil {
			close(ch)
			delete(d.waiters, t)
		}
	}
}

func classOf(c caller.Class) admission.Class {
	switch c {
	case caller.ClassQuick:
		return admission.Quick
	case caller.ClassBatch:
		return admission.Batch
	}
	return admission.Narrative
}

// prefixesOf returns the prefixes that are looked up in the servers' caches for a prompt: those of 1, 2, 4, 8, ...
// blocks, and the longest.
func prefixesOf(model, prompt string) []routing.Prefix {
	hashes := engine.PrefixHashes(model, prompt)
	var list []routing.Prefix
	for n := 1; n <= len(hashes); n *= 2 {
		list = append(list, routing.Prefix{Hash: hashes[n-1], Tokens: n * engine.BlockTokens})
	}
	if n := len(hashes); n > 0 && n&(n-1) != 0 {
		list = append(list, routing.Prefix{Hash: hashes[n-1], Tokens: n * engine.BlockTokens})
	}
	return list
}

var messages = map[admission.Reason]string{
	admission.Overloaded:   "the first token cannot come in time",
	admission.NoServer:     "no backend server in service can run this request",
	admission.AccountLimit: "the client account is at its limit",
	admission.InQuarantine: "this request, or others with the same prefix, crashed the backend servers that ran them; it is in quarantine",
	admission.UnknownModel: "the model does not exist",
	admission.RetryBudget:  "too many requests are being tried again",
	admission.NotReady:     "the node has no configuration yet",
}

// refusal converts a refusal of the scheduler. An earlier attempt of the same work may have run, so only the
// refusal of the first attempt reports that the work was not run.
func refusal(r *admission.Refusal, w caller.Work) *caller.Refusal {
	msg := messages[r.Reason]
	if r.Reason == admission.UnknownModel {
		msg = fmt.Sprintf("the model %q does not exist", w.Model)
	}
	return &caller.Refusal{
		Reason:     string(r.Reason),
		Message:    msg,
		NotRun:     w.Attempt == 0,
		RetryAfter: r.RetryAfter,
	}
}

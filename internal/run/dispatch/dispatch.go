// Package dispatch runs the admission decisions of a node: it grants places on backend servers to the caller
// edge, feeds the decisions with tokens, load reports and cache events, and spreads what is learned of requests
// that crash servers between the nodes.
package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"

	"ebonyferry/internal/core/admission"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/retry"
	"ebonyferry/internal/core/routing"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/engine"
)

const pollInterval = 50 * time.Millisecond

// Dispatcher grants places. It implements caller.Dispatcher and is safe for concurrent use. Tokens of running
// streams touch atomic counters only; mu is held for single decisions.
type Dispatcher struct {
	node    string
	budgets admission.Budgets // nil: equal parts of each server
	heard   *heardBudgets     // what the decisions see of budgets
	fleet   func() (nodes, rank int)
	dial    func(addr netip.AddrPort) Engine
	log     log.Interface
	usersOf func(server string) []string // nil: every live node may use every server
	spread  spreader                     // other nodes and the store; see quarantine.go
	gap     time.Duration

	mu        sync.Mutex
	inForce   *bundle.InForce // guarded by mu
	scheduler *admission.Scheduler
	waiters   map[*admission.Ticket]chan struct{} // closed when the ticket is decided; guarded by mu
	meters    map[string]*meter                   // by server ID; guarded by mu
	told      map[string]told                     // demand by server ID; used by drive only
	toldAt    time.Time                           // used by drive only
	changed   chan struct{}                       // signals a new configuration to Run; capacity 1
}

// Option changes a Dispatcher.
type Option func(*Dispatcher)

// WithNode names the node.
func WithNode(name string) Option { return func(d *Dispatcher) { d.node = name } }

// WithBudgets sets what says how much of each server this node may use.
func WithBudgets(b admission.Budgets) Option { return func(d *Dispatcher) { d.budgets = b } }

// WithFleet sets what says how many nodes share servers and account limits, and the place of this node among
// them, from 0.
func WithFleet(fn func() (nodes, rank int)) Option { return func(d *Dispatcher) { d.fleet = fn } }

// WithLog sets the log.
func WithLog(l log.Interface) Option { return func(d *Dispatcher) { d.log = l } }

// New returns a dispatcher that refuses all work until SetConfig.
func New(opts ...Option) *Dispatcher {
	d := &Dispatcher{
		node:    "node",
		fleet:   func() (int, int) { return 1, 0 },
		dial:    func(addr netip.AddrPort) Engine { return engine.New(addr) },
		log:     log.Log,
		gap:     admission.DefaultTargets.TokenGap,
		waiters: make(map[*admission.Ticket]chan struct{}),
		meters:  make(map[string]*meter),
		changed: make(chan struct{}, 1),
		told:    make(map[string]told),
	}
	d.spread = spreader{d: d, notice: make(chan notice, maxNotices)}
	for _, opt := range opts {
		opt(d)
	}
	budgets := d.budgets
	if budgets == nil {
		budgets = &equalParts{fleet: d.fleet}
		d.budgets = budgets
	}
	d.heard = &heardBudgets{inner: budgets, heard: make(map[string]bool)}
	d.scheduler = admission.New(d.node, d.heard, admission.WithSuspectServers(d.mayRunSuspects))
	return d
}

// SetConfig applies a configuration. Running work is not touched.
func (d *Dispatcher) SetConfig(in *bundle.InForce) {
	nodes, rank := d.fleet()
	d.mu.Lock()
	if e, ok := d.budgets.(*equalParts); ok {
		e.configure(in.Bundle.Servers)
	}
	d.inForce = in
	d.scheduler.Configure(in, nodes, rank)
	d.poll(time.Now())
	d.mu.Unlock()
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// Acquire implements caller.Dispatcher.
func (d *Dispatcher) Acquire(ctx context.Context, w caller.Work) (caller.Place, error) {
	if err := backOff(ctx, w.Attempt); err != nil {
		return nil, err
	}
	p := &place{d: d}
	work := d.work(w, p)
	decided := make(chan struct{})
	d.mu.Lock()
	now := time.Now()
	t := d.scheduler.Offer(work, now)
	d.waiters[t] = decided
	d.wake(d.scheduler.TakeDecided())
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
		d.giveBack(t)
		return nil, ctx.Err()
	}
	return d.place(p, t), nil
}

// BackOff waits a random time before an attempt after the first.
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

func (d *Dispatcher) work(w caller.Work, p *place) admission.Work {
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
		Progress:     p.generated,
	}
}

// Withdraw takes back a ticket that waits and reports false when it was decided before.
func (d *Dispatcher) withdraw(t *admission.Ticket) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.scheduler.Cancel(t) {
		return false
	}
	delete(d.waiters, t)
	return true
}

// Gives back a place that was granted to a caller who had left.
func (d *Dispatcher) giveBack(t *admission.Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.scheduler.Done(t, admission.Canceled, 0, now)
	d.poll(now)
}

// Place fills in p for a granted ticket.
func (d *Dispatcher) place(p *place, t *admission.Ticket) *place {
	d.mu.Lock()
	defer d.mu.Unlock()
	p.ticket = t
	p.meter = d.meter(t.Server)
	p.meter.running.Add(1)
	for _, srv := range d.inForce.Bundle.Servers {
		if srv.ID == t.Server {
			p.server = srv
		}
	}
	return p
}

// Poll decides what waits. The caller holds mu.
func (d *Dispatcher) poll(now time.Time) { d.wake(d.scheduler.Poll(now)) }

// Wake tells the waiters of decided tickets. The caller holds mu.
func (d *Dispatcher) wake(decided []*admission.Ticket) {
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

// PrefixesOf returns the prefixes by which a prompt is looked up in the servers' caches: those of 1, 2, 4 and so
// on blocks, and the longest.
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
	admission.InQuarantine: "this request has crashed the backend servers that ran it and is in quarantine",
	admission.UnknownModel: "the model does not exist",
	admission.RetryBudget:  "too many requests are being tried again",
	admission.NotReady:     "the node has no configuration yet",
}

// Refusal translates a refusal. Earlier attempts of the same work may have run, so only the first is surely
// not run.
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

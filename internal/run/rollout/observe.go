package rollout

import (
	"context"
	"sync"
	"time"

	core "ebonyferry/internal/core/rollout"
	"ebonyferry/internal/edge/caller"
)

// This file defines how a node gathers evidence: it watches the places that the dispatcher grants.

const (
	// earlyGap is the number of tokens after which a long request's mean gap is counted, before it ends.
	earlyGap = 32
	// leastGap is the number of tokens that a mean gap needs.
	leastGap = 8
	// slowFirst is the wait for a first token that counts although the caller left before it came.
	slowFirst = 1900 * time.Millisecond
)

// Observer is a caller.Dispatcher that watches the places of models with a rollout under way.
type Observer struct {
	next  caller.Dispatcher
	nodes func() int // live nodes, among which a server's limit is divided

	mu      sync.Mutex
	active  map[string]core.Evidence // by model under way; guarded by mu
	running map[use]int              // places in use; guarded by mu
	busy    map[string]int           // the same by server; guarded by mu
}

// use names the places of one version on one server.
type use struct{ model, version, server string }

// NewObserver returns an observer of the places that next grants.
func NewObserver(next caller.Dispatcher, nodes func() int) *Observer {
	return &Observer{next: next, nodes: nodes, active: make(map[string]core.Evidence), running: make(map[use]int), busy: make(map[string]int)}
}

// Acquire implements caller.Dispatcher.
func (o *Observer) Acquire(ctx context.Context, work caller.Work) (caller.Place, error) {
	granted, err := o.next.Acquire(ctx, work)
	if err != nil {
		return nil, err
	}
	server := granted.Server()
	p := &place{Place: granted, o: o, model: work.Model, start: time.Now()}
	o.mu.Lock()
	defer o.mu.Unlock()
	p.use = use{work.Model, granted.Version(), server.ID}
	o.running[p.use]++
	o.busy[server.ID]++
	if e, ok := o.active[work.Model]; ok {
		e.AddUse(p.use.version, p.use.server)
	}
	used := 0.0
	if server.MaxStreams > 0 {
		used = float64(o.busy[server.ID]*max(o.nodes(), 1)) / float64(server.MaxStreams)
	}
	p.key = core.Key{Version: granted.Version(), Route: work.Route, Load: core.LoadOf(used)}
	return p, nil
}

// Watches the given models and returns what was seen of each since the last call.
func (o *Observer) take(models []string) map[string]core.Evidence {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := o.active
	o.active = make(map[string]core.Evidence, len(models))
	for _, m := range models {
		o.active[m] = core.NewEvidence()
	}
	for u := range o.running {
		if e, ok := o.active[u.model]; ok {
			e.AddUse(u.version, u.server)
		}
	}
	return taken
}

// Adds to the evidence of a model under way.
func (o *Observer) note(model string, fn func(e core.Evidence)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e, ok := o.active[model]; ok {
		fn(e)
	}
}

// place is a granted place whose tokens are watched. Its methods are called by one goroutine at a time.
type place struct {
	caller.Place
	o     *Observer
	model string
	use   use
	key   core.Key
	start time.Time

	first, last time.Time // arrival of the first and of the latest token
	tokens      int
	counted     bool // the mean gap is counted
}

// Token implements caller.Place.
func (p *place) Token(index int) {
	p.Place.Token(index)
	if index < p.tokens {
		return // sent again after a resume
	}
	now := time.Now()
	p.tokens, p.last = index+1, now
	if p.first.IsZero() {
		p.first = now
		p.o.note(p.model, func(e core.Evidence) { e.AddFirstToken(p.key, now.Sub(p.start)) })
	}
	if p.tokens == earlyGap {
		p.countGap()
	}
}

func (p *place) countGap() {
	if p.counted || p.tokens < leastGap || !p.last.After(p.first) {
		return
	}
	p.counted = true
	gap := p.last.Sub(p.first) / time.Duration(p.tokens-1)
	p.o.note(p.model, func(e core.Evidence) { e.AddTokenGap(p.key, gap) })
}

// Done implements caller.Place.
func (p *place) Done(outcome caller.Outcome) {
	server := p.Server().ID
	p.Place.Done(outcome)
	now := time.Now()
	p.countGap()
	p.o.mu.Lock()
	release(p.o.running, p.use)
	release(p.o.busy, server)
	p.o.mu.Unlock()
	p.o.note(p.model, func(e core.Evidence) { p.end(e, outcome, server, now) })
}

// Counts one place less under a key.
func release[K comparable](places map[K]int, key K) {
	places[key]--
	if places[key] <= 0 {
		delete(places, key)
	}
}

// Counts the end of the request.
func (p *place) end(e core.Evidence, outcome caller.Outcome, server string, now time.Time) {
	switch outcome {
	case caller.OutcomeFinished:
		e.AddOutcome(p.key, false)
	case caller.OutcomeFailed:
		e.AddOutcome(p.key, true)
	case caller.OutcomeDied:
		if p.first.IsZero() {
			e.AddOutcome(p.key, true) // also an engine that answers with errors and lives looks like this
			return
		}
		e.AddServerFailure(p.key.Version, server, now)
	case caller.OutcomeCanceled:
		if p.first.IsZero() && now.Sub(p.start) >= slowFirst {
			e.AddFirstToken(p.key, now.Sub(p.start))
		}
	}
}

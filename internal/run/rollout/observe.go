// This file defines how a node collects evidence from the slots that the dispatcher grants.

package rollout

import (
	"context"
	"sync"
	"time"

	core "ebonyferry/internal/core/rollout"
	"ebonyferry/internal/edge/caller"
)

const (
	// earlyGapTokens is the number of tokens after which the mean token gap of a longer request counts before it ends.
	earlyGapTokens = 32
	// minGapTokens is the least number of tokens for which the mean gap counts.
	minGapTokens = 8
	// slowFirstToken is the least wait that counts as the time to the first token if the caller leaves before it arrives.
	slowFirstToken = 1900 * time.Millisecond
)

// Observer is a caller.Dispatcher that collects evidence on models with an active rollout.
type Observer struct {
	next  caller.Dispatcher
	nodes func() int // number of live nodes, which share a server's limit

	mu            sync.Mutex
	active        map[string]core.Evidence // by model with an active rollout; guarded by mu
	slots         map[use]int              // number of slots in use; guarded by mu
	slotsByServer map[string]int           // number of slots in use by server ID; guarded by mu
}

// use identifies the slots of one version on one server.
type use struct{ model, version, server string }

// NewObserver returns an observer of the slots that next grants. nodes returns the number of live nodes.
func NewObserver(next caller.Dispatcher, nodes func() int) *Observer {
	return &Observer{next: next, nodes: nodes, active: make(map[string]core.Evidence), slots: make(map[use]int), slotsByServer: make(map[string]int)}
}

// Acquire implements caller.Dispatcher.
func (o *Observer) Acquire(ctx context.Context, work caller.Work) (caller.Slot, error) {
	granted, err := o.next.Acquire(ctx, work)
	if err != nil {
		return nil, err
	}
	server := granted.Server()
	s := &slot{Slot: granted, o: o, model: work.Model, start: time.Now()}
	o.mu.Lock()
	defer o.mu.Unlock()
	s.use = use{work.Model, granted.Version(), server.ID}
	o.slots[s.use]++
	o.slotsByServer[server.ID]++
	if e, ok := o.active[work.Model]; ok {
		e.AddUse(s.use.version, s.use.server)
	}
	used := 0.0
	if server.MaxStreams > 0 {
		used = float64(o.slotsByServer[server.ID]*max(o.nodes(), 1)) / float64(server.MaxStreams)
	}
	s.key = core.Key{Version: granted.Version(), Route: work.Route, Load: core.LoadOf(used)}
	return s, nil
}

// takeEvidence returns the evidence since the last call, by model, and starts to collect evidence on the given models.
func (o *Observer) takeEvidence(models []string) map[string]core.Evidence {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := o.active
	o.active = make(map[string]core.Evidence, len(models))
	for _, m := range models {
		o.active[m] = core.NewEvidence()
	}
	for u := range o.slots {
		if e, ok := o.active[u.model]; ok {
			e.AddUse(u.version, u.server)
		}
	}
	return taken
}

// addEvidence calls fn with the evidence of a model if the model has an active rollout.
func (o *Observer) addEvidence(model string, fn func(e core.Evidence)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e, ok := o.active[model]; ok {
		fn(e)
	}
}

// slot is a granted slot that the observer collects evidence from. Only one goroutine at a time calls its methods.
type slot struct {
	caller.Slot
	o     *Observer
	model string
	use   use
	key   core.Key
	start time.Time

	firstToken, lastToken time.Time // arrival of the first and of the latest token
	tokens                int
	gapRecorded           bool // whether the mean gap is in the evidence
}

// RecordToken implements caller.Slot.
func (s *slot) RecordToken(index int) {
	s.Slot.RecordToken(index)
	if index < s.tokens {
		return // sent again after a resume
	}
	now := time.Now()
	s.tokens, s.lastToken = index+1, now
	if s.firstToken.IsZero() {
		s.firstToken = now
		s.o.addEvidence(s.model, func(e core.Evidence) { e.AddFirstToken(s.key, now.Sub(s.start)) })
	}
	if s.tokens == earlyGapTokens {
		s.recordGap()
	}
}

func (s *slot) recordGap() {
	if s.gapRecorded || s.tokens < minGapTokens || !s.lastToken.After(s.firstToken) {
		return
	}
	s.gapRecorded = true
	gap := s.lastToken.Sub(s.firstToken) / time.Duration(s.tokens-1)
	s.o.addEvidence(s.model, func(e core.Evidence) { e.AddTokenGap(s.key, gap) })
}

// Done implements caller.Slot.
func (s *slot) Done(outcome caller.Outcome) {
	server := s.Server().ID
	s.Slot.Done(outcome)
	now := time.Now()
	s.recordGap()
	s.o.mu.Lock()
	release(s.o.slots, s.use)
	release(s.o.slotsByServer, server)
	s.o.mu.Unlock()
	s.o.addEvidence(s.model, func(e core.Evidence) { s.recordOutcome(e, outcome, server, now) })
}

// release decrements the number of slots of a key.
func release[K comparable](slots map[K]int, key K) {
	slots[key]--
	if slots[key] <= 0 {
		delete(slots, key)
	}
}

// recordOutcome adds the end of the request to e.
func (s *slot) recordOutcome(e core.Evidence, outcome caller.Outcome, server string, now time.Time) {
	switch outcome {
	case caller.OutcomeFinished:
		e.AddOutcome(s.key, false)
	case caller.OutcomeFailed:
		e.AddOutcome(s.key, true)
	case caller.OutcomeInterrupted:
		if s.firstToken.IsZero() {
			e.AddOutcome(s.key, true) // an engine that answers with errors and keeps running looks the same
			return
		}
		e.AddServerFailure(s.key.Version, server, now)
	case caller.OutcomeCanceled:
		if s.firstToken.IsZero() && now.Sub(s.start) >= slowFirstToken {
			e.AddFirstToken(s.key, now.Sub(s.start))
		}
	}
}

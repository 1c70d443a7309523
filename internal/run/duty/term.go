// This file defines how a node keeps the lease of a duty in the store.

package duty

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/duty"
	"ebonyferry/internal/edge/kvstore"
)

// termPeriod is how often a node looks at the lease of a duty. It reads its copy of the store.
const termPeriod = 200 * time.Millisecond

// lookupTimeout bounds a look at the node's copy of the store, which waits only until there is one.
const lookupTimeout = 50 * time.Millisecond

// holding is the entry of the store that names the holder of a duty.
type holding struct {
	Holder   string          `json:"holder"`
	Nonce    string          `json:"nonce"` // of the holder's process
	Lease    kvstore.LeaseID `json:"lease"`
	Previous string          `json:"previous,omitempty"` // last holder that this one knows
}

// term is the state of one duty at this node.
type term struct {
	kind  duty.Kind
	key   string
	lease *duty.Lease // guarded by Service.mu

	// The fields below belong to keepTerm.
	id       kvstore.LeaseID // of the store's lease
	holder   string          // last holder that the node's copy of the store named
	failing  bool            // the last attempt to acquire failed, which was logged
	heldName string          // holder at present by the node's copy of the store; guarded by Service.mu
}

func newTerm(kind duty.Kind, ttl time.Duration) *term {
	return &term{kind: kind, key: keyPrefix + string(kind), lease: duty.NewLease(duty.NewTiming(ttl))}
}

// keepTerm acquires and renews the lease of a duty when this node should, until ctx ends.
func (s *Service) keepTerm(ctx context.Context, t *term) error {
	for pause.For(ctx, termPeriod) {
		s.stepTerm(ctx, t)
	}
	return nil
}

func (s *Service) stepTerm(ctx context.Context, t *term) {
	situation := s.situation(ctx, t)
	s.mu.Lock()
	situation.Leaving = s.leaving
	action := t.lease.Next(situation, time.Now())
	s.mu.Unlock()
	switch action {
	case duty.Acquire:
		s.acquire(ctx, t)
	case duty.Renew:
		s.renew(ctx, t)
	case duty.Release:
		s.release(ctx, t)
	}
}

// situation returns what the node knows of the lease of a duty.
func (s *Service) situation(ctx context.Context, t *term) duty.Situation {
	situation := duty.Situation{
		Rank:     s.rank(),
		Revision: s.mirror.State().Revision, // read first, so that the entry is at least as new
		Era:      s.store.Era(),
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	entry, ok, err := s.mirror.Lookup(ctx, t.key)
	if err != nil {
		return situation
	}
	situation.Known, situation.Held = true, ok
	var h holding
	if ok && json.Unmarshal(entry.Value, &h) == nil { // an entry in another format is held by nobody that this node knows
		t.holder = h.Holder
		situation.Own = h.Nonce == s.nonce && h.Lease == t.id && t.id != 0
	}
	s.mu.Lock()
	t.heldName = h.Holder
	s.mu.Unlock()
	return situation
}

// rank returns the rank of this node among the candidates, or -1 if it is none.
func (s *Service) rank() int {
	return slices.IndexFunc(s.fleet.Candidates(), func(p Peer) bool { return p.Name == s.cfg.Self })
}

func (s *Service) acquire(ctx context.Context, t *term) {
	sent := time.Now()
	token, err := s.writeHolding(ctx, t)
	now := time.Now()
	s.mu.Lock()
	if err != nil {
		t.lease.Failed(now)
	} else {
		t.lease.Acquired(token, sent, now)
	}
	s.mu.Unlock()
	switch {
	case err == nil:
		t.failing = false
		event.Log(s.log, event.DutyAcquired, event.Fields{"duty": t.kind, "token": uint64(token), "previous": t.holder})
	case !t.failing && ctx.Err() == nil:
		t.failing = true // one line, however long the store is away
		event.Log(s.log, event.DutyNotAcquired, event.Fields{"duty": t.kind, "cause": err.Error()})
	}
}

// writeHolding writes the entry under a new lease of the store and returns its revision. The entry must not exist. If the write fails, the
// store's lease expires by itself.
func (s *Service) writeHolding(ctx context.Context, t *term) (kvstore.Revision, error) {
	id, err := s.store.GrantLease(ctx, s.cfg.LeaseTTL)
	if err != nil {
		return 0, fmt.Errorf("granting a lease: %w", err)
	}
	t.id = id
	value, err := json.Marshal(holding{Holder: s.cfg.Self, Nonce: s.nonce, Lease: id, Previous: t.holder})
	if err != nil {
		return 0, fmt.Errorf("encoding the holder: %w", err)
	}
	revision, err := s.store.CompareAndSwap(ctx, t.key, 0, value, id)
	if !errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return revision, err
	}
	entry, getErr := s.store.Get(ctx, t.key)
	if getErr != nil {
		return 0, fmt.Errorf("%w; reading it: %w", err, getErr)
	}
	if string(entry.Value) != string(value) {
		return 0, fmt.Errorf("%w: another node holds it", kvstore.ErrConflict)
	}
	return entry.Revision, nil
}

func (s *Service) renew(ctx context.Context, t *term) {
	sent := time.Now()
	ttl, err := s.store.KeepAlive(ctx, t.id)
	s.mu.Lock()
	switch {
	case errors.Is(err, kvstore.ErrLeaseExpired):
		s.mu.Unlock()
		s.lose(t, "the lease expired")
		return
	case err != nil || s.store.Era() != kvstore.Revision(t.lease.Token()).Era():
		t.lease.Failed(time.Now()) // the next step releases what another era no longer has
	default:
		t.lease.Renewed(ttl, sent)
	}
	s.mu.Unlock()
}

// release stops acting, and then revokes the store's lease so that another node acquires the duty at once.
func (s *Service) release(ctx context.Context, t *term) {
	s.lose(t, "released")
	if err := s.store.RevokeLease(ctx, t.id); err != nil && !errors.Is(err, kvstore.ErrLeaseExpired) {
		event.Log(s.log, event.DutyNotReleased, event.Fields{"duty": t.kind, "cause": err.Error()})
	}
}

func (s *Service) lose(t *term, cause string) {
	s.mu.Lock()
	token := t.lease.Token()
	t.lease.Lost(time.Now())
	s.mu.Unlock()
	event.Log(s.log, event.DutyLost, event.Fields{"duty": t.kind, "token": token, "cause": cause})
}

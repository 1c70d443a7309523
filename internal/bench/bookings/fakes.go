// This file defines the fakes of the store and the service. A process that is paused or killed does not reach
// them.

package bookings

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/service"
)

const (
	latency    = time.Millisecond
	lateDelay  = 60 * time.Millisecond // of effects that occur after the caller timed out
	silentWait = 40 * time.Millisecond // until an unanswered call fails
)

// store is a key-value store with faults.
type store struct {
	mu               sync.Mutex
	entries          map[string]kvstore.Entry
	revision         kvstore.Revision
	rng              *rand.Rand
	mode             mode
	lostAnswers      int
	ignoresRevisions bool
}

// mode is the present behavior of the store.
type mode int

const (
	modeHealthy  mode = iota
	modeRefusing      // every call is refused
	modeSilent        // no call takes effect or is answered
	modeLossy         // a third of the answers to writes are lost; half of these writes take effect late
	modeSlow
)

func (s *store) setMode(m mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// drawFaults draws the faults of one call in the present mode.
func (s *store) drawFaults(write bool) (refuse, silent, lose, late bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay = latency
	if s.mode == modeSlow {
		delay *= 20
	}
	lose = write && s.mode == modeLossy && s.rng.IntN(3) == 0
	late = lose && s.rng.IntN(2) == 0
	if lose {
		s.lostAnswers++
	}
	return s.mode == modeRefusing, s.mode == modeSilent, lose, late, delay
}

func (s *store) get(key string) (kvstore.Entry, error) {
	refuse, silent, _, _, delay := s.drawFaults(false)
	time.Sleep(delay)
	if silent {
		time.Sleep(silentWait)
	}
	if refuse || silent {
		return kvstore.Entry{}, kvstore.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if !ok {
		return kvstore.Entry{}, kvstore.ErrNotFound
	}
	return entry, nil
}

func (s *store) swap(key string, expected kvstore.Revision, value []byte) (kvstore.Revision, error) {
	refuse, silent, lose, late, delay := s.drawFaults(true)
	time.Sleep(delay)
	switch {
	case refuse:
		return 0, kvstore.ErrUnavailable
	case silent:
		time.Sleep(silentWait)
		return 0, kvstore.ErrOutcomeUnknown
	case late:
		time.AfterFunc(lateDelay, func() { _, _ = s.apply(key, expected, value) }) // no caller waits for the result
		return 0, kvstore.ErrOutcomeUnknown
	}
	rev, err := s.apply(key, expected, value)
	if lose {
		return 0, kvstore.ErrOutcomeUnknown
	}
	return rev, err
}

func (s *store) apply(key string, expected kvstore.Revision, value []byte) (kvstore.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != expected && !s.ignoresRevisions {
		return 0, kvstore.ErrConflict
	}
	s.revision++
	s.entries[key] = kvstore.Entry{Key: key, Value: value, Revision: s.revision}
	return s.revision, nil
}

// Get implements ledger.Store.
func (p *process) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if err := p.awaitRunning(ctx); err != nil {
		return kvstore.Entry{}, err
	}
	entry, err := p.harness.store.get(key)
	return entry, p.deliver(ctx, err)
}

// CompareAndSwap implements ledger.Store.
func (p *process) CompareAndSwap(ctx context.Context, key string, expected kvstore.Revision, value []byte, _ kvstore.LeaseID) (kvstore.Revision, error) {
	if err := p.awaitRunning(ctx); err != nil {
		return 0, err
	}
	rev, err := p.harness.store.swap(key, expected, value)
	return rev, p.deliver(ctx, err)
}

// Delete implements ledger.Store.
func (p *process) Delete(ctx context.Context, key string, _ kvstore.Revision) error {
	if err := p.awaitRunning(ctx); err != nil {
		return err
	}
	p.harness.store.mu.Lock()
	defer p.harness.store.mu.Unlock()
	delete(p.harness.store.entries, key)
	return nil
}

// GrantLease implements ledger.Store. A run is too short for a lease to expire, so leases have no effect.
func (p *process) GrantLease(ctx context.Context, _ time.Duration) (kvstore.LeaseID, error) {
	return 1, p.awaitRunning(ctx)
}

// Call implements ledger.Services.
func (p *process) Call(ctx context.Context, _ netip.AddrPort, _ service.Call) (service.Answer, error) {
	if err := p.awaitRunning(ctx); err != nil {
		return service.Answer{}, service.ErrNotSent
	}
	at := ctx.Value(attemptKey{}).(attempt)
	percent := p.harness.randIntN(100)
	time.Sleep(latency)
	switch {
	case p.harness.variant == variantFalseNotSent && percent < 10:
		p.harness.recordRun(at)
		return service.Answer{}, service.ErrNotSent
	case percent < 3:
		return service.Answer{}, p.deliver(ctx, service.ErrNotSent)
	case percent < 5: // lost before it ran
		return service.Answer{}, service.ErrOutcomeUnknown
	case percent < 7: // runs after its sender timed out
		time.AfterFunc(lateDelay, func() { p.harness.recordRun(at) })
		return service.Answer{}, service.ErrOutcomeUnknown
	}
	p.harness.recordRun(at)
	if percent < 10 {
		return service.Answer{}, service.ErrOutcomeUnknown
	}
	return service.Answer{Status: 201, Body: []byte(receipt(at))}, p.deliver(ctx, nil)
}

// FetchOutcome implements ledger.Services. The service reports no outcomes, so the ledger must settle every unknown
// outcome itself.
func (p *process) FetchOutcome(context.Context, netip.AddrPort, string) (service.Answer, error) {
	return service.Answer{}, service.ErrOutcomeUnavailable
}

// recordRun records that an attempt caused a run of its booking.
func (h *harness) recordRun(at attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hist := h.historyOf(at.key)
	hist.runs = append(hist.runs, at)
}

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

// This file defines the fakes of the store and the service, seen through a process that may be paused or dead.

const (
	latency   = time.Millisecond
	lateDelay = 60 * time.Millisecond // of effects that come after the caller has given up
	silence   = 40 * time.Millisecond // until a call that is not answered ends
)

// store is a key-value service with faults.
type store struct {
	mu       sync.Mutex
	entries  map[string]kvstore.Entry
	revision kvstore.Revision
	rng      *rand.Rand
	mode     mode
	lost     int // answers
	broken   bool
}

// mode is how the store behaves now.
type mode int

const (
	modeWell   mode = iota
	modeRefuse      // every call is refused
	modeSilent      // no call takes effect or is answered
	modeLossy       // a third of the answers to writes are lost, some of them before a late effect
	modeSlow
)

func (s *store) setMode(m mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Decides the fate of one call.
func (s *store) fate(write bool) (refuse, silent, lose, late bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay = latency
	if s.mode == modeSlow {
		delay *= 20
	}
	lose = write && s.mode == modeLossy && s.rng.IntN(3) == 0
	late = lose && s.rng.IntN(2) == 0
	if lose {
		s.lost++
	}
	return s.mode == modeRefuse, s.mode == modeSilent, lose, late, delay
}

func (s *store) get(key string) (kvstore.Entry, error) {
	refuse, silent, _, _, delay := s.fate(false)
	time.Sleep(delay)
	if silent {
		time.Sleep(silence)
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
	refuse, silent, lose, late, delay := s.fate(true)
	time.Sleep(delay)
	switch {
	case refuse:
		return 0, kvstore.ErrUnavailable
	case silent:
		time.Sleep(silence)
		return 0, kvstore.ErrOutcomeUnknown
	case late:
		time.AfterFunc(lateDelay, func() { _, _ = s.apply(key, expected, value) }) // nobody waits for it
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
	if s.entries[key].Revision != expected && !s.broken {
		return 0, kvstore.ErrConflict
	}
	s.revision++
	s.entries[key] = kvstore.Entry{Key: key, Value: value, Revision: s.revision}
	return s.revision, nil
}

// Get implements ledger.Store.
func (p *process) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if err := p.alive(ctx); err != nil {
		return kvstore.Entry{}, err
	}
	entry, err := p.w.store.get(key)
	return entry, p.back(ctx, err)
}

// CompareAndSwap implements ledger.Store.
func (p *process) CompareAndSwap(ctx context.Context, key string, expected kvstore.Revision, value []byte, _ kvstore.LeaseID) (kvstore.Revision, error) {
	if err := p.alive(ctx); err != nil {
		return 0, err
	}
	rev, err := p.w.store.swap(key, expected, value)
	return rev, p.back(ctx, err)
}

// Delete implements ledger.Store.
func (p *process) Delete(ctx context.Context, key string, _ kvstore.Revision) error {
	if err := p.alive(ctx); err != nil {
		return err
	}
	p.w.store.mu.Lock()
	defer p.w.store.mu.Unlock()
	delete(p.w.store.entries, key)
	return nil
}

// GrantLease implements ledger.Store. Nothing here outlives a lease.
func (p *process) GrantLease(ctx context.Context, _ time.Duration) (kvstore.LeaseID, error) {
	return 1, p.alive(ctx)
}

// Call implements ledger.Services.
func (p *process) Call(ctx context.Context, _ netip.AddrPort, _ service.Call) (service.Answer, error) {
	if err := p.alive(ctx); err != nil {
		return service.Answer{}, service.ErrNotSent
	}
	at := ctx.Value(attemptKey{}).(attempt)
	fate := p.w.draw(100)
	time.Sleep(latency)
	switch {
	case p.w.breakage == breakNotSent && fate < 10:
		p.w.ran(at)
		return service.Answer{}, service.ErrNotSent
	case fate < 3:
		return service.Answer{}, p.back(ctx, service.ErrNotSent)
	case fate < 5: // lost before it ran
		return service.Answer{}, service.ErrOutcomeUnknown
	case fate < 7: // runs after its sender has given up
		time.AfterFunc(lateDelay, func() { p.w.ran(at) })
		return service.Answer{}, service.ErrOutcomeUnknown
	}
	p.w.ran(at)
	if fate < 10 {
		return service.Answer{}, service.ErrOutcomeUnknown
	}
	return service.Answer{Status: 201, Body: []byte(receipt(at))}, p.back(ctx, nil)
}

// FetchOutcome implements ledger.Services. The service cannot be asked, so that every doubt stays with the ledger.
func (p *process) FetchOutcome(context.Context, netip.AddrPort, string) (service.Answer, error) {
	return service.Answer{}, service.ErrOutcomeUnavailable
}

// Notes a run of a booking.
func (w *world) ran(at attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.history(at.key)
	h.runs = append(h.runs, at)
}

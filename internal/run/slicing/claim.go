package slicing

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/ownership"
	"ebonyferry/internal/core/slice"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
)

// This file defines how terms are taken and kept in the store.

const (
	recordPrefix = "slices/"
	memberPrefix = "members/"
	maxClaims    = 16              // terms taken at one time
	claimTimeout = 5 * time.Second // bound of one try
)

// errNotSettled means that it is not known whether the record was written.
var errNotSettled = errors.New("write of the owner's record is not settled")

// Reports whether this node is the one to own a server. The caller holds mu.
func (m *Manager) wants(server string) bool {
	a := m.assigned
	if a.inForce == nil || m.self.Epoch == 0 {
		return false
	}
	return ownership.OwnedBySelf(m.views.View(), ownership.KindServer, server, a.region[server], time.Now())
}

// Begins to take the terms that this node is to have, writes the records that need it, and asks processes of
// earlier terms to follow.
func (m *Manager) keepTerms(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.noteGone(ctx, now)
	m.dropRemoved(now)
	for id := range m.assigned.config {
		if s := m.seats[id]; s != nil {
			m.keep(ctx, s, now)
			continue
		}
		if !m.claiming[id] && len(m.claiming) < maxClaims && m.wants(id) {
			m.claiming[id] = true
			go m.claim(ctx, id)
		}
	}
}

// Drops the seats of servers that left the configuration once no process may hold a slice of them. The caller
// holds mu.
func (m *Manager) dropRemoved(now time.Time) {
	for id, s := range m.seats {
		if _, ok := m.assigned.config[id]; ok || s.busy {
			continue
		}
		m.attend(s, now)
		if len(s.owner.Holders()) == 0 {
			delete(m.seats, id)
		}
	}
}

// Keeps one term. The caller holds mu.
func (m *Manager) keep(ctx context.Context, s *seat, now time.Time) {
	m.attend(s, now)
	for _, proc := range s.owner.Pending() {
		go m.askToFollow(ctx, s, s.record.Term, proc)
	}
	view := m.views.View()
	needed := view.SelfEpoch != s.epoch || len(s.newcomers) > 0 || s.writing != nil || s.owner.Stopped()
	if !needed || s.busy || !view.HoldsLease(now) {
		return
	}
	s.busy = true
	if s.owner.Stopped() {
		go m.leave(ctx, s)
		return
	}
	if s.writing == nil {
		next := m.nextRecord(s)
		s.writing = &next
	}
	go m.rewrite(ctx, s, s.rev, *s.writing, view.SelfEpoch)
}

// Gives up a released seat once another node has taken the next term, or when none does and this node is to
// own the server again. Until then the seat answers those who ask for its table.
func (m *Manager) leave(ctx context.Context, s *seat) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	rec, _, err := m.read(ctx, s.server)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.busy = false
	if err != nil || rec != nil && rec.Term == s.record.Term && !m.wants(s.server) {
		return
	}
	delete(m.seats, s.server)
	event.Log(m.log, event.TermLost, event.Fields{"server": s.server, "term": uint64(s.record.Term)})
}

// Returns the record with the processes that may hold a slice and those that are to. The caller holds mu.
func (m *Manager) nextRecord(s *seat) slice.Record {
	next := s.record
	next.Nonce = uuid.NewString()
	next.Holders = s.owner.Holders()
	for name, epoch := range s.newest {
		proc := slice.Process{Name: name, Epoch: epoch}
		if m.assigned.subsets.Uses(name, s.server) && !slices.Contains(next.Holders, proc) {
			next.Holders = append(next.Holders, proc)
		}
	}
	return next
}

// Writes a seat's record again under the registration with the given epoch. A seat whose record another node
// has written is lost.
func (m *Manager) rewrite(ctx context.Context, s *seat, rev kvstore.Revision, next slice.Record, epoch uint64) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	rev, err := m.write(ctx, s.server, rev, next)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.busy = false
	switch {
	case err == nil && !s.owner.Stopped():
		s.record, s.rev, s.epoch, s.writing = next, rev, epoch, nil
		clear(s.newcomers) // one that is not in the record asks again
	case err == nil:
		s.record, s.rev, s.writing = next, rev, nil
	case errors.Is(err, kvstore.ErrConflict):
		s.owner.Stop()
		delete(m.seats, s.server)
		event.Log(m.log, event.TermLost, event.Fields{"server": s.server, "term": uint64(s.record.Term)})
	}
}

// Writes a record by compare-and-swap. The error is kvstore.ErrConflict when another record stands there,
// errNotSettled when a later try with the same record must settle it, or else nothing was written.
func (m *Manager) write(ctx context.Context, server string, rev kvstore.Revision, rec slice.Record) (kvstore.Revision, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return 0, fmt.Errorf("encoding the owner's record of %s: %w", server, err)
	}
	got, err := m.store.CompareAndSwap(ctx, recordPrefix+server, rev, data, 0)
	if errors.Is(err, kvstore.ErrConflict) {
		stands, standsRev, readErr := m.read(ctx, server)
		switch {
		case readErr != nil:
			return 0, fmt.Errorf("%w: %w", errNotSettled, readErr)
		case stands != nil && stands.Nonce == rec.Nonce:
			return standsRev, nil
		}
	}
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return 0, fmt.Errorf("%w: %w", errNotSettled, err)
	}
	return got, err
}

// Reads a server's record. It is nil when there is none.
func (m *Manager) read(ctx context.Context, server string) (*slice.Record, kvstore.Revision, error) {
	entry, err := m.store.Get(ctx, recordPrefix+server)
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var rec slice.Record
	if err := json.Unmarshal(entry.Value, &rec); err != nil {
		return nil, 0, fmt.Errorf("owner's record of %s: %w", server, err)
	}
	return &rec, entry.Revision, nil
}

// Tries once to take the next term of a server.
func (m *Manager) claim(ctx context.Context, server string) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	s, err := m.takeTerm(ctx, server)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.claiming, server)
	if err != nil {
		event.Log(m.log, event.TermNotTaken, event.Fields{"server": server, "error": err.Error()})
	}
	if s != nil {
		m.seats[server] = s
		event.Log(m.log, event.TermTaken, event.Fields{"server": server, "term": uint64(s.record.Term)})
	}
}

// Takes the next term of a server, or returns nil while its owner keeps it.
func (m *Manager) takeTerm(ctx context.Context, server string) (*seat, error) {
	rec, rev, err := m.read(ctx, server)
	if err != nil {
		return nil, err
	}
	listing, released := slice.Unregistered, (*slice.Handover)(nil)
	if rec != nil && rec.Owner != m.self {
		if listing, released, err = m.lookUp(ctx, server, rec); err != nil {
			return nil, err
		}
	}
	if slice.NextStep(rec, m.self, listing, released) == slice.StepRequestRelease {
		return nil, nil
	}
	now := time.Now()
	view := m.views.View()
	if !view.HoldsLease(now) {
		return nil, nil
	}
	next := slice.SuccessorRecord(rec, m.self, released, uuid.NewString())
	newRev, err := m.write(ctx, server, rev, next)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &seat{
		server:    server,
		owner:     slice.StartTerm(m.assigned.config[server], rec, next, released, now),
		record:    next,
		rev:       newRev,
		epoch:     view.SelfEpoch,
		newest:    make(map[string]uint64),
		newcomers: make(map[slice.Process]bool),
	}
	for _, proc := range next.Holders {
		s.meet(proc) // holders are users from the start, though they have yet to ask this node
	}
	return s, nil
}

// Finds out about the owner that a record names, after the record was read: whether the store still holds its
// registration, and if so, whether it releases its term.
func (m *Manager) lookUp(ctx context.Context, server string, rec *slice.Record) (slice.Registration, *slice.Handover, error) {
	if rec.Owner.Name == m.self.Name {
		return slice.Replaced, nil, nil
	}
	entry, err := m.store.Get(ctx, memberPrefix+rec.Owner.Name)
	if errors.Is(err, kvstore.ErrNotFound) {
		return slice.Unregistered, nil, nil
	}
	if err != nil {
		return slice.Registered, nil, err
	}
	var owner membership.Node
	if err := json.Unmarshal(entry.Value, &owner); err != nil {
		return slice.Registered, nil, fmt.Errorf("member %q: %w", rec.Owner.Name, err)
	}
	result, err := node.Call[releaseMessage, releaseResult](ctx, m.peers, owner.Addr, pathRelease, releaseMessage{server, rec.Term})
	switch {
	case err != nil:
		return slice.Registered, nil, err
	case result.Epoch > rec.Owner.Epoch || result.Epoch == rec.Owner.Epoch && result.Vacant:
		return slice.Replaced, nil, nil
	}
	return slice.Registered, result.Table, nil
}

// Asks a process of an earlier term to follow this one. An answer by another process of the same node says
// that the asked one has ended.
func (m *Manager) askToFollow(ctx context.Context, s *seat, term slice.Term, proc slice.Process) {
	msg := followMessage{s.server, term}
	var result followResult
	var err error
	if proc.Name == m.self.Name {
		result, err = m.handleFollow(ctx, node.Sender{Name: m.self.Name}, msg)
	} else {
		to, ok := m.node(proc.Name)
		if !ok {
			return
		}
		result, err = node.Call[followMessage, followResult](ctx, m.peers, to.Addr, pathFollow, msg)
	}
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.attend(s, now)
	switch {
	case result.Epoch != proc.Epoch:
		s.meet(slice.Process{Name: proc.Name, Epoch: result.Epoch})
	case result.Follows:
		s.owner.CarryOver(proc, result.Held, now)
	default:
		s.owner.Stop()
	}
}

// This file defines how a node takes terms and keeps them in the store.

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
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/ownership"
	"ebonyferry/internal/core/slice"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
)

const (
	recordPrefix = "slices/"
	memberPrefix = "members/"
	maxClaims    = 16              // maximum number of concurrent claims
	claimTimeout = 5 * time.Second // timeout of one attempt
)

// errUnsettled means that it is unknown whether the record was written.
var errUnsettled = errors.New("unknown whether the owner record was written")

// shouldOwn reports whether this node should own a server. The caller holds mu.
func (m *Manager) shouldOwn(server string) bool {
	a := m.assigned
	if a.inForce == nil || m.self.Epoch == 0 {
		return false
	}
	view := m.views.View()
	return view.HoldsLease(time.Now()) && m.owned.has(view, a.inForce, server, a.region[server])
}

// ownedServers remembers which servers the node of a view owns. Views are immutable and change far less often than
// ownership is asked for; without it a node with 600 servers and 330 nodes computes 198,000 hashes a round.
type ownedServers struct {
	view    *membership.View
	inForce *bundle.InForce
	owned   map[string]bool // by server
}

// has reports whether the view's own node owns a server of a region.
func (o *ownedServers) has(view *membership.View, inForce *bundle.InForce, server, region string) bool {
	switch {
	case o.view == view && o.inForce == inForce:
	case o.view != nil && o.inForce == inForce && o.view.Self == view.Self && slices.Equal(o.view.Nodes, view.Nodes):
		o.view = view
	default:
		*o = ownedServers{view: view, inForce: inForce, owned: make(map[string]bool)}
	}
	owned, known := o.owned[server]
	if !known {
		n, ok := ownership.Owner(view, ownership.KindServer, server, region)
		owned = ok && n.Name == view.Self
		o.owned[server] = owned
	}
	return owned
}

// maintainTerms starts to take the terms that this node should have, writes records that must change, and requests
// processes of earlier terms to follow.
func (m *Manager) maintainTerms(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.checkAbsentNodes(ctx, now)
	m.dropRemovedServers(now)
	for id := range m.assigned.config {
		if s := m.terms[id]; s != nil {
			m.maintain(ctx, s, now)
			continue
		}
		if !m.claiming[id] && len(m.claiming) < maxClaims && m.shouldOwn(id) {
			m.claiming[id] = true
			go m.claim(ctx, id)
		}
	}
}

// dropRemovedServers drops the terms of servers that were removed from the configuration, once no process may hold a
// slice of them. The caller holds mu.
func (m *Manager) dropRemovedServers(now time.Time) {
	for id, s := range m.terms {
		if _, ok := m.assigned.config[id]; ok || s.busy {
			continue
		}
		m.updateOwner(s, now)
		if len(s.owner.Holders()) == 0 {
			delete(m.terms, id)
		}
	}
}

// maintain maintains one term. The caller holds mu.
func (m *Manager) maintain(ctx context.Context, s *serverTerm, now time.Time) {
	m.updateOwner(s, now)
	for _, proc := range s.owner.Pending() {
		go m.requestFollow(ctx, s, s.record.Term, proc)
	}
	view := m.views.View()
	needed := view.SelfEpoch != s.epoch || len(s.unrecorded) > 0 || s.unsettled != nil || s.owner.Stopped()
	if !needed || s.busy || !view.HoldsLease(now) {
		return
	}
	s.busy = true
	if s.owner.Stopped() {
		go m.abandon(ctx, s)
		return
	}
	if s.unsettled == nil {
		next := m.updatedRecord(s)
		s.unsettled = &next
	}
	go m.rewriteRecord(ctx, s, s.rev, *s.unsettled, view.SelfEpoch)
}

// abandon drops a released term once another node has taken the next one, or if this node should own the server again
// before that. Until then the node still answers requests for the handover.
func (m *Manager) abandon(ctx context.Context, s *serverTerm) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	rec, _, err := m.readRecord(ctx, s.server)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.busy = false
	if err != nil || rec != nil && rec.Term == s.record.Term && !m.shouldOwn(s.server) {
		return
	}
	delete(m.terms, s.server)
	event.Log(m.log, event.TermLost, event.Fields{"server": s.server, "term": uint64(s.record.Term)})
}

// updatedRecord returns the record with the processes that may hold a slice and those that should. The caller holds mu.
func (m *Manager) updatedRecord(s *serverTerm) slice.Record {
	next := s.record
	next.Nonce = uuid.NewString()
	next.Holders = s.owner.Holders()
	for name, epoch := range s.newestEpoch {
		proc := slice.Process{Name: name, Epoch: epoch}
		if m.assigned.subsets.Uses(name, s.server) && !slices.Contains(next.Holders, proc) {
			next.Holders = append(next.Holders, proc)
		}
	}
	return next
}

// rewriteRecord writes a term's record again under the registration with the given epoch. The term is lost if another
// node has written the record.
func (m *Manager) rewriteRecord(ctx context.Context, s *serverTerm, rev kvstore.Revision, next slice.Record, epoch uint64) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	rev, err := m.writeRecord(ctx, s.server, rev, next)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.busy = false
	switch {
	case err == nil && !s.owner.Stopped():
		s.record, s.rev, s.epoch, s.unsettled = next, rev, epoch, nil
		clear(s.unrecorded) // a process that is not in the record sends another request
	case err == nil:
		s.record, s.rev, s.unsettled = next, rev, nil
	case errors.Is(err, kvstore.ErrConflict):
		s.owner.Stop()
		delete(m.terms, s.server)
		event.Log(m.log, event.TermLost, event.Fields{"server": s.server, "term": uint64(s.record.Term)})
	}
}

// writeRecord writes a record by compare-and-swap. The error is kvstore.ErrConflict if the store has another record, and
// errUnsettled if a later attempt with the same record must find out whether it was written. After any other error
// nothing was written.
func (m *Manager) writeRecord(ctx context.Context, server string, rev kvstore.Revision, rec slice.Record) (kvstore.Revision, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return 0, fmt.Errorf("encoding owner record of server %s: %w", server, err)
	}
	got, err := m.store.CompareAndSwap(ctx, recordPrefix+server, rev, data, 0)
	if errors.Is(err, kvstore.ErrConflict) {
		current, currentRev, readErr := m.readRecord(ctx, server)
		switch {
		case readErr != nil:
			return 0, fmt.Errorf("%w: %w", errUnsettled, readErr)
		case current != nil && current.Nonce == rec.Nonce:
			return currentRev, nil
		}
	}
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return 0, fmt.Errorf("%w: %w", errUnsettled, err)
	}
	return got, err
}

// readRecord reads a server's record. It returns nil if there is none.
func (m *Manager) readRecord(ctx context.Context, server string) (*slice.Record, kvstore.Revision, error) {
	entry, err := m.store.Get(ctx, recordPrefix+server)
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var rec slice.Record
	if err := json.Unmarshal(entry.Value, &rec); err != nil {
		return nil, 0, fmt.Errorf("decoding owner record of server %s: %w", server, err)
	}
	return &rec, entry.Revision, nil
}

// claim tries once to take the next term of a server.
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
		m.terms[server] = s
		event.Log(m.log, event.TermTaken, event.Fields{"server": server, "term": uint64(s.record.Term)})
	}
}

// takeTerm takes the next term of a server. It returns nil while the current owner keeps its term.
func (m *Manager) takeTerm(ctx context.Context, server string) (*serverTerm, error) {
	rec, rev, err := m.readRecord(ctx, server)
	if err != nil {
		return nil, err
	}
	registration, handover := slice.Unregistered, (*slice.Handover)(nil)
	if rec != nil && rec.Owner != m.self {
		if registration, handover, err = m.checkOwner(ctx, server, rec); err != nil {
			return nil, err
		}
	}
	if slice.NextStep(rec, m.self, registration, handover) == slice.StepRequestRelease {
		return nil, nil
	}
	now := time.Now()
	view := m.views.View()
	if !view.HoldsLease(now) {
		return nil, nil
	}
	next := slice.SuccessorRecord(rec, m.self, handover, uuid.NewString())
	newRev, err := m.writeRecord(ctx, server, rev, next)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &serverTerm{
		server:      server,
		owner:       slice.StartTerm(m.assigned.config[server], rec, next, handover, now),
		record:      next,
		rev:         newRev,
		epoch:       view.SelfEpoch,
		newestEpoch: make(map[string]uint64),
		unrecorded:  make(map[slice.Process]bool),
	}
	for _, proc := range next.Holders {
		s.noteProcess(proc) // holders are users from the start, though they have not sent this node a request yet
	}
	return s, nil
}

// checkOwner checks the owner that a record names, after the record was read: whether it is still registered in the
// store and, if so, whether it releases its term.
func (m *Manager) checkOwner(ctx context.Context, server string, rec *slice.Record) (slice.Registration, *slice.Handover, error) {
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
		return slice.Registered, nil, fmt.Errorf("decoding member %q: %w", rec.Owner.Name, err)
	}
	result, err := node.Call[releaseMessage, releaseResult](ctx, m.peers, owner.Addr, pathRelease, releaseMessage{server, rec.Term})
	switch {
	case err != nil:
		return slice.Registered, nil, err
	case result.Epoch > rec.Owner.Epoch || result.Epoch == rec.Owner.Epoch && result.Vacant:
		return slice.Replaced, nil, nil
	}
	return slice.Registered, result.Handover, nil
}

// requestFollow requests a process of an earlier term to follow this one. An answer from another process of the same
// node shows that the requested process has ended.
func (m *Manager) requestFollow(ctx context.Context, s *serverTerm, term slice.Term, proc slice.Process) {
	msg := followMessage{s.server, term}
	var result followResult
	var err error
	if proc.Name == m.self.Name {
		result, err = m.handleFollow(ctx, node.Sender{Name: m.self.Name}, msg)
	} else {
		to, ok := m.findNode(proc.Name)
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
	m.updateOwner(s, now)
	switch {
	case result.Epoch != proc.Epoch:
		s.noteProcess(slice.Process{Name: proc.Name, Epoch: result.Epoch})
	case result.Follows:
		s.owner.CarryOver(proc, result.Held, now)
	default:
		s.owner.Stop()
	}
}

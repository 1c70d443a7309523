package slicing

import (
	"context"
	"slices"
	"time"

	"ebonyferry/internal/core/slice"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
)

// This file defines this node's part as the owner of one server.

// outageSign is a rest of the node's lease that is only seen when a renewal has failed.
const outageSign = 5 * time.Second

// seat is a term that this node holds. Its fields but server are guarded by Manager.mu.
type seat struct {
	server    string
	owner     *slice.Owner
	record    slice.Record           // as last written
	rev       kvstore.Revision       // of record
	epoch     uint64                 // of the registration under which record was written
	writing   *slice.Record          // a record whose write is not settled
	busy      bool                   // a record is being written
	newest    map[string]uint64      // epoch of the newest process by node name
	newcomers map[slice.Process]bool // processes that asked and do not stand in record
	lowered   time.Time              // last reductions
}

// Tells the owner whether it is confirmed at now. The caller holds mu.
func (m *Manager) attend(s *seat, now time.Time) {
	view := m.views.View()
	s.owner.SetStoreOutage(!view.StoreFresh || view.LeaseEnd.Sub(now) < outageSign)
	if view.HoldsLease(now) && view.SelfEpoch == s.epoch {
		s.owner.Confirm(now)
		s.noteEnded()
	} else {
		s.owner.Unconfirm()
	}
	var users []slice.Process
	for name, epoch := range s.newest {
		proc := slice.Process{Name: name, Epoch: epoch}
		if m.assigned.subsets.Uses(name, s.server) && s.lists(proc) {
			users = append(users, proc)
		}
	}
	s.owner.SetUsers(users, len(m.assigned.subsets.Nodes(s.server)))
}

// Handles requests for slices.
func (m *Manager) handleRequest(_ context.Context, from node.Sender, msg requestMessage) (grantMessage, error) {
	proc := slice.Process{Name: from.Name, Epoch: msg.Epoch}
	now := time.Now()
	var answer grantMessage
	var hungry []*seat
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, item := range msg.Servers {
		s := m.seats[item.Server]
		if s == nil {
			continue
		}
		s.meet(proc)
		m.attend(s, now)
		if !s.lists(proc) {
			m.admit(s, proc)
			continue
		}
		before := s.owner.Limit()
		g, ok := s.owner.Request(proc, item.Request, now)
		if !ok {
			continue
		}
		answer.Grants = append(answer.Grants, grantItem{item.Server, g})
		if g.Amount.Streams < item.Want.Streams && now.Sub(s.lowered) >= m.round || s.owner.Limit() < before {
			hungry = append(hungry, s)
		}
	}
	for _, s := range hungry {
		s.lowered = now
		m.lower(s.server, s.owner.Reductions(now))
	}
	return answer, nil
}

// Has a process that is to use the server written into the record. The caller holds mu.
func (m *Manager) admit(s *seat, proc slice.Process) {
	if m.assigned.subsets.Uses(proc.Name, s.server) && !s.newcomers[proc] {
		s.newcomers[proc] = true
		m.wake()
	}
}

// Reports whether the record lists a process, and also the one that is being written, if any: either may be what
// the next owner finds.
func (s *seat) lists(proc slice.Process) bool {
	return slices.Contains(s.record.Holders, proc) && (s.writing == nil || slices.Contains(s.writing.Holders, proc))
}

// Notes a process that sent a message.
func (s *seat) meet(proc slice.Process) {
	s.newest[proc.Name] = max(s.newest[proc.Name], proc.Epoch)
}

// Tells the owner of the processes that have ended: those of nodes that run a newer one.
func (s *seat) noteEnded() {
	for _, proc := range s.owner.Holders() {
		if s.newest[proc.Name] > proc.Epoch {
			s.owner.ProcessEnded(proc)
		}
	}
}

// outgoing is a reduction on its way to its holder.
type outgoing struct {
	server string
	push   slice.Reduction
}

// Hands reductions to sendReductions. One that finds no room is left to the holder's next request. The caller
// holds mu.
func (m *Manager) lower(server string, pushes []slice.Reduction) {
	for _, push := range pushes {
		select {
		case m.outbox <- outgoing{server, push}:
		default:
		}
	}
}

// Sends reductions, each in a message of its own so that a holder out of reach delays no other, until ctx ends.
func (m *Manager) sendReductions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case out := <-m.outbox:
			go m.sendReduction(ctx, out)
		}
	}
}

func (m *Manager) sendReduction(ctx context.Context, out outgoing) {
	msg := lowerMessage{Grants: []grantItem{{out.server, out.push.Grant}}}
	var result lowerResult
	var err error
	if name := out.push.Process.Name; name == m.self.Name {
		result, err = m.handleLower(ctx, node.Sender{Name: name}, msg)
	} else if to, ok := m.node(name); ok {
		result, err = node.Call[lowerMessage, lowerResult](ctx, m.peers, to.Addr, pathLower, msg)
	}
	if err == nil {
		m.lowered(out.push.Process, result)
	}
}

// Takes note of reductions that a holder has applied.
func (m *Manager) lowered(proc slice.Process, result lowerResult) {
	if result.Epoch != proc.Epoch {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, item := range result.Applied {
		if s := m.seats[item.Server]; s != nil && s.owner.Term() == item.Term {
			s.owner.GrantApplied(proc, item.Seq)
		}
	}
}

// Handles a successor's request to release a term. It is refused while this node holds itself to be the one
// that is to own the server.
func (m *Manager) handleRelease(_ context.Context, _ node.Sender, msg releaseMessage) (releaseResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := releaseResult{Epoch: m.self.Epoch}
	s := m.seats[msg.Server]
	switch {
	case s == nil || s.owner.Term() != msg.Term:
		result.Vacant = s == nil && !m.claiming[msg.Server]
		return result, nil
	case m.wants(msg.Server) && !s.owner.Stopped():
		return result, nil
	}
	now := time.Now()
	m.attend(s, now)
	table := s.owner.Release(now)
	result.Table = &table
	return result, nil
}

// This file defines how this node acts as the owner of servers.

package slicing

import (
	"context"
	"slices"
	"time"

	"ebonyferry/internal/core/slice"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
)

// failedRenewalLease is the remaining duration of the node's lease below which a renewal must have failed.
const failedRenewalLease = 5 * time.Second

// serverTerm is a term in which this node owns a server. Manager.mu guards its fields other than server.
type serverTerm struct {
	server        string
	owner         *slice.Owner
	record        slice.Record           // as last written
	rev           kvstore.Revision       // of record
	epoch         uint64                 // of the registration under which record was written
	unsettled     *slice.Record          // a record that may or may not have been written
	busy          bool                   // an access to the record in the store is in progress
	newestEpoch   map[string]uint64      // epoch of the newest known process by node name
	unrecorded    map[slice.Process]bool // processes that sent requests but are not in record
	lastReduction time.Time              // time of the last reductions
}

// updateOwner updates the owner's users, and whether the owner is confirmed and the store is down at now. The caller
// holds mu.
func (m *Manager) updateOwner(s *serverTerm, now time.Time) {
	view := m.views.View()
	s.owner.SetStoreOutage(!view.StoreFresh || view.LeaseEnd.Sub(now) < failedRenewalLease)
	if view.HoldsLease(now) && view.SelfEpoch == s.epoch {
		s.owner.Confirm(now)
		s.endReplaced()
	} else {
		s.owner.Unconfirm()
	}
	var users []slice.Process
	for name, epoch := range s.newestEpoch {
		proc := slice.Process{Name: name, Epoch: epoch}
		if m.assigned.subsets.Uses(name, s.server) && s.recorded(proc) {
			users = append(users, proc)
		}
	}
	s.owner.SetUsers(users, len(m.assigned.subsets.Nodes(s.server)))
}

// handleRequest handles requests for slices.
func (m *Manager) handleRequest(_ context.Context, from node.Sender, msg requestMessage) (grantMessage, error) {
	proc := slice.Process{Name: from.Name, Epoch: msg.Epoch}
	now := time.Now()
	var answer grantMessage
	var toReduce []*serverTerm
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, item := range msg.Servers {
		s := m.terms[item.Server]
		if s == nil {
			continue
		}
		s.noteProcess(proc)
		m.updateOwner(s, now)
		if !s.recorded(proc) {
			m.admit(s, proc)
			continue
		}
		before := s.owner.Limit()
		g, ok := s.owner.Request(proc, item.Request, now)
		if !ok {
			continue
		}
		answer.Grants = append(answer.Grants, grantItem{item.Server, g})
		if g.Amount.Streams < item.Want.Streams && now.Sub(s.lastReduction) >= m.round || s.owner.Limit() < before {
			toReduce = append(toReduce, s)
		}
	}
	for _, s := range toReduce {
		s.lastReduction = now
		m.enqueueReductions(s.server, s.owner.Reductions(now))
	}
	return answer, nil
}

// admit schedules a write that adds a process to the record, if the process should use the server. The caller holds mu.
func (m *Manager) admit(s *serverTerm, proc slice.Process) {
	if m.assigned.subsets.Uses(proc.Name, s.server) && !s.unrecorded[proc] {
		s.unrecorded[proc] = true
		m.wake()
	}
}

// recorded reports whether the record lists a process. The unsettled record, if any, must list it too, since the next
// owner may find either.
func (s *serverTerm) recorded(proc slice.Process) bool {
	return slices.Contains(s.record.Holders, proc) && (s.unsettled == nil || slices.Contains(s.unsettled.Holders, proc))
}

// noteProcess records that a process of a node exists.
func (s *serverTerm) noteProcess(proc slice.Process) {
	s.newestEpoch[proc.Name] = max(s.newestEpoch[proc.Name], proc.Epoch)
}

// endReplaced reports to the owner the processes that have ended because their node runs a newer process.
func (s *serverTerm) endReplaced() {
	for _, proc := range s.owner.Holders() {
		if s.newestEpoch[proc.Name] > proc.Epoch {
			s.owner.ProcessEnded(proc)
		}
	}
}

// queuedReduction is a reduction that waits to be sent.
type queuedReduction struct {
	server    string
	reduction slice.Reduction
}

// enqueueReductions passes reductions to sendReductions. When the queue is full, a reduction is dropped and the holder
// gets the smaller amount with its next request. The caller holds mu.
func (m *Manager) enqueueReductions(server string, reductions []slice.Reduction) {
	for _, reduction := range reductions {
		select {
		case m.outbox <- queuedReduction{server, reduction}:
		default:
		}
	}
}

// sendReductions sends queued reductions until ctx ends. Each is a separate message, so an unreachable holder does not
// delay the others.
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

func (m *Manager) sendReduction(ctx context.Context, out queuedReduction) {
	msg := reduceMessage{Grants: []grantItem{{out.server, out.reduction.Grant}}}
	var result reduceResult
	var err error
	if name := out.reduction.Process.Name; name == m.self.Name {
		result, err = m.handleReduce(ctx, node.Sender{Name: name}, msg)
	} else if to, ok := m.findNode(name); ok {
		result, err = node.Call[reduceMessage, reduceResult](ctx, m.peers, to.Addr, pathReduce, msg)
	}
	if err == nil {
		m.reductionApplied(out.reduction.Process, result)
	}
}

// reductionApplied reports to the owners which reductions a holder has applied.
func (m *Manager) reductionApplied(proc slice.Process, result reduceResult) {
	if result.Epoch != proc.Epoch {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, item := range result.Applied {
		if s := m.terms[item.Server]; s != nil && s.owner.Term() == item.Term {
			s.owner.GrantApplied(proc, item.Seq)
		}
	}
}

// handleRelease handles a successor's request to release a term. It refuses while this node should own the server
// according to its own view.
func (m *Manager) handleRelease(_ context.Context, _ node.Sender, msg releaseMessage) (releaseResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := releaseResult{Epoch: m.self.Epoch}
	s := m.terms[msg.Server]
	switch {
	case s == nil || s.owner.Term() != msg.Term:
		result.Vacant = s == nil && !m.claiming[msg.Server]
		return result, nil
	case m.shouldOwn(msg.Server) && !s.owner.Stopped():
		return result, nil
	}
	now := time.Now()
	m.updateOwner(s, now)
	handover := s.owner.Release(now)
	result.Handover = &handover
	return result, nil
}

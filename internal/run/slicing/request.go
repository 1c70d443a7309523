// This file defines which servers this node uses, and how it requests slices.

package slicing

import (
	"context"
	"slices"
	"sync"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/ownership"
	"ebonyferry/internal/core/slice"
	"ebonyferry/internal/edge/node"
)

// assignment holds the servers and their users according to one view and one configuration. It is immutable.
type assignment struct {
	view    *membership.View
	inForce *bundle.InForce
	config  map[string]slice.Config // by server ID
	region  map[string]string       // by server ID
	subsets *ownership.Subsets
}

// updateAssignment recomputes the assignment if the view or the configuration has changed. A changed view is ignored
// while the store does not confirm it, since no record can be written for new users then.
func (m *Manager) updateAssignment() {
	view, inForce := m.views.View(), m.bundles.InForce()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.Epoch == 0 {
		m.self.Epoch = view.SelfEpoch
	}
	old := m.assigned
	if inForce == nil || inForce == old.inForce && (!view.StoreFresh || slices.Equal(view.Nodes, old.view.Nodes)) {
		return
	}
	a := assignment{
		view: view, inForce: inForce,
		config: make(map[string]slice.Config), region: make(map[string]string),
	}
	var servers []ownership.Server
	for _, s := range inForce.Bundle.Servers {
		if s.Kind != bundle.KindEngine {
			continue
		}
		servers = append(servers, ownership.Server{ID: s.ID, Region: s.Region})
		a.region[s.ID] = s.Region
		a.config[s.ID] = m.sliceConfig(s)
	}
	a.subsets = ownership.NewSubsets(view, servers, m.perServer)
	m.assigned = a
	m.updateHoldings()
}

// sliceConfig returns the slice configuration of a server.
func (m *Manager) sliceConfig(s bundle.Server) slice.Config {
	cold := s.ColdStreams
	if cold == 0 {
		cold = s.MaxStreams
	}
	return slice.Config{
		Full:   slice.Amount{Streams: s.MaxStreams, Tokens: s.MemoryTokens},
		Cold:   cold,
		Timing: m.timing,
	}
}

// updateHoldings adds and removes holdings according to the assignment. It keeps an unused holding, with the promise to
// refuse earlier terms, until Grace after both the end of its slice and its last promise. The caller holds mu.
func (m *Manager) updateHoldings() {
	for _, id := range m.assigned.subsets.Servers(m.self.Name) {
		if m.holdings[id] == nil {
			m.holdings[id] = &holding{}
		}
	}
	now := time.Now()
	for id, h := range m.holdings {
		promised := laterTime(h.Expiry, h.followedAt).Add(m.timing.Grace)
		if !m.assigned.subsets.Uses(m.self.Name, id) && !now.Before(promised) {
			delete(m.holdings, id)
		}
	}
	for id, s := range m.terms {
		if cfg, ok := m.assigned.config[id]; ok {
			s.owner.Configure(cfg)
		}
	}
	m.publish()
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// requestAll sends all requests that are due, and waits for the answers.
func (m *Manager) requestAll(ctx context.Context) {
	var wg sync.WaitGroup
	for name, items := range m.dueRequests(time.Now()) {
		wg.Go(func() { m.requestFrom(ctx, name, items) })
	}
	wg.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish()
}

// dueRequests returns the requests that are due, by the name of the node to send them to.
func (m *Manager) dueRequests(now time.Time) map[string][]requestItem {
	m.mu.Lock()
	defer m.mu.Unlock()
	due := make(map[string][]requestItem)
	if m.self.Epoch == 0 {
		return due
	}
	for id, h := range m.holdings {
		full := m.assigned.config[id].Full.Streams
		if !m.assigned.subsets.Uses(m.self.Name, id) || !h.due(now, full, m.round, m.idleRound) {
			continue
		}
		name := h.owner
		if name == "" {
			owner, _ := ownership.Owner(m.assigned.view, ownership.KindServer, id, m.assigned.region[id])
			name = owner.Name
		}
		due[name] = append(due[name], requestItem{id, h.Request(h.want, h.suggestedLimit(full))})
	}
	return due
}

// requestFrom requests slices of several servers from one node.
func (m *Manager) requestFrom(ctx context.Context, name string, items []requestItem) {
	sentAt := time.Now()
	msg := requestMessage{Epoch: m.self.Epoch, Servers: items}
	var answer grantMessage
	var err error
	if name == m.self.Name {
		answer, err = m.handleRequest(ctx, node.Sender{Name: name}, msg)
	} else {
		owner, ok := m.findNode(name)
		if !ok {
			m.forgetOwner(items)
			return
		}
		answer, err = node.Call[requestMessage, grantMessage](ctx, m.peers, owner.Addr, pathRequest, msg)
	}
	if err != nil {
		m.forgetOwner(items)
		return
	}
	m.acceptGrants(name, sentAt, items, answer)
}

// findNode returns a node that may still act, including nodes that heartbeats found unreachable.
func (m *Manager) findNode(name string) (membership.Node, bool) {
	view := m.views.View()
	if n, ok := view.Node(name); ok {
		return n, true
	}
	for _, n := range view.Unreachable {
		if n.Name == name {
			return n, true
		}
	}
	return membership.Node{}, false
}

// forgetOwner makes the next requests for servers go to the owners that the view determines.
func (m *Manager) forgetOwner(items []requestItem) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, item := range items {
		if h := m.holdings[item.Server]; h != nil {
			h.owner = ""
		}
	}
}

// acceptGrants applies a node's answer to requests that were sent at sentAt.
func (m *Manager) acceptGrants(name string, sentAt time.Time, items []requestItem, answer grantMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	suggested := make(map[string]int, len(items))
	for _, item := range items {
		suggested[item.Server] = item.Limit
		if h := m.holdings[item.Server]; h != nil {
			h.owner = ""
		}
	}
	for _, item := range answer.Grants {
		limit, requested := suggested[item.Server]
		if h := m.holdings[item.Server]; h != nil && requested {
			h.handleGrant(item.Grant, sentAt, limit, m.assigned.config[item.Server].Full.Streams, m.timing)
			h.owner = name
		}
	}
	for _, item := range answer.Owners {
		if h := m.holdings[item.Server]; h != nil {
			h.owner = item.Owner
		}
	}
}

// handleReduce handles reductions.
func (m *Manager) handleReduce(_ context.Context, _ node.Sender, msg reduceMessage) (reduceResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := reduceResult{Epoch: m.self.Epoch}
	for _, item := range msg.Grants {
		h := m.holdings[item.Server]
		if h == nil {
			continue
		}
		if before := h.Limit; h.Reduce(item.Grant) {
			h.noteLimitChange(before, m.assigned.config[item.Server].Full.Streams)
			result.Applied = append(result.Applied, grantItem{item.Server, slice.Grant{Term: item.Term, Seq: item.Seq}})
		}
	}
	m.publish()
	return result, nil
}

// handleFollow handles a new owner's request to follow its term. The node also follows the term of a server that it
// never used, so that it refuses a late grant of an earlier term.
func (m *Manager) handleFollow(_ context.Context, _ node.Sender, msg followMessage) (followResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.holdings[msg.Server]
	if h == nil {
		h = &holding{}
		m.holdings[msg.Server] = h
	}
	now := time.Now()
	held, ok := h.Follow(msg.Term, now)
	h.followedAt = now
	h.owner = ""
	return followResult{Epoch: m.self.Epoch, Follows: ok, Held: held}, nil
}

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

// This file defines which servers this node uses, and how it asks for slices.

// assignment is what follows from one view and one configuration. It is immutable.
type assignment struct {
	view    *membership.View
	inForce *bundle.InForce
	config  map[string]slice.Config // by server ID
	region  map[string]string       // by server ID
	subsets *ownership.Subsets
}

// Works out the assignment anew when the view or the configuration has changed. It stays as it is while the
// store does not confirm the view, since no record can be written for new users then.
func (m *Manager) assign() {
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
		a.config[s.ID] = m.config(s)
	}
	a.subsets = ownership.NewSubsets(view, servers, m.perServer)
	m.assigned = a
	m.settleHoldings()
}

func (m *Manager) config(s bundle.Server) slice.Config {
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

// Begins and ends holdings as the assignment says. A holding that ends keeps its promise to refuse earlier
// terms for as long as its slice lasts. The caller holds mu.
func (m *Manager) settleHoldings() {
	for _, id := range m.assigned.subsets.Servers(m.self.Name) {
		if m.holdings[id] == nil {
			m.holdings[id] = &holding{}
		}
	}
	now := time.Now()
	for id, h := range m.holdings {
		promised := later(h.Expiry, h.followed).Add(m.timing.Grace)
		if !m.assigned.subsets.Uses(m.self.Name, id) && !now.Before(promised) {
			delete(m.holdings, id)
		}
	}
	for id, s := range m.seats {
		if cfg, ok := m.assigned.config[id]; ok {
			s.owner.Configure(cfg)
		}
	}
	m.publish()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Asks all owners of servers for which a request is due.
func (m *Manager) askAll(ctx context.Context) {
	var wg sync.WaitGroup
	for name, items := range m.dueRequests(time.Now()) {
		wg.Go(func() { m.ask(ctx, name, items) })
	}
	wg.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish()
}

// Returns the requests that are due by the name of the node to ask.
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
		due[name] = append(due[name], requestItem{id, h.Request(h.want, h.suggestion(full))})
	}
	return due
}

// Asks one node for slices of several servers.
func (m *Manager) ask(ctx context.Context, name string, items []requestItem) {
	asked := time.Now()
	msg := requestMessage{Epoch: m.self.Epoch, Servers: items}
	var answer grantMessage
	var err error
	if name == m.self.Name {
		answer, err = m.handleRequest(ctx, node.Sender{Name: name}, msg)
	} else {
		owner, ok := m.node(name)
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
	m.take(name, asked, items, answer)
}

// Returns a node that may act, also one that heartbeats show dead.
func (m *Manager) node(name string) (membership.Node, bool) {
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

func (m *Manager) forgetOwner(items []requestItem) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, item := range items {
		if h := m.holdings[item.Server]; h != nil {
			h.owner = ""
		}
	}
}

// Takes a node's answer to requests made at asked.
func (m *Manager) take(name string, asked time.Time, items []requestItem, answer grantMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	told := make(map[string]int, len(items))
	for _, item := range items {
		told[item.Server] = item.Limit
		if h := m.holdings[item.Server]; h != nil {
			h.owner = ""
		}
	}
	for _, item := range answer.Grants {
		limit, wasAsked := told[item.Server]
		if h := m.holdings[item.Server]; h != nil && wasAsked {
			h.answered(item.Grant, asked, limit, m.assigned.config[item.Server].Full.Streams, m.timing)
			h.owner = name
		}
	}
	for _, item := range answer.Owners {
		if h := m.holdings[item.Server]; h != nil {
			h.owner = item.Owner
		}
	}
}

// Handles grants that were not asked for.
func (m *Manager) handleLower(_ context.Context, _ node.Sender, msg lowerMessage) (lowerResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := lowerResult{Epoch: m.self.Epoch}
	for _, item := range msg.Grants {
		h := m.holdings[item.Server]
		if h == nil {
			continue
		}
		if before := h.Limit; h.Reduce(item.Grant) {
			h.noteLimit(before, m.assigned.config[item.Server].Full.Streams)
			result.Applied = append(result.Applied, grantItem{item.Server, slice.Grant{Term: item.Term, Seq: item.Seq}})
		}
	}
	m.publish()
	return result, nil
}

// Handles a new owner's question. A server that this node never used is followed too, so that a late grant of
// an earlier term is refused.
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
	h.followed = now
	h.owner = ""
	return followResult{Epoch: m.self.Epoch, Follows: ok, Held: held}, nil
}

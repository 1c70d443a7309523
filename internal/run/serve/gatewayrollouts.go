package serve

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/versions"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
)

// This file defines how the gateways agree on the state of a rollout. Every node tells the one that watches the store
// first what it saw since the order. That node judges the sum and writes the state by compare-and-swap; when it dies,
// the next one hears the whole evidence anew.

const pathEvidence = "/versions/evidence"

const (
	// rolloutPeriod is how often evidence is told and judged.
	rolloutPeriod = 400 * time.Millisecond
	// evidenceLife is how long the evidence of a silent node counts.
	evidenceLife = 10 * time.Second
)

// evidenceMessage is what a node saw of rollouts, by service.
type evidenceMessage struct {
	Seen map[string]versions.Evidence `json:"seen"`
}

type evidenceAnswer struct{}

// heardEvidence is a node's evidence with the time it was heard.
type heardEvidence struct {
	seen map[string]versions.Evidence
	at   time.Time
}

func (g *Gateway) mountEvidence(r chi.Router) { node.Handle(r, pathEvidence, g.handleEvidence) }

func (g *Gateway) handleEvidence(_ context.Context, from node.Sender, msg evidenceMessage) (evidenceAnswer, error) {
	g.evidenceMu.Lock()
	defer g.evidenceMu.Unlock()
	g.evidence[from.Name] = heardEvidence{seen: msg.Seen, at: time.Now()}
	return evidenceAnswer{}, nil
}

// Tells or judges evidence until ctx ends.
func (g *Gateway) decideRollouts(ctx context.Context) error {
	for pause.For(ctx, rolloutPeriod) {
		wanted := g.rt.ProposedStates()
		if len(wanted) == 0 {
			continue
		}
		if to, self := g.rolloutLeader(); !self {
			// What is not heard now is part of the next message.
			_, _ = node.Call[evidenceMessage, evidenceAnswer](ctx, g.peers, to, pathEvidence, evidenceMessage{g.rt.LocalEvidence()})
			continue
		}
		g.judgeAll()
		for order, state := range g.rt.ProposedStates() {
			g.writeRollout(ctx, RolloutStateFact{Service: order.Service, Target: order.Target, State: state})
		}
	}
	return nil
}

// Returns the node that writes the states of rollouts.
func (g *Gateway) rolloutLeader() (addr netip.AddrPort, self bool) {
	watchers := g.currentRoles().watchers
	if len(watchers) == 0 || watchers[0].Name == g.self.Name {
		return netip.AddrPort{}, true
	}
	return watchers[0].Addr, false
}

// Judges the sum of the evidence of all nodes.
func (g *Gateway) judgeAll() {
	sum := g.rt.LocalEvidence()
	g.evidenceMu.Lock()
	for name, heard := range g.evidence {
		if time.Since(heard.at) > evidenceLife {
			delete(g.evidence, name)
			continue
		}
		for service, e := range heard.seen {
			if total, ok := sum[service]; ok && total.Target == e.Target {
				sum[service] = total.Add(e)
			}
		}
	}
	g.evidenceMu.Unlock()
	for service, e := range sum {
		g.rt.ApplyFleetEvidence(service, e)
	}
}

// Writes the state of a rollout unless the store holds it. A write whose outcome is not known shows in the mirror
// when it took effect, and fails on its condition when it is tried again.
func (g *Gateway) writeRollout(ctx context.Context, f RolloutStateFact) {
	key, value, err := g.platform.EncodeRollout(f)
	if err != nil {
		event.Log(g.log, event.RolloutUnwritten, event.Fields{"service": f.Service, "cause": err.Error()})
		return
	}
	held, _, err := g.mirror.List(ctx, key)
	if err != nil {
		return // no word of the store yet
	}
	var revision kvstore.Revision
	for _, e := range held {
		if e.Key != key {
			continue
		}
		revision = e.Revision
		if string(e.Value) == string(value) {
			return
		}
	}
	_, err = g.store.CompareAndSwap(ctx, key, revision, value, 0)
	switch {
	case err == nil:
		event.Log(g.log, event.RolloutDecided, event.Fields{"service": f.Service, "target": f.Target, "state": string(value)})
	case !errors.Is(err, kvstore.ErrConflict):
		event.Log(g.log, event.RolloutUnwritten, event.Fields{"service": f.Service, "cause": err.Error()})
	}
}

// This file defines how the gateways agree on the state of a rollout. The node that is first among the watchers of the
// store decides. Every other node sends it the evidence that it has gathered since the operators' order. The deciding
// node judges the sum and writes the state to the store by compare-and-swap. If it fails, the next watcher receives the
// whole evidence, since each message contains all of it.

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

const pathEvidence = "/versions/evidence"

const (
	// rolloutPeriod is how often evidence is sent and judged.
	rolloutPeriod = 400 * time.Millisecond
	// maxEvidenceAge is how long the last evidence of a node that sends no more still counts.
	maxEvidenceAge = 10 * time.Second
)

// evidenceMessage is a node's evidence on rollouts, by service.
type evidenceMessage struct {
	Evidence map[string]versions.Evidence `json:"seen"`
}

// evidenceAnswer is the evidence of all nodes that the deciding node has, by service. The share of a new version does not grow
// without it.
type evidenceAnswer struct {
	Sum map[string]versions.Evidence `json:"sum,omitempty"`
}

// receivedEvidence is the last evidence of another node.
type receivedEvidence struct {
	byService  map[string]versions.Evidence
	receivedAt time.Time
}

func (g *Gateway) mountEvidence(r chi.Router) { node.Handle(r, pathEvidence, g.handleEvidence) }

func (g *Gateway) handleEvidence(_ context.Context, from node.Sender, msg evidenceMessage) (evidenceAnswer, error) {
	g.evidenceMu.Lock()
	g.evidence[from.Name] = receivedEvidence{byService: msg.Evidence, receivedAt: time.Now()}
	g.evidenceMu.Unlock()
	return evidenceAnswer{Sum: g.fleetEvidence()}, nil
}

// decideRollouts sends evidence to the deciding node, or judges it if this node decides, until ctx ends.
func (g *Gateway) decideRollouts(ctx context.Context) error {
	for pause.For(ctx, rolloutPeriod) {
		proposed := g.rt.ProposedStates()
		if len(proposed) == 0 {
			continue
		}
		if to, self := g.rolloutLeader(); !self {
			// A lost message does no harm: the next one contains its evidence.
			answer, _ := node.Call[evidenceMessage, evidenceAnswer](ctx, g.peers, to, pathEvidence, evidenceMessage{g.rt.LocalEvidence()})
			g.applyEvidence(answer.Sum)
			g.keepDecided(ctx)
			continue
		}
		g.applyEvidence(g.fleetEvidence())
		for order, state := range g.rt.ProposedStates() {
			g.writeRollout(ctx, RolloutStateFact{Service: order.Service, Target: order.Target, State: state})
		}
	}
	return nil
}

// keepDecided writes the final states of rollouts that the store lacks, if this node watches it: a store that came back from an
// earlier copy may have lost them, and the deciding node may have started since.
func (g *Gateway) keepDecided(ctx context.Context) {
	if !g.currentRoles().watcher {
		return
	}
	for order, state := range g.rt.DecidedStates() {
		g.writeRollout(ctx, RolloutStateFact{Service: order.Service, Target: order.Target, State: state})
	}
}

// rolloutLeader returns the address of the node that decides rollouts, or true if it is this node or there is no
// watcher.
func (g *Gateway) rolloutLeader() (addr netip.AddrPort, self bool) {
	watchers := g.currentRoles().watchers
	if len(watchers) == 0 || watchers[0].Name == g.self.Name {
		return netip.AddrPort{}, true
	}
	return watchers[0].Addr, false
}

// fleetEvidence returns the sum of the evidence of all nodes.
func (g *Gateway) fleetEvidence() map[string]versions.Evidence {
	sum := g.rt.LocalEvidence()
	g.evidenceMu.Lock()
	defer g.evidenceMu.Unlock()
	for name, received := range g.evidence {
		if time.Since(received.receivedAt) > maxEvidenceAge {
			delete(g.evidence, name)
			continue
		}
		for service, e := range received.byService {
			if total, ok := sum[service]; ok && total.Target == e.Target {
				sum[service] = total.Add(e)
			}
		}
	}
	return sum
}

// applyEvidence judges the rollouts by the evidence of all nodes.
func (g *Gateway) applyEvidence(sum map[string]versions.Evidence) {
	for service, e := range sum {
		g.rt.ApplyFleetEvidence(service, e)
	}
}

// writeRollout writes the state of a rollout unless the store has it already. A write with an unknown outcome is
// retried in the next period. If the first write took effect, the mirror contains the state by then, or the retry fails
// with a conflict.
func (g *Gateway) writeRollout(ctx context.Context, f RolloutStateFact) {
	key, value, err := g.platform.EncodeRollout(f)
	if err != nil {
		event.Log(g.log, event.RolloutUnwritten, event.Fields{"service": f.Service, "cause": err.Error()})
		return
	}
	entries, _, err := g.mirror.List(ctx, key)
	if err != nil {
		return // the mirror has no data yet
	}
	var revision kvstore.Revision
	for _, e := range entries {
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
		event.Log(g.log, event.RolloutDecided, event.Fields{
			"service": f.Service, "target": f.Target, "state": string(value), "evidence": g.fleetEvidence()[f.Service],
		})
	case !errors.Is(err, kvstore.ErrConflict):
		event.Log(g.log, event.RolloutUnwritten, event.Fields{"service": f.Service, "cause": err.Error()})
	}
}

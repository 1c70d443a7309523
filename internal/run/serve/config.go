package serve

import (
	"context"
	"slices"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/node"
)

// This file defines what the parts learn of the configuration and of each other's generations.

// InForce returns the configuration to act on, or nil while the node may not take new work.
func (n *Node) InForce() *bundle.InForce {
	in, fresh := n.intent.Current()
	if !fresh.AcceptsWork() {
		return nil
	}
	return in
}

// Held returns the last configuration that the node held, or nil.
func (n *Node) Held() *bundle.InForce {
	in, _ := n.intent.Current()
	return in
}

// Gives each new configuration to the dispatcher, and again when the fleet changes, since the parts of the
// nodes depend on both.
func (n *Node) follow(ctx context.Context) error {
	configs := n.intent.Subscribe(ctx)
	views := n.fleet.Subscribe(ctx)
	ready := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-configs:
		case <-views:
		case <-n.reshaped:
		}
		in := n.Held()
		if in == nil {
			continue
		}
		n.dispatcher.SetConfig(withoutLeaving(n.rollout.ApplyCuts(in), n.fleet.View()))
		if !ready {
			ready = true
			event.Log(n.log, event.NodeReady, event.Fields{"revision": in.Head.Revision})
		}
	}
}

const pathResumed = "/caller/resumed"

// resumedMessage tells the node that started a generation that it goes on elsewhere.
type resumedMessage struct {
	Generation string `json:"generation"`
}

type resumedAnswer struct{}

// NotifyResumed implements caller.ResumeNotifier. A node that is not listed has nothing to give up.
func (n *Node) NotifyResumed(ctx context.Context, name, generation string) {
	if other, ok := listedNode(n.fleet.View(), name); ok {
		_, _ = node.Call[resumedMessage, resumedAnswer](ctx, n.peers, other.Addr, pathResumed, resumedMessage{generation}) // a dead node cancels nothing
	}
}

// Returns the node of that name, also one that heartbeats show dead: it may only be slow, and would cancel the
// generation in the end.
func listedNode(v *membership.View, name string) (membership.Node, bool) {
	for _, other := range slices.Concat(v.Nodes, v.Unreachable) {
		if other.Name == name {
			return other, true
		}
	}
	return membership.Node{}, false
}

func (n *Node) mountResumed(r chi.Router) {
	node.Handle(r, pathResumed, func(_ context.Context, _ node.Sender, msg resumedMessage) (resumedAnswer, error) {
		n.caller.Resumed(msg.Generation)
		return resumedAnswer{}, nil
	})
}

// This file defines how the other components of the node receive the configuration, and how a node learns that a
// generation it started was resumed at another node.

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

// InForce returns the configuration to act on, or nil while the node may not accept new work.
func (n *Node) InForce() *bundle.InForce {
	in, freshness := n.intent.Current()
	if !freshness.AcceptsWork() {
		return nil
	}
	return in
}

// Held returns the last configuration that the node received, however old, or nil if there is none.
func (n *Node) Held() *bundle.InForce {
	in, _ := n.intent.Current()
	return in
}

// applyConfigs passes the configuration to the dispatcher whenever the configuration, the view of the fleet or the
// result of ApplyCuts changes. All three determine which versions and servers get new work, and the node's share.
func (n *Node) applyConfigs(ctx context.Context) error {
	configs := n.intent.Subscribe(ctx)
	views := n.fleet.Subscribe(ctx)
	ready := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-configs:
		case <-views:
		case <-n.cutsChanged:
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

// resumedMessage notifies the node that started a generation that another node resumed it.
type resumedMessage struct {
	Generation string `json:"generation"`
}

type resumedAnswer struct{}

// NotifyResumed implements caller.ResumeNotifier. A node that is not listed has no stream to release.
func (n *Node) NotifyResumed(ctx context.Context, name, generation string) {
	if other, ok := listedNode(n.fleet.View(), name); ok {
		_, _ = node.Call[resumedMessage, resumedAnswer](ctx, n.peers, other.Addr, pathResumed, resumedMessage{generation}) // a failed node cancels nothing
	}
}

// listedNode returns the node of that name. It includes nodes that failed heartbeats: such a node may only be slow, and
// would later cancel the generation.
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
		n.caller.StopRelay(msg.Generation)
		return resumedAnswer{}, nil
	})
}

// Package survey collects the state of the fleet's nodes: the configuration in force and the work that they run.
//
// It sends messages only on an operator's request. The node that the operator connects to sends one message to each
// live node and collects the answers.
package survey

import (
	"cmp"
	"context"
	"slices"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/node"
	"ebonyferry/internal/edge/operator"
)

const (
	path = "/survey"
	// concurrency limits the messages in flight.
	concurrency = 32
)

// request is the message to a node. It has no fields: the answer always contains the whole state.
type request struct{}

// Survey collects the state of nodes. It implements operator.Fleet.
type Survey struct {
	client  *node.Client
	view    func() *membership.View
	inForce func() *bundle.InForce
	running func() map[string]int
}

// New returns a survey. running returns the number of streams and calls in flight on this node by server.
func New(client *node.Client, view func() *membership.View, inForce func() *bundle.InForce, running func() map[string]int) *Survey {
	return &Survey{client: client, view: view, inForce: inForce, running: running}
}

// Mount adds the handler of messages from other nodes to the router of the node-to-node listener.
func (s *Survey) Mount(router chi.Router) {
	node.Handle(router, path, func(context.Context, node.Sender, request) (operator.NodeState, error) {
		return s.self(), nil
	})
}

// self returns this node's state.
func (s *Survey) self() operator.NodeState {
	view := s.view()
	state := operator.NodeState{Node: view.Self, Running: s.running()}
	if current := s.inForce(); current != nil {
		state.Revision = current.Head.Revision
	}
	for _, n := range view.Nodes {
		if n.Name == view.Self {
			state.FailureDomain, state.Draining = n.FailureDomain, n.Draining
		}
	}
	return state
}

// View returns the live nodes that this node knows.
func (s *Survey) View() *membership.View { return s.view() }

// Survey asks the named nodes, or all live ones if names is empty, for their state. The result is sorted by node name. A
// node that fails to answer has Error set.
func (s *Survey) Survey(ctx context.Context, names []string) []operator.NodeState {
	view := s.view()
	nodes := slices.Clone(view.Nodes)
	if len(names) > 0 {
		nodes = slices.DeleteFunc(append(nodes, view.Unreachable...), func(n membership.Node) bool { return !slices.Contains(names, n.Name) })
	}
	states := make([]operator.NodeState, len(nodes))
	var g errgroup.Group
	g.SetLimit(concurrency)
	for i, n := range nodes {
		g.Go(func() error {
			states[i] = s.ask(ctx, view.Self, n)
			return nil
		})
	}
	_ = g.Wait() // failures are recorded in states
	slices.SortFunc(states, func(a, b operator.NodeState) int { return cmp.Compare(a.Node, b.Node) })
	return states
}

func (s *Survey) ask(ctx context.Context, self string, n membership.Node) operator.NodeState {
	if n.Name == self {
		return s.self()
	}
	state, err := node.Call[request, operator.NodeState](ctx, s.client, n.Addr, path, request{})
	if err != nil {
		return operator.NodeState{Node: n.Name, FailureDomain: n.FailureDomain, Error: err.Error()}
	}
	if state.Node != n.Name {
		return operator.NodeState{Node: n.Name, FailureDomain: n.FailureDomain, Error: "another node answers at its address: " + state.Node}
	}
	return state
}

// Package survey asks the nodes of the fleet what they have in force and what they run.
//
// It asks only when an operator wants to know. The node that the operator talks to sends one message to each
// live node and collects the answers; nothing is sent otherwise.
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
	// concurrency bounds the messages under way at a time.
	concurrency = 32
)

// ask is the message to a node; everything asked for is in the answer.
type ask struct{}

// Survey implements operator.Fleet.
type Survey struct {
	client  *node.Client
	view    func() *membership.View
	inForce func() *bundle.InForce
	running func() map[string]int
}

// New returns a survey. running counts the streams and calls that this node has under way by server.
func New(client *node.Client, view func() *membership.View, inForce func() *bundle.InForce, running func() map[string]int) *Survey {
	return &Survey{client: client, view: view, inForce: inForce, running: running}
}

// Mount adds the message that the other nodes send.
func (s *Survey) Mount(router chi.Router) {
	node.Handle(router, path, func(context.Context, node.Sender, ask) (operator.NodeState, error) {
		return s.self(), nil
	})
}

// Returns this node's own state.
func (s *Survey) self() operator.NodeState {
	view := s.view()
	state := operator.NodeState{Node: view.Self, Running: s.running()}
	if in := s.inForce(); in != nil {
		state.Revision = in.Head.Revision
	}
	for _, n := range view.Nodes {
		if n.Name == view.Self {
			state.FailureDomain, state.Draining = n.FailureDomain, n.Draining
		}
	}
	return state
}

// View returns the live nodes as this node knows them.
func (s *Survey) View() *membership.View { return s.view() }

// Survey asks the named live nodes, or all when names is empty.
func (s *Survey) Survey(ctx context.Context, names []string) []operator.NodeState {
	view := s.view()
	var nodes []membership.Node
	for _, n := range view.Nodes {
		if len(names) == 0 || slices.Contains(names, n.Name) {
			nodes = append(nodes, n)
		}
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
	_ = g.Wait() // failures stand in the states
	slices.SortFunc(states, func(a, b operator.NodeState) int { return cmp.Compare(a.Node, b.Node) })
	return states
}

func (s *Survey) ask(ctx context.Context, self string, n membership.Node) operator.NodeState {
	if n.Name == self {
		return s.self()
	}
	state, err := node.Call[ask, operator.NodeState](ctx, s.client, n.Addr, path, ask{})
	if err != nil {
		return operator.NodeState{Node: n.Name, FailureDomain: n.FailureDomain, Error: err.Error()}
	}
	if state.Node != n.Name {
		return operator.NodeState{Node: n.Name, FailureDomain: n.FailureDomain, Error: "another node answers at its address: " + state.Node}
	}
	return state
}

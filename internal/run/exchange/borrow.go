package exchange

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/edge/node"
)

// This file defines how a node uses another node's part of the retry budget.
//
// The parts sum below the bound, and in a large fleet each is a few repeats in a window, while the streams of a server
// that goes belong to some nodes more than to others. A node that has no repeat left asks others for one. The lender
// takes it out of its own part at that moment, so the sum holds at any time; a lost answer wastes one repeat.

const pathRepeat = "/exchange/repeat"

const (
	// maxLenders is how many nodes are asked for a repeat.
	maxLenders = 3
	// borrowTimeout bounds one question: a few round trips, and far below the pause in a stream that callers bear.
	borrowTimeout = 30 * time.Millisecond
)

// repeatRequest asks for one repeat at a service.
type repeatRequest struct {
	Service string `json:"service"`
}

type repeatAnswer struct {
	Lent bool `json:"lent"`
}

func (rt *Runtime) mountRepeats(r chi.Router) { node.Handle(r, pathRepeat, rt.handleRepeat) }

func (rt *Runtime) handleRepeat(_ context.Context, _ node.Sender, req repeatRequest) (repeatAnswer, error) {
	return repeatAnswer{Lent: rt.mayRepeat(req.Service)}, nil
}

// Takes one repeat out of the own part of the budget that all nodes share.
func (rt *Runtime) mayRepeat(service string) bool {
	nodes, _ := rt.fleet.Rank()
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.budget.TakeRetry(service, nodes, time.Now())
}

// Takes one repeat out of the own part of the budget or, when it is used up, out of another node's.
func (rt *Runtime) mayRepeatOrBorrow(ctx context.Context, service string) bool {
	if rt.mayRepeat(service) {
		return true
	}
	client := rt.peers.Load()
	if client == nil {
		return false
	}
	client = client.Derive(node.WithTimeout(borrowTimeout))
	peers := slices.Clone(rt.fleet.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(maxLenders, len(peers))] {
		// A node that does not answer lends nothing; the next one is asked.
		answer, err := node.Call[repeatRequest, repeatAnswer](ctx, client, p.Addr, pathRepeat, repeatRequest{Service: service})
		if err == nil && answer.Lent {
			return true
		}
	}
	return false
}

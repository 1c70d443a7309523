// This file defines how a node borrows retries from other nodes.
//
// The nodes divide the retry budget into shares that sum to less than the bound. In a large fleet a share is only a few
// retries in a window, while the streams of a failing server are unevenly spread over the nodes. A node that has used
// up its share asks others for a retry. The lender deducts it from its own share before it answers, so the sum never
// exceeds the bound; a lost answer wastes one retry.

package exchange

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/edge/node"
)

const pathBorrowRetry = "/exchange/repeat"

const (
	// maxLenders is how many nodes are asked for a retry.
	maxLenders = 3
	// borrowTimeout limits one request to a lender: a few round trips, and far below the pause in a stream that callers
	// accept.
	borrowTimeout = 30 * time.Millisecond
)

// borrowRequest asks for one retry at a service.
type borrowRequest struct {
	Service string `json:"service"`
}

type borrowAnswer struct {
	Lent bool `json:"lent"`
}

func (rt *Runtime) mountBorrowing(r chi.Router) { node.Handle(r, pathBorrowRetry, rt.handleBorrow) }

func (rt *Runtime) handleBorrow(_ context.Context, _ node.Sender, req borrowRequest) (borrowAnswer, error) {
	return borrowAnswer{Lent: rt.takeRetry(req.Service)}, nil
}

// takeRetry takes one retry from this node's share of the budget and reports whether there was one.
func (rt *Runtime) takeRetry(service string) bool {
	nodes, _ := rt.fleet.Rank()
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.retries.TakeRetry(service, nodes, time.Now())
}

// takeOrBorrowRetry takes one retry from this node's share of the budget or, if that is used up, borrows one.
func (rt *Runtime) takeOrBorrowRetry(ctx context.Context, service string) bool {
	if rt.takeRetry(service) {
		return true
	}
	client := rt.peerClient.Load()
	if client == nil {
		return false
	}
	client = client.Derive(node.WithTimeout(borrowTimeout))
	peers := slices.Clone(rt.fleet.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(maxLenders, len(peers))] {
		// A node that does not answer lends nothing; try the next one.
		answer, err := node.Call[borrowRequest, borrowAnswer](ctx, client, p.Addr, pathBorrowRetry, borrowRequest{Service: service})
		if err == nil && answer.Lent {
			return true
		}
	}
	return false
}

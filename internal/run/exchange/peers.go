package exchange

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/placement"
	"ebonyferry/internal/edge/node"
)

// This file defines how nodes tell each other what they placed on backend servers. What servers report is late, and
// all nodes read the same reports: without this they would all choose the server that was empty a moment ago.

const pathLoads = "/exchange/loads"

const (
	// loadsPeriod is how often a node tells the others what changed.
	loadsPeriod = 150 * time.Millisecond
	// loadsRepeat is how often it tells them when nothing did, well within peerLife.
	loadsRepeat = 900 * time.Millisecond
	// loadsTimeout bounds one message; the next one says more.
	loadsTimeout = 400 * time.Millisecond
	// maxLoadPeers bounds the messages of one period. In a larger fleet each node tells the others by turns.
	maxLoadPeers = 16
)

// loadsMessage is what a node placed, by server ID.
type loadsMessage struct {
	Loads map[string]placement.Load `json:"loads"`
}

type loadsAnswer struct{}

// Mount registers the messages that other nodes send.
func (rt *Runtime) Mount(r chi.Router) { node.Handle(r, pathLoads, rt.handleLoads) }

func (rt *Runtime) handleLoads(_ context.Context, from node.Sender, msg loadsMessage) (loadsAnswer, error) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.book.peers[from.Name] = peerLoads{loads: msg.Loads, at: time.Now()}
	return loadsAnswer{}, nil
}

// TellLoads tells the other nodes what this one placed, until ctx ends.
func (rt *Runtime) TellLoads(ctx context.Context, client *node.Client) error {
	client = client.Derive(node.WithTimeout(loadsTimeout))
	var told map[string]placement.Load
	var toldAt time.Time
	turn := 0
	for pause.For(ctx, loadsPeriod) {
		rt.mu.Lock()
		loads := maps.Clone(rt.book.own)
		rt.mu.Unlock()
		if maps.Equal(loads, told) && time.Since(toldAt) < loadsRepeat {
			continue
		}
		told, toldAt = loads, time.Now()
		peers := rt.fleet.Peers()
		var group sync.WaitGroup
		for i := range min(maxLoadPeers, len(peers)) {
			peer := peers[(turn+i)%len(peers)]
			group.Go(func() {
				// A node that does not hear this time counts the last loads for peerLife.
				_, _ = node.Call[loadsMessage, loadsAnswer](ctx, client, peer.Addr, pathLoads, loadsMessage{Loads: loads})
			})
		}
		turn += maxLoadPeers
		group.Wait()
	}
	return nil
}

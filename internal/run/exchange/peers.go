package exchange

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/placement"
	"ebonyferry/internal/edge/node"
)

// This file defines how nodes tell each other what they placed on backend servers. What servers report is late, and
// all nodes read the same reports: without this they would all choose the server that was empty a moment ago.
//
// In a small fleet every node tells every other. In a larger one each failure domain has a hub: nodes tell it what
// they placed and get the sum of all others back, and hubs tell each other the sums of their domains. So a node
// sends the same few messages whatever the size of the fleet.

const pathLoads = "/exchange/loads"

const (
	// loadsPeriod is how often a node tells what it placed, and hubPeriod how often it tells a hub, whose answers
	// are long.
	loadsPeriod = 150 * time.Millisecond
	hubPeriod   = 300 * time.Millisecond
	// loadsRepeat is how often it does so when nothing changed, well within peerLife.
	loadsRepeat = 900 * time.Millisecond
	// loadsTimeout bounds one message; the next one says more.
	loadsTimeout = 400 * time.Millisecond
	// maxDirect is the largest fleet in which every node tells every other.
	maxDirect = 16
)

// Loads is what is placed, by server ID.
type loads map[string]placement.Load

// Adds what others placed.
func (l loads) add(other loads) {
	for server, o := range other {
		l[server] = l[server].Plus(o)
	}
}

// loadsMessage is what a node, or the nodes of a hub's failure domain, placed.
type loadsMessage struct {
	Loads loads `json:"loads"`
	Sum   bool  `json:"sum,omitempty"` // the sender wants the sum of all others back
}

type loadsAnswer struct {
	Others loads `json:"others,omitempty"`
}

// Mount registers the messages that other nodes send.
func (rt *Runtime) Mount(r chi.Router) { node.Handle(r, pathLoads, rt.handleLoads) }

func (rt *Runtime) handleLoads(_ context.Context, from node.Sender, msg loadsMessage) (loadsAnswer, error) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.book.peers[from.Name] = peerLoads{loads: msg.Loads, at: time.Now()}
	if !msg.Sum {
		return loadsAnswer{}, nil
	}
	return loadsAnswer{Others: rt.book.sum(func(name string) bool { return name != from.Name }, time.Now())}, nil
}

// TellLoads tells other nodes what this one placed, until ctx ends.
func (rt *Runtime) TellLoads(ctx context.Context, client *node.Client) error {
	client = client.Derive(node.WithTimeout(loadsTimeout))
	var told loads
	var toldAt time.Time
	period := loadsPeriod
	for pause.For(ctx, period) {
		to, msg := rt.audience()
		period = loadsPeriod
		if msg.Sum {
			period = hubPeriod
		}
		if !msg.Sum && maps.Equal(msg.Loads, told) && time.Since(toldAt) < loadsRepeat {
			continue
		}
		told, toldAt = msg.Loads, time.Now()
		var group sync.WaitGroup
		for _, addr := range to {
			group.Go(func() { rt.tell(ctx, client, addr, msg) })
		}
		group.Wait()
	}
	return nil
}

// Sends one message. A node that does not hear this time counts the last loads for peerLife.
func (rt *Runtime) tell(ctx context.Context, client *node.Client, to netip.AddrPort, msg loadsMessage) {
	answer, err := node.Call[loadsMessage, loadsAnswer](ctx, client, to, pathLoads, msg)
	if err != nil || !msg.Sum {
		return
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.book.peers[hubEntry] = peerLoads{loads: answer.Others, at: time.Now()}
}

// hubEntry holds in the book what the hub says of all other nodes. No node has this name.
const hubEntry = "(hub)"

// Returns whom to tell what.
func (rt *Runtime) audience() ([]netip.AddrPort, loadsMessage) {
	peers := rt.fleet.Peers()
	rt.mu.Lock()
	defer rt.mu.Unlock()
	msg := loadsMessage{Loads: maps.Clone(rt.book.own)}
	if len(peers) < maxDirect {
		delete(rt.book.peers, hubEntry)
		return addrsOf(peers), msg
	}
	var hubs []Peer
	near := make(map[string]bool)
	for _, p := range peers {
		near[p.Name] = p.Domain == rt.domain
		if p.Hub {
			hubs = append(hubs, p)
		}
	}
	i := slices.IndexFunc(hubs, func(p Peer) bool { return p.Domain == rt.domain })
	if i >= 0 {
		msg.Sum = true
		rt.book.forget(func(name string) bool { return name != hubEntry })
		return addrsOf(hubs[i : i+1]), msg
	}
	// This node is the hub of its domain.
	delete(rt.book.peers, hubEntry)
	msg.Loads = rt.book.sum(func(name string) bool { return near[name] }, time.Now())
	return addrsOf(hubs), msg
}

func addrsOf(peers []Peer) []netip.AddrPort {
	addrs := make([]netip.AddrPort, len(peers))
	for i, p := range peers {
		addrs[i] = p.Addr
	}
	return addrs
}

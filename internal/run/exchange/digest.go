// This file defines how nodes exchange digests: summaries of state that changes slowly, such as the speed of backend servers.
// Loads change with every placement and have messages of their own (peers.go).
//
// Digests take the same way as loads: in a small fleet every node sends to every other, in a larger one to the hub of its
// failure domain, which answers with the sum of all others, and hubs exchange the sums of their domains. A node that does
// not know a kind of digest ignores it. While no kind is active, nothing is sent.

package exchange

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/edge/node"
)

const pathDigests = "/exchange/digests"

const (
	// digestPeriod is the time between two digests of a node. Hubs add one more period, so that a digest is at most about
	// 1.1 s old at a node of another failure domain.
	digestPeriod = 500 * time.Millisecond
	// digestTTL is how long the digest of a node counts after it arrived.
	digestTTL = 2 * time.Second
	// digestTimeout limits one message: many round trips within a region.
	digestTimeout = 400 * time.Millisecond
)

// digestKind is one kind of state that nodes summarize for each other. The runtime calls its methods with mu held.
type digestKind interface {
	// active reports whether this node has such state or uses that of others. Otherwise no digests of the kind are sent.
	active(now time.Time) bool
	// sum returns the digest of this node's state and of the digests of those nodes that include accepts, or nil if there
	// is none. It must be safe to encode after mu is released.
	sum(include func(node string) bool, now time.Time) any
	// receive replaces the digest of a node, or of several if from is hubEntry. It reports what is wrong with a digest, of
	// which it then uses nothing.
	receive(from string, data json.RawMessage, now time.Time) error
	// retain drops the digests of all nodes that keep does not accept.
	retain(keep func(node string) bool)
}

// digestMessage holds digests by kind.
type digestMessage struct {
	Kinds map[string]json.RawMessage `json:"kinds,omitempty"`
	Sum   bool                       `json:"sum,omitempty"` // the answer should hold the digests of all other nodes
}

func (rt *Runtime) mountDigests(r chi.Router) { node.Handle(r, pathDigests, rt.handleDigests) }

func (rt *Runtime) handleDigests(_ context.Context, from node.Sender, msg digestMessage) (digestMessage, error) {
	if from.Name == hubEntry {
		return digestMessage{}, fmt.Errorf("no node has the name %q", from.Name)
	}
	rt.receiveDigests(from.Name, msg.Kinds)
	if !msg.Sum {
		return digestMessage{}, nil
	}
	return digestMessage{Kinds: rt.encodeDigests(func(name string) bool { return name != from.Name && name != hubEntry })}, nil
}

// receiveDigests records the digests that a node sent.
func (rt *Runtime) receiveDigests(from string, kinds map[string]json.RawMessage) {
	now := time.Now()
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for name, data := range kinds {
		kind, ok := rt.digests[name]
		if !ok {
			continue // of a later version
		}
		if err := kind.receive(from, data, now); err != nil {
			event.Log(rt.log, event.DigestMalformed, event.Fields{"node": from, "kind": name, "cause": err.Error()})
		}
	}
}

// encodeDigests returns the digests of this node together with those of the nodes that include accepts.
func (rt *Runtime) encodeDigests(include func(node string) bool) map[string]json.RawMessage {
	now := time.Now()
	rt.mu.Lock()
	sums := make(map[string]any)
	for name, kind := range rt.digests {
		if !kind.active(now) {
			continue
		}
		if sum := kind.sum(include, now); sum != nil {
			sums[name] = sum
		}
	}
	rt.mu.Unlock()
	kinds := make(map[string]json.RawMessage, len(sums))
	for name, sum := range sums {
		data, err := json.Marshal(sum)
		if err != nil {
			event.Log(rt.log, event.DigestMalformed, event.Fields{"node": rt.fleet.Self(), "kind": name, "cause": err.Error()})
			continue
		}
		kinds[name] = data
	}
	return kinds
}

// ExchangeDigests sends this node's digests to other nodes until ctx ends.
func (rt *Runtime) ExchangeDigests(ctx context.Context, client *node.Client) error {
	client = client.Derive(node.WithTimeout(digestTimeout))
	// Nodes that start together would otherwise all send at the same moments.
	first := time.Duration(rand.Int64N(int64(digestPeriod)))
	for wait := first; pause.For(ctx, wait); wait = digestPeriod {
		rt.sendDigests(ctx, client)
	}
	return nil
}

// sendDigests sends this node's digests once. A node that does not answer gets the next ones.
func (rt *Runtime) sendDigests(ctx context.Context, client *node.Client) {
	if !rt.digestsActive() {
		return
	}
	to := rt.digestRecipients()
	msg := digestMessage{Kinds: rt.encodeDigests(to.include), Sum: to.askSum}
	var group errgroup.Group
	group.SetLimit(maxDirectNodes)
	for _, addr := range to.addrs {
		group.Go(func() error {
			answer, err := node.Call[digestMessage, digestMessage](ctx, client, addr, pathDigests, msg)
			if err == nil && msg.Sum {
				rt.receiveDigests(hubEntry, answer.Kinds)
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
}

// digestsActive reports whether any kind of digest is active.
func (rt *Runtime) digestsActive() bool {
	now := time.Now()
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for _, kind := range rt.digests {
		if kind.active(now) {
			return true
		}
	}
	return false
}

// digestRecipients are the nodes that digests are sent to.
type digestRecipients struct {
	addrs   []netip.AddrPort
	include func(node string) bool // whose digests are sent with this node's
	askSum  bool                   // addrs is the hub, which has the digests of all others
}

// digestRecipients returns the recipients by the node's role, and drops the digests that this role does not use.
func (rt *Runtime) digestRecipients() digestRecipients {
	peers := rt.fleet.Peers()
	none := func(string) bool { return false }
	to := digestRecipients{addrs: addrsOf(peers), include: none}
	keep := func(name string) bool {
		return slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == name })
	}
	if len(peers) >= maxDirectNodes {
		if hub, ok := rt.hub(peers); ok {
			to = digestRecipients{addrs: addrsOf([]Peer{hub}), include: none, askSum: true}
			keep = func(name string) bool { return name == hubEntry }
		} else {
			near := make(map[string]bool)
			var hubs []Peer
			for _, p := range peers {
				near[p.Name] = p.Domain == rt.domain
				if p.Hub {
					hubs = append(hubs, p)
				}
			}
			to = digestRecipients{addrs: addrsOf(hubs), include: func(name string) bool { return near[name] }}
		}
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for _, kind := range rt.digests {
		kind.retain(keep)
	}
	return to
}

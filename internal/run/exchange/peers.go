// This file defines how nodes exchange the loads that they placed on backend servers. Reports from the servers are late,
// and all nodes read the same reports. Without this exchange all nodes would choose the server that was idle a moment
// ago.
//
// A node sends its loads immediately after it places a generation, and periodically after generations end. In a small
// fleet every node sends to every other. In a larger one each failure domain has a hub. Nodes send their loads to the
// hub and ask it for the sum of all others before they place a generation, and hubs exchange the sums of their domains.
// So the messages of a node grow with its own requests, not with the fleet.

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

const pathLoads = "/exchange/loads"

const (
	// broadcastGap is the minimum time between two messages of a node. hubGap is that between two messages of a hub to
	// the other hubs, each of which covers a failure domain.
	broadcastGap = 15 * time.Millisecond
	hubGap       = 75 * time.Millisecond
	// endedPeriod is the longest wait before a node reports the end of a generation to other nodes. Until then a server
	// looks fuller than it is.
	endedPeriod = 150 * time.Millisecond
	// snapshotPeriod is how often a node sends all its loads instead of the changes, and asks the hub for the sum. It is
	// well below peerLoadTTL.
	snapshotPeriod = 900 * time.Millisecond
	// loadsTimeout limits one message. After a failure the next one contains all loads.
	loadsTimeout = 400 * time.Millisecond
	// refreshTimeout limits how long a generation waits for the hub's sum: a few round trips within a failure domain.
	refreshTimeout = 30 * time.Millisecond
	// sumMaxAge is the maximum age of a hub's sum for a placement.
	sumMaxAge = 25 * time.Millisecond
	// refreshBackoff is how long placements do not ask a hub that did not answer in time.
	refreshBackoff = time.Second
	// maxDirectNodes is the size of the largest fleet in which every node sends to every other.
	maxDirectNodes = 16
)

// loadMap is placed load by server ID.
type loadMap map[string]placement.Load

// add adds another map's loads.
func (l loadMap) add(other loadMap) {
	for server, o := range other {
		l[server] = l[server].Plus(o)
	}
}

// merge applies changed loads. It drops servers whose load is zero.
func (l loadMap) merge(changes loadMap) {
	for server, c := range changes {
		if c == (placement.Load{}) {
			delete(l, server)
			continue
		}
		l[server] = c
	}
}

// changesSince returns the loads that differ from before. A server that no longer has load gets a zero load.
func (l loadMap) changesSince(before loadMap) loadMap {
	changes := make(loadMap)
	for server, c := range l {
		if before[server] != c {
			changes[server] = c
		}
	}
	for server := range before {
		if _, ok := l[server]; !ok {
			changes[server] = placement.Load{}
		}
	}
	return changes
}

// loadsMessage reports the loads that a node, or all nodes of a hub's failure domain, placed.
type loadsMessage struct {
	Loads   loadMap `json:"loads,omitempty"`
	Changes bool    `json:"changes,omitempty"` // Loads holds only the differences to the previous message
	Sum     bool    `json:"sum,omitempty"`     // the answer should contain the sum of all other nodes' loads
}

type loadsAnswer struct {
	Others loadMap `json:"others,omitempty"`
}

// Mount adds the handlers of messages from other nodes to the router of the node-to-node listener.
func (rt *Runtime) Mount(r chi.Router) {
	node.Handle(r, pathLoads, rt.handleLoads)
	rt.mountBorrowing(r)
	rt.mountPermits(r)
	rt.mountQuarantine(r)
	rt.mountDigests(r)
}

func (rt *Runtime) handleLoads(_ context.Context, from node.Sender, msg loadsMessage) (loadsAnswer, error) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := time.Now()
	rt.loads.receive(from.Name, msg, now)
	if rt.isHub && len(msg.Loads) > 0 {
		rt.signalLoads()
	}
	if !msg.Sum {
		return loadsAnswer{}, nil
	}
	return loadsAnswer{Others: rt.loads.sum(func(name string) bool { return name != from.Name }, now)}, nil
}

// signalLoads makes BroadcastLoads send the loads soon.
func (rt *Runtime) signalLoads() {
	select {
	case rt.loadsChanged <- struct{}{}:
	default:
	}
}

// BroadcastLoads sends the loads that this node placed to other nodes until ctx ends.
func (rt *Runtime) BroadcastLoads(ctx context.Context, client *node.Client) error {
	client = client.Derive(node.WithTimeout(loadsTimeout))
	rt.peerClient.Store(client)
	defer rt.peerClient.Store(nil)
	b := broadcaster{peers: make(map[netip.AddrPort]*sentState)}
	defer b.senders.Wait()
	timer := time.NewTicker(endedPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-rt.loadsChanged:
		case <-timer.C:
		}
		if !pause.For(ctx, rt.broadcast(ctx, client, &b)) {
			return nil
		}
	}
}

// broadcast sends the changed loads to all recipients, and returns how long to wait before the next call. A recipient
// that does not answer does not delay the others.
func (rt *Runtime) broadcast(ctx context.Context, client *node.Client, b *broadcaster) time.Duration {
	to := rt.recipients()
	b.keep(to.addrs)
	for _, addr := range to.addrs {
		msg, ok := b.nextMessage(addr, to, time.Now())
		if !ok {
			continue
		}
		b.senders.Go(func() {
			if b.finished(addr, rt.sendLoads(ctx, client, addr, msg)) {
				rt.signalLoads()
			}
		})
	}
	return to.gap
}

// broadcaster tracks what was sent to each of the other nodes.
type broadcaster struct {
	senders sync.WaitGroup

	mu    sync.Mutex
	peers map[netip.AddrPort]*sentState
}

// sentState is what was sent to one node.
type sentState struct {
	loads      loadMap   // last loads sent; nil if all must be sent
	snapshotAt time.Time // when all loads were last sent
	sending    bool      // a message is in flight
	pending    bool      // there may have been changes meanwhile
}

// keep forgets all nodes but the given ones.
func (b *broadcaster) keep(addrs []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.peers, func(addr netip.AddrPort, _ *sentState) bool { return !slices.Contains(addrs, addr) })
}

// nextMessage returns the next message to a node. It reports false if there are no changes or a message is in flight.
func (b *broadcaster) nextMessage(addr netip.AddrPort, to recipients, now time.Time) (loadsMessage, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[addr]
	if p == nil {
		p = new(sentState)
		b.peers[addr] = p
	}
	if p.sending {
		p.pending = true
		return loadsMessage{}, false
	}
	msg := loadsMessage{Loads: to.loads, Sum: to.askSum}
	if p.loads != nil && now.Sub(p.snapshotAt) < snapshotPeriod {
		msg = loadsMessage{Loads: to.loads.changesSince(p.loads), Changes: true}
		if len(msg.Loads) == 0 {
			return loadsMessage{}, false
		}
	} else {
		p.snapshotAt = now
	}
	p.loads, p.sending = to.loads, true
	return msg, true
}

// finished records the end of a message and reports whether there may be more to send. After a failure the next message
// contains all loads.
func (b *broadcaster) finished(addr netip.AddrPort, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[addr]
	if p == nil {
		return false
	}
	if err != nil {
		p.loads = nil
	}
	pending := p.pending
	p.sending, p.pending = false, false
	return pending
}

// sendLoads sends one message, and stores the sum if it asks for one.
func (rt *Runtime) sendLoads(ctx context.Context, client *node.Client, to netip.AddrPort, msg loadsMessage) error {
	answer, err := node.Call[loadsMessage, loadsAnswer](ctx, client, to, pathLoads, msg)
	if err != nil || !msg.Sum {
		return err
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.loads.peers[hubEntry] = peerLoads{loads: answer.Others, at: time.Now()}
	return nil
}

// hubEntry is the entry in loadTable.peers for the hub's sum of all other nodes. No node has this name.
const hubEntry = "(hub)"

// recipients are the nodes to send to, and the loads to send.
type recipients struct {
	addrs  []netip.AddrPort
	loads  loadMap
	askSum bool // addrs is the hub, which holds the loads of all others
	gap    time.Duration
}

// recipients returns the recipients by the node's current role. It sets isHub, and drops the entries of the load table
// that this role does not use.
func (rt *Runtime) recipients() recipients {
	peers := rt.fleet.Peers()
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.isHub = false
	if len(peers) < maxDirectNodes {
		delete(rt.loads.peers, hubEntry)
		return recipients{addrs: addrsOf(peers), loads: rt.loads.cloneOwn(), gap: broadcastGap}
	}
	if hub, ok := rt.hub(peers); ok {
		maps.DeleteFunc(rt.loads.peers, func(name string, _ peerLoads) bool { return name != hubEntry })
		return recipients{addrs: addrsOf([]Peer{hub}), loads: rt.loads.cloneOwn(), askSum: true, gap: broadcastGap}
	}
	rt.isHub = true
	delete(rt.loads.peers, hubEntry)
	var hubs []Peer
	near := make(map[string]bool)
	for _, p := range peers {
		near[p.Name] = p.Domain == rt.domain
		if p.Hub {
			hubs = append(hubs, p)
		}
	}
	sum := rt.loads.sum(func(name string) bool { return near[name] }, time.Now())
	return recipients{addrs: addrsOf(hubs), loads: sum, gap: hubGap}
}

// hub returns the hub of the node's failure domain, if it is another node.
func (rt *Runtime) hub(peers []Peer) (Peer, bool) {
	i := slices.IndexFunc(peers, func(p Peer) bool { return p.Hub && p.Domain == rt.domain })
	if i < 0 {
		return Peer{}, false
	}
	return peers[i], true
}

func addrsOf(peers []Peer) []netip.AddrPort {
	addrs := make([]netip.AddrPort, len(peers))
	for i, p := range peers {
		addrs[i] = p.Addr
	}
	return addrs
}

// refreshPeerLoads updates the sum of the other nodes' loads before a generation is placed. If the hub does not answer
// in time, the sum stays as it is.
func (rt *Runtime) refreshPeerLoads(ctx context.Context) {
	client := rt.peerClient.Load()
	peers := rt.fleet.Peers()
	if client == nil || len(peers) < maxDirectNodes {
		return
	}
	hub, ok := rt.hub(peers)
	if !ok || !rt.startRefresh() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	// Without Changes, the hub would replace the loads that it has of this node by none.
	err := rt.sendLoads(ctx, client, hub.Addr, loadsMessage{Changes: true, Sum: true})
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.refreshing = false
	if err != nil {
		rt.refreshAfter = time.Now().Add(refreshBackoff)
	}
}

// startRefresh reports whether to ask the hub now, and marks a refresh as running if so. It reports false while another
// refresh runs, after a recent failure, and while the sum is recent.
func (rt *Runtime) startRefresh() bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := time.Now()
	if rt.refreshing || now.Before(rt.refreshAfter) || now.Sub(rt.loads.peers[hubEntry].at) < sumMaxAge {
		return false
	}
	rt.refreshing = true
	return true
}

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
// A node tells at once when it has placed a generation, and now and then when others ended. In a small fleet every
// node tells every other. In a larger one each failure domain has a hub: nodes tell it what they placed and ask it for
// the sum of all others before they place more, and hubs tell each other the sums of their domains. So the messages of a
// node grow with its own requests, not with the fleet.

const pathLoads = "/exchange/loads"

const (
	// tellGap is the least time between two messages of a node, and hubGap between two of a hub to the other hubs,
	// which each tell for a failure domain.
	tellGap = 15 * time.Millisecond
	hubGap  = 75 * time.Millisecond
	// endedPeriod is after how long others hear of generations that ended: until then a server looks fuller than it is.
	endedPeriod = 150 * time.Millisecond
	// wholePeriod is how often a node tells all that it placed instead of what changed, and asks the hub for the sum: well
	// within peerLife.
	wholePeriod = 900 * time.Millisecond
	// loadsTimeout bounds one message; the next one tells all again.
	loadsTimeout = 400 * time.Millisecond
	// askTimeout bounds the wait of a generation for the hub's sum, a few round trips within a failure domain.
	askTimeout = 30 * time.Millisecond
	// sumFresh is how old a hub's sum may be for a placement.
	sumFresh = 25 * time.Millisecond
	// askPause is how long a hub that did not answer in time is not asked before placements.
	askPause = time.Second
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

// Takes over changed loads; those of zero are dropped.
func (l loads) merge(changes loads) {
	for server, c := range changes {
		if c == (placement.Load{}) {
			delete(l, server)
			continue
		}
		l[server] = c
	}
}

// Returns what differs from before. Servers that have no load any more get one of zero.
func (l loads) since(before loads) loads {
	changes := make(loads)
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

// loadsMessage is what a node, or the nodes of a hub's failure domain, placed.
type loadsMessage struct {
	Loads   loads `json:"loads,omitempty"`
	Changes bool  `json:"changes,omitempty"` // loads holds only what differs from the message before
	Sum     bool  `json:"sum,omitempty"`     // the sender wants the sum of all others back
}

type loadsAnswer struct {
	Others loads `json:"others,omitempty"`
}

// Mount registers the messages that other nodes send.
func (rt *Runtime) Mount(r chi.Router) {
	node.Handle(r, pathLoads, rt.handleLoads)
	rt.mountRepeats(r)
}

func (rt *Runtime) handleLoads(_ context.Context, from node.Sender, msg loadsMessage) (loadsAnswer, error) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := time.Now()
	rt.book.hear(from.Name, msg, now)
	if rt.isHub && len(msg.Loads) > 0 {
		rt.placed()
	}
	if !msg.Sum {
		return loadsAnswer{}, nil
	}
	return loadsAnswer{Others: rt.book.sum(func(name string) bool { return name != from.Name }, now)}, nil
}

// Lets others hear soon of what this node placed or heard of.
func (rt *Runtime) placed() {
	select {
	case rt.news <- struct{}{}:
	default:
	}
}

// BroadcastLoads tells other nodes what this one placed, until ctx ends.
func (rt *Runtime) BroadcastLoads(ctx context.Context, client *node.Client) error {
	client = client.Derive(node.WithTimeout(loadsTimeout))
	rt.peers.Store(client)
	defer rt.peers.Store(nil)
	t := teller{told: make(map[netip.AddrPort]*told)}
	defer t.sending.Wait()
	timer := time.NewTicker(endedPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-rt.news:
		case <-timer.C:
		}
		if !pause.For(ctx, rt.tellAll(ctx, client, &t)) {
			return nil
		}
	}
}

// Tells those who need to hear what changed, and returns how long to wait before the next time. A node that does not
// answer keeps the others waiting no longer.
func (rt *Runtime) tellAll(ctx context.Context, client *node.Client, t *teller) time.Duration {
	to := rt.audience()
	t.keep(to.addrs)
	for _, addr := range to.addrs {
		msg, ok := t.next(addr, to, time.Now())
		if !ok {
			continue
		}
		t.sending.Go(func() {
			if t.sent(addr, rt.tell(ctx, client, addr, msg)) {
				rt.placed()
			}
		})
	}
	return to.gap
}

// teller knows what each of the other nodes was told.
type teller struct {
	sending sync.WaitGroup

	mu   sync.Mutex
	told map[netip.AddrPort]*told
}

// told is what one node was told.
type told struct {
	loads   loads     // nil when it has to hear all
	wholeAt time.Time // of the last message with all loads
	busy    bool      // a message is on its way
	behind  bool      // there was more to tell meanwhile
}

// Forgets nodes that are not told any more.
func (t *teller) keep(addrs []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.told, func(addr netip.AddrPort, _ *told) bool { return !slices.Contains(addrs, addr) })
}

// Returns the next message to a node, if there is something to tell and none is on its way.
func (t *teller) next(addr netip.AddrPort, to audience, now time.Time) (loadsMessage, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.told[addr]
	if p == nil {
		p = new(told)
		t.told[addr] = p
	}
	if p.busy {
		p.behind = true
		return loadsMessage{}, false
	}
	msg := loadsMessage{Loads: to.loads, Sum: to.ask}
	if p.loads != nil && now.Sub(p.wholeAt) < wholePeriod {
		msg = loadsMessage{Loads: to.loads.since(p.loads), Changes: true}
		if len(msg.Loads) == 0 {
			return loadsMessage{}, false
		}
	} else {
		p.wholeAt = now
	}
	p.loads, p.busy = to.loads, true
	return msg, true
}

// Notes that a message has arrived or failed, and reports whether there is more to tell. After a failure the node
// hears all loads next.
func (t *teller) sent(addr netip.AddrPort, err error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.told[addr]
	if p == nil {
		return false
	}
	if err != nil {
		p.loads = nil
	}
	behind := p.behind
	p.busy, p.behind = false, false
	return behind
}

// Sends one message, and takes the sum that it asks for.
func (rt *Runtime) tell(ctx context.Context, client *node.Client, to netip.AddrPort, msg loadsMessage) error {
	answer, err := node.Call[loadsMessage, loadsAnswer](ctx, client, to, pathLoads, msg)
	if err != nil || !msg.Sum {
		return err
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.book.peers[hubEntry] = peerLoads{loads: answer.Others, at: time.Now()}
	return nil
}

// hubEntry holds in the book what the hub says of all other nodes. No node has this name.
const hubEntry = "(hub)"

// audience is whom a node tells what.
type audience struct {
	addrs []netip.AddrPort
	loads loads
	ask   bool // addrs is the hub, which knows the loads of all others
	gap   time.Duration
}

func (rt *Runtime) audience() audience {
	peers := rt.fleet.Peers()
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.isHub = false
	if len(peers) < maxDirect {
		delete(rt.book.peers, hubEntry)
		return audience{addrs: addrsOf(peers), loads: rt.book.mine(), gap: tellGap}
	}
	if hub, ok := rt.hub(peers); ok {
		maps.DeleteFunc(rt.book.peers, func(name string, _ peerLoads) bool { return name != hubEntry })
		return audience{addrs: addrsOf([]Peer{hub}), loads: rt.book.mine(), ask: true, gap: tellGap}
	}
	rt.isHub = true
	delete(rt.book.peers, hubEntry)
	var hubs []Peer
	near := make(map[string]bool)
	for _, p := range peers {
		near[p.Name] = p.Domain == rt.domain
		if p.Hub {
			hubs = append(hubs, p)
		}
	}
	sum := rt.book.sum(func(name string) bool { return near[name] }, time.Now())
	return audience{addrs: addrsOf(hubs), loads: sum, gap: hubGap}
}

// Hub returns the hub of the node's failure domain, if it is another node.
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

// Refresh brings the sum of the other nodes' loads up to date before a generation is placed. A hub that does not answer
// in time leaves the sum as it is.
func (rt *Runtime) refresh(ctx context.Context) {
	client := rt.peers.Load()
	peers := rt.fleet.Peers()
	if client == nil || len(peers) < maxDirect {
		return
	}
	hub, ok := rt.hub(peers)
	if !ok || !rt.mayAsk() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := rt.tell(ctx, client, hub.Addr, loadsMessage{Changes: true, Sum: true})
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.asking = false
	if err != nil {
		rt.askAfter = time.Now().Add(askPause)
	}
}

// Reports whether the hub may be asked now; another request that asks already is enough.
func (rt *Runtime) mayAsk() bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := time.Now()
	if rt.asking || now.Before(rt.askAfter) || now.Sub(rt.book.peers[hubEntry].at) < sumFresh {
		return false
	}
	rt.asking = true
	return true
}

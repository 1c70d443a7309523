package bookings

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/kvstore"
	peer "ebonyferry/internal/edge/node"
	fakenode "ebonyferry/internal/fake/node"
	"ebonyferry/internal/run/ledger"
)

// This file defines the nodes and the faults that befall them.

const (
	nodes          = 5
	leaseTime      = 150 * time.Millisecond
	commitInterval = 3 * time.Millisecond
	commitTimeout  = 120 * time.Millisecond
	peerTimeout    = 100 * time.Millisecond
	troubleTime    = 120 * time.Millisecond // mean time between two faults
	longestPause   = 300 * time.Millisecond
)

// world holds the nodes, the store and what happened.
type world struct {
	store    *store
	network  *fakenode.Network
	inForce  *bundle.InForce
	nodes    []*node
	breakage breakage

	mu        sync.Mutex
	rng       *rand.Rand
	histories map[int]*history
	counts    Result
}

// node is one node with its present process.
type node struct {
	name    string
	addr    netip.AddrPort
	process atomic.Pointer[process]
}

// process is one process of a node. It is the ledger's store, services and views, all of which stop when it
// is paused or killed.
type process struct {
	w       *world
	node    *node
	manager *ledger.Manager
	dead    chan struct{} // closed when it is killed
	cancel  context.CancelFunc

	mu     sync.Mutex
	paused chan struct{} // closed when the pause ends; nil when not paused
	lease  time.Time     // end of the lease
}

func newWorld(ctx context.Context, seed uint64, b breakage) *world {
	w := &world{
		store: &store{
			entries: make(map[string]kvstore.Entry), rng: rand.New(rand.NewPCG(seed, 1)), broken: b == breakSwap,
		},
		network:   fakenode.NewNetwork(latency),
		rng:       rand.New(rand.NewPCG(seed, 2)),
		histories: make(map[int]*history),
		breakage:  b,
	}
	w.inForce = bundle.NewInForce(bundle.Head{Revision: 1}, bundle.Bundle{Servers: []bundle.Server{
		{ID: "b1", Kind: bundle.KindService, Service: "bookings"},
	}}, bundle.Keys{})
	for i := range nodes {
		n := &node{name: fmt.Sprintf("node-%d", i), addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		w.startProcess(ctx, n)
	}
	return w
}

// InForce implements ledger.Bundles.
func (w *world) InForce() *bundle.InForce { return w.inForce }

func (w *world) startProcess(ctx context.Context, n *node) {
	ctx, cancel := context.WithCancel(ctx)
	p := &process{w: w, node: n, dead: make(chan struct{}), cancel: cancel}
	peers := client(n.name, w.network)
	p.manager = ledger.New(p, p, p, w, peers, ledger.WithLog(&log.Logger{Handler: discard.New()}),
		ledger.WithCommitInterval(commitInterval), ledger.WithCommitTimeout(commitTimeout))
	router := chi.NewRouter()
	p.manager.Mount(router)
	w.network.Serve(n.name, n.addr, router)
	n.process.Store(p)
	go func() { _ = p.manager.Run(ctx) }() // ends with ctx
	go p.renew(ctx)
}

func client(name string, network *fakenode.Network) *peer.Client {
	return peer.NewClient(peer.Sender{Name: name}, peer.WithHTTPClient(network.Client(name), "http"), peer.WithTimeout(peerTimeout))
}

// Renews the lease until the process is paused or ends.
func (p *process) renew(ctx context.Context) {
	ticker := time.NewTicker(leaseTime / 5)
	defer ticker.Stop()
	for ctx.Err() == nil {
		p.mu.Lock()
		if p.paused == nil {
			p.lease = time.Now().Add(leaseTime)
		}
		p.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// View implements ledger.Views. A node whose lease has lapsed is missing in it.
func (p *process) View() *membership.View {
	v := &membership.View{Self: p.node.name, StoreFresh: true}
	now := time.Now()
	for _, n := range p.w.nodes {
		other := n.process.Load()
		if other == nil {
			continue // the world is being made
		}
		other.mu.Lock()
		end := other.lease
		other.mu.Unlock()
		if n == p.node {
			v.SelfLeased, v.LeaseEnd = now.Before(end), end
		}
		if now.Before(end) && !other.killed() {
			v.Nodes = append(v.Nodes, membership.Node{Name: n.name, Addr: n.addr})
		}
	}
	return v
}

func (p *process) killed() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

// Waits out a pause. A killed process gets an error, and nothing that it does has an effect.
func (p *process) alive(ctx context.Context) error {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-p.dead:
		}
	}
	if p.killed() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// Returns err once the process runs on. A process that was killed during a call never learns its outcome.
func (p *process) back(ctx context.Context, err error) error {
	if killed := p.alive(ctx); killed != nil {
		return killed
	}
	return err
}

func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// schedule is how the store behaves in turn. Its length and that of the faults of processes have no common
// divisor, so that each meets each.
var schedule = []mode{modeWell, modeLossy, modeRefuse, modeLossy, modeWell, modeSilent, modeLossy, modeSlow}

// Brings about a fault of the store and one of the nodes at a time until ctx ends.
func (w *world) makeTrouble(ctx context.Context, rng *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		w.store.setMode(schedule[i%len(schedule)])
		n, other := w.nodes[rng.IntN(len(w.nodes))], w.nodes[rng.IntN(len(w.nodes))]
		wait := time.Duration(rng.Int64N(int64(longestPause)))
		switch i % 5 {
		case 0:
			w.pause(n, wait)
		case 1:
			w.network.CutOneWay(n.name, other.name, true)
			time.AfterFunc(wait, func() { w.network.CutOneWay(n.name, other.name, false) })
		case 2, 3:
			w.kill(ctx, n, wait/2)
		}
		time.Sleep(troubleTime/2 + time.Duration(rng.Int64N(int64(troubleTime))))
		w.tally()
	}
}

// Counts the faults of the store.
func (w *world) tally() {
	w.store.mu.Lock()
	down, lost := w.store.mode == modeRefuse || w.store.mode == modeSilent, w.store.lost
	w.store.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.LostAnswers = lost
	if down {
		w.counts.Outages++
	}
}

// Kills the process of a node and starts another after the time down.
func (w *world) kill(ctx context.Context, n *node, down time.Duration) {
	p := n.process.Load()
	close(p.dead)
	p.cancel()
	w.network.Serve(n.name, n.addr, nil)
	w.mu.Lock()
	w.counts.Kills++
	w.mu.Unlock()
	time.Sleep(down)
	w.startProcess(ctx, n)
}

// Pauses the process of a node, often for longer than its lease lasts.
func (w *world) pause(n *node, d time.Duration) {
	p := n.process.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		return
	}
	paused := make(chan struct{})
	p.paused = paused
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.paused = nil
		close(paused)
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.Pauses++
}

// This file defines the harness: the nodes, and the faults that it injects.

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

const (
	nodes          = 5
	leaseTime      = 150 * time.Millisecond
	commitInterval = 3 * time.Millisecond
	commitTimeout  = 120 * time.Millisecond
	peerTimeout    = 100 * time.Millisecond
	faultInterval  = 120 * time.Millisecond // mean time between two faults
	longestPause   = 300 * time.Millisecond
)

// harness holds the nodes, the store and the history of each booking.
type harness struct {
	store   *store
	network *fakenode.Network
	inForce *bundle.InForce
	nodes   []*node
	variant variant

	mu        sync.Mutex
	rng       *rand.Rand
	histories map[int]*history
	counts    Result
}

// node is one node with its current process.
type node struct {
	name    string
	addr    netip.AddrPort
	process atomic.Pointer[process]
}

// process is one process of a node. It implements the store, the services and the views of its ledger. While it
// is paused or after it is killed, none of them respond.
type process struct {
	harness    *harness
	node       *node
	manager    *ledger.Manager
	killSignal chan struct{} // closed when the process is killed
	cancel     context.CancelFunc

	mu     sync.Mutex
	paused chan struct{} // closed when the pause ends; nil when not paused
	lease  time.Time     // end of the lease
}

func newHarness(ctx context.Context, seed uint64, v variant) *harness {
	h := &harness{
		store: &store{
			entries: make(map[string]kvstore.Entry), rng: rand.New(rand.NewPCG(seed, 1)), ignoresRevisions: v == variantBrokenSwap,
		},
		network:   fakenode.NewNetwork(latency),
		rng:       rand.New(rand.NewPCG(seed, 2)),
		histories: make(map[int]*history),
		variant:   v,
	}
	h.inForce = bundle.NewInForce(bundle.Head{Revision: 1}, bundle.Bundle{Servers: []bundle.Server{
		{ID: "b1", Kind: bundle.KindService, Service: "bookings"},
	}}, bundle.Keys{})
	for i := range nodes {
		n := &node{name: fmt.Sprintf("node-%d", i), addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)}
		h.nodes = append(h.nodes, n)
	}
	for _, n := range h.nodes {
		h.startProcess(ctx, n)
	}
	return h
}

// InForce implements ledger.Bundles.
func (h *harness) InForce() *bundle.InForce { return h.inForce }

func (h *harness) startProcess(ctx context.Context, n *node) {
	ctx, cancel := context.WithCancel(ctx)
	p := &process{harness: h, node: n, killSignal: make(chan struct{}), cancel: cancel}
	peers := newPeerClient(n.name, h.network)
	p.manager = ledger.New(p, p, p, h, peers, ledger.WithLog(&log.Logger{Handler: discard.New()}),
		ledger.WithCommitInterval(commitInterval), ledger.WithCommitTimeout(commitTimeout))
	router := chi.NewRouter()
	p.manager.Mount(router)
	h.network.Serve(n.name, n.addr, router)
	n.process.Store(p)
	go func() { _ = p.manager.Run(ctx) }() // ends with ctx
	go p.renew(ctx)
}

// Era implements ledger.Store. This store is never restored.
func (p *process) Era() kvstore.Era { return 0 }

func newPeerClient(name string, network *fakenode.Network) *peer.Client {
	return peer.NewClient(peer.Sender{Name: name}, peer.WithHTTPClient(network.Client(name), "http"), peer.WithTimeout(peerTimeout))
}

// renew renews the lease until ctx ends, except while the process is paused.
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

// View implements ledger.Views. It leaves out nodes whose lease has expired.
func (p *process) View() *membership.View {
	v := &membership.View{Self: p.node.name, StoreFresh: true}
	now := time.Now()
	for _, n := range p.harness.nodes {
		other := n.process.Load()
		if other == nil {
			continue // newHarness has not started it yet
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
	case <-p.killSignal:
		return true
	default:
		return false
	}
}

// awaitRunning waits until the process is not paused. In a killed process it blocks until ctx ends and returns an
// error, so that nothing that the process does has an effect.
func (p *process) awaitRunning(ctx context.Context) error {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-p.killSignal:
		}
	}
	if p.killed() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// deliver returns err, the outcome of a call, as soon as the process is not paused. A process that was killed during
// the call does not receive its outcome.
func (p *process) deliver(ctx context.Context, err error) error {
	if killed := p.awaitRunning(ctx); killed != nil {
		return killed
	}
	return err
}

func (h *harness) randIntN(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rng.IntN(n)
}

// storeModes are the modes that the store takes in turn. Their number, 8, and the length of the cycle of node faults
// in injectFaults, 5, have no common divisor, so that each mode coincides with each node fault.
var storeModes = []mode{modeHealthy, modeLossy, modeRefusing, modeLossy, modeHealthy, modeSilent, modeLossy, modeSlow}

// injectFaults sets the next mode of the store and injects the next fault of a node, in steps, until ctx ends. Every
// fifth step has no node fault. A pause or a cut link may last longer than its step.
func (h *harness) injectFaults(ctx context.Context, rng *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		h.store.setMode(storeModes[i%len(storeModes)])
		n, other := h.nodes[rng.IntN(len(h.nodes))], h.nodes[rng.IntN(len(h.nodes))]
		wait := time.Duration(rng.Int64N(int64(longestPause)))
		switch i % 5 {
		case 0:
			h.pause(n, wait)
		case 1:
			h.network.CutOneWay(n.name, other.name, true)
			time.AfterFunc(wait, func() { h.network.CutOneWay(n.name, other.name, false) })
		case 2, 3:
			h.kill(ctx, n, wait/2)
		}
		time.Sleep(faultInterval/2 + time.Duration(rng.Int64N(int64(faultInterval))))
		h.countStoreFaults()
	}
}

// countStoreFaults updates the counts of outages and lost answers of the store.
func (h *harness) countStoreFaults() {
	h.store.mu.Lock()
	down, lost := h.store.mode == modeRefusing || h.store.mode == modeSilent, h.store.lostAnswers
	h.store.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.LostAnswers = lost
	if down {
		h.counts.Outages++
	}
}

// kill kills the process of a node and starts another after the given time down.
func (h *harness) kill(ctx context.Context, n *node, down time.Duration) {
	p := n.process.Load()
	close(p.killSignal)
	p.cancel()
	h.network.Serve(n.name, n.addr, nil)
	h.mu.Lock()
	h.counts.Kills++
	h.mu.Unlock()
	time.Sleep(down)
	h.startProcess(ctx, n)
}

// pause pauses the process of a node, often for longer than its lease lasts.
func (h *harness) pause(n *node, d time.Duration) {
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
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.Pauses++
}

package slicing_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/base/bug"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
	fakenode "ebonyferry/internal/fake/node"
	fakeplatform "ebonyferry/internal/fake/platform"
	"ebonyferry/internal/run/slicing"
)

const (
	leaseTime  = 12 * time.Second
	maxStreams = 32
)

var storeAddr = netip.MustParseAddrPort("10.0.0.1:1")

// fleet is a number of nodes in one process. Its membership follows the store's leases as run/fleet does.
type fleet struct {
	t       *testing.T
	network *fakenode.Network
	store   *fakeplatform.Server
	inForce *bundle.InForce

	mu       sync.Mutex
	nodes    map[string]*member
	epoch    uint64
	draining string // node that drains
}

// member is one process.
type member struct {
	info     membership.Node
	manager  *slicing.Manager
	client   *kvstore.Client
	peers    *node.Client
	view     *membership.View
	lease    kvstore.LeaseID
	leaseEnd time.Time
	cancel   context.CancelFunc
	f        *fleet
}

// View implements slicing.Views.
func (n *member) View() *membership.View {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return n.view
}

// InForce implements slicing.Bundles.
func (f *fleet) InForce() *bundle.InForce { return f.inForce }

func newFleet(t *testing.T, servers, regions, cold int) *fleet {
	log.SetHandler(discard.New())
	f := &fleet{
		t: t, network: fakenode.NewNetwork(time.Millisecond), nodes: make(map[string]*member),
		store: fakeplatform.New(fakeplatform.WithRates(fakeplatform.Rates{})),
	}
	f.network.Serve("store", storeAddr, f.store.Handler())
	var b bundle.Bundle
	for i := range servers {
		b.Servers = append(b.Servers, bundle.Server{
			ID: fmt.Sprintf("server-%03d", i), Kind: bundle.KindEngine, Region: fmt.Sprintf("region-%d", i%regions),
			MaxStreams: maxStreams, ColdStreams: cold, MemoryTokens: 100000,
		})
	}
	f.inForce = bundle.NewInForce(bundle.Head{Revision: 1}, b, bundle.Keys{})
	return f
}

// Starts a process of the named node.
func (f *fleet) start(ctx context.Context, i, regions int) *member {
	name := fmt.Sprintf("node-%03d", i)
	ctx, cancel := context.WithCancel(ctx)
	n := &member{f: f, cancel: cancel, view: &membership.View{Self: name}}
	n.info = membership.Node{
		Name: name, Region: fmt.Sprintf("region-%d", i%regions),
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 1),
	}
	n.client = kvstore.New([]netip.AddrPort{storeAddr}, kvstore.WithHTTPClient(f.network.Client(name)))
	n.peers = node.NewClient(node.Sender{Name: name}, node.WithHTTPClient(f.network.Client(name), "http"))
	n.manager = slicing.New(name, n.client, n, f, n.peers)
	router := chi.NewRouter()
	n.manager.Register(router)
	f.network.Serve(name, n.info.Addr, router)
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	go n.manager.Run(ctx)
	return n
}

// Ends a process. Its lease lapses later.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[name]
	n.cancel()
	f.network.Serve(name, n.info.Addr, nil)
	delete(f.nodes, name)
}

// Renews the leases of all nodes that reach the store, and gives those the list of members.
func (f *fleet) refresh(ctx context.Context) {
	f.mu.Lock()
	nodes := make([]*member, 0, len(f.nodes))
	for _, n := range f.nodes {
		nodes = append(nodes, n)
	}
	f.mu.Unlock()
	slices.SortFunc(nodes, func(a, b *member) int { return int(a.info.Addr.Compare(b.info.Addr)) })
	for _, n := range nodes {
		f.renew(ctx, n)
	}
	entries, _, err := (kvstore.New([]netip.AddrPort{storeAddr}, kvstore.WithHTTPClient(f.network.Client("test")))).List(ctx, "members/")
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range nodes {
		view := *n.view
		view.SelfLeased, view.LeaseEnd, view.SelfEpoch = time.Now().Before(n.leaseEnd), n.leaseEnd, n.info.Epoch
		if view.StoreFresh = err == nil; err == nil {
			view.Nodes = decode(entries, f.draining)
		}
		n.view = &view
	}
}

func (f *fleet) renew(ctx context.Context, n *member) {
	before := time.Now()
	if n.lease != 0 {
		if _, err := n.client.KeepAlive(ctx, n.lease); err == nil {
			n.leaseEnd = before.Add(leaseTime - 2*time.Second)
			return
		}
	}
	f.register(ctx, n, before)
}

// Runs the fleet for d and checks at every step that no server's slices sum above want.
func (f *fleet) pass(ctx context.Context, d, step time.Duration, want int) {
	f.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.refresh(ctx)
		for range int(time.Second / step) {
			time.Sleep(step)
			for _, s := range f.inForce.Bundle.Servers {
				if got := f.inUse(s.ID); got > want {
					f.t.Fatalf("%s: slices sum to %d, want at most %d", s.ID, got, want)
				}
			}
		}
	}
	if got := bug.Count(); got != 0 {
		f.t.Errorf("bug reports: got %d, want 0", got)
	}
}

// Returns what all processes together may use of a server.
func (f *fleet) inUse(server string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, n := range f.nodes {
		streams, _ := n.manager.Budget(server, time.Now())
		sum += streams
	}
	return sum
}

// Sets the demand of every node for every server.
func (f *fleet) demand(streams int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		for _, s := range f.inForce.Bundle.Servers {
			n.manager.SetDemand(s.ID, streams, 1000*streams)
		}
	}
}

// Returns the least and the greatest sum of slices over servers.
func (f *fleet) extremes() (least, greatest int) {
	least = 1 << 30
	for _, s := range f.inForce.Bundle.Servers {
		sum := f.inUse(s.ID)
		least, greatest = min(least, sum), max(greatest, sum)
	}
	return least, greatest
}

func (f *fleet) register(ctx context.Context, n *member, before time.Time) {
	lease, err := n.client.GrantLease(ctx, leaseTime)
	if err != nil {
		return
	}
	key := "members/" + n.info.Name
	entry, err := n.client.Get(ctx, key)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return
	}
	f.epoch++
	n.info.Epoch = f.epoch
	data, _ := json.Marshal(n.info) // plain fields never fail
	if _, err := n.client.CompareAndSwap(ctx, key, entry.Revision, data, lease); err != nil {
		return
	}
	n.lease, n.leaseEnd = lease, before.Add(leaseTime-2*time.Second)
}

func decode(entries []kvstore.Entry, draining string) []membership.Node {
	var nodes []membership.Node
	for _, e := range entries {
		var n membership.Node
		if json.Unmarshal(e.Value, &n) == nil {
			n.Draining = n.Name == draining
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// Runs fn in virtual time with a fleet of nodes before servers that is up and whose demand is high.
func inBubble(t *testing.T, nodes, servers, regions, cold int, fn func(ctx context.Context, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(t, servers, regions, cold)
		for i := range nodes {
			f.start(ctx, i, regions)
		}
		fn(ctx, f)
	})
}

const step = 100 * time.Millisecond

func TestAllBudgetsAreGivenOut(t *testing.T) {
	inBubble(t, 8, 18, 1, 0, func(ctx context.Context, f *fleet) {
		f.pass(ctx, 30*time.Second, step, maxStreams)
		if least, _ := f.extremes(); least != maxStreams {
			t.Errorf("streams given out of one server: got %d, want %d", least, maxStreams)
		}
		f.demand(maxStreams)
		f.pass(ctx, 30*time.Second, step, maxStreams)
		if least, _ := f.extremes(); least != maxStreams {
			t.Errorf("streams given out under demand: got %d, want %d", least, maxStreams)
		}
	})
}

func TestColdServersGetTheColdLimit(t *testing.T) {
	inBubble(t, 8, 18, 1, 4, func(ctx context.Context, f *fleet) {
		f.pass(ctx, 5*time.Second, step, 4)
		f.demand(maxStreams)
		f.pass(ctx, 20*time.Second, step, 4)
		if least, _ := f.extremes(); least != 4 {
			t.Errorf("streams given out of a cold server: got %d, want 4", least)
		}
	})
}

// The holders of a dead owner's servers keep at least a third of the limit in use until the next owner goes on
// with it, and a new process of the same node frees the rest.
func TestOwnerDies(t *testing.T) {
	inBubble(t, 8, 18, 1, 0, func(ctx context.Context, f *fleet) {
		f.pass(ctx, 20*time.Second, step, maxStreams)
		f.demand(maxStreams)
		f.pass(ctx, 5*time.Second, step, maxStreams)
		f.kill("node-003")
		for range 60 {
			f.pass(ctx, time.Second, step, maxStreams)
			if least, _ := f.extremes(); least < maxStreams/3 {
				t.Fatalf("streams given out after the death: got %d, want at least %d", least, maxStreams/3)
			}
		}
		f.start(ctx, 3, 1)
		f.pass(ctx, 60*time.Second, step, maxStreams)
		if least, _ := f.extremes(); least != maxStreams {
			t.Errorf("streams given out after the return: got %d, want %d", least, maxStreams)
		}
	})
}

// A draining owner hands its table over: nothing stays reserved, and no server is without streams.
func TestOwnerDrains(t *testing.T) {
	inBubble(t, 8, 18, 1, 0, func(ctx context.Context, f *fleet) {
		f.pass(ctx, 10*time.Second, step, maxStreams)
		f.demand(maxStreams)
		f.pass(ctx, 10*time.Second, step, maxStreams)
		owned := f.nodes["node-003"].manager.Owned()
		if len(owned) == 0 {
			t.Fatal("node-003 owns no server")
		}
		f.draining = "node-003"
		for range 10 {
			f.pass(ctx, time.Second, step, maxStreams)
			if least, _ := f.extremes(); least < maxStreams/2 {
				t.Fatalf("streams given out in the drain: got %d, want at least %d", least, maxStreams/2)
			}
		}
		if got := f.nodes["node-003"].manager.Owned(); len(got) != 0 {
			t.Errorf("servers owned after 10 s of draining: got %v, want none", got)
		}
		f.kill("node-003")
		f.pass(ctx, 25*time.Second, step, maxStreams)
		if least, _ := f.extremes(); least != maxStreams {
			t.Errorf("streams given out after the drain: got %d, want %d", least, maxStreams)
		}
	})
}

func TestStoreOutage(t *testing.T) {
	for _, mode := range []fakeplatform.OutageMode{fakeplatform.OutageRefuse, fakeplatform.OutageSilent} {
		inBubble(t, 8, 18, 1, 0, func(ctx context.Context, f *fleet) {
			f.pass(ctx, 20*time.Second, step, maxStreams)
			f.demand(maxStreams)
			f.pass(ctx, 5*time.Second, step, maxStreams)
			f.store.SetOutage(mode)
			f.pass(ctx, 10*time.Second, time.Second, maxStreams)
			f.kill("node-005")
			f.pass(ctx, 5*time.Minute, time.Second, maxStreams)
			// What the dead node held stays reserved; the rest is in use.
			if least, _ := f.extremes(); least < maxStreams/3 {
				t.Errorf("%s: streams given out in the outage: got %d, want at least %d", mode, least, maxStreams/3)
			}
			f.store.SetOutage(fakeplatform.OutageNone)
			f.start(ctx, 5, 1)
			f.pass(ctx, time.Minute, step, maxStreams)
			if least, _ := f.extremes(); least != maxStreams {
				t.Errorf("%s: streams given out after the outage: got %d, want %d", mode, least, maxStreams)
			}
		})
	}
}

// Every process starts at once with an empty memory.
func TestWholeFleetRestarts(t *testing.T) {
	inBubble(t, 8, 18, 1, 0, func(ctx context.Context, f *fleet) {
		f.pass(ctx, 20*time.Second, step, maxStreams)
		for i := range 8 {
			f.kill(fmt.Sprintf("node-%03d", i))
		}
		time.Sleep(3 * time.Second)
		for i := range 8 {
			f.start(ctx, i, 1)
		}
		f.pass(ctx, 40*time.Second, step, maxStreams)
		if least, _ := f.extremes(); least != maxStreams {
			t.Errorf("streams given out: got %d, want %d", least, maxStreams)
		}
	})
}

func TestFallReachesHolders(t *testing.T) {
	inBubble(t, 8, 18, 1, 4, func(ctx context.Context, f *fleet) {
		const server = "server-000"
		f.pass(ctx, 5*time.Second, step, maxStreams)
		f.demand(maxStreams)
		fraction := 4.0 / maxStreams
		for range 20 {
			f.evidence(server, fraction)
			f.pass(ctx, time.Second, step, maxStreams)
			fraction = min(1, fraction*1.25)
		}
		if got := f.inUse(server); got <= 8 {
			t.Fatalf("streams after rising evidence: got %d, want more than 8", got)
		}
		f.anyUser(server).SetEvidence(server, 4.0/maxStreams)
		time.Sleep(step)
		if got := f.inUse(server); got > 4 {
			t.Errorf("streams %v after one node saw the server cold: got %d, want at most 4", step, got)
		}
	})
}

func (f *fleet) evidence(server string, fraction float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		n.manager.SetEvidence(server, fraction)
	}
}

func (f *fleet) anyUser(server string) *slicing.Manager {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if streams, _ := n.manager.Budget(server, time.Now()); streams > 0 {
			return n.manager
		}
	}
	return nil
}

// The messages of one node stay within the bound for control, at steady demand above what there is.
func TestBytesPerRound(t *testing.T) {
	const maxBytes = 8 << 10 // a second and node
	sizes := []struct{ nodes, servers, regions int }{{8, 18, 1}, {64, 120, 2}, {330, 600, 3}}
	if testing.Short() {
		sizes = sizes[:2] // the largest takes long under the race detector
	}
	for _, size := range sizes {
		inBubble(t, size.nodes, size.servers, size.regions, 0, func(ctx context.Context, f *fleet) {
			const seconds = 5
			f.pass(ctx, 8*time.Second, time.Second, maxStreams)
			f.demand(maxStreams)
			calls, bytes := f.traffic()
			f.pass(ctx, seconds*time.Second, time.Second, maxStreams)
			callsAfter, bytesAfter := f.traffic()
			perNode := float64(seconds * size.nodes)
			// Each body is sent by one node and received by another.
			rate := 2 * float64(bytesAfter-bytes) / perNode
			t.Logf("%d nodes, %d servers: %.1f calls and %.0f bytes of bodies a second and node",
				size.nodes, size.servers, 2*float64(callsAfter-calls)/perNode, rate)
			if rate > maxBytes {
				t.Errorf("bytes a second and node: got %.0f, want at most %d", rate, maxBytes)
			}
		})
	}
}

func (f *fleet) traffic() (calls, bytes int) {
	for _, n := range f.nodes {
		for _, c := range n.peers.Traffic.Counts() {
			calls += c.Calls
			bytes += c.Sent + c.Received
		}
	}
	return calls, bytes
}

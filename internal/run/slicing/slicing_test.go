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

// fleet is a group of nodes in one process. Its membership follows the leases in the store, as in run/fleet.
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

// member is one process of a node.
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
		store: fakeplatform.New(fakeplatform.WithRates(fakeplatform.Rates{}), fakeplatform.WithCopies(0)),
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

// start starts a process of node i.
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
	n.manager.Mount(router)
	f.network.Serve(name, n.info.Addr, router)
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	go n.manager.Run(ctx)
	return n
}

// kill ends a process. Its lease expires later.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[name]
	n.cancel()
	f.network.Serve(name, n.info.Addr, nil)
	delete(f.nodes, name)
}

// refresh renews the leases of all nodes that reach the store, and updates their views by the list of members.
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
	listed := decode(entries, f.draining) // views share it, and are not changed
	for _, n := range nodes {
		view := *n.view
		view.SelfLeased, view.LeaseEnd, view.SelfEpoch = time.Now().Before(n.leaseEnd), n.leaseEnd, n.info.Epoch
		if view.StoreFresh = err == nil; err == nil {
			view.Nodes = listed
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

// runAndCheck runs the fleet for d and checks at every step that the slices of each server sum to at most want.
func (f *fleet) runAndCheck(ctx context.Context, d, step time.Duration, want int) {
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

// inUse returns the streams that all processes together may use of a server.
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

// demand sets the demand of every node for every server.
func (f *fleet) demand(streams int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		for _, s := range f.inForce.Bundle.Servers {
			n.manager.SetDemand(s.ID, streams, 1000*streams)
		}
	}
}

// sliceSums returns the least and the greatest sum of slices over all servers.
func (f *fleet) sliceSums() (least, greatest int) {
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
	data, _ := json.Marshal(n.info) // encoding of plain fields never fails
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

// withFleet runs fn in virtual time with a started fleet of nodes and the given servers.
func withFleet(t *testing.T, nodes, servers, regions, cold int, fn func(ctx context.Context, f *fleet)) {
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

func TestBudgetsAreFullyAllocated(t *testing.T) {
	withFleet(t, 8, 18, 1, 0, func(ctx context.Context, f *fleet) {
		f.runAndCheck(ctx, 30*time.Second, step, maxStreams)
		if least, _ := f.sliceSums(); least != maxStreams {
			t.Errorf("streams granted of one server: got %d, want %d", least, maxStreams)
		}
		f.demand(maxStreams)
		f.runAndCheck(ctx, 30*time.Second, step, maxStreams)
		if least, _ := f.sliceSums(); least != maxStreams {
			t.Errorf("streams granted under demand: got %d, want %d", least, maxStreams)
		}
	})
}

func TestColdServersGetTheColdLimit(t *testing.T) {
	withFleet(t, 8, 18, 1, 4, func(ctx context.Context, f *fleet) {
		f.runAndCheck(ctx, 5*time.Second, step, 4)
		f.demand(maxStreams)
		f.runAndCheck(ctx, 20*time.Second, step, 4)
		if least, _ := f.sliceSums(); least != 4 {
			t.Errorf("streams granted of a cold server: got %d, want 4", least)
		}
	})
}

// After an owner fails, the holders of its servers keep at least a third of the limit until the next owner takes over,
// and a new process of the same node frees the rest.
func TestOwnerFails(t *testing.T) {
	withFleet(t, 8, 18, 1, 0, func(ctx context.Context, f *fleet) {
		f.runAndCheck(ctx, 20*time.Second, step, maxStreams)
		f.demand(maxStreams)
		f.runAndCheck(ctx, 5*time.Second, step, maxStreams)
		f.kill("node-003")
		for range 60 {
			f.runAndCheck(ctx, time.Second, step, maxStreams)
			if least, _ := f.sliceSums(); least < maxStreams/3 {
				t.Fatalf("streams granted after the failure: got %d, want at least %d", least, maxStreams/3)
			}
		}
		f.start(ctx, 3, 1)
		f.runAndCheck(ctx, 60*time.Second, step, maxStreams)
		if least, _ := f.sliceSums(); least != maxStreams {
			t.Errorf("streams granted after the restart: got %d, want %d", least, maxStreams)
		}
	})
}

// A draining owner hands over its state: nothing stays reserved, and no server is without streams.
func TestOwnerDrains(t *testing.T) {
	withFleet(t, 8, 18, 1, 0, func(ctx context.Context, f *fleet) {
		f.runAndCheck(ctx, 10*time.Second, step, maxStreams)
		f.demand(maxStreams)
		f.runAndCheck(ctx, 10*time.Second, step, maxStreams)
		owned := f.nodes["node-003"].manager.Owned()
		if len(owned) == 0 {
			t.Fatal("node-003 owns no server")
		}
		f.draining = "node-003"
		for range 10 {
			f.runAndCheck(ctx, time.Second, step, maxStreams)
			if least, _ := f.sliceSums(); least < maxStreams/2 {
				t.Fatalf("streams granted during the drain: got %d, want at least %d", least, maxStreams/2)
			}
		}
		if got := f.nodes["node-003"].manager.Owned(); len(got) != 0 {
			t.Errorf("servers owned after 10 s of draining: got %v, want none", got)
		}
		f.kill("node-003")
		f.runAndCheck(ctx, 25*time.Second, step, maxStreams)
		if least, _ := f.sliceSums(); least != maxStreams {
			t.Errorf("streams granted after the drain: got %d, want %d", least, maxStreams)
		}
	})
}

func TestStoreOutage(t *testing.T) {
	for _, mode := range []fakeplatform.OutageMode{fakeplatform.OutageRefuse, fakeplatform.OutageSilent} {
		withFleet(t, 8, 18, 1, 0, func(ctx context.Context, f *fleet) {
			f.runAndCheck(ctx, 20*time.Second, step, maxStreams)
			f.demand(maxStreams)
			f.runAndCheck(ctx, 5*time.Second, step, maxStreams)
			f.store.SetOutage(mode)
			f.runAndCheck(ctx, 10*time.Second, time.Second, maxStreams)
			f.kill("node-005")
			f.runAndCheck(ctx, 5*time.Minute, time.Second, maxStreams)
			// The slices of the failed node stay reserved; the rest is in use.
			if least, _ := f.sliceSums(); least < maxStreams/3 {
				t.Errorf("%s: streams granted during the outage: got %d, want at least %d", mode, least, maxStreams/3)
			}
			f.store.SetOutage(fakeplatform.OutageNone)
			f.start(ctx, 5, 1)
			f.runAndCheck(ctx, time.Minute, step, maxStreams)
			if least, _ := f.sliceSums(); least != maxStreams {
				t.Errorf("%s: streams granted after the outage: got %d, want %d", mode, least, maxStreams)
			}
		})
	}
}

// All processes of the fleet stop, and start again without any state.
func TestWholeFleetRestarts(t *testing.T) {
	withFleet(t, 8, 18, 1, 0, func(ctx context.Context, f *fleet) {
		f.runAndCheck(ctx, 20*time.Second, step, maxStreams)
		for i := range 8 {
			f.kill(fmt.Sprintf("node-%03d", i))
		}
		time.Sleep(3 * time.Second)
		for i := range 8 {
			f.start(ctx, i, 1)
		}
		f.runAndCheck(ctx, 40*time.Second, step, maxStreams)
		if least, _ := f.sliceSums(); least != maxStreams {
			t.Errorf("streams granted: got %d, want %d", least, maxStreams)
		}
	})
}

func TestLimitDecreaseReachesHolders(t *testing.T) {
	withFleet(t, 8, 18, 1, 4, func(ctx context.Context, f *fleet) {
		const server = "server-000"
		f.runAndCheck(ctx, 5*time.Second, step, maxStreams)
		f.demand(maxStreams)
		fraction := 4.0 / maxStreams
		for range 20 {
			f.evidence(server, fraction)
			f.runAndCheck(ctx, time.Second, step, maxStreams)
			fraction = min(1, fraction*1.25)
		}
		if got := f.inUse(server); got <= 8 {
			t.Fatalf("streams after increasing evidence: got %d, want more than 8", got)
		}
		f.anyUser(server).SetEvidence(server, 4.0/maxStreams)
		time.Sleep(step)
		if got := f.inUse(server); got > 4 {
			t.Errorf("streams %v after one node reported a cold server: got %d, want at most 4", step, got)
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

// The messages of one node stay within the bound for control traffic, at steady demand above the limit.
func TestBytesPerRound(t *testing.T) {
	const maxBytes = 8 << 10 // per second and node
	sizes := []struct{ nodes, servers, regions int }{{8, 18, 1}, {64, 120, 2}, {330, 600, 3}}
	if testing.Short() {
		sizes = sizes[:2] // the largest takes long under the race detector
	}
	for _, size := range sizes {
		withFleet(t, size.nodes, size.servers, size.regions, 0, func(ctx context.Context, f *fleet) {
			const seconds = 5
			f.runAndCheck(ctx, 8*time.Second, time.Second, maxStreams)
			f.demand(maxStreams)
			calls, bytes := f.traffic()
			f.runAndCheck(ctx, seconds*time.Second, time.Second, maxStreams)
			callsAfter, bytesAfter := f.traffic()
			perNode := float64(seconds * size.nodes)
			// One node sends each body and another receives it.
			rate := 2 * float64(bytesAfter-bytes) / perNode
			t.Logf("%d nodes, %d servers: %.1f calls and %.0f bytes of bodies per second and node",
				size.nodes, size.servers, 2*float64(callsAfter-calls)/perNode, rate)
			if rate > maxBytes {
				t.Errorf("bytes per second and node: got %.0f, want at most %d", rate, maxBytes)
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

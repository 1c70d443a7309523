package rollout_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/ownership"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/document"
	"ebonyferry/internal/edge/engine"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
	fakenode "ebonyferry/internal/fake/node"
	fakeplatform "ebonyferry/internal/fake/platform"
	"ebonyferry/internal/run/rollout"
)

const (
	nodeCount  = 4
	rate       = 15 // requests per second of each node
	rolloutFor = 4 * time.Minute
	// headPollInterval is how often a node reads the head.
	headPollInterval = time.Second
	// maxVerdictDelay is the target for the time from a verdict to the last request to the bad version.
	maxVerdictDelay = 3 * time.Second
)

var storeAddr = netip.MustParseAddrPort("10.9.9.9:2379")

// harness is a few nodes that serve requests of one model in virtual time.
type harness struct {
	t      *testing.T
	net    *fakenode.Network
	store  *fakeplatform.Server
	client *kvstore.Client // of the operator
	bad    atomic.Bool     // whether v2 fails, or is slow, now
	slow   bool            // whether a bad v2 is slow instead of failing

	mu      sync.Mutex
	nodes   map[string]*testNode // guarded by mu
	lastV2  time.Time            // when a request was last sent to v2; guarded by mu
	engines map[netip.AddrPort]*fakeEngine
}

// testNode is one node. It is also the dispatcher of its observer.
type testNode struct {
	h        *harness
	self     membership.Node
	store    *kvstore.Client
	inForce  atomic.Pointer[bundle.InForce]
	rollout  *rollout.Rollout
	observer *rollout.Observer
	stop     context.CancelFunc
}

// fakeEngine is an engine that loads versions immediately and honours fencing numbers.
type fakeEngine struct {
	mu     sync.Mutex
	models []bundle.ModelVersion
	fence  uint64
	orders int
}

func (e *fakeEngine) Load(context.Context) (engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Load{Models: append([]bundle.ModelVersion{}, e.models...)}, nil
}

func (e *fakeEngine) Order(_ context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		return engine.ErrStaleFence
	}
	e.fence = o.Fence
	e.orders++
	e.models = append(e.models, o.Model)
	return nil
}

func (e *fakeEngine) Close() {}

func testBundle(t *testing.T, share int) bundle.Bundle {
	b, err := bundle.Parse(fmt.Appendf(nil, `{"author": "ana",
		"servers": [
			{"id": "e1", "kind": "engine", "addr": "10.1.0.1:1", "region": "r", "failureDomain": "a", "maxStreams": 100, "honoursFencing": true, "models": [{"model": "m", "version": "v1"}, {"model": "m", "version": "v2"}]},
			{"id": "e2", "kind": "engine", "addr": "10.1.0.2:1", "region": "r", "failureDomain": "b", "maxStreams": 100, "honoursFencing": true, "models": [{"model": "m", "version": "v1"}, {"model": "m", "version": "v2"}]}],
		"models": [{"name": "m", "versions": [{"version": "v1", "share": %d}, {"version": "v2", "share": %d}]}]}`, 1000-share, share))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// close stops the nodes and gives the goroutines that they started time to return.
func (h *harness) close() {
	for _, n := range h.nodes {
		n.stop()
	}
	time.Sleep(time.Minute)
}

// newHarness starts the nodes and a rollout from v1 to v2.
func newHarness(t *testing.T) *harness {
	h := &harness{t: t, net: fakenode.NewNetwork(time.Millisecond), store: fakeplatform.New(), nodes: make(map[string]*testNode), engines: make(map[netip.AddrPort]*fakeEngine)}
	h.net.Serve("store", storeAddr, h.store.Handler())
	h.client = kvstore.New([]netip.AddrPort{storeAddr}, kvstore.WithHTTPClient(h.net.Client("operator")))
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	keys := bundle.Keys{
		Operators: []bundle.Operator{{Name: "ana", PublicKeys: []ed25519.PublicKey{key.Public().(ed25519.PublicKey)}}},
		TokenKeys: []bundle.TokenKey{{ID: "t1", Secret: make([]byte, 32), NotAfter: time.Now().Add(time.Hour)}},
	}
	ctx := t.Context()
	in, err := document.Bootstrap(ctx, h.client, testBundle(t, 0), keys, bundle.ChangeRequest{By: "ana", Nonce: "1"})
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range in.Bundle.Servers {
		h.engines[s.Addr] = &fakeEngine{models: []bundle.ModelVersion{{Model: "m", Version: "v1"}}}
	}
	next := testBundle(t, 1000)
	if err := document.PutBundle(ctx, h.client, next); err != nil {
		t.Fatal(err)
	}
	signOff := bundle.Sign("ana", key, bundle.SignOffSubject{BundleID: next.ID, Since: 1})
	req := bundle.ChangeRequest{By: "ana", Nonce: "2", At: time.Now(), DoneBy: time.Now().Add(rolloutFor)}
	head, err := in.NextBundle(next, []bundle.SignOff{signOff}, req)
	if err != nil {
		t.Fatal(err)
	}
	_, revision, err := document.LoadHead(ctx, h.client)
	if err != nil {
		t.Fatal(err)
	}
	if err := document.SwitchHead(ctx, h.client, in.Head, revision, head); err != nil {
		t.Fatal(err)
	}
	for i := range nodeCount {
		h.start(i)
	}
	return h
}

func (h *harness) start(i int) {
	self := membership.Node{Name: fmt.Sprintf("n%d", i), Epoch: 1, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)}
	http := h.net.Client(self.Name)
	ctx, stop := context.WithCancel(h.t.Context())
	n := &testNode{h: h, self: self, store: kvstore.New([]netip.AddrPort{storeAddr}, kvstore.WithHTTPClient(http)), stop: stop}
	n.observer = rollout.NewObserver(n, func() int { return nodeCount })
	peers := node.NewClient(node.Sender{Name: self.Name}, node.WithHTTPClient(http, "http"))
	n.rollout = rollout.New(n.store, n.view, n.inForce.Load, peers, n.observer,
		rollout.WithEngines(func(addr netip.AddrPort) rollout.Engine { return h.engines[addr] }),
		rollout.WithLog(&log.Logger{Handler: discard.Default}))
	router := chi.NewRouter()
	n.rollout.Mount(router)
	h.net.Serve(self.Name, self.Addr, router)
	h.mu.Lock()
	h.nodes[self.Name] = n
	h.mu.Unlock()
	go n.follow(ctx)
	go n.serve(ctx, rand.New(rand.NewPCG(uint64(i), 1)))
	go n.rollout.Run(ctx)
}

// stopNode stops a node without notice.
func (h *harness) stopNode(name string) {
	h.mu.Lock()
	n := h.nodes[name]
	delete(h.nodes, name)
	h.mu.Unlock()
	h.net.Serve(name, n.self.Addr, nil)
	n.stop()
}

// view returns the live nodes with valid leases.
func (n *testNode) view() *membership.View {
	n.h.mu.Lock()
	defer n.h.mu.Unlock()
	v := &membership.View{Self: n.self.Name, StoreFresh: true, SelfLeased: true, LeaseEnd: time.Now().Add(time.Minute)}
	for i := range nodeCount {
		if other := n.h.nodes[fmt.Sprintf("n%d", i)]; other != nil {
			v.Nodes = append(v.Nodes, other.self)
		}
	}
	return v
}

// follow keeps the node's configuration up to date with the store.
func (n *testNode) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if in, _, err := document.LoadInForce(ctx, n.store); err == nil {
			n.inForce.Store(in)
		}
		time.Sleep(headPollInterval)
	}
}

// serve sends requests at random times.
func (n *testNode) serve(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / rate))
		if n.inForce.Load() == nil {
			continue
		}
		chance := rng.Float64()
		latency := time.Duration(rng.ExpFloat64() * float64(100*time.Millisecond))
		slot, err := n.observer.Acquire(context.WithValue(ctx, shareKey{}, rng.IntN(bundle.ShareTotal)), caller.Work{Model: "m", Route: "/v1/completions"})
		if err != nil {
			continue
		}
		go func() {
			time.Sleep(latency)
			gap, affected := 10*time.Millisecond, slot.Version() == "v2" && n.h.bad.Load()
			if affected && !n.h.slow && chance < 0.5 {
				slot.Done(caller.OutcomeFailed)
				return
			}
			if affected && n.h.slow {
				gap *= 3
			}
			for i := range 40 {
				slot.RecordToken(i)
				time.Sleep(gap)
			}
			slot.Done(caller.OutcomeFinished)
		}()
	}
}

// shareKey is the context key of the random number that selects a request's version.
type shareKey struct{}

// fakeSlot is a slot on an engine that runs the given version.
type fakeSlot struct{ version string }

func (s *fakeSlot) Server() bundle.Server { return bundle.Server{ID: "e1", MaxStreams: 100} }
func (s *fakeSlot) Version() string       { return s.version }
func (s *fakeSlot) RecordToken(int)       {}
func (s *fakeSlot) Done(caller.Outcome)   {}

// Acquire grants a slot by the shares that the node applies.
func (n *testNode) Acquire(ctx context.Context, _ caller.Work) (caller.Slot, error) {
	draw := ctx.Value(shareKey{}).(int)
	s := &fakeSlot{version: "v1"}
	if draw < n.rollout.ApplyCuts(n.inForce.Load()).Shares("m")[1].Share {
		s.version = "v2"
		n.h.mu.Lock()
		n.h.lastV2 = time.Now()
		n.h.mu.Unlock()
	}
	return s, nil
}

func (h *harness) lastV2At() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastV2
}

// head returns the head in the store.
func (h *harness) head() bundle.Head {
	head, _, err := document.LoadHead(h.t.Context(), h.client)
	if err != nil {
		h.t.Fatal(err)
	}
	return head
}

// await waits until the rollout has a state and returns the time when it first sees it.
func (h *harness) await(want bundle.RolloutState, limit time.Duration) time.Time {
	h.t.Helper()
	for end := time.Now().Add(limit); ; time.Sleep(250 * time.Millisecond) {
		if h.head().Rollouts["m"].State == want {
			return time.Now()
		}
		if time.Now().After(end) {
			break
		}
	}
	h.t.Fatalf("got rollout %+v with shares %+v after %s, want state %s", h.head().Rollouts["m"], h.head().VersionShares["m"], limit, want)
	return time.Time{}
}

// stopController stops the node that controls the rollout.
func (h *harness) stopController() {
	for _, n := range h.nodes {
		owner, _ := ownership.Owner(n.view(), ownership.KindRollout, "m", ownership.AnyRegion)
		h.stopNode(owner.Name)
		return
	}
}

func TestGoodVersionIsDoneWhenControllersFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()
		last := 0
		for started := time.Now(); h.head().Rollouts["m"].State == bundle.RolloutRunning; time.Sleep(250 * time.Millisecond) {
			if got := h.head().VersionShares["m"][1].Share; got < last {
				t.Fatalf("got share %d after %d, want it to increase", got, last)
			} else if got > last && len(h.nodes) > 2 {
				last = got
				h.stopController() // after the step, before its checkpoint
			}
			if time.Since(started) > rolloutFor {
				t.Fatalf("got shares %+v at the end of the time", h.head().VersionShares["m"])
			}
		}
		h.await(bundle.RolloutWatching, time.Second)
		if got := h.head().VersionShares["m"]; got != nil {
			t.Errorf("got shares %+v beside the bundle's, want none", got)
		}
		for addr, e := range h.engines {
			if got, want := e.orders, 1; got != want {
				t.Errorf("got %d orders to engine %s, want %d", got, addr, want)
			}
		}
		h.await(bundle.RolloutDone, time.Hour)
	})
}

func TestBadVersionIsTakenBackAndStaysOut(t *testing.T) {
	tests := []struct {
		name      string
		badFrom   time.Duration
		stopAfter time.Duration // of the controller, after the version turns bad; zero for none
		slow      bool
	}{
		{"from the start", 0, 0, false},
		{"slow from the start", 0, 0, true},
		{"later", 3 * time.Minute, 0, false},
		{"slow in the watch", 6 * time.Minute, 0, true},
		{"in the watch", 6 * time.Minute, 0, false},
		{"controller stops at the first evidence", 2 * time.Minute, time.Second, false},
		{"controller stops before the verdict", 2 * time.Minute, 5 * time.Second, false},
		{"controller stops around the verdict", 2 * time.Minute, 9 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if testing.Short() && tt.badFrom > 0 {
				t.Skip("the cases that are bad from the start are enough for the race detector")
			}
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.close()
				h.slow = tt.slow
				time.Sleep(tt.badFrom)
				h.bad.Store(true)
				if tt.stopAfter > 0 {
					time.Sleep(tt.stopAfter)
					h.stopController()
				}
				verdict := h.await(bundle.RolloutTakenBack, 5*time.Minute)
				time.Sleep(time.Minute)
				if got := h.lastV2At().Sub(verdict); got > maxVerdictDelay {
					t.Errorf("got a request to the bad version %s after the verdict, want none after %s", got, maxVerdictDelay)
				}
				h.stopController()
				time.Sleep(time.Minute)
				if got, want := h.head().Rollouts["m"].State, bundle.RolloutTakenBack; got != want {
					t.Errorf("got state %s after the controller stopped, want %s", got, want)
				}
			})
		})
	}
}

// While the store is down the controller sends the verdict to the nodes, and writes it to the head afterwards.
func TestVerdictHoldsWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()
		time.Sleep(150 * time.Second)
		h.store.SetOutage(fakeplatform.OutageRefuse)
		h.bad.Store(true)
		const limit = 90 * time.Second
		time.Sleep(limit)
		if got := time.Since(h.lastV2At()); got < maxVerdictDelay {
			t.Errorf("got a request to the bad version %s ago, %s after it turned bad, want none", got, limit)
		}
		h.store.SetOutage(fakeplatform.OutageNone)
		h.await(bundle.RolloutTakenBack, time.Minute)
	})
}

func TestGoodVersionIsDoneInTimeAfterAnOutage(t *testing.T) {
	for _, mode := range []fakeplatform.OutageMode{fakeplatform.OutageRefuse, fakeplatform.OutageSilent} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.close()
				time.Sleep(time.Minute)
				h.store.SetOutage(mode)
				time.Sleep(time.Minute)
				h.stopController()
				h.store.SetOutage(fakeplatform.OutageNone)
				h.store.LoseAnswers(kvstore.KindCAS, 2)
				h.await(bundle.RolloutWatching, rolloutFor-2*time.Minute)
			})
		})
	}
}

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
	rate       = 15 // requests a second and node
	rolloutFor = 4 * time.Minute
	// spreadTime is what the bench takes to bring a head to a node.
	spreadTime = time.Second
	// afterVerdict is the target from a verdict to the last request of a bad version.
	afterVerdict = 3 * time.Second
)

var storeAddr = netip.MustParseAddrPort("10.9.9.9:2379")

// bench is a few nodes that serve requests of one model in virtual time.
type bench struct {
	t      *testing.T
	net    *fakenode.Network
	store  *fakeplatform.Server
	client *kvstore.Client // of the operator
	bad    atomic.Bool     // version v2 fails now, or is slow
	slow   bool            // v2 is slow instead of failing

	mu      sync.Mutex
	nodes   map[string]*process // guarded by mu
	lastNew time.Time           // when a request was last sent to v2; guarded by mu
	engines map[netip.AddrPort]*fakeEngine
}

// process is one node.
type process struct {
	b       *bench
	self    membership.Node
	store   *kvstore.Client
	held    atomic.Pointer[bundle.InForce]
	rollout *rollout.Rollout
	seen    *rollout.Observer
	stop    context.CancelFunc
}

// fakeEngine is an engine that loads at once and honours fencing numbers.
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

// Ends the nodes and lets what they started end.
func (b *bench) close() {
	for _, p := range b.nodes {
		p.stop()
	}
	time.Sleep(time.Minute)
}

// Starts the nodes and a rollout from v1 to v2.
func newBench(t *testing.T) *bench {
	b := &bench{t: t, net: fakenode.NewNetwork(time.Millisecond), store: fakeplatform.New(), nodes: make(map[string]*process), engines: make(map[netip.AddrPort]*fakeEngine)}
	b.net.Serve("store", storeAddr, b.store.Handler())
	b.client = kvstore.New([]netip.AddrPort{storeAddr}, kvstore.WithHTTPClient(b.net.Client("operator")))
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	keys := bundle.Keys{
		Operators: []bundle.Operator{{Name: "ana", PublicKeys: []ed25519.PublicKey{key.Public().(ed25519.PublicKey)}}},
		TokenKeys: []bundle.TokenKey{{ID: "t1", Secret: make([]byte, 32), NotAfter: time.Now().Add(time.Hour)}},
	}
	ctx := t.Context()
	in, err := document.Bootstrap(ctx, b.client, testBundle(t, 0), keys, bundle.ChangeRequest{By: "ana", Nonce: "1"})
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range in.Bundle.Servers {
		b.engines[s.Addr] = &fakeEngine{models: []bundle.ModelVersion{{Model: "m", Version: "v1"}}}
	}
	next := testBundle(t, 1000)
	if err := document.PutBundle(ctx, b.client, next); err != nil {
		t.Fatal(err)
	}
	signOff := bundle.Sign("ana", key, bundle.SignOffSubject{BundleID: next.ID, Since: 1})
	req := bundle.ChangeRequest{By: "ana", Nonce: "2", At: time.Now(), DoneBy: time.Now().Add(rolloutFor)}
	h, err := in.NextBundle(next, []bundle.SignOff{signOff}, req)
	if err != nil {
		t.Fatal(err)
	}
	_, at, err := document.LoadHead(ctx, b.client)
	if err != nil {
		t.Fatal(err)
	}
	if err := document.SwitchHead(ctx, b.client, in.Head, at, h); err != nil {
		t.Fatal(err)
	}
	for i := range nodeCount {
		b.start(i)
	}
	return b
}

func (b *bench) start(i int) {
	self := membership.Node{Name: fmt.Sprintf("n%d", i), Epoch: 1, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)}
	http := b.net.Client(self.Name)
	ctx, stop := context.WithCancel(b.t.Context())
	p := &process{b: b, self: self, store: kvstore.New([]netip.AddrPort{storeAddr}, kvstore.WithHTTPClient(http)), stop: stop}
	p.seen = rollout.NewObserver(p, func() int { return nodeCount })
	peers := node.NewClient(node.Sender{Name: self.Name}, node.WithHTTPClient(http, "http"))
	p.rollout = rollout.New(p.store, p.view, p.held.Load, peers, p.seen,
		rollout.WithEngines(func(addr netip.AddrPort) rollout.Engine { return b.engines[addr] }),
		rollout.WithLog(&log.Logger{Handler: discard.Default}))
	router := chi.NewRouter()
	p.rollout.Mount(router)
	b.net.Serve(self.Name, self.Addr, router)
	b.mu.Lock()
	b.nodes[self.Name] = p
	b.mu.Unlock()
	go p.follow(ctx)
	go p.serve(ctx, rand.New(rand.NewPCG(uint64(i), 1)))
	go p.rollout.Run(ctx)
}

// Ends a node without notice.
func (b *bench) kill(name string) {
	b.mu.Lock()
	p := b.nodes[name]
	delete(b.nodes, name)
	b.mu.Unlock()
	b.net.Serve(name, p.self.Addr, nil)
	p.stop()
}

// Returns the live nodes; all leases hold.
func (p *process) view() *membership.View {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	v := &membership.View{Self: p.self.Name, StoreFresh: true, SelfLeased: true, LeaseEnd: time.Now().Add(time.Minute)}
	for i := range nodeCount {
		if other := p.b.nodes[fmt.Sprintf("n%d", i)]; other != nil {
			v.Nodes = append(v.Nodes, other.self)
		}
	}
	return v
}

// Applies the head of the store soon after it changed.
func (p *process) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if in, _, err := document.LoadInForce(ctx, p.store); err == nil {
			p.held.Store(in)
		}
		time.Sleep(spreadTime)
	}
}

// Sends requests as callers would.
func (p *process) serve(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / rate))
		if p.held.Load() == nil {
			continue
		}
		chance := rng.Float64()
		latency := time.Duration(rng.ExpFloat64() * float64(100*time.Millisecond))
		got, err := p.seen.Acquire(context.WithValue(ctx, shareKey{}, rng.IntN(bundle.ShareTotal)), caller.Work{Model: "m", Route: "/v1/completions"})
		if err != nil {
			continue
		}
		go func() {
			time.Sleep(latency)
			gap, hit := 10*time.Millisecond, got.Version() == "v2" && p.b.bad.Load()
			if hit && !p.b.slow && chance < 0.5 {
				got.Done(caller.OutcomeFailed)
				return
			}
			if hit && p.b.slow {
				gap *= 3
			}
			for i := range 40 {
				got.Token(i)
				time.Sleep(gap)
			}
			got.Done(caller.OutcomeFinished)
		}()
	}
}

type shareKey struct{}

// grant is a place on an engine of a version.
type grant struct{ version string }

func (g *grant) Server() bundle.Server { return bundle.Server{ID: "e1", MaxStreams: 100} }
func (g *grant) Version() string       { return g.version }
func (g *grant) Token(int)             {}
func (g *grant) Done(caller.Outcome)   {}

// Acquire grants a place by the shares that the node applies.
func (p *process) Acquire(ctx context.Context, _ caller.Work) (caller.Place, error) {
	draw := ctx.Value(shareKey{}).(int)
	g := &grant{version: "v1"}
	if draw < p.rollout.ApplyCuts(p.held.Load()).Shares("m")[1].Share {
		g.version = "v2"
		p.b.mu.Lock()
		p.b.lastNew = time.Now()
		p.b.mu.Unlock()
	}
	return g, nil
}

func (b *bench) lastNewAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastNew
}

// Returns the head in the store.
func (b *bench) head() bundle.Head {
	h, _, err := document.LoadHead(b.t.Context(), b.client)
	if err != nil {
		b.t.Fatal(err)
	}
	return h
}

// Waits until the rollout has a state and returns when it came.
func (b *bench) await(want bundle.RolloutState, limit time.Duration) time.Time {
	b.t.Helper()
	for end := time.Now().Add(limit); ; time.Sleep(250 * time.Millisecond) {
		if b.head().Rollouts["m"].State == want {
			return time.Now()
		}
		if time.Now().After(end) {
			break
		}
	}
	b.t.Fatalf("got rollout %+v with shares %+v after %s, want state %s", b.head().Rollouts["m"], b.head().VersionShares["m"], limit, want)
	return time.Time{}
}

// Kills the node that controls the rollout.
func (b *bench) killController() {
	for _, p := range b.nodes {
		n, _ := ownership.Owner(p.view(), ownership.KindRollout, "m", ownership.AnyRegion)
		b.kill(n.Name)
		return
	}
}

func TestGoodVersionIsDoneAlsoWhenControllersDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.close()
		last := 0
		for started := time.Now(); b.head().Rollouts["m"].State == bundle.RolloutRunning; time.Sleep(250 * time.Millisecond) {
			if got := b.head().VersionShares["m"][1].Share; got < last {
				t.Fatalf("got share %d after %d, want it to grow", got, last)
			} else if got > last && len(b.nodes) > 2 {
				last = got
				b.killController() // between the step and its checkpoint
			}
			if time.Since(started) > rolloutFor {
				t.Fatalf("got shares %+v at the end of the time", b.head().VersionShares["m"])
			}
		}
		b.await(bundle.RolloutWatching, time.Second)
		if got := b.head().VersionShares["m"]; got != nil {
			t.Errorf("got shares %+v beside the bundle's, want none", got)
		}
		for addr, e := range b.engines {
			if got, want := e.orders, 1; got != want {
				t.Errorf("got %d orders to engine %s, want %d", got, addr, want)
			}
		}
		b.await(bundle.RolloutDone, time.Hour)
	})
}

func TestBadVersionIsTakenBackAndStaysOut(t *testing.T) {
	tests := []struct {
		name    string
		badFrom time.Duration
		kill    time.Duration // of the controller, after the version turned bad; zero for none
		slow    bool
	}{
		{"at once", 0, 0, false},
		{"slow at once", 0, 0, true},
		{"later", 3 * time.Minute, 0, false},
		{"slow in the watch", 6 * time.Minute, 0, true},
		{"in the watch", 6 * time.Minute, 0, false},
		{"controller dies at the first sign", 2 * time.Minute, time.Second, false},
		{"controller dies on the way", 2 * time.Minute, 5 * time.Second, false},
		{"controller dies about the verdict", 2 * time.Minute, 9 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if testing.Short() && tt.badFrom > 0 {
				t.Skip("under the race detector one case of a take-back is enough")
			}
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				defer b.close()
				b.slow = tt.slow
				time.Sleep(tt.badFrom)
				b.bad.Store(true)
				if tt.kill > 0 {
					time.Sleep(tt.kill)
					b.killController()
				}
				verdict := b.await(bundle.RolloutTakenBack, 5*time.Minute)
				time.Sleep(time.Minute)
				if got := b.lastNewAt().Sub(verdict); got > afterVerdict {
					t.Errorf("got a request to the bad version %s after the verdict, want none after %s", got, afterVerdict)
				}
				b.killController()
				time.Sleep(time.Minute)
				if got, want := b.head().Rollouts["m"].State, bundle.RolloutTakenBack; got != want {
					t.Errorf("got state %s after the controller's death, want %s", got, want)
				}
			})
		})
	}
}

// With the store down the verdict reaches the nodes directly, and the head when the store is back.
func TestVerdictHoldsWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.close()
		time.Sleep(150 * time.Second)
		b.store.SetOutage(fakeplatform.OutageRefuse)
		b.bad.Store(true)
		const limit = 90 * time.Second
		time.Sleep(limit)
		if got := time.Since(b.lastNewAt()); got < afterVerdict {
			t.Errorf("got a request to the bad version %s ago, %s after it turned bad, want none", got, limit)
		}
		b.store.SetOutage(fakeplatform.OutageNone)
		b.await(bundle.RolloutTakenBack, time.Minute)
	})
}

func TestGoodVersionIsDoneInTimeAfterAnOutage(t *testing.T) {
	for _, mode := range []fakeplatform.OutageMode{fakeplatform.OutageRefuse, fakeplatform.OutageSilent} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				defer b.close()
				time.Sleep(time.Minute)
				b.store.SetOutage(mode)
				time.Sleep(time.Minute)
				b.killController()
				b.store.SetOutage(fakeplatform.OutageNone)
				b.store.LoseAnswers(kvstore.KindCAS, 2)
				b.await(bundle.RolloutWatching, rolloutFor-2*time.Minute)
			})
		})
	}
}

package dispatch_test

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
	fake "ebonyferry/internal/fake/node"
	"ebonyferry/internal/run/dispatch"
)

// fakeStore is a store in memory.
type fakeStore struct {
	mu   sync.Mutex
	rev  kvstore.Revision
	keys map[string]kvstore.Entry
	down bool
}

func (s *fakeStore) Get(_ context.Context, key string) (kvstore.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return kvstore.Entry{}, kvstore.ErrUnavailable
	}
	e, ok := s.keys[key]
	if !ok {
		return kvstore.Entry{}, kvstore.ErrNotFound
	}
	return e, nil
}

func (s *fakeStore) List(context.Context, string) ([]kvstore.Entry, kvstore.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, kvstore.ErrUnavailable
	}
	var list []kvstore.Entry
	for _, e := range s.keys {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b kvstore.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return list, s.rev, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expected kvstore.Revision, value []byte, _ kvstore.LeaseID) (kvstore.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, kvstore.ErrUnavailable
	}
	if s.keys[key].Revision != expected {
		return 0, kvstore.ErrConflict
	}
	s.rev++
	s.keys[key] = kvstore.Entry{Key: key, Value: value, Revision: s.rev}
	return s.rev, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, _ kvstore.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.keys, key)
	return nil
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// pair is two nodes that use six servers in six failure domains.
type pair struct {
	network *fake.Network
	store   *fakeStore
	nodes   map[string]*dispatch.Dispatcher
	views   map[string]*membership.View
	ctx     context.Context
}

func startPair(t *testing.T) *pair {
	p := &pair{
		network: fake.NewNetwork(time.Millisecond),
		store:   &fakeStore{keys: make(map[string]kvstore.Entry)},
		nodes:   make(map[string]*dispatch.Dispatcher),
		views:   make(map[string]*membership.View),
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	p.ctx = ctx
	p.start("a")
	p.start("b")
	return p
}

func (p *pair) start(name string) {
	var all []membership.Node
	for i, n := range []string{"a", "b"} {
		all = append(all, membership.Node{Name: n, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)})
	}
	p.views[name] = &membership.View{Self: name, Nodes: all}
	d := dispatch.New(
		dispatch.WithNode(name),
		dispatch.WithEngines(func(netip.AddrPort) dispatch.Engine { return silentEngine{} }),
		dispatch.WithFleet(func() (int, int) { return 1, 0 }),
		dispatch.WithPeers(node.NewClient(node.Sender{Name: name}, node.WithHTTPClient(p.network.Client(name), "http")),
			func() *membership.View { return p.views[name] }),
		dispatch.WithVerdicts(p.store),
	)
	var servers []bundle.Server
	for _, id := range []string{"s1", "s2", "s3", "s4", "s5", "s6"} {
		srv := server(id, 4)
		srv.FailureDomain = id
		servers = append(servers, srv)
	}
	d.SetConfig(config(servers...))
	r := chi.NewRouter()
	d.Mount(r)
	p.network.Serve(name, all[slices.IndexFunc(all, func(n membership.Node) bool { return n.Name == name })].Addr, r)
	p.nodes[name] = d
	go d.Run(p.ctx)
}

const poison, harmless = 7, 8

func (p *pair) acquire(name string, fingerprint uint64) (caller.Slot, error) {
	return p.nodes[name].Acquire(p.ctx, caller.Work{Account: "x", Model: "m", PromptTokens: 10, MaxTokens: 50, Fingerprint: fingerprint})
}

// crash runs the request at a node until its server crashes.
func (p *pair) crash(t *testing.T, name string, fingerprint uint64) {
	t.Helper()
	slot, err := p.acquire(name, fingerprint)
	if err != nil {
		t.Fatal(err)
	}
	slot.Done(caller.OutcomeInterrupted)
	time.Sleep(2 * time.Second)
	synctest.Wait()
}

// reason returns why a node refuses the request, or an empty string if it runs it.
func (p *pair) reason(name string, fingerprint uint64) string {
	slot, err := p.acquire(name, fingerprint)
	var r *caller.Refusal
	if errors.As(err, &r) {
		return r.Reason
	}
	slot.Done(caller.OutcomeCanceled)
	return ""
}

func TestSecondCrashQuarantinesOnEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPair(t)
		bystander, err := p.acquire("a", harmless)
		if err != nil {
			t.Fatal(err)
		}
		p.crash(t, "a", poison)
		p.crash(t, "b", poison)
		bystander.Done(caller.OutcomeFinished)
		for _, name := range []string{"a", "b"} {
			if got, want := p.reason(name, poison), caller.ReasonQuarantined; got != want {
				t.Errorf("node %s, the crashing request: got refusal %q, want %q", name, got, want)
			}
			if got, want := p.reason(name, harmless), ""; got != want {
				t.Errorf("node %s, a harmless request: got refusal %q, want %q", name, got, want)
			}
		}
		p.release(t, "a")
		for _, name := range []string{"a", "b"} {
			if got, want := p.reason(name, poison), ""; got != want {
				t.Errorf("node %s after the release: got refusal %q, want %q", name, got, want)
			}
		}
	})
}

// release releases the only quarantined request, by an order to the named node.
func (p *pair) release(t *testing.T, name string) {
	t.Helper()
	list := p.nodes[name].Quarantined()
	if got, want := len(list), 1; got != want {
		t.Fatalf("verdicts at node %s: got %d, want %d", name, got, want)
	}
	if err := p.nodes[name].Release(p.ctx, list[0].Fingerprint, "ana"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	synctest.Wait()
}

func TestVerdictOutlivesStoreOutageAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPair(t)
		p.store.setDown(true)
		p.network.Cut("a", "b", true)
		p.crash(t, "a", poison)
		p.crash(t, "a", poison)
		if got, want := p.reason("b", poison), ""; got != want {
			t.Errorf("node that received no notice: got refusal %q, want %q", got, want)
		}
		p.store.setDown(false)
		time.Sleep(2 * time.Minute)
		p.start("b")
		time.Sleep(time.Second)
		if got, want := p.reason("b", poison), caller.ReasonQuarantined; got != want {
			t.Errorf("node after a restart: got refusal %q, want %q", got, want)
		}
	})
}

package mirror

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
)

// fakeStore holds keys in memory. Its watches wait for real time.
type fakeStore struct {
	mu       sync.Mutex
	items    map[string]kvstore.Entry
	changes  []kvstore.Change
	revision kvstore.Revision
	base     kvstore.Revision // history before it is gone
	news     chan struct{}
	watches  int
}

func newStore() *fakeStore {
	return &fakeStore{items: make(map[string]kvstore.Entry), revision: 10, base: 10, news: make(chan struct{})}
}

func (s *fakeStore) put(key, value string) {
	s.change(kvstore.Change{Entry: kvstore.Entry{Key: key, Value: []byte(value)}})
}

func (s *fakeStore) remove(key string) {
	s.change(kvstore.Change{Entry: kvstore.Entry{Key: key}, Deleted: true})
}

func (s *fakeStore) change(c kvstore.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	c.Revision = s.revision
	if c.Deleted {
		delete(s.items, c.Key)
	} else {
		s.items[c.Key] = c.Entry
	}
	s.changes = append(s.changes, c)
	close(s.news)
	s.news = make(chan struct{})
}

// Forgets the history.
func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.base, s.changes = s.revision, nil
}

func (s *fakeStore) watched() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

// door is one node's way to the store, which can be shut.
type door struct {
	*fakeStore
	mu     sync.Mutex
	shut   bool // calls fail
	silent bool // calls get no answer until ctx ends
}

func (d *door) state() (shut, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shut, d.silent
}

func (d *door) set(shut, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut, d.silent = shut, silent
}

const testWait = 120 * time.Millisecond

func (d *door) List(_ context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error) {
	if shut, silent := d.state(); shut || silent {
		return nil, 0, kvstore.ErrUnavailable
	}
	d.fakeStore.mu.Lock()
	defer d.fakeStore.mu.Unlock()
	var list []kvstore.Entry
	for _, e := range d.items {
		if strings.HasPrefix(e.Key, prefix) {
			list = append(list, e)
		}
	}
	return list, d.revision, nil
}

func (d *door) Watch(ctx context.Context, _ string, after kvstore.Revision) ([]kvstore.Change, kvstore.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, testWait)
	defer cancel()
	d.fakeStore.mu.Lock()
	d.watches++
	d.fakeStore.mu.Unlock()
	for {
		shut, silent := d.state()
		if shut {
			return nil, 0, kvstore.ErrUnavailable
		}
		d.fakeStore.mu.Lock()
		news, revision, base := d.news, d.revision, d.base
		var changes []kvstore.Change
		for _, c := range d.changes {
			if c.Revision > after {
				changes = append(changes, c)
			}
		}
		d.fakeStore.mu.Unlock()
		if silent {
			<-ctx.Done()
			return nil, 0, kvstore.ErrUnavailable
		}
		if after < base {
			return nil, 0, kvstore.ErrCompacted
		}
		if len(changes) > 0 {
			return changes, revision, nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return nil, revision, nil
		}
	}
}

// testTiming is DefaultTiming in tenths.
var testTiming = Timing{
	FollowWait: 140 * time.Millisecond, FollowSlack: 40 * time.Millisecond, MaxConfirmationAge: 180 * time.Millisecond,
	OutageThreshold: 350 * time.Millisecond, ExpiryWindow: 200 * time.Millisecond,
	RetryMin: 6 * time.Millisecond, RetryMax: 24 * time.Millisecond,
}

// plan says whom a node follows.
type plan struct {
	follow  []netip.AddrPort
	watcher bool
}

func (p *plan) Sources() ([]netip.AddrPort, bool) { return p.follow, p.watcher }

// testNode is a mirror with its listener.
type testNode struct {
	*Mirror
	door *door
	plan *plan
	addr netip.AddrPort

	wholes atomic.Int64 // whole lists sent to other nodes

	mu      sync.Mutex
	batches []Batch
}

// Passes an answer of the node's listener on, and counts it when it is a whole list.
func (n *testNode) countWholes(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		next.ServeHTTP(answer, r)
		if strings.Contains(answer.Body.String(), `"whole":true`) {
			n.wholes.Add(1)
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes()) // a follower that has left needs no answer
	})
}

func startNodes(t *testing.T, store *fakeStore, n int) []*testNode {
	t.Helper()
	nodes := make([]*testNode, n)
	for i := range nodes {
		nd := &testNode{door: &door{fakeStore: store}, plan: &plan{}}
		client := node.NewClient(node.Sender{Name: fmt.Sprint("node-", i)}, node.WithHTTPClient(&http.Client{}, "http"))
		nd.Mirror = New(nd.door, "", WithTiming(testTiming), WithPeers(nd.plan, client), WithApply(nd.note))
		router := chi.NewRouter()
		nd.Mount(router)
		server := httptest.NewServer(nd.countWholes(router))
		t.Cleanup(server.Close)
		nd.addr = netip.MustParseAddrPort(server.Listener.Addr().String())
		nodes[i] = nd
	}
	return nodes
}

func (n *testNode) note(b Batch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.batches = append(n.batches, b)
}

func (n *testNode) lastBatch() Batch {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.batches) == 0 {
		return Batch{}
	}
	return n.batches[len(n.batches)-1]
}

func run(t *testing.T, nodes ...*testNode) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, n := range nodes {
		group.Go(func() { _ = n.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); group.Wait() })
}

func (n *testNode) value(key string) string {
	list, _, _ := n.List(context.Background(), key)
	if len(list) == 0 {
		return ""
	}
	return string(list[0].Value)
}

// Waits until a key has a value at a node.
func (n *testNode) await(t *testing.T, key, want string, limit time.Duration) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for n.value(key) != want {
		if time.Now().After(deadline) {
			t.Fatalf("key %q after %v: got %q, want %q", key, limit, n.value(key), want)
		}
		time.Sleep(time.Millisecond)
	}
}

const patience = 5 * time.Second

func TestFollowersHearOfChangesWithoutCallsOfTheirOwn(t *testing.T) {
	store := newStore()
	store.put("config", "1")
	nodes := startNodes(t, store, 3)
	nodes[0].plan.watcher = true
	for _, n := range nodes[1:] {
		n.plan.follow = []netip.AddrPort{nodes[0].addr}
	}
	run(t, nodes...)
	for _, n := range nodes {
		n.await(t, "config", "1", patience)
	}
	time.Sleep(3 * testTiming.MaxConfirmationAge) // the followers have found their source
	nodes[1].door.set(true, false)
	nodes[2].door.set(true, false)
	before := store.watched()
	store.put("config", "2")
	for _, n := range nodes {
		n.await(t, "config", "2", patience)
	}
	if got, limit := store.watched()-before, 4; got > limit {
		t.Errorf("watches of the store for one change: got %d, want at most %d", got, limit)
	}
}

// Nodes that start at the same time read the list from the store, and do not have it sent by the watcher too. One that the
// store refuses has.
func TestStartingNodesReadTheStore(t *testing.T) {
	store := newStore()
	store.put("config", "1")
	nodes := startNodes(t, store, 9)
	nodes[0].plan.watcher = true
	for _, n := range nodes[1:] {
		n.plan.follow = []netip.AddrPort{nodes[0].addr}
	}
	run(t, nodes[0])
	nodes[0].await(t, "config", "1", patience)
	refused := nodes[8]
	refused.door.set(true, false)
	run(t, nodes[1:]...)
	for _, n := range nodes[1:] {
		n.await(t, "config", "1", patience)
	}
	time.Sleep(testTiming.MaxConfirmationAge)
	if got, want := nodes[0].wholes.Load(), int64(1); got != want {
		t.Errorf("whole lists sent by the watcher: got %d, want %d, for the node that the store refuses", got, want)
	}
}

// The store may refuse every node that watches it, with or without an answer. The others then watch for themselves
// within the time in which a change has to be in force.
func TestFollowersWatchWhenTheWatchersAreCutOff(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent %v", silent), func(t *testing.T) {
			store := newStore()
			store.put("config", "1")
			nodes := startNodes(t, store, 3)
			nodes[0].plan.watcher, nodes[1].plan.watcher = true, true
			nodes[0].plan.follow = []netip.AddrPort{nodes[1].addr}
			nodes[1].plan.follow = []netip.AddrPort{nodes[0].addr}
			nodes[2].plan.follow = []netip.AddrPort{nodes[0].addr, nodes[1].addr}
			run(t, nodes...)
			for _, n := range nodes {
				n.await(t, "config", "1", patience)
			}
			time.Sleep(3 * testTiming.MaxConfirmationAge)
			nodes[0].door.set(!silent, silent)
			nodes[1].door.set(!silent, silent)
			start := time.Now()
			store.put("config", "2")
			nodes[2].await(t, "config", "2", patience)
			if got, limit := time.Since(start), 2*testTiming.MaxConfirmationAge; got > limit {
				t.Errorf("a follower heard of the change after %v, want at most %v", got, limit)
			}
		})
	}
}

// A watcher that the store refuses hears of changes from the node that it follows.
func TestRefusedWatcherFollowsAnotherNode(t *testing.T) {
	store := newStore()
	store.put("config", "1")
	nodes := startNodes(t, store, 2)
	nodes[0].plan.watcher, nodes[1].plan.watcher = true, true
	nodes[0].plan.follow = []netip.AddrPort{nodes[1].addr}
	nodes[1].plan.follow = []netip.AddrPort{nodes[0].addr}
	nodes[1].door.set(true, false)
	run(t, nodes...)
	nodes[1].await(t, "config", "1", patience)
	store.put("config", "2")
	nodes[1].await(t, "config", "2", patience)
}

func TestCompactedHistoryIsReadAnew(t *testing.T) {
	store := newStore()
	store.put("servers/a", "1")
	store.put("servers/b", "1")
	nodes := startNodes(t, store, 1)
	nodes[0].plan.watcher = true
	run(t, nodes...)
	nodes[0].await(t, "servers/a", "1", patience)
	nodes[0].door.set(true, false)
	time.Sleep(2 * testWait)
	store.remove("servers/a")
	store.put("servers/b", "2")
	store.compact()
	nodes[0].door.set(false, false)
	nodes[0].await(t, "servers/b", "2", patience)
	if got := nodes[0].value("servers/a"); got != "" {
		t.Errorf("removed key: got value %q, want none", got)
	}
}

// Removals that a node hears of right after an outage may be entries that lapsed meanwhile, others may not.
func TestRemovalsAfterAnOutageAreMarked(t *testing.T) {
	store := newStore()
	store.put("servers/a", "1")
	store.put("servers/b", "1")
	nodes := startNodes(t, store, 1)
	nodes[0].plan.watcher = true
	run(t, nodes...)
	nodes[0].await(t, "servers/b", "1", patience)
	store.remove("servers/a")
	nodes[0].await(t, "servers/a", "", patience)
	if nodes[0].lastBatch().AfterOutage {
		t.Errorf("removal while the store was in reach is marked as after an outage")
	}
	nodes[0].door.set(true, false)
	time.Sleep(testTiming.OutageThreshold + testWait)
	store.remove("servers/b")
	nodes[0].door.set(false, false)
	nodes[0].await(t, "servers/b", "", patience)
	if !nodes[0].lastBatch().AfterOutage {
		t.Errorf("removal after an outage is not marked")
	}
}

// A node never takes an older view than the one that it holds.
func TestOlderViewsAreIgnored(t *testing.T) {
	m := New(nil, "")
	now := time.Now()
	m.replace([]kvstore.Entry{{Key: "config", Value: []byte("7"), Revision: 7}}, 9, now)
	m.replace([]kvstore.Entry{{Key: "config", Value: []byte("5"), Revision: 5}}, 6, now)
	m.take([]kvstore.Change{{Entry: kvstore.Entry{Key: "config", Value: []byte("4"), Revision: 4}}}, 9, now)
	m.take([]kvstore.Change{{Entry: kvstore.Entry{Key: "config", Revision: 8}, Deleted: true}}, 8, now)
	list, revision, err := m.List(context.Background(), "config")
	if err != nil || revision != 9 || len(list) != 1 || string(list[0].Value) != "7" {
		t.Errorf("got %v at revision %d, error %v; want value 7 at 9", list, revision, err)
	}
}

func TestLocalReadsBehaveAsTheStore(t *testing.T) {
	m := New(nil, "")
	ctx := context.Background()
	if _, _, err := m.List(ctx, ""); !errors.Is(err, kvstore.ErrUnavailable) {
		t.Errorf("list of an empty mirror: got %v, want %v", err, kvstore.ErrUnavailable)
	}
	m.replace([]kvstore.Entry{{Key: "a/1", Revision: 3}, {Key: "b/1", Revision: 4}}, 5, time.Now())
	if _, _, err := m.Watch(ctx, "", 4); !errors.Is(err, kvstore.ErrCompacted) {
		t.Errorf("watch of what is not kept: got %v, want %v", err, kvstore.ErrCompacted)
	}
	go m.take([]kvstore.Change{
		{Entry: kvstore.Entry{Key: "b/1", Revision: 6}, Deleted: true}, {Entry: kvstore.Entry{Key: "a/2", Revision: 7}},
	}, 7, time.Now())
	changes, revision, err := m.Watch(ctx, "a/", 5)
	keys := slices.Collect(func(yield func(string) bool) {
		for _, c := range changes {
			if !yield(c.Key) {
				return
			}
		}
	})
	if want := []string{"a/2"}; err != nil || revision != 7 || !slices.Equal(keys, want) {
		t.Errorf("watch: got %v at %d, error %v; want %v at 7", keys, revision, err, want)
	}
}

// Nodes that follow each other must not wake each other without end: each message makes the word of the store look a
// little later than it was.
func TestFollowersOfEachOtherRest(t *testing.T) {
	store := newStore()
	store.put("config", "1")
	nodes := startNodes(t, store, 2)
	for i, n := range nodes {
		n.plan.watcher = true
		n.plan.follow = []netip.AddrPort{nodes[1-i].addr}
	}
	run(t, nodes...)
	nodes[1].await(t, "config", "1", patience)
	const span = 500 * time.Millisecond
	time.Sleep(span)
	calls := 0
	for _, n := range nodes {
		for _, c := range n.client.Traffic.Counts() {
			calls += c.Calls
		}
	}
	if limit := 2 * 2 * int(span/testWait) * 2; calls > limit {
		t.Errorf("messages in %v: got %d, want at most %d", span, calls, limit)
	}
}

// The load pattern of a storm of changes to one large key: a node that was behind gets the last one only.
func TestStormOfChangesIsRelayedOnce(t *testing.T) {
	m := New(nil, "")
	m.replace(nil, 1, time.Now())
	for r := kvstore.Revision(2); r < 50; r++ {
		m.take([]kvstore.Change{{Entry: kvstore.Entry{Key: "config", Value: make([]byte, 1000), Revision: r}}}, r, time.Now())
	}
	m.take([]kvstore.Change{
		{Entry: kvstore.Entry{Key: "a", Revision: 50}}, {Entry: kvstore.Entry{Key: "a", Revision: 51}, Deleted: true},
	}, 51, time.Now())
	changes, _, err := m.Watch(context.Background(), "", 1)
	if err != nil || len(changes) != 2 || changes[0].Revision != 49 || !changes[1].Deleted {
		t.Errorf("got %d changes, %v; want the last of each of two keys", len(changes), err)
	}
}

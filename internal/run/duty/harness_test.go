package duty

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/duty"
	"ebonyferry/internal/core/scaling"
	"ebonyferry/internal/core/truetime"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
	"ebonyferry/internal/run/mirror"
)

// world is a store, a platform and nodes in virtual time, with their faults.
type world struct {
	t        *testing.T
	mu       sync.Mutex
	nodes    map[string]*testNode
	order    []string // of the candidates
	entries  map[string]kvstore.Entry
	leases   map[kvstore.LeaseID]*testLease
	revision uint64
	era      kvstore.Era
	began    time.Time
	down     bool // the store
	lose     int  // answers of the store to lose, of writes that take effect
	calls    int  // to the store
	truth    map[uint64]duty.Counts
	platform testPlatform
	running  float64                       // demand of placed requests
	waiting  map[string]map[string]float64 // of waiting ones, by node and service
	servers  map[string]int                // by failure domain
	held     []duty.Kind
}

type testLease struct {
	ttl time.Duration
	end time.Time
}

// testPlatform takes reports and remembers them.
type testPlatform struct {
	down   bool
	lose   int // answers to lose, of calls that take effect
	calls  []platformCall
	orders []platformOrder
}

type platformOrder struct {
	term  duty.Term
	order duty.Order
	at    time.Time
}

type platformCall struct {
	term   duty.Term
	report duty.Report
	at     time.Time
}

// testNode is a node of a world.
type testNode struct {
	*Service
	w      *world
	name   string
	router chi.Router
	end    context.CancelFunc
	dead   bool
	gone   bool          // not in the fleet's list any more
	cut    bool          // from the store and all nodes
	paused time.Time     // until
	step   time.Duration // by which the wall clock was set forward
	lines  *lines
}

// lines keeps log lines.
type lines struct {
	mu      sync.Mutex
	entries []*log.Entry
}

// HandleLog implements log.Handler.
func (l *lines) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	return nil
}

func (l *lines) all() []*log.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries)
}

const (
	testTTL    = 3 * time.Second
	testWindow = 5 * time.Second
	testDue    = 10 * time.Second
)

func newWorld(t *testing.T, candidates ...string) *world {
	w := &world{
		t: t, began: time.Now(), order: candidates, nodes: make(map[string]*testNode), entries: make(map[string]kvstore.Entry),
		leases: make(map[kvstore.LeaseID]*testLease), truth: make(map[uint64]duty.Counts),
		waiting: make(map[string]map[string]float64), servers: map[string]int{"x": 2, "y": 2}, held: []duty.Kind{duty.Usage},
	}
	return w
}

// start starts a node, or starts it again as another process.
func (w *world) start(name string) *testNode {
	return w.startNode(&testNode{w: w, name: name})
}

func (w *world) startNode(n *testNode) *testNode {
	name := n.name
	n.router, n.lines = chi.NewRouter(), new(lines)
	peers := node.NewClient(node.Sender{Name: name}, node.WithHTTPClient(&http.Client{Transport: n}, "http"))
	cfg := Config{Self: name, Held: w.held, CallsPerSecond: 50, LeaseTTL: testTTL, Window: testWindow, Due: testDue, Tolerance: 0.05}
	n.Service = New(cfg, n, n, n, n, peers, WithLog(&log.Logger{Handler: n.lines, Level: log.DebugLevel}), WithClocks(n.clocks), WithDemands(n.demand, n.waitingDemand))
	n.Mount(n.router)
	ctx, cancel := context.WithCancel(w.t.Context())
	n.end = cancel
	w.mu.Lock()
	w.nodes[name] = n
	w.mu.Unlock()
	go func() { _ = n.Run(ctx) }()
	return n
}

// kill ends a node's process. The other nodes list it for goneAfter more.
func (w *world) kill(name string, goneAfter time.Duration) {
	w.mu.Lock()
	n := w.nodes[name]
	n.dead = true
	w.mu.Unlock()
	n.end()
	time.AfterFunc(goneAfter, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		n.gone = true
	})
}

// set changes faults.
func (w *world) set(fn func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fn()
}

// run lets requests begin at all live nodes for a time, ten a second at each.
func (w *world) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
			n := w.nodes[name]
			if n.dead || time.Now().Before(n.paused) {
				continue
			}
			account := []string{"huka", "puhu"}[int(time.Now().UnixMilli()/100)%2]
			n.Count(account, time.Now())
			k := n.windows.At(time.Now())
			if w.truth[k] == nil {
				w.truth[k] = make(duty.Counts)
			}
			w.truth[k][account]++
		}
	}
}

// check checks the rules that hold whatever fails, and that the windows before the last ones were reported, if they must be: all counts
// within off of the truth, late ones included.
func (w *world) check(off float64, missing int) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	first := make(map[uint64]duty.Counts)
	token, holder := uint64(0), ""
	for _, c := range w.platform.calls {
		if c.term.Token < token || c.term.Token == token && c.term.Holder != holder {
			w.t.Errorf("call of %s with token %d after %s with %d", c.term.Holder, c.term.Token, holder, token)
		}
		token, holder = c.term.Token, c.term.Holder
		if before, ok := first[c.report.Window]; ok && !maps.Equal(before, c.report.Counts) {
			w.t.Errorf("window %d: two reports, %v and %v", c.report.Window, before, c.report.Counts)
		}
		first[c.report.Window] = c.report.Counts
	}
	last := duty.Windows{Length: testWindow}.At(time.Now()) - 2
	absent := 0
	for k, want := range w.truth {
		got, ok := first[k]
		if !ok && k <= last {
			absent++
			w.t.Logf("window %d was not reported", k)
		}
		for account, n := range want {
			if ok && (float64(got[account]) < (1-off)*float64(n) || float64(got[account]) > (1+off)*float64(n)) {
				w.t.Errorf("window %d: account %s: got %d, want %d", k, account, got[account], n)
			}
		}
	}
	if absent > missing {
		w.t.Errorf("%d windows were not reported, want at most %d", absent, missing)
	}
}

// lateness returns how long after the end of its window each report arrived first.
func (w *world) lateness() map[uint64]time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[uint64]time.Duration)
	for _, c := range w.platform.calls {
		if _, ok := out[c.report.Window]; !ok {
			out[c.report.Window] = c.at.Sub(duty.Windows{Length: testWindow}.End(c.report.Window))
		}
	}
	return out
}

// holder returns the node that may act, or nil.
func (w *world) holder() *testNode {
	for _, n := range w.nodes {
		if !n.dead && n.Acting(duty.Usage) {
			return n
		}
	}
	return nil
}

// reports returns the calls that the platform took.
func (w *world) reports() []platformCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.platform.calls)
}

// until waits until a condition holds, while requests begin.
func (w *world) until(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); {
		if time.Now().After(end) {
			w.t.Fatalf("not within a minute: %s", what)
		}
		w.run(100 * time.Millisecond)
	}
}

func (n *testNode) clocks() truetime.Reading {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return truetime.Reading{Wall: time.Now().Round(0).Add(n.step), Mono: time.Since(n.w.began)}
}

// wait waits while the node is paused, and returns an error if it does not reach the store.
func (n *testNode) wait() error {
	n.w.mu.Lock()
	until := n.paused
	n.w.mu.Unlock()
	time.Sleep(time.Until(until))
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.w.down || n.cut {
		return kvstore.ErrUnavailable
	}
	return nil
}

// expire removes the store's leases that have ended, with their entries. The caller holds mu.
func (w *world) expire() {
	for id, l := range w.leases {
		if time.Now().After(l.end) {
			w.dropLease(id)
		}
	}
}

func (w *world) dropLease(id kvstore.LeaseID) {
	delete(w.leases, id)
	for key, e := range w.entries {
		if e.Lease == id {
			w.revision++
			delete(w.entries, key)
		}
	}
}

// storeCall runs one call to the store. Answers of writes can be lost.
func storeCall[T any](n *testNode, writes bool, fn func(w *world) (T, error)) (T, error) {
	var none T
	if err := n.wait(); err != nil {
		return none, err
	}
	w := n.w
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	w.expire()
	out, err := fn(w)
	if err == nil && writes && w.lose > 0 {
		w.lose--
		return none, kvstore.ErrOutcomeUnknown
	}
	return out, err
}

func (n *testNode) Get(_ context.Context, key string) (kvstore.Entry, error) {
	return storeCall(n, false, func(w *world) (kvstore.Entry, error) {
		e, ok := w.entries[key]
		if !ok {
			return e, kvstore.ErrNotFound
		}
		return e, nil
	})
}

func (n *testNode) CompareAndSwap(_ context.Context, key string, expected kvstore.Revision, value []byte, lease kvstore.LeaseID) (kvstore.Revision, error) {
	return storeCall(n, true, func(w *world) (kvstore.Revision, error) {
		if w.entries[key].Revision != expected || expected != 0 && expected.Era() != w.era {
			return 0, kvstore.ErrConflict
		}
		if lease != 0 && w.leases[lease] == nil {
			return 0, kvstore.ErrLeaseExpired
		}
		w.revision++
		e := kvstore.Entry{Key: key, Value: value, Revision: kvstore.RevisionAt(w.era, w.revision), Lease: lease}
		w.entries[key] = e
		return e.Revision, nil
	})
}

func (n *testNode) GrantLease(_ context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	return storeCall(n, true, func(w *world) (kvstore.LeaseID, error) {
		w.revision++
		id := kvstore.LeaseID(w.revision)
		w.leases[id] = &testLease{ttl, time.Now().Add(ttl)}
		return id, nil
	})
}

func (n *testNode) KeepAlive(_ context.Context, id kvstore.LeaseID) (time.Duration, error) {
	return storeCall(n, true, func(w *world) (time.Duration, error) {
		l := w.leases[id]
		if l == nil {
			return 0, kvstore.ErrLeaseExpired
		}
		l.end = time.Now().Add(l.ttl)
		return l.ttl, nil
	})
}

func (n *testNode) RevokeLease(_ context.Context, id kvstore.LeaseID) error {
	_, err := storeCall(n, true, func(w *world) (struct{}, error) {
		w.dropLease(id)
		return struct{}{}, nil
	})
	return err
}

func (n *testNode) Era() kvstore.Era {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.w.era
}

// State implements Mirror: a node's copy is the store's data, also while the store is down.
func (n *testNode) State() mirror.State {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.w.expire()
	return mirror.State{Revision: kvstore.RevisionAt(n.w.era, n.w.revision)}
}

func (n *testNode) Lookup(_ context.Context, key string) (kvstore.Entry, bool, error) {
	if err := n.wait(); err != nil {
		return kvstore.Entry{}, false, err
	}
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	e, ok := n.w.entries[key]
	return e, ok, nil
}

func (n *testNode) peer(name string) Peer {
	addr := slices.Sorted(maps.Keys(n.w.nodes))
	return Peer{Name: name, Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1+slices.Index(addr, name)))}
}

func (n *testNode) Candidates() []Peer {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	var list []Peer
	for _, name := range n.w.order {
		if other := n.w.nodes[name]; other != nil && !other.gone && len(list) < 2 {
			list = append(list, n.peer(name))
		}
	}
	return list
}

func (n *testNode) Nodes() []Peer {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	var list []Peer
	for _, name := range slices.Sorted(maps.Keys(n.w.nodes)) {
		if !n.w.nodes[name].gone {
			list = append(list, n.peer(name))
		}
	}
	return list
}

// RoundTrip delivers a message to another node.
func (n *testNode) RoundTrip(r *http.Request) (*http.Response, error) {
	n.w.mu.Lock()
	var to *testNode
	for name, other := range n.w.nodes {
		if n.peer(name).Addr.String() == r.URL.Host {
			to = other
		}
	}
	lost := to == nil || to.dead || to.cut || n.cut
	n.w.mu.Unlock()
	if lost {
		return nil, errors.New("no route")
	}
	rec := httptest.NewRecorder()
	to.router.ServeHTTP(rec, r)
	return rec.Result(), nil
}

func (n *testNode) ReportUsage(ctx context.Context, t duty.Term, r duty.Report) error {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	p := &n.w.platform
	if p.down || ctx.Err() != nil {
		return errors.New("platform does not answer")
	}
	p.calls = append(p.calls, platformCall{t, duty.Report{Window: r.Window, Counts: maps.Clone(r.Counts)}, time.Now()})
	if p.lose > 0 {
		p.lose--
		return errors.New("answer is lost")
	}
	return nil
}

// OrderServers takes an order, whose servers serve at once.
func (n *testNode) OrderServers(ctx context.Context, t duty.Term, o duty.Order) error {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.w.platform.down || ctx.Err() != nil {
		return errors.New("platform does not answer")
	}
	n.w.platform.orders = append(n.w.platform.orders, platformOrder{t, o, time.Now()})
	n.w.servers[o.Domain] = o.Servers
	return nil
}

// demand is what the nodes of a world know of one service.
func (n *testNode) demand() []Demand {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return []Demand{{Service: "s", Limits: scaling.Limits{Min: 1, Max: 9, Boot: 2 * time.Second}, Running: n.w.running, Servers: maps.Clone(n.w.servers)}}
}

func (n *testNode) waitingDemand() map[string]float64 {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.w.waiting[n.name]
}

// logged returns the number of lines of an event.
func (n *testNode) logged(name string) int {
	count := 0
	for _, e := range n.lines.all() {
		if e.Message == name {
			count++
		}
	}
	return count
}

func (n *testNode) String() string { return fmt.Sprintf("node %s", n.name) }

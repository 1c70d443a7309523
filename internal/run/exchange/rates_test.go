package exchange

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/edge/node"
)

// arrival is one request at a server.
type arrival struct {
	at      time.Time
	node    int
	knowing bool // the node had passed on an answer that named a rate, half a second before or earlier
}

// limitedServers are servers that name rates. They implement Upstream through upstreamOf.
type limitedServers struct {
	work time.Duration

	mu       sync.Mutex
	rate     map[string]float64 // named now, by server
	arrivals map[string][]arrival
	opened   int                          // streams
	passed   map[string]map[int]time.Time // when a node first passed on an answer that named a rate, by server
}

func newLimitedServers(work time.Duration) *limitedServers {
	return &limitedServers{
		work: work, rate: make(map[string]float64), arrivals: make(map[string][]arrival), passed: make(map[string]map[int]time.Time),
	}
}

// name makes a server name a rate, or none if it is 0.
func (s *limitedServers) name(server string, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate[server] = perSecond
}

// knowingDelay is how long after its first answer with a rate a node counts.
const knowingDelay = 500 * time.Millisecond

// breaks reports whether the next stream breaks off; every third one does.
func (s *limitedServers) breaks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened++
	return s.opened%3 == 0
}

func (s *limitedServers) arrive(server string, at int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	first, ok := s.passed[server][at]
	s.arrivals[server] = append(s.arrivals[server], arrival{at: now, node: at, knowing: ok && now.Sub(first) >= knowingDelay})
}

// answer names the rate to a node.
func (s *limitedServers) answer(server string, at int, req *Admitted, srv backend.Server, sentAt time.Time) {
	s.mu.Lock()
	perSecond := s.rate[server]
	if _, ok := s.passed[server][at]; perSecond > 0 && !ok {
		if s.passed[server] == nil {
			s.passed[server] = make(map[int]time.Time)
		}
		s.passed[server][at] = time.Now()
	}
	s.mu.Unlock()
	req.RecordRate(srv, perSecond, sentAt)
}

// rateWindow is the window to which the platform's bound on a named rate applies.
const rateWindow = 4 * time.Second

// worstExcess returns the largest number of requests from knowing nodes at a server in a window between two times, beyond what
// the platform allows at a rate.
func (s *limitedServers) worstExcess(server string, perSecond float64, from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed := int(1.5*perSecond*rateWindow.Seconds()) + 5
	worst := -allowed
	var window []time.Time
	for _, a := range s.arrivals[server] {
		if a.at.Before(from) || a.at.After(to) || !a.knowing {
			continue
		}
		window = append(window, a.at)
		for a.at.Sub(window[0]) > rateWindow {
			window = window[1:]
		}
		worst = max(worst, len(window)-allowed)
	}
	return worst
}

func (s *limitedServers) count(server string, from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.arrivals[server] {
		if !a.at.Before(from) && a.at.Before(to) {
			n++
		}
	}
	return n
}

// upstreamOf is the upstream of one node.
type upstreamOf struct {
	*limitedServers
	node int
}

func (u upstreamOf) Call(ctx context.Context, srv backend.Server, req *Admitted) (Answer, error) {
	sentAt := time.Now()
	u.arrive(srv.ID, u.node)
	select {
	case <-time.After(u.work):
	case <-ctx.Done():
		return Answer{}, ErrUnknown
	}
	u.answer(srv.ID, u.node, req, srv, sentAt)
	return Answer{Status: http.StatusOK}, nil
}

func (u upstreamOf) Open(_ context.Context, srv backend.Server, req *Admitted, opts OpenOptions) (Events, *Answer, error) {
	u.arrive(srv.ID, u.node)
	u.answer(srv.ID, u.node, req, srv, time.Now())
	if opts.From.Handle == "" && u.breaks() {
		return newFakeEvents(0, 40, errCut), nil, nil
	}
	return newFakeEvents(40, 60, io.EOF), nil, nil
}

func (u upstreamOf) Copy(_ context.Context, from, _ backend.Server, _ string, _ bool) (string, error) {
	u.arrive(from.ID, u.node)
	return "handle", nil
}

func (u upstreamOf) Report(_ context.Context, srv backend.Server) (ServerReport, error) {
	u.arrive(srv.ID, u.node)
	return ServerReport{}, nil
}

// startLimitedFleet starts nodes that share servers of the plain service.
func startLimitedFleet(ctx context.Context, nodes int, servers *limitedServers, ids ...string) *fakeFleet {
	f := &fakeFleet{nodes: make([]*Runtime, nodes), handlers: make(map[string]http.Handler), stopped: make(map[string]bool)}
	for i := range nodes {
		rt := New(domainOf(i), upstreamOf{servers, i}, fleetMember{f, i}, WithLog(discardLog()))
		rt.SetConfig(testConfig())
		rt.UpdatePool(func(p *backend.Pool) {
			for j, id := range ids {
				srv := testServer(id)
				srv.Domain, srv.Addr = serverDomain(j), netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, 1}), uint16(j+1))
				p.Put(srv)
			}
		})
		router := chi.NewRouter()
		rt.Mount(router)
		f.nodes[i], f.handlers[nodeAddr(i).String()] = rt, router
	}
	for i, rt := range f.nodes {
		client := node.NewClient(node.Sender{Name: nodeName(i)}, node.WithHTTPClient(&http.Client{Transport: f}, "http"))
		go func() { _ = rt.BroadcastLoads(ctx, client) }()
		go func() { _ = rt.Run(ctx) }()
	}
	return f
}

// limitedLoad sends calls at a rate until a time, from nodes with uneven demand: the first tenth of them sends half.
type limitedLoad struct {
	fleet *fakeFleet
	rnd   *rand.Rand
	rate  float64 // calls a second

	mu                    sync.Mutex
	sent                  int
	served                int
	held                  []time.Duration // of refused calls
	after                 []time.Duration // retry times of refused calls
	returned, servedLater int             // callers that came back, and those of them that were served

	retrying bool // refused callers come back once, when they are told to
}

func (l *limitedLoad) pick() int {
	nodes := len(l.fleet.nodes)
	if busy := (nodes + 9) / 10; l.rnd.IntN(2) == 0 {
		return l.rnd.IntN(busy)
	}
	return l.rnd.IntN(nodes)
}

// run sends repeatable and other calls.
func (l *limitedLoad) run(t *testing.T, ctx context.Context, until time.Time) {
	t.Helper()
	l.runPath(ctx, "", until)
}

// runPath sends requests for one path, or calls of both kinds if it is empty.
func (l *limitedLoad) runPath(ctx context.Context, path string, until time.Time) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for time.Now().Before(until) {
		time.Sleep(time.Duration(l.rnd.ExpFloat64() / l.rate * float64(time.Second)))
		at, path := l.pick(), path
		if path == "" {
			path = "/look/x"
			if l.rnd.IntN(3) == 0 {
				path = "/book/x"
			}
		}
		l.mu.Lock()
		l.sent++
		n := l.sent
		l.mu.Unlock()
		calls.Go(func() { l.call(ctx, at, path, fmt.Sprintf("r%d-%d", time.Now().UnixMicro(), n), l.retrying) })
	}
}

func (l *limitedLoad) call(ctx context.Context, at int, path, id string, again bool) {
	req, w := testRequest(path), new(fakeResponder)
	req.ID = id
	res := l.fleet.nodes[at].Serve(ctx, req, w)
	if res.Reason == "" {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.served++
		if strings.HasSuffix(id, "'") {
			l.servedLater++
		}
		return
	}
	l.mu.Lock()
	l.held = append(l.held, time.Since(req.Arrived))
	after := time.Duration(0)
	if w.refusal != nil {
		after = w.refusal.RetryAfter
		l.after = append(l.after, after)
	}
	l.mu.Unlock()
	if again && after > 0 {
		time.Sleep(after)
		l.mu.Lock()
		l.returned++
		l.mu.Unlock()
		l.call(ctx, at, path, id+"'", false)
	}
}

// Servers that named a rate get no more than the platform allows, over all nodes, however the demand is spread, while
// callers are served by the servers that have room.
func TestServersGetTheRateThatTheyNamed(t *testing.T) {
	tests := []struct {
		name  string
		nodes int
		rates []float64 // named by the servers; 0 is none
		load  float64
	}{
		{"8 nodes, two of three servers", 8, []float64{4.5, 4, 0}, 40},
		{"8 nodes, all servers", 8, []float64{4.5, 4, 6}, 60},
		{"8 nodes, higher rates", 8, []float64{25, 40, 0}, 120},
		{"195 nodes, one of three servers", 195, []float64{4, 0, 0}, 60},
		{"195 nodes, all servers", 195, []float64{4, 5, 3}, 120},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(2 * time.Second) // lets the nodes stop
				defer cancel()
				servers := newLimitedServers(60 * time.Millisecond)
				ids := []string{"d0", "d1", "d2"}
				f := startLimitedFleet(ctx, tt.nodes, servers, ids...)
				load := &limitedLoad{fleet: f, rnd: rand.New(rand.NewPCG(7, 7)), rate: tt.load}
				load.run(t, ctx, time.Now().Add(2*time.Second))
				for i, id := range ids {
					servers.name(id, tt.rates[i])
				}
				named := time.Now()
				load.sent, load.served, load.held = 0, 0, nil
				load.run(t, ctx, named.Add(16*time.Second))
				checkRates(t, servers, ids, tt.rates, named.Add(3*time.Second))
				wantServed := load.sent // by the servers without a limit
				if !slices.Contains(tt.rates, 0) {
					// The rates allow this many, of which nodes that leave permits unused may lose a third.
					wantServed = int(2.0 / 3 * 16 * (tt.rates[0] + tt.rates[1] + tt.rates[2]))
				}
				if got, want := load.served, int(0.97*float64(wantServed)); got < want {
					t.Errorf("served calls: got %d of %d, want at least %d", got, load.sent, want)
				}
			})
		})
	}
}

// checkRates checks the requests at all servers from a time on.
func checkRates(t *testing.T, servers *limitedServers, ids []string, rates []float64, from time.Time) {
	t.Helper()
	now := time.Now()
	for i, id := range ids {
		if rates[i] == 0 {
			continue
		}
		seconds := now.Sub(from).Seconds()
		t.Logf("%s: %.1f requests a second, %.1f named", id, float64(servers.count(id, from, now))/seconds, rates[i])
		if over := servers.worstExcess(id, rates[i], from, now); over > 0 {
			t.Errorf("requests at %s in %v beyond what a rate of %v allows: got %d, want none", id, rateWindow, rates[i], over)
		}
	}
}

// limitedTest runs a test on a fleet before three servers, all of which name the rates once the load has begun.
func limitedTest(t *testing.T, nodes int, rates []float64, load float64, fn func(ctx context.Context, l *limitedLoad, servers *limitedServers)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(2 * time.Second) // lets the nodes stop
		defer cancel()
		servers := newLimitedServers(60 * time.Millisecond)
		l := &limitedLoad{fleet: startLimitedFleet(ctx, nodes, servers, limitedIDs...), rnd: rand.New(rand.NewPCG(7, 7)), rate: load}
		l.run(t, ctx, time.Now().Add(time.Second))
		for i, id := range limitedIDs {
			servers.name(id, rates[i])
		}
		l.run(t, ctx, time.Now().Add(3*time.Second))
		l.sent, l.served, l.held, l.after = 0, 0, nil, nil
		fn(ctx, l, servers)
	})
}

var limitedIDs = []string{"d0", "d1", "d2"}

// Callers for whom no rate has room are refused at once or wait no longer than a call may, and get a retry time.
func TestCallersBeyondTheRatesAreRefusedAtOnce(t *testing.T) {
	limitedTest(t, 8, []float64{4, 4, 4}, 60, func(ctx context.Context, l *limitedLoad, _ *limitedServers) {
		l.run(t, ctx, time.Now().Add(8*time.Second))
		atOnce := 0
		for _, d := range l.held {
			if d < 20*time.Millisecond {
				atOnce++
			}
			if limit := 150 * time.Millisecond; d > limit {
				t.Fatalf("refused after %v, want at most %v", d, limit)
			}
		}
		if got, want := float64(atOnce)/float64(len(l.held)), 0.8; got < want {
			t.Errorf("refused at once: got %.2f of %d, want at least %.2f", got, len(l.held), want)
		}
		for _, d := range l.after {
			if d <= 0 {
				t.Fatal("refused without a retry time")
			}
		}
		if got, want := len(l.after), len(l.held); got != want {
			t.Errorf("refusals with a retry time: got %d, want %d", got, want)
		}
	})
}

// Most callers that return at their retry time are served, after bursts beyond what the rates allow.
func TestCallersReturnInTurn(t *testing.T) {
	limitedTest(t, 8, []float64{4, 4, 4}, 8, func(ctx context.Context, l *limitedLoad, _ *limitedServers) {
		l.rate = 40
		l.retrying = true
		for range 10 {
			l.run(t, ctx, time.Now().Add(500*time.Millisecond))
			time.Sleep(3 * time.Second)
		}
		if got, want := float64(l.servedLater)/float64(l.returned), 0.5; got < want {
			t.Errorf("served after their return: got %.2f of %d, want at least %.2f", got, l.returned, want)
		}
		t.Logf("served after their return: %d of %d", l.servedLater, l.returned)
	})
}

// Issuers stop, nodes take over, and the servers still get no more than they named.
func TestRatesHoldWhileIssuersFail(t *testing.T) {
	for _, nodes := range []int{8, 40} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			rates := []float64{4, 8, 30}
			limitedTest(t, nodes, rates, 90, func(ctx context.Context, l *limitedLoad, servers *limitedServers) {
				from := time.Now()
				for i := range 2 {
					for _, id := range limitedIDs {
						l.fleet.stopIssuer(id, i)
					}
					l.run(t, ctx, time.Now().Add(6*time.Second))
				}
				checkRates(t, servers, limitedIDs, rates, from)
				if got, want := servers.count("d2", time.Now().Add(-4*time.Second), time.Now()), 4*30/4; got < want {
					t.Errorf("requests in 4s at a server with 30 a second, after two issuers stopped: got %d, want at least %d", got, want)
				}
			})
		})
	}
}

// stopIssuer stops the node with index i of those that issue permits of a server. Others cannot reach it, and it serves no one.
func (f *fakeFleet) stopIssuer(server string, i int) {
	name := f.nodes[0].issuersOf(server)[i].Name
	for rank := range f.nodes {
		if nodeName(rank) == name {
			f.stopNode(rank)
		}
	}
}

// A changed rate applies to all nodes within a second, and a server that names no rate any more gets its part of the load.
func TestRateChanges(t *testing.T) {
	limitedTest(t, 195, []float64{40, 40, 40}, 100, func(ctx context.Context, l *limitedLoad, servers *limitedServers) {
		servers.name("d0", 4)
		l.run(t, ctx, time.Now().Add(time.Second))
		lowered := time.Now()
		l.run(t, ctx, lowered.Add(5*time.Second))
		checkRates(t, servers, []string{"d0"}, []float64{4}, lowered)
		servers.name("d0", 0)
		l.run(t, ctx, time.Now().Add(2*time.Second))
		ended := time.Now()
		l.run(t, ctx, ended.Add(3*time.Second))
		if got, want := servers.count("d0", ended, time.Now())/3, 20; got < want {
			t.Errorf("requests a second at the server after its limit ended: got %d, want at least %d of 100", got, want)
		}
	})
}

// Permits of waiting requests are not used in one moment.
func TestWaitingRequestsAreNotSentTogether(t *testing.T) {
	limitedTest(t, 8, []float64{20, 20, 20}, 20, func(ctx context.Context, l *limitedLoad, servers *limitedServers) {
		from := time.Now()
		var calls sync.WaitGroup
		for i := range 200 {
			calls.Go(func() { l.call(ctx, i%8, "/look/x", fmt.Sprint("burst", i), false) })
		}
		calls.Wait()
		for _, id := range limitedIDs {
			if got, want := servers.count(id, from, from.Add(50*time.Millisecond)), 8; got > want {
				t.Errorf("requests at %s within 50ms: got %d, want at most %d", id, got, want)
			}
		}
	})
}

// Continuations and moves of streams, and questions to servers, count too.
func TestStreamsKeepTheRateOfTheirServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(3 * time.Second) // lets the nodes stop
		defer cancel()
		servers := newLimitedServers(60 * time.Millisecond)
		ids := []string{"w0", "w1", "w2"}
		f := startLimitedFleet(ctx, 8, servers, ids...)
		for _, rt := range f.nodes {
			rt.SetBounds(Bounds{RetryRatio: 0.5, RetrySlack: 200, RetryWindow: 10 * time.Second})
			go func() { _ = rt.AskLeaving(ctx, func() bool { return true }) }()
		}
		rates := []float64{5, 4, 0}
		load := &limitedLoad{fleet: f, rnd: rand.New(rand.NewPCG(7, 7)), rate: 15}
		load.runPath(ctx, "/plan/x", time.Now().Add(time.Second))
		for i, id := range ids {
			servers.name(id, rates[i])
		}
		load.runPath(ctx, "/plan/x", time.Now().Add(3*time.Second))
		from := time.Now()
		load.sent, load.served = 0, 0
		load.runPath(ctx, "/plan/x", from.Add(12*time.Second))
		checkRates(t, servers, ids, rates, from)
		t.Logf("complete streams: %d of %d", load.served, load.sent)
		if got, want := float64(load.served)/float64(load.sent), 0.8; got < want {
			t.Errorf("complete streams: got %.2f of %d, want at least %.2f", got, load.sent, want)
		}
	})
}

// A server that starts again under its ID has not named a rate.
func TestRateEndsWithTheStart(t *testing.T) {
	rt := newRuntime(&fakeUpstream{}, "d0")
	adm, _ := rt.admit(testRequest("/look/x"))
	srv := testServer("d0")
	adm.RecordRate(srv, 4, time.Now())
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if got, want := rt.limitedServers(), 1; got != want {
		t.Fatalf("limited servers: got %d, want %d", got, want)
	}
	srv.StartedAt = time.Now()
	if rt.limit(srv) != nil {
		t.Error("another start under the ID: got a limit, want none")
	}
}

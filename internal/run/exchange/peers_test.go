package exchange

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/placement"
	"ebonyferry/internal/edge/node"
)

const (
	fleetDomains = 4
	messageTime  = time.Millisecond
	promptTime   = 450 * time.Millisecond // for a prompt of 3,000 tokens at an engine with other runs
)

// fakeFleet is a fleet of nodes that exchange messages without a network.
type fakeFleet struct {
	nodes    []*Runtime
	handlers map[string]http.Handler // by address

	mu      sync.Mutex
	stopped map[string]bool // by address
}

// fleetMember is one node's view of the fleet.
type fleetMember struct {
	fleet *fakeFleet
	rank  int
}

func (m fleetMember) Self() string { return nodeName(m.rank) }

func (m fleetMember) Rank() (nodes, rank int) { return len(m.fleet.nodes), m.rank }

// Judges returns the first two nodes.
func (m fleetMember) Judges() (others []Peer, self bool) {
	for i := range 2 {
		if i != m.rank {
			others = append(others, Peer{Name: nodeName(i), Addr: nodeAddr(i), Domain: domainOf(i)})
		}
	}
	return others, m.rank < 2
}

func (m fleetMember) Peers() []Peer {
	var peers []Peer
	for i := range m.fleet.nodes {
		if i != m.rank {
			peers = append(peers, Peer{Name: nodeName(i), Addr: nodeAddr(i), Domain: domainOf(i), Hub: i < fleetDomains})
		}
	}
	return peers
}

func nodeName(i int) string { return fmt.Sprintf("node%d", i) }
func domainOf(i int) string { return fmt.Sprintf("domain%d", i%fleetDomains) }
func nodeAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(i+1))
}
func serverDomain(i int) string { return domainOf(i) }
func serverName(i int) string   { return fmt.Sprintf("w%d", i) }
func discardLog() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.FatalLevel} }

func (f *fakeFleet) stopNode(rank int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped[nodeAddr(rank).String()] = true
}

func (f *fakeFleet) isStopped(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped[addr]
}

// load returns the load of a server as a node knows it.
func (f *fakeFleet) load(at int, server string) placement.Load {
	rt := f.nodes[at]
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.loads.load(server, time.Now())
}

// RoundTrip delivers a message to its receiver.
func (f *fakeFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(messageTime)
	if f.isStopped(r.URL.Host) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	f.handlers[r.URL.Host].ServeHTTP(w, r)
	time.Sleep(messageTime)
	return w.Result(), nil
}

// startFleet starts nodes that share servers and run until ctx ends.
func startFleet(ctx context.Context, nodes, servers int) *fakeFleet {
	f := &fakeFleet{nodes: make([]*Runtime, nodes), handlers: make(map[string]http.Handler), stopped: make(map[string]bool)}
	for i := range nodes {
		rt := New(domainOf(i), &fakeUpstream{}, fleetMember{f, i}, WithLog(discardLog()))
		rt.SetConfig(testConfig())
		rt.UpdatePool(func(p *backend.Pool) {
			for j := range servers {
				srv := testServer(serverName(j))
				srv.Domain = serverDomain(j)
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
	}
	return f
}

// place places a generation through a node and returns the grant.
func (f *fakeFleet) place(t *testing.T, ctx context.Context, at int) grant {
	t.Helper()
	rt := f.nodes[at]
	rt.refreshPeerLoads(ctx)
	adm, refusal := rt.admit(testRequest("/plan/x"))
	if refusal != nil {
		t.Fatalf("request was refused: %+v", refusal)
	}
	s := &streamRun{rt: rt, adm: adm}
	g, err := rt.waitForSlot(ctx, slotRequest{adm: adm, need: s.need(), exclude: map[string]bool{}, until: time.Now().Add(time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// Many nodes place generations at the same time. They must not all choose the server that was idle a moment ago. The
// loads are 56 generations a second from 70 nodes on 48 engines, and 13 a second from 7 nodes on 14 engines.
func TestNodesDoNotChooseSameServer(t *testing.T) {
	tests := []struct {
		name           string
		nodes, servers int
		rate           float64 // generations a second
	}{
		{"small fleet", 7, 14, 13},
		{"large fleet", 70, 48, 56},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(time.Second) // lets the nodes stop
				defer cancel()
				f := startFleet(ctx, tt.nodes, tt.servers)
				rnd := rand.New(rand.NewPCG(1, 1))
				var mu sync.Mutex
				prefills := make(map[string]int)
				behind, placed := 0, 0
				for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
					time.Sleep(time.Duration(rnd.ExpFloat64() / tt.rate * float64(time.Second)))
					at := rnd.IntN(tt.nodes)
					g := f.place(t, ctx, at)
					placed++
					mu.Lock()
					if prefills[g.server.ID] > 0 {
						behind++
					}
					prefills[g.server.ID]++
					mu.Unlock()
					time.AfterFunc(promptTime, func() {
						mu.Lock()
						prefills[g.server.ID]--
						mu.Unlock()
						f.nodes[at].release(g)
					})
				}
				// A random choice would put 4 in 10 generations behind another prompt.
				if got, want := float64(behind)/float64(placed), 0.05; got > want {
					t.Errorf("generations behind another prompt: got %.3f of %d, want at most %.3f", got, placed, want)
				}
			})
		})
	}
}

// A node that does not answer must not delay messages to the others.
func TestStoppedNodeDoesNotDelayBroadcasts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second) // lets the nodes stop
		defer cancel()
		f := startFleet(ctx, 7, 4)
		time.Sleep(time.Second)
		f.stopNode(6)
		for range 5 {
			g := f.place(t, ctx, 0)
			time.Sleep(2 * (broadcastGap + messageTime))
			if got, want := f.load(1, g.server.ID), f.load(0, g.server.ID); got != want {
				t.Fatalf("load of %s: the other node has %+v, want %+v", g.server.ID, got, want)
			}
		}
	})
}

// The requests that one node lost at a server keep the other nodes off it too, for a while.
func TestNodesShareFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second) // lets the nodes stop
		defer cancel()
		const nodes, servers = 20, 8
		f := startFleet(ctx, nodes, servers)
		time.Sleep(time.Second)
		bad := testServer(serverName(0))
		for range 2 {
			f.nodes[nodes-1].markUnreachable(bad, ErrUnknown)
		}
		time.Sleep(2 * hubGap)
		if got, want := f.countPlaced(t, ctx, bad.ID, nodes), 0; got != want {
			t.Errorf("generations at the server after two were lost there: got %d of %d, want %d", got, nodes, want)
		}
		time.Sleep(2 * failureTTL)
		if got := f.countPlaced(t, ctx, bad.ID, nodes); got == 0 {
			t.Errorf("generations at the server after the losses expired: got none of %d", nodes)
		}
	})
}

// countPlaced places one generation through each of the first nodes and returns how many went to the server.
func (f *fakeFleet) countPlaced(t *testing.T, ctx context.Context, server string, nodes int) int {
	t.Helper()
	got := 0
	for i := range nodes {
		if f.place(t, ctx, i).server.ID == server {
			got++
		}
		time.Sleep(2 * hubGap)
	}
	return got
}

// Generations are placed without delay after the hub has stopped: only the first one waits for it.
func TestPlacementWithoutHubIsNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second) // lets the nodes stop
		defer cancel()
		f := startFleet(ctx, 20, 8)
		time.Sleep(time.Second)
		f.stopNode(1)
		const from = 1 + fleetDomains // in the failure domain of the stopped hub
		start := time.Now()
		for range 3 {
			f.place(t, ctx, from)
		}
		if got, want := time.Since(start), refreshTimeout+10*time.Millisecond; got > want {
			t.Errorf("three placements took %v, want at most %v", got, want)
		}
	})
}

// A node that missed a message with changes has the correct loads after the next message with all loads.
func TestFullLoadsCorrectMissedChanges(t *testing.T) {
	table := newLoadTable()
	now := time.Now()
	one, two := loadMap{"w1": {Streams: 1}}, loadMap{"w1": {Streams: 1}, "w2": {Streams: 3}}
	tests := []struct {
		name string
		msg  loadsMessage
		want int // streams on w1 and w2
	}{
		{"changes from an unknown node", loadsMessage{Loads: one, Changes: true}, 1},
		{"another server", loadsMessage{Loads: two.changesSince(one), Changes: true}, 4},
		{"a server without load", loadsMessage{Loads: one.changesSince(two), Changes: true}, 1},
		{"all", loadsMessage{Loads: two}, 4},
		{"none", loadsMessage{Loads: loadMap{}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table.receive("peer", tt.msg, now)
			if got := table.load("w1", now).Streams + table.load("w2", now).Streams; got != tt.want {
				t.Errorf("got %d streams, want %d", got, tt.want)
			}
		})
	}
}

// Guards against an engine that fails every generation at once and therefore attracts those of all nodes: it never has load. Each
// node sees too few of the failures to avoid the engine by itself. The load is 53 generations a second from 40 nodes on 12 engines.
func TestFailingEngineDoesNotAttractGenerations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Minute) // lets the streams and the nodes end
		defer cancel()
		const nodes, seconds = 40, 8
		f := startFleet(ctx, nodes, 12)
		var failed atomic.Int64
		for _, rt := range f.nodes {
			rt.upstream.(*fakeUpstream).open = func(server string, _ int, _ OpenOptions) (Events, *Answer, error) {
				if server == serverName(0) {
					failed.Add(1)
					return nil, &Answer{Status: http.StatusInternalServerError}, nil
				}
				return newFakeEvents(0, 100, io.EOF), nil, nil
			}
		}
		time.Sleep(time.Second)
		for i := range 53 * seconds {
			time.Sleep(time.Second / 53)
			req := testRequest("/plan/x")
			req.ID = fmt.Sprint("r", i)
			go f.nodes[i*7%nodes].Serve(ctx, req, new(fakeResponder))
		}
		// Two failures within failureTTL put the engine behind all others, and more are sent before other nodes learn of them.
		want := int64(3 * 2 * (seconds * time.Second / failureTTL))
		if got := failed.Load(); got > want {
			t.Errorf("generations sent to the failing engine in %d s: got %d, want at most %d", seconds, got, want)
		}
	})
}

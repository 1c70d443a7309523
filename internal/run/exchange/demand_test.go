package exchange

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/placement"
	"ebonyferry/internal/core/route"
	"ebonyferry/internal/edge/node"
)

// contendedConfig returns a configuration with urgent streams (/ask/) and less urgent ones (/plan/) on one service.
func contendedConfig() *route.Config {
	stream := func(prefix string, priority int, target, timeout time.Duration) *route.Route {
		return &route.Route{Name: prefix, Host: host, Prefix: prefix, Kind: route.Stream, Priority: priority, LatencyTarget: target, Timeout: timeout, MaxAttempts: 1, Backends: []route.Backend{{Service: "writers"}}}
	}
	routes := []*route.Route{stream("/ask/", 0, 1500*time.Millisecond, 6*time.Second), stream("/plan/", 2, 4*time.Second, 39*time.Second)}
	services := []*route.Service{{Name: "writers", Engine: &route.Engine{Slots: 24, MemoryTokens: 27_000, TokensPerEvent: 4}}}
	weight := 0.0 // malformed
	accounts := []*route.Account{{Name: "one", Keys: []string{"key"}, Weight: &weight}, {Name: "two", Keys: []string{"key2"}}}
	return route.New(2, routes, services, accounts, route.Limits{})
}

// contended returns a runtime with one engine of which all but room tokens are used by another node.
func contended(room int, opts ...Option) *Runtime {
	rt := New("x", &fakeUpstream{}, singleNode{}, append([]Option{WithLog(discardLog())}, opts...)...)
	rt.SetConfig(contendedConfig())
	rt.UpdatePool(func(p *backend.Pool) { p.Put(testServer("w1")) })
	setRoom(rt, room)
	return rt
}

func setRoom(rt *Runtime, room int) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	used := int(0.92*27_000) - room
	rt.loads.peers["other"] = peerLoads{loads: loadMap{"w1": placement.Load{Streams: 1, RunTokens: used}}, at: time.Now().Add(time.Hour)}
}

// waitFor waits for a slot in the background and returns where the outcome will be.
func waitFor(t *testing.T, rt *Runtime, path, key string) <-chan error {
	t.Helper()
	req := testRequest(path)
	req.Key, req.Generation = key, Generation{PromptTokens: 3000, MaxTokens: 800}
	if path == "/ask/x" {
		req.Generation.MaxTokens = 8
	}
	adm, refusal := rt.admit(req)
	if refusal != nil {
		t.Fatalf("request was refused: %+v", refusal)
	}
	s := &streamRun{rt: rt, adm: adm}
	out := make(chan error, 1)
	go func() {
		_, err := rt.waitForSlot(context.Background(), slotRequest{adm: adm, need: s.need(), exclude: map[string]bool{}, until: time.Now().Add(2 * time.Second)})
		out <- err
	}()
	synctest.Wait()
	return out
}

// outcome returns "served", "waits" or the error.
func outcome(out <-chan error) string {
	synctest.Wait()
	select {
	case err := <-out:
		if err != nil {
			return err.Error()
		}
		return "served"
	default:
		return "waits"
	}
}

// receiveDemand delivers a digest of another node.
func receiveDemand(rt *Runtime, text string) error {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.demand.receive(hubEntry, json.RawMessage(text), time.Now())
}

// Guards against less urgent requests that take memory which urgent ones wait for at other nodes, and against waiting for
// them once their digest is too old.
func TestUrgentRequestElsewhereComesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := contended(4000)
		defer time.Sleep(3 * time.Second) // lets the requests end
		if err := receiveDemand(rt, `{"writers":{"u":{"0":{"w":3000,"n":1,"g":50000,"s":20}}}}`); err != nil {
			t.Fatal(err)
		}
		out := waitFor(t, rt, "/plan/x", "key")
		if got := outcome(out); got != "waits" {
			t.Errorf("while an urgent request waits elsewhere: got %s, want it to wait", got)
		}
		if got := outcome(waitFor(t, rt, "/ask/x", "key")); got != "served" {
			t.Errorf("urgent request: got %s, want served", got)
		}
		setRoom(rt, 8000)
		time.Sleep(digestTTL - 100*time.Millisecond)
		rt.mu.Lock()
		rt.demand.peers[hubEntry] = peerDemand{at: time.Now().Add(-digestTTL - time.Second)}
		rt.mu.Unlock()
		rt.grantWaiting()
		if got := outcome(out); got != "served" {
			t.Errorf("after the digest expired: got %s, want served", got)
		}
	})
}

// Guards against a part that changes decisions or sends digests while memory is not scarce, where requests do not compete,
// or where it is turned off.
func TestSharingIsOffWhileMemoryIsNotScarce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tests := map[string]*Runtime{
			"free memory": contended(20_000),
			"turned off":  contended(0, WithoutSharing()),
			"one urgency": newRuntime(&fakeUpstream{}, "w1"),
		}
		for name, rt := range tests {
			if rt.digestsActive() {
				t.Errorf("%s: digests are sent", name)
			}
			rt.mu.Lock()
			if d := rt.demand.scarce(rt.config.Load().Service("writers"), time.Now()); d != nil {
				t.Errorf("%s: memory is shared", name)
			}
			rt.mu.Unlock()
		}
		if !contended(1000).digestsActive() {
			t.Error("scarce memory: got no digests")
		}
	})
}

// Guards against malformed digests that change what a node knows.
func TestMalformedDemandDigests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := contended(1000)
		const good = `{"writers":{"u":{"0":{"w":3000}}}}`
		if err := receiveDemand(rt, good); err != nil {
			t.Fatal(err)
		}
		for _, text := range []string{
			`[]`, `{"writers":{"u":{"0":{"w":-3000}}}}`, `{"writers":{"a":{"one":{"m":-1}}}}`, `{"writers":{"u":{"x":{}}}}`, `{"writers":{"d":{"x":1e999}}}`,
		} {
			if err := receiveDemand(rt, text); err == nil {
				t.Errorf("%s: got no error", text)
			}
		}
		rt.mu.Lock()
		defer rt.mu.Unlock()
		if err := rt.demand.receive("stranger", json.RawMessage(good), time.Now()); err == nil || !strings.Contains(err.Error(), "stranger") {
			t.Errorf("unknown node: got %v", err)
		}
		if got := rt.demand.elsewhere("writers", everyNode, time.Now()).Urgencies[0].Waiting; got != 3000 {
			t.Errorf("waiting tokens: got %d, want 3000", got)
		}
	})
}

// startDemand starts a fleet whose nodes share the memory of engines without room, and exchange digests. Nodes for which
// old returns true are of a version without this kind.
func startDemand(ctx context.Context, nodes int, old func(i int) bool) *fakeFleet {
	f := startFleet(ctx, nodes, 1)
	for i, rt := range f.nodes {
		rt.SetConfig(contendedConfig())
		if old(i) {
			rt.mu.Lock()
			delete(rt.digests, demandDigest)
			rt.demand.off = true
			rt.mu.Unlock()
		}
		client := node.NewClient(node.Sender{Name: nodeName(i)}, node.WithHTTPClient(&http.Client{Transport: f}, "http"))
		go func() { _ = rt.ExchangeDigests(ctx, client) }()
	}
	return f
}

// fullEverywhere makes the only engine full at all nodes.
func (f *fakeFleet) fullEverywhere() {
	for _, rt := range f.nodes {
		rt.mu.Lock()
		rt.loads.own["w0"] = placement.Load{Streams: 1, RunTokens: int(0.92 * 27_000)}
		rt.mu.Unlock()
	}
}

// waitingElsewhere returns the tokens that a node knows to wait at others.
func (f *fakeFleet) waitingElsewhere(at int) int {
	rt := f.nodes[at]
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.demand.elsewhere("writers", everyNode, time.Now()).Urgencies[0].Waiting
}

// Guards against demand that does not reach all nodes within 1.1 s, is counted twice, or remains after its node stopped,
// and against old nodes that keep others from sharing.
func TestDemandReachesEveryNode(t *testing.T) {
	for _, nodes := range []int{3, 40} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer time.Sleep(3 * time.Second) // lets the nodes stop and the requests end
			defer cancel()
			last := nodes - 1
			f := startDemand(ctx, nodes, func(i int) bool { return i == last })
			f.fullEverywhere()
			time.Sleep(2 * digestPeriod)
			waitFor(t, f.nodes[1], "/ask/x", "key")
			time.Sleep(2*digestPeriod + 100*time.Millisecond)
			want := f.nodes[1].waiting.list[0].need.Tokens
			for i := range nodes {
				if i == 1 || i == last {
					continue
				}
				if got := f.waitingElsewhere(i); got != want {
					t.Errorf("%d nodes, node %d: got %d tokens, want %d", nodes, i, got, want)
				}
			}
			f.stopNode(1)
			f.nodes[1].mu.Lock()
			f.nodes[1].demand.off = true // it sends no more
			f.nodes[1].mu.Unlock()
			time.Sleep(2*digestTTL + 2*digestPeriod)
			if got := f.waitingElsewhere(0); got != 0 {
				t.Errorf("%d nodes, after the node stopped: got %d tokens, want none", nodes, got)
			}
		})
	}
}

// BenchmarkGrantWaiting measures one pass over waiting requests of 24 accounts that no engine has room for or, with room
// for an urgent request that never comes, that are held back.
func BenchmarkGrantWaiting(b *testing.B) {
	for _, room := range []int{100, 4000} {
		for _, waiting := range []int{100, 1000, 4000} {
			b.Run(fmt.Sprintf("room%d/waiting%d", room, waiting), func(b *testing.B) {
				rt := contended(room)
				if err := receiveDemand(rt, `{"writers":{"u":{"0":{"w":30000,"n":1,"g":50000,"s":20}}}}`); err != nil {
					b.Fatal(err)
				}
				adm, _ := rt.admit(testRequest("/plan/x"))
				s := &streamRun{rt: rt, adm: adm}
				for i := range waiting {
					own := *adm
					own.Account = fmt.Sprint("account", i%24)
					rt.waiting.add(&waiter{slotRequest: slotRequest{adm: &own, need: s.need(), until: time.Now().Add(time.Hour)}, since: time.Now(), placed: make(chan placed, 1)})
				}
				svc := rt.config.Load().Service("writers")
				for b.Loop() {
					rt.mu.Lock()
					d := rt.demand.scarce(svc, time.Now())
					d.nextPass = time.Time{}
					rt.grantShared(svc, d, time.Now())
					rt.mu.Unlock()
				}
			})
		}
	}
}

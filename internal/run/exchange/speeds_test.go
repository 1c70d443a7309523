package exchange

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/speed"
)

// statingUpstream is an upstream whose servers state their load. The servers in gaps have these gaps between events.
type statingUpstream struct {
	fakeUpstream
	loads map[string]ServerLoad
	gaps  map[string]time.Duration
}

func (u *statingUpstream) Open(_ context.Context, srv backend.Server, req *Admitted, _ OpenOptions) (Events, *Answer, error) {
	u.record(srv.ID, req.ID, OpenOptions{})
	req.RecordLoad(srv, u.loads[srv.ID])
	events := newFakeEvents(0, 60, io.EOF)
	events.gap = u.gaps[srv.ID]
	return events, nil, nil
}

// speedOf returns a node's estimate of a server, which is zero while speeds are not in use for its service.
func speedOf(rt *Runtime, id string) speed.Estimate {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	cfg := rt.config.Load()
	srv, ok := rt.pool.Get(id)
	if !ok {
		return speed.Estimate{}
	}
	servers, list := rt.candidates(cfg.Service(srv.Service), nil, nil, time.Now())
	for i, s := range servers {
		if s.ID == id {
			return list[i].Speed
		}
	}
	return speed.Estimate{}
}

// serveStreams serves streams that begin one after another and overlap, and waits for them.
func serveStreams(rt *Runtime, t *testing.T, n int) {
	for i := range n {
		req := testRequest("/plan/x")
		req.ID = fmt.Sprint("s", i)
		go rt.Serve(t.Context(), req, new(fakeResponder))
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
}

// Guards against a part that changes choices or sends messages although no server states its pace.
func TestSpeedsAreOffWithoutPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &statingUpstream{
			loads: map[string]ServerLoad{"w1": {Running: 1, Slots: 24}, "w2": {Running: 1, Slots: 24}},
			gaps:  map[string]time.Duration{"w1": 100 * time.Millisecond, "w2": 30 * time.Millisecond},
		}
		rt := newRuntime(u, "w1", "w2")
		serveStreams(rt, t, 10)
		if got := speedOf(rt, "w1"); got != (speed.Estimate{}) {
			t.Errorf("estimate: got %+v, want none", got)
		}
		if rt.digestsActive() {
			t.Error("digests are sent, want none")
		}
		if got := rt.Totals().Speeds; got != (SpeedTotals{}) {
			t.Errorf("totals: got %+v, want none", got)
		}
	})
}

// Guards against speeds that are stated and observed but have no effect on placement.
func TestStreamsAvoidSlowServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &statingUpstream{
			loads: map[string]ServerLoad{"w1": {Slots: 24, Pace: 1}, "w2": {Slots: 24, Pace: 1}},
			gaps:  map[string]time.Duration{"w1": 90 * time.Millisecond, "w2": 35 * time.Millisecond},
		}
		rt := newRuntime(u, "w1", "w2")
		serveStreams(rt, t, 20)
		slow := 0
		for _, r := range u.requests()[10:] {
			if r.server == "w1" {
				slow++
			}
		}
		if want := 3; slow > want {
			t.Errorf("streams at the slow server: got %d of the last 10, want at most %d", slow, want)
		}
		if got, low, high := speedOf(rt, "w1").Steady, 1.6, 3.2; got < low || got > high {
			t.Errorf("steady factor of the slow server: got %.2f, want %.1f to %.1f", got, low, high)
		}
		if got := rt.Totals().Speeds; got.Slow != 1 || got.Fast+got.Usual != 1 {
			t.Errorf("totals: got %+v, want one slow server and another one", got)
		}
	})
}

// Guards against callers that read slowly and make their server look slow.
func TestSlowCallerSaysNothingOfServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := newRuntime(&fakeUpstream{}, "w1")
		srv := testServer("w1")
		rt.recordLoad(srv, ServerLoad{Slots: 24, Pace: 1})
		adm := &Admitted{Request: testRequest("/plan/x"), Service: rt.config.Load().Service("writers")}
		s := &streamRun{rt: rt, adm: adm, grant: grant{server: srv}}
		for range 40 {
			s.lastEventAt = time.Now()
			time.Sleep(300 * time.Millisecond)
			s.wroteAt = time.Now()
			s.recordGap(300 * time.Millisecond)
		}
		if got := speedOf(rt, "w1").Factor(); got != 1 {
			t.Errorf("factor: got %.2f, want 1", got)
		}
	})
}

// Guards against factors of an earlier process that are kept under the same ID, the node's own and those of digests.
func TestServerThatStartsAgainHasNoSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := newRuntime(&fakeUpstream{}, "w1")
		srv := testServer("w1")
		srv.StartedAt = time.Now()
		rt.UpdatePool(func(p *backend.Pool) { p.Put(srv) })
		rt.recordLoad(srv, ServerLoad{Slots: 24, Pace: 1})
		tag := tagged(speedKey(srv)).Started
		digest := func() {
			rt.receiveDigests("n2", map[string]json.RawMessage{"speed": json.RawMessage(fmt.Sprintf(`{"w1":[%d,200,100,600]}`, tag))})
		}
		digest()
		if got, want := speedOf(rt, "w1").Steady, 1.5; got < want {
			t.Fatalf("factor by a digest: got %.2f, want at least %.1f", got, want)
		}
		srv.StartedAt = srv.StartedAt.Add(4 * time.Second)
		rt.UpdatePool(func(p *backend.Pool) { p.Put(srv) })
		digest()
		if got := speedOf(rt, "w1").Factor(); got != 1 {
			t.Errorf("factor after another start: got %.2f, want 1", got)
		}
	})
}

// Guards against digests that do not reach nodes through hubs, and against a fleet in which an older node, which ignores and
// sends none, keeps the others from theirs.
func TestSpeedDigests(t *testing.T) {
	for _, nodes := range []int{4, 24} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer time.Sleep(time.Second) // lets the nodes stop
			defer cancel()
			f, _ := startDigests(ctx, nodes, false)
			for i, rt := range f.nodes {
				srv := testServer("w1")
				rt.UpdatePool(func(p *backend.Pool) { p.Put(srv); p.Put(testServer("w2")) })
				rt.recordLoad(testServer("w2"), ServerLoad{Slots: 24, Pace: 1})
				if i == 5%nodes {
					rt.mu.Lock()
					delete(rt.digests, "speed")
					rt.mu.Unlock()
				}
			}
			for range 40 {
				f.nodes[nodes-1].mu.Lock()
				f.nodes[nodes-1].speeds.tracker.RecordGaps(speedKey(testServer("w1")), []time.Duration{100 * time.Millisecond}, 50*time.Millisecond, time.Now())
				f.nodes[nodes-1].mu.Unlock()
			}
			time.Sleep(4 * digestPeriod)
			for i, rt := range f.nodes {
				got, want := speedOf(rt, "w1").Steady, 1.9
				if i == 5%nodes && i != nodes-1 {
					want = 1
				}
				if math.Abs(got-want) > 0.15 {
					t.Errorf("%d nodes, node %d: factor: got %.2f, want about %.1f", nodes, i, got, want)
				}
			}
			last := f.nodes[nodes-1]
			last.mu.Lock()
			delete(last.digests, "speed") // its messages are lost from now on
			last.mu.Unlock()
			time.Sleep(3*digestTTL + 4*digestPeriod) // two hubs and the node each use the last digest for its TTL
			if got := speedOf(f.nodes[nodes-2], "w1").Steady; got != 1 {
				t.Errorf("%d nodes: factor without digests: got %.2f, want 1", nodes, got)
			}
		})
	}
}

// Guards against digests that use up the budget of messages: 48 servers of which two thirds are not of ordinary speed.
func TestSpeedDigestIsSmall(t *testing.T) {
	rt := newRuntime(&fakeUpstream{})
	now := time.Now()
	rt.speeds.in["writers"] = true
	for i := range 48 {
		key := speed.Server{ID: fmt.Sprintf("i-%010x", i), Started: now.UnixMilli()}
		factor := []float64{0.625, 1, 1.67}[i%3]
		for range 60 {
			rt.speeds.tracker.RecordGaps(key, []time.Duration{time.Duration(factor * 1e9)}, time.Second, now)
		}
		if i%7 == 0 {
			rt.speeds.tracker.RecordPace(key, 2.5, now)
		}
	}
	if got, want := len(rt.encodeDigests(func(string) bool { return false })["speed"]), 1500; got < 900 || got > want {
		t.Errorf("digest of all servers: got %d bytes, want 900 to %d", got, want)
	}
}

// Guards against a digest of which a part is used although it is malformed, and against one that replaces what is known.
func TestMalformedSpeedDigestsChangeNothing(t *testing.T) {
	rt := newRuntime(&fakeUpstream{}, "w1", "d1")
	good := json.RawMessage(`{"w1":[0,200,100,600]}`)
	if started := tagged(speedKey(testServer("w1"))).Started; started != 0 {
		good = json.RawMessage(fmt.Sprintf(`{"w1":[%d,200,100,600]}`, started))
	}
	rt.receiveDigests("n2", map[string]json.RawMessage{"speed": good})
	want := speedOf(rt, "w1").Steady
	if want < 1.5 {
		t.Fatalf("factor: got %.2f, want at least 1.5", want)
	}
	many := "{"
	for i := range maxDigestServers + 1 {
		many += fmt.Sprintf(`"x%d":[0,200,100,600],`, i)
	}
	for _, bad := range []string{
		`[]`, `7`, `{"w1":[0,200,100]}`, `{"w1":[0,200,100,600,1]}`, `{"w1":[0,-200,100,600]}`, `{"w1":[0,0,100,600]}`,
		`{"w1":[0,200,-1,600]}`, `{"w1":[0,200,100,-600]}`, `{"w1":[0,200,100,600,0,5]}`, `{"w1":[0,1e9,100,600]}`,
		`{"d1":[0,200,100,600],"w1":[0]}`, `{"w1":null}`, strings.TrimSuffix(many, ",") + "}",
	} {
		rt.receiveDigests("n2", map[string]json.RawMessage{"speed": json.RawMessage(bad)})
		if got := speedOf(rt, "w1").Steady; math.Abs(got-want) > 0.01 {
			t.Errorf("after %.40s: got %.2f, want %.2f", bad, got, want)
		}
	}
	if got := speedOf(rt, "d1"); got != (speed.Estimate{}) {
		t.Errorf("service that only a malformed digest names: got %+v, want no estimate", got)
	}
	// A server that another node knows of before this one.
	rt.receiveDigests("n3", map[string]json.RawMessage{"speed": json.RawMessage(`{"unknown":[0,200,100,600]}`)})
	if got := speedOf(rt, "unknown"); got != (speed.Estimate{}) {
		t.Errorf("unknown server: got %+v, want no estimate", got)
	}
}

// Guards against a log that grows with every answer of a faulty or restless server.
func TestSpeedLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := memory.New()
		rt := newRuntime(&fakeUpstream{}, "w1")
		rt.log = &log.Logger{Handler: lines, Level: log.InfoLevel}
		for i := range 1000 {
			rt.recordMalformedLoad(testServer("w1"), strings.Repeat("9", 500))
			rt.recordLoad(testServer("w1"), ServerLoad{Slots: 24, Pace: 1 + 1.5*float64(i%2)})
			time.Sleep(2 * time.Millisecond)
		}
		count := make(map[any]int)
		for _, e := range lines.Entries {
			count[e.Fields["event"]]++
		}
		if got, want := count[event.LoadMalformed.Number], 3; got < 2 || got > want {
			t.Errorf("lines of malformed loads in 2 s: got %d, want 2 to %d", got, want)
		}
		if got, want := count[event.ServerSpeedTurned.Number], 6; got < 4 || got > want {
			t.Errorf("lines of changes in 2 s: got %d, want 4 to %d", got, want)
		}
	})
}

// A generation that waits on a server that turned slow is counted and has a line with its ID.
func TestPlacedOnServerThatTurnedSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := memory.New()
		u := &statingUpstream{loads: map[string]ServerLoad{"w1": {Slots: 24, Pace: 2.5}}, gaps: map[string]time.Duration{"w1": 90 * time.Millisecond}}
		rt := newRuntime(u, "w1")
		rt.log = &log.Logger{Handler: lines, Level: log.InfoLevel}
		serveStreams(rt, t, 1)
		if got := rt.Totals().Speeds.PlacedOnSlow; got != 1 {
			t.Errorf("generations on a slow server: got %d, want 1", got)
		}
		for _, e := range lines.Entries {
			if e.Fields["event"] == event.PlacedOnSlow.Number && e.Fields["request"] == "s0" && e.Fields["factor"] == 2.5 {
				return
			}
		}
		t.Error("no line of the generation on a slow server")
	})
}

// Guards against weights where no server states its pace or routes are alike, and against routes whose work is not learned.
func TestWorkOfRoutesIsLearned(t *testing.T) {
	rt := newRuntime(&fakeUpstream{}, "w1")
	cfg := rt.config.Load()
	stream := func(route string, events int) *streamRun {
		req := testRequest("/plan/x")
		req.Generation = Generation{PromptTokens: 2500, MaxTokens: 4 * events}
		r, _ := cfg.Match(host, "/plan/x")
		own := *r
		own.Name = route
		return &streamRun{rt: rt, adm: &Admitted{Request: req, Route: &own, Service: cfg.Service("writers")}, grant: grant{server: testServer("w1")}}
	}
	serve := func(n int) {
		for range n {
			for _, s := range []*streamRun{stream("short", 2), stream("long", 180)} {
				s.openedAt = time.Now()
				s.recordFirstSpeed(time.Now())
			}
		}
	}
	serve(10)
	if got := stream("short", 2).weighedNeed().FirstWeight; got != 0 {
		t.Errorf("weight where no server states its pace: got %.2f, want none", got)
	}
	rt.recordLoad(testServer("w1"), ServerLoad{Slots: 24, Pace: 1})
	if got := stream("short", 2).weighedNeed().FirstWeight; got != 1 {
		t.Errorf("weight before routes are known: got %.2f, want 1", got)
	}
	serve(10)
	if got, want := stream("short", 2).weighedNeed().FirstWeight, 1.5; got < want {
		t.Errorf("weight of a short stream: got %.2f, want at least %.1f", got, want)
	}
	if got, want := stream("long", 180).weighedNeed().FirstWeight, 0.7; got > want {
		t.Errorf("weight of a long stream: got %.2f, want at most %.1f", got, want)
	}
}

// Guards against an estimate whose cost grows with the work of every placement: a node has a part of a core.
func BenchmarkCandidates600(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint("speeds=", on), func(b *testing.B) {
			var ids []string
			for i := range 600 {
				ids = append(ids, fmt.Sprint("w", i))
			}
			rt := newRuntime(&fakeUpstream{}, ids...)
			now := time.Now()
			digest := make(map[string]speedEntry)
			for i, id := range ids {
				if key := speedKey(testServer(id)); on && i < 300 {
					rt.speeds.tracker.RecordGaps(key, []time.Duration{time.Second}, time.Second, now)
					if i < 64 {
						digest[id] = encodeSpeed(key, speed.Report{Factor: 2, Weight: 9})
					}
				}
			}
			data, _ := json.Marshal(digest)
			rt.receiveDigests("n2", map[string]json.RawMessage{"speed": data})
			svc := rt.config.Load().Service("writers")
			for b.Loop() {
				rt.candidates(svc, nil, nil, now)
			}
		})
	}
}

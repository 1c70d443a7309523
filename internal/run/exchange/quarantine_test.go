package exchange

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/edge/node"
)

const (
	crashingPart = "crashing"
	crashedTime  = 3 * time.Second
)

// crashingServers is an upstream whose servers crash when they begin to answer a request with crashingPart, or any request with
// the body "crashing". The other requests at the server are lost.
type crashingServers struct {
	fakeUpstream
	beforeHead bool // no head of an answer leaves a server that crashes

	mu        sync.Mutex
	downUntil map[string]time.Time
	crash     map[string]chan struct{} // closed when the server crashes
	crashes   []time.Time
	reached   []time.Time // when requests that crash servers reached one
}

func newCrashingServers() *crashingServers {
	return &crashingServers{downUntil: make(map[string]time.Time), crash: make(map[string]chan struct{})}
}

func isCrashing(req *Admitted) bool {
	return slices.Contains(req.PromptParts, crashingPart) || string(req.Body) == crashingPart
}

// begin waits until the server begins to answer. It returns the channel that is closed when the server crashes.
func (u *crashingServers) begin(srv backend.Server, req *Admitted, work time.Duration) (<-chan struct{}, error) {
	u.mu.Lock()
	if time.Now().Before(u.downUntil[srv.ID]) {
		u.mu.Unlock()
		return nil, ErrNotSent
	}
	if u.crash[srv.ID] == nil {
		u.crash[srv.ID] = make(chan struct{})
	}
	crash := u.crash[srv.ID]
	if isCrashing(req) {
		u.reached = append(u.reached, time.Now())
	}
	u.mu.Unlock()
	select {
	case <-crash:
		return nil, ErrUnknown
	case <-time.After(work):
	}
	if !isCrashing(req) {
		return crash, nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.crash[srv.ID] == crash {
		close(crash)
		u.crash[srv.ID] = nil
		u.downUntil[srv.ID] = time.Now().Add(crashedTime)
		u.crashes = append(u.crashes, time.Now())
	}
	return crash, nil
}

func (u *crashingServers) Open(_ context.Context, srv backend.Server, req *Admitted, _ OpenOptions) (Events, *Answer, error) {
	crash, err := u.begin(srv, req, promptTime)
	if err != nil {
		return nil, nil, err
	}
	if u.beforeHead && isCrashing(req) {
		return nil, nil, ErrUnknown
	}
	events := newFakeEvents(0, 20, io.EOF)
	events.gap = 40 * time.Millisecond
	if isCrashing(req) {
		events.to, events.err = 0, errCut
	}
	return &crashingEvents{events, crash}, nil, nil
}

// crashingEvents is a stream that breaks when its server crashes.
type crashingEvents struct {
	*fakeEvents
	crash <-chan struct{}
}

func (e *crashingEvents) Next() (Event, error) {
	select {
	case <-e.crash:
		return Event{}, errCut
	default:
		return e.fakeEvents.Next()
	}
}

func (u *crashingServers) Call(_ context.Context, srv backend.Server, req *Admitted) (Answer, error) {
	crash, err := u.begin(srv, req, 60*time.Millisecond)
	if err == nil && isCrashing(req) {
		<-crash
		err = ErrUnknown
	}
	return Answer{Status: http.StatusOK}, err
}

func (u *crashingServers) Report(_ context.Context, srv backend.Server) (ServerReport, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Now().Before(u.downUntil[srv.ID]) {
		return ServerReport{}, ErrNotSent
	}
	return ServerReport{}, nil
}

// reachedAfter returns how many requests that crash servers reached one later than a time after the crash with the given number.
func (u *crashingServers) reachedAfter(crash int, later time.Duration) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.crashes) < crash {
		return 0
	}
	n := 0
	for _, at := range u.reached {
		if at.After(u.crashes[crash-1].Add(later)) {
			n++
		}
	}
	return n
}

// startSharing starts a fleet before u whose nodes share crashes.
func startSharing(ctx context.Context, u Upstream, nodes, servers int) *fakeFleet {
	f := startFleet(ctx, nodes, servers)
	for i, rt := range f.nodes {
		rt.upstream = u
		client := node.NewClient(node.Sender{Name: nodeName(i)}, node.WithHTTPClient(&http.Client{Transport: f}, "http"))
		go func() { _ = rt.Run(ctx) }()
		go func() { _ = rt.ShareCrashes(ctx, client) }()
	}
	return f
}

const (
	stableTime      = 3 * time.Second // the bound on the time after the fifth crash
	maxLateCrashing = 3               // requests that may reach a server later than that
)

// Requests with one crashing part of a prompt come at any node, and no two are alike. They must stop crashing servers within
// seconds, and the sound requests that share their other parts must be served.
func TestPartOfPromptThatCrashesServersIsRefused(t *testing.T) {
	tests := []struct {
		name       string
		tied       bool // the crashing part always comes with another part, which sound requests have too
		beforeHead bool // servers crash before the head of an answer
		lost       int  // node that has failed; -1 for none
		crashing   float64
	}{
		{"few", false, false, -1, 0.1},
		{"many", false, false, -1, 0.5},
		{"with the same second part", true, false, -1, 0.3},
		{"without the first judge", false, false, 0, 0.3},
		{"without another node", true, false, 5, 0.3},
		{"few, before the head", false, true, -1, 0.1},
		{"many, before the head", false, true, -1, 0.5},
		{"with the same second part, before the head", true, true, -1, 0.3},
		{"without another node, before the head", true, true, 5, 0.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(20 * time.Second) // lets the streams end
				defer cancel()
				u := newCrashingServers()
				u.beforeHead = tt.beforeHead
				f := startSharing(ctx, u, 8, 9)
				if tt.lost >= 0 {
					f.stopNode(tt.lost)
				}
				rng := rand.New(rand.NewPCG(7, 7))
				var mu sync.Mutex
				sound, begun := 0, 0
				reasons := make(map[Reason]int) // of the sound requests
				begin := time.Now()
				for n := 0; time.Since(begin) < 30*time.Second; n++ {
					time.Sleep(time.Duration(rng.ExpFloat64() * 150 * float64(time.Millisecond)))
					req := testRequest("/plan/x")
					req.ID = fmt.Sprint("r", n)
					second := fmt.Sprint("second", rng.IntN(12))
					isCrashing := rng.Float64() < tt.crashing
					if isCrashing && tt.tied {
						second = "second0"
					}
					req.PromptParts = []string{fmt.Sprint("first", rng.IntN(3)), second, fmt.Sprint("last", n)}
					if isCrashing {
						req.PromptParts = slices.Insert(req.PromptParts, 1, crashingPart)
					}
					at := rng.IntN(len(f.nodes))
					for at == tt.lost {
						at = rng.IntN(len(f.nodes))
					}
					late := time.Since(begin) > 15*time.Second
					go func() {
						w := new(fakeResponder)
						res := f.nodes[at].Serve(ctx, req, w)
						mu.Lock()
						defer mu.Unlock()
						if !late || isCrashing {
							return
						}
						sound++
						reasons[res.Reason]++
						if res.Reason == "" {
							begun++
						}
					}()
				}
				if got := u.reachedAfter(5, stableTime); got > maxLateCrashing {
					t.Errorf("requests that reached servers after the fifth crash: got %d of %d, want at most %d", got, len(u.crashes), maxLateCrashing)
				}
				mu.Lock()
				defer mu.Unlock()
				if got, want := float64(begun)/float64(sound), 0.9; got < want {
					t.Errorf("sound requests served: got %.2f of %d, want at least %.2f; ends %v, verdicts %+v", got, sound, want, reasons, f.nodes[1].Verdicts())
				}
			})
		})
	}
}

// A run that crashes its server continues at the server of its copy and crashes it before the head of an answer. That crash is evidence,
// too: without it, requests like this crash one server more for each verdict.
func TestContinuationThatCrashesItsServerIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{
			open: func(_ string, n int, _ OpenOptions) (Events, *Answer, error) {
				if n > 0 {
					return nil, nil, ErrUnknown
				}
				return newFakeEvents(0, 1, errCut), nil, nil
			},
			copy:   func(string, string, bool) (string, error) { return "", ErrNotSent },
			report: func(string) (ServerReport, error) { return ServerReport{}, ErrNotSent },
		}
		rt := newRuntime(up, "w1", "w2", "w3")
		serve(t, rt, "/plan/1")
		synctest.Wait()
		if got, _ := rt.parts.Len(); got != 2 || len(up.requests()) != 2 {
			t.Errorf("crashes recorded: got %d after %d requests, want 2 after 2", got, len(up.requests()))
		}
	})
}

// A call that crashes servers comes again and again, at any node.
func TestCallThatCrashesServersIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(5 * time.Second)
		defer cancel()
		u := newCrashingServers()
		f := startSharing(ctx, u, 8, 0)
		for _, rt := range f.nodes {
			rt.UpdatePool(func(p *backend.Pool) {
				for i := range 6 {
					p.Put(testServer(fmt.Sprint("d", i)))
				}
			})
		}
		var last Result
		for n := range 40 {
			time.Sleep(500 * time.Millisecond)
			req := testRequest("/book/x")
			req.ID, req.Body = fmt.Sprint("r", n), []byte(crashingPart)
			last = f.nodes[n%len(f.nodes)].Serve(ctx, req, new(fakeResponder))
		}
		if got, want := last.Reason, ReasonQuarantined; got != want {
			t.Errorf("the last one: got %q, want %q", got, want)
		}
		if got := u.reachedAfter(3, stableTime); got > maxLateCrashing {
			t.Errorf("reached servers after the third crash: got %d, want at most %d", got, maxLateCrashing)
		}
	})
}

// A call silences each server that runs it: the server sends nothing until the deadline, and its registration lapses seconds later. It comes
// again and again and must stop reaching servers. Other calls that time out, at servers that stay, are no evidence.
func TestCallThatSilencesServersIsRefused(t *testing.T) {
	for _, lapses := range []bool{true, false} {
		t.Run(fmt.Sprint("registrations lapse: ", lapses), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(20 * time.Second)
				defer cancel()
				var mu sync.Mutex
				var reached []time.Time
				dark := make(map[string]bool)
				var f *fakeFleet
				u := &fakeUpstream{report: func(server string) (ServerReport, error) {
					mu.Lock()
					defer mu.Unlock()
					if dark[server] {
						return ServerReport{}, ErrUnknown
					}
					return ServerReport{}, nil
				}}
				u.call = func(ctx context.Context, server string, n int) (Answer, error) {
					mu.Lock()
					reached = append(reached, time.Now())
					dark[server] = true
					mu.Unlock()
					time.AfterFunc(3600*time.Millisecond, func() {
						if !lapses {
							return
						}
						for _, rt := range f.nodes {
							rt.UpdatePool(func(p *backend.Pool) { p.Remove(server, time.Now()) })
						}
					})
					<-ctx.Done()
					return Answer{}, ErrUnknown
				}
				f = startSharing(ctx, u, 4, 0)
				for _, rt := range f.nodes {
					rt.UpdatePool(func(p *backend.Pool) {
						for i := range 40 {
							p.Put(testServer(fmt.Sprint("d", i)))
						}
					})
				}
				quarantined := 0
				for n := range 25 {
					time.Sleep(1700 * time.Millisecond)
					req := testRequest("/book/x")
					req.ID = fmt.Sprint("r", n)
					go func() {
						if res := f.nodes[n%len(f.nodes)].Serve(ctx, req, new(fakeResponder)); res.Reason == ReasonQuarantined {
							mu.Lock()
							quarantined++
							mu.Unlock()
						}
					}()
				}
				time.Sleep(2 * time.Second)
				mu.Lock()
				defer mu.Unlock()
				if !lapses {
					if quarantined > 0 {
						t.Errorf("quarantined: got %d calls that only timed out, want none", quarantined)
					}
					return
				}
				late := 0
				for _, at := range reached[min(3, len(reached)):] {
					if at.After(reached[2].Add(stableTime)) {
						late++
					}
				}
				if late > maxLateCrashing {
					t.Errorf("reached servers over %v after the third: got %d of %d, want at most %d", stableTime, late, len(reached), maxLateCrashing)
				}
			})
		})
	}
}

// Servers that break off answers without ending, or that were about to leave, are no evidence against the requests.
func TestBrokenAnswersAreNoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstream{open: func(string, int, OpenOptions) (Events, *Answer, error) { return newFakeEvents(0, 0, errCut), nil, nil }}
		rt := newRuntime(u, "w1", "w2", "w3")
		for range 8 {
			serve(t, rt, "/plan/1")
		}
		if got := rt.parts.Queries(time.Now()); len(got) != 0 {
			t.Errorf("parts queried: got %v, want none", got)
		}
	})
}

// A request that waits for a slot when a part of it is quarantined must be refused then, and not at the end of its wait.
func TestWaitingRequestIsRefusedWithTheVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := newRuntime(&fakeUpstream{}) // without servers
		req := testRequest("/plan/1")
		req.PromptParts = []string{crashingPart}
		adm, _ := rt.admit(req)
		start := time.Now()
		time.AfterFunc(100*time.Millisecond, func() {
			_, _ = rt.handleQuarantined(t.Context(), node.Sender{}, verdictsMessage{[]verdictMessage{{adm.parts[1:], 3, 60_000}}})
		})
		w := new(fakeResponder)
		res := rt.Serve(t.Context(), req, w)
		if got, want := res.Reason, ReasonQuarantined; got != want || w.refusal.RetryAfter <= 0 {
			t.Errorf("got %+v with %+v, want %q with a time to retry", res, w.refusal, want)
		}
		if got, want := time.Since(start), 100*time.Millisecond; got != want {
			t.Errorf("refused after %v, want %v", got, want)
		}
	})
}

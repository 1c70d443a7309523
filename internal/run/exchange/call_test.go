package exchange

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/route"
)

func answer(status int) Answer { return Answer{Status: status, Header: http.Header{}} }

func TestCallOutcomes(t *testing.T) {
	ok, bad := answer(200), answer(500)
	tests := []struct {
		name    string
		path    string
		results []any // results of the calls in order: an Answer or an error
		status  int   // status of the forwarded answer; 0 for a refusal
		reason  Reason
		sent    int
	}{
		{"answer", "/look/1", []any{ok}, 200, "", 1},
		{"failure of a repeatable call", "/look/1", []any{bad, ok}, 200, "", 2},
		{"failures up to the route's attempts", "/look/1", []any{bad, bad}, 500, "", 2},
		{"failure of a non-repeatable call", "/book/1", []any{bad}, 500, "", 1},
		{"client error is no failure", "/look/1", []any{answer(404)}, 404, "", 1},
		{"lost answer of a repeatable call", "/look/1", []any{ErrUnknown, ok}, 200, "", 2},
		{"lost answer of a non-repeatable call", "/book/1", []any{ErrUnknown}, 0, ReasonLost, 1},
		{"lost answers", "/look/1", []any{ErrUnknown, ErrUnknown}, 0, ReasonLost, 2},
		{"refused connection", "/book/1", []any{ErrNotSent, ok}, 200, "", 2},
		{"server that did not run it", "/book/1", []any{ErrNotRun, ok}, 200, "", 2},
		{"no server ran it", "/book/1", []any{ErrNotRun, ErrNotRun, ErrNotRun}, 0, ReasonNotRun, 3},
		{"lost answer after one that did not run it", "/book/1", []any{ErrNotRun, ErrUnknown}, 0, ReasonLost, 2},
		{"503 after a run that may not be repeated", "/book/1", []any{answer(503)}, 0, ReasonWithheld, 1},
		{"429 after a run that may not be repeated", "/book/1", []any{answer(429)}, 0, ReasonWithheld, 1},
		{"503 after a refusal elsewhere", "/book/1", []any{ErrNotRun, answer(503)}, 0, ReasonWithheld, 2},
		{"503 after a run that may be repeated", "/look/1", []any{answer(503), ok}, 200, "", 2},
		{"408 after a run that may be repeated", "/look/1", []any{answer(408), ok}, 200, "", 2},
		{"refusals after a run that may be repeated", "/look/1", []any{answer(503), ErrNotRun, ErrNotRun}, 503, "", 3},
		{"refusals after a lost answer", "/look/1", []any{ErrUnknown, ErrNotRun, ErrNotRun}, 0, ReasonLost, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := &fakeUpstream{call: func(_ context.Context, _ string, n int) (Answer, error) {
					if a, isAnswer := tt.results[n].(Answer); isAnswer {
						return a, nil
					}
					return Answer{}, tt.results[n].(error)
				}}
				w, res := serve(t, newRuntime(up, "a", "b", "c"), tt.path)
				if res.Reason != tt.reason {
					t.Errorf("reason: got %q, want %q", res.Reason, tt.reason)
				}
				if got := len(up.requests()); got != tt.sent {
					t.Errorf("requests at servers: got %d, want %d", got, tt.sent)
				}
				if tt.status != 0 && (w.answer == nil || w.answer.Status != tt.status) {
					t.Errorf("answer: got %+v, want status %d", w.answer, tt.status)
				}
				if tt.status == 0 && (w.refusal == nil || w.refusal.Reason != tt.reason) {
					t.Errorf("refusal: got %+v, want %q", w.refusal, tt.reason)
				}
			})
		})
	}
}

// A server receives each client attempt at most once.
func TestRetriesGoToOtherServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{call: func(context.Context, string, int) (Answer, error) { return Answer{}, ErrNotRun }}
		serve(t, newRuntime(up, "a", "b", "c"), "/book/1")
		received := make(map[string]bool)
		for _, s := range up.requests() {
			if received[s.server] {
				t.Errorf("server %s received the request twice", s.server)
			}
			received[s.server] = true
		}
	})
}

func TestCallIsRefusedBeforeAnythingIsSent(t *testing.T) {
	tests := []struct {
		name   string
		change func(rt *Runtime, req *Request)
		reason Reason
	}{
		{"no config", func(rt *Runtime, _ *Request) { rt.config.Store(nil) }, ReasonNotReady},
		{"no route", func(_ *Runtime, r *Request) { r.Path = "/none/" }, ReasonNoRoute},
		{"no account", func(_ *Runtime, r *Request) { r.Key = "other" }, ReasonNoAccount},
		{"no id", func(_ *Runtime, r *Request) { r.ID = "" }, ReasonBadRequest},
		{"no server", func(rt *Runtime, _ *Request) { rt.UpdatePool(func(p *backend.Pool) { p.Remove("a", time.Now()) }) }, ReasonNoServer},
		{"node stops", func(rt *Runtime, _ *Request) { rt.Drain(time.Now()) }, ReasonDraining},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := &fakeUpstream{call: func(context.Context, string, int) (Answer, error) { return answer(200), nil }}
				rt := newRuntime(up, "a")
				req, w := testRequest("/book/1"), new(fakeResponder)
				tt.change(rt, req)
				res := rt.Serve(t.Context(), req, w)
				if res.Reason != tt.reason || !res.Reason.NotRun() {
					t.Errorf("reason: got %q (not run %v), want %q", res.Reason, res.Reason.NotRun(), tt.reason)
				}
				if got := len(up.requests()); got != 0 {
					t.Errorf("requests at servers: got %d, want none", got)
				}
			})
		})
	}
}

// A call that reached a server ends at its route's timeout, and the refusal does not state that it was not run.
func TestCallTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{call: func(ctx context.Context, _ string, _ int) (Answer, error) {
			<-ctx.Done()
			return Answer{}, fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
		}}
		start := time.Now()
		_, res := serve(t, newRuntime(up, "a", "b"), "/book/1")
		if res.Reason != ReasonTimeout {
			t.Errorf("reason: got %q, want %q", res.Reason, ReasonTimeout)
		}
		if got, want := time.Since(start), time.Second; got != want {
			t.Errorf("answered after %v, want %v", got, want)
		}
	})
}

// Nothing is sent for a caller that has left, and a call that reached a server is not sent again.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		up := &fakeUpstream{call: func(context.Context, string, int) (Answer, error) {
			cancel()
			return Answer{}, ErrUnknown
		}}
		rt := newRuntime(up, "a", "b")
		if res := rt.Serve(ctx, testRequest("/look/1"), new(fakeResponder)); res.Reason != ReasonCallerLeft {
			t.Errorf("reason: got %q, want %q", res.Reason, ReasonCallerLeft)
		}
		if res := rt.Serve(ctx, testRequest("/look/1"), new(fakeResponder)); res.Reason != ReasonCallerLeft {
			t.Errorf("reason of a caller that left before: got %q, want %q", res.Reason, ReasonCallerLeft)
		}
		if got := len(up.requests()); got != 1 {
			t.Errorf("requests at servers: got %d, want 1", got)
		}
	})
}

// All servers of a service are full. A call that cannot be served within its target is refused as not run, early enough
// for the caller to retry.
func TestFullServiceRefusesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := newRuntime(&fakeUpstream{}, "a")
		rt.loads.addRun("a", 18, 0)
		start := time.Now()
		w, res := serve(t, rt, "/book/1")
		if res.Reason != ReasonOverloaded || w.refusal.RetryAfter <= 0 {
			t.Errorf("got %q with %+v, want %q with a RetryAfter", res.Reason, w.refusal, ReasonOverloaded)
		}
		if got, limit := time.Since(start), 150*time.Millisecond; got > limit {
			t.Errorf("refused after %v, want at most %v", got, limit)
		}
	})
}

// All nodes together send no more than a cold server's rate.
func TestColdServersArePaced(t *testing.T) {
	const nodes, limit = 5, 53
	now := time.Unix(0, 0)
	total := 0
	for rank := range nodes {
		var p coldPacer
		for range 100 {
			if p.take("w1", limit, nodes, rank, now) {
				total++
			}
		}
	}
	if total > limit {
		t.Errorf("requests of %d nodes in one second: got %d, want at most %d", nodes, total, limit)
	}
	if total < limit/2 {
		t.Errorf("requests of %d nodes in one second: got %d, want at least %d", nodes, total, limit/2)
	}
}

// A planned stop must not cut calls that arrive late in its grace: those that could outlast it are refused as not run.
func TestCallsThatCouldOutlastAPlannedStopAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace, timeout = 8 * time.Second, 2500 * time.Millisecond
		up := &fakeUpstream{call: func(ctx context.Context, _ string, _ int) (Answer, error) {
			time.Sleep(timeout - 100*time.Millisecond)
			return Answer{Status: http.StatusOK}, nil
		}}
		rt := newRuntime(up, "d1")
		routes := []*route.Route{{Host: host, Prefix: "/book/", Kind: route.NonRepeatable, Timeout: timeout, LatencyTarget: time.Second, MaxAttempts: 1, Backends: []route.Backend{{Service: "desk"}}}}
		rt.SetConfig(route.New(2, routes, []*route.Service{{Name: "desk"}}, []*route.Account{{Name: "one", Keys: []string{"key"}}}, route.Limits{}))
		end := time.Now().Add(grace)
		rt.Drain(end)
		var group sync.WaitGroup
		var served, refused atomic.Int64
		for time.Now().Before(end) {
			group.Go(func() {
				w, res := serve(t, rt, "/book/1")
				switch {
				case w.answer != nil && time.Now().After(end):
					t.Errorf("a call was answered %v after the end of the grace", time.Since(end))
				case w.answer != nil:
					served.Add(1)
				case res.Reason == ReasonDraining && w.refusal.RetryAfter > 0:
					refused.Add(1)
				}
			})
			time.Sleep(500 * time.Millisecond)
		}
		group.Wait()
		if served.Load() < 8 || refused.Load() == 0 {
			t.Errorf("got %d calls served and %d refused, want at least 8 served and the late ones refused", served.Load(), refused.Load())
		}
	})
}

// A node whose own path to a server fails connects later, through another node. That says nothing of how fast the server works.
func TestTimeToConnectIsNoEvidenceOnTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const work = 20 * time.Millisecond
		up := &fakeUpstream{
			connect: map[string]time.Duration{"d1": 150 * time.Millisecond},
			call:    func(context.Context, string, int) (Answer, error) { time.Sleep(work); return answer(200), nil },
		}
		servers := []string{"d1", "d2", "d3"}
		rt := newRuntime(up, servers...)
		for range 60 {
			serve(t, rt, "/look/1")
		}
		rt.mu.Lock()
		defer rt.mu.Unlock()
		if got := rt.tracker.Judge(servers, time.Now()); len(got) > 0 {
			t.Errorf("servers avoided: got %v, want none", got)
		}
	})
}

// A caller of a call that may have run, and who closes only its own side, must not be assured that nothing has run.
func TestCallerWhoLeftIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{call: func(ctx context.Context, _ string, _ int) (Answer, error) {
			<-ctx.Done()
			return Answer{}, ErrUnknown
		}}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		w := new(fakeResponder)
		res := newRuntime(up, "d1").Serve(ctx, testRequest("/book/1"), w)
		if res.Reason != ReasonCallerLeft || w.refusal != nil || w.answer != nil {
			t.Errorf("got %+v, refusal %+v, answer %+v; want none", res, w.refusal, w.answer)
		}
	})
}

// The answer of a server that has ended may be a part if nothing marks its end. A call that may be repeated goes to another server.
func TestPartOfAnswerIsNotPassedOn(t *testing.T) {
	refused := fmt.Errorf("%w: %w", ErrNotSent, syscall.ECONNREFUSED)
	for _, tt := range []struct {
		name, path string
		closed     bool
		report     error
		sent       int
		reason     Reason
	}{
		{"repeatable", "/look/1", true, refused, 2, ReasonLost},
		{"not repeatable", "/book/1", true, refused, 1, ReasonLost},
		{"server runs", "/book/1", true, nil, 1, ""},
		{"marked end", "/book/1", false, refused, 1, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := &fakeUpstream{
					call: func(context.Context, string, int) (Answer, error) {
						return Answer{Status: 200, Body: []byte("first half"), Closed: tt.closed}, nil
					},
					report: func(string) (ServerReport, error) { return ServerReport{}, tt.report },
				}
				w, res := serve(t, newRuntime(up, "d1", "d2"), tt.path)
				if res.Reason != tt.reason || len(up.requests()) != tt.sent || (w.answer != nil) != (tt.reason == "") {
					t.Errorf("got %+v after %d requests, answer %v; want reason %q after %d", res, len(up.requests()), w.answer, tt.reason, tt.sent)
				}
			})
		})
	}
}

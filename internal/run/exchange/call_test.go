package exchange

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/backend"
)

func answer(status int) Answer { return Answer{Status: status, Header: http.Header{}} }

func TestCallEnds(t *testing.T) {
	ok, bad := answer(200), answer(500)
	tests := []struct {
		name   string
		path   string
		script []any // by call: an Answer or an error
		status int   // of the server's answer that the caller gets; 0 for a refusal
		reason Reason
		sent   int
	}{
		{"answer", "/look/1", []any{ok}, 200, "", 1},
		{"failure of a repeatable call", "/look/1", []any{bad, ok}, 200, "", 2},
		{"failures up to the route's attempts", "/look/1", []any{bad, bad}, 500, "", 2},
		{"failure of a call that may not be repeated", "/book/1", []any{bad}, 500, "", 1},
		{"failure that no server of the system made", "/look/1", []any{answer(404)}, 404, "", 1},
		{"lost answer of a repeatable call", "/look/1", []any{ErrUnknown, ok}, 200, "", 2},
		{"lost answer of a call that may not be repeated", "/book/1", []any{ErrUnknown}, 0, ReasonLost, 1},
		{"lost answers", "/look/1", []any{ErrUnknown, ErrUnknown}, 0, ReasonLost, 2},
		{"refused connection", "/book/1", []any{ErrNotSent, ok}, 200, "", 2},
		{"server that did not run it", "/book/1", []any{ErrNotRun, ok}, 200, "", 2},
		{"no server ran it", "/book/1", []any{ErrNotRun, ErrNotRun, ErrNotRun}, 0, ReasonNotRun, 3},
		{"lost answer after one that did not run it", "/book/1", []any{ErrNotRun, ErrUnknown}, 0, ReasonLost, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := &script{call: func(_ context.Context, _ string, n int) (Answer, error) {
					if a, isAnswer := tt.script[n].(Answer); isAnswer {
						return a, nil
					}
					return Answer{}, tt.script[n].(error)
				}}
				p, res := serve(t, newRuntime(up, "a", "b", "c"), tt.path)
				if res.Reason != tt.reason {
					t.Errorf("reason: got %q, want %q", res.Reason, tt.reason)
				}
				if got := len(up.all()); got != tt.sent {
					t.Errorf("requests at servers: got %d, want %d", got, tt.sent)
				}
				if tt.status != 0 && (p.answer == nil || p.answer.Status != tt.status) {
					t.Errorf("answer: got %+v, want status %d", p.answer, tt.status)
				}
				if tt.status == 0 && (p.refusal == nil || p.refusal.Reason != tt.reason) {
					t.Errorf("refusal: got %+v, want %q", p.refusal, tt.reason)
				}
			})
		})
	}
}

// A server is asked once for each client attempt.
func TestRepeatsGoToOtherServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &script{call: func(context.Context, string, int) (Answer, error) { return Answer{}, ErrNotRun }}
		serve(t, newRuntime(up, "a", "b", "c"), "/book/1")
		asked := make(map[string]bool)
		for _, s := range up.all() {
			if asked[s.server] {
				t.Errorf("server %s was asked twice", s.server)
			}
			asked[s.server] = true
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
		{"no server", func(rt *Runtime, _ *Request) { rt.UpdatePool(func(p *backend.Pool) { p.Remove("a") }) }, ReasonNoServer},
		{"node ends", func(rt *Runtime, _ *Request) { rt.Drain(time.Now()) }, ReasonDraining},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := &script{call: func(context.Context, string, int) (Answer, error) { return answer(200), nil }}
				rt := newRuntime(up, "a")
				req, p := request("/book/1"), new(page)
				tt.change(rt, req)
				res := rt.Serve(t.Context(), req, p)
				if res.Reason != tt.reason || !res.Reason.NotRun() {
					t.Errorf("reason: got %q (not run %v), want %q", res.Reason, res.Reason.NotRun(), tt.reason)
				}
				if got := len(up.all()); got != 0 {
					t.Errorf("requests at servers: got %d, want none", got)
				}
			})
		})
	}
}

// A call that reached a server ends at its route's timeout, and the answer does not say that it was not run.
func TestCallTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &script{call: func(ctx context.Context, _ string, _ int) (Answer, error) {
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

// Nothing is sent for a caller that has left, and a call that is at a server is not sent again.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		up := &script{call: func(context.Context, string, int) (Answer, error) {
			cancel()
			return Answer{}, ErrUnknown
		}}
		rt := newRuntime(up, "a", "b")
		if res := rt.Serve(ctx, request("/look/1"), new(page)); res.Reason != ReasonCallerLeft {
			t.Errorf("reason: got %q, want %q", res.Reason, ReasonCallerLeft)
		}
		if res := rt.Serve(ctx, request("/look/1"), new(page)); res.Reason != ReasonCallerLeft {
			t.Errorf("reason of a caller that left before: got %q, want %q", res.Reason, ReasonCallerLeft)
		}
		if got := len(up.all()); got != 1 {
			t.Errorf("requests at servers: got %d, want 1", got)
		}
	})
}

// The load pattern of a service whose servers are all full: what cannot be served in its target is refused as not
// run, in time for the caller to come back.
func TestFullServiceRefusesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := newRuntime(&script{}, "a")
		rt.book.run("a", 18, 0)
		start := time.Now()
		p, res := serve(t, rt, "/book/1")
		if res.Reason != ReasonOverloaded || p.refusal.RetryAfter <= 0 {
			t.Errorf("got %q with %+v, want %q with a time to come back", res.Reason, p.refusal, ReasonOverloaded)
		}
		if got, limit := time.Since(start), 150*time.Millisecond; got > limit {
			t.Errorf("refused after %v, want at most %v", got, limit)
		}
	})
}

// Cold servers get no more than their rate from all nodes together.
func TestColdServersArePaced(t *testing.T) {
	const nodes, limit = 5, 53
	now := time.Unix(0, 0)
	total := 0
	for rank := range nodes {
		var p pace
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

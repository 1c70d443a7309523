package exchange

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/backend"
)

// noticingUpstream is an upstream whose servers say something of themselves in each answer.
type noticingUpstream struct {
	fakeUpstream
	notices map[string]Notice
}

func (u *noticingUpstream) Call(ctx context.Context, srv backend.Server, req *Admitted) (Answer, error) {
	u.record(srv.ID, req.ID, OpenOptions{})
	n := u.notices[srv.ID]
	req.RecordNotice(srv, n)
	if n.Backoff > 0 {
		return Answer{}, ErrNotRun
	}
	return Answer{Status: 200}, nil
}

func (u *noticingUpstream) count(server string) int {
	n := 0
	for _, r := range u.requests() {
		if r.server == server {
			n++
		}
	}
	return n
}

func serveMany(rt *Runtime, t *testing.T, n int, every time.Duration) (served int) {
	for i := range n {
		req := testRequest("/look/x")
		req.ID = fmt.Sprint("q", i)
		if res := rt.Serve(t.Context(), req, new(fakeResponder)); res.Reason == "" {
			served++
		}
		time.Sleep(every)
	}
	return served
}

// A server that says in an answer that it leaves gets no request after that, whatever its registration says.
func TestServerThatSaysItLeavesGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &noticingUpstream{notices: map[string]Notice{"d1": {Leaving: true}}}
		rt := newRuntime(u, "d1", "d2")
		for range 5 {
			serveMany(rt, t, 10, 10*time.Millisecond)
			rt.UpdatePool(func(p *backend.Pool) { p.Put(testServer("d1")) }) // its registration is renewed
		}
		if got := u.count("d1"); got != 1 {
			t.Errorf("requests at the server that leaves: got %d, want 1", got)
		}
		next := testServer("d1")
		next.StartedAt = time.Now()
		u.notices = nil
		rt.UpdatePool(func(p *backend.Pool) { p.Put(next) })
		if serveMany(rt, t, 20, 10*time.Millisecond); u.count("d1") < 2 {
			t.Errorf("requests after it started again: got %d, want some", u.count("d1")-1)
		}
	})
}

// A server that turned a request away for a time gets none until that has passed, also none that continues a run there.
func TestServerThatWantsNothingGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &noticingUpstream{notices: map[string]Notice{"d1": {Backoff: 3 * time.Second}}}
		rt := newRuntime(u, "d1", "d2")
		if got, want := serveMany(rt, t, 100, 25*time.Millisecond), 100; got != want {
			t.Errorf("served: got %d, want %d by the other server", got, want)
		}
		if got := u.count("d1"); got != 1 {
			t.Errorf("requests within the time: got %d, want 1", got)
		}
		u.notices = nil
		time.Sleep(600 * time.Millisecond)
		if serveMany(rt, t, 20, 10*time.Millisecond); u.count("d1") < 2 {
			t.Errorf("requests after the time: got %d, want some", u.count("d1")-1)
		}
	})
}

// A shorter time in a later answer, or a refusal for lack of capacity, does not shorten the first.
func TestBackoffIsNotShortened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := newRuntime(&fakeUpstream{}, "d1")
		srv := testServer("d1")
		rt.recordNotice(srv, Notice{Backoff: 2 * time.Second})
		rt.recordNotice(srv, Notice{Backoff: time.Second})
		rt.markFull(srv)
		time.Sleep(1900 * time.Millisecond)
		if !rt.wantsNothing(srv) || rt.mayStart(srv) {
			t.Error("the server gets requests before its time")
		}
	})
}

// Where all servers want nothing until after a request could wait, it is refused at once, with the time when the first one does.
func TestRequestsAreRefusedWhileAllServersWantNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := newRuntime(&fakeUpstream{}, "d1", "d2")
		rt.recordNotice(testServer("d1"), Notice{Backoff: 4 * time.Second})
		rt.recordNotice(testServer("d2"), Notice{Backoff: 3 * time.Second})
		start := time.Now()
		w, res := serve(t, rt, "/look/1")
		if got, want := time.Since(start), 10*time.Millisecond; got > want {
			t.Errorf("refused after %v, want at most %v", got, want)
		}
		if w.refusal == nil || !res.Reason.NotRun() || w.refusal.RetryAfter < 2900*time.Millisecond || w.refusal.RetryAfter > 3*time.Second {
			t.Errorf("got %+v with %+v, want a refusal that was not run, until the first server wants requests", res, w.refusal)
		}
	})
}

// A run must not continue at a server that wants nothing.
func TestRunDoesNotContinueAtServerThatWantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fakeUpstream{copy: func(string, string, bool) (string, error) { return "", ErrNotSent }}
		u.open = func(_ string, n int, _ OpenOptions) (Events, *Answer, error) {
			if n > 0 {
				return newFakeEvents(20, 22, io.EOF), nil, nil
			}
			return newFakeEvents(0, 20, errCut), nil, nil
		}
		rt := newRuntime(u, "w1", "w2")
		time.AfterFunc(50*time.Millisecond, func() {
			for _, id := range []string{"w1", "w2"} {
				rt.recordNotice(testServer(id), Notice{Backoff: time.Minute})
			}
		})
		serve(t, rt, "/plan/1")
		if got := len(u.requests()); got != 1 {
			t.Errorf("requests: got %d, want 1", got)
		}
	})
}

package exchange

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/backend"
)

// Returns the text of events 1 to n.
func text(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprint(&b, i+1, " ")
	}
	return b.String()
}

func checkWhole(t *testing.T, p *page, res Result, n int) {
	t.Helper()
	if got, want := p.text.String(), text(n); got != want || !p.ended || res.Truncated || res.Reason != "" {
		t.Errorf("got %q (ended %v) with %+v, want %q whole", got, p.ended, res, want)
	}
}

func TestStreamIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &script{open: func(string, int, OpenOptions) (Events, *Answer, error) { return play(0, 5, io.EOF), nil, nil }}
		rt := newRuntime(up, "w1", "w2")
		p, res := serve(t, rt, "/plan/1")
		checkWhole(t, p, res, 5)
		if len(rt.book.own) != 0 || len(rt.runs) != 0 {
			t.Errorf("after the end: got loads %v and %d runs, want none", rt.book.own, len(rt.runs))
		}
	})
}

// A stream whose server goes continues at the server of its copy, after the last event that reached the caller.
func TestBrokenStreamContinuesAtItsCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &script{open: func(_ string, n int, _ OpenOptions) (Events, *Answer, error) {
			switch n {
			case 0:
				return play(0, 3, errCut), nil, nil
			case 1:
				return nil, nil, ErrNotRun // full for a moment
			}
			return play(3, 6, io.EOF), nil, nil
		}}
		p, res := serve(t, newRuntime(up, "w1", "w2", "w3"), "/plan/1")
		checkWhole(t, p, res, 6)
		sent := up.all()
		if len(sent) != 3 {
			t.Fatalf("requests: got %+v, want 3", sent)
		}
		first, last := sent[0], sent[2]
		if first.how.CopyTo == nil || last.server != first.how.CopyTo.ID {
			t.Errorf("continued at %s, want the server of the copy %+v", last.server, first.how.CopyTo)
		}
		if last.how.AfterID != "3" || last.how.From.Handle != "r1" || last.how.From.Server.ID != last.server {
			t.Errorf("continued with %+v, want the run's own copy after event 3", last.how)
		}
		if last.how.CopyTo == nil || last.how.CopyTo.ID == last.server || last.how.CopyTo.ID == first.server {
			t.Errorf("next copy: got %+v, want a server that is neither %s nor %s", last.how.CopyTo, first.server, last.server)
		}
	})
}

func TestStreamWithoutACopyIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &script{open: func(string, int, OpenOptions) (Events, *Answer, error) { return play(0, 3, errCut), nil, nil }}
		p, res := serve(t, newRuntime(up, "w1"), "/plan/1")
		if !res.Truncated || res.Reason != ReasonBroken || p.ended {
			t.Errorf("got %+v (ended %v), want a cut stream", res, p.ended)
		}
		if got := len(up.all()); got != 1 {
			t.Errorf("requests at servers: got %d, want 1: a stream runs once", got)
		}
	})
}

func TestSilentStreamContinuesAtItsCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &script{open: func(_ string, n int, _ OpenOptions) (Events, *Answer, error) {
			if n == 0 {
				return play(0, 3, nil), nil, nil
			}
			return play(3, 6, io.EOF), nil, nil
		}}
		start := time.Now()
		p, res := serve(t, newRuntime(up, "w1", "w2"), "/plan/1")
		checkWhole(t, p, res, 6)
		if got, limit := time.Since(start), 2*silenceLimit; got > limit {
			t.Errorf("ended after %v, want at most %v", got, limit)
		}
	})
}

// A run whose copy went with its server is copied at the notice, stopped before its own server goes, and continues
// from there.
func TestRunWithoutACopyMovesAtTheNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		stopped := make(chan struct{})
		asked := make(map[string]int) // servers have no room for a copy when they are asked first
		up := &script{
			open: func(_ string, n int, _ OpenOptions) (Events, *Answer, error) {
				if n > 0 {
					return play(n*1000, n*1000+2, io.EOF), nil, nil
				}
				first := play(0, 1000, errCut)
				first.stop = stopped
				return first, nil, nil
			},
			copy: func(_, to string, stop bool) (string, error) {
				time.Sleep(200 * time.Millisecond)
				if asked[to]++; asked[to] == 1 {
					return "", ErrNotRun
				}
				if stop {
					close(stopped)
				}
				return fmt.Sprint("copy-", stop), nil
			},
		}
		rt := newRuntime(up, "w1", "w2", "w3", "w4")
		done := make(chan Result)
		p := new(page)
		go func() { done <- rt.Serve(ctx, request("/plan/1"), p) }()
		time.Sleep(500 * time.Millisecond)
		first := up.all()[0]
		rt.UpdatePool(func(pool *backend.Pool) { pool.Remove(first.how.CopyTo.ID) })
		notice := time.Now()
		rt.UpdatePool(func(pool *backend.Pool) { pool.Remove(first.server) })
		if res := <-done; res.Reason != "" {
			t.Fatalf("got %+v, want a whole stream", res)
		}
		if got, limit := time.Since(notice), 1500*time.Millisecond; got > limit {
			t.Errorf("left the server %v after the notice, want at most %v", got, limit)
		}
		next := up.all()[1]
		if want := first.server + ">" + next.server + "!stop"; !strings.HasSuffix(up.copied(), want) || len(asked) < 2 {
			t.Errorf("copies: got %q, want %q at the end, after two servers without room", up.copied(), want)
		}
		if next.how.From.Handle != "copy-true" || next.how.From.Server.ID != first.server {
			t.Errorf("continued from %+v, want the last copy that %s made", next.how.From, first.server)
		}
	})
}

// Only a server's own word leads to another server before the first event.
func TestOpeningOfAStream(t *testing.T) {
	tests := []struct {
		name   string
		err    error
		sent   int
		reason Reason
	}{
		{"refused connection", ErrNotSent, 2, ""},
		{"not run", ErrNotRun, 2, ""},
		{"lost", ErrUnknown, 1, ReasonLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := &script{open: func(_ string, n int, _ OpenOptions) (Events, *Answer, error) {
					if n == 0 {
						return nil, nil, tt.err
					}
					return play(0, 2, io.EOF), nil, nil
				}}
				_, res := serve(t, newRuntime(up, "w1", "w2"), "/plan/1")
				if got := len(up.all()); res.Reason != tt.reason || got != tt.sent {
					t.Errorf("got reason %q after %d requests, want %q after %d", res.Reason, got, tt.reason, tt.sent)
				}
			})
		})
	}
}

func TestCallerOfAStreamLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &script{open: func(string, int, OpenOptions) (Events, *Answer, error) { return play(0, 100, errCut), nil, nil }}
		rt := newRuntime(up, "w1", "w2")
		p := new(page)
		time.AfterFunc(200*time.Millisecond, func() { _ = p.write(func() { p.broken = true }) })
		if res := rt.Serve(t.Context(), request("/plan/1"), p); res.Reason != ReasonCallerLeft {
			t.Errorf("reason: got %q, want %q", res.Reason, ReasonCallerLeft)
		}
		if got := len(up.all()); got != 1 {
			t.Errorf("requests at servers: got %d, want 1", got)
		}
	})
}

// The load pattern of engines without memory: requests wait in the order of their urgency, those that cannot begin in
// time are refused, and each place that becomes free goes to the first.
func TestWaitingStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &script{open: func(string, int, OpenOptions) (Events, *Answer, error) { return play(0, 40, io.EOF), nil, nil }}
		rt := newRuntime(up, "w1")
		const streams = 16 // more than memory holds
		results := make(chan Result, streams)
		for i := range streams {
			req := request("/plan/1")
			req.ID = fmt.Sprint("r", i)
			go func() { results <- rt.Serve(t.Context(), req, new(page)) }()
		}
		served := 0
		for range streams {
			res := <-results
			switch res.Reason {
			case "":
				served++
			case ReasonOverloaded:
			default:
				t.Errorf("reason: got %q, want none or %q", res.Reason, ReasonOverloaded)
			}
		}
		if served < 2*8 {
			t.Errorf("served: got %d of %d, want all in two rounds", served, streams)
		}
		if len(rt.waiting.list) != 0 || len(rt.book.own) != 0 {
			t.Errorf("after the end: got %d waiting and loads %v, want none", len(rt.waiting.list), rt.book.own)
		}
	})
}

// A server's silence is no reason to end a stream: without a copy, or when the copy's server does not take the run,
// the server is waited for.
func TestSilentServerIsWaitedFor(t *testing.T) {
	for _, servers := range [][]string{{"w1"}, {"w1", "w2"}} {
		t.Run(fmt.Sprintf("%d servers", len(servers)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := &script{open: func(_ string, n int, _ OpenOptions) (Events, *Answer, error) {
					if n > 0 {
						return nil, nil, ErrNotRun
					}
					slow := play(0, 4, io.EOF)
					slow.gap = 2500 * time.Millisecond
					return slow, nil, nil
				}}
				p, res := serve(t, newRuntime(up, servers...), "/plan/1")
				checkWhole(t, p, res, 4)
			})
		})
	}
}

// A run is not stopped for a move that could not be finished.
func TestRunIsNotStoppedWithoutABudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &script{open: func(string, int, OpenOptions) (Events, *Answer, error) { return play(0, 400, io.EOF), nil, nil }}
		rt := newRuntime(up, "w1", "w2", "w3")
		rt.SetBounds(Bounds{RetryWindow: 10 * time.Second})
		done := make(chan Result)
		go func() { done <- rt.Serve(t.Context(), request("/plan/1"), new(page)) }()
		time.Sleep(500 * time.Millisecond)
		first := up.all()[0]
		rt.UpdatePool(func(pool *backend.Pool) {
			pool.Remove(first.how.CopyTo.ID)
			pool.Remove(first.server)
		})
		if res := <-done; res.Reason != "" {
			t.Errorf("got %+v, want a whole stream", res)
		}
		if strings.Contains(up.copied(), "stop") {
			t.Errorf("copies: got %q, want no stop", up.copied())
		}
	})
}

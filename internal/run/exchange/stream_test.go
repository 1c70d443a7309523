package exchange

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/backend"
)

// eventText returns the text of events 1 to n.
func eventText(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprint(&b, i+1, " ")
	}
	return b.String()
}

func checkComplete(t *testing.T, w *fakeResponder, res Result, n int) {
	t.Helper()
	if got, want := w.text.String(), eventText(n); got != want || !w.ended || res.Truncated || res.Reason != "" {
		t.Errorf("got %q (ended %v) with %+v, want %q complete", got, w.ended, res, want)
	}
}

func TestStreamIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{open: func(string, int, OpenOptions) (Events, *Answer, error) { return newFakeEvents(0, 5, io.EOF), nil, nil }}
		rt := newRuntime(up, "w1", "w2")
		w, res := serve(t, rt, "/plan/1")
		checkComplete(t, w, res, 5)
		if len(rt.loads.own) != 0 || len(rt.runs) != 0 {
			t.Errorf("after the end: got loads %v and %d runs, want none", rt.loads.own, len(rt.runs))
		}
	})
}

// A stream whose server stops continues at the server of its copy, after the last event that reached the caller.
func TestBrokenStreamContinuesAtItsCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{open: func(_ string, n int, _ OpenOptions) (Events, *Answer, error) {
			switch n {
			case 0:
				return newFakeEvents(0, 3, errCut), nil, nil
			case 1:
				return nil, nil, ErrNotRun // full for a moment
			}
			return newFakeEvents(3, 6, io.EOF), nil, nil
		}}
		up.copy = func(string, string, bool) (string, error) { return "", ErrNotSent } // the server has ended
		w, res := serve(t, newRuntime(up, "w1", "w2", "w3"), "/plan/1")
		checkComplete(t, w, res, 6)
		sent := up.requests()
		if len(sent) != 3 {
			t.Fatalf("requests: got %+v, want 3", sent)
		}
		first, last := sent[0], sent[2]
		if first.opts.CopyTo == nil || last.server != first.opts.CopyTo.ID {
			t.Errorf("continued at %s, want the server of the copy %+v", last.server, first.opts.CopyTo)
		}
		if last.opts.AfterID != "3" || last.opts.From.Handle != "r1" || last.opts.From.Server.ID != last.server {
			t.Errorf("continued with %+v, want the run's own copy after event 3", last.opts)
		}
		if last.opts.CopyTo == nil || last.opts.CopyTo.ID == last.server || last.opts.CopyTo.ID == first.server {
			t.Errorf("next copy: got %+v, want a server that is neither %s nor %s", last.opts.CopyTo, first.server, last.server)
		}
	})
}

// commentedEvents is a stream that has a comment before its end.
type commentedEvents struct {
	*fakeEvents
	sent bool
}

func (e *commentedEvents) Next() (Event, error) {
	if e.from < e.to || e.sent {
		return e.fakeEvents.Next()
	}
	e.sent = true
	return Event{Data: []byte(": waiting\n\n")}, nil
}

// A comment is no event: a stream that breaks after one must not begin again at its first event.
func TestStreamThatBreaksAfterACommentContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{open: func(_ string, n int, _ OpenOptions) (Events, *Answer, error) {
			if n == 0 {
				return &commentedEvents{fakeEvents: newFakeEvents(0, 3, errCut)}, nil, nil
			}
			return newFakeEvents(3, 6, io.EOF), nil, nil
		}}
		up.copy = func(string, string, bool) (string, error) { return "", ErrNotSent } // the server has ended
		_, res := serve(t, newRuntime(up, "w1", "w2", "w3"), "/plan/1")
		sent := up.requests()
		if res.Reason != "" || len(sent) != 2 || sent[1].opts.AfterID != "3" {
			t.Errorf("got %+v with requests %+v, want it to continue once after event 3", res, sent)
		}
	})
}

func TestStreamWithoutACopyIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{open: func(string, int, OpenOptions) (Events, *Answer, error) { return newFakeEvents(0, 3, errCut), nil, nil }}
		w, res := serve(t, newRuntime(up, "w1"), "/plan/1")
		if !res.Truncated || res.Reason != ReasonBroken || w.ended {
			t.Errorf("got %+v (ended %v), want a truncated stream", res, w.ended)
		}
		if got := len(up.requests()); got != 1 {
			t.Errorf("requests at servers: got %d, want 1: a stream runs once", got)
		}
	})
}

// A server that sends bytes without end or bytes that are no answer is avoided, as one that cannot be reached.
func TestServerWithMalformedAnswersIsAvoided(t *testing.T) {
	malformed := fmt.Errorf("%w: event without end", ErrMalformed)
	tests := []struct {
		name, path string
		up         *fakeUpstream
		servers    []string
	}{
		{"stream", "/plan/1", &fakeUpstream{open: func(_ string, n int, _ OpenOptions) (Events, *Answer, error) {
			if n == 0 {
				return newFakeEvents(0, 3, malformed), nil, nil
			}
			return newFakeEvents(3, 6, io.EOF), nil, nil
		}}, []string{"w1", "w2", "w3"}},
		{"call", "/book/1", &fakeUpstream{call: func(context.Context, string, int) (Answer, error) {
			return Answer{}, fmt.Errorf("%w: %w", ErrUnknown, malformed)
		}}, []string{"d1", "d2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := newRuntime(tt.up, tt.servers...)
				_, res := serve(t, rt, tt.path)
				if res.Reason != "" && res.Reason.NotRun() {
					t.Errorf("got reason %q, which says that the request has not run", res.Reason)
				}
				service := testServer(tt.servers[0]).Service
				time.Sleep(verdictTTL)
				rt.mu.Lock()
				defer rt.mu.Unlock()
				first := tt.up.requests()[0].server
				if !rt.avoided(service, rt.pool.Usable(service, time.Now()), time.Now())[first] {
					t.Errorf("server %s is not avoided after a malformed answer", first)
				}
				if got := rt.count.malformed.Load(); got == 0 {
					t.Errorf("malformed answers counted: got 0, want at least 1")
				}
			})
		})
	}
}

func TestSilentStreamContinuesAtItsCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{open: func(_ string, n int, _ OpenOptions) (Events, *Answer, error) {
			if n == 0 {
				return newFakeEvents(0, 3, nil), nil, nil
			}
			return newFakeEvents(3, 6, io.EOF), nil, nil
		}}
		start := time.Now()
		w, res := serve(t, newRuntime(up, "w1", "w2"), "/plan/1")
		checkComplete(t, w, res, 6)
		if got, limit := time.Since(start), 2*silenceLimit; got > limit {
			t.Errorf("ended after %v, want at most %v", got, limit)
		}
	})
}

// The server of a run's copy has stopped when the run's own server gets its termination notice. The run is copied to
// another server, stopped before its own server stops, and continues from that copy.
func TestRunWithoutACopyMovesAtTheNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		stopped := make(chan struct{})
		copies := make(map[string]int) // each server refuses its first copy for lack of capacity
		up := &fakeUpstream{
			open: func(_ string, n int, _ OpenOptions) (Events, *Answer, error) {
				if n > 0 {
					return newFakeEvents(n*1000, n*1000+2, io.EOF), nil, nil
				}
				first := newFakeEvents(0, 1000, errCut)
				first.stop = stopped
				return first, nil, nil
			},
			copy: func(_, to string, stop bool) (string, error) {
				time.Sleep(200 * time.Millisecond)
				if copies[to]++; copies[to] == 1 {
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
		w := new(fakeResponder)
		go func() { done <- rt.Serve(ctx, testRequest("/plan/1"), w) }()
		time.Sleep(500 * time.Millisecond)
		first := up.requests()[0]
		rt.UpdatePool(func(pool *backend.Pool) { pool.Remove(first.opts.CopyTo.ID, time.Now()) })
		notice := time.Now()
		rt.UpdatePool(func(pool *backend.Pool) { pool.Remove(first.server, time.Now()) })
		if res := <-done; res.Reason != "" {
			t.Fatalf("got %+v, want a complete stream", res)
		}
		if got, limit := time.Since(notice), 1500*time.Millisecond; got > limit {
			t.Errorf("left the server %v after the notice, want at most %v", got, limit)
		}
		next := up.requests()[1]
		if want := first.server + ">" + next.server + "!stop"; !strings.HasSuffix(up.copyLog(), want) || len(copies) < 2 {
			t.Errorf("copies: got %q, want %q at the end, after two servers without capacity", up.copyLog(), want)
		}
		if next.opts.From.Handle != "copy-true" || next.opts.From.Server.ID != first.server {
			t.Errorf("continued from %+v, want the last copy that %s made", next.opts.From, first.server)
		}
	})
}

// Before the first event, a stream goes to another server only if the first one was not reached or states that it did
// not run the request.
func TestOpenFailures(t *testing.T) {
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
				up := &fakeUpstream{open: func(_ string, n int, _ OpenOptions) (Events, *Answer, error) {
					if n == 0 {
						return nil, nil, tt.err
					}
					return newFakeEvents(0, 2, io.EOF), nil, nil
				}}
				_, res := serve(t, newRuntime(up, "w1", "w2"), "/plan/1")
				if got := len(up.requests()); res.Reason != tt.reason || got != tt.sent {
					t.Errorf("got reason %q after %d requests, want %q after %d", res.Reason, got, tt.reason, tt.sent)
				}
			})
		})
	}
}

func TestCallerOfAStreamLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{open: func(string, int, OpenOptions) (Events, *Answer, error) {
			return newFakeEvents(0, 100, errCut), nil, nil
		}}
		rt := newRuntime(up, "w1", "w2")
		w := new(fakeResponder)
		time.AfterFunc(200*time.Millisecond, func() { _ = w.write(func() { w.broken = true }) })
		if res := rt.Serve(t.Context(), testRequest("/plan/1"), w); res.Reason != ReasonCallerLeft {
			t.Errorf("reason: got %q, want %q", res.Reason, ReasonCallerLeft)
		}
		if got := len(up.requests()); got != 1 {
			t.Errorf("requests at servers: got %d, want 1", got)
		}
	})
}

// More streams arrive than the engines' memory holds. They wait in order of priority, those that cannot start in time are
// refused, and each slot that becomes free goes to the first one waiting.
func TestWaitingStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{open: func(string, int, OpenOptions) (Events, *Answer, error) { return newFakeEvents(0, 40, io.EOF), nil, nil }}
		rt := newRuntime(up, "w1")
		const streams = 16 // more than the engine's memory holds
		results := make(chan Result, streams)
		for i := range streams {
			req := testRequest("/plan/1")
			req.ID = fmt.Sprint("r", i)
			go func() { results <- rt.Serve(t.Context(), req, new(fakeResponder)) }()
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
		if len(rt.waiting.list) != 0 || len(rt.loads.own) != 0 {
			t.Errorf("after the end: got %d waiting and loads %v, want none", len(rt.waiting.list), rt.loads.own)
		}
	})
}

// Silence alone must not end a stream: without a copy it waits for its server, and if the server of the copy refuses the run, which
// has been stopped by then, it goes on at its own server.
func TestStreamWaitsForSilentServer(t *testing.T) {
	for _, servers := range [][]string{{"w1"}, {"w1", "w2"}} {
		t.Run(fmt.Sprintf("%d servers", len(servers)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				slowFrom := func(last int) *fakeEvents {
					e := newFakeEvents(last, 4, io.EOF)
					e.gap = 2500 * time.Millisecond
					return e
				}
				up := &fakeUpstream{}
				up.open = func(server string, n int, opts OpenOptions) (Events, *Answer, error) {
					if n == 0 {
						return slowFrom(0), nil, nil
					}
					if opts.From.Handle != "handle" || server != up.requests()[0].server {
						return nil, nil, ErrNotRun
					}
					last, err := strconv.Atoi(opts.AfterID)
					if err != nil {
						t.Errorf("last event: got %q, want a number", opts.AfterID)
					}
					return slowFrom(last), nil, nil
				}
				w, res := serve(t, newRuntime(up, servers...), "/plan/1")
				checkComplete(t, w, res, 4)
			})
		})
	}
}

// A run must not be stopped for a move that the retry budget does not allow to complete.
func TestRunIsNotStoppedWithoutABudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{open: func(string, int, OpenOptions) (Events, *Answer, error) {
			return newFakeEvents(0, 400, io.EOF), nil, nil
		}}
		rt := newRuntime(up, "w1", "w2", "w3")
		rt.SetBounds(Bounds{RetryWindow: 10 * time.Second})
		done := make(chan Result)
		go func() { done <- rt.Serve(t.Context(), testRequest("/plan/1"), new(fakeResponder)) }()
		time.Sleep(500 * time.Millisecond)
		first := up.requests()[0]
		rt.UpdatePool(func(pool *backend.Pool) {
			pool.Remove(first.opts.CopyTo.ID, time.Now())
			pool.Remove(first.server, time.Now())
		})
		if res := <-done; res.Reason != "" {
			t.Errorf("got %+v, want a complete stream", res)
		}
		if strings.Contains(up.copyLog(), "stop") {
			t.Errorf("copies: got %q, want no stop", up.copyLog())
		}
	})
}

// All streams of a server continue at a cold one when their server crashes. They take their share of its rate, as new streams do: the cold
// server got more than twice what it tolerates and crashed, too.
func TestContinuationsKeepTheRateOfAColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams, rate = 30, 3.0
		crashed := make(chan struct{})
		up := &fakeUpstream{copy: func(string, string, bool) (string, error) { return "", ErrNotSent }}
		var mu sync.Mutex
		var arrived []time.Time // of continuations
		up.open = func(_ string, _ int, opts OpenOptions) (Events, *Answer, error) {
			if opts.From.Handle == "" {
				first := newFakeEvents(0, 1000, errCut)
				first.stop = crashed
				return first, nil, nil
			}
			mu.Lock()
			defer mu.Unlock()
			arrived = append(arrived, time.Now())
			return newFakeEvents(900, 906, io.EOF), nil, nil
		}
		rt := newRuntime(up, "w1", "w2")
		rt.SetConfig(coldConfig(rate))
		results := make(chan Result, streams)
		for i := range streams {
			req := testRequest("/plan/1")
			req.ID, req.Generation = fmt.Sprint("r", i), Generation{PromptTokens: 200, MaxTokens: 600, LengthHint: 300}
			go func() { results <- rt.Serve(t.Context(), req, new(fakeResponder)) }()
		}
		time.Sleep(300 * time.Millisecond)
		rt.UpdatePool(func(p *backend.Pool) {
			for _, id := range []string{"w1", "w2"} {
				srv := testServer(id)
				srv.ColdUntil = time.Now().Add(time.Minute)
				p.Put(srv)
			}
		})
		close(crashed)
		for range streams {
			<-results
		}
		limit := int(2 * (1.5*rate + 5)) // of both servers
		for i, from := range arrived {
			n := 0
			for _, at := range arrived[i:] {
				if at.Sub(from) < time.Second {
					n++
				}
			}
			if n > limit {
				t.Fatalf("continuations at two cold servers in one second: got %d, want at most %d", n, limit)
			}
		}
		if len(arrived) < limit/2 {
			t.Errorf("continuations: got %d, want at least %d", len(arrived), limit/2)
		}
	})
}

// A server may leave while a continuation waits for its share of the server's rate. It must not be sent there then.
func TestContinuationIsNotSentToServerThatLeftWhileItWaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crashed := make(chan struct{})
		up := &fakeUpstream{copy: func(string, string, bool) (string, error) { return "", ErrNotSent }}
		up.open = func(_ string, _ int, opts OpenOptions) (Events, *Answer, error) {
			if opts.From.Handle != "" {
				return newFakeEvents(900, 906, io.EOF), nil, nil
			}
			first := newFakeEvents(0, 1000, errCut)
			first.stop = crashed
			return first, nil, nil
		}
		rt := newRuntime(up, "w1", "w2")
		rt.SetConfig(coldConfig(3))
		done := make(chan Result)
		go func() { done <- rt.Serve(t.Context(), testRequest("/plan/1"), new(fakeResponder)) }()
		time.Sleep(500 * time.Millisecond)
		leaving := *up.requests()[0].opts.CopyTo
		leaving.ColdUntil = time.Now().Add(time.Minute)
		rt.UpdatePool(func(p *backend.Pool) { p.Put(leaving) })
		rt.mu.Lock()
		svc := rt.config.Load().Service("writers")
		for rt.takeColdRequest(svc, leaving, time.Now()) {
		}
		rt.mu.Unlock()
		close(crashed)
		time.Sleep(100 * time.Millisecond)
		rt.UpdatePool(func(p *backend.Pool) { p.Drain(leaving) })
		<-done
		if got, want := len(up.requests()), 1; got != want {
			t.Errorf("requests sent: got %d, want %d, none to the server that leaves", got, want)
		}
	})
}

// A node may lose its connections to a server that goes on with its runs. A run without a copy must be stopped there, through whatever path
// is left, and continue from the memory that the server hands on.
func TestBrokenStreamWithoutCopyContinuesFromItsServersMemory(t *testing.T) {
	tests := []struct {
		name string
		stop error // answer to the stop
		to   string
		from CopyRef
	}{
		{"memory copied", nil, "w2", CopyRef{Server: testServer("w1"), Handle: "memory"}},
		{"no room elsewhere", ErrNoRoom, "w1", CopyRef{Server: testServer("w1"), Handle: "memory"}},
		{"run has ended", ErrNoRun, "", CopyRef{}},
		{"server is gone", ErrNotSent, "", CopyRef{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cut := make(chan struct{})
				up := &fakeUpstream{copy: func(_, _ string, stop bool) (string, error) {
					if !stop {
						t.Error("the run was copied without being stopped")
					}
					return "memory", tt.stop
				}}
				up.open = func(_ string, _ int, opts OpenOptions) (Events, *Answer, error) {
					if opts.From.Handle != "" {
						return newFakeEvents(10, 20, io.EOF), nil, nil
					}
					first := newFakeEvents(0, 10, errCut)
					first.stop = cut
					return first, nil, nil
				}
				rt := newRuntime(up, "w1")
				w := new(fakeResponder)
				done := make(chan Result)
				go func() { done <- rt.Serve(t.Context(), testRequest("/plan/1"), w) }()
				time.Sleep(50 * time.Millisecond)
				rt.UpdatePool(func(p *backend.Pool) { p.Put(testServer("w2")) })
				time.Sleep(time.Second)
				res := <-done
				sent := up.requests()
				if tt.to == "" {
					if res.Reason != ReasonBroken || len(sent) != 1 {
						t.Errorf("got %+v after %d requests, want a broken stream after one", res, len(sent))
					}
				} else if res.Reason != "" || len(sent) != 2 || sent[1].server != tt.to || sent[1].opts.From != tt.from {
					t.Errorf("got %+v after %+v, want a complete stream that continued at %s from %+v", res, sent, tt.to, tt.from)
				}
				rt.mu.Lock()
				defer rt.mu.Unlock()
				for _, id := range []string{"w1", "w2"} {
					if own := rt.loads.own[id]; own.CopyTokens != 0 || own.RunTokens != 0 {
						t.Errorf("load on %s after the end: got %+v, want none", id, own)
					}
				}
			})
		})
	}
}

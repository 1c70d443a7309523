package exchange

import (
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/backend"
)

// What the server of a stream says after its close decides whether the stream is whole. A process that ends may accept one more connection, or close
// its streams some time before its listener: such parts were taken for whole streams.
func TestClosedStreamIsJudgedByItsServer(t *testing.T) {
	refused := fmt.Errorf("%w: %w", ErrNotSent, syscall.ECONNREFUSED)
	silent := fmt.Errorf("%w: %w", ErrUnknown, context.DeadlineExceeded)
	replaced := fmt.Errorf("%w: %w", ErrMalformed, ErrReplaced)
	const attempts = askEndAttempts*askEndTimeout + (askEndAttempts-1)*askEndPause
	tests := []struct {
		name    string
		reports []error       // in order; the last one holds for all further ones
		started time.Duration // of the process that answers, since the request
		leaving bool
		whole   bool
		within  time.Duration // of the close
	}{
		{"reports", []error{nil}, 0, false, true, settleTime},
		{"reports, and leaves", []error{nil}, 0, true, true, settleTime},
		{"answers something else", []error{ErrMalformed}, 0, false, true, settleTime},
		{"refuses connections", []error{refused}, 0, false, false, 0},
		{"ends as it accepts a connection", []error{ErrUnknown, refused}, 0, false, false, askEndPause},
		{"ends after it has answered", []error{nil, refused}, 0, false, false, settleTime},
		{"another process has its address", []error{replaced}, time.Millisecond, false, false, 0},
		{"its listed start is that of an earlier process", []error{replaced}, -time.Second, false, true, settleTime},
		{"accepts connections and does not answer", []error{silent}, 0, false, true, settleTime + 2*askEndTimeout},
		{"accepts connections and closes them", []error{ErrUnknown}, 0, false, true, settleTime + 2*attempts},
		{"accepts connections and closes them, and leaves", []error{ErrUnknown}, 0, true, false, attempts},
		{"accepts connections and closes them after it has answered", []error{nil, ErrUnknown}, 0, false, false, settleTime + attempts},
		{"cannot be connected to", []error{ErrNotSent}, 0, false, false, attempts},
		{"cannot be connected to at first", []error{ErrNotSent, nil}, 0, false, true, settleTime + askEndTimeout + askEndPause},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				asked := 0
				up := &fakeUpstream{
					open: func(string, int, OpenOptions) (Events, *Answer, error) {
						return newFakeEvents(0, 30, ErrClosed), nil, nil
					},
					report: func(string) (ServerReport, error) {
						asked++
						return ServerReport{StartedAt: start.Add(tt.started)}, tt.reports[min(asked, len(tt.reports))-1]
					},
					copy: func(string, string, bool) (string, error) { return "", ErrNotSent },
				}
				rt := newRuntime(up, "w1")
				if tt.leaving {
					time.AfterFunc(200*time.Millisecond, func() { rt.UpdatePool(func(p *backend.Pool) { p.Drain(testServer("w1")) }) })
				}
				w, res := serve(t, rt, "/plan/1")
				if whole := res.Reason == "" && w.ended; whole != tt.whole || res.Truncated == tt.whole {
					t.Errorf("got %+v, want whole %v", res, tt.whole)
				}
				if got, limit := time.Since(start), 30*10*time.Millisecond+tt.within+time.Millisecond; got > limit && !tt.leaving {
					t.Errorf("ended after %v, want at most %v", got, limit)
				}
				time.Sleep(3 * time.Second) // moves end
			})
		})
	}
}

// leavingRun is a run at w1, which leaves, with a copy at w2.
type leavingRun struct {
	fakeUpstream
	stopped chan struct{}
	once    sync.Once
}

// newLeavingRun returns a run whose server answers the order to stop it as given. Continuations get the events 101 to 120.
func newLeavingRun(answer func() (string, error), accepts func(server string, from CopyRef) bool) *leavingRun {
	u := &leavingRun{stopped: make(chan struct{})}
	u.copy = func(_, _ string, stop bool) (string, error) {
		if !stop {
			return "first", nil
		}
		u.once.Do(func() { close(u.stopped) })
		return answer()
	}
	u.open = func(server string, n int, opts OpenOptions) (Events, *Answer, error) {
		if n == 0 {
			first := newFakeEvents(0, 500, ErrClosed)
			first.stop = u.stopped
			return first, nil, nil
		}
		if !accepts(server, opts.From) {
			return nil, nil, ErrNotRun
		}
		return newFakeEvents(100, 120, io.EOF), nil, nil
	}
	return u
}

// serve serves the run until its server has left.
func (u *leavingRun) serve(t *testing.T, ctx context.Context) Result {
	rt := newRuntime(u, "w1")
	done := make(chan Result, 1)
	go func() { done <- rt.Serve(ctx, testRequest("/plan/1"), new(fakeResponder)) }()
	time.Sleep(100 * time.Millisecond)
	rt.UpdatePool(func(p *backend.Pool) {
		p.Put(testServer("w2"))
		p.Drain(testServer("w1"))
	})
	res := <-done
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for _, id := range []string{"w1", "w2"} {
		if own := rt.loads.own[id]; own.CopyTokens != 0 || own.RunTokens != 0 {
			t.Errorf("load on %s after the end: got %+v, want none", id, own)
		}
	}
	return res
}

// A run goes on from whatever memory of it is left: the last copy, an earlier one, or that which its own server keeps while it still works.
func TestStoppedRunContinuesFromAnyMemory(t *testing.T) {
	var (
		lastCopy  = CopyRef{Server: testServer("w1"), Handle: "last"}
		firstCopy = CopyRef{Server: testServer("w1"), Handle: "first"}
	)
	tests := []struct {
		name    string
		answer  func() (string, error)
		refuses string // server that refuses the run
		at      string
		from    CopyRef
	}{
		{"copied", func() (string, error) { return "last", nil }, "", "w2", lastCopy},
		{"copied, and refused there", func() (string, error) { return "last", nil }, "w2", "w1", lastCopy},
		{"no room", func() (string, error) { return "last", ErrNoRoom }, "", "w2", firstCopy},
		{"no room, and refused there", func() (string, error) { return "last", ErrNoRoom }, "w2", "w1", lastCopy},
		{"answer lost", func() (string, error) { return "", ErrUnknown }, "", "w2", firstCopy},
		{"answer late", func() (string, error) { time.Sleep(copyTimeout); return "", context.DeadlineExceeded }, "", "w2", firstCopy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := newLeavingRun(tt.answer, func(server string, _ CopyRef) bool { return server != tt.refuses })
				res := u.serve(t, t.Context())
				sent := u.requests()
				last := sent[len(sent)-1]
				last.opts.From.Server.Draining = false
				if res.Reason != "" || res.Truncated || last.server != tt.at || last.opts.From != tt.from {
					t.Errorf("got %+v, continued at %s from %+v; want a whole stream that continued at %s from %+v", res, last.server, last.opts.From, tt.at, tt.from)
				}
			})
		})
	}
}

// A server that is about to end gets no run back.
func TestStoppedRunDoesNotReturnToEndingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newLeavingRun(func() (string, error) {
			time.Sleep(returnTime - stopAfter)
			return "last", ErrNoRoom
		}, func(server string, _ CopyRef) bool { return server != "w2" })
		res := u.serve(t, t.Context())
		for _, r := range u.requests()[1:] {
			if r.server == "w1" {
				t.Errorf("requests: got one at w1 from %+v, want none", r.opts.From)
			}
		}
		if !res.Truncated {
			t.Errorf("got %+v, want an answer that is broken off", res)
		}
	})
}

// A stream whose end cannot be judged before its caller's time ends must not look complete.
func TestDeadlineWhileOrderIsPending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newLeavingRun(func() (string, error) { time.Sleep(copyTimeout); return "last", nil }, func(string, CopyRef) bool { return true })
		ctx, cancel := context.WithTimeout(t.Context(), stopAfter+time.Second)
		defer cancel()
		if res := u.serve(t, ctx); !res.Truncated || res.Reason != ReasonTimeout {
			t.Errorf("got %+v, want a truncated answer", res)
		}
		time.Sleep(copyTimeout) // the order ends
	})
}

// The time of a request may end while the server of its stream is asked.
func TestDeadlineWhileServerIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		up := &fakeUpstream{open: func(string, int, OpenOptions) (Events, *Answer, error) {
			return newFakeEvents(0, 30, ErrClosed), nil, nil
		}}
		up.report = func(string) (ServerReport, error) {
			asked++
			time.Sleep(min(askEndTimeout, time.Duration(asked)*100*time.Millisecond))
			return ServerReport{}, fmt.Errorf("%w: %w", ErrUnknown, context.DeadlineExceeded)
		}
		rt := newRuntime(up, "w1")
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		w := new(fakeResponder)
		res := rt.Serve(ctx, testRequest("/plan/1"), w)
		if w.ended {
			t.Errorf("got %+v, complete after %d questions, the last of which the deadline cut", res, asked)
		}
	})
}

// The server of the last copy may be full for a moment while the run's own server takes nothing back any more. The run was given up at once.
func TestStoppedRunWaitsForTheServerOfItsLastCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := 0
		u := newLeavingRun(func() (string, error) {
			time.Sleep(returnTime - stopAfter)
			return "last", nil
		}, func(string, CopyRef) bool { refused++; return refused > 1 })
		if res := u.serve(t, t.Context()); res.Reason != "" || res.Truncated {
			t.Errorf("got %+v after %d refusals, want a whole stream", res, refused)
		}
	})
}

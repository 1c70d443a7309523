package exchange

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/backend"
)

// While the store is unavailable its termination notices do not arrive. A run without a copy must still move off its
// server, which says so when asked, before the server stops 1.5 s after its notice.
func TestRunMovesWhileTheStoreIsLost(t *testing.T) {
	for _, leavesIn := range []time.Duration{0, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			stopped := make(chan struct{})
			var noticed atomic.Pointer[string]
			up := &fakeUpstream{
				open: func(_ string, n int, _ OpenOptions) (Events, *Answer, error) {
					if n > 0 {
						return newFakeEvents(n*1000, n*1000+2, io.EOF), nil, nil
					}
					first := newFakeEvents(0, 1000, errCut)
					first.stop = stopped
					return first, nil, nil
				},
				copy: func(_, _ string, stop bool) (string, error) {
					time.Sleep(200 * time.Millisecond)
					if stop {
						close(stopped)
					}
					return "copy", nil
				},
				report: func(server string) (ServerReport, error) {
					if leaving := noticed.Load(); leaving != nil && *leaving == server {
						return ServerReport{Leaving: true, LeavesIn: leavesIn}, nil
					}
					return ServerReport{}, nil
				},
			}
			rt := newRuntime(up, "w1", "w2", "w3")
			var lost atomic.Bool
			go rt.AskLeaving(ctx, lost.Load)
			done := make(chan Result)
			w := new(fakeResponder)
			go func() { done <- rt.Serve(ctx, testRequest("/plan/1"), w) }()
			time.Sleep(500 * time.Millisecond)
			first := up.requests()[0]
			rt.UpdatePool(func(p *backend.Pool) { p.Remove(first.opts.CopyTo.ID, time.Now()) })
			lost.Store(true)
			noticed.Store(&first.server) // reports are 0.5 s old: the server stops in a second
			start := time.Now()
			if res := <-done; res.Reason != "" {
				t.Fatalf("got %+v, want a complete stream", res)
			}
			if got, limit := time.Since(start), time.Second; got > limit {
				t.Errorf("left the server %v after it said that it leaves, want at most %v", got, limit)
			}
			if next := up.requests()[1]; next.server == first.server || next.opts.From.Handle != "copy" {
				t.Errorf("continued at %s from %+v, want another server and the last copy", next.server, next.opts.From)
			}
			if rt.mayStart(testServer(first.server)) {
				t.Errorf("%s still gets new work", first.server)
			}
		})
	}
}

// Servers must not be asked while the store's data is current: each question has a price.
func TestServersAreNotAskedWithTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		asked := 0
		up := &fakeUpstream{
			open: func(string, int, OpenOptions) (Events, *Answer, error) {
				return newFakeEvents(0, 200, io.EOF), nil, nil
			},
			report: func(string) (ServerReport, error) { asked++; return ServerReport{}, nil },
		}
		rt := newRuntime(up, "w1", "w2")
		go rt.AskLeaving(ctx, func() bool { return false })
		serve(t, rt, "/plan/1")
		if asked != 0 {
			t.Errorf("questions: got %d, want none", asked)
		}
	})
}

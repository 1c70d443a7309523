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

// The head of the answer arrives long after the notice. A server that leaves must not get the run back because the node saw the run late.
func TestRunIsNotReturnedAfterTheDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var drained time.Time
		stopped := make(chan struct{})
		up := &fakeUpstream{copy: func(_, _ string, stop bool) (string, error) {
			if stop {
				close(stopped)
				return "last", nil
			}
			return "first", nil
		}}
		up.open = func(server string, n int, opts OpenOptions) (Events, *Answer, error) {
			switch {
			case n == 0:
				time.Sleep(1500 * time.Millisecond) // waits for its first turn
				ev := newFakeEvents(0, 900, ErrClosed)
				ev.stop = stopped
				return ev, nil, nil
			case server == "w2":
				return nil, nil, ErrNotRun
			}
			if d := time.Since(drained); d > 2*time.Second {
				t.Errorf("got a request at %s %v after its notice, want none after 2 s", server, d)
			}
			return newFakeEvents(100, 120, io.EOF), nil, nil
		}
		rt := newRuntime(up, "w1")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go rt.MoveRuns(ctx)
		done := make(chan Result, 1)
		go func() { done <- rt.Serve(ctx, testRequest("/plan/1"), new(fakeResponder)) }()
		time.Sleep(100 * time.Millisecond)
		drained = time.Now()
		rt.UpdatePool(func(p *backend.Pool) { p.Put(testServer("w2")); p.Drain(testServer("w1")) })
		<-done
	})
}

// A server that says in an outage of the store that it leaves in ten seconds has a notice that lies in the future. The store's own notice binds all the
// same.
func TestRunIsNotReturnedAfterTheDrainInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var drained time.Time
		leavesAt := time.Now().Add(10 * time.Second)
		stopped := make(chan struct{})
		up := &fakeUpstream{copy: func(_, _ string, stop bool) (string, error) {
			if stop {
				close(stopped)
				return "last", nil
			}
			return "first", nil
		}}
		up.report = func(s string) (ServerReport, error) {
			return ServerReport{Leaving: s == "w1", LeavesIn: time.Until(leavesAt)}, nil
		}
		up.open = func(server string, n int, opts OpenOptions) (Events, *Answer, error) {
			switch {
			case n == 0:
				ev := newFakeEvents(0, 3000, ErrClosed)
				ev.stop = stopped
				return ev, nil, nil
			case server == "w2":
				return nil, nil, ErrNotRun
			}
			if d := time.Since(drained); d > 2*time.Second {
				t.Errorf("got a request at %s %v after the store's notice, want none after 2 s", server, d)
			}
			return newFakeEvents(100, 120, io.EOF), nil, nil
		}
		rt := newRuntime(up, "w1")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go rt.MoveRuns(ctx)
		var outage atomic.Bool
		outage.Store(true)
		go rt.AskLeaving(ctx, func() bool { return outage.Load() })
		done := make(chan Result, 1)
		go func() { done <- rt.Serve(ctx, testRequest("/plan/1"), new(fakeResponder)) }()
		time.Sleep(time.Second)
		rt.UpdatePool(func(p *backend.Pool) { p.Put(testServer("w2")) })
		outage.Store(false)
		drained = time.Now()
		rt.UpdatePool(func(p *backend.Pool) { p.Drain(testServer("w1")) })
		<-done
	})
}

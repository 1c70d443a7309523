package exchange

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/backend"
)

// pauseNode lets time pass without a tick, as if the process were stopped.
func pauseNode(rt *Runtime, d time.Duration) {
	rt.mu.Lock()
	rt.stalls.Tick(time.Now())
	rt.mu.Unlock()
	time.Sleep(d)
}

// A node that was stopped for some seconds must not send work to the servers that it knows until fresh data shows that
// they may still be used. Here the server has left meanwhile.
func TestNoNewWorkAfterAStallUntilDataIsFresh(t *testing.T) {
	for _, paused := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 15 * time.Second} {
		for _, path := range []string{"/book/1", "/plan/1"} {
			synctest.Test(t, func(t *testing.T) {
				up := &fakeUpstream{
					call: func(context.Context, string, int) (Answer, error) { return Answer{Status: 200}, nil },
					open: func(string, int, OpenOptions) (Events, *Answer, error) { return newFakeEvents(0, 2, io.EOF), nil, nil },
				}
				rt := newRuntime(up, "w1", "d1", "w2", "d2")
				before := time.Now()
				pauseNode(rt, paused)
				go func() {
					time.Sleep(100 * time.Millisecond)
					rt.RecordFreshData(before) // an answer that waited in the socket
					rt.UpdatePool(func(p *backend.Pool) { p.Remove("w1", time.Now()); p.Remove("d1", time.Now()) })
					rt.RecordFreshData(time.Now())
				}()
				_, res := serve(t, rt, path)
				for _, s := range up.requests() {
					if s.server == "w1" || s.server == "d1" {
						t.Errorf("%s after a stall of %v: sent to %s, which had left", path, paused, s.server)
					}
				}
				if res.Reason != "" {
					t.Errorf("%s after a stall of %v: got %q, want it served at the other server", path, paused, res.Reason)
				}
			})
		}
	}
}

// While the store is unavailable no fresh data arrives. The node then serves again with what it knows.
func TestStalledNodeServesWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{call: func(context.Context, string, int) (Answer, error) { return Answer{Status: 200}, nil }}
		rt := newRuntime(up, "d1")
		pauseNode(rt, 5*time.Second)
		if _, res := serve(t, rt, "/look/1"); !res.Reason.NotRun() || res.Reason == "" {
			t.Errorf("immediately: got %q, want a refusal that says that it has not run", res.Reason)
		}
		for range 4 { // the node runs
			pauseNode(rt, maxResumeWait/4)
		}
		if _, res := serve(t, rt, "/look/1"); res.Reason != "" {
			t.Errorf("after %v: got %q, want it served", maxResumeWait, res.Reason)
		}
	})
}

// A server that may no longer be used is not one that cannot be reached.
func TestWithdrawnServerIsNotAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{open: func(string, int, OpenOptions) (Events, *Answer, error) { return newFakeEvents(0, 2, io.EOF), nil, nil }}
		rt := newRuntime(up, "w1")
		s := &streamRun{rt: rt}
		if _, final := s.openFailed(t.Context(), testServer("w1"), errWithdrawn, 0); final {
			t.Error("got a final result, want another attempt")
		}
		if down := rt.tracker.Judge([]string{"w1", "w2"}, time.Now()); down["w1"] {
			t.Error("w1 is avoided as unreachable")
		}
	})
}

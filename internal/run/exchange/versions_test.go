package exchange

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/versions"
)

// newVersionShare sends n calls and returns the share that the new version received.
func newVersionShare(t *testing.T, rt *Runtime, up *fakeUpstream, n int) float64 {
	t.Helper()
	before := len(up.requests())
	for i := range n {
		req := testRequest("/book/1")
		req.ID = fmt.Sprint("call-", before+i)
		rt.Serve(t.Context(), req, new(fakeResponder))
	}
	tried := 0
	for _, s := range up.requests()[before:] {
		if s.server == "new" {
			tried++
		}
	}
	return float64(tried) / float64(n)
}

func TestRolloutMovesRequests(t *testing.T) {
	for _, bad := range []bool{false, true} {
		t.Run(fmt.Sprintf("bad %v", bad), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := &fakeUpstream{call: func(_ context.Context, server string, _ int) (Answer, error) {
					time.Sleep(5 * time.Millisecond)
					if bad && server == "new" {
						return answer(500), nil
					}
					return answer(200), nil
				}}
				rt := newRuntime(up, "a", "b")
				rt.UpdatePool(func(p *backend.Pool) {
					s := testServer("new")
					s.Version = "v2"
					p.Put(s)
				})
				order := versions.Order{Service: "desk", Target: "v2", Duration: 10 * time.Second}
				rt.SetRollout(order, true)
				tried := 0.0
				for range 10 {
					tried += newVersionShare(t, rt, up, 200) / 10 // takes a second
				}
				if bad && tried > 0.1 {
					t.Errorf("share that a bad version got over the whole duration: got %.2f, want at most 0.1", tried)
				}
				got, want := newVersionShare(t, rt, up, 100), 1.0
				if bad {
					want = 0
				}
				if got != want {
					t.Errorf("share at the end: got %.2f, want %.2f", got, want)
				}
				state := versions.Completed
				if bad {
					state = versions.RolledBack
				}
				if got := rt.ProposedStates()[order]; got != state {
					t.Errorf("state: got %v, want %v", got, state)
				}
			})
		})
	}
}

// Servers of the old version leave once the new one receives all requests, because they will be stopped without a
// drain.
func TestOldVersionLeavesAfterRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := newRuntime(&fakeUpstream{}, "a")
		old := testServer("a")
		rt.SetRollout(versions.Order{Service: "desk", Target: "v2", Duration: 10 * time.Second}, true)
		next := testServer("b")
		next.Version = "v2"
		for range 3 {
			rt.observe(next, "", 10*time.Millisecond, false)
		}
		for after, want := range map[time.Duration]bool{0: false, 9 * time.Second: true} {
			rt.mu.Lock()
			got := rt.leaving(old, time.Now().Add(after))
			rt.mu.Unlock()
			if got != want {
				t.Errorf("leaving after %v: got %v, want %v", after, got, want)
			}
		}
	})
}

// A version whose servers begin streams soon but send their events slowly, and one that has not begun any when the callers leave,
// must be found although hardly any of their streams has ended.
func TestSlowStreamsAreEvidence(t *testing.T) {
	tests := []struct {
		name string
		gap  time.Duration // of the new version
		ends time.Duration // when callers of the new version leave
	}{
		{"slow events", 300 * time.Millisecond, 20 * time.Second},
		{"no event before the caller leaves", time.Hour, 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := &fakeUpstream{open: func(server string, _ int, _ OpenOptions) (Events, *Answer, error) {
					events := newFakeEvents(0, 100, io.EOF)
					events.gap = 40 * time.Millisecond
					if server == "wnew" {
						events.gap, events.err = tt.gap, errCut
						stop := make(chan struct{})
						time.AfterFunc(tt.ends+time.Millisecond, func() { close(stop) })
						events.stop = stop
					}
					return events, nil, nil
				}}
				rt := newRuntime(up, "w1", "w2")
				rt.UpdatePool(func(p *backend.Pool) {
					s := testServer("wnew")
					s.Version = "v2"
					p.Put(s)
				})
				order := versions.Order{Service: "writers", Target: "v2", Duration: 20 * time.Second}
				rt.SetRollout(order, true)
				defer time.Sleep(2 * time.Minute) // lets the streams end
				for i := range 80 {
					time.Sleep(100 * time.Millisecond)
					req := testRequest("/plan/1")
					req.ID = fmt.Sprint("stream-", i)
					go func() {
						ctx, cancel := context.WithTimeout(t.Context(), tt.ends)
						defer cancel()
						rt.Serve(ctx, req, new(fakeResponder))
					}()
					rt.ApplyFleetEvidence("writers", rt.LocalEvidence()["writers"])
				}
				if got, want := rt.ProposedStates()[order], versions.RolledBack; got != want {
					t.Errorf("state: got %v, want %v; evidence %+v", got, want, rt.LocalEvidence())
				}
			})
		})
	}
}

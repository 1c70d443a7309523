package exchange

import (
	"context"
	"fmt"
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

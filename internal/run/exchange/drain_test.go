package exchange

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/route"
)

const testGrace = 7600 * time.Millisecond

// drainRuntime returns a runtime with a route of non-repeatable calls.
func drainRuntime(up Upstream, timeout, target time.Duration, servers ...string) *Runtime {
	rt := newRuntime(up, servers...)
	routes := []*route.Route{
		{Host: host, Prefix: "/book/", Kind: route.NonRepeatable, Timeout: timeout, LatencyTarget: target, MaxAttempts: 1, Backends: []route.Backend{{Service: "desk"}}},
		{Host: host, Prefix: "/plan/", Kind: route.Stream, Timeout: 39 * time.Second, LatencyTarget: 1800 * time.Millisecond, MaxAttempts: 1, Backends: []route.Backend{{Service: "writers"}}},
	}
	engine := &route.Engine{Slots: 24, MemoryTokens: 34_000, TokensPerEvent: 4}
	rt.SetConfig(route.New(2, routes, []*route.Service{{Name: "desk"}, {Name: "writers", Engine: engine}}, []*route.Account{{Name: "one", Keys: []string{"key"}}}, route.Limits{}))
	return rt
}

// workingUpstream answers each call after a time, or fails when its context ends.
func workingUpstream(work time.Duration) *fakeUpstream {
	return &fakeUpstream{call: func(ctx context.Context, _ string, _ int) (Answer, error) {
		select {
		case <-time.After(work):
			return Answer{Status: http.StatusOK}, nil
		case <-ctx.Done():
			return Answer{}, fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
		}
	}}
}

// A stopping node must not cut calls that it passed on. It accepts those that it can still answer by what calls of the route take, and refuses the
// others as not run, on a route whose timeout is longer than the drain.
func TestStoppingNodeAcceptsWhatItCanAnswer(t *testing.T) {
	const ms = time.Millisecond
	for _, work := range []time.Duration{20 * ms, 800 * ms, 2500 * ms, 4500 * ms, 6500 * ms} {
		for _, sent := range []time.Duration{100 * ms, time.Second, 2 * time.Second, 2800 * ms, 3500 * ms, 4500 * ms, 5700 * ms, 7 * time.Second} {
			t.Run(fmt.Sprintf("%v of work after %v", work, sent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					up := workingUpstream(work)
					rt := drainRuntime(up, 10*time.Second, time.Second, "d1", "d2", "d3", "d4")
					for range 80 {
						serve(t, rt, "/book/1")
					}
					before := len(up.requests())
					start := time.Now()
					end := start.Add(testGrace)
					rt.Drain(end)
					time.Sleep(sent)
					w, res := serve(t, rt, "/book/1")
					passedOn := len(up.requests()) > before
					// An expectation is at most a fifth longer than what calls take.
					fits, doubtful := sent+work*6/5 < testGrace-lastAnswerTime, sent+work < testGrace-lastAnswerTime
					switch {
					case time.Now().After(end):
						t.Errorf("got an answer %v after the end", time.Since(end))
					case passedOn && w.answer == nil:
						t.Errorf("the call was passed on and got %+v, want an answer or a refusal", res)
					case fits && w.answer == nil:
						t.Errorf("got %+v, want the call served", res)
					case !doubtful && (res.Reason != ReasonDraining || w.refusal.RetryAfter != drainRetryAfter):
						t.Errorf("got %+v, refusal %+v; want it refused as not run", res, w.refusal)
					}
				})
			})
		}
	}
}

// Nothing is known of a route with few calls but its target: a call that would be in time by it and takes longer gets an answer before the
// node ends, which says that it may have run.
func TestCallsAtTheEndOfADrainAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := drainRuntime(workingUpstream(4500*time.Millisecond), 10*time.Second, 300*time.Millisecond, "d1", "d2", "d3", "d4")
		end := time.Now().Add(testGrace)
		rt.Drain(end)
		time.Sleep(3200 * time.Millisecond)
		w, res := serve(t, rt, "/book/1")
		if res.Reason != ReasonStopped || res.Reason.NotRun() || w.refusal == nil || !time.Now().Before(end) {
			t.Errorf("got %+v, refusal %+v, %v before the end; want %q before the end", res, w.refusal, time.Until(end), ReasonStopped)
		}
	})
}

// A caller that could send its call elsewhere must not wait for a server of a node that stops.
func TestWaitingRequestsAreRefusedWhenTheNodeStops(t *testing.T) {
	for _, path := range []string{"/book/1", "/plan/1"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := workingUpstream(time.Minute)
				up.open = func(string, int, OpenOptions) (Events, *Answer, error) {
					events := newFakeEvents(0, 400, io.EOF)
					events.gap = 50 * time.Millisecond
					return events, nil, nil
				}
				rt := drainRuntime(up, 30*time.Second, 20*time.Second, "d1", "w1")
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				for range 40 { // more than a server has room for
					group.Go(func() { rt.Serve(ctx, testRequest(path), new(fakeResponder)) })
				}
				synctest.Wait()
				time.Sleep(100 * time.Millisecond)
				sent := len(up.requests())
				var w fakeResponder
				var res Result
				began := time.Now()
				group.Go(func() { res = rt.Serve(ctx, testRequest(path), &w) })
				time.Sleep(100 * time.Millisecond)
				rt.Drain(time.Now().Add(testGrace))
				synctest.Wait()
				w.mu.Lock()
				refusal := w.refusal
				w.mu.Unlock()
				if refusal == nil || refusal.Reason != ReasonDraining || refusal.RetryAfter != drainRetryAfter {
					t.Errorf("%v after its arrival: got refusal %+v, want %q", time.Since(began), refusal, ReasonDraining)
				}
				cancel()
				group.Wait()
				if got := len(up.requests()); got != sent {
					t.Errorf("got %d requests at servers and %+v, want %d", got, res, sent)
				}
			})
		})
	}
}

// A call whose first server refuses it late in a drain is not sent to another one that cannot answer in time.
func TestNoRetryBeginsLateInADrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{call: func(_ context.Context, _ string, n int) (Answer, error) {
			if n < 80 {
				time.Sleep(2 * time.Second)
				return Answer{Status: http.StatusOK}, nil
			}
			time.Sleep(4 * time.Second)
			return Answer{}, ErrNotRun
		}}
		rt := drainRuntime(up, 20*time.Second, time.Second, "d1", "d2", "d3")
		for range 80 {
			serve(t, rt, "/book/1")
		}
		rt.Drain(time.Now().Add(testGrace))
		time.Sleep(3 * time.Second)
		w, res := serve(t, rt, "/book/1")
		if got := len(up.requests()); got != 81 || res.Reason != ReasonDraining || w.refusal == nil {
			t.Errorf("got %+v after %d sends, want it refused as not run after one", res, got-80)
		}
	})
}

// A stream that the end of a drain breaks off is logged as stopped, not as one whose caller left.
func TestStreamAtTheEndOfADrainIsBrokenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var rt *Runtime
		closed := make(chan struct{}) // the connection to the server, after the request's context has ended
		up := &fakeUpstream{open: func(string, int, OpenOptions) (Events, *Answer, error) {
			context.AfterFunc(rt.stopping, func() { time.AfterFunc(time.Millisecond, func() { close(closed) }) })
			events := newFakeEvents(0, 2000, errCut)
			events.gap, events.stop = 50*time.Millisecond, closed
			return events, nil, nil
		}}
		rt = drainRuntime(up, 10*time.Second, time.Second, "w1")
		time.AfterFunc(time.Second, func() { rt.Drain(time.Now().Add(testGrace)) })
		w, res := serve(t, rt, "/plan/1")
		if res.Reason != ReasonStopped || !res.Truncated || w.ended || res.Events == 0 {
			t.Errorf("got %+v, ended %v; want it broken off as %q", res, w.ended, ReasonStopped)
		}
	})
}

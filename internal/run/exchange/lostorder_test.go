package exchange

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// scripted is a stream whose events come after the given gaps.
type scripted struct {
	*fakeEvents
	gapAt map[int]time.Duration // before event n
}

func (e *scripted) Next() (Event, error) {
	if d := e.gapAt[e.from+1]; d > 0 && e.from < e.to {
		select {
		case <-time.After(d):
		case <-e.closed:
			return Event{}, errCut
		}
	}
	return e.fakeEvents.Next()
}

// An order to stop a silent run is lost before it reaches the server, and the run goes on to its end. A stream without a mark of its end was broken off.
func TestRunThatGoesOnAfterLostOrderIsWhole(t *testing.T) {
	for _, end := range []error{ErrClosed, io.EOF} {
		t.Run(end.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := &fakeUpstream{copy: func(string, string, bool) (string, error) { return "", ErrUnknown }}
				up.open = func(_ string, n int, opts OpenOptions) (Events, *Answer, error) {
					if n > 0 {
						return nil, nil, ErrNotRun // the copy was freed as the run ended
					}
					return &scripted{newFakeEvents(0, 900, end), map[int]time.Duration{31: 1200 * time.Millisecond}}, nil, nil
				}
				w, res := serve(t, newRuntime(up, "w1", "w2"), "/plan/1")
				if !w.ended || res.Truncated {
					t.Errorf("got %+v, want all 900 events, complete: 870 came after the lost order", res)
				}
			})
		})
	}
}

// An order to stop a silent run is not answered, the run goes on, and its stream breaks later. It continued elsewhere without being stopped.
func TestRunThatWentOnIsStoppedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := &fakeUpstream{copy: func(string, string, bool) (string, error) {
			time.Sleep(3610 * time.Millisecond)
			return "", context.DeadlineExceeded
		}}
		up.open = func(_ string, n int, opts OpenOptions) (Events, *Answer, error) {
			if n > 0 {
				return newFakeEvents(300, 400, io.EOF), nil, nil
			}
			return &scripted{newFakeEvents(0, 300, errCut), map[int]time.Duration{31: 4660 * time.Millisecond}}, nil, nil
		}
		_, res := serve(t, newRuntime(up, "w1", "w2"), "/plan/1")
		if up.copyLog() == "w1>w2!stop" || up.copyLog() == "w2>w1!stop" {
			t.Errorf("got %+v with copies %q, want an order to stop the run before it continues", res, up.copyLog())
		}
	})
}

// A move sends its order while the server of a stream that has closed by itself is asked. The order may be lost.
func TestOrderAfterTheCloseDoesNotBreakOffWholeStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newLeavingRun(func() (string, error) { return "", ErrUnknown }, func(string, CopyRef) bool { return false })
		u.report = func(string) (ServerReport, error) { time.Sleep(300 * time.Millisecond); return ServerReport{}, nil }
		open := u.open
		u.open = func(s string, n int, o OpenOptions) (Events, *Answer, error) {
			if n == 0 {
				return newFakeEvents(0, 110, ErrClosed), nil, nil // closes at 1.1 s, the last order is at 1.2 s
			}
			return open(s, n, o)
		}
		res := u.serve(t, t.Context())
		if res.Truncated {
			t.Errorf("got %+v, want a whole stream", res)
		}
	})
}

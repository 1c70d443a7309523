package exchange

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// workingEngine is an upstream whose first stream goes silent or breaks while its server goes on with the run until it is asked to
// stop it.
type workingEngine struct {
	fakeUpstream
	mu      sync.Mutex
	works   bool // the first server has not stopped the run
	began   int  // continuations that began
	beside  int  // of these, while the first server worked on the run
	refuses string
}

const resumedEvents = 6 // of the whole stream

func newWorkingEngine(first *fakeEvents, stop func() error) *workingEngine {
	u := &workingEngine{works: true}
	u.open = func(server string, n int, opts OpenOptions) (Events, *Answer, error) {
		if n == 0 {
			return first, nil, nil
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		if server == u.refuses {
			return nil, nil, ErrNotRun
		}
		u.began++
		if u.works {
			u.beside++
		}
		return newFakeEvents(3, resumedEvents, io.EOF), nil, nil
	}
	u.copy = func(_, _ string, last bool) (string, error) {
		time.Sleep(50 * time.Millisecond)
		u.mu.Lock()
		defer u.mu.Unlock()
		err := stop()
		if last && err != ErrNotRun {
			u.works = false
		}
		return "handle", err
	}
	return u
}

// A server that keeps working on a run after it fell silent or its connection broke must end the run before another one goes on with it:
// generations ran twice.
func TestRunEndsBeforeItContinues(t *testing.T) {
	streams := []struct {
		name  string
		first func() *fakeEvents
	}{
		{"silent", func() *fakeEvents { return newFakeEvents(0, 3, nil) }},
		{"broken", func() *fakeEvents { return newFakeEvents(0, 3, errCut) }},
	}
	outcomes := []struct {
		name  string
		err   error
		works bool // the server says nothing of the run, which it has stopped or cannot be reached
	}{
		{"stopped", nil, true},
		{"stopped without a copy", ErrNoRoom, true},
		{"ended before", ErrNoRun, true},
		{"not reached", ErrNotSent, true},
	}
	for _, stream := range streams {
		for _, out := range outcomes {
			t.Run(stream.name+", "+out.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					u := newWorkingEngine(stream.first(), func() error { return out.err })
					w, res := serve(t, newRuntime(u, "w1", "w2"), "/plan/1")
					checkComplete(t, w, res, resumedEvents)
					if u.began != 1 || u.beside != 0 {
						t.Errorf("continuations: got %d, %d of them beside the first run; want 1 and none", u.began, u.beside)
					}
				})
			})
		}
	}
}

// A server that is paused reads the request to stop the run when it goes on, and works until then.
func TestPausedServerEndsRunBeforeItContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 2500 * time.Millisecond
		u := newWorkingEngine(newFakeEvents(0, 3, nil), func() error { return nil })
		stop := u.copy
		u.copy = func(from, to string, last bool) (string, error) {
			time.Sleep(pause)
			return stop(from, to, last)
		}
		start := time.Now()
		w, res := serve(t, newRuntime(u, "w1", "w2"), "/plan/1")
		checkComplete(t, w, res, resumedEvents)
		if u.began != 1 || u.beside != 0 {
			t.Errorf("continuations: got %d, %d of them beside the first run; want 1 and none", u.began, u.beside)
		}
		if got, limit := time.Since(start), silenceLimit+pause+500*time.Millisecond; got > limit {
			t.Errorf("ended after %v, want at most %v", got, limit)
		}
	})
}

// A server that never answers must not keep the run until the caller leaves, after four times the target.
func TestRunLeavesServerThatNeverAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newWorkingEngine(newFakeEvents(0, 3, nil), func() error { return ErrUnknown })
		stop := u.copy
		u.copy = func(from, to string, last bool) (string, error) {
			time.Sleep(3600 * time.Millisecond)
			return stop(from, to, last)
		}
		start := time.Now()
		w, res := serve(t, newRuntime(u, "w1", "w2"), "/plan/1")
		checkComplete(t, w, res, resumedEvents)
		if got, limit := time.Since(start), 4*1800*time.Millisecond; got > limit {
			t.Errorf("ended after %v, want at most %v", got, limit)
		}
	})
}

// A server that has no such run may keep it in its queue, before its first event or after a preemption. If it cannot continue elsewhere, the
// stream waits: such streams were given up.
func TestRunInTheQueueOfItsServerWaits(t *testing.T) {
	for _, before := range []int{0, 2} { // events before the wait
		synctest.Test(t, func(t *testing.T) {
			first := newFakeEvents(0, 4, io.EOF)
			u := newWorkingEngine(nil, func() error { return ErrNoRun })
			u.open = func(_ string, n int, _ OpenOptions) (Events, *Answer, error) {
				if n > 0 {
					return nil, nil, ErrNotRun
				}
				return &queuedEvents{first, before}, nil, nil
			}
			w, res := serve(t, newRuntime(u, "w1", "w2"), "/plan/1")
			checkComplete(t, w, res, 4)
		})
	}
}

// queuedEvents is a stream that waits once for six seconds, after a number of events.
type queuedEvents struct {
	*fakeEvents
	left int
}

func (e *queuedEvents) Next() (Event, error) {
	if e.left--; e.left == -1 {
		time.Sleep(6 * time.Second)
	}
	return e.fakeEvents.Next()
}

// A server that is silent and does not stop the run keeps it: the stream goes on when the server does.
func TestSilentRunThatIsNotStoppedGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := newFakeEvents(0, 4, io.EOF)
		slow.gap = 2500 * time.Millisecond
		u := newWorkingEngine(slow, func() error { return ErrNotRun })
		w, res := serve(t, newRuntime(u, "w1", "w2"), "/plan/1")
		checkComplete(t, w, res, 4)
		if u.began != 0 || !strings.Contains(u.copyLog(), "!stop") {
			t.Errorf("got %d continuations and copies %q, want none and a stop that is refused", u.began, u.copyLog())
		}
	})
}

// The server of the copy refuses a run that has stopped. It continues at its own server, which keeps the memory.
func TestStoppedRunContinuesAtItsOwnServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newWorkingEngine(newFakeEvents(0, 3, nil), func() error { return nil })
		rt := newRuntime(u, "w1", "w2")
		done := make(chan Result, 1)
		w := new(fakeResponder)
		go func() { done <- rt.Serve(t.Context(), testRequest("/plan/1"), w) }()
		time.Sleep(100 * time.Millisecond)
		first := u.requests()[0]
		u.mu.Lock()
		u.refuses = first.opts.CopyTo.ID
		u.mu.Unlock()
		checkComplete(t, w, <-done, resumedEvents)
		sent := u.requests()
		last := sent[len(sent)-1]
		if last.server != first.server || last.opts.From.Handle != "handle" || last.opts.From.Server.ID != first.server {
			t.Errorf("continued at %s from %+v, want at %s from the memory that it keeps", last.server, last.opts.From, first.server)
		}
	})
}

// slowResponder is a caller that takes a while to read each event.
type slowResponder struct {
	fakeResponder
	wait time.Duration
}

func (w *slowResponder) Event(data []byte) error {
	time.Sleep(w.wait)
	return w.fakeResponder.Event(data)
}

// A node that does not run, or waits for its caller, for longer than the silence limit has events to read. Its server is not silent.
func TestUnreadEventsAreNoSilence(t *testing.T) {
	for i := range 20 { // a select chooses at random
		synctest.Test(t, func(t *testing.T) {
			u := newWorkingEngine(newFakeEvents(0, resumedEvents, io.EOF), func() error { return nil })
			w := &slowResponder{wait: 1200 * time.Millisecond}
			res := newRuntime(u, "w1", "w2").Serve(t.Context(), testRequest("/plan/1"), w)
			checkComplete(t, &w.fakeResponder, res, resumedEvents)
			if got := u.copyLog(); got != "" {
				t.Fatalf("play %d: copies: got %q, want none", i, fmt.Sprint(got))
			}
		})
	}
}

// A silent run may end by itself just before the order to stop it arrives. The end of its stream then waits beside the answer to the order, and the run
// must not go on at its copy.
func TestEndOfRunBesideAnswerToStop(t *testing.T) {
	for _, end := range []error{io.EOF, ErrClosed} {
		for i := range 20 { // a select chooses at random
			synctest.Test(t, func(t *testing.T) {
				first := newFakeEvents(0, 3, end)
				ended := make(chan struct{})
				u := newWorkingEngine(nil, func() error {
					close(ended)
					return ErrNoRun
				})
				u.open = func(_ string, n int, _ OpenOptions) (Events, *Answer, error) {
					if n > 0 {
						return newFakeEvents(3, resumedEvents, io.EOF), nil, nil
					}
					return &heldEvents{first, ended}, nil, nil
				}
				w, res := serve(t, newRuntime(u, "w1", "w2"), "/plan/1")
				checkComplete(t, w, res, 3)
				if got := len(u.requests()); got != 1 {
					t.Errorf("play %d: got %d requests, want one", i, got)
				}
			})
		}
	}
}

// heldEvents is a stream whose end waits until a channel is closed.
type heldEvents struct {
	*fakeEvents
	ended <-chan struct{}
}

func (e *heldEvents) Next() (Event, error) {
	if e.from >= e.to {
		<-e.ended
	}
	return e.fakeEvents.Next()
}

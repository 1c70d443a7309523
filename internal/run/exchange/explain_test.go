package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/explain"
	"ebonyferry/internal/run/logging"
)

// faultyUpstream is an upstream whose servers fail in every way that a call can end. Its random numbers are seeded, so
// each run of the test fails the same share of requests.
type faultyUpstream struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

func (f *faultyUpstream) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.IntN(n)
}

func (f *faultyUpstream) Call(ctx context.Context, _ backend.Server, _ *Admitted) (Answer, error) {
	time.Sleep(time.Duration(f.draw(400)) * time.Millisecond)
	switch f.draw(8) {
	case 0:
		return Answer{}, ErrNotRun
	case 1:
		return Answer{}, ErrUnknown
	case 2:
		return Answer{}, ErrNotSent
	case 3:
		return answer(http.StatusInternalServerError), nil
	case 4:
		<-ctx.Done()
		return Answer{}, fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	}
	return answer(http.StatusOK), nil
}

func (f *faultyUpstream) Open(context.Context, backend.Server, *Admitted, OpenOptions) (Events, *Answer, error) {
	time.Sleep(time.Duration(f.draw(2500)) * time.Millisecond)
	switch f.draw(7) {
	case 0:
		return nil, nil, ErrNotRun
	case 1:
		return nil, nil, ErrUnknown
	case 2:
		return nil, nil, ErrNotSent
	case 3:
		return newFakeEvents(0, 1+f.draw(20), errCut), nil, nil
	}
	return newFakeEvents(0, 20, io.EOF), nil, nil
}

func (f *faultyUpstream) Report(context.Context, backend.Server) (ServerReport, error) {
	return ServerReport{}, nil
}

func (f *faultyUpstream) Copy(context.Context, backend.Server, backend.Server, string, bool) (string, error) {
	return "", ErrNotRun
}

// For every late request and every one without a complete answer, the log alone must name a cause under the request's
// ID, while servers fail in all ways and come and go.
func TestFailuresAreExplained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		var mu sync.Mutex
		logger, err := logging.New(lockedWriter{&mu, &out}, "info", "json")
		if err != nil {
			t.Fatal(err)
		}
		bounds := Bounds{RetryRatio: 0.2, RetrySlack: 5, RetryWindow: 10 * time.Second}
		rt := New("x", &faultyUpstream{rnd: rand.New(rand.NewPCG(1, 1))}, singleNode{}, WithLog(logger), WithBounds(bounds))
		rt.SetConfig(testConfig())
		failed := make(map[string]string) // results by request ID
		var group sync.WaitGroup
		const requests = 1500
		for i := range requests {
			if i%100 == 0 {
				server := testServer([]string{"w1", "w2", "a", "b"}[i/100%4])
				rt.UpdatePool(func(p *backend.Pool) {
					if i/400%3 == 2 {
						p.Remove(server.ID, time.Now())
					} else {
						p.Put(server)
					}
				})
			}
			time.Sleep(10 * time.Millisecond)
			group.Go(func() {
				w := new(fakeResponder)
				req := testRequest([]string{"/plan/", "/look/", "/book/", "/none/"}[i%4] + "x")
				req.ID = fmt.Sprintf("request-%d", i)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				res := rt.Serve(ctx, req, w)
				if res.Reason != "" || res.Status != http.StatusOK {
					mu.Lock()
					failed[req.ID] = fmt.Sprintf("%+v", res)
					mu.Unlock()
				}
			})
		}
		group.Wait()
		lines, err := explain.Read(&out)
		if err != nil {
			t.Fatal(err)
		}
		unexplained := 0
		for id, how := range failed {
			trace := explain.TraceRequest(lines, id)
			if len(trace.Lines) == 0 || trace.Outcome == "" || trace.Cause == "" || strings.HasPrefix(trace.Cause, "no line") {
				unexplained++
				t.Logf("%s (%s): got cause %q of %d lines", id, how, trace.Cause, len(trace.Lines))
			}
		}
		if len(failed) < requests/4 {
			t.Fatalf("failed requests: got %d of %d, want at least a quarter", len(failed), requests)
		}
		if got, want := float64(unexplained)/float64(len(failed)), 0.01; got > want {
			t.Errorf("failures without a named cause: got %d of %d, want at most %.2f", unexplained, len(failed), want)
		}
	})
}

// lockedWriter serializes writes.
type lockedWriter struct {
	mu *sync.Mutex
	w  io.Writer
}

func (l lockedWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(b)
}

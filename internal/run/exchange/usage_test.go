package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Usage must count each request that began to run once, however many servers ran it, and none that did not run, was lost without a sign that
// it ran, or began at another node.
func TestUsageCountsRequestsThatBegan(t *testing.T) {
	ok, bad := answer(200), answer(500)
	tests := []struct {
		name    string
		path    string
		resume  string
		results []any // results of the calls or streams in order: an Answer, an error, or the number of events of a stream
		want    int
	}{
		{"answer", "/look/1", "", []any{ok}, 1},
		{"two servers ran it", "/look/1", "", []any{bad, ok}, 1},
		{"failure", "/look/1", "", []any{bad, bad}, 1},
		{"not run", "/book/1", "", []any{ErrNotRun, ErrNotRun, ErrNotRun}, 0},
		{"lost answer", "/book/1", "", []any{ErrUnknown}, 0},
		{"unknown route", "/nowhere/1", "", nil, 0},
		{"stream", "/plan/1", "", []any{5}, 1},
		{"stream without an event", "/plan/1", "", []any{0}, 0},
		{"resumed stream", "/plan/1", "3", []any{5}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := &fakeUpstream{
					call: func(_ context.Context, _ string, n int) (Answer, error) {
						if a, isAnswer := tt.results[n].(Answer); isAnswer {
							return a, nil
						}
						return Answer{}, tt.results[n].(error)
					},
					open: func(string, int, OpenOptions) (Events, *Answer, error) {
						return newFakeEvents(0, tt.results[0].(int), errCut), nil, nil
					},
				}
				rt := newRuntime(up, "a", "b", "c", "w1", "w2")
				got, start := 0, time.Now()
				WithUsage(func(account string, began time.Time) {
					got++
					if account != "one" || began.Before(start) {
						t.Errorf("got account %q, %v after the start", account, began.Sub(start))
					}
				})(rt)
				req := testRequest(tt.path)
				req.ResumeFrom = tt.resume
				rt.Serve(t.Context(), req, new(fakeResponder))
				if got != tt.want {
					t.Errorf("counted %d times, want %d", got, tt.want)
				}
			})
		})
	}
}

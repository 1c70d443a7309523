package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/kvstore"
	fakeplatform "ebonyferry/internal/fake/platform"
	"ebonyferry/internal/run/ledger"
)

// inBubble runs fn in virtual time with a context that ends after fn.
func inBubble(t *testing.T, fn func(t *testing.T, ctx context.Context, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fn(t, ctx, newFleet(t))
		cancel()
		time.Sleep(15 * time.Second) // stopping nodes write their outcomes
	})
}

// outcome returns the outcome that a caller sees: "answer", "replayed", "notRun", "refused" or "unknown".
func outcome(answer caller.ServiceAnswer, err error) string {
	var r *caller.Refusal
	switch {
	case err == nil && answer.Replayed:
		return "replayed"
	case err == nil:
		return "answer"
	case errors.As(err, &r) && r.NotRun:
		return "notRun"
	case errors.As(err, &r):
		return "refused"
	case errors.Is(err, caller.ErrOutcomeUnknown):
		return "unknown"
	default:
		return err.Error()
	}
}

func call(m *ledger.Manager, ctx context.Context, key string) string {
	return outcome(m.Call(ctx, booking(key)))
}

func TestAnyNodeReplaysStoredAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		a := f.startNode(ctx, "a", 1, nil)
		b := f.startNode(ctx, "b", 2, nil)
		for i := range 40 {
			key := fmt.Sprint(i)
			if got, want := call(a, ctx, key), "answer"; got != want {
				t.Errorf("first call: got %s, want %s", got, want)
			}
			time.Sleep(time.Second)
			for _, m := range []*ledger.Manager{a, b} {
				if got, want := call(m, ctx, key), "replayed"; got != want {
					t.Errorf("repeated call: got %s, want %s", got, want)
				}
			}
		}
		if total, most := f.service.counts(); total != 40 || most != 1 {
			t.Errorf("runs: got %d with at most %d of a key, want 40 and 1", total, most)
		}
	})
}

func TestSameKeyWithAnotherBodyIsRefused(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		a := f.startNode(ctx, "a", 1, nil)
		call(a, ctx, "k")
		other := booking("k")
		other.Body = []byte(`{"item":"axe"}`)
		_, err := a.Call(ctx, other)
		var r *caller.Refusal
		if !errors.As(err, &r) || r.Reason != caller.ReasonKeyReused || !r.NotRun {
			t.Errorf("got %v, want a refusal for %s", err, caller.ReasonKeyReused)
		}
	})
}

func TestConcurrentCallsOfOneKeyRunOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		nodes := []*ledger.Manager{f.startNode(ctx, "a", 1, nil), f.startNode(ctx, "b", 2, nil), f.startNode(ctx, "c", 3, nil)}
		f.service.delay = time.Second
		counts := make(map[string]int)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 30 {
			wg.Go(func() {
				got := call(nodes[i%3], ctx, "k")
				mu.Lock()
				defer mu.Unlock()
				counts[got]++
			})
		}
		wg.Wait()
		if counts["answer"] != 1 || counts["replayed"] != 29 {
			t.Errorf("outcomes: got %v, want one answer and 29 replayed", counts)
		}
		if total, _ := f.service.counts(); total != 1 {
			t.Errorf("runs: got %d, want 1", total)
		}
	})
}

// Concurrent calls share writes to the store.
func TestGroupCommit(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		a := f.startNode(ctx, "a", 1, nil)
		time.Sleep(time.Second)
		f.store.ResetCounts()
		var wg sync.WaitGroup
		for i := range 1000 {
			wg.Go(func() { call(a, ctx, fmt.Sprint(i)) })
		}
		wg.Wait()
		time.Sleep(time.Second)
		if total, _ := f.service.counts(); total != 1000 {
			t.Errorf("runs: got %d, want 1000", total)
		}
		// One write of intents, one of outcomes, and two to seal, for each of the 16 partitions.
		if got, want := f.store.Counts()[kvstore.KindCAS].Calls, 4*16; got > want {
			t.Errorf("writes: got %d, want at most %d", got, want)
		}
	})
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fleet)
		first string
		runs  int
		again string // after the fault has ended
	}{
		{"store refuses", func(f *fleet) { f.store.SetOutage(fakeplatform.OutageRefuse) }, "notRun", 0, "answer"},
		{"store is silent", func(f *fleet) { f.store.SetOutage(fakeplatform.OutageSilent) }, "notRun", 0, "answer"},
		{"answers of the store are lost", func(f *fleet) { f.store.LoseAnswers(kvstore.KindCAS, 2) }, "answer", 1, "replayed"},
		{"service unreachable", func(f *fleet) { f.service.unreachable = true }, "notRun", 0, "answer"},
		{"answer of the service is lost", func(f *fleet) { f.service.loseAnswers = true }, "unknown", 1, "unknown"},
		{"answer of the service is lost, and can be requested by key", func(f *fleet) { f.service.loseAnswers, f.service.answersByKey = true, true }, "unknown", 1, "replayed"},
		{"lease may have expired", func(f *fleet) { f.updateView(func(v *membership.View) { v.SelfLeased = false }) }, "notRun", 0, "answer"},
		{"large answer", func(f *fleet) { f.service.bodySize = 100 << 10 }, "answer", 1, "replayed"},
	}
	for _, loaded := range []bool{true, false} {
		for _, tt := range tests {
			t.Run(fmt.Sprintf("%s, loaded %v", tt.name, loaded), func(t *testing.T) {
				inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
					a := f.startNode(ctx, "a", 1, nil)
					if loaded {
						time.Sleep(time.Second)
					}
					tt.fault(f)
					if got := call(a, ctx, "k"); got != tt.first {
						t.Errorf("under the fault: got %s, want %s", got, tt.first)
					}
					time.Sleep(5 * time.Second)
					f.store.SetOutage(fakeplatform.OutageNone)
					f.service.unreachable, f.service.loseAnswers = false, false
					f.updateView(func(v *membership.View) { v.SelfLeased = true })
					if total, _ := f.service.counts(); total != tt.runs {
						t.Errorf("runs under the fault: got %d, want %d", total, tt.runs)
					}
					time.Sleep(10 * time.Second)
					if got := call(a, ctx, "k"); got != tt.again {
						t.Errorf("after the fault: got %s, want %s", got, tt.again)
					}
					if _, most := f.service.counts(); most > 1 {
						t.Errorf("runs of the key: got %d, want at most 1", most)
					}
				})
			})
		}
	}
}

// The owner is killed at one of the steps of a call. Another node must then report the true outcome, and must not
// run the call a second time.
func TestOwnerKilledBetweenSteps(t *testing.T) {
	tests := []struct {
		step  string
		runs  int // before the takeover
		again string
	}{
		{"before write", 0, "answer"},
		{"after write", 0, "unknown"},
		{"before send", 0, "unknown"},
		{"after send", 1, "unknown"},
		{"before write of the outcome", 1, "unknown"},
		{"after write of the outcome", 1, "replayed"},
	}
	for _, tt := range tests {
		t.Run(tt.step, func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
				writes := 0
				a := f.startNode(ctx, "a", 1, func(step string) {
					if step == "before write" {
						writes++
					}
					if writes > 1 && step != "after send" {
						step += " of the outcome"
					}
					if step == tt.step {
						<-ctx.Done() // killed
					}
				})
				callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
				defer cancel()
				a.Call(callCtx, booking("k"))
				time.Sleep(time.Second) // the outcome is written after the answer is given
				if total, _ := f.service.counts(); total != tt.runs {
					t.Errorf("runs: got %d, want %d", total, tt.runs)
				}
				f.updateView(func(v *membership.View) { v.Nodes = nil })
				b := f.startNode(ctx, "b", 2, nil)
				before, _ := f.service.counts()
				if got := call(b, ctx, "k"); got != tt.again {
					t.Errorf("the next owner: got %s, want %s", got, tt.again)
				}
				total, most := f.service.counts()
				if most > 1 || tt.again != "answer" && total != before {
					t.Errorf("runs: got %d, most of one key %d, want %d and 1", total, most, before)
				}
			})
		})
	}
}

// Two nodes both run a call as if they were the owner, and one of them pauses between two steps.
func TestRacingOwners(t *testing.T) {
	for _, step := range []string{"before write", "after write", "before send"} {
		t.Run(step, func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
				var once sync.Once
				pause := func(at string) {
					if at == step {
						once.Do(func() { time.Sleep(time.Minute) })
					}
				}
				a := f.startNode(ctx, "a", 1, pause)
				f.updateView(func(v *membership.View) { v.Nodes = nil })
				b := f.startNode(ctx, "b", 2, nil)
				first := make(chan string, 1)
				f.updateView(func(v *membership.View) { v.LeaseEnd = time.Now().Add(30 * time.Second) })
				f.updateView(func(v *membership.View) { v.Nodes = nil }) // each node runs its calls itself
				go func() { first <- call(a, ctx, "k") }()
				time.Sleep(time.Second)
				second := call(b, ctx, "k")
				f.updateView(func(v *membership.View) { v.LeaseEnd = time.Now().Add(time.Hour) })
				time.Sleep(2 * time.Minute)
				total, _ := f.service.counts()
				if got := <-first; total > 1 || got == "answer" && second == "answer" {
					t.Errorf("outcomes %s and %s, runs: got %d, want at most 1", got, second, total)
				}
			})
		})
	}
}

// A node whose messages may have reached the owner must not report "notRun" for a call that the owner ran.
func TestForwardedCallWhoseAnswerIsLost(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		nodes := map[string]*ledger.Manager{"a": f.startNode(ctx, "a", 1, nil), "b": f.startNode(ctx, "b", 2, nil)}
		f.network.CutOneWay("a", "b", true)
		f.service.delay = 100 * time.Millisecond
		// Requests from b reach a, but answers from a to b are lost. Both can reach the store.
		for i := range 20 {
			key := fmt.Sprint(i)
			got := call(nodes["b"], ctx, key)
			f.service.mu.Lock()
			runs := len(f.service.runs)
			f.service.mu.Unlock()
			if runs != i+1 || got == "notRun" {
				t.Errorf("call %d: got %s with %d keys run, want an outcome other than notRun, and %d", i, got, runs, i+1)
			}
		}
		if _, most := f.service.counts(); most != 1 {
			t.Errorf("runs of one key: got %d, want 1", most)
		}
	})
}

func TestRepeatableCallsAreRetriedWithinBudget(t *testing.T) {
	tests := []struct {
		allow    bool
		attempts int
	}{{true, 3}, {false, 1}}
	for _, tt := range tests {
		inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
			a := f.startNode(ctx, "a", 1, nil, ledger.WithRetryBudget(func(string) bool { return tt.allow }))
			f.service.unreachable = true
			lookup := caller.ServiceCall{Service: "bookings", Method: "GET", Path: "/stock/rope", Repeatable: true}
			if got, want := outcome(a.Call(ctx, lookup)), "notRun"; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
			if got, want := f.service.calls, tt.attempts; got != want {
				t.Errorf("attempts: got %d, want %d", got, want)
			}
		})
	}
}

package retry_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"ebonyferry/internal/core/retry"
)

func TestBudgetLimitsRetries(t *testing.T) {
	b := retry.NewBudget()
	const requests = 10_000
	retries, ofOneAccount := 0, 0
	for i := range requests {
		account := strconv.Itoa(i % 100)
		b.CountRequest(account)
		for b.TakeRetry(account) { // every attempt fails
			retries++
			if account == "7" {
				ofOneAccount++
			}
		}
	}
	if got, want := retries, requests/10+10; got > want {
		t.Errorf("retries of %d requests: got %d, want at most %d", requests, got, want)
	}
	if got, want := ofOneAccount, requests/100/10+3; got > want {
		t.Errorf("retries of one account: got %d, want at most %d", got, want)
	}
	if retries == 0 {
		t.Error("no retry was allowed")
	}
}

func TestBackoffIsJitteredAndBounded(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	seen := make(map[time.Duration]bool)
	for attempt := range 100 {
		d := retry.Backoff(attempt, func(limit time.Duration) time.Duration { return time.Duration(rnd.Int64N(int64(limit))) })
		if d <= 0 || d > 5*time.Second {
			t.Errorf("attempt %d: got %v, want above zero and at most 5 s", attempt, d)
		}
		seen[d] = true
	}
	if got, want := len(seen), 90; got < want {
		t.Errorf("different waits: got %d, want at least %d", got, want)
	}
}

func TestEjector(t *testing.T) {
	e := retry.NewEjector()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	fail := func(server string, n int) {
		for range n {
			e.RecordFailure(server, 4, now)
		}
	}
	out := func() (n int) {
		for _, s := range []string{"a", "b", "c", "d"} {
			if e.Ejected(s, now) {
				n++
			}
		}
		return n
	}
	fail("a", 4)
	e.RecordSuccess("a")
	fail("a", 4)
	if got, want := out(), 0; got != want {
		t.Errorf("ejected while answers come: got %d, want %d", got, want)
	}
	for _, s := range []string{"a", "b", "c", "d"} {
		fail(s, 20)
	}
	if got, want := out(), 2; got != want {
		t.Errorf("ejected when all fail: got %d, want %d, half of the pool", got, want)
	}
	now = now.Add(time.Hour)
	if got, want := out(), 0; got != want {
		t.Errorf("ejected after an hour: got %d, want %d", got, want)
	}
}

package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any sliding window, the retries of all nodes together stay within the limit.
func TestWindowBudgetHoldsOverAllNodes(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 54.0
		window = 10 * time.Second
		step   = 100 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 12).Draw(t, "nodes")
		budgets := make([]*WindowBudget, nodes)
		for i := range budgets {
			budgets[i] = NewWindowBudget(ratio, slack, window)
		}
		start := time.Unix(500, 0)
		type count struct{ requests, retries int }
		var counts []count
		for i := range 400 {
			now := start.Add(time.Duration(i) * step)
			var c count
			c.requests = rapid.IntRange(0, 12).Draw(t, "requests")
			for r := range c.requests {
				budgets[r%nodes].CountRequest("s", now)
			}
			for range rapid.IntRange(0, 30).Draw(t, "wanted") {
				if budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")].TakeRetry("s", nodes, now) {
					c.retries++
				}
			}
			counts = append(counts, c)
		}
		width := int(window / step)
		for end := width; end <= len(counts); end++ {
			requests, retries := 0, 0
			for _, c := range counts[end-width : end] {
				requests += c.requests
				retries += c.retries
			}
			// A limit that counts the requests of the whole previous window, too, would be allowed. This check is
			// stricter: it counts only those of the one extra interval that WindowBudget keeps, and of one step.
			before := 0
			for _, c := range counts[max(0, end-width-6):end] {
				before += c.requests
			}
			if limit := ratio*float64(before) + slack; float64(retries) > limit {
				t.Fatalf("window that ends at step %d: got %d retries for %d requests, want at most %.1f", end, retries, requests, limit)
			}
		}
	})
}

// A window follows the monotonic clock, because the wall clock may jump.
func TestWindowBudgetRefills(t *testing.T) {
	b := NewWindowBudget(0, 10, 10*time.Second)
	start := time.Now()
	n := 0
	for b.TakeRetry("s", 1, start) {
		n++
	}
	if n == 0 || n > 10 {
		t.Fatalf("first retries: got %d, want 1 to 10", n)
	}
	if b.TakeRetry("s", 1, start.Add(9*time.Second)) {
		t.Errorf("a retry is allowed in the window in which the budget was used up")
	}
	if !b.TakeRetry("s", 1, start.Add(11*time.Second)) {
		t.Errorf("no retry is allowed after the window")
	}
}

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
			budgets[i] = NewWindowBudget(ratio, slack, window, time.Unix(400, 0))
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

// Nodes stop, start again and join at any time, and other nodes know of it late. The retries of all processes in any window stay within the
// limit: the sum exceeded it after restarts and when nodes left.
func TestWindowBudgetHoldsWhileTheFleetChanges(t *testing.T) {
	const (
		slack  = 60.0
		window = 10 * time.Second
		step   = 100 * time.Millisecond
		steps  = 600
		delay  = 15 // steps until a change is known
	)
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(500, 0)
		sizes := make([]int, steps) // of the fleet at each step
		budgets := make([]*WindowBudget, rapid.IntRange(2, 8).Draw(t, "nodes"))
		for i := range budgets {
			budgets[i] = NewWindowBudget(0, slack, window, start.Add(-time.Minute))
		}
		var taken []int
		for i := range steps {
			now := start.Add(time.Duration(i) * step)
			switch at := rapid.IntRange(0, len(budgets)-1).Draw(t, "node"); rapid.IntRange(0, 30).Draw(t, "change") {
			case 0: // restarts
				budgets[at] = NewWindowBudget(0, slack, window, now)
			case 1:
				if len(budgets) > 1 {
					budgets = append(budgets[:at], budgets[at+1:]...)
				}
			case 2:
				if len(budgets) < 12 {
					budgets = append(budgets, NewWindowBudget(0, slack, window, now))
				}
			case 3: // all restart
				for n := range budgets {
					budgets[n] = NewWindowBudget(0, slack, window, now)
				}
			}
			sizes[i] = len(budgets)
			known := sizes[max(0, i-rapid.IntRange(0, delay).Draw(t, "delay"))]
			for _, b := range budgets {
				b.ObserveFleet(known, now)
			}
			n := 0
			for range rapid.IntRange(0, 60).Draw(t, "wanted") {
				if budgets[rapid.IntRange(0, len(budgets)-1).Draw(t, "taker")].TakeRetry("s", known, now) {
					n++
				}
			}
			taken = append(taken, n)
			width, sum := int(window/step), 0
			for _, n := range taken[max(0, len(taken)-width):] {
				sum += n
			}
			if float64(sum) > slack {
				t.Fatalf("window that ends at step %d: got %d retries, want at most %.0f", i, sum, slack)
			}
		}
	})
}

// A node that starts waits for its share of the slack, unless the whole fleet starts for the first time.
func TestWindowBudgetOfANodeThatStarts(t *testing.T) {
	start := time.Now()
	for _, first := range []bool{false, true} {
		b := NewWindowBudget(0, 10, 10*time.Second, start)
		if first {
			b.NoEarlierProcess()
		}
		if got := b.TakeRetry("s", 1, start.Add(time.Second)); got != first {
			t.Errorf("first start %v: got a retry %v, want %v", first, got, first)
		}
		if b.TakeRetry("s", 0, start.Add(20*time.Second)) {
			t.Errorf("first start %v: got a retry without a known fleet", first)
		}
		if !b.TakeRetry("s", 1, start.Add(20*time.Second)) {
			t.Errorf("first start %v: got no retry after 20 s", first)
		}
	}
}

// Changed limits must not forget the retries of the window.
func TestWindowBudgetChangesLimits(t *testing.T) {
	start := time.Now()
	b := NewWindowBudget(0, 10, 10*time.Second, start.Add(-time.Minute))
	for b.TakeRetry("s", 1, start) {
	}
	b.SetLimits(0, 11, 10*time.Second, start)
	got := 0
	for b.TakeRetry("s", 1, start) {
		got++
	}
	if got > 1 {
		t.Errorf("retries after the slack rose by one: got %d more, want at most 1", got)
	}
	b.SetLimits(0, 11, 5*time.Second, start)
	if b.TakeRetry("s", 1, start) {
		t.Error("a retry is allowed right after the window changed")
	}
}

// A window follows the monotonic clock, because the wall clock may jump.
func TestWindowBudgetRefills(t *testing.T) {
	start := time.Now()
	b := NewWindowBudget(0, 10, 10*time.Second, start.Add(-time.Minute))
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

package scaling

import (
	"math"
	"testing"
	"time"
)

var limits = Limits{Min: 2, Max: 24, Boot: 4 * time.Second}

// replay plans for a demand over time and returns the numbers of orders up and down, when the last one was, and for how much of the time demand
// exceeded the servers that served.
func replay(t *testing.T, d time.Duration, demand func(at time.Duration) float64) (up, down int, lastAt, short time.Duration) {
	t.Helper()
	const step = 500 * time.Millisecond
	start := time.Unix(1000, 0)
	p := NewPlanner(start)
	present := map[string]int{"a": 6, "b": 6, "c": 6, "d": 6}
	type change struct {
		domain  string
		servers int
		at      time.Duration
	}
	var pending []change
	last := map[string]int{"a": 6, "b": 6, "c": 6, "d": 6}
	for at := time.Duration(0); at < d; at += step {
		for len(pending) > 0 && pending[0].at <= at {
			present[pending[0].domain] = pending[0].servers
			pending = pending[1:]
		}
		now := start.Add(at)
		for domain, n := range p.Plan(limits, demand(at), present, now) {
			if n == last[domain] || n < limits.Min || n > limits.Max {
				t.Errorf("after %v: order of %d in %s after %d", at, n, domain, last[domain])
			}
			wait := time.Duration(0)
			if n > last[domain] {
				up++
				wait = limits.Boot
			} else {
				down++
				if at < noReduction {
					t.Errorf("after %v: order of %d in %s, fewer than %d", at, n, domain, last[domain])
				}
			}
			last[domain], lastAt = n, at
			p.Ordered(domain, n, now)
			pending = append(pending, change{domain, n, at + wait})
		}
		total := 0
		for _, n := range present {
			total += n
		}
		if demand(at) > float64(total) {
			short += step
		}
	}
	return up, down, lastAt, short
}

// Demand that oscillates by 55% with a period of 13 s must not make the numbers go up and down: after the first period and the
// boot time over which a trend is taken, no number changes.
func TestOscillationDoesNotFlap(t *testing.T) {
	up, down, lastAt, short := replay(t, 5*time.Minute, func(at time.Duration) float64 {
		return 20 * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/13))
	})
	if up == 0 || down > 0 || lastAt > 13*time.Second+limits.Boot {
		t.Errorf("got %d orders up and %d down, the last after %v, want none after 17 s", up, down, lastAt)
	}
	if short > 10*time.Second {
		t.Errorf("servers were missing for %v, want only until the first orders serve", short)
	}
}

// A jump to 2.5 times must be followed at once, and the servers given back once it is long over.
func TestJump(t *testing.T) {
	up, down, _, short := replay(t, 2*time.Minute, func(at time.Duration) float64 {
		if at > 30*time.Second && at < 36*time.Second {
			return 40
		}
		return 16
	})
	if up == 0 || down == 0 || up+down > 20 {
		t.Errorf("got %d orders up and %d down, want some of both and at most 20", up, down)
	}
	if short > limits.Boot+time.Second {
		t.Errorf("servers were missing for %v, want at most the boot time", short)
	}
}

// Steady demand must lead to no order after the first, and the numbers must suffice without one failure domain.
func TestSteadyDemand(t *testing.T) {
	p := NewPlanner(time.Unix(0, 0))
	present := map[string]int{"a": 3, "b": 3, "c": 3, "d": 3}
	now := time.Unix(1, 0)
	for domain, n := range p.Plan(limits, 12, present, now) {
		if 3*n < 12 {
			t.Errorf("%s: got %d servers; three domains do not hold the demand of 12", domain, n)
		}
		p.Ordered(domain, n, now)
	}
	for i := range 200 {
		if got := p.Plan(limits, 12, present, now.Add(time.Duration(i)*time.Second)); len(got) != 0 {
			t.Fatalf("after %d s: got orders %v, want none", i, got)
		}
	}
}

// Numbers must stay in their range, and malformed demand and services without servers lead to no order.
func TestLimits(t *testing.T) {
	now := time.Unix(1, 0)
	for _, demand := range []float64{math.NaN(), math.Inf(1), -1} {
		if got := NewPlanner(now).Plan(limits, demand, map[string]int{"a": 3}, now); len(got) != 0 {
			t.Errorf("demand %v: got orders %v", demand, got)
		}
	}
	if got := NewPlanner(now).Plan(limits, 5, nil, now); len(got) != 0 {
		t.Errorf("without a domain: got orders %v", got)
	}
	if got := NewPlanner(now).Plan(limits, 1e9, map[string]int{"a": 3}, now)["a"]; got != limits.Max {
		t.Errorf("huge demand: got %d servers, want %d", got, limits.Max)
	}
	if got := NewPlanner(now).Plan(limits, 0, map[string]int{"a": 1}, now)["a"]; got != limits.Min {
		t.Errorf("below the range: got %d servers, want %d", got, limits.Min)
	}
}

// Servers that are being replaced when a planner starts must not make it order fewer than there are in a moment.
func TestServersBeingReplaced(t *testing.T) {
	now := time.Unix(1, 0)
	p := NewPlanner(now)
	for i, n := range []int{6, 9, 7, 9} {
		if got := p.Plan(limits, 3.5, map[string]int{"a": n}, now.Add(time.Duration(i)*time.Second)); i > 0 && len(got) != 0 {
			t.Errorf("after %d s with %d servers: got orders %v, want none", i, n, got)
		}
	}
}

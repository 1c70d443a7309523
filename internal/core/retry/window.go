package retry

import "time"

// WindowBudget limits the retries in any time window to a ratio of the requests in that window plus a slack. Nodes
// share one limit: each uses the ratio of the requests that it received itself and an equal share of the slack, so
// that the sum of their retries stays below the limit. It is not safe for concurrent use.
type WindowBudget struct {
	ratio    float64
	slack    float64
	window   time.Duration
	start    time.Time // of the first interval; intervals follow the monotonic clock, since the wall clock may jump
	services map[string]*windowCounts
}

// windowIntervals is the number of intervals in a window. Counts are kept for one more interval, so that they cover any
// sliding window.
const windowIntervals = 20

// windowCounts counts the requests and retries of one service in each interval.
type windowCounts struct {
	requests [windowIntervals + 1]int
	retries  [windowIntervals + 1]int
	interval int64 // newest interval
}

// usableShare is the share of the limit that nodes use. The rest is a margin for the moments in which nodes disagree
// about the size of the fleet.
const usableShare = 0.85

// NewWindowBudget returns a budget of ratio retries per request plus slack, which all nodes share, in any window.
func NewWindowBudget(ratio, slack float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, window: window, services: make(map[string]*windowCounts)}
}

// CountRequest counts a first attempt at service.
func (b *WindowBudget) CountRequest(service string, now time.Time) {
	c := b.counts(service, now)
	c.requests[c.interval%(windowIntervals+1)]++
}

// TakeRetry takes one retry at service from this node's share, one of nodes, and reports whether one was left.
func (b *WindowBudget) TakeRetry(service string, nodes int, now time.Time) bool {
	c := b.counts(service, now)
	used, allowed := b.usage(c, nodes)
	if float64(used+1) > allowed {
		return false
	}
	c.retries[c.interval%(windowIntervals+1)]++
	return true
}

// usage returns the retries in the window and how many are allowed for this node.
func (b *WindowBudget) usage(c *windowCounts, nodes int) (used int, allowed float64) {
	requests := 0
	for i := range c.requests {
		requests += c.requests[i]
		used += c.retries[i]
	}
	return used, usableShare * (b.ratio*float64(requests) + b.slack/float64(max(1, nodes)))
}

// counts returns the counts of a service after clearing the intervals that have passed.
func (b *WindowBudget) counts(service string, now time.Time) *windowCounts {
	if b.start.IsZero() {
		b.start = now
	}
	interval := int64(now.Sub(b.start) / (b.window / windowIntervals))
	c := b.services[service]
	if c == nil {
		c = &windowCounts{interval: interval}
		b.services[service] = c
	}
	for passed := 0; c.interval < interval && passed <= windowIntervals; passed++ {
		c.interval++
		c.requests[c.interval%(windowIntervals+1)] = 0
		c.retries[c.interval%(windowIntervals+1)] = 0
	}
	c.interval = max(c.interval, interval)
	return c
}

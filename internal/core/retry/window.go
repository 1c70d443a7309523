package retry

import (
	"slices"
	"time"
)

// WindowBudget limits the retries in any time window to a ratio of the requests in that window plus a slack. Nodes
// share one limit: each uses the ratio of the requests that it received itself and an equal share of the slack, so
// that the sum of their retries stays below the limit.
//
// The sum must hold while the fleet changes. A node divides the slack by the largest fleet that it knew of in the window, because nodes that
// have left may have used their shares. A node that starts uses none of the slack before it is joinTime old: the process before it, of
// which it knows nothing, may have used its share, and other nodes may not know of it yet.
//
// It is not safe for concurrent use.
type WindowBudget struct {
	ratio    float64
	slack    float64
	window   time.Duration
	start    time.Time // of the first interval; intervals follow the monotonic clock, since the wall clock may jump
	joined   bool      // the node has a share of the slack at once
	services map[string]*windowCounts
	fleet    intervalMax
}

// intervalMax is the largest fleet in each interval.
type intervalMax struct {
	nodes    [windowIntervals + 1]int
	interval int64 // newest interval
}

// observe records the size of the fleet in an interval and returns the largest one in the window.
func (m *intervalMax) observe(nodes int, interval int64) int {
	for passed := 0; m.interval < interval && passed <= windowIntervals; passed++ {
		m.interval++
		m.nodes[m.interval%(windowIntervals+1)] = 0
	}
	m.interval = max(m.interval, interval)
	at := &m.nodes[m.interval%(windowIntervals+1)]
	*at = max(*at, nodes)
	return slices.Max(m.nodes[:])
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

// joinWindows is the age from which a node uses its share of the slack, in windows: one, and the time in which other nodes know of it.
const joinWindows = 1.2

// NewWindowBudget returns the budget of a node that started at a time: ratio retries per request plus slack, which all nodes share, in
// any window.
func NewWindowBudget(ratio, slack float64, window time.Duration, start time.Time) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, window: window, start: start, services: make(map[string]*windowCounts)}
}

// NoEarlierProcess records that the whole fleet starts for the first time: no process has used the slack, and the node need not wait.
func (b *WindowBudget) NoEarlierProcess() { b.joined = true }

// SetLimits changes the limits. What was counted still counts, unless the length of the window changes; then the node counts as one that
// starts.
func (b *WindowBudget) SetLimits(ratio, slack float64, window time.Duration, now time.Time) {
	if window != b.window {
		*b = *NewWindowBudget(ratio, slack, window, now) // not joined: what was counted is lost
		return
	}
	b.ratio, b.slack = ratio, slack
}

// ObserveFleet records the number of nodes that share the slack. It is called regularly, so that a fleet that shrinks is known.
func (b *WindowBudget) ObserveFleet(nodes int, now time.Time) {
	b.fleet.observe(nodes, b.intervalAt(now))
}

// CountRequest counts a first attempt at service.
func (b *WindowBudget) CountRequest(service string, now time.Time) {
	c := b.counts(service, now)
	c.requests[c.interval%(windowIntervals+1)]++
}

// TakeRetry takes one retry at service from this node's share, one of nodes, and reports whether one was left. A node that does not know
// the fleet, where nodes is 0, has no share of the slack.
func (b *WindowBudget) TakeRetry(service string, nodes int, now time.Time) bool {
	c := b.counts(service, now)
	most := b.fleet.observe(nodes, b.intervalAt(now))
	slack := 0.0
	if nodes > 0 && (b.joined || now.Sub(b.start) >= time.Duration(joinWindows*float64(b.window))) {
		slack = b.slack / float64(most)
	}
	used, allowed := b.usage(c, slack)
	if float64(used+1) > allowed {
		return false
	}
	c.retries[c.interval%(windowIntervals+1)]++
	return true
}

// usage returns the retries in the window and how many are allowed for this node, with its share of the slack.
func (b *WindowBudget) usage(c *windowCounts, slack float64) (used int, allowed float64) {
	requests := 0
	for i := range c.requests {
		requests += c.requests[i]
		used += c.retries[i]
	}
	return used, usableShare * (b.ratio*float64(requests) + slack)
}

func (b *WindowBudget) intervalAt(now time.Time) int64 {
	return int64(now.Sub(b.start) / (b.window / windowIntervals))
}

// counts returns the counts of a service after clearing the intervals that have passed.
func (b *WindowBudget) counts(service string, now time.Time) *windowCounts {
	interval := b.intervalAt(now)
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

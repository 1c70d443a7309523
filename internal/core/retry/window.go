package retry

import "time"

// WindowBudget bounds repeats in any window of time by a ratio to the requests in it and a slack. Several nodes
// share one bound by parts: each keeps its part of the slack, and the ratio to the requests that it saw itself, so
// that their repeats sum below the bound. It has one owner.
type WindowBudget struct {
	ratio    float64
	slack    float64
	window   time.Duration
	start    time.Time // of the first slot; the wall clock may jump, the difference of two times does not
	services map[string]*windowCounts
}

// Slots in a window. A window is counted in slots, and one slot more, so that every sliding window is covered.
const windowSlots = 20

// windowCounts counts the requests and repeats of one service.
type windowCounts struct {
	requests [windowSlots + 1]int
	repeats  [windowSlots + 1]int
	slot     int64 // the newest one counted
}

// budgetShare is the part of the bound that is used: nodes differ in their view of the fleet's size for moments.
const budgetShare = 0.85

// NewWindowBudget returns a budget of ratio repeats a request, and slack of all nodes together, in any window.
func NewWindowBudget(ratio, slack float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, window: window, services: make(map[string]*windowCounts)}
}

// Request counts a first attempt at service.
func (b *WindowBudget) CountRequest(service string, now time.Time) {
	c := b.counts(service, now)
	c.requests[c.slot%(windowSlots+1)]++
}

// Retry takes one repeat at service out of this node's part of nodes and reports whether there was one.
func (b *WindowBudget) TakeRetry(service string, nodes int, now time.Time) bool {
	c := b.counts(service, now)
	used, allowed := b.use(c, nodes)
	if float64(used+1) > allowed {
		return false
	}
	c.repeats[c.slot%(windowSlots+1)]++
	return true
}

// Returns the repeats in the window and how many this node may have.
func (b *WindowBudget) use(c *windowCounts, nodes int) (used int, allowed float64) {
	requests := 0
	for i := range c.requests {
		requests += c.requests[i]
		used += c.repeats[i]
	}
	return used, budgetShare * (b.ratio*float64(requests) + b.slack/float64(max(1, nodes)))
}

// Returns the counts of a service with the slots that have passed cleared.
func (b *WindowBudget) counts(service string, now time.Time) *windowCounts {
	if b.start.IsZero() {
		b.start = now
	}
	slot := int64(now.Sub(b.start) / (b.window / windowSlots))
	c := b.services[service]
	if c == nil {
		c = &windowCounts{slot: slot}
		b.services[service] = c
	}
	for passed := 0; c.slot < slot && passed <= windowSlots; passed++ {
		c.slot++
		c.requests[c.slot%(windowSlots+1)] = 0
		c.repeats[c.slot%(windowSlots+1)] = 0
	}
	c.slot = max(c.slot, slot)
	return c
}

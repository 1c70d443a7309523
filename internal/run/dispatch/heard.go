package dispatch

import (
	"time"

	"ebonyferry/internal/core/admission"
)

// This file defines that a server must have been asked for a report before it gets work.

// heardBudgets grants nothing of a server that has not been asked since this node may use it. Without that, a
// node that is given a part of a leaving server would send it work until the first report. A server that does
// not answer may be used; its silence is weighed by time.
type heardBudgets struct {
	inner admission.Budgets
	heard map[string]bool // asked, by server; guarded by Dispatcher.mu
}

// Budget implements admission.Budgets.
func (b *heardBudgets) Budget(server string, now time.Time) (streams, tokens int) {
	if !b.heard[server] {
		return 0, 0
	}
	return b.inner.Budget(server, now)
}

// note records that a server was asked. The caller holds Dispatcher.mu.
func (b *heardBudgets) note(server string) { b.heard[server] = true }

// forget records that what a server reported is no longer kept up. The caller holds Dispatcher.mu.
func (b *heardBudgets) forget(server string) { delete(b.heard, server) }

// Limit implements admission.SharedLimits; it is zero when the budgets know of no limit that nodes share.
func (b *heardBudgets) Limit(server string, now time.Time) int {
	limits, ok := b.inner.(admission.SharedLimits)
	if !ok {
		return 0
	}
	return limits.Limit(server, now)
}

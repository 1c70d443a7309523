package dispatch

import (
	"time"

	"ebonyferry/internal/core/admission"
)

// queriedBudgets grants nothing of a server until this node has queried it for a load report. Otherwise a node
// that receives a slice of a leaving server would send it work until the first report. A server that does not
// answer may be used. Package warmup treats it as cold after some time without an answer, report or token.
type queriedBudgets struct {
	inner   admission.Budgets
	queried map[string]bool // by server; guarded by Dispatcher.mu
	since   time.Time       // earlier queries do not count; guarded by Dispatcher.mu
}

// Budget implements admission.Budgets.
func (b *queriedBudgets) Budget(server string, now time.Time) (streams, tokens int) {
	if !b.queried[server] {
		return 0, 0
	}
	return b.inner.Budget(server, now)
}

// recordQuery records that a server was queried at a time, with or without an answer. The caller holds Dispatcher.mu.
func (b *queriedBudgets) recordQuery(server string, at time.Time) {
	if !at.Before(b.since) {
		b.queried[server] = true
	}
}

// forgetAll makes all servers unusable until queries from now on, after the process was stalled: meanwhile they may have
// reported that they leave. The caller holds Dispatcher.mu.
func (b *queriedBudgets) forgetAll(now time.Time) {
	clear(b.queried)
	b.since = now
}

// forget makes a server unusable until its next query, after this node stopped querying it. The caller holds
// Dispatcher.mu.
func (b *queriedBudgets) forget(server string) { delete(b.queried, server) }

// Limit implements admission.SharedLimits. It returns zero if the inner budgets have no shared limits.
func (b *queriedBudgets) Limit(server string, now time.Time) int {
	limits, ok := b.inner.(admission.SharedLimits)
	if !ok {
		return 0
	}
	return limits.Limit(server, now)
}

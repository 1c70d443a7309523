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
}

// Budget implements admission.Budgets.
func (b *queriedBudgets) Budget(server string, now time.Time) (streams, tokens int) {
	if !b.queried[server] {
		return 0, 0
	}
	return b.inner.Budget(server, now)
}

// recordQuery records that a server was queried, with or without an answer. The caller holds Dispatcher.mu.
func (b *queriedBudgets) recordQuery(server string) { b.queried[server] = true }

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

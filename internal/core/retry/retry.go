// Package retry limits retries and takes failing servers out of service.
//
// A [Budget] limits retries to a small ratio of first attempts, for the node and for each client account, so that a
// fault does not multiply the load. A [WindowBudget] limits the retries of each service within any time window, over
// several nodes. [Backoff] spreads attempts over time. An [Ejector] takes a server out of service for a while after
// several failures in a row, but never more than a fraction of a pool.
package retry

import "time"

const (
	retriesPerRequest  = 0.1
	budgetDepth        = 10.0 // unused retries that a node may accumulate
	accountDepth       = 3.0  // the same for a client account
	maxAccounts        = 8192 // accounts whose budget may be below its depth; further accounts get no retry
	firstBackoff       = 50 * time.Millisecond
	maxBackoff         = 5 * time.Second
	failuresToEject    = 5
	firstEjection      = 5 * time.Second
	maxEjection        = time.Minute
	maxEjectedFraction = 0.5
)

// Budget limits retries to a ratio of first attempts. It is not safe for concurrent use.
type Budget struct {
	node     float64            // retries left
	accounts map[string]float64 // retries left; an absent account has accountDepth
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{node: budgetDepth, accounts: make(map[string]float64)}
}

// CountRequest counts a first attempt of account.
func (b *Budget) CountRequest(account string) {
	b.node = min(budgetDepth, b.node+retriesPerRequest)
	credit, ok := b.accounts[account]
	if !ok {
		return
	}
	credit += retriesPerRequest
	if credit >= accountDepth {
		delete(b.accounts, account)
		return
	}
	b.accounts[account] = credit
}

// TakeRetry takes one retry of account from the budget and reports whether one was left.
func (b *Budget) TakeRetry(account string) bool {
	credit, ok := b.accounts[account]
	if !ok {
		credit = accountDepth
	}
	if b.node < 1 || credit < 1 || (!ok && len(b.accounts) >= maxAccounts) {
		return false
	}
	b.node--
	b.accounts[account] = credit - 1
	return true
}

// Backoff returns how long to wait before a retry: exponential in attempt, which is 1 for the first retry, with full
// jitter. random returns a random duration below its argument, as rand.N does.
func Backoff(attempt int, random func(time.Duration) time.Duration) time.Duration {
	limit := firstBackoff << min(max(attempt-1, 0), 10)
	return random(min(limit, maxBackoff)) + 1
}

// Ejector takes servers out of service after failures in a row. It is not safe for concurrent use.
type Ejector struct {
	servers map[string]*serverRecord
}

type serverRecord struct {
	consecutiveFailures int
	ejections           int // since the last success
	ejectedUntil        time.Time
}

// NewEjector returns an ejector with every server in service.
func NewEjector() *Ejector { return &Ejector{servers: make(map[string]*serverRecord)} }

// RecordSuccess records a successful attempt at server.
func (e *Ejector) RecordSuccess(server string) { delete(e.servers, server) }

// RecordFailure records a failed attempt at server and reports whether this failure ejected it. pool is the number of
// interchangeable servers that it belongs to.
func (e *Ejector) RecordFailure(server string, pool int, now time.Time) bool {
	r := e.servers[server]
	if r == nil {
		r = new(serverRecord)
		e.servers[server] = r
	}
	r.consecutiveFailures++
	if r.consecutiveFailures < failuresToEject || now.Before(r.ejectedUntil) {
		return false
	}
	if float64(e.countEjected(now)+1) > maxEjectedFraction*float64(pool) {
		return false
	}
	r.ejectedUntil = now.Add(min(maxEjection, firstEjection<<min(r.ejections, 10)))
	r.ejections++
	r.consecutiveFailures = 0
	return true
}

func (e *Ejector) countEjected(now time.Time) int {
	n := 0
	for _, r := range e.servers {
		if now.Before(r.ejectedUntil) {
			n++
		}
	}
	return n
}

// Ejected reports whether server is out of service now.
func (e *Ejector) Ejected(server string, now time.Time) bool {
	r := e.servers[server]
	return r != nil && now.Before(r.ejectedUntil)
}

// Forget drops the record of server, which left the configuration.
func (e *Ejector) Forget(server string) { delete(e.servers, server) }

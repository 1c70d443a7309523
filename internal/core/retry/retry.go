// Package retry bounds how often work is tried again and keeps failing servers out of service.
//
// A Budget lets retries be a small part of first attempts, per node and per client account, so that a fault
// does not multiply load. Backoff spreads attempts in time. An Ejector takes servers that fail far more than
// others out of service for a while, but never more than a part of a pool.
package retry

import "time"

const (
	retriesPerRequest  = 0.1
	budgetDepth        = 10.0 // retries that may be saved up per node
	accountDepth       = 3.0  // and per client account
	maxAccounts        = 8192
	firstBackoff       = 50 * time.Millisecond
	maxBackoff         = 5 * time.Second
	failuresToEject    = 5
	ejection           = 5 * time.Second
	maxEjection        = time.Minute
	maxEjectedFraction = 0.5
)

// Budget counts retries against first attempts. It has one owner.
type Budget struct {
	node     float64
	accounts map[string]float64 // credit; an absent account has accountDepth
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{node: budgetDepth, accounts: make(map[string]float64)}
}

// Request counts a first attempt of account.
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

// Retry takes one retry of account out of the budget and reports whether there was one.
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

// Backoff returns how long to wait before attempt (1 for the first retry): exponential with full jitter. Below
// returns a random time below its argument, as rand.N does.
func Backoff(attempt int, below func(time.Duration) time.Duration) time.Duration {
	limit := firstBackoff << min(max(attempt-1, 0), 10)
	return below(min(limit, maxBackoff)) + 1
}

// Ejector follows the failures of servers. It has one owner.
type Ejector struct {
	servers map[string]*record
}

type record struct {
	failures int       // in a row
	times    int       // ejections without a success after
	until    time.Time // out of service before this
}

// NewEjector returns an ejector with every server in service.
func NewEjector() *Ejector { return &Ejector{servers: make(map[string]*record)} }

// Success records an answer of server.
func (e *Ejector) Success(server string) { delete(e.servers, server) }

// Failure records a failed attempt at server. Pool is the number of servers that can stand in for it, itself
// included. It reports whether the server was ejected by this failure.
func (e *Ejector) Failure(server string, pool int, now time.Time) bool {
	r := e.servers[server]
	if r == nil {
		r = new(record)
		e.servers[server] = r
	}
	r.failures++
	if r.failures < failuresToEject || now.Before(r.until) {
		return false
	}
	if float64(e.ejected(now)+1) > maxEjectedFraction*float64(pool) {
		return false
	}
	r.until = now.Add(min(maxEjection, ejection<<min(r.times, 10)))
	r.times++
	r.failures = 0
	return true
}

func (e *Ejector) ejected(now time.Time) int {
	n := 0
	for _, r := range e.servers {
		if now.Before(r.until) {
			n++
		}
	}
	return n
}

// Out reports whether server is ejected now.
func (e *Ejector) Ejected(server string, now time.Time) bool {
	r := e.servers[server]
	return r != nil && now.Before(r.until)
}

// Forget drops what is known of server, which left the configuration.
func (e *Ejector) Forget(server string) { delete(e.servers, server) }

package admission

import (
	"math"
	"time"

	"ebonyferry/internal/core/bundle"
)

// This file defines fairness between client accounts and their own limits.

const (
	promptCost      = 0.25 // served tokens that one prompt token counts as
	limitBurst      = 5.0  // seconds of an account's rate that it may save up
	maxIdleAccounts = 8192
	servedMemory    = 15 * time.Second // served tokens count less by a factor of e
	decayInterval   = 500 * time.Millisecond
)

// account is what a node knows of one client account.
type account struct {
	id      string
	virtual float64 // tokens served lately, divided by weight; a Virtual Token Counter that decays
	weight  float64 // at least 1
	running int
	queued  int
	limits  bundle.AccountLimits // this node's part
	credit  bucket               // requests
	tokens  bucket               // output tokens; may be in debt
	used    time.Time
}

// bucket is a token bucket that may go into debt.
type bucket struct {
	level float64
	at    time.Time
}

// Refill brings the bucket up to now at rate a second.
func (b *bucket) refill(rate float64, now time.Time) {
	depth := max(1, rate*limitBurst)
	if b.at.IsZero() {
		b.level = depth
	} else {
		b.level = min(depth, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}

// Until returns how long the bucket takes to reach level at rate.
func (b *bucket) until(level, rate float64) time.Duration {
	return time.Duration((level - b.level) / rate * float64(time.Second))
}

// Over returns how long the account must wait for its own limits; zero when it need not.
func (a *account) over(now time.Time) (time.Duration, bool) {
	if r := a.limits.RequestsPerSecond; r > 0 {
		if a.credit.refill(r, now); a.credit.level < 1 {
			return a.credit.until(1, r), true
		}
	}
	if r := a.limits.TokensPerSecond; r > 0 {
		if a.tokens.refill(r, now); a.tokens.level <= 0 {
			return a.tokens.until(1, r), true
		}
	}
	if n := a.limits.MaxStreams; n != 0 && a.running+a.queued >= max(n, 0) {
		return time.Second, true
	}
	return 0, false
}

// Accepted takes one request out of the account's own limits.
func (a *account) accepted() {
	if a.limits.RequestsPerSecond > 0 {
		a.credit.level--
	}
}

// Charge adds tokens to what the account was served.
func (a *account) charge(tokens float64) { a.virtual += tokens / a.weight }

// Spent takes generated tokens out of the account's own limit.
func (a *account) spent(tokens int) {
	if a.limits.TokensPerSecond > 0 {
		a.tokens.level -= float64(tokens)
	}
}

// accounts holds the accounts seen by a node, a bounded number of idle ones.
type accounts struct {
	byID   map[string]*account
	limits map[string]bundle.AccountLimits // of the configuration
	nodes  int
	rank   int
	// decayed is when the counters were last decayed.
	decayed time.Time
}

func newAccounts() *accounts {
	return &accounts{byID: make(map[string]*account), nodes: 1}
}

// Configure sets the limits and the node's place among the nodes that share them.
func (s *accounts) configure(list []bundle.Account, nodes, rank int) {
	s.nodes, s.rank = max(1, nodes), rank
	s.limits = make(map[string]bundle.AccountLimits, len(list))
	for _, a := range list {
		s.limits[a.ID] = a.Limits
	}
	for _, a := range s.byID {
		s.apply(a)
	}
}

// Apply gives the account its part of its limits. A limit on streams of which this node has no part is
// negative.
func (s *accounts) apply(a *account) {
	l := s.limits[a.id]
	a.weight = float64(max(1, l.Weight))
	a.limits = bundle.AccountLimits{
		RequestsPerSecond: l.RequestsPerSecond / float64(s.nodes),
		TokensPerSecond:   l.TokensPerSecond / float64(s.nodes),
	}
	if l.MaxStreams > 0 {
		a.limits.MaxStreams = part(l.MaxStreams, s.nodes, s.rank)
		if a.limits.MaxStreams == 0 {
			a.limits.MaxStreams = -1
		}
	}
}

func (s *accounts) get(id string, now time.Time) *account {
	a := s.byID[id]
	if a == nil {
		a = &account{id: id}
		s.apply(a)
		s.byID[id] = a
	}
	a.used = now
	return a
}

// Decay lets what was served long ago count less. Without it an account that was served much while nobody
// waited would go last once somebody does.
func (s *accounts) decay(now time.Time) {
	dt := now.Sub(s.decayed)
	if dt < decayInterval {
		return
	}
	first := s.decayed.IsZero()
	s.decayed = now
	if first {
		return
	}
	keep := math.Exp(-dt.Seconds() / servedMemory.Seconds())
	for _, a := range s.byID {
		a.virtual *= keep
	}
}

// Sweep forgets idle accounts when there are too many.
func (s *accounts) sweep(now time.Time) {
	if len(s.byID) <= maxIdleAccounts {
		return
	}
	for id, a := range s.byID {
		if a.running == 0 && a.queued == 0 && now.Sub(a.used) > time.Minute {
			delete(s.byID, id)
		}
	}
}

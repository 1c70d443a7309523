// This file handles fairness between client accounts and the accounts' own limits.

package admission

import (
	"math"
	"time"

	"ebonyferry/internal/core/bundle"
)

const (
	promptTokenCost   = 0.25             // served tokens that a prompt token counts as
	limitBurstSeconds = 5.0              // burst of an account, in seconds of its rate
	sweepThreshold    = 8192             // number of accounts above which idle ones are removed
	servedDecayTime   = 15 * time.Second // in which the count of served tokens decays by a factor of e
	decayInterval     = 500 * time.Millisecond
)

// account is the state of one client account at this node.
type account struct {
	id            string
	served        float64 // tokens served recently, divided by weight: a Virtual Token Counter with decay
	weight        float64 // at least 1
	running       int
	queued        int
	limits        bundle.AccountLimits // this node's share
	requestBucket bucket               // requests
	tokenBucket   bucket               // output tokens; may be negative
	usedAt        time.Time
}

// bucket is a token bucket whose level may become negative.
type bucket struct {
	level float64
	at    time.Time
}

// refill advances the bucket to now at the given rate per second.
func (b *bucket) refill(rate float64, now time.Time) {
	capacity := max(1, rate*limitBurstSeconds)
	if b.at.IsZero() {
		b.level = capacity
	} else {
		b.level = min(capacity, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}

// timeUntil returns how long the bucket takes to reach level at rate.
func (b *bucket) timeUntil(level, rate float64) time.Duration {
	return time.Duration((level - b.level) / rate * float64(time.Second))
}

// exceeded reports whether the account is at one of its own limits, and how long it must wait.
func (a *account) exceeded(now time.Time) (time.Duration, bool) {
	if r := a.limits.RequestsPerSecond; r > 0 {
		if a.requestBucket.refill(r, now); a.requestBucket.level < 1 {
			return a.requestBucket.timeUntil(1, r), true
		}
	}
	if r := a.limits.TokensPerSecond; r > 0 {
		if a.tokenBucket.refill(r, now); a.tokenBucket.level <= 0 {
			return a.tokenBucket.timeUntil(1, r), true
		}
	}
	if n := a.limits.MaxStreams; n != 0 && a.running+a.queued >= max(n, 0) {
		return time.Second, true
	}
	return 0, false
}

// takeRequest deducts a request from the account's request limit.
func (a *account) takeRequest() {
	if a.limits.RequestsPerSecond > 0 {
		a.requestBucket.level--
	}
}

// charge adds tokens to the served tokens of the account.
func (a *account) charge(tokens float64) { a.served += tokens / a.weight }

// takeTokens deducts generated tokens from the account's token limit.
func (a *account) takeTokens(tokens int) {
	if a.limits.TokensPerSecond > 0 {
		a.tokenBucket.level -= float64(tokens)
	}
}

// accounts holds the client accounts that the node has seen.
type accounts struct {
	byID   map[string]*account
	limits map[string]bundle.AccountLimits // from the configuration
	nodes  int
	rank   int
	// decayed is when the counters were last decayed.
	decayed time.Time
}

func newAccounts() *accounts {
	return &accounts{byID: make(map[string]*account), nodes: 1}
}

// configure sets the limits, the number of nodes that share them and the rank of this node.
func (s *accounts) configure(list []bundle.Account, nodes, rank int) {
	s.nodes, s.rank = max(1, nodes), rank
	s.limits = make(map[string]bundle.AccountLimits, len(list))
	for _, a := range list {
		s.limits[a.ID] = a.Limits
	}
	for _, a := range s.byID {
		s.applyLimits(a)
	}
}

// applyLimits gives the account this node's share of its limits. An empty share of the limit on streams is negative,
// since zero means no limit.
func (s *accounts) applyLimits(a *account) {
	l := s.limits[a.id]
	a.weight = float64(max(1, l.Weight))
	a.limits = bundle.AccountLimits{
		RequestsPerSecond: l.RequestsPerSecond / float64(s.nodes),
		TokensPerSecond:   l.TokensPerSecond / float64(s.nodes),
	}
	if l.MaxStreams > 0 {
		a.limits.MaxStreams = equalShare(l.MaxStreams, s.nodes, s.rank)
		if a.limits.MaxStreams == 0 {
			a.limits.MaxStreams = -1
		}
	}
}

func (s *accounts) get(id string, now time.Time) *account {
	a := s.byID[id]
	if a == nil {
		a = &account{id: id}
		s.applyLimits(a)
		s.byID[id] = a
	}
	a.usedAt = now
	return a
}

// decay lets tokens count less the longer ago they were served. Otherwise an account that was served many tokens while
// nobody waited would be last in the queue once others wait.
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
	keep := math.Exp(-dt.Seconds() / servedDecayTime.Seconds())
	for _, a := range s.byID {
		a.served *= keep
	}
}

// sweep removes the accounts that have been idle for a minute when there are more than sweepThreshold accounts.
func (s *accounts) sweep(now time.Time) {
	if len(s.byID) <= sweepThreshold {
		return
	}
	for id, a := range s.byID {
		if a.running == 0 && a.queued == 0 && now.Sub(a.usedAt) > time.Minute {
			delete(s.byID, id)
		}
	}
}

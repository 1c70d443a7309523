// Package duty decides which node performs a singleton duty and when, and what usage the holder reports.
//
// Its load pattern: one node at a time calls the platform on behalf of all nodes, while nodes are paused, killed and cut off, and while
// the store, which alone says who that node is, is away or comes back from an earlier copy. The methods take the time and
// do no input or output.
package duty

import (
	"time"

	"ebonyferry/internal/edge/kvstore"
)

// Kind names a duty.
type Kind string

// The duties.
const (
	Usage   Kind = "usage"   // reports how many requests of each client account began to run
	Scaling Kind = "scaling" // orders the numbers of servers
)

// Term is the time during which one node holds a duty.
type Term struct {
	Duty   Kind
	Holder string // name of the node
	Token  uint64 // fencing token: higher than those of all earlier terms
}

// Timing holds the periods of a lease.
type Timing struct {
	TTL time.Duration // time to live of the lease at the store
	// Margin is how long before the end of its lease a holder stops, so that what it has sent arrives before another node can hold
	// the duty.
	Margin time.Duration
	// Handover is how long a new holder waits after it acquired the lease before it acts. While it is not below TTL, nodes never act
	// in the order A, B, A within TTL.
	Handover time.Duration
	Stagger  time.Duration // how much longer each further candidate waits than the one before it
	Retry    time.Duration // after a failed call to the store
}

// NewTiming returns the timing for a time to live.
func NewTiming(ttl time.Duration) Timing {
	return Timing{TTL: ttl, Margin: ttl / 8, Handover: ttl, Stagger: ttl / 3, Retry: ttl / 8}
}

// Renewals are sent after 9/20 of the time to live, so that two fit into it as those of a node's registration do: each call to the
// store has a price.
const (
	renewNumerator   = 9
	renewDenominator = 20
)

// Action is what a node does about the lease of a duty.
type Action int

// The actions.
const (
	Wait    Action = iota
	Acquire        // write the entry, which must not exist
	Renew          // renew the store's lease
	Release        // stop acting and revoke the store's lease
)

// Situation is what a node knows when it decides. Data of the store may be outdated.
type Situation struct {
	Rank     int              // of this node among the candidates, from 0; negative if it is none
	Known    bool             // the node has data of the store
	Held     bool             // the store has an entry for the duty
	Own      bool             // that entry is of this node's present term
	Revision kvstore.Revision // the data is complete up to it
	Era      kvstore.Era      // the latest era of the store that the node knows
	Leaving  bool             // the node drains
}

// Lease decides when a node acquires, renews and uses the lease of one duty. It is not safe for concurrent use.
type Lease struct {
	timing Timing

	token       kvstore.Revision // of the write that acquired the lease; 0 while this node does not hold it
	confirmed   time.Time        // before the last call that the store confirmed
	ttl         time.Duration    // from confirmed
	actsFrom    time.Time
	nextCall    time.Time // the store is not called before
	absentSince time.Time // the store has had no entry since; zero if it has one
}

// NewLease returns the lease of a node that does not hold it.
func NewLease(t Timing) *Lease { return &Lease{timing: t} }

// Next returns what to do now.
func (l *Lease) Next(s Situation, now time.Time) Action {
	if l.token != 0 {
		return l.nextHeld(s, now)
	}
	if s.Leaving || s.Rank < 0 || !s.Known || s.Held {
		l.absentSince = time.Time{}
		return Wait
	}
	if l.absentSince.IsZero() {
		l.absentSince = now
	}
	if now.Before(l.nextCall) || now.Sub(l.absentSince) < time.Duration(s.Rank)*l.timing.Stagger {
		return Wait
	}
	return Acquire
}

// nextHeld is Next for a holder. A store that came back from an earlier copy may have the store's lease without the entry, or the
// entry of an earlier holder, so a renewal there proves nothing about the entry.
func (l *Lease) nextHeld(s Situation, now time.Time) Action {
	replaced := s.Known && s.Revision >= l.token && !s.Own
	switch {
	case s.Leaving || replaced || s.Era != l.token.Era():
		return Release
	case !now.Before(l.nextCall):
		return Renew
	}
	return Wait
}

// Acquired records that the store confirmed the write of the entry at a revision. sent is the time before the store's lease was
// requested.
func (l *Lease) Acquired(token kvstore.Revision, sent, now time.Time) {
	l.token, l.actsFrom = token, now.Add(l.timing.Handover)
	l.confirm(l.timing.TTL, sent)
}

// Renewed records that the store confirmed a renewal that was sent at a time, and the time to live that it named.
func (l *Lease) Renewed(ttl time.Duration, sent time.Time) {
	if l.token != 0 {
		l.confirm(min(ttl, l.timing.TTL), sent)
	}
}

func (l *Lease) confirm(ttl time.Duration, sent time.Time) {
	l.confirmed, l.ttl = sent, ttl
	l.nextCall = sent.Add(l.timing.TTL * renewNumerator / renewDenominator)
}

// Failed records a call to the store without a confirmation.
func (l *Lease) Failed(now time.Time) { l.nextCall = now.Add(l.timing.Retry) }

// Lost records that this node does not hold the lease any more.
func (l *Lease) Lost(now time.Time) {
	l.token, l.actsFrom, l.absentSince = 0, time.Time{}, time.Time{}
	l.Failed(now)
}

// Token returns the fencing token, or 0 if this node does not hold the lease as far as it knows.
func (l *Lease) Token() uint64 { return uint64(l.token) }

// Remaining returns how much longer the holder may act, or a time of zero or below if it may not. The monotonic clock may stand still
// while a VM is suspended, and the wall clock may be set back, so the shorter of both times counts.
func (l *Lease) Remaining(now time.Time) time.Duration {
	if l.token == 0 || now.Before(l.actsFrom) {
		return 0
	}
	elapsed := max(now.Sub(l.confirmed), now.Round(0).Sub(l.confirmed.Round(0)))
	return l.ttl - l.timing.Margin - elapsed
}

// Order is the number of servers that a service is to have in a failure domain.
type Order struct {
	Service string
	Domain  string
	Servers int
}

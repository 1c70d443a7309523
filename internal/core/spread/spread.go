// Package spread decides which head of the configuration a node applies, and whether the node may accept new work
// under it.
//
// A node switches only to heads of higher revision. It accepts new work in two cases. In the first, the store has
// confirmed the node's head within MaxConfirmationAge, directly or through other nodes. In the second, the node is in
// contact with more than half of the fleet and none of these nodes reaches the store: the store is then down for all,
// and no operator can change the head. A node that is cut off from both cannot know what operators took out of
// service, so it accepts no new work.
//
// State tracks the heads and confirmations that a node receives. Evaluate turns a Confirmation into a Freshness.
package spread

import (
	"time"

	"ebonyferry/internal/core/bundle"
)

// MaxConfirmationAge is how long a node accepts new work after the store last confirmed its head.
const MaxConfirmationAge = 8 * time.Second

// Status is whether a node's head is known to be current.
type Status string

// The statuses of a node.
const (
	None         Status = "none"         // the node has no head yet
	Fresh        Status = "fresh"        // the store confirmed the head within MaxConfirmationAge
	SharedOutage Status = "sharedOutage" // most of the fleet is in contact and no node reaches the store
	CutOff       Status = "cutOff"       // none of these: the head may be outdated
)

// Freshness is the status of a node's head at one time.
type Freshness struct {
	Status Status
	Age    time.Duration // since the store last confirmed the head; zero when it never did
}

// AcceptsWork reports whether a node of this freshness accepts new work.
func (f Freshness) AcceptsWork() bool { return f.Status == Fresh || f.Status == SharedOutage }

// Confirmation is when a node's head was last confirmed. It is a value that readers copy.
type Confirmation struct {
	ConfirmedAt       time.Time // when the store last confirmed the head
	SharedOutageUntil time.Time // until when the node may rely on a shared outage
}

// Evaluate returns the freshness of a node with confirmation c.
func Evaluate(hasHead bool, c Confirmation, now time.Time) Freshness {
	f := Freshness{Status: CutOff}
	if !c.ConfirmedAt.IsZero() {
		f.Age = now.Sub(c.ConfirmedAt)
	}
	switch {
	case !hasHead:
		f.Status = None
	case !c.ConfirmedAt.IsZero() && f.Age <= MaxConfirmationAge:
		f.Status = Fresh
	case now.Before(c.SharedOutageUntil):
		f.Status = SharedOutage
	}
	return f
}

// IsMajority reports whether reached nodes are enough of a fleet of listed nodes to continue without the store.
func IsMajority(reached, listed int) bool { return 2*reached > listed }

// State tracks the heads that a node receives. It has no clock and is not safe for concurrent use.
type State struct {
	applied           bundle.Head
	latest            bundle.Head  // the highest head received; never lower than applied
	latestConfirmedAt time.Time    // when the store last confirmed latest
	confirmation      Confirmation // of applied
}

// Applied returns the head that the node applies.
func (s *State) Applied() bundle.Head { return s.applied }

// Latest returns the highest head received, and whether it is higher than the applied one.
func (s *State) Latest() (bundle.Head, bool) {
	return s.latest, s.latest.Supersedes(s.applied)
}

// Confirmation returns when the applied head was last confirmed.
func (s *State) Confirmation() Confirmation { return s.confirmation }

// RecordHead records a received head and reports whether it is the highest so far.
func (s *State) RecordHead(h bundle.Head) bool {
	if !h.Supersedes(s.latest) {
		return false
	}
	s.latest = h
	s.latestConfirmedAt = time.Time{}
	return true
}

// Apply switches to a head whose documents have been loaded. It reports false, and changes nothing, unless the head is
// higher than the applied one.
func (s *State) Apply(h bundle.Head) bool {
	if !h.Supersedes(s.applied) {
		return false
	}
	s.applied = h
	s.RecordHead(h)
	s.Confirm(s.latest.Revision, s.latestConfirmedAt)
	return true
}

// Confirm records that revision was the store's head at a time. The confirmation counts only once the node applies
// that head, so that a node that cannot load a head's documents stops accepting work.
func (s *State) Confirm(revision bundle.Revision, at time.Time) {
	if revision == s.latest.Revision && at.After(s.latestConfirmedAt) {
		s.latestConfirmedAt = at
	}
	if revision == s.applied.Revision && revision != 0 && at.After(s.confirmation.ConfirmedAt) {
		s.confirmation.ConfirmedAt = at
	}
}

// ExtendSharedOutage records that most of the fleet, whose highest head is revision, continues without the store until
// a time. It has no effect on a node whose applied head is lower.
func (s *State) ExtendSharedOutage(revision bundle.Revision, until time.Time) {
	if revision <= s.applied.Revision && until.After(s.confirmation.SharedOutageUntil) {
		s.confirmation.SharedOutageUntil = until
	}
}

// Package spread decides which head of the configuration a node applies, and whether the node may take work
// under it.
//
// A node goes only to higher revisions. It takes new work while the store, through whichever nodes, has
// confirmed its head within MaxConfirmationAge; or while the nodes that it is in touch with are more than half of the
// fleet and none of them reaches the store, since then the store is down for all and nobody can change the
// head. A node that is cut off from both cannot know what operators took out, and takes no new work.
package spread

import (
	"time"

	"ebonyferry/internal/core/bundle"
)

// MaxConfirmationAge is how long a node takes new work after the store last confirmed its head.
const MaxConfirmationAge = 8 * time.Second

// Status says what a node knows of its head.
type Status string

// The standings of a node.
const (
	None         Status = "none"         // it holds no head yet
	Fresh        Status = "fresh"        // the store confirmed the head within MaxConfirmationAge
	SharedOutage Status = "sharedOutage" // most of the fleet is in touch and none of it reaches the store
	CutOff       Status = "cutOff"       // it reaches neither the store nor most of the fleet
)

// Freshness is a node's standing at one time.
type Freshness struct {
	Status Status
	Age    time.Duration // since the store confirmed the head; zero when it never did
}

// AcceptsWork reports whether a node of this freshness takes new work.
func (f Freshness) AcceptsWork() bool { return f.Status == Fresh || f.Status == SharedOutage }

// Confirmation is when a node's head was last vouched for. It is a value that readers copy.
type Confirmation struct {
	ConfirmedAt       time.Time // the store vouched for the head
	SharedOutageUntil time.Time // most of the fleet was in touch without the store
}

// Evaluate returns the freshness of a node that holds a head or not.
func Evaluate(held bool, c Confirmation, now time.Time) Freshness {
	f := Freshness{Status: CutOff}
	if !c.ConfirmedAt.IsZero() {
		f.Age = now.Sub(c.ConfirmedAt)
	}
	switch {
	case !held:
		f.Status = None
	case !c.ConfirmedAt.IsZero() && f.Age <= MaxConfirmationAge:
		f.Status = Fresh
	case now.Before(c.SharedOutageUntil):
		f.Status = SharedOutage
	}
	return f
}

// IsMajority reports whether nodes in touch with each other are enough of a fleet to go on without the store.
func IsMajority(reached, listed int) bool { return 2*reached > listed }

// State follows the heads that a node hears of. It has no clock and is not safe for concurrent use.
type State struct {
	held     bundle.Head
	wanted   bundle.Head  // the highest head heard of; held or higher
	wantedAt time.Time    // when the store vouched for wanted
	contact  Confirmation // of held
}

// Applied returns the head that the node applies.
func (s *State) Applied() bundle.Head { return s.held }

// Latest returns the highest head heard of, and whether it is higher than the one held.
func (s *State) Latest() (bundle.Head, bool) {
	return s.wanted, s.wanted.Supersedes(s.held)
}

// Confirmation returns when the held head was last vouched for.
func (s *State) Confirmation() Confirmation { return s.contact }

// Observe takes a head heard of and reports whether it is the highest so far.
func (s *State) Observe(h bundle.Head) bool {
	if !h.Supersedes(s.wanted) {
		return false
	}
	s.wanted = h
	s.wantedAt = time.Time{}
	return true
}

// Apply goes over to a head whose documents are at hand, and reports whether it did: never to a lower one.
func (s *State) Apply(h bundle.Head) bool {
	if !h.Supersedes(s.held) {
		return false
	}
	s.held = h
	s.Observe(h)
	s.Confirm(s.wanted.Revision, s.wantedAt)
	return true
}

// Confirm notes that revision was the store's head at a time. It counts only once the node holds that head,
// so that a node which cannot load a head's documents stops taking work too.
func (s *State) Confirm(revision bundle.Revision, at time.Time) {
	if revision == s.wanted.Revision && at.After(s.wantedAt) {
		s.wantedAt = at
	}
	if revision == s.held.Revision && revision != 0 && at.After(s.contact.ConfirmedAt) {
		s.contact.ConfirmedAt = at
	}
}

// ExtendSharedOutage notes that until a time most of the fleet, whose highest head is revision, goes on without the store.
func (s *State) ExtendSharedOutage(revision bundle.Revision, until time.Time) {
	if revision <= s.held.Revision && until.After(s.contact.SharedOutageUntil) {
		s.contact.SharedOutageUntil = until
	}
}

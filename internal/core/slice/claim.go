package slice

import (
	"slices"
	"time"
)

// This file defines how a node takes the next term of a server.

// Listing says what the store's list of members shows of the process that a record names as owner. It must be
// read after the record.
type Registration int

// What the list of members shows.
const (
	Registered   Registration = iota // the name is registered, as far as is known by this process
	Unregistered                     // no lease of the name is held
	Replaced                         // the name is registered by another process
)

// Step is what a node that is to own a server does next.
type Step int

// The steps towards a term.
const (
	StepRequestRelease Step = iota // ask the present owner to release its term
	StepTake                       // write the record that Successor returns, by compare-and-swap
	StepOwn                        // the record names this process already
)

// Next returns the step that follows from the record as read, or nil for none, from the owner's listing, and
// from the table that the owner has released, or nil.
func NextStep(rec *Record, self Process, listing Registration, released *Handover) Step {
	switch {
	case rec == nil:
		return StepTake
	case rec.Owner == self:
		return StepOwn
	case listing != Registered || released != nil:
		return StepTake
	}
	return StepRequestRelease
}

// Successor returns the record of the term after rec, which self takes.
func SuccessorRecord(rec *Record, self Process, released *Handover, nonce string) Record {
	next := Record{Term: 1, Owner: self, Nonce: nonce}
	if rec != nil {
		next.Term = rec.Term + 1
		next.Holders = slices.Clone(rec.Holders)
	}
	if released != nil {
		next.Holders = slices.Clone(released.Pending)
		for _, h := range released.Holders {
			next.Holders = append(next.Holders, h.Process)
		}
	}
	if !slices.Contains(next.Holders, self) {
		next.Holders = append(next.Holders, self)
	}
	return next
}

// Begin returns the owner in the term that self has taken by writing Successor(rec, ...). The time now was
// read before the write.
func StartTerm(cfg Config, rec *Record, taken Record, released *Handover, now time.Time) *Owner {
	var earlier []Process
	if rec != nil && released == nil {
		earlier = rec.Holders
	}
	o := NewOwner(cfg, taken.Term, earlier, now)
	if released != nil {
		o.Inherit(*released, now)
	}
	return o
}

// This file defines how a node takes the next term of a server.

package slice

import (
	"slices"
	"time"
)

// Registration describes, by the store's list of members, whether the process that a record names as owner is
// registered. The list must be read after the record.
type Registration int

// The states of a registration.
const (
	Registered   Registration = iota // the name is registered; nothing shows that another process holds it
	Unregistered                     // the store has no valid lease for the name
	Replaced                         // another process is registered under the name
)

// Step is the next action of a node that should own a server.
type Step int

// The steps of taking a term.
const (
	StepRequestRelease Step = iota // ask the current owner to release its term
	StepTake                       // write the record from SuccessorRecord by compare-and-swap
	StepOwn                        // the record already names this process
)

// NextStep returns the next step of self. The record rec is nil if there is none, and handover is nil if the owner has
// not released its term.
func NextStep(rec *Record, self Process, registration Registration, handover *Handover) Step {
	switch {
	case rec == nil:
		return StepTake
	case rec.Owner == self:
		return StepOwn
	case registration != Registered || handover != nil:
		return StepTake
	}
	return StepRequestRelease
}

// SuccessorRecord returns the record with which self takes the term after rec. Both rec and handover may be nil.
func SuccessorRecord(rec *Record, self Process, handover *Handover, nonce string) Record {
	next := Record{Term: 1, Owner: self, Nonce: nonce}
	if rec != nil {
		next.Term = rec.Term + 1
		next.Holders = slices.Clone(rec.Holders)
	}
	if handover != nil {
		next.Holders = slices.Clone(handover.Pending)
		for _, h := range handover.Holders {
			next.Holders = append(next.Holders, h.Process)
		}
	}
	if !slices.Contains(next.Holders, self) {
		next.Holders = append(next.Holders, self)
	}
	return next
}

// StartTerm returns the owner for the term that was taken by writing the record taken, the SuccessorRecord of rec. The
// time now must be read before the write.
func StartTerm(cfg Config, rec *Record, taken Record, handover *Handover, now time.Time) *Owner {
	var earlier []Process
	if rec != nil && handover == nil {
		earlier = rec.Holders
	}
	o := NewOwner(cfg, taken.Term, earlier, now)
	if handover != nil {
		o.Inherit(*handover, now)
	}
	return o
}

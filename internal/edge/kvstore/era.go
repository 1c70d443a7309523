// This file defines the eras of a store and how revisions carry them.

package kvstore

import (
	"errors"
	"fmt"
	"sync/atomic"
)

// Era counts how often the store came back from an earlier copy of its data. The store then loses what it had confirmed since
// the copy, and gives out the same revision numbers again.
type Era uint32

const (
	numberBits = 44 // of a revision; the era is above them
	// maxEra is the largest era that a revision can carry.
	maxEra = Era(1<<(63-numberBits) - 1)
)

// RevisionAt returns the revision with a store's number in an era. Numbers are below 2^44: at 500 changes a second a store reaches
// that after a thousand years.
func RevisionAt(era Era, number uint64) Revision {
	return Revision(uint64(era)<<numberBits | number&(1<<numberBits-1))
}

// Era returns the era of a revision.
func (r Revision) Era() Era { return Era(uint64(r) >> numberBits) }

// Number returns the revision number, which orders changes within the era.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// EraTracker tracks the era of the store for a client. It is safe for concurrent use.
type EraTracker struct {
	latest atomic.Uint32
}

// Latest returns the highest era seen.
func (t *EraTracker) Latest() Era { return Era(t.latest.Load()) }

// errEarlierEra means that an answer comes from an earlier era than another answer before it.
var errEarlierEra = errors.New("answer is from before the store was restored")

// Observe records the era of an answer. It returns an error if the answer is from an earlier era than one seen before: what it
// says no longer holds.
func (t *EraTracker) Observe(era Era) error {
	if era > maxEra {
		return fmt.Errorf("era %d is above %d", era, maxEra)
	}
	for {
		latest := t.latest.Load()
		switch {
		case uint32(era) == latest:
			return nil
		case uint32(era) < latest:
			return fmt.Errorf("%w: era %d, latest %d", errEarlierEra, era, latest)
		case t.latest.CompareAndSwap(latest, uint32(era)):
			return nil
		}
	}
}

// CheckWatch returns ErrCompacted if the changes after a revision cannot be read any more because the store was restored.
func (t *EraTracker) CheckWatch(after Revision) error {
	if after.Era() < t.Latest() {
		return fmt.Errorf("%w: revision %d of era %d, the store is in era %d", ErrCompacted, after.Number(), after.Era(), t.Latest())
	}
	return nil
}

// CheckSwap returns ErrConflict if an expected revision is of an earlier era. In the present one its number may be that of
// another value.
func (t *EraTracker) CheckSwap(expected Revision) error {
	if expected != 0 && expected.Era() < t.Latest() {
		return fmt.Errorf("%w: revision %d of era %d, the store is in era %d", ErrConflict, expected.Number(), expected.Era(), t.Latest())
	}
	return nil
}

// CheckSwapped returns ErrOutcomeUnknown if a swap that expected a revision took effect in another era: it may have replaced
// another value that has the same number.
func CheckSwapped(expected Revision, era Era) error {
	if expected != 0 && expected.Era() != era {
		return fmt.Errorf("%w: the store was restored", ErrOutcomeUnknown)
	}
	return nil
}

// Package kvstore speaks to the platform's key-value service and its list of VMs.
//
// The store offers compare-and-swap, leases and watches. It has outages and loses answers after taking
// effect; a writer therefore puts a nonce of its own into each value and settles ErrOutcomeUnknown by reading.
// Each call counts against the store's rates, a waiting watch as one call.
package kvstore

import (
	"errors"
	"net/netip"
	"time"
)

// This file defines the messages exchanged with the platform.

// Errors of platform calls, tested with errors.Is.
var (
	ErrNotFound       = errors.New("key does not exist")
	ErrConflict       = errors.New("key has another revision than expected")
	ErrUnavailable    = errors.New("store is unavailable and the call did not take effect")
	ErrOutcomeUnknown = errors.New("store did not answer and the call may have taken effect")
	ErrRateLimited    = errors.New("store refused the call for its rate")
	ErrLeaseExpired   = errors.New("lease has lapsed")
	ErrTooLarge       = errors.New("value is larger than the store holds")
	ErrCompacted      = errors.New("store no longer keeps the changes since that revision")
	ErrInvalid        = errors.New("store does not accept the call")
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Revision orders all changes of the store. Zero means "key does not exist" where one is expected.
type Revision uint64

// LeaseID names a lease. Zero means none.
type LeaseID uint64

// Entry is one key with its value.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`        // of the last change of this key
	Lease    LeaseID  `json:"lease,omitempty"` // the key goes when this lease lapses
}

// Change is what a watch reports. A deleted key has Deleted set and no value.
type Change struct {
	Entry
	Deleted bool `json:"deleted,omitempty"`
}

// VMState is what the platform's list says of a VM.
type VMState string

// The states of a VM on the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the platform's list, which lags behind the truth.
type VM struct {
	Name          string     `json:"name"`
	Addr          netip.Addr `json:"addr"`
	FailureDomain string     `json:"failureDomain"`
	State         VMState    `json:"state"`
	LeavesAt      time.Time  `json:"leavesAt,omitzero"` // for VMLeaving
}

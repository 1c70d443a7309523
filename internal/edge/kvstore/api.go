// Package kvstore provides a client for the platform's key-value store and its list of VMs.
//
// The store offers compare-and-swap, leases and watches. It has outages, and the answer to a call that took effect can
// be lost. Therefore each writer puts its own nonce into the values, and after ErrOutcomeUnknown reads the key to find
// out whether its write took effect. The store limits the rate of calls; a watch counts as one call however long it
// waits.
package kvstore

import (
	"errors"
	"net/netip"
	"time"
)

// Errors of calls, to be tested with errors.Is.
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

// MaxValueBytes is the maximum size of a value in the store.
const MaxValueBytes = 1 << 20

// Revision orders all changes of the store: by era, and within an era by the store's own number. Zero as the expected revision of
// a key means that the key must not exist. Entries that a restored store still has get the revision of their number in the new era.
type Revision uint64

// LeaseID identifies a lease. Zero means no lease.
type LeaseID uint64

// Entry is one key with its value.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`        // of the last change of this key
	Lease    LeaseID  `json:"lease,omitempty"` // the key is removed when this lease expires
}

// Change is one change that a watch reports. A deleted key has no value.
type Change struct {
	Entry
	Deleted bool `json:"deleted,omitempty"`
}

// VMState is the state of a VM on the platform's list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the platform's list, which may be out of date.
type VM struct {
	Name          string     `json:"name"`
	Addr          netip.Addr `json:"addr"`
	FailureDomain string     `json:"failureDomain"`
	State         VMState    `json:"state"`
	LeavesAt      time.Time  `json:"leavesAt,omitzero"` // for VMLeaving
}

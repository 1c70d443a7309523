// Package ledger decides which calls that may not be repeated run, so that each runs at most once.
//
// A call is named by an ID made of its client account, service and idempotency key. The IDs are spread over a
// fixed number of partitions. A partition's records stand in the store: a Head that is changed only by
// compare-and-swap, and sealed Segments that the head names and that are never changed. A record goes
//
//	(absent) -> intent -> done
//	             |  ^
//	             v  |
//	            notRun
//
// The process whose write of the intent succeeded, and no other, sends the call, and sends it once. Since the
// head has one history of revisions, an intent has one writer, whichever nodes hold themselves to be the
// owner. A record that stays an intent means that the outcome is unknown; it is never run again.
package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// This file defines what stands in the store.

// Partitions is the number of partitions. It is part of the layout of the store and never changes.
const Partitions = 16

// ErrCorrupt is wrapped by errors about bytes that are no part of a ledger.
var ErrCorrupt = errors.New("ledger value is corrupt")

// ID names a call: 32 hexadecimal digits.
type ID string

const (
	idBytes  = 16
	idDigits = 2 * idBytes
)

// NewID returns the ID of the call with an idempotency key by a client account to a service.
func NewID(account, service, key string) ID { return ID(digest(account, service, key)) }

// Partition returns the partition that holds the ID's record.
func (id ID) Partition() int {
	n, err := strconv.ParseUint(string(id[:2]), 16, 8)
	if err != nil {
		return 0 // NewID and Decode rule it out
	}
	return int(n) % Partitions
}

// Returns a digest of the parts in which their lengths count.
func digest(parts ...string) string {
	h := sha256.New()
	for _, part := range parts {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(h.Sum(nil)[:idBytes])
}

// RequestDigest returns a digest by which a repeated call is told from another call under the same key.
func RequestDigest(method, path, contentType string, body []byte) string {
	return digest(method, path, contentType, string(body))
}

// State is how far a call has come.
type State string

// The states of a record.
const (
	StateIntent State = "intent" // it may have run
	StateDone   State = "done"   // it ran, and its answer is kept
	StateNotRun State = "notRun" // it surely did not run, and may begin again
)

// Record is what is known of one call.
type Record struct {
	ID            ID        `json:"id"`
	RequestDigest string    `json:"request"` // digest of the request
	State         State     `json:"state"`
	RunID         string    `json:"run"` // nonce of the one process and attempt that may send the call
	IntentAt      time.Time `json:"at"`  // when the intent was made, by the clock of its writer
	Answer        *Answer   `json:"answer,omitempty"`
}

// Answer is the kept answer of a call that ran.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	BodyKey     string `json:"bodyKey,omitempty"` // where the store holds a body too large for the record
}

// SegmentRef names a sealed segment.
type SegmentRef struct {
	Key    string    `json:"key"`
	Newest time.Time `json:"newest"` // latest IntentAt of its records
	Bytes  int       `json:"bytes"`
}

// Head is the part of a partition that changes. It holds at most one record of an ID.
type Head struct {
	Node    string       `json:"node"`  // last writer
	Epoch   uint64       `json:"epoch"` // of the last writer
	Nonce   string       `json:"nonce"` // recognises one's own write
	Sealed  []SegmentRef `json:"sealed,omitempty"`
	Records []Record     `json:"records,omitempty"`
}

// Segment is a list of records that is never changed. A record of a later segment replaces that of an
// earlier one, and a record of the head replaces both.
type Segment struct {
	Records []Record `json:"records"`
}

// HeadKey returns the store key of a partition's head.
func HeadKey(partition int) string { return fmt.Sprintf("ledger/%02d/head", partition) }

// SegmentKey returns the store key of a sealed segment.
func SegmentKey(partition int, nonce string) string {
	return fmt.Sprintf("ledger/%02d/segments/%s", partition, nonce)
}

// BodyKey returns the store key of an answer's body.
func BodyKey(partition int, run string) string {
	return fmt.Sprintf("ledger/%02d/bodies/%s", partition, run)
}

// Encode returns the stored form of v, which is a Head or a Segment.
func Encode[T Head | Segment](v T) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("ledger: encoding %T: %v", v, err)) // times outside the years 0 to 9999 alone
	}
	return data
}

// DecodeHead reads a stored head. Errors wrap ErrCorrupt.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	for i, s := range h.Sealed {
		if s.Key == "" || s.Bytes < 0 {
			return Head{}, fmt.Errorf("%w: sealed segment %d has no key or a negative size", ErrCorrupt, i)
		}
	}
	return h, check(h.Records)
}

// DecodeSegment reads a sealed segment. Errors wrap ErrCorrupt.
func DecodeSegment(data []byte) (Segment, error) {
	var s Segment
	if err := json.Unmarshal(data, &s); err != nil {
		return Segment{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return s, check(s.Records)
}

func check(records []Record) error {
	seen := make(map[ID]bool, len(records))
	for i, r := range records {
		if err := r.check(); err != nil {
			return fmt.Errorf("%w: record %d: %w", ErrCorrupt, i, err)
		}
		if seen[r.ID] {
			return fmt.Errorf("%w: record %d: id %s stands twice", ErrCorrupt, i, r.ID)
		}
		seen[r.ID] = true
	}
	return nil
}

func (r *Record) check() error {
	if b, err := hex.DecodeString(string(r.ID)); err != nil || len(b) != idBytes {
		return fmt.Errorf("id %q is not %d hexadecimal digits", r.ID, idDigits)
	}
	switch r.State {
	case StateIntent, StateNotRun:
		if r.Answer != nil {
			return fmt.Errorf("state %s has an answer", r.State)
		}
	case StateDone:
		if r.Answer == nil {
			return errors.New("state done has no answer")
		}
	default:
		return fmt.Errorf("state %q is unknown", r.State)
	}
	return nil
}

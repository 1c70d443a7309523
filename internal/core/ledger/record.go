// Package ledger decides when a service call that may not be repeated may be sent, so that it runs at most once.
//
// An ID made of client account, service and idempotency key identifies a call. The IDs are distributed over a
// fixed number of partitions. The store holds the records of a partition in a Head, which changes only by
// compare-and-swap, and in sealed Segments, which the head refers to and which never change. The states of a
// record are
//
//	(absent) -> intent -> done
//	             |  ^
//	             v  |
//	            notRun
//
// Only the process whose write of the intent succeeded sends the call, and it sends the call once. Since the head
// has a single history of revisions, an intent has one writer, no matter which nodes consider themselves the
// owner. A record that stays in the state intent means that the outcome is unknown; the call never runs again.
//
// A Partition holds the records of one partition in memory. Prepare returns the head that adds records; the
// caller writes it to the store and then calls Commit. NextMaintenance, PrepareMaintenance and CommitMaintenance
// do the same for segments.
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

// Partitions is the number of partitions. It is part of the layout of the store and never changes.
const Partitions = 16

// ErrCorrupt is wrapped by the errors of DecodeHead and DecodeSegment.
var ErrCorrupt = errors.New("ledger value is corrupt")

// ID identifies a call. It consists of 32 hexadecimal digits.
type ID string

const (
	idBytes  = 16
	idDigits = 2 * idBytes
)

// NewID returns the ID of the call that a client account makes to a service with an idempotency key.
func NewID(account, service, key string) ID { return ID(digest(account, service, key)) }

// Partition returns the partition that holds the ID's record.
func (id ID) Partition() int {
	n, err := strconv.ParseUint(string(id[:2]), 16, 8)
	if err != nil {
		return 0 // unreachable for IDs from NewID, DecodeHead or DecodeSegment
	}
	return int(n) % Partitions
}

// digest returns a digest of the parts. It includes their lengths, so that text cannot move between parts
// without changing the digest.
func digest(parts ...string) string {
	h := sha256.New()
	for _, part := range parts {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(h.Sum(nil)[:idBytes])
}

// RequestDigest returns a digest that distinguishes a repeated call from another call with the same key.
func RequestDigest(method, path, contentType string, body []byte) string {
	return digest(method, path, contentType, string(body))
}

// State is the state of a call's record.
type State string

// The states of a record.
const (
	StateIntent State = "intent" // the call may have run
	StateDone   State = "done"   // the call ran, and its answer is stored
	StateNotRun State = "notRun" // the call certainly did not run, and may be started again
)

// Record is the stored state of one call.
type Record struct {
	ID            ID        `json:"id"`
	RequestDigest string    `json:"request"` // digest of the request
	State         State     `json:"state"`
	RunID         string    `json:"run"` // nonce of the only attempt that may send the call
	IntentAt      time.Time `json:"at"`  // when the intent was created, by its writer's clock
	Answer        *Answer   `json:"answer,omitempty"`
}

// Answer is the stored answer of a call that ran.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	BodyKey     string `json:"bodyKey,omitempty"` // store key of a body that is too large for the record
}

// SegmentRef refers to a sealed segment.
type SegmentRef struct {
	Key    string    `json:"key"`
	Newest time.Time `json:"newest"` // latest IntentAt of its records
	Bytes  int       `json:"bytes"`
}

// Head is the part of a partition that changes. It holds at most one record per ID.
type Head struct {
	Node  string `json:"node"`  // last writer
	Epoch uint64 `json:"epoch"` // epoch of the last writer
	Nonce string `json:"nonce"` // identifies the write, so that its writer can recognize it
	// Era is the latest era of the store in which nodes wrote again the records that the store had lost. In a later era records
	// may be missing.
	Era     uint32       `json:"era,omitempty"`
	Sealed  []SegmentRef `json:"sealed,omitempty"`
	Records []Record     `json:"records,omitempty"`
}

// Segment is an immutable list of records. A record in a later segment replaces the call's record in an earlier
// one, and a record in the head replaces both.
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
func BodyKey(partition int, runID string) string {
	return fmt.Sprintf("ledger/%02d/bodies/%s", partition, runID)
}

// Encode returns the stored form of v, which is a Head or a Segment.
func Encode[T Head | Segment](v T) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("ledger: encoding %T: %v", v, err)) // fails only for times outside the years 0 to 9999
	}
	return data
}

// DecodeHead decodes a stored head. Errors wrap ErrCorrupt.
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
	return h, checkRecords(h.Records)
}

// DecodeSegment decodes a sealed segment. Errors wrap ErrCorrupt.
func DecodeSegment(data []byte) (Segment, error) {
	var s Segment
	if err := json.Unmarshal(data, &s); err != nil {
		return Segment{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return s, checkRecords(s.Records)
}

func checkRecords(records []Record) error {
	seen := make(map[ID]bool, len(records))
	for i, r := range records {
		if err := r.check(); err != nil {
			return fmt.Errorf("%w: record %d: %w", ErrCorrupt, i, err)
		}
		if seen[r.ID] {
			return fmt.Errorf("%w: record %d: id %s occurs twice", ErrCorrupt, i, r.ID)
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

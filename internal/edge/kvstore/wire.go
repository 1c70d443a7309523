package kvstore

import (
	"encoding/json"
	"fmt"
	"time"
)

// This file defines the wire format of the platform's service: JSON over HTTP. The client and the stand-in
// share it; a deployment whose platform speaks otherwise changes this package alone.

// Kind names a kind of call, for rates and counters.
type Kind string

// The kinds of call.
const (
	KindGet         Kind = "get"
	KindList        Kind = "list"
	KindWatch       Kind = "watch"
	KindVMs         Kind = "vms"
	KindCAS         Kind = "compareAndSwap"
	KindDelete      Kind = "delete"
	KindGrantLease  Kind = "grantLease"
	KindKeepAlive   Kind = "keepAlive"
	KindRevokeLease Kind = "revokeLease"
)

// Kinds lists all kinds of call.
var Kinds = []Kind{
	KindGet, KindList, KindWatch, KindVMs,
	KindCAS, KindDelete, KindGrantLease, KindKeepAlive, KindRevokeLease,
}

// Writes reports whether a call of this kind changes the store and counts against its rate of writes.
func (k Kind) Writes() bool {
	switch k {
	case KindGet, KindList, KindWatch, KindVMs:
		return false
	}
	return true
}

// Path returns the HTTP path of calls of this kind. Every call is a POST with a JSON body.
func (k Kind) Path() string { return "/v1/" + string(k) }

// Request is the body of every call; each kind reads the fields that it needs.
type Request struct {
	Key      string   `json:"key,omitempty"`
	Prefix   string   `json:"prefix,omitempty"`
	Expected Revision `json:"expected,omitempty"`
	Value    []byte   `json:"value,omitempty"`
	Lease    LeaseID  `json:"lease,omitempty"`
	After    Revision `json:"after,omitempty"`
	WaitMs   int64    `json:"waitMs,omitempty"` // how long a watch may wait for a change
	TTLMs    int64    `json:"ttlMs,omitempty"`
}

// Response is the body of every successful answer.
type Response struct {
	Entry    *Entry   `json:"entry,omitempty"`
	Entries  []Entry  `json:"entries,omitempty"`
	Changes  []Change `json:"changes,omitempty"`
	Revision Revision `json:"revision,omitempty"`
	Lease    LeaseID  `json:"lease,omitempty"`
	TTLMs    int64    `json:"ttlMs,omitempty"`
	VMs      []VM     `json:"vms,omitempty"`
}

// Failure is the body of an answer with a status other than 200.
type Failure struct {
	Code    string `json:"code"`
	Message string `json:"message,omitempty"`
}

// Codes of failures on the wire. An answer with any other code leaves the outcome of a write unknown.
var codes = map[string]error{
	"notFound":    ErrNotFound,
	"conflict":    ErrConflict,
	"unavailable": ErrUnavailable,
	"rateLimited": ErrRateLimited,
	"leaseLapsed": ErrLeaseExpired,
	"tooLarge":    ErrTooLarge,
	"compacted":   ErrCompacted,
	"invalid":     ErrInvalid,
}

// CodeOf returns the code that stands for err on the wire. It is "unknown" for an error that is none of
// this package's sentinels.
func CodeOf(err error) string {
	for code, sentinel := range codes {
		if err == sentinel {
			return code
		}
	}
	return "unknown"
}

// Decodes the body of a failed answer into an error.
func decodeFailure(kind Kind, status int, body []byte) error {
	var f Failure
	if err := json.Unmarshal(body, &f); err != nil {
		return unsettled(kind, fmt.Errorf("status %d: %w", status, err))
	}
	sentinel, ok := codes[f.Code]
	if !ok {
		return unsettled(kind, fmt.Errorf("status %d, code %q", status, f.Code))
	}
	return fmt.Errorf("%s: %w: %s", kind, sentinel, f.Message)
}

// Decodes the body of a successful answer. A body that is not understood leaves a write's outcome unknown.
func decodeResponse(kind Kind, body []byte) (Response, error) {
	var resp Response
	if err := json.Unmarshal(body, &resp); err != nil {
		return Response{}, unsettled(kind, err)
	}
	if err := resp.check(kind); err != nil {
		return Response{}, unsettled(kind, err)
	}
	return resp, nil
}

// Checks that an answer holds what calls of this kind promise.
func (r *Response) check(kind Kind) error {
	switch kind {
	case KindGet:
		if r.Entry == nil || r.Entry.Revision == 0 {
			return fmt.Errorf("answer holds no entry")
		}
	case KindCAS:
		if r.Revision == 0 {
			return fmt.Errorf("answer holds no revision")
		}
	case KindGrantLease:
		if r.Lease == 0 {
			return fmt.Errorf("answer holds no lease")
		}
	case KindKeepAlive:
		if r.TTLMs <= 0 || r.TTLMs > maxTTL.Milliseconds() {
			return fmt.Errorf("answer holds time to live %d ms", r.TTLMs)
		}
	}
	return nil
}

const maxTTL = 24 * time.Hour

// Returns the error of a call whose answer did not come or was not understood: a read can simply be asked
// again, a write may have taken effect.
func unsettled(kind Kind, err error) error {
	if kind.Writes() {
		return fmt.Errorf("%s: %w: %w", kind, ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%s: %w: %w", kind, ErrUnavailable, err)
}

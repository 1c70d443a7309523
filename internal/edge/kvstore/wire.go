// This file defines the wire format of the platform's service, which is JSON over HTTP. The client and the fake platform
// share it. A deployment whose platform uses another protocol changes only this package.

package kvstore

import (
	"encoding/json"
	"fmt"
	"time"
)

// Kind is a kind of call, for rate limits and counters.
type Kind string

// The kinds of calls.
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

// Kinds lists all kinds of calls.
var Kinds = []Kind{
	KindGet, KindList, KindWatch, KindVMs,
	KindCAS, KindDelete, KindGrantLease, KindKeepAlive, KindRevokeLease,
}

// Writes reports whether calls of this kind change the store and count against its limit on the rate of writes.
func (k Kind) Writes() bool {
	switch k {
	case KindGet, KindList, KindWatch, KindVMs:
		return false
	}
	return true
}

// Path returns the HTTP path of calls of this kind. Every call is a POST with a JSON body.
func (k Kind) Path() string { return "/v1/" + string(k) }

// Request is the body of all calls. Each kind uses the fields that it needs.
type Request struct {
	Key      string   `json:"key,omitempty"`
	Prefix   string   `json:"prefix,omitempty"`
	Expected Revision `json:"expected,omitempty"`
	Value    []byte   `json:"value,omitempty"`
	Lease    LeaseID  `json:"lease,omitempty"`
	After    Revision `json:"after,omitempty"`
	WaitMs   int64    `json:"waitMs,omitempty"` // how long a watch waits for a change
	TTLMs    int64    `json:"ttlMs,omitempty"`
}

// Response is the body of successful answers.
type Response struct {
	Entry    *Entry   `json:"entry,omitempty"`
	Entries  []Entry  `json:"entries,omitempty"`
	Changes  []Change `json:"changes,omitempty"`
	Revision Revision `json:"revision,omitempty"`
	Lease    LeaseID  `json:"lease,omitempty"`
	TTLMs    int64    `json:"ttlMs,omitempty"`
	VMs      []VM     `json:"vms,omitempty"`
	Era      Era      `json:"era,omitempty"`
}

// inEra sets the era of all revisions of an answer, which has the store's numbers.
func (r *Response) inEra() {
	stamp := func(rev *Revision) {
		if *rev != 0 {
			*rev = RevisionAt(r.Era, uint64(*rev))
		}
	}
	stamp(&r.Revision)
	if r.Entry != nil {
		stamp(&r.Entry.Revision)
	}
	for i := range r.Entries {
		stamp(&r.Entries[i].Revision)
	}
	for i := range r.Changes {
		stamp(&r.Changes[i].Revision)
	}
}

// Failure is the body of answers with a status other than 200.
type Failure struct {
	Code    string `json:"code"`
	Message string `json:"message,omitempty"`
	Era     Era    `json:"era,omitempty"`
}

// codes maps the codes of failures on the wire. After a failure with another code the outcome of a write is unknown.
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

// CodeOf returns the code of err on the wire. It is "unknown" unless err is one of this package's sentinel errors.
func CodeOf(err error) string {
	for code, sentinel := range codes {
		if err == sentinel {
			return code
		}
	}
	return "unknown"
}

// decodeFailure returns the error for the body of a failed answer.
func decodeFailure(kind Kind, status int, body []byte, eras *EraTracker) error {
	var f Failure
	if err := json.Unmarshal(body, &f); err != nil {
		return noAnswerError(kind, fmt.Errorf("status %d: %w", status, err))
	}
	if err := eras.Observe(f.Era); err != nil {
		return noAnswerError(kind, err)
	}
	sentinel, ok := codes[f.Code]
	if !ok {
		return noAnswerError(kind, fmt.Errorf("status %d, code %q", status, f.Code))
	}
	return fmt.Errorf("%s: %w: %s", kind, sentinel, f.Message)
}

// decodeResponse decodes the body of a successful answer. If the body is malformed or from an earlier era, the outcome of a write is
// unknown.
func decodeResponse(kind Kind, body []byte, eras *EraTracker) (Response, error) {
	var resp Response
	if err := json.Unmarshal(body, &resp); err != nil {
		return Response{}, noAnswerError(kind, err)
	}
	if err := eras.Observe(resp.Era); err != nil {
		return Response{}, noAnswerError(kind, err)
	}
	resp.inEra()
	if err := resp.check(kind); err != nil {
		return Response{}, noAnswerError(kind, err)
	}
	return resp, nil
}

// check returns an error if an answer lacks what calls of this kind return.
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

// noAnswerError returns the error of a call without a readable answer. A read can be retried; a write may have taken
// effect.
func noAnswerError(kind Kind, err error) error {
	if kind.Writes() {
		return fmt.Errorf("%s: %w: %w", kind, ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%s: %w: %w", kind, ErrUnavailable, err)
}

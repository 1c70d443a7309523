// Package caller serves callers: generations by the usual chat and text completion protocol with server-sent
// events, calls of plain services, and the list of entry addresses.
//
// The package speaks HTTP. Where a generation runs is decided by a Dispatcher, and non-repeatable calls go
// through a Ledger; both are declared here, where they are used.
package caller

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"ebonyferry/internal/core/bundle"
)

// This file defines what the caller edge asks of the decisions behind it.

// Class orders work by urgency.
type Class string

// The classes of work. A request names its class in the header Ferry-Class; ClassNarrative is the default.
const (
	ClassQuick     Class = "quick"     // short answers that a person waits for
	ClassNarrative Class = "narrative" // long answers
	ClassBatch     Class = "batch"     // may wait
)

// Work describes one generation that wants a place on a backend server.
type Work struct {
	Generation   string
	Account      string
	Class        Class
	Model        string
	Route        string // path the caller used, for evidence by route
	Prompt       string
	PromptTokens int           // estimate
	MaxTokens    int           // upper bound the caller gave, zero when none
	Deadline     time.Time     // by when the first token is wanted
	Fingerprint  uint64        // hash of account, model and prompt; the same when the caller sends it again
	Exclude      []string      // servers that failed this work already
	Attempt      int           // 0 for the first
	Waited       time.Duration // time spent in earlier attempts
}

// Slot is a granted place on a backend server. Done must be called exactly once.
type Slot interface {
	Server() bundle.Server
	Version() string
	// RecordToken tells that the token with this index arrived now. Index 0 is the first.
	RecordToken(index int)
	// Done gives the place back.
	Done(Outcome)
}

// Outcome is how a place was used.
type Outcome string

// The outcomes of a place.
const (
	OutcomeFinished    Outcome = "finished"   // whole answer
	OutcomeCanceled    Outcome = "canceled"   // the caller left
	OutcomeNotRun      Outcome = "notRun"     // the server surely did not start it
	OutcomeOverloaded  Outcome = "overloaded" // the server refused for lack of room; it was not run
	OutcomeFailed      Outcome = "failed"     // the server answered with an error
	OutcomeInterrupted Outcome = "died"       // the server went away with the generation on it
)

// Dispatcher grants places.
type Dispatcher interface {
	// Acquire waits in the queue for a place. Its error is a *Refusal, or the context's.
	Acquire(ctx context.Context, work Work) (Slot, error)
}

// Reasons of refusals, shown to callers as the error code.
const (
	ReasonOverloaded   = "overloaded"   // what is asked cannot begin in time
	ReasonNotReady     = "notReady"     // the node does not hold a configuration it may act on
	ReasonNoServer     = "noServer"     // no backend server in service can run it
	ReasonAccountLimit = "accountLimit" // the client account is at a limit of its own
	ReasonQuarantined  = "quarantined"  // the request has crashed backend servers
	ReasonUnknownModel = "modelNotFound"
	ReasonKeyReused    = "idempotencyKeyReused" // another request used the same idempotency key
	ReasonStoreDown    = "storeDown"            // the ledger cannot be written
	ReasonRetryBudget  = "retryBudget"          // it failed and may not be tried again now
)

// ErrRefused is what every Refusal wraps.
var ErrRefused = errors.New("request was refused")

// Refusal says that a request was not served. Its fields are shown to the caller.
type Refusal struct {
	Reason     string        // camelCase code, as "overloaded", "quarantined", "accountLimit"
	Message    string        // for people
	NotRun     bool          // surely not run; never set unless it is true
	RetryAfter time.Duration // zero when asking again does not help
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Reason, r.Message) }

// Unwrap makes errors.Is(err, ErrRefused) true.
func (r *Refusal) Unwrap() error { return ErrRefused }

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Account        string
	Service        string
	Method         string
	Path           string // below the service's prefix, with the query
	ContentType    string
	Body           []byte
	Repeatable     bool
	IdempotencyKey string // required when not Repeatable
	Deadline       time.Time
}

// ServiceAnswer is what the service said, or what the ledger kept of it.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool // stored answer of an earlier run of the same key
}

// ErrOutcomeUnknown says that a non-repeatable call may have run and its answer is lost. It is never run
// again under the same key.
var ErrOutcomeUnknown = errors.New("outcome of the call is unknown")

// Ledger runs service calls, those that may not be repeated at most once.
type Ledger interface {
	// Call's error is a *Refusal, wraps ErrOutcomeUnknown, or is the context's.
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}

// EntryList answers which addresses callers use.
type EntryList interface {
	// Entries returns addresses for a caller in region, best first, and how long the answer may be kept.
	Entries(region string) (addrs []netip.AddrPort, ttl time.Duration)
}

// Package caller implements the HTTP API for callers: generations by the OpenAI chat and text completion protocol with
// server-sent events, calls of plain services, and the list of entry addresses.
//
// A Server authenticates each request by the configuration of a ConfigSource. A Dispatcher decides where a generation
// runs and grants a Slot on that backend server. The Server relays the tokens from the engine to the caller and checks
// their order. It resumes an engine stream that is cut. It retries a generation that failed before its first token, or
// later if the caller allows a restart. A caller that lost its connection resumes its generation with a resume token, at
// any node. Calls of services go through a Ledger, which runs a non-repeatable call at most once.
package caller

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"ebonyferry/internal/core/bundle"
)

// Class is a class of work. It sets the urgency of a request.
type Class string

// The classes of work. A request names its class in the header Ferry-Class; ClassNarrative is the default.
const (
	ClassQuick     Class = "quick"     // short answers that a person waits for
	ClassNarrative Class = "narrative" // long answers
	ClassBatch     Class = "batch"     // may wait
)

// Work describes one generation that needs a slot on a backend server.
type Work struct {
	Generation   string // ID, another for each attempt
	Account      string
	Class        Class
	Model        string
	Route        string // request path, for rollout evidence by route
	Prompt       string
	PromptTokens int           // estimate
	MaxTokens    int           // limit that the caller set, 0 for none
	Deadline     time.Time     // for the first token
	Fingerprint  uint64        // hash of account, model and prompt; the same if the caller repeats the request
	Exclude      []string      // servers on which this work failed
	Attempt      int           // 0 for the first
	Waited       time.Duration // time spent in earlier attempts
}

// Slot is a granted slot on a backend server. Done must be called exactly once.
type Slot interface {
	Server() bundle.Server
	Version() string
	// RecordToken records that the token with the given index arrived now. Indexes start at 0.
	RecordToken(index int)
	// Done returns the slot to the dispatcher.
	Done(Outcome)
}

// Outcome is how the use of a slot ended.
type Outcome string

// The outcomes of a slot.
const (
	OutcomeFinished    Outcome = "finished"   // the answer is complete
	OutcomeCanceled    Outcome = "canceled"   // the caller disconnected
	OutcomeNotRun      Outcome = "notRun"     // the server certainly did not start it
	OutcomeOverloaded  Outcome = "overloaded" // the server had no capacity and did not run it
	OutcomeFailed      Outcome = "failed"     // the server answered with an error
	OutcomeInterrupted Outcome = "died"       // the server lost the generation, or its stream could not be resumed
)

// Dispatcher grants slots.
type Dispatcher interface {
	// Acquire waits in the queue for a slot. Its error is a *Refusal or the context's.
	Acquire(ctx context.Context, work Work) (Slot, error)
}

// Reasons of refusals. Callers see them as error codes.
const (
	ReasonOverloaded   = "overloaded"   // the work cannot begin before its deadline
	ReasonNotReady     = "notReady"     // the node has no configuration that it may act on
	ReasonNoServer     = "noServer"     // no backend server in service can run it
	ReasonAccountLimit = "accountLimit" // the client account is at its own limit
	ReasonQuarantined  = "quarantined"  // the request has crashed backend servers
	ReasonUnknownModel = "modelNotFound"
	ReasonKeyReused    = "idempotencyKeyReused" // another request used the same idempotency key
	ReasonStoreDown    = "storeDown"            // the ledger cannot be written
	ReasonRetryBudget  = "retryBudget"          // it failed and the retry budget is used up
)

// ErrRefused is wrapped by every Refusal.
var ErrRefused = errors.New("request was refused")

// Refusal is the error for a request that was not served. The caller sees its fields.
type Refusal struct {
	Reason     string        // one of the Reason constants
	Message    string        // for a human reader
	NotRun     bool          // the request certainly did not run; false if in doubt
	RetryAfter time.Duration // zero if a retry does not help
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

// ServiceAnswer is the answer of a service, or the stored copy of it in the ledger.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool // the stored answer of an earlier call with the same key
}

// ErrOutcomeUnknown means that a non-repeatable call may have run and its answer is lost. The ledger never runs it
// again under the same key.
var ErrOutcomeUnknown = errors.New("outcome of the call is unknown")

// Ledger runs service calls. It runs a non-repeatable call at most once per idempotency key.
type Ledger interface {
	// Call's error is a *Refusal, wraps ErrOutcomeUnknown, or is the context's.
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}

// EntryList lists the addresses at which callers reach the nodes.
type EntryList interface {
	// Entries returns the addresses for a caller in region, best first, and how long the caller may cache them.
	Entries(region string) (addrs []netip.AddrPort, ttl time.Duration)
}

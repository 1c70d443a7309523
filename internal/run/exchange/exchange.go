// Package exchange serves client requests: it admits a request, places it on a backend server, sends it there and
// forwards the answer.
//
// Runtime.Serve runs one exchange: one client request and its answer. The request waits for a slot on a server, is
// sent and ends with an answer or a refusal. While it waits, no server has received any of it, so it can be refused as
// not run. Once it may have reached a server, it is sent to another one, or refused as not run, only if the server
// itself states that it did not run it. A repeatable request may also be retried within the retry budget.
//
// The execution of a stream at an engine is a run, and its memory is the KV memory that the engine holds for it. A
// stream whose server stops continues at the server that holds a copy of this memory, after the last event that reached
// the caller.
//
// The runtime does not depend on wire formats: an ingress reads requests and writes answers through a Responder, and an
// Upstream connects to backend servers. Packages core/route, core/backend, core/placement, core/evidence and core/retry
// make the decisions.
package exchange

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/permit"
	"ebonyferry/internal/core/route"
)

// Request is one client attempt, as read by the ingress.
type Request struct {
	ID            string // unique for each client attempt
	Method        string
	Host          string
	Target        string      // path and query as received
	Path          string      // for routing
	Header        http.Header // headers to forward, without hop-by-hop headers and those that the system sets
	Body          []byte
	Key           string // of the client account; empty if the caller sent none
	Arrived       time.Time
	CallerTimeout time.Duration // how long the caller waits from Arrived; 0 if unknown
	Generation    Generation    // used on routes to engines
	PromptParts   []string      // IDs of the sections of the prompt, which requests share
	ResumeFrom    string        // ID of the event after which the caller resumes a stream, if the route allows it
}

// Generation describes the generation that a request asks for.
type Generation struct {
	PromptTokens int
	MaxTokens    int // limit on the answer; 0 is none
	LengthHint   int // the caller's estimate of the answer's length; 0 is none
}

// Admitted is a request with the configuration that applies to it.
type Admitted struct {
	*Request
	Route    *route.Route
	Account  string // empty on public routes
	Service  *route.Service
	Priority int // 0 is the most urgent
	Deadline time.Time

	parts      []uint64                                    // by which requests that crash servers are recognized
	recordRate func(srv backend.Server, named permit.Rate) // see OnRate; may be nil

	recordNotice func(srv backend.Server, n Notice) // see OnNotice; may be nil

	recordLoad          func(srv backend.Server, l ServerLoad) // see OnLoad; may be nil
	recordMalformedLoad func(srv backend.Server, text string)  // see OnLoad; may be nil
	connectedAt         time.Time                              // see RecordConnected
	returning           bool                                   // the caller was refused before, sinceFirst ago, and comes back
	sinceFirst          time.Duration                          // since its first attempt
}

// OnRate sets the function that RecordRate calls.
func (a *Admitted) OnRate(fn func(srv backend.Server, named permit.Rate)) { a.recordRate = fn }

// RecordConnected records when the connection for the present attempt was made. Server speeds count from then: a connection through another
// node takes longer.
func (a *Admitted) RecordConnected(at time.Time) { a.connectedAt = at }

// workSince returns the time for which a server had the attempt that began at start.
func (a *Admitted) workSince(start time.Time) time.Duration { return time.Since(a.sentAt(start)) }

// sentAt returns when the attempt that began at start had a connection.
func (a *Admitted) sentAt(start time.Time) time.Time {
	if a.connectedAt.After(start) {
		return a.connectedAt
	}
	return start
}

// Answer is a complete answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Closed bool // nothing but the orderly close of the connection marks the end of the body
}

// Event is one event of a stream, or what a server sends between events, such as a comment.
type Event struct {
	ID   string // empty if it has none: the last event is then still the one before
	Data []byte // as received from the server
}

// Events reads a stream. After the last event, Next returns io.EOF if the server marked the end of the stream, with a last chunk or by a
// length, and ErrClosed if nothing but the orderly close of its connection marks it. It returns any other error if the stream breaks off.
type Events interface {
	Head() Answer // status and header; the body is empty
	Next() (Event, error)
	Close()
}

// OpenOptions are the options of Upstream.Open.
type OpenOptions struct {
	CopyTo  *backend.Server // server that keeps a copy of the run's memory; nil for none
	From    CopyRef         // copy that the run continues from
	AfterID string          // ID of the last event that reached the caller
}

// CopyRef identifies a copy of a run's memory. The zero value refers to none.
type CopyRef struct {
	Server backend.Server // server at which Handle is valid
	Handle string
}

// Upstream sends requests to backend servers. Each call uses its own connection. Call and Open call RecordRate of the request for
// each answer that is one, also if the server did not run the request, RecordNotice if the server says something of itself, and
// RecordLoad for the head of each stream and each complete answer that states the server's load.
type Upstream interface {
	// Call sends a request and returns the complete answer. Its errors wrap those of this package.
	Call(ctx context.Context, srv backend.Server, req *Admitted) (Answer, error)
	// Open sends a request for a stream. An answer that is not a stream is returned as an Answer.
	Open(ctx context.Context, srv backend.Server, req *Admitted, opts OpenOptions) (Events, *Answer, error)
	// Copy copies the memory of the run of a request ID to another server. With stop, the server ends the run first, and
	// the run can continue from the handle. If the run has ended and the memory could not be copied, Copy returns ErrNoRoom and
	// the handle of the memory that the first server keeps. If the server has no such run, it returns ErrNoRun.
	Copy(ctx context.Context, from, to backend.Server, id string, stop bool) (handle string, err error)
	// Report asks a server for its state. Its error wraps ErrMalformed if the answer is no report, and ErrReplaced as well if it is that of
	// another process, whose start is then in the report.
	Report(ctx context.Context, srv backend.Server) (ServerReport, error)
}

// Errors of upstream calls, to be tested with errors.Is. After ErrNotSent and ErrNotRun the server is known to run no
// part of the request; after ErrUnknown it may have run it.
var (
	ErrNotSent = errors.New("request did not reach the server")
	ErrNotRun  = errors.New("server did not run the request")
	ErrUnknown = errors.New("request may have run and its answer is lost")
	// ErrNoRun and ErrNoRoom are answers to Copy.
	ErrNoRun  = errors.New("server has no such run")
	ErrNoRoom = errors.New("memory of the run could not be copied")
	// ErrClosed ends a stream that has neither a length nor chunks, at the orderly close of its connection.
	ErrClosed = errors.New("server closed the connection of a stream that has no other end")
	// ErrReplaced is beside ErrMalformed the answer to Report of another process at the server's address.
	ErrReplaced = errors.New("another process has the server's address")
	// ErrMalformed means, beside one of the others or for a stream, that the server sent bytes that are no answer.
	ErrMalformed = errors.New("server sent no valid answer")
)

// Responder writes one answer to the caller. An error means that the caller has left, or that it reads nothing. No write may wait for the
// caller without end: the request holds capacity of servers meanwhile.
type Responder interface {
	Answer(a Answer) error
	Begin(head Answer, patience time.Duration) error // starts a stream whose caller takes no longer than patience to read
	Event(data []byte) error
	End() error // ends a complete stream
	Refuse(r Refusal) error
}

// Reason is why a request ended without the complete answer of a backend server.
type Reason string

// The reasons.
const (
	ReasonNotReady     Reason = "notReady"     // the node has no configuration
	ReasonDraining     Reason = "draining"     // the node would stop before the request ends
	ReasonNoRoute      Reason = "noRoute"      // no route of the current configuration matches
	ReasonNoAccount    Reason = "noAccount"    // the key belongs to no client account
	ReasonNoServer     Reason = "noServer"     // the service has no usable server
	ReasonQuarantined  Reason = "quarantined"  // requests like it crash servers
	ReasonOverloaded   Reason = "overloaded"   // no server has capacity in time
	ReasonAccountShare Reason = "accountShare" // no memory in time, and its account has more than its share
	ReasonRateLimited  Reason = "rateLimited"  // all servers limit their rates, and none has room in time
	ReasonNotRun       Reason = "notRun"       // the servers that received it did not run it
	ReasonTimeout      Reason = "timeout"      // it was sent, and no answer arrived in time
	ReasonLost         Reason = "lost"         // it was sent, and its answer is lost
	ReasonWithheld     Reason = "withheld"     // a server that may have run it answered with a status that says that it has not run
	ReasonStopped      Reason = "stopped"      // it was sent, and the node stopped before its answer was complete
	ReasonBroken       Reason = "broken"       // a stream broke off and could not be continued
	ReasonCallerLeft   Reason = "callerLeft"   // the caller closed its connection
	ReasonBadRequest   Reason = "badRequest"   // the request has no ID
	ReasonBodyTooLarge Reason = "bodyTooLarge" // exceeds the configured limit
	ReasonBodyNotRead  Reason = "bodyNotRead"  // the body did not arrive in time
)

// NotRun reports whether no part of a request refused for r has run or will run.
func (r Reason) NotRun() bool {
	switch r {
	case ReasonTimeout, ReasonLost, ReasonWithheld, ReasonStopped, ReasonBroken, ReasonCallerLeft:
		return false
	}
	return true
}

// Refusal is a final answer that the system itself gives.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // when capacity is expected; 0 if unknown
}

// Result is how an exchange ended.
type Result struct {
	Reason    Reason        // empty if a backend server's complete answer was forwarded
	Server    string        // server that answered, or the last one that was tried
	Status    int           // of the server's answer
	Truncated bool          // an answer was started and must not look complete
	Events    int           // events forwarded
	End       string        // how the end of a complete stream is known; empty for other answers
	Waited    time.Duration // time until the request was placed
	First     time.Duration // time until the answer or the first event
}

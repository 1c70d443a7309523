// Package exchange runs one request from its reading to its truthful end.
//
// A request waits, is sent, runs and ends. While it waits, nothing of it has reached a backend server, so it may
// be refused as not run. Once it was sent, only the server's own word that it did not run it leads to another
// server or to such a refusal; a repeatable request may also be sent again within the retry budget. A stream whose
// server goes on without it continues on the server that keeps a copy of its memory, after the last event that
// reached the caller.
//
// The runtime knows neither side's wire: an ingress reads requests and writes answers, an upstream speaks to
// backend servers. Its decisions are those of core/route, core/backend, core/placement, core/evidence and
// core/retry.
package exchange

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/route"
)

// Request is one client attempt, as the ingress read it.
type Request struct {
	ID            string // unique for each client attempt
	Method        string
	Host          string
	Target        string      // path and query as the caller wrote them
	Path          string      // for routing
	Header        http.Header // what is passed on, without what concerns one connection or is the system's to set
	Body          []byte
	Key           string // of the client account, empty when none was shown
	Arrived       time.Time
	CallerTimeout time.Duration // how long the caller waits from Arrived; 0 says that it did not tell
	Generation    Generation    // for routes to engines
	ResumeFrom    string        // event after which the caller continues a stream, where the route allows it
}

// Generation is what a request tells of the generation that it asks for.
type Generation struct {
	PromptTokens int
	MaxTokens    int // bound on the answer; 0 is none
	LengthHint   int // the caller's estimate of the answer; 0 is none
}

// Admitted is a request with what the config says of it.
type Admitted struct {
	*Request
	Route    *route.Route
	Account  string // empty on public routes
	Service  *route.Service
	Urgency  int // 0 is the most urgent
	Deadline time.Time
}

// Answer is a whole answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Event is one event of a stream.
type Event struct {
	ID   string
	Data []byte // as the server wrote it
}

// Events reads a stream. Next returns io.EOF after the last event of a complete stream and any other error when
// the stream was cut.
type Events interface {
	Head() Answer // status and header; the body is empty
	Next() (Event, error)
	Close()
}

// OpenOptions says how a stream is opened.
type OpenOptions struct {
	CopyTo  *backend.Server // keeps a copy of the run's memory
	From    CopyRef         // whose copy the run continues from
	AfterID string          // last event that reached the caller
}

// CopyRef names a copy of a run's memory. The zero value is none.
type CopyRef struct {
	Server backend.Server // that the handle was made at
	Handle string
}

// Upstream speaks to backend servers. Each call uses a connection of its own.
type Upstream interface {
	// Call sends a request and returns the whole answer. Errors wrap those of this package.
	Call(ctx context.Context, srv backend.Server, req *Admitted) (Answer, error)
	// Open sends a request for a stream. An answer that is no stream is returned as an Answer.
	Open(ctx context.Context, srv backend.Server, req *Admitted, how OpenOptions) (Events, *Answer, error)
	// Copy copies a run's memory to another server. With stop the run ends first, and continues from the handle.
	Copy(ctx context.Context, from, to backend.Server, id string, stop bool) (handle string, err error)
}

// Errors of upstream calls, tested with errors.Is. ErrNotSent and ErrNotRun promise that the server runs nothing
// of the request; after ErrUnknown it may have.
var (
	ErrNotSent = errors.New("request did not reach the server")
	ErrNotRun  = errors.New("server did not run the request")
	ErrUnknown = errors.New("request may have run and its answer is lost")
)

// Responder writes one answer to the caller. Its errors mean that the caller has left.
type Responder interface {
	Answer(a Answer) error
	Begin(head Answer) error // of a stream
	Event(data []byte) error
	End() error // of a complete stream
	Refuse(r Refusal) error
}

// Reason says why a request was not answered by a backend server.
type Reason string

// The reasons.
const (
	ReasonNotReady     Reason = "notReady"     // the node holds no config
	ReasonDraining     Reason = "draining"     // the node ends before the request would
	ReasonNoRoute      Reason = "noRoute"      // no route of the config in force matches
	ReasonNoAccount    Reason = "noAccount"    // the key is of no client account
	ReasonNoServer     Reason = "noServer"     // the service has no usable server
	ReasonOverloaded   Reason = "overloaded"   // no server has room in time
	ReasonNotRun       Reason = "notRun"       // the servers that were asked did not run it
	ReasonTimeout      Reason = "timeout"      // it was sent, and no answer came in time
	ReasonLost         Reason = "lost"         // it was sent, and its answer is lost
	ReasonBroken       Reason = "broken"       // a stream was cut and has no copy to continue from
	ReasonCallerLeft   Reason = "callerLeft"   // the caller closed its connection
	ReasonBadRequest   Reason = "badRequest"   // the request names nothing it can be known by
	ReasonBodyTooLarge Reason = "bodyTooLarge" // over the config's limit
	ReasonBodyNotRead  Reason = "bodyNotRead"  // it did not arrive in time
)

// NotRun reports whether nothing of a request refused for r has run or ever will.
func (r Reason) NotRun() bool {
	switch r {
	case ReasonTimeout, ReasonLost, ReasonBroken, ReasonCallerLeft:
		return false
	}
	return true
}

// Refusal is a final answer of the system's own.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // when room is expected; 0 tells nothing
}

// Result is how an exchange ended.
type Result struct {
	Reason    Reason        // empty when a backend server's answer was passed on whole
	Server    string        // that answered or was asked last
	Status    int           // of the server's answer
	Truncated bool          // an answer was begun and must not look complete
	Events    int           // passed on
	Waited    time.Duration // until the request got its place
	First     time.Duration // until the answer, or the first event
}

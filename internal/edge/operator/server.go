// Package operator implements the operators' API, which every node serves as HTTP with JSON under /operator/v1, and
// its client.
//
// A request is signed with the Ed25519 key of a named operator over its method, URI, body, time and a nonce. Reads
// are answered from the store or from the node's own state. A change of what is in force is a compare-and-swap of the
// head: of two operators who race, one wins, and the other gets the winner's name and change.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/document"
	"ebonyferry/internal/edge/kvstore"
)

// Fleet gives the server access to the state of the other nodes.
type Fleet interface {
	// View returns this node's view of the live nodes.
	View() *membership.View
	// Survey requests the state of the named nodes, or of all live ones if names is empty. A node that does not answer
	// in time has Error set.
	Survey(ctx context.Context, names []string) []NodeState
}

// Server serves the operators' API on one node.
type Server struct {
	store       document.Store
	inForce     func() *bundle.InForce // nil until the node holds a configuration
	fleet       Fleet
	now         func() time.Time
	verifier    *verifier
	audit       func(operator string, r *http.Request, err error)
	extraRoutes []func(chi.Router)
	components  components
}

// Option changes a Server.
type Option func(*Server)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(s *Server) { s.now = now }
}

// WithAudit sets a function that is called after each request, with the error if the request failed. The operator
// is empty if the request was not authenticated.
func WithAudit(fn func(operator string, r *http.Request, err error)) Option {
	return func(s *Server) { s.audit = fn }
}

// NewServer returns a server. inForce returns the configuration that the node applies, or nil.
func NewServer(store document.Store, inForce func() *bundle.InForce, fleet Fleet, opts ...Option) *Server {
	s := &Server{
		store: store, inForce: inForce, fleet: fleet, now: time.Now,
		audit: func(string, *http.Request, error) {},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.verifier = newVerifier(s.now)
	return s
}

// Mount adds the routes of the operator interface to router.
func (s *Server) Mount(router chi.Router) {
	router.Route(Prefix, func(r chi.Router) {
		s.registerBundles(r)
		s.registerChanges(r)
		s.registerState(r)
		s.registerComponents(r)
	})
}

// request is one authenticated request.
type request struct {
	*http.Request
	signature
	in *bundle.InForce // the configuration that the node applies
}

// decode decodes the body into v. Unknown fields are an error.
func (r request) decode(v any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return &Failure{Code: CodeInvalid, Message: err.Error()}
	}
	return nil
}

// handle returns a handler that authenticates a request, runs fn and writes its answer.
func (s *Server) handle(fn func(r request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answer, operator, err := s.serve(r, fn)
		s.audit(operator, r, err)
		if err != nil {
			writeFailure(w, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	}
}

func (s *Server) serve(r *http.Request, fn func(r request) (any, error)) (any, string, error) {
	in := s.inForce()
	if in == nil {
		return nil, "", &Failure{Code: CodeNotReady, Message: "this node holds no configuration yet"}
	}
	by, err := s.verifier.check(r, in.Keys)
	if err != nil {
		return nil, "", err
	}
	answer, err := fn(request{Request: r, signature: by, in: in})
	return answer, by.operator, err
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client sees a failed write as a truncated answer
}

// statusOf maps codes of failures to HTTP status codes.
var statusOf = map[Code]int{
	CodeInvalid:          http.StatusUnprocessableEntity,
	CodeUnauthenticated:  http.StatusUnauthorized,
	CodeNotFound:         http.StatusNotFound,
	CodeNotSignedOff:     http.StatusForbidden,
	CodeNoChange:         http.StatusConflict,
	CodeUnserved:         http.StatusConflict,
	CodeRaced:            http.StatusConflict,
	CodeStoreUnavailable: http.StatusServiceUnavailable,
	CodeOutcomeUnknown:   http.StatusGatewayTimeout,
	CodeNotReady:         http.StatusServiceUnavailable,
	CodeUnsupported:      http.StatusNotImplemented,
	CodeInternal:         http.StatusInternalServerError,
}

func writeFailure(w http.ResponseWriter, err error) {
	f := failureOf(err)
	writeJSON(w, statusOf[f.Code], f)
}

// codes maps sentinel errors to codes. The first match applies.
var codes = []struct {
	err  error
	code Code
}{
	{ErrUnauthenticated, CodeUnauthenticated},
	{bundle.ErrNotSignedOff, CodeNotSignedOff},
	{bundle.ErrNoChange, CodeNoChange},
	{bundle.ErrUnserved, CodeUnserved},
	{bundle.ErrUnknownName, CodeNotFound},
	{bundle.ErrNoRollout, CodeNotFound},
	{bundle.ErrStaleRollout, CodeRaced},
	{document.ErrKeysTaken, CodeRaced},
	{kvstore.ErrOutcomeUnknown, CodeOutcomeUnknown},
	{kvstore.ErrUnavailable, CodeStoreUnavailable},
	{kvstore.ErrRateLimited, CodeStoreUnavailable},
	{kvstore.ErrNotFound, CodeNotFound},
	{document.ErrNoHead, CodeNotReady},
	{context.DeadlineExceeded, CodeStoreUnavailable},
}

// failureOf returns the failure that describes err to an operator.
func failureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	var ps bundle.Problems
	if errors.As(err, &ps) {
		return &Failure{Code: CodeInvalid, Message: "the document is not valid", Problems: ps}
	}
	var race *document.RaceError
	if errors.As(err, &race) {
		return &Failure{Code: CodeRaced, Message: race.Error(), Winner: &race.Head}
	}
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return &Failure{Code: c.code, Message: explain(c.code, err)}
		}
	}
	return &Failure{Code: CodeInternal, Message: err.Error()}
}

// explain returns the text of err. For failures of the store it says whether the change may have taken effect.
func explain(code Code, err error) string {
	switch code {
	case CodeStoreUnavailable:
		return fmt.Sprintf("the platform's store does not answer; nothing was changed, what is in force stays in force: %v", err)
	case CodeOutcomeUnknown:
		return fmt.Sprintf("the platform's store did not answer and the change may have taken effect; ask again with the same nonce: %v", err)
	}
	return err.Error()
}

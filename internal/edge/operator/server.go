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

// This file defines the server and how its answers and errors are written.

// Fleet is what the server asks of the node about the other nodes.
type Fleet interface {
	// View returns the live nodes as this node knows them.
	View() *membership.View
	// Survey asks the named nodes, or all when names is empty, for their state. A node that does not answer
	// in time has Error set.
	Survey(ctx context.Context, names []string) []NodeState
}

// Server serves operators on one node.
type Server struct {
	store    document.Store
	inForce  func() *bundle.InForce // nil until the node holds a configuration
	fleet    Fleet
	now      func() time.Time
	verifier *verifier
	audit    func(operator string, r *http.Request, err error)
	extra    []func(chi.Router)
	parts    parts
}

// Option changes a Server.
type Option func(*Server)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(s *Server) { s.now = now }
}

// WithAudit sets what is told of every authenticated request that was handled and of every refused one.
func WithAudit(fn func(operator string, r *http.Request, err error)) Option {
	return func(s *Server) { s.audit = fn }
}

// NewServer returns a server. inForce returns what the node applies.
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

// Register adds the operators' routes to router.
func (s *Server) Register(router chi.Router) {
	router.Route(Prefix, func(r chi.Router) {
		s.registerBundles(r)
		s.registerChanges(r)
		s.registerState(r)
		s.registerParts(r)
	})
}

// request is one authenticated request.
type request struct {
	*http.Request
	signed
	in *bundle.InForce // what the node applies
}

// Decodes the body into v, refusing fields that are not known.
func (r request) decode(v any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return &Failure{Code: CodeInvalid, Message: err.Error()}
	}
	return nil
}

// Returns a handler that authenticates, runs fn and writes its answer.
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
	answer, err := fn(request{Request: r, signed: by, in: in})
	return answer, by.operator, err
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a failed write shows as a cut answer at the client
}

// statusOf maps failures to HTTP.
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

// codes maps sentinel errors to codes; the first that matches counts.
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

// Adds to an error what the operator can rely on.
func explain(code Code, err error) string {
	switch code {
	case CodeStoreUnavailable:
		return fmt.Sprintf("the platform's store does not answer; nothing was changed, what is in force stays in force: %v", err)
	case CodeOutcomeUnknown:
		return fmt.Sprintf("the platform's store did not answer and the change may have taken effect; ask again with the same nonce: %v", err)
	}
	return err.Error()
}

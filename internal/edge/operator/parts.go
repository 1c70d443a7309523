package operator

import (
	"context"
	"time"

	"github.com/go-chi/chi/v5"
)

// This file defines routes to parts of the node that it may run without.

// Quarantine is what operators may do about requests that crash servers.
type Quarantine interface {
	// Quarantined returns the verdicts in force.
	Quarantined() []QuarantineEntry
	// Release lifts a verdict on every node. It returns ErrNotQuarantined when there is none.
	Release(ctx context.Context, fingerprint, operator string) error
}

// QuarantineEntry is one request that is refused because it crashes servers.
type QuarantineEntry struct {
	Fingerprint string    `json:"fingerprint"`
	Account     string    `json:"account,omitempty"`
	Reason      string    `json:"reason"`
	Since       time.Time `json:"since,omitzero"`
	Until       time.Time `json:"until,omitzero"`
}

// parts holds what a node may run without.
type parts struct {
	quarantine Quarantine
}

// WithQuarantine sets the part that knows requests that crash servers.
func WithQuarantine(q Quarantine) Option {
	return func(s *Server) { s.parts.quarantine = q }
}

// WithRoutes adds the routes of another part, which are registered with Handle.
func WithRoutes(register func(s *Server, r chi.Router)) Option {
	return func(s *Server) { s.extra = append(s.extra, func(r chi.Router) { register(s, r) }) }
}

func (s *Server) registerParts(r chi.Router) {
	r.Get("/quarantine", s.handle(s.listQuarantine))
	r.Delete("/quarantine/{fingerprint}", s.handle(s.releaseQuarantine))
	for _, register := range s.extra {
		register(r)
	}
}

func (s *Server) listQuarantine(request) (any, error) {
	if s.parts.quarantine == nil {
		return nil, &Failure{Code: CodeUnsupported, Message: "this node runs without quarantine"}
	}
	return s.parts.quarantine.Quarantined(), nil
}

func (s *Server) releaseQuarantine(r request) (any, error) {
	if s.parts.quarantine == nil {
		return nil, &Failure{Code: CodeUnsupported, Message: "this node runs without quarantine"}
	}
	fingerprint := chi.URLParam(r.Request, "fingerprint")
	if err := s.parts.quarantine.Release(r.Context(), fingerprint, r.operator); err != nil {
		return nil, err
	}
	return QuarantineEntry{Fingerprint: fingerprint, Reason: "released by " + r.operator}, nil
}

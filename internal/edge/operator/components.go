// This file serves the routes of components that a node may run without.

package operator

import (
	"context"
	"time"

	"github.com/go-chi/chi/v5"
)

// Quarantine lets operators list and release requests that crash servers.
type Quarantine interface {
	// Quarantined returns the verdicts in force.
	Quarantined() []QuarantineEntry
	// Release lifts a verdict on every node. If there is none it returns a *Failure with CodeNotFound.
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

// components holds the components that a node may run without; an absent one is nil.
type components struct {
	quarantine Quarantine
}

// WithQuarantine sets the component that quarantines requests that crash servers.
func WithQuarantine(q Quarantine) Option {
	return func(s *Server) { s.components.quarantine = q }
}

// WithRoutes sets a further function that adds the routes of another component to r.
func WithRoutes(register func(s *Server, r chi.Router)) Option {
	return func(s *Server) { s.extraRoutes = append(s.extraRoutes, func(r chi.Router) { register(s, r) }) }
}

func (s *Server) registerComponents(r chi.Router) {
	r.Get("/quarantine", s.handle(s.listQuarantine))
	r.Delete("/quarantine/{fingerprint}", s.handle(s.releaseQuarantine))
	for _, register := range s.extraRoutes {
		register(r)
	}
}

func (s *Server) listQuarantine(request) (any, error) {
	if s.components.quarantine == nil {
		return nil, &Failure{Code: CodeUnsupported, Message: "this node runs without quarantine"}
	}
	return s.components.quarantine.Quarantined(), nil
}

func (s *Server) releaseQuarantine(r request) (any, error) {
	if s.components.quarantine == nil {
		return nil, &Failure{Code: CodeUnsupported, Message: "this node runs without quarantine"}
	}
	fingerprint := chi.URLParam(r.Request, "fingerprint")
	if err := s.components.quarantine.Release(r.Context(), fingerprint, r.operator); err != nil {
		return nil, err
	}
	return QuarantineEntry{Fingerprint: fingerprint, Reason: "released by " + r.operator}, nil
}

package caller

import (
	"net/http"
	"strings"

	"ebonyferry/internal/core/bundle"
)

// This file defines how callers are recognised as client accounts.

// session is one authenticated request's view of the configuration.
type session struct {
	cfg     *bundle.InForce
	account bundle.Account
}

// Handles an authenticated request.
type sessionHandler func(http.ResponseWriter, *http.Request, session)

// Wraps a handler of new work.
func (s *Server) authenticated(fn sessionHandler) http.HandlerFunc {
	return s.withSession(fn, s.config.InForce)
}

// Wraps a handler of work that runs already, which goes on while the node may not take new work.
func (s *Server) authenticatedHeld(fn sessionHandler) http.HandlerFunc {
	return s.withSession(fn, s.config.Held)
}

func (s *Server) withSession(fn sessionHandler, config func() *bundle.InForce) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sess, err := authenticate(r, config())
		if err != nil {
			writeError(w, err)
			return
		}
		fn(w, r, sess)
	}
}

func authenticate(r *http.Request, cfg *bundle.InForce) (session, *apiError) {
	if cfg == nil {
		return session{}, fromRefusal(errNotReady())
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return session{}, &apiError{status: http.StatusUnauthorized, kind: kindAuth, code: "missingKey", message: "header Authorization does not hold a bearer key", notRun: true}
	}
	acc, ok := cfg.Account(key)
	if !ok {
		return session{}, &apiError{status: http.StatusUnauthorized, kind: kindAuth, code: "invalidKey", message: "bearer key is not known or was revoked", notRun: true}
	}
	return session{cfg: cfg, account: acc}, nil
}

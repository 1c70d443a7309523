// This file defines the authentication of callers as client accounts.

package caller

import (
	"net/http"
	"strings"

	"ebonyferry/internal/core/bundle"
)

// session is the client account and the configuration of one authenticated request.
type session struct {
	cfg     *bundle.InForce
	account bundle.Account
}

// sessionHandler handles an authenticated request.
type sessionHandler func(http.ResponseWriter, *http.Request, session)

// authenticated wraps a handler of new work. It requires a configuration that the node may act on.
func (s *Server) authenticated(fn sessionHandler) http.HandlerFunc {
	return s.withSession(fn, s.config.InForce)
}

// authenticatedHeld wraps a handler of running work, which continues while the node may not accept new work.
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

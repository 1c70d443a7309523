// This file defines how a caller resumes a generation, at any node.

package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"ebonyferry/internal/base/budget"
	"ebonyferry/internal/core/resume"
)

// resumeRequest asks for the tokens of a generation from Index on.
type resumeRequest struct {
	ResumeToken string `json:"resumeToken"`
	Index       int    `json:"index"`
}

// notifyTimeout limits the notification of the node that started a resumed generation.
const notifyTimeout = time.Second

func (s *Server) postResume(w http.ResponseWriter, r *http.Request, sess session) {
	claims, index, aerr := s.readResume(w, r, sess)
	if aerr != nil {
		writeError(w, aerr)
		return
	}
	server, ok := sess.cfg.Server(claims.Server)
	if !ok {
		writeError(w, &apiError{status: http.StatusGone, kind: kindServer, code: "generationLost", message: fmt.Sprintf("backend server %q is no longer in the bundle", claims.Server)})
		return
	}
	s.stopOtherRelay(r.Context(), claims)
	sk := newEventSink(w, r, answerFormat{chat: claims.Chat, model: claims.Model, created: time.Now()}, s.limits.WriteTimeout, false)
	sk.generation = claims.Generation
	rl := newRelay(s, r.Context(), claims.Generation, s.engines(server.Addr), sk)
	rl.skip = index
	defer budget.Reset(r.Context()) // unless the answer is whole
	s.resumed.add(server.ID, 1)
	defer s.resumed.add(server.ID, -1)
	outcome, aerr := rl.runResumed()
	switch {
	case aerr != nil:
		sk.sent = max(sk.sent, index)
		sk.fail(aerr)
	case outcome == OutcomeCanceled:
		panic(http.ErrAbortHandler) // the caller has left, or resumed elsewhere: the answer must not end as a complete one
	}
}

func (s *Server) readResume(w http.ResponseWriter, r *http.Request, sess session) (resume.Claims, int, *apiError) {
	body, aerr := s.readBody(w, r)
	if aerr != nil {
		return resume.Claims{}, 0, aerr
	}
	var req resumeRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return resume.Claims{}, 0, invalid("", "body is not a resume request in JSON: "+err.Error())
	}
	if req.Index < 0 {
		return resume.Claims{}, 0, invalid("index", fmt.Sprintf("index is %d and must not be negative", req.Index))
	}
	claims, err := resume.Verify(sess.cfg.Keys.TokenKeys, req.ResumeToken, sess.account.ID, time.Now())
	if err != nil {
		return resume.Claims{}, 0, resumeError(err)
	}
	return claims, req.Index, nil
}

func resumeError(err error) *apiError {
	switch {
	case errors.Is(err, resume.ErrExpired):
		return &apiError{status: http.StatusGone, kind: kindInvalid, code: "resumeTokenExpired", param: "resumeToken", message: err.Error()}
	case errors.Is(err, resume.ErrAccount):
		return &apiError{status: http.StatusForbidden, kind: kindPermission, code: "resumeTokenForeign", param: "resumeToken", message: err.Error()}
	}
	return &apiError{status: http.StatusBadRequest, kind: kindInvalid, code: "resumeTokenInvalid", param: "resumeToken", message: err.Error()}
}

// stopOtherRelay stops the relay of the node that started the generation. Otherwise that node would cancel the generation.
func (s *Server) stopOtherRelay(ctx context.Context, claims resume.Claims) {
	if claims.Node == s.node {
		s.relays.stop(claims.Generation)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	s.notifier.NotifyResumed(ctx, claims.Node, claims.Generation)
}

// This file defines calls of plain services, the list of models and the list of entry addresses.

package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// serviceDeadline is the time limit of a service call without a deadline.
const serviceDeadline = 10 * time.Second

func (s *Server) callService(w http.ResponseWriter, r *http.Request, sess session) {
	call, aerr := s.readCall(w, r, sess)
	if aerr != nil {
		writeError(w, aerr)
		return
	}
	answer, err := s.ledger.Call(r.Context(), call)
	if err != nil {
		aerr := fromError(err)
		s.observer.RecordRequest(ClassQuick, sess.account.ID, aerr.code)
		writeError(w, aerr)
		return
	}
	s.observer.RecordRequest(ClassQuick, sess.account.ID, "ok")
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout)) // some test writers do not support it
	h := w.Header()
	if answer.ContentType != "" {
		h.Set("Content-Type", answer.ContentType)
	}
	if answer.Replayed {
		h.Set(headerReplayed, "true")
	}
	if r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(answer.Body))) // without it, HTTP/1.0 callers would take a part for the whole answer
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // fails only if the caller has left
}

func (s *Server) readCall(w http.ResponseWriter, r *http.Request, sess session) (ServiceCall, *apiError) {
	svc, rest, ok := sess.cfg.Service(r.URL.EscapedPath())
	route, found := svc.Route(r.Method, rest)
	if !ok || !found {
		return ServiceCall{}, &apiError{status: http.StatusNotFound, kind: kindInvalid, code: "unknownRoute", message: fmt.Sprintf("no service of the bundle serves %s %s", r.Method, r.URL.Path), notRun: true}
	}
	key := r.Header.Get(headerIdempotencyKey)
	if !route.Repeatable && key == "" {
		return ServiceCall{}, invalid(headerIdempotencyKey, "a call that may not be repeated needs an idempotency key")
	}
	opts, aerr := s.readOptions(r.Header, time.Now())
	if aerr != nil {
		return ServiceCall{}, aerr
	}
	body, aerr := s.readBody(w, r)
	if aerr != nil {
		return ServiceCall{}, aerr
	}
	call := ServiceCall{
		Account: sess.account.ID, Service: svc.Name, Method: r.Method, Path: withQuery(rest, r.URL.RawQuery),
		ContentType: r.Header.Get("Content-Type"), Body: body, Repeatable: route.Repeatable, IdempotencyKey: key,
		Deadline: time.Now().Add(serviceDeadline),
	}
	if r.Header.Get(headerDeadline) != "" {
		call.Deadline = opts.deadline
	}
	return call, nil
}

// withQuery returns a path with its query, if there is one.
func withQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

func (s *Server) getModels(w http.ResponseWriter, _ *http.Request, sess session) {
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, m := range sess.cfg.Bundle.Models {
		list.Data = append(list.Data, modelInfo{ID: m.Name, Object: "model", OwnedBy: "ebonyferry"})
	}
	writeJSON(w, list)
}

// entryList is the answer to a request for the entry addresses.
type entryList struct {
	Entries []string `json:"entries"` // IP and port, best first
	TTLMs   int64    `json:"ttlMs"`   // how long the caller may cache the list
}

func (s *Server) getEntries(w http.ResponseWriter, r *http.Request) {
	addrs, ttl := s.entries.Entries(r.Header.Get(headerRegion))
	list := entryList{Entries: []string{}, TTLMs: ttl.Milliseconds()}
	for _, addr := range addrs {
		list.Entries = append(list.Entries, addr.String())
	}
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has left
}

// This file defines the HTTP interface: the platform's calls and the control endpoint.

package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/edge/kvstore"
)

// ControlPath is the path of the control endpoint. POST applies a Control, GET returns the counters by kind.
const ControlPath = "/control"

const (
	maxRequestBytes = 2 << 20
	shutdownTime    = time.Second
)

// errLost means that the call took effect and its answer is withheld.
var errLost = errors.New("answer is lost")

// Control is the body of a POST to ControlPath, which changes faults. Absent fields change nothing.
type Control struct {
	Outage      *OutageMode          `json:"outage,omitempty"`
	DelayMs     *int64               `json:"delayMs,omitempty"`
	Rates       *Rates               `json:"rates,omitempty"`
	LoseAnswers map[kvstore.Kind]int `json:"loseAnswers,omitempty"`
	LapseLease  string               `json:"lapseLease,omitempty"` // key of the entry
	RestoreMs   *int64               `json:"restoreMs,omitempty"`  // age of the copy from which the store comes back
	VMs         *[]kvstore.VM        `json:"vms,omitempty"`
}

// Apply makes the changes in c.
func (s *Server) Apply(c Control) error {
	if c.Outage != nil {
		s.SetOutage(*c.Outage)
	}
	if c.DelayMs != nil {
		s.SetDelay(time.Duration(*c.DelayMs) * time.Millisecond)
	}
	if c.Rates != nil {
		s.SetRates(*c.Rates)
	}
	for kind, n := range c.LoseAnswers {
		s.LoseAnswers(kind, n)
	}
	if c.RestoreMs != nil {
		s.Restore(time.Duration(*c.RestoreMs) * time.Millisecond)
	}
	if c.VMs != nil {
		s.SetVMs(*c.VMs)
	}
	if c.LapseLease != "" && !s.ExpireLease(c.LapseLease) {
		return fmt.Errorf("key %q hangs on no lease", c.LapseLease)
	}
	return nil
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	for _, kind := range kvstore.Kinds {
		router.Post(kind.Path(), func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, kind) })
	}
	router.Post(ControlPath, s.serveControl)
	router.Get(ControlPath, func(w http.ResponseWriter, r *http.Request) { writeJSON(w, http.StatusOK, s.Counts()) })
	return router
}

// Listen serves on addr until ctx ends. It returns the address that it listens on.
func (s *Server) Listen(ctx context.Context, addr netip.AddrPort) (netip.AddrPort, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: shutdownTime}
	go srv.Serve(ln)
	context.AfterFunc(ctx, func() { srv.Close() })
	return ln.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, kind kvstore.Kind) {
	var req kvstore.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		writeFailure(w, kvstore.ErrInvalid, s.currentEra())
		return
	}
	resp, err := s.call(r.Context(), kind, req)
	era := s.currentEra()
	resp.Era = era
	if errors.Is(err, errLost) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		writeFailure(w, err, era)
		return
	}
	writeJSON(w, http.StatusOK, resp)
}

func (s *Server) currentEra() kvstore.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// call executes one call under the active faults and counts it.
func (s *Server) call(ctx context.Context, kind kvstore.Kind, req kvstore.Request) (kvstore.Response, error) {
	if err := s.admit(ctx, kind); err != nil {
		s.tally(kind, err)
		return kvstore.Response{}, err
	}
	if kind == kvstore.KindWatch {
		resp, err := s.watch(ctx, req)
		s.tally(kind, err)
		return resp, err
	}
	s.mu.Lock()
	resp, err := s.apply(kind, req)
	if err == nil && s.faults.unanswered[kind] > 0 {
		s.faults.unanswered[kind]--
		err = errLost
	}
	s.mu.Unlock()
	s.tally(kind, err)
	return resp, err
}

// admit delays or refuses a call according to the active faults. An outage that begins during the delay applies to
// the call.
func (s *Server) admit(ctx context.Context, kind kvstore.Kind) error {
	s.mu.Lock()
	delay := s.faults.delay
	allowed := s.limits.allow(kind, time.Now())
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return kvstore.ErrUnavailable
		}
	}
	s.mu.Lock()
	outage := s.faults.outage
	s.mu.Unlock()
	switch {
	case outage == OutageRefuse:
		return kvstore.ErrUnavailable
	case outage == OutageSilent:
		<-ctx.Done()
		return kvstore.ErrUnavailable
	case !allowed:
		return kvstore.ErrRateLimited
	}
	return nil
}

// tally counts a call by its result.
func (s *Server) tally(kind kvstore.Kind, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts[kind]
	c.Calls++
	switch {
	case errors.Is(err, errLost):
		c.Lost++
	case errors.Is(err, kvstore.ErrRateLimited):
		c.Limited++
		c.Refused++
	case err != nil:
		c.Refused++
	}
	s.counts[kind] = c
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Apply(c); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, http.StatusOK, s.Counts())
}

// statuses holds the HTTP statuses of errors. Any other error is a bad request.
var statuses = map[error]int{
	kvstore.ErrNotFound:     http.StatusNotFound,
	kvstore.ErrConflict:     http.StatusConflict,
	kvstore.ErrUnavailable:  http.StatusServiceUnavailable,
	kvstore.ErrRateLimited:  http.StatusTooManyRequests,
	kvstore.ErrLeaseExpired: http.StatusGone,
	kvstore.ErrCompacted:    http.StatusGone,
	kvstore.ErrTooLarge:     http.StatusRequestEntityTooLarge,
}

// writeFailure answers a call with an error.
func writeFailure(w http.ResponseWriter, err error, era kvstore.Era) {
	status, ok := statuses[err]
	if !ok {
		status = http.StatusBadRequest
	}
	writeJSON(w, status, kvstore.Failure{Code: kvstore.CodeOf(err), Message: err.Error(), Era: era})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v) // a failed write shows at the caller
}

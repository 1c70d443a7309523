// Package service provides a fake of a plain service that accepts bookings and answers look-ups.
//
// It counts the runs of each booking by the booking ID in the body. A booking that ran twice is therefore detected
// whether or not the service honors idempotency keys.
package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/edge/service"
)

// Paths of the service.
const (
	PathBookings = "/bookings" // POST Booking
	PathStock    = "/stock/"   // GET <item>
)

const maxBodyBytes = 1 << 20

// Booking is the body of a POST to PathBookings, a call that may not be repeated.
type Booking struct {
	Booking string `json:"booking"` // ID chosen by the caller; a booking must run at most once
	Item    string `json:"item"`
	Count   int    `json:"count"`
}

// Receipt is the answer to a booking.
type Receipt struct {
	Booking string `json:"booking"`
	Run     int    `json:"run"` // 1 for the first run of this booking
}

// Stock is the answer to a look-up.
type Stock struct {
	Item  string `json:"item"`
	Count int    `json:"count"`
}

// Faults are the active faults of a service. The zero value means none.
type Faults struct {
	Delay       time.Duration // before a call runs
	FailEvery   int           // every n-th call is answered with status 500 and does not run; zero means none
	LoseEvery   int           // every n-th booking runs, and its connection is cut before the answer; zero means none
	Unreachable bool          // every connection is cut before the call runs
}

// Service is a fake service. It is an http.Handler, safe for concurrent use.
type Service struct {
	router          chi.Router
	answersOutcomes bool
	honorsKeys      bool

	mu       sync.Mutex
	faults   Faults                      // guarded by mu
	calls    int                         // guarded by mu
	bookings int                         // guarded by mu
	lookups  int                         // guarded by mu
	runs     map[string]int              // runs by booking ID; guarded by mu
	outcomes map[string]*service.Outcome // by idempotency key; guarded by mu
}

// Option configures a Service.
type Option func(*Service)

// WithOutcomeQueries makes the service answer queries for the outcome of the call with a key.
func WithOutcomeQueries() Option { return func(s *Service) { s.answersOutcomes = true } }

// WithIdempotencyKeys makes the service honor idempotency keys. It answers a repeated key with the stored outcome
// and does not run the call again.
func WithIdempotencyKeys() Option { return func(s *Service) { s.honorsKeys = true } }

// WithFaults sets the initial faults.
func WithFaults(f Faults) Option { return func(s *Service) { s.faults = f } }

// New returns a service.
func New(opts ...Option) *Service {
	s := &Service{runs: make(map[string]int), outcomes: make(map[string]*service.Outcome)}
	for _, opt := range opts {
		opt(s)
	}
	r := chi.NewRouter()
	r.Post(PathBookings, s.book)
	r.Get(PathStock+"{item}", s.stock)
	r.Get(service.PathOutcomes+"{key}", s.outcome)
	s.router = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counters are totals since New.
type Counters struct {
	Bookings   int `json:"bookings"`   // runs of bookings
	Distinct   int `json:"distinct"`   // booking IDs that ran
	DoubleRuns int `json:"doubleRuns"` // runs of a booking ID after its first
	Lookups    int `json:"lookups"`
}

// Counters returns the totals.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counters{
		Bookings:   s.bookings,
		Distinct:   len(s.runs),
		DoubleRuns: s.bookings - len(s.runs),
		Lookups:    s.lookups,
	}
}

// Runs returns the number of runs by booking ID.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Listen serves on addr until ctx ends. It returns the address that it listens on.
func (s *Service) Listen(ctx context.Context, addr netip.AddrPort) (netip.AddrPort, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("service: %w", err)
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }() // returns after Close
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// injectFaults counts a call and applies the faults that come before its run. It returns false if it answered the
// call with an error.
func (s *Service) injectFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.calls++
	n, f := s.calls, s.faults
	s.mu.Unlock()
	if f.Unreachable {
		panic(http.ErrAbortHandler)
	}
	if f.Delay > 0 {
		timer := time.NewTimer(f.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			// The call runs nevertheless: a real service does not detect in time that its caller disconnected.
		}
	}
	if f.FailEvery > 0 && n%f.FailEvery == 0 {
		http.Error(w, "service failed before the call ran", http.StatusInternalServerError)
		return false
	}
	return true
}

func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var b Booking
	if err := json.Unmarshal(body, &b); err != nil || b.Booking == "" {
		http.Error(w, "body is no booking", http.StatusBadRequest)
		return
	}
	key := r.Header.Get(service.HeaderIdempotencyKey)
	if stored, ok := s.begin(key); !ok {
		replay(w, stored)
		return
	}
	defer s.discardUnrun(key)
	if !s.injectFaults(w, r) {
		return
	}
	out, lose := s.run(key, b)
	if lose {
		panic(http.ErrAbortHandler)
	}
	replay(w, out)
}

// begin records that a call with key is running. If the service honors keys and has an outcome of this key, begin
// returns that outcome and false.
func (s *Service) begin(key string) (service.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key == "" {
		return service.Outcome{}, true
	}
	if out := s.outcomes[key]; out != nil && s.honorsKeys {
		return *out, false
	}
	if s.outcomes[key] == nil {
		s.outcomes[key] = &service.Outcome{Running: true}
	}
	return service.Outcome{}, true
}

// discardUnrun removes the outcome of a call that ended without running.
func (s *Service) discardUnrun(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if out := s.outcomes[key]; out != nil && out.Running {
		delete(s.outcomes, key)
	}
}

// run runs a booking and stores its outcome. lose reports whether the answer must be lost.
func (s *Service) run(key string, b Booking) (out service.Outcome, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bookings++
	s.runs[b.Booking]++
	body, _ := json.Marshal(Receipt{Booking: b.Booking, Run: s.runs[b.Booking]}) // plain fields never fail
	out = service.Outcome{Status: http.StatusCreated, ContentType: "application/json", Body: body}
	if key != "" {
		s.outcomes[key] = &out
	}
	return out, s.faults.LoseEvery > 0 && s.bookings%s.faults.LoseEvery == 0
}

// replay writes an outcome as the answer to a call.
func replay(w http.ResponseWriter, out service.Outcome) {
	if out.Running {
		http.Error(w, "a call with this key is running", http.StatusConflict)
		return
	}
	w.Header().Set("Content-Type", out.ContentType)
	w.WriteHeader(out.Status)
	_, _ = w.Write(out.Body) // a failed write shows at the caller
}

func (s *Service) stock(w http.ResponseWriter, r *http.Request) {
	if !s.injectFaults(w, r) {
		return
	}
	s.mu.Lock()
	s.lookups++
	s.mu.Unlock()
	item := chi.URLParam(r, "item")
	writeJSON(w, Stock{Item: item, Count: StockOf(item)})
}

// StockOf returns the count in the answers to look-ups of item. A caller can use it to check an answer.
func StockOf(item string) int { return int(xxhash.Sum64String(item) % 1000) }

func (s *Service) outcome(w http.ResponseWriter, r *http.Request) {
	if !s.answersOutcomes {
		http.Error(w, "this service cannot be asked by key", http.StatusNotImplemented)
		return
	}
	key, err := url.PathUnescape(chi.URLParam(r, "key"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	out := s.outcomes[key]
	s.mu.Unlock()
	if out == nil {
		http.Error(w, "no call with this key", http.StatusNotFound)
		return
	}
	writeJSON(w, out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a failed write shows at the caller
}

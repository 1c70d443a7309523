// This file defines the server of the caller edge and its routes.

package caller

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/engine"
)

// Headers that this system adds to the OpenAI protocol.
const (
	headerClass          = "Ferry-Class"
	headerDeadline       = "Ferry-Deadline"
	headerOnLoss         = "Ferry-On-Engine-Loss"
	headerRegion         = "Ferry-Region"
	headerNotRun         = "Ferry-Not-Run"
	headerReplayed       = "Ferry-Replayed"
	headerGeneration     = "Ferry-Generation"
	headerIdempotencyKey = "Idempotency-Key"
)

// Limits holds the limits of a node for its callers.
type Limits struct {
	MaxBodyBytes      int64         // larger bodies are refused
	BodyTimeout       time.Duration // for the whole body to arrive
	WriteTimeout      time.Duration // for one write to a slow reader
	MaxConcurrent     int           // requests in flight; more are refused
	FirstTokenTarget  time.Duration // deadline for the first token of a request without a deadline
	StallTimeout      time.Duration // the node resumes an engine stream that is silent for longer
	ResumeGrace       time.Duration // how long a generation continues after its caller has left
	ResumeTokenExpiry time.Duration
	MaxAttempts       int // of one request, including the first
}

// DefaultLimits returns the limits of a node whose settings set none.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:      4 << 20,
		BodyTimeout:       20 * time.Second,
		WriteTimeout:      20 * time.Second,
		MaxConcurrent:     4096,
		FirstTokenTarget:  1900 * time.Millisecond,
		StallTimeout:      10 * time.Second,
		ResumeGrace:       10 * time.Second,
		ResumeTokenExpiry: time.Hour,
		MaxAttempts:       3,
	}
}

// Observer records what callers experience.
type Observer interface {
	// RecordRequest records a finished request. The result is "ok", "callerLeft" or an error code.
	RecordRequest(class Class, account, result string)
	// RecordFirstToken records the time from the arrival of a request to its first token.
	RecordFirstToken(class Class, account string, d time.Duration)
	// RecordTokenGap records the time between two tokens.
	RecordTokenGap(class Class, account string, d time.Duration)
}

// ConfigSource returns the configuration of the node.
type ConfigSource interface {
	// InForce returns the configuration to act on, or nil while the node may not accept new work.
	InForce() *bundle.InForce
	// Held returns the last configuration that the node received, or nil if there is none. Running work continues under
	// it while InForce returns nil.
	Held() *bundle.InForce
}

// ResumeNotifier notifies the node that started a generation that a caller has resumed it at this node.
type ResumeNotifier interface {
	// NotifyResumed returns when the node has answered or cannot be reached.
	NotifyResumed(ctx context.Context, node, generation string)
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	node       string
	config     ConfigSource
	dispatcher Dispatcher
	ledger     Ledger
	entries    EntryList
	notifier   ResumeNotifier
	observer   Observer
	engines    func(netip.AddrPort) *engine.Client
	limits     Limits
	log        log.Interface
	shutdown   context.Context // done when the server must end its streams immediately

	relays   relaySet // includes relays of callers that left and may resume
	resumed  resumedCounts
	inFlight atomic.Int64 // number of requests being served
}

// Option configures a Server.
type Option func(*Server)

// WithLimits sets the limits.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// WithLog sets the logger of events.
func WithLog(l log.Interface) Option { return func(s *Server) { s.log = l } }

// WithObserver sets the observer of requests.
func WithObserver(o Observer) Option { return func(s *Server) { s.observer = o } }

// WithNotifier sets the notifier of the nodes whose generations callers resume at this node.
func WithNotifier(n ResumeNotifier) Option { return func(s *Server) { s.notifier = n } }

// WithEngines sets the function that returns the client of an engine.
func WithEngines(fn func(netip.AddrPort) *engine.Client) Option {
	return func(s *Server) { s.engines = fn }
}

// Dependencies holds the other parts of the node that a Server uses.
type Dependencies struct {
	Config     ConfigSource
	Dispatcher Dispatcher
	Ledger     Ledger
	Entries    EntryList
}

// New returns a server for the named node. When shutdown is done, the server ends its streams with an error that asks
// callers to resume at another node.
func New(shutdown context.Context, node string, deps Dependencies, opts ...Option) *Server {
	s := &Server{
		node:       node,
		config:     deps.Config,
		dispatcher: deps.Dispatcher,
		ledger:     deps.Ledger,
		entries:    deps.Entries,
		limits:     DefaultLimits(),
		log:        log.Log,
		observer:   discardObserver{},
		notifier:   discardNotifier{},
		shutdown:   shutdown,
	}
	clients := newEngineClients()
	s.engines = clients.forAddr
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Handler returns the handler of all routes for callers.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.limitBodyTime)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &apiError{status: http.StatusNotFound, kind: kindInvalid, code: "unknownPath", message: "path " + r.URL.Path + " is not served", notRun: true})
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &apiError{status: http.StatusMethodNotAllowed, kind: kindInvalid, code: "unknownMethod", message: "method " + r.Method + " is not served at " + r.URL.Path, notRun: true})
	})
	r.Get("/v1/entries", s.getEntries)
	r.Group(func(r chi.Router) {
		r.Use(s.limitConcurrency)
		r.Get("/v1/models", s.authenticated(s.getModels))
		r.Post("/v1/chat/completions", s.authenticated(s.postChat))
		r.Post("/v1/completions", s.authenticated(s.postCompletion))
		r.Post("/v1/ferry/resume", s.authenticatedHeld(s.postResume))
		r.HandleFunc("/services/*", s.authenticated(s.callService))
	})
	return r
}

// limitBodyTime limits the time for a body to arrive. The limit also applies to handlers that do not read the body: the
// HTTP server reads the rest of the body before it sends their answer.
func (s *Server) limitBodyTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.limits.BodyTimeout)) // some test writers do not support it
		next.ServeHTTP(w, r)
	})
}

// limitConcurrency refuses requests beyond the node's MaxConcurrent before it reads anything of them.
func (s *Server) limitConcurrency(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer s.inFlight.Add(-1)
		if n := s.inFlight.Add(1); n > int64(s.limits.MaxConcurrent) {
			writeError(w, fromRefusal(&Refusal{Reason: ReasonOverloaded, Message: "node has as many requests in hand as it takes", NotRun: true, RetryAfter: time.Second}))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// ResumedStreams returns the number of streams that callers have resumed at this node, by the ID of their backend
// server. It omits servers without any. The dispatcher does not count these streams.
func (s *Server) ResumedStreams() map[string]int { return s.resumed.byServer() }

// StopRelay stops relaying a generation that a caller resumed at another node. It does not cancel the generation.
func (s *Server) StopRelay(generation string) { s.relays.stop(generation) }

type discardObserver struct{}

func (discardObserver) RecordRequest(Class, string, string)           {}
func (discardObserver) RecordFirstToken(Class, string, time.Duration) {}
func (discardObserver) RecordTokenGap(Class, string, time.Duration)   {}

type discardNotifier struct{}

func (discardNotifier) NotifyResumed(context.Context, string, string) {}

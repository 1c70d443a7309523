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

// This file defines the server of the caller edge and its routes.

// Headers that ride beside the usual protocol.
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

// Limits bounds what one caller may ask of a node.
type Limits struct {
	MaxBodyBytes      int64         // larger bodies are refused
	BodyTimeout       time.Duration // for the whole body to arrive
	WriteTimeout      time.Duration // for one write to a slow reader
	MaxConcurrent     int           // requests in hand; more are refused
	FirstTokenTarget  time.Duration // deadline of a request that names none
	StallTimeout      time.Duration // a stream silent for longer is taken up anew
	ResumeGrace       time.Duration // a generation whose caller left runs on for this long
	ResumeTokenExpiry time.Duration
	MaxAttempts       int // of one request, the first included
}

// DefaultLimits returns the limits of a node whose settings name none.
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

// Observer counts what callers see.
type Observer interface {
	// RecordRequest tells that a request ended with a result, an error code or "ok".
	RecordRequest(class Class, account, result string)
	RecordFirstToken(class Class, account string, d time.Duration)
	RecordTokenGap(class Class, account string, d time.Duration)
}

// ConfigSource gives the configuration in force.
type ConfigSource interface {
	// InForce returns the configuration to act on, or nil while the node may not take new work.
	InForce() *bundle.InForce
	// Held returns the last configuration that the node held, under which running work goes on. It is nil
	// before there was one.
	Held() *bundle.InForce
}

// ResumeNotifier tells another node that a generation it started goes on elsewhere.
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
	end        context.Context // done when running streams are to end at once

	active activeSet // generations that this node relays or keeps for a caller that left
	taken  takenUp
	inHand atomic.Int64 // requests being served
}

// Option changes a Server.
type Option func(*Server)

// WithLimits sets the limits.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// WithLog sets where events are logged.
func WithLog(l log.Interface) Option { return func(s *Server) { s.log = l } }

// WithObserver sets the observer of requests.
func WithObserver(o Observer) Option { return func(s *Server) { s.observer = o } }

// WithNotifier sets how other nodes learn that their generations go on here.
func WithNotifier(n ResumeNotifier) Option { return func(s *Server) { s.notifier = n } }

// WithEngines sets how clients for engines are made.
func WithEngines(fn func(netip.AddrPort) *engine.Client) Option {
	return func(s *Server) { s.engines = fn }
}

// Dependencies are the decisions that a Server needs.
type Dependencies struct {
	Config     ConfigSource
	Dispatcher Dispatcher
	Ledger     Ledger
	Entries    EntryList
}

// New returns a server of the named node. Streams that run when end is done are ended with an error that
// tells the caller to resume.
func New(end context.Context, node string, parts Dependencies, opts ...Option) *Server {
	s := &Server{
		node:       node,
		config:     parts.Config,
		dispatcher: parts.Dispatcher,
		ledger:     parts.Ledger,
		entries:    parts.Entries,
		limits:     DefaultLimits(),
		log:        log.Log,
		observer:   discardObserver{},
		notifier:   discardNotifier{},
		end:        end,
	}
	clients := newEngineClients()
	s.engines = clients.forAddr
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Handler returns the routes for callers.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.boundBody)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &apiError{status: http.StatusNotFound, kind: kindInvalid, code: "unknownPath", message: "path " + r.URL.Path + " is not served", notRun: true})
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &apiError{status: http.StatusMethodNotAllowed, kind: kindInvalid, code: "unknownMethod", message: "method " + r.Method + " is not served at " + r.URL.Path, notRun: true})
	})
	r.Get("/v1/entries", s.getEntries)
	r.Group(func(r chi.Router) {
		r.Use(s.bound)
		r.Get("/v1/models", s.authenticated(s.getModels))
		r.Post("/v1/chat/completions", s.authenticated(s.postChat))
		r.Post("/v1/completions", s.authenticated(s.postCompletion))
		r.Post("/v1/ferry/resume", s.authenticatedHeld(s.postResume))
		r.HandleFunc("/services/*", s.authenticated(s.callService))
	})
	return r
}

// Bounds the time for a body to arrive. It holds for handlers that do not read the body too, since the HTTP
// server reads what they leave before it sends their answer.
func (s *Server) boundBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.limits.BodyTimeout)) // not every writer of a test can
		next.ServeHTTP(w, r)
	})
}

// Refuses requests beyond the node's own limit before anything is read of them.
func (s *Server) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer s.inHand.Add(-1)
		if n := s.inHand.Add(1); n > int64(s.limits.MaxConcurrent) {
			writeError(w, fromRefusal(&Refusal{Reason: ReasonOverloaded, Message: "node has as many requests in hand as it takes", NotRun: true, RetryAfter: time.Second}))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int { return int(s.inHand.Load()) }

// ResumedStreams returns the number of streams that callers have resumed at this node, by the ID of their backend server,
// for servers that have some. The dispatcher does not count them.
func (s *Server) ResumedStreams() map[string]int { return s.taken.byServer() }

// StopRelay gives up a generation that goes on at another node: its stream ends here without a cancellation.
func (s *Server) StopRelay(generation string) { s.active.release(generation) }

type discardObserver struct{}

func (discardObserver) RecordRequest(Class, string, string)           {}
func (discardObserver) RecordFirstToken(Class, string, time.Duration) {}
func (discardObserver) RecordTokenGap(Class, string, time.Duration)   {}

type discardNotifier struct{}

func (discardNotifier) NotifyResumed(context.Context, string, string) {}

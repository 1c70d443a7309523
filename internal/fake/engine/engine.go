// Package engine provides an emulated model engine that serves the wire format of package edge/engine.
//
// An Engine batches continuously: each decode step generates one token for every stream in the batch, and takes
// longer the larger the batch is. Its token memory is limited, so streams are preempted and recomputed later. It
// caches prompt prefixes. While it is cold it has a small capacity, and crashes when overloaded. It reports its load
// with a lag, and publishes cache events late and with gaps.
//
// Options set these properties. Methods of Engine change faults while it runs, and directives in a prompt set the
// length of the answer or crash the engine.
package engine

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/bundle"
)

// Counters are totals since New, over all boots.
type Counters struct {
	Started       int           `json:"started"`       // generations accepted
	DoubleStarted int           `json:"doubleStarted"` // requests to start a generation that had already started
	Refused       int           `json:"refused"`       // requests refused without running
	Finished      int           `json:"finished"`
	Canceled      int           `json:"canceled"` // by the caller, or because nobody read them
	Resumed       int           `json:"resumed"`  // requests to resume a stream
	Tokens        int           `json:"tokens"`   // tokens generated
	Preemptions   int           `json:"preemptions"`
	Stall         time.Duration `json:"stall"` // total time from preemptions to the next token
	Crashes       int           `json:"crashes"`
	ColdOverloads int           `json:"coldOverloads"` // crashes because a cold engine had more streams than its capacity
	Orders        int           `json:"orders"`        // orders accepted
	StaleOrders   int           `json:"staleOrders"`   // orders accepted with an old fencing number
}

// Engine is one emulated engine. It is an http.Handler, safe for concurrent use.
type Engine struct {
	cfg    config // set only by New
	router chi.Router

	mu           sync.Mutex
	ctx          context.Context       // ends the engine; set by Start; guarded by mu
	boot         *boot                 // nil while down; guarded by mu
	boots        int                   // guarded by mu
	addr         netip.AddrPort        // that Listen listens on; guarded by mu
	server       *http.Server          // nil while not listening; guarded by mu
	counters     Counters              // guarded by mu
	started      map[string]bool       // generations accepted since New; guarded by mu
	prompts      map[uint64]int        // number of starts by TextSeed of the prompt; guarded by mu
	starts       []Start               // the last maxStarts, oldest first; guarded by mu
	models       []bundle.ModelVersion // loaded; empty means all; guarded by mu
	fence        uint64                // highest fencing number seen; guarded by mu
	badVersions  []BadVersion          // guarded by mu
	misbehaviour Misbehaviour          // guarded by mu
	leaving      bool                  // guarded by mu
	cacheSeq     uint64                // guarded by mu
}

// New returns an engine that stays down until Start or Listen.
func New(opts ...Option) *Engine {
	e := &Engine{cfg: defaultConfig(), started: make(map[string]bool), prompts: make(map[uint64]int)}
	for _, opt := range opts {
		opt(e)
	}
	e.router = e.routes()
	return e
}

// Start boots the engine, which runs until ctx ends.
func (e *Engine) Start(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ctx = ctx
	e.bootUp()
}

// Listen boots the engine, serves it on addr until ctx ends and returns the address that it listens on. While the
// engine is down, connections to the address are refused.
func (e *Engine) Listen(ctx context.Context, addr netip.AddrPort) (netip.AddrPort, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("engine %s: %w", e.cfg.id, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ctx = ctx
	e.addr = l.Addr().(*net.TCPAddr).AddrPort()
	e.bootUp()
	e.serve(l)
	context.AfterFunc(ctx, e.Kill)
	return e.addr, nil
}

// Counters returns the totals.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// Start records the start of one generation.
type Start struct {
	At     time.Time
	Model  bundle.ModelVersion
	Failed bool // a bad version failed it
}

// maxStarts is the number of starts that an engine keeps.
const maxStarts = 100_000

// Starts returns the starts after t, oldest first. Only the last maxStarts are kept.
func (e *Engine) Starts(t time.Time) []Start {
	e.mu.Lock()
	defer e.mu.Unlock()
	i, _ := slices.BinarySearchFunc(e.starts, t, func(s Start, t time.Time) int {
		if s.At.After(t) {
			return 1
		}
		return -1
	})
	return slices.Clone(e.starts[i:])
}

// recordStart records a start. The caller holds e.mu.
func (e *Engine) recordStart(model bundle.ModelVersion, prompt uint64, failed bool) {
	e.prompts[prompt]++
	e.starts = append(e.starts[max(0, len(e.starts)+1-maxStarts):], Start{At: time.Now(), Model: model, Failed: failed})
}

// StartsByPrompt returns the number of starts of each prompt by its TextSeed.
func (e *Engine) StartsByPrompt() map[uint64]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.prompts)
}

// Capacity returns the number of streams above which the engine is overloaded now, zero while it is down.
func (e *Engine) Capacity() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == nil {
		return 0
	}
	return e.capacity(e.boot)
}

// Kill stops the engine immediately. All connections are dropped and all generations are lost. The engine stays
// down until Restart.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shutDown()
}

// Restart boots the engine with a new boot ID. If the engine runs, Restart kills it first.
func (e *Engine) Restart() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shutDown()
	if e.ctx == nil || e.ctx.Err() != nil {
		return fmt.Errorf("engine %s: its context has ended", e.cfg.id)
	}
	if e.addr.IsValid() {
		var lc net.ListenConfig
		l, err := lc.Listen(e.ctx, "tcp", e.addr.String())
		if err != nil {
			return fmt.Errorf("engine %s: %w", e.cfg.id, err)
		}
		e.serve(l)
	}
	e.bootUp()
	return nil
}

// TurnCold makes a running engine cold without a new boot ID. The streams that it has then, and those that arrive
// within coldDetectionDelay, don't overload it.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != nil {
		e.boot.decodeTime = 0
		e.boot.overloadedSince = time.Time{}
		e.boot.exempt = e.boot.streams()
		e.boot.exemptUntil = time.Now().Add(coldDetectionDelay)
	}
}

// bootUp starts a boot. The caller holds e.mu.
func (e *Engine) bootUp() {
	e.boots++
	e.cacheSeq += cacheSeqJump
	ctx, cancel := context.WithCancel(e.ctx)
	e.boot = &boot{
		id:          fmt.Sprintf("%s-boot-%d", e.cfg.id, e.boots),
		ctx:         ctx,
		cancel:      cancel,
		startedAt:   time.Now(),
		wake:        make(chan struct{}, 1),
		generations: make(map[string]*generation),
		cache:       newPrefixCache(e.cfg.cacheTokens),
		cacheWake:   make(chan struct{}),
	}
	go e.decode(e.boot)
	if e.cfg.loadLag > 0 {
		go e.sampleLoad(e.boot)
	}
}

// serve serves connections from l until the engine goes down. The caller holds e.mu.
func (e *Engine) serve(l net.Listener) {
	e.server = &http.Server{Handler: e}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server) // returns after the Close in shutDown
}

// shutDown drops all state of the boot and all connections. The caller holds e.mu.
func (e *Engine) shutDown() {
	if e.boot != nil {
		e.boot.cancel()
		e.boot = nil
	}
	if e.server != nil {
		_ = e.server.Close()
		e.server = nil
	}
}

// crash crashes the engine and schedules its restart. The caller holds e.mu.
func (e *Engine) crash() {
	e.counters.Crashes++
	e.shutDown()
	if e.cfg.restartAfter > 0 {
		go e.restartAfterCrash(e.boots)
	}
}

// restartAfterCrash restarts the engine after a crash unless it was restarted otherwise. It retries while the port is
// in use.
func (e *Engine) restartAfterCrash(boots int) {
	e.mu.Lock()
	ctx := e.ctx
	e.mu.Unlock()
	for {
		if !pause.For(ctx, e.cfg.restartAfter) {
			return
		}
		e.mu.Lock()
		restarted := e.boots != boots || e.boot != nil
		e.mu.Unlock()
		if restarted || e.Restart() == nil {
			return
		}
	}
}

// servesModel reports whether the engine serves a model version. The caller holds e.mu.
func (e *Engine) servesModel(model bundle.ModelVersion) bool {
	return len(e.models) == 0 || slices.Contains(e.models, model)
}

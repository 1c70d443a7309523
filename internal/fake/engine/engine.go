// Package engine is a stand-in for a model engine.
//
// It batches continuously: each decode step gives one token to every stream in the batch and takes longer the
// larger the batch is. Its token memory is limited, so that streams are preempted in the middle and computed
// again later. It caches prompt prefixes, starts cold and falls over when loaded beyond what it bears, reports
// its load with a lag, and publishes cache events late and with gaps. It serves the wire format of package
// edge/engine.
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

// This file defines the life of an engine: starts, crashes and counters.

// Counters are totals since New, over all boots.
type Counters struct {
	Started       int           `json:"started"`       // generations accepted
	DoubleStarted int           `json:"doubleStarted"` // requests to start a generation that was started before
	Refused       int           `json:"refused"`       // requests refused as not run
	Finished      int           `json:"finished"`
	Canceled      int           `json:"canceled"` // by the caller, or for want of a reader
	Resumed       int           `json:"resumed"`  // streams resumed
	Tokens        int           `json:"tokens"`   // tokens made
	Preemptions   int           `json:"preemptions"`
	Stall         time.Duration `json:"stall"` // from preemptions to the next token, summed
	Crashes       int           `json:"crashes"`
	ColdOverloads int           `json:"coldOverloads"` // crashes for more streams than a cold engine bears
	Orders        int           `json:"orders"`        // orders carried out
	StaleOrders   int           `json:"staleOrders"`   // of these, with an old fencing number
}

// Engine is one emulated engine. It is an http.Handler, safe for concurrent use.
type Engine struct {
	cfg    config // set by New only
	router chi.Router

	mu           sync.Mutex
	ctx          context.Context // ends the engine; set by Start; guarded by mu
	boot         *boot           // nil while down; guarded by mu
	boots        int             // guarded by mu
	addr         netip.AddrPort  // where Listen serves; guarded by mu
	server       *http.Server    // nil while not listening; guarded by mu
	counters     Counters        // guarded by mu
	started      map[string]bool // generations ever accepted; guarded by mu
	prompts      map[uint64]int  // starts by TextSeed of the prompt; guarded by mu
	starts       []Start         // the last maxStarts; guarded by mu
	models       []bundle.ModelVersion
	fence        uint64       // highest seen; guarded by mu
	bad          []BadVersion // guarded by mu
	misbehaviour Misbehaviour // guarded by mu
	leaving      bool         // guarded by mu
	cacheSeq     uint64       // guarded by mu
}

// New returns an engine that is down until Start or Listen.
func New(opts ...Option) *Engine {
	e := &Engine{cfg: defaultConfig(), started: make(map[string]bool), prompts: make(map[uint64]int)}
	for _, opt := range opts {
		opt(e)
	}
	e.router = e.routes()
	return e
}

// Start boots the engine. It runs until ctx ends.
func (e *Engine) Start(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ctx = ctx
	e.bootUp()
}

// Listen boots the engine and serves it on addr until ctx ends, and returns the address in use. While the
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

// Start is a generation that the engine accepted.
type Start struct {
	At     time.Time
	Model  bundle.ModelVersion
	Failed bool // a bad version answered with an error
}

const maxStarts = 100_000

// Starts returns the generations accepted after t, in order. Only the last hundred thousand are known.
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

// Records a start. The caller holds e.mu.
func (e *Engine) recordStart(model bundle.ModelVersion, prompt uint64, failed bool) {
	e.prompts[prompt]++
	e.starts = append(e.starts[max(0, len(e.starts)+1-maxStarts):], Start{At: time.Now(), Model: model, Failed: failed})
}

// StartsByPrompt returns how often each prompt was started, by its TextSeed.
func (e *Engine) StartsByPrompt() map[uint64]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.prompts)
}

// Capacity returns how many streams the engine bears now, zero while it is down.
func (e *Engine) Capacity() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == nil {
		return 0
	}
	return e.bears(e.boot)
}

// Kill stops the engine at once: all connections are dropped and all generations are lost. It stays down
// until Restart.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shutDown()
}

// Restart boots a new instance with a new boot identity, killing the old one if it runs.
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

// TurnCold makes a running engine cold without a new boot identity. It bears the streams that it has then,
// and what comes within coldNotice, the time in which nobody can know.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != nil {
		e.boot.worked = 0
		e.boot.overSince = time.Time{}
		e.boot.exempt = e.boot.streams()
		e.boot.noticeUntil = time.Now().Add(coldNotice)
	}
}

// Starts a boot. The caller holds e.mu.
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
		go e.sample(e.boot)
	}
}

// Serves connections from l until the engine goes down. The caller holds e.mu.
func (e *Engine) serve(l net.Listener) {
	e.server = &http.Server{Handler: e}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server) // ends with the Close in shutDown
}

// Drops all state of the boot and all connections. The caller holds e.mu.
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

// Crashes the engine and arranges its return. The caller holds e.mu.
func (e *Engine) crash() {
	e.counters.Crashes++
	e.shutDown()
	if e.cfg.restartAfter > 0 {
		go e.comeBack(e.boots)
	}
}

// Restarts the engine after a crash, unless somebody else did, trying again while its port is taken.
func (e *Engine) comeBack(boots int) {
	e.mu.Lock()
	ctx := e.ctx
	e.mu.Unlock()
	for {
		if !pause.For(ctx, e.cfg.restartAfter) {
			return
		}
		e.mu.Lock()
		back := e.boots != boots || e.boot != nil
		e.mu.Unlock()
		if back || e.Restart() == nil {
			return
		}
	}
}

// Tells whether the engine serves a model version. The caller holds e.mu.
func (e *Engine) serves(model bundle.ModelVersion) bool {
	return len(e.models) == 0 || slices.Contains(e.models, model)
}

package engine

import (
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/engine"
)

// This file defines the options of an engine and what it is without any.

// Defaults of a new engine.
const (
	DefaultMemoryTokens   = 64 << 10
	DefaultCacheTokens    = 16 << 10
	DefaultMaxBatch       = 64
	DefaultMaxWaiting     = 128
	DefaultStepBase       = 10 * time.Millisecond
	DefaultStepPerStream  = 250 * time.Microsecond
	DefaultPrefillToken   = 20 * time.Microsecond
	DefaultRetention      = 30 * time.Second
	DefaultAbandonedAfter = 10 * time.Second
	DefaultRestartAfter   = 2 * time.Second
)

type config struct {
	id             string
	memoryTokens   int
	cacheTokens    int
	maxBatch       int
	maxWaiting     int
	stepBase       time.Duration
	stepPerStream  time.Duration
	prefillToken   time.Duration
	coldStreams    int           // zero means the engine starts warm
	warmUp         time.Duration // decoding time until warm
	overloadGrace  time.Duration // how long a cold engine stands more streams than it bears
	loadLag        time.Duration
	cacheDelay     time.Duration
	cacheGapEvery  int // each n-th cache event is never published
	keep           time.Duration
	abandonedAfter time.Duration
	restartAfter   time.Duration // zero means it stays down until Restart
	honoursFencing bool
	modelLoadTime  time.Duration
	lengthOf       func(engine.GenerateRequest) int
}

// Option changes an Engine.
type Option func(*Engine)

// WithID sets the name that boot identities begin with.
func WithID(id string) Option { return func(e *Engine) { e.cfg.id = id } }

// WithMemory sets the token memory shared by running streams, and the size of the prefix cache.
func WithMemory(memoryTokens, cacheTokens int) Option {
	return func(e *Engine) { e.cfg.memoryTokens, e.cfg.cacheTokens = memoryTokens, cacheTokens }
}

// WithBatch sets how many streams are decoded together and how many more may wait inside the engine.
func WithBatch(maxBatch, maxWaiting int) Option {
	return func(e *Engine) { e.cfg.maxBatch, e.cfg.maxWaiting = maxBatch, maxWaiting }
}

// WithStep sets the time of a decode step: base, plus perStream for each stream in the batch, plus
// prefillToken for each prompt token computed in it.
func WithStep(base, perStream, prefillToken time.Duration) Option {
	return func(e *Engine) {
		e.cfg.stepBase, e.cfg.stepPerStream, e.cfg.prefillToken = base, perStream, prefillToken
	}
}

// WithColdStart makes the engine start cold: it bears coldStreams at first, and what it bears grows to the full
// batch over warmUp of decoding time. With more streams than it bears for longer than grace it crashes.
func WithColdStart(coldStreams int, warmUp, grace time.Duration) Option {
	return func(e *Engine) {
		e.cfg.coldStreams, e.cfg.warmUp, e.cfg.overloadGrace = coldStreams, warmUp, grace
	}
}

// WithLoadLag makes load reports at least this old.
func WithLoadLag(lag time.Duration) Option { return func(e *Engine) { e.cfg.loadLag = lag } }

// WithCacheEvents delays cache events and leaves out each gapEvery-th one; zero leaves out none.
func WithCacheEvents(delay time.Duration, gapEvery int) Option {
	return func(e *Engine) { e.cfg.cacheDelay, e.cfg.cacheGapEvery = delay, gapEvery }
}

// WithRetention sets how long a finished generation can be resumed, and how long a running one goes on without
// a reader before it is canceled.
func WithRetention(finished, abandoned time.Duration) Option {
	return func(e *Engine) { e.cfg.keep, e.cfg.abandonedAfter = finished, abandoned }
}

// WithRestartAfter sets how long the engine stays down after a crash. Zero means until Restart is called.
func WithRestartAfter(d time.Duration) Option { return func(e *Engine) { e.cfg.restartAfter = d } }

// WithFencing makes the engine refuse orders with an old fencing number.
func WithFencing() Option { return func(e *Engine) { e.cfg.honoursFencing = true } }

// WithModels sets the versions loaded at the start, and how long an ordered load takes. An engine without any
// accepts every model and version.
func WithModels(loadTime time.Duration, models ...bundle.ModelVersion) Option {
	return func(e *Engine) { e.cfg.modelLoadTime, e.models = loadTime, models }
}

// WithLengthOf sets the length in tokens of the answer to a request. The default is that of Length.
func WithLengthOf(fn func(engine.GenerateRequest) int) Option {
	return func(e *Engine) { e.cfg.lengthOf = fn }
}

// WithBadVersions sets the bad versions from the start.
func WithBadVersions(bad ...BadVersion) Option { return func(e *Engine) { e.bad = bad } }

// WithMisbehaviour sets the misbehaviour from the start.
func WithMisbehaviour(m Misbehaviour) Option { return func(e *Engine) { e.misbehaviour = m } }

func defaultConfig() config {
	return config{
		id:             "engine",
		memoryTokens:   DefaultMemoryTokens,
		cacheTokens:    DefaultCacheTokens,
		maxBatch:       DefaultMaxBatch,
		maxWaiting:     DefaultMaxWaiting,
		stepBase:       DefaultStepBase,
		stepPerStream:  DefaultStepPerStream,
		prefillToken:   DefaultPrefillToken,
		keep:           DefaultRetention,
		abandonedAfter: DefaultAbandonedAfter,
		restartAfter:   DefaultRestartAfter,
		lengthOf:       func(req engine.GenerateRequest) int { return Length(req.Prompt) },
	}
}

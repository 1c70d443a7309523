// This file defines the options of an engine and their defaults.

package engine

import (
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/engine"
)

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
	coldStreams    int           // capacity of a cold engine; zero means the engine starts warm
	warmUp         time.Duration // decode time until warm
	overloadGrace  time.Duration // how long a cold engine can exceed its capacity before it crashes
	loadLag        time.Duration
	cacheDelay     time.Duration
	cacheGapEvery  int // every n-th cache event is not published; zero means none
	retention      time.Duration
	abandonedAfter time.Duration
	restartAfter   time.Duration // zero means the engine stays down until Restart
	honorsFencing  bool
	modelLoadTime  time.Duration
	lengthOf       func(engine.GenerateRequest) int
}

// Option configures an Engine.
type Option func(*Engine)

// WithID sets the prefix of boot IDs.
func WithID(id string) Option { return func(e *Engine) { e.cfg.id = id } }

// WithMemory sets the token memory shared by running streams, and the size of the prefix cache.
func WithMemory(memoryTokens, cacheTokens int) Option {
	return func(e *Engine) { e.cfg.memoryTokens, e.cfg.cacheTokens = memoryTokens, cacheTokens }
}

// WithBatch sets the maximum number of streams in the batch, and of streams that wait in the engine.
func WithBatch(maxBatch, maxWaiting int) Option {
	return func(e *Engine) { e.cfg.maxBatch, e.cfg.maxWaiting = maxBatch, maxWaiting }
}

// WithStep sets the duration of a decode step: base, plus perStream for each stream in the batch, plus prefillToken
// for each prompt token computed in the step.
func WithStep(base, perStream, prefillToken time.Duration) Option {
	return func(e *Engine) {
		e.cfg.stepBase, e.cfg.stepPerStream, e.cfg.prefillToken = base, perStream, prefillToken
	}
}

// WithColdStart makes the engine start cold. Its capacity is coldStreams at first and grows to the full batch over
// warmUp of decode time. A cold engine crashes if it exceeds its capacity for longer than grace.
func WithColdStart(coldStreams int, warmUp, grace time.Duration) Option {
	return func(e *Engine) {
		e.cfg.coldStreams, e.cfg.warmUp, e.cfg.overloadGrace = coldStreams, warmUp, grace
	}
}

// WithLoadLag sets the minimum age of load reports.
func WithLoadLag(lag time.Duration) Option { return func(e *Engine) { e.cfg.loadLag = lag } }

// WithCacheEvents delays cache events and omits every gapEvery-th one. If gapEvery is zero, it omits none.
func WithCacheEvents(delay time.Duration, gapEvery int) Option {
	return func(e *Engine) { e.cfg.cacheDelay, e.cfg.cacheGapEvery = delay, gapEvery }
}

// WithRetention sets how long a finished generation can be resumed, and how long a running one continues without a
// reader before it is canceled.
func WithRetention(finished, abandoned time.Duration) Option {
	return func(e *Engine) { e.cfg.retention, e.cfg.abandonedAfter = finished, abandoned }
}

// WithRestartAfter sets how long the engine stays down after a crash. Zero means until Restart.
func WithRestartAfter(d time.Duration) Option { return func(e *Engine) { e.cfg.restartAfter = d } }

// WithFencing makes the engine refuse orders with an old fencing number.
func WithFencing() Option { return func(e *Engine) { e.cfg.honorsFencing = true } }

// WithModels sets the versions that are loaded at the start, and the time that an ordered load takes. An engine
// without loaded versions accepts every model and version.
func WithModels(loadTime time.Duration, models ...bundle.ModelVersion) Option {
	return func(e *Engine) { e.cfg.modelLoadTime, e.models = loadTime, models }
}

// WithLengthOf sets the function that returns the length of the answer to a request in tokens. The default is Length
// of the prompt.
func WithLengthOf(fn func(engine.GenerateRequest) int) Option {
	return func(e *Engine) { e.cfg.lengthOf = fn }
}

// WithBadVersions sets the initial bad versions.
func WithBadVersions(bad ...BadVersion) Option { return func(e *Engine) { e.badVersions = bad } }

// WithMisbehaviour sets the initial misbehaviour.
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
		retention:      DefaultRetention,
		abandonedAfter: DefaultAbandonedAfter,
		restartAfter:   DefaultRestartAfter,
		lengthOf:       func(req engine.GenerateRequest) int { return Length(req.Prompt) },
	}
}

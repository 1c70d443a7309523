// Package engine speaks to model engines.
//
// An engine runs generations and streams their tokens, resumes a stream at an index, cancels, reports its
// load with a lag, publishes prefix-cache events with gaps, and takes orders to load models or change role.
// This package is the only one that knows the engines' wire format: JSON requests, and server-sent events
// for streams. A deployment whose engines speak otherwise changes this package alone.
package engine

import (
	"errors"
	"time"

	"ebonyferry/internal/core/bundle"
)

// This file defines the messages exchanged with an engine.

// Errors of engine calls, tested with errors.Is.
var (
	// ErrNotRun means the engine surely did not start the generation: no byte reached it, or it said so.
	ErrNotRun = errors.New("engine did not run the request")
	// ErrOverloaded comes with ErrNotRun: the engine refused for lack of room.
	ErrOverloaded = errors.New("engine is overloaded")
	// ErrUnknownGeneration means the engine does not hold the generation that was to be resumed.
	ErrUnknownGeneration = errors.New("engine does not hold this generation")
	// ErrFailed means that the engine answered with an error and did not say whether the request ran.
	ErrFailed = errors.New("engine failed the request")
	// ErrTruncated means the stream ended before the event that finishes it.
	ErrTruncated = errors.New("engine stream was cut")
	// ErrStaleFence means an order carried a fencing number older than one the engine has seen.
	ErrStaleFence = errors.New("engine has seen a newer fencing number")
)

// GenerateRequest asks for one generation.
type GenerateRequest struct {
	Generation string `json:"generation"` // chosen by the node, unique
	Model      string `json:"model"`
	Version    string `json:"version"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"maxTokens"`
	Priority   int    `json:"priority"` // higher goes first
	// Sampling holds the caller's sampling parameters, passed on as they came.
	Sampling *Sampling `json:"sampling,omitempty"`
}

// Sampling holds the sampling parameters of the usual completion protocol. A nil field was not given.
type Sampling struct {
	Temperature      *float64 `json:"temperature,omitempty"`
	TopP             *float64 `json:"topP,omitempty"`
	Seed             *int64   `json:"seed,omitempty"`
	Stop             []string `json:"stop,omitempty"`
	PresencePenalty  *float64 `json:"presencePenalty,omitempty"`
	FrequencyPenalty *float64 `json:"frequencyPenalty,omitempty"`
}

// Token is one event of a stream.
type Token struct {
	Generation string `json:"generation"`
	Index      int    `json:"index"` // from 0, without gaps
	Text       string `json:"text"`
	// Finished marks the last event. It carries no text; its Index is the count of tokens.
	Finished bool   `json:"finished,omitempty"`
	Reason   string `json:"reason,omitempty"` // "stop" or "length", on the last event
}

// Load is an engine's own report. It is older than its arrival by the engine's reporting lag.
type Load struct {
	BootID       string                `json:"bootId"` // changes at every start
	SampledAt    time.Time             `json:"sampledAt"`
	Running      int                   `json:"running"` // streams being decoded
	Waiting      int                   `json:"waiting"` // streams queued inside the engine
	UsedTokens   int                   `json:"usedTokens"`
	MemoryTokens int                   `json:"memoryTokens"`
	Preemptions  int                   `json:"preemptions"` // since boot
	Leaving      bool                  `json:"leaving,omitempty"`
	Models       []bundle.ModelVersion `json:"models"` // loaded now
}

// CacheEventKind tells what happened to a cached prefix.
type CacheEventKind string

// The kinds of cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is one change of an engine's prefix cache. A jump of Seq by more than one is a gap.
type CacheEvent struct {
	Seq    uint64         `json:"seq"`
	Kind   CacheEventKind `json:"kind"`
	Prefix uint64         `json:"prefix"` // PrefixHash of a block-aligned prompt prefix
	Tokens int            `json:"tokens"` // length of the prefix
}

// OrderKind is what an order asks an engine to be.
type OrderKind string

// The kinds of order. Each states the wanted end, so a repeated order is idempotent.
const (
	OrderServe  OrderKind = "serve"  // load Model at Version and serve it
	OrderUnload OrderKind = "unload" // stop serving Model at Version
)

// Order tells an engine what to serve.
type Order struct {
	Fence uint64              `json:"fence"` // never lower than the last one sent by this holder
	Kind  OrderKind           `json:"kind"`
	Model bundle.ModelVersion `json:"model"`
}

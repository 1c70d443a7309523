// Package engine provides a client for model engines.
//
// An engine runs generations and streams their tokens. It can resume a stream at an index and cancel a generation. It
// reports its load with a lag, publishes events of its prefix cache, possibly with gaps, and executes orders to load or
// unload models. A [Client] calls one engine; a [Stream] reads the tokens of one generation.
//
// Only this package depends on the engines' wire format, which is JSON, with server-sent events for streams. A
// deployment whose engines use another protocol changes only this package.
package engine

import (
	"errors"
	"time"

	"ebonyferry/internal/core/bundle"
)

// Errors of engine calls, to be tested with errors.Is.
var (
	// ErrNotRun means that the engine did not start the generation: no byte was sent to it, or it said so.
	ErrNotRun = errors.New("engine did not run the request")
	// ErrOverloaded accompanies ErrNotRun if the engine has no capacity left.
	ErrOverloaded = errors.New("engine is overloaded")
	// ErrUnknownGeneration means that the engine does not hold the generation.
	ErrUnknownGeneration = errors.New("engine does not hold this generation")
	// ErrFailed means that the engine answered with an error and did not say whether the request ran.
	ErrFailed = errors.New("engine failed the request")
	// ErrTruncated means that the stream ended before its final event.
	ErrTruncated = errors.New("engine stream was cut")
	// ErrStaleFence means that the engine has seen a newer fencing number than the order's.
	ErrStaleFence = errors.New("engine has seen a newer fencing number")
)

// GenerateRequest asks for one generation.
type GenerateRequest struct {
	Generation string `json:"generation"` // unique ID, chosen by the node
	Model      string `json:"model"`
	Version    string `json:"version"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"maxTokens"`
	Priority   int    `json:"priority"` // higher goes first
	// Sampling holds the caller's sampling parameters, unchanged.
	Sampling *Sampling `json:"sampling,omitempty"`
}

// Sampling holds the sampling parameters of the usual completion protocol. Fields that the caller did not set are nil.
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
	// Finished marks the final event. It has no text, and its Index is the number of tokens.
	Finished bool   `json:"finished,omitempty"`
	Reason   string `json:"reason,omitempty"` // "stop" or "length"; only in the final event
}

// Load is an engine's report of its load. It arrives after SampledAt by the engine's reporting lag.
type Load struct {
	BootID       string                `json:"bootId"` // changes at each start
	SampledAt    time.Time             `json:"sampledAt"`
	Running      int                   `json:"running"`      // streams being decoded
	Waiting      int                   `json:"waiting"`      // streams queued inside the engine
	UsedTokens   int                   `json:"usedTokens"`   // KV memory in use, in tokens
	MemoryTokens int                   `json:"memoryTokens"` // size of the KV memory, in tokens
	Preemptions  int                   `json:"preemptions"`  // since boot
	Leaving      bool                  `json:"leaving,omitempty"`
	Models       []bundle.ModelVersion `json:"models"` // currently loaded
}

// CacheEventKind is what happened to a cached prefix.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is one change of an engine's prefix cache. If Seq grows by more than one, events are missing.
type CacheEvent struct {
	Seq    uint64         `json:"seq"`
	Kind   CacheEventKind `json:"kind"`
	Prefix uint64         `json:"prefix"` // PrefixHash of a block-aligned prompt prefix
	Tokens int            `json:"tokens"` // length of the prefix
}

// OrderKind is what an order asks an engine to do.
type OrderKind string

// The kinds of orders. Each states the desired state, so orders are idempotent.
const (
	OrderServe  OrderKind = "serve"  // load Model at Version and serve it
	OrderUnload OrderKind = "unload" // stop serving Model at Version
)

// Order asks an engine to serve or unload a model.
type Order struct {
	Fence uint64              `json:"fence"` // fencing number; never less than the last one that this sender used
	Kind  OrderKind           `json:"kind"`
	Model bundle.ModelVersion `json:"model"`
}

package engine

// This file defines the wire format: paths, and the body of an error answer.

// Paths of an engine's HTTP interface.
const (
	PathGenerate    = "/generate"     // POST GenerateRequest, answers a stream of Token
	PathGenerations = "/generations/" // GET <generation>?index=N resumes, DELETE <generation> cancels
	PathLoad        = "/load"         // GET, answers Load
	PathCacheEvents = "/cache/events" // GET ?after=SEQ, waits for events, answers CacheEvents
	PathOrders      = "/orders"       // POST Order
)

// CacheEvents is the answer of PathCacheEvents. It is empty when none came during the wait.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// ErrorBody is the body of every answer that is not a success.
type ErrorBody struct {
	Message    string `json:"message"`
	NotRun     bool   `json:"notRun,omitempty"`     // the engine surely did not start the generation
	Overloaded bool   `json:"overloaded,omitempty"` // refused for lack of room
	StaleFence bool   `json:"staleFence,omitempty"` // the order's fencing number is old
}

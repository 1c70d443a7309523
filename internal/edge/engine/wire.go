// This file defines the wire format: the paths, and the messages that are not part of the client's API.

package engine

// Paths of an engine's HTTP interface.
const (
	PathGenerate    = "/generate"     // POST GenerateRequest, returns a stream of Token
	PathGenerations = "/generations/" // GET <generation>?index=N resumes, DELETE <generation> cancels
	PathLoad        = "/load"         // GET, returns Load
	PathCacheEvents = "/cache/events" // GET ?after=SEQ, waits for events, returns CacheEvents
	PathOrders      = "/orders"       // POST Order
)

// CacheEvents is the answer to a GET of PathCacheEvents. It is empty if no event occurred during the wait.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// ErrorBody is the body of unsuccessful answers.
type ErrorBody struct {
	Message    string `json:"message"`
	NotRun     bool   `json:"notRun,omitempty"`     // the engine did not start the generation
	Overloaded bool   `json:"overloaded,omitempty"` // the engine has no capacity left
	StaleFence bool   `json:"staleFence,omitempty"` // the engine has seen a newer fencing number
}

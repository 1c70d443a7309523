// Package slice decides how the budget of a backend server is split among the nodes that use it.
//
// A budget is leased in slices, as in Google's Doorman: the server's Owner gives each Holder a part with an
// expiry, and moves parts towards demand whenever a holder asks. The invariant is that the slices that any
// process may still use never sum above the limit. It rests on these rules:
//
//   - A holder counts its expiry from the moment before it asked, with a margin, the owner from the moment it
//     granted. So a holder stops first, also when it was paused or the answer came late.
//   - The owner counts for each holder the largest amount that the holder may have, until the holder has
//     confirmed a smaller one or the expiry has passed.
//   - Each owner has a term, taken by compare-and-swap of a Record in the store, which lists all processes
//     that may hold a slice. A holder follows the highest term that it has seen.
//   - An owner is confirmed while its lease surely holds and it has written its record since it registered.
//     Only a confirmed owner frees slices because time has passed or a process has ended. A term is taken only
//     from an owner that has released it or ended, or whose lease the store no longer holds: one that is not
//     confirmed, and cannot be again since its record has changed.
//   - An owner that is not confirmed may go on for the time Hold: it renews and moves slices, and frees only
//     what holders gave back. Its grants last until Hold ends, so they outlive its death in a store outage.
//   - The next owner may grant what holders bring over: a holder that follows the new term is counted by the
//     old owner for ever, so what it holds belongs to the new one. The whole limit is free once every process
//     in the record has come over, is known to have ended, or Hold has passed.
package slice

import "time"

// Amount is a part of a server's capacity.
type Amount struct {
	Streams int `json:"streams"`
	Tokens  int `json:"tokens"` // of engine memory
}

func (a Amount) plus(b Amount) Amount  { return Amount{a.Streams + b.Streams, a.Tokens + b.Tokens} }
func (a Amount) minus(b Amount) Amount { return Amount{a.Streams - b.Streams, a.Tokens - b.Tokens} }

func smaller(a, b Amount) Amount {
	return Amount{min(a.Streams, b.Streams), min(a.Tokens, b.Tokens)}
}

func larger(a, b Amount) Amount {
	return Amount{max(a.Streams, b.Streams), max(a.Tokens, b.Tokens)}
}

// Term numbers the owners of one server. Zero means none.
type Term uint64

// Process names one process: a node from one start to the next. A node that registers again after its lease
// lapsed is the same process, and still holds what it held.
type Process struct {
	Name  string `json:"name"`  // of the node
	Epoch uint64 `json:"epoch"` // of the node when the process registered first; a later process has a greater one
}

// Record is what the store keeps of a server's owner.
type Record struct {
	Term    Term      `json:"term"`
	Owner   Process   `json:"owner"`
	Holders []Process `json:"holders"` // every process that may hold a slice of this or an earlier term
	Nonce   string    `json:"nonce"`   // recognises one's own write
}

// Timing are the times of the protocol, the same at all nodes.
type Timing struct {
	TTL    time.Duration // of a slice granted by a confirmed owner
	Margin time.Duration // by which a holder stops before its expiry; exceeds what clocks drift apart in Hold
	Grace  time.Duration // how long an owner may go on that is not confirmed
}

// DefaultTiming lets slices outlast the lease of a dead owner, so that its successor finds them in use.
var DefaultTiming = Timing{TTL: 20 * time.Second, Margin: 500 * time.Millisecond, Grace: time.Hour}

// Request is what a holder tells the owner of one server.
type Request struct {
	Term Term   `json:"term"` // that the holder follows
	Seq  uint64 `json:"seq"`  // of the last grant that it took, in this term
	Want Amount `json:"want"` // present demand
	// Limit is the number of streams that the holder's evidence suggests for the whole server; zero for none.
	Limit int `json:"limit,omitempty"`
}

// Grant is what the owner tells a holder of one server.
type Grant struct {
	Term   Term   `json:"term"`
	Seq    uint64 `json:"seq"` // grows with each grant to the holder in this term
	Amount Amount `json:"amount"`
	Limit  int    `json:"limit"` // streams of the whole server at present
	// TTL counts from the moment before the holder asked. A grant that was not asked for has none: it only
	// lowers the amount.
	TTL time.Duration `json:"ttl,omitempty"` // nanoseconds
}

// Held is what a holder brings to a new term.
type Held struct {
	Amount    Amount        `json:"amount"`
	Remaining time.Duration `json:"remaining"` // nanoseconds until it expires at the latest
	Limit     int           `json:"limit"`     // as the last grant gave it; zero when unknown
}

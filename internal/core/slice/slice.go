// Package slice decides how the budget of a backend server is split among the nodes that use it.
//
// A budget is leased in slices, as in Google's Doorman. One node is the Owner of the server. It grants each Holder a
// slice, an amount with an expiry, and moves capacity towards demand whenever a holder sends a request. The invariant
// is that the slices that processes may still use never sum above the limit. It follows from these rules:
//
//   - A holder counts the expiry from before it sent the request, and subtracts a margin; the owner counts it from the
//     grant. So the holder stops first, even if it was paused or the answer arrived late.
//   - The owner counts for each holder the largest amount that the holder may have, until the holder has confirmed a
//     smaller amount or the slice has expired.
//   - Each owner has a term. It takes the term by compare-and-swap of a Record in the store, which lists all processes
//     that may hold a slice. A holder follows the highest term that it has seen and refuses grants of earlier terms.
//   - An owner is confirmed while its lease is certainly valid and it has written its record since it registered. Only
//     a confirmed owner frees slices because they expired or a process ended. A node takes a term only from an owner
//     that has released it or ended, or whose lease in the store has expired. Such an owner is not confirmed, and
//     cannot be confirmed again because its record has changed.
//   - An owner that is not confirmed may continue for a grace period (Timing.Grace). It renews and moves slices, but
//     frees only what holders have returned. Its grants last until the grace period ends, so they outlive an owner that
//     fails during a store outage.
//   - The next owner may grant what holders carry over. The previous owner never frees the slice of a holder that
//     follows the new term, so that capacity belongs to the new owner. The whole limit is available once each process in
//     the record has carried over its slice or is known to have ended, or once the grace period and the slices granted
//     in it have certainly passed.
//
// A node takes a term with NextStep, SuccessorRecord and StartTerm. The Owner then answers each Request of a Holder with
// a Grant, and sends Reductions to holders that have more than their target.
package slice

import "time"

// Amount is an amount of a server's capacity.
type Amount struct {
	Streams int `json:"streams"`
	Tokens  int `json:"tokens"` // of engine memory
}

func (a Amount) plus(b Amount) Amount  { return Amount{a.Streams + b.Streams, a.Tokens + b.Tokens} }
func (a Amount) minus(b Amount) Amount { return Amount{a.Streams - b.Streams, a.Tokens - b.Tokens} }

// minAmount returns the minimum of a and b in each dimension.
func minAmount(a, b Amount) Amount {
	return Amount{min(a.Streams, b.Streams), min(a.Tokens, b.Tokens)}
}

// maxAmount returns the maximum of a and b in each dimension.
func maxAmount(a, b Amount) Amount {
	return Amount{max(a.Streams, b.Streams), max(a.Tokens, b.Tokens)}
}

// Term is the number of a period in which one node owns a server; each owner has a higher one than the last. Zero means
// none.
type Term uint64

// Process identifies one process: a node from one start to the next. A node that registers again after its lease
// expired is still the same process, and keeps its slices.
type Process struct {
	Name  string `json:"name"`  // of the node
	Epoch uint64 `json:"epoch"` // of the process's first registration; later processes of the node have greater epochs
}

// Record is the store's entry about the owner of a server.
type Record struct {
	Term    Term      `json:"term"`
	Owner   Process   `json:"owner"`
	Holders []Process `json:"holders"` // every process that may hold a slice of this or an earlier term
	Nonce   string    `json:"nonce"`   // identifies the write, so that its author recognizes it
}

// Timing holds the durations of the protocol. They must be the same at all nodes.
type Timing struct {
	TTL    time.Duration // of a slice granted by a confirmed owner
	Margin time.Duration // by which a holder stops before the expiry; exceeds the drift between clocks during Grace
	Grace  time.Duration // how long an owner may continue without confirmation
}

// DefaultTiming is the default timing. Its slices outlast the lease of a failed owner, so they are still in use when its
// successor takes over.
var DefaultTiming = Timing{TTL: 20 * time.Second, Margin: 500 * time.Millisecond, Grace: time.Hour}

// Request is a holder's request to the owner of one server.
type Request struct {
	Term Term   `json:"term"` // that the holder follows
	Seq  uint64 `json:"seq"`  // of the last grant that the holder accepted in this term
	Want Amount `json:"want"` // current demand
	// Limit is the limit in streams that the holder's evidence suggests for the whole server; zero for none.
	Limit int `json:"limit,omitempty"`
}

// Grant is a slice that the owner of one server grants to a holder.
type Grant struct {
	Term   Term   `json:"term"`
	Seq    uint64 `json:"seq"` // grows with each grant to the holder in this term
	Amount Amount `json:"amount"`
	Limit  int    `json:"limit"` // current limit of the whole server, in streams
	// TTL counts from before the holder sent the request. It is zero in a Reduction, which only lowers the amount.
	TTL time.Duration `json:"ttl,omitempty"` // nanoseconds
}

// Held is the slice that a holder carries over to a new term.
type Held struct {
	Amount    Amount        `json:"amount"`
	Remaining time.Duration `json:"remaining"` // nanoseconds until it expires at the latest
	Limit     int           `json:"limit"`     // of the server in streams, by the last grant; zero if unknown
}

package slice

import "time"

// Holder is a node's slice of one server. It is not safe for concurrent use. The zero value holds nothing.
type Holder struct {
	Term   Term // highest term seen; grants of earlier terms are refused
	Seq    uint64
	Amount Amount
	Limit  int       // streams of the whole server, by the last grant
	Expiry time.Time // the amount may be used until then
}

// Usable returns what the node may use of the server at now, by its own monotonic clock.
func (h *Holder) Usable(now time.Time) Amount {
	if !now.Before(h.Expiry) {
		return Amount{}
	}
	return h.Amount
}

// Accept applies a grant that answers a request sent at sentAt. It reports whether it accepted the grant.
func (h *Holder) Accept(g Grant, sentAt time.Time, timing Timing) bool {
	if !h.newer(g) {
		return false
	}
	h.Term, h.Seq, h.Amount, h.Limit = g.Term, g.Seq, g.Amount, g.Limit
	h.Expiry = sentAt.Add(g.TTL - timing.Margin)
	return true
}

// Reduce applies a grant that the holder has not requested. It reports whether it accepted the grant.
func (h *Holder) Reduce(g Grant) bool {
	if g.Term != h.Term || !h.newer(g) {
		return false
	}
	h.Seq, h.Amount, h.Limit = g.Seq, minAmount(h.Amount, g.Amount), g.Limit
	return true
}

// newer reports whether a grant is later than the last accepted one.
func (h *Holder) newer(g Grant) bool {
	return g.Term > h.Term || g.Term == h.Term && g.Seq > h.Seq
}

// Follow promises to refuse grants of terms before term, and returns the slice that the holder carries over. It reports
// false if the holder already follows a later term.
func (h *Holder) Follow(term Term, now time.Time) (Held, bool) {
	if term < h.Term {
		return Held{}, false
	}
	if term > h.Term {
		h.Term, h.Seq = term, 0
	}
	held := Held{Amount: h.Usable(now), Limit: h.Limit}
	if held.Amount != (Amount{}) {
		held.Remaining = h.Expiry.Sub(now)
	}
	return held, true
}

// Request returns a request for the amount want. A positive limit is the suggested limit of the whole server.
func (h *Holder) Request(want Amount, limit int) Request {
	return Request{Term: h.Term, Seq: h.Seq, Want: want, Limit: limit}
}

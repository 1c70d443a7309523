package slice

import "time"

// Holder is a node's slice of one server. It has one owner; the zero value holds nothing.
type Holder struct {
	Term   Term // highest term seen; grants of earlier ones are refused
	Seq    uint64
	Amount Amount
	Limit  int       // of the whole server, as the last grant gave it
	Expiry time.Time // the amount may be used before then
}

// Usable returns what the node may use of the server at now, by its own monotonic clock.
func (h *Holder) Usable(now time.Time) Amount {
	if !now.Before(h.Expiry) {
		return Amount{}
	}
	return h.Amount
}

// Take applies a grant that answers a request made at asked. It reports whether the grant was taken.
func (h *Holder) Accept(g Grant, asked time.Time, timing Timing) bool {
	if !h.newer(g) {
		return false
	}
	h.Term, h.Seq, h.Amount, h.Limit = g.Term, g.Seq, g.Amount, g.Limit
	h.Expiry = asked.Add(g.TTL - timing.Margin)
	return true
}

// Lower applies a grant that was not asked for. It reports whether the grant was taken.
func (h *Holder) Reduce(g Grant) bool {
	if g.Term != h.Term || !h.newer(g) {
		return false
	}
	h.Seq, h.Amount, h.Limit = g.Seq, smaller(h.Amount, g.Amount), g.Limit
	return true
}

func (h *Holder) newer(g Grant) bool {
	return g.Term > h.Term || g.Term == h.Term && g.Seq > h.Seq
}

// Follow promises to refuse grants of terms before term, and returns what the holder brings over. It reports
// false when the holder follows a later term.
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

// Request returns what the holder asks for.
func (h *Holder) Request(want Amount, limit int) Request {
	return Request{Term: h.Term, Seq: h.Seq, Want: want, Limit: limit}
}

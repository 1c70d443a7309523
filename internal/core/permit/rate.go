package permit

import "time"

// Rate is the rate of requests that a server last named in its answers. The zero value is of a server that has named none.
type Rate struct {
	PerSecond float64   // accepted requests per second from all nodes together; 0 if the server names no limit
	SentAt    time.Time // when the request was sent whose answer named the rate
	HeardAt   time.Time // when that answer arrived; not before SentAt
}

// Limited reports whether the server limits its rate.
func (r *Rate) Limited() bool { return r.PerSecond > 0 }

// Observe records the rate that an answer names, or zero if it names none, and reports whether the rate changed. Answers
// overtake each other. An answer without a rate therefore ends the limit only if its request was sent after the last answer
// that named one had arrived.
func (r *Rate) Observe(o Rate) bool {
	switch {
	case o.PerSecond <= 0 && (!r.Limited() || !o.SentAt.After(r.HeardAt)):
		return false
	case o.PerSecond > 0 && r.Limited() && o.SentAt.Before(r.SentAt):
		return false
	case o.PerSecond > 0 && !r.Limited() && !o.HeardAt.After(r.SentAt):
		return false // another node reports what the server said before
	}
	changed := o.PerSecond != r.PerSecond
	*r = o
	return changed
}

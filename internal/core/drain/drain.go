// Package drain decides which requests a node that stops still accepts, and until when.
//
// Callers hold the address of a stopping node for some seconds, so that it still receives requests. A request that it refuses costs its caller
// a retry at another node, almost immediately. A request that it accepts and cannot answer before it ends is worse off: it may have run, so a
// caller may be unable to send it again. A call is therefore accepted if it will be answered in time: because its deadline lies before the
// end of the drain, or because calls of its route take less than the time that is left. Streams that arrive during the drain are refused, and
// those that waited before are still served if their deadline lies before its end.
//
// The load that it answers: calls of milliseconds that arrive until the end of the drain, on routes whose timeout is longer than the
// drain, beside calls that take seconds.
package drain

import "time"

// Window is the time of a planned stop. No answer can be sent after End.
type Window struct{ Start, End time.Time }

// Request is what is known of a request that has not been sent to a server.
type Request struct {
	Stream   bool          // how long it takes is not known
	Arrived  time.Time     // it has waited since then
	Deadline time.Time     // it has a final answer by then
	Takes    time.Duration // how long it is expected to take from now on; ignored for a stream
}

// Accepts reports whether a request may still be sent to a server.
func (w Window) Accepts(r Request, now time.Time) bool {
	if r.Stream {
		return r.Arrived.Before(w.Start) && r.Deadline.Before(w.End)
	}
	return r.Deadline.Before(w.End) || now.Add(r.Takes).Before(w.End)
}

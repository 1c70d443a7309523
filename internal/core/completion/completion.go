// Package completion decides whether a stream of a backend server is whole.
//
// A server marks the end of a stream with a last chunk or by a length, or the stream ends with its connection. The orderly close of a
// connection is no mark: a server also closes the stream of a run that it stops on request, and a process that ends closes all of its
// connections. Decide therefore weighs how the stream ended, the orders to stop its run, and whether the server still runs. It is
// the only place where a stream is found to be whole. A server's answer that it has no such run shows nothing, however close to the
// end: the run may have waited in the queue of a server that crashed just then. Package base/orderly makes sure that a reset does not
// reach Decide as an orderly close.
package completion

import "time"

// End is how a server's stream ended.
type End int

// The ends.
const (
	Broken End = iota // reset, cut short or unreadable
	Closed            // the server closed the connection in order, and nothing else marks the end
	Marked            // the server marked the end
)

var endNames = []string{Broken: "broken", Closed: "closed", Marked: "marked"}

// String implements fmt.Stringer.
func (e End) String() string { return endNames[e] }

// Stop is what is known of whether a server stopped a run on request.
type Stop int

// The states.
const (
	NotStopped   Stop = iota // no order was sent, or the server did not stop the run
	Pending                  // an order was sent, and its answer is awaited
	MaybeStopped             // the answer to an order is lost
	Stopped                  // the server stopped the run
)

var stopNames = []string{NotStopped: "notStopped", Pending: "pending", MaybeStopped: "maybeStopped", Stopped: "stopped"}

// String implements fmt.Stringer.
func (s Stop) String() string { return stopNames[s] }

// Server is what is known of a server since the end of its stream.
type Server int

// The states of a server.
const (
	NotAsked Server = iota
	Runs            // the process that served the stream still runs
	Gone            // the process has ended, or nothing reaches it
)

var serverNames = []string{NotAsked: "notAsked", Runs: "runs", Gone: "gone"}

// String implements fmt.Stringer.
func (s Server) String() string { return serverNames[s] }

// Action is what to do about a stream that ended.
type Action int

// The actions.
const (
	Complete   Action = iota // the stream is whole
	Continue                 // it is not, or may not be: continue the run, or break the answer off
	AwaitOrder               // decide again when an order is answered
	AskServer                // decide again when it is known whether the server runs
)

// Decide returns what to do about a stream that ended.
func Decide(end End, stop Stop, server Server) Action {
	switch {
	case end == Marked:
		return Complete
	case stop == Pending:
		return AwaitOrder
	case end == Broken || stop != NotStopped:
		return Continue
	case server == NotAsked:
		return AskServer
	case server == Runs:
		return Complete
	}
	return Continue
}

// Answer is a server's answer to an order to stop a run.
type Answer int

// The answers.
const (
	AnsweredStopped Answer = iota // the server stopped the run
	AnsweredNot                   // it did not, or the order did not reach it
	AnsweredNoRun                 // it has no such run: the run has ended, or waits in the server's queue
	AnswerLost                    // it may have stopped the run
)

const (
	// awakeTime is for how long events must arrive after an order whose answer is lost, until the server counts as one that did not stop the
	// run. A pause of more than maxEventPause begins this time anew: a server that stands still may read the order when it goes on.
	awakeTime     = time.Second
	maxEventPause = 300 * time.Millisecond
)

// Orders follows the orders to stop one run at one server. It is not safe for concurrent use.
type Orders struct {
	pending int
	stopped bool
	judging bool // the stream has closed, and its end is being judged
	over    bool // the stream is whole

	lostAt      time.Time // when the answer to an order was lost last; zero if the run goes on since
	lastEvent   time.Time
	steadySince time.Time // since when events arrive without a long pause
}

// Begin records that an order is about to be sent, and reports whether it may be. None may while the end of a stream that has closed is judged: its
// answer would say nothing of this end.
func (o *Orders) Begin() bool {
	if o.over || o.judging {
		return false
	}
	o.pending++
	return true
}

// Next returns the orders for the next stream of the run at the same server, which may yet read an order whose answer is lost.
func (o *Orders) Next() *Orders { return &Orders{lostAt: o.lostAt} }

// Event records that an event of the run arrived.
func (o *Orders) Event(now time.Time) {
	if now.Sub(o.lastEvent) > maxEventPause {
		o.steadySince = now
	}
	o.lastEvent = now
	if !o.lostAt.IsZero() && now.Sub(o.lostAt) > awakeTime && now.Sub(o.steadySince) > awakeTime {
		o.lostAt = time.Time{}
	}
}

// Answer records the answer to an order. A server that has no such run may have stopped it by an earlier order, so this takes no lost answer
// back.
func (o *Orders) Answer(a Answer, now time.Time) {
	o.pending--
	switch a {
	case AnsweredStopped:
		o.stopped = true
	case AnswerLost:
		o.lostAt = now
	}
}

// Stop returns what is known of the run.
func (o *Orders) Stop() Stop {
	switch {
	case o.stopped:
		return Stopped
	case o.pending > 0:
		return Pending
	case !o.lostAt.IsZero():
		return MaybeStopped
	}
	return NotStopped
}

// Decide is like the function of this name. No order may begin from the close of a stream on, unless the run is to continue.
func (o *Orders) Decide(end End, server Server) Action {
	action := Decide(end, o.Stop(), server)
	o.over = o.over || action == Complete
	o.judging = end == Closed && action != Continue
	return action
}

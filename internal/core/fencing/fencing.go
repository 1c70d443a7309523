// Package fencing decides whether a run may go on at a server.
//
// The request of a run is sent to one server after another, each of which goes on from the memory of the one before. Every server that was sent
// it may work on it until that server says that it does not, or cannot be reached: a lost answer and a closed connection say nothing, since a
// server may not learn of either. Run holds what is known of each of them, and the run may be sent to a server only while none of them holds it.
//
// A server that has no such run may have it in its queue and begin with it later, and nothing that it says excludes that. Such a server does not
// hold the run, since it might never begin, but it is asked again for as long as the run lasts, see Run.Queued.
package fencing

import "slices"

// State is what is known of a run at one server.
type State int

// The states.
const (
	None        State = iota // the server was not sent the run, or did not run it and never will
	Sent                     // the answer to the request is awaited or lost
	Working                  // the server works on it, as far as is known
	StopLost                 // the server was ordered to stop it, and the answer is lost
	Queued                   // the server has no such run: it has ended, or waits in the server's queue
	Stopped                  // the server has stopped it, and may keep its memory
	Withdrawn                // its connection is closed, and the server takes no orders
	Unreachable              // the server cannot be reached, or accepts connections and does not answer
)

var stateNames = []string{
	None: "none", Sent: "sent", Working: "working", StopLost: "stopLost", Queued: "queued", Stopped: "stopped", Withdrawn: "withdrawn",
	Unreachable: "unreachable",
}

// String implements fmt.Stringer.
func (s State) String() string { return stateNames[s] }

// holds reports whether a server in this state keeps the run from going on.
func (s State) holds() bool { return s == Sent || s == Working || s == StopLost }

// Event is what a node learns of a run at a server.
type Event int

// The events.
const (
	Accepted     Event = iota // the head of the stream arrived
	Refused                   // the server did not run the request, or the request did not reach it
	Progressed                // an event of the run arrived
	SaidStopped               // an order to stop was answered: the server has stopped the run
	SaidNoRun                 // an order was answered: the server has no such run
	LostOrder                 // the answer to an order is lost
	NotReached                // an order did not reach the server, or was not answered in time
	ClosedStream              // the server closed the stream in order
	GaveUpStream              // the node closed the stream of a server that takes no orders
)

// place is one server that was sent the run.
type place struct {
	server string
	state  State
	before State // the state before the request was last sent there, to which a refusal returns
}

// Run follows one run. The zero value is a run that was not sent anywhere. It is not safe for concurrent use.
type Run struct {
	places []place
}

// at returns the place of a server, or nil.
func (r *Run) at(server string) *place {
	i := slices.IndexFunc(r.places, func(p place) bool { return p.server == server })
	if i < 0 {
		return nil
	}
	return &r.places[i]
}

// Send records that the request is about to be sent to a server, and reports whether it may be. It may not while a server holds the run.
func (r *Run) Send(server string) bool {
	if len(r.Held()) > 0 {
		return false
	}
	p := r.at(server)
	if p == nil {
		r.places = append(r.places, place{server: server})
		p = &r.places[len(r.places)-1]
	}
	p.before, p.state = p.state, Sent
	return true
}

// Record records an event at a server that was sent the run.
func (r *Run) Record(server string, e Event) {
	if p := r.at(server); p != nil {
		p.state = p.next(e)
	}
}

// next returns the state after an event.
func (p *place) next(e Event) State {
	switch e {
	case Accepted:
		return Working
	case Progressed: // may have been made before an order
		if p.state != Stopped && p.state != StopLost {
			return Working
		}
	case Refused:
		if p.state == Sent {
			return p.before
		}
	case SaidStopped:
		return Stopped
	case SaidNoRun:
		if p.state != Stopped {
			return Queued
		}
	case LostOrder:
		if p.state.holds() {
			return StopLost
		}
	case NotReached:
		if p.state.holds() {
			return Unreachable
		}
	case ClosedStream: // a run that may have been stopped has
		if p.state == StopLost {
			return Stopped
		}
	case GaveUpStream:
		if p.state.holds() {
			return Withdrawn
		}
	}
	return p.state
}

// State returns what is known of the run at a server.
func (r *Run) State(server string) State {
	if p := r.at(server); p != nil {
		return p.state
	}
	return None
}

// Held returns the servers that may work on the run. Each must be ordered to stop it before the run goes on.
func (r *Run) Held() []string { return r.in(State.holds) }

// Queued returns the servers that may have the run in their queues. While it goes on elsewhere, each is ordered to stop it again and again, so that it
// does not work on the run for long if it begins.
func (r *Run) Queued() []string { return r.in(func(s State) bool { return s == Queued }) }

func (r *Run) in(match func(State) bool) (servers []string) {
	for _, p := range r.places {
		if match(p.state) {
			servers = append(servers, p.server)
		}
	}
	return servers
}

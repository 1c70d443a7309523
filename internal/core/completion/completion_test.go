package completion

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// All ends of a stream against all that can be known of its run. Only an end that the server marked, or the close by a server that still runs and
// has not stopped the run, is the end of a whole stream.
func TestDecide(t *testing.T) {
	want := map[End]map[Stop][3]Action{ // by Server
		Marked: {
			NotStopped:   {Complete, Complete, Complete},
			Pending:      {Complete, Complete, Complete},
			MaybeStopped: {Complete, Complete, Complete},
			Stopped:      {Complete, Complete, Complete},
			EndedItself:  {Complete, Complete, Complete},
		},
		Closed: {
			NotStopped:   {AskServer, Complete, Continue},
			Pending:      {AwaitOrder, AwaitOrder, AwaitOrder},
			MaybeStopped: {Continue, Continue, Continue},
			Stopped:      {Continue, Continue, Continue},
			EndedItself:  {Complete, Complete, Complete},
		},
		Broken: {
			NotStopped:   {Continue, Continue, Continue},
			Pending:      {AwaitOrder, AwaitOrder, AwaitOrder},
			MaybeStopped: {Continue, Continue, Continue},
			Stopped:      {Continue, Continue, Continue},
			EndedItself:  {Continue, Continue, Continue},
		},
	}
	for end, byStop := range want {
		for stop, byServer := range byStop {
			for server, want := range byServer {
				if got := Decide(end, stop, Server(server)); got != want {
					t.Errorf("%v, %v, %v: got action %d, want %d", end, stop, Server(server), got, want)
				}
			}
		}
	}
}

func TestOrders(t *testing.T) {
	tests := []struct {
		name    string
		begun   int
		answers []Answer
		want    Stop
	}{
		{"none", 0, nil, NotStopped},
		{"on its way", 1, nil, Pending},
		{"stopped", 1, []Answer{AnsweredStopped}, Stopped},
		{"refused", 1, []Answer{AnsweredNot}, NotStopped},
		{"no such run", 1, []Answer{AnsweredNoRun}, NotStopped},
		{"lost", 1, []Answer{AnswerLost}, MaybeStopped},
		{"lost, and on its way again", 2, []Answer{AnswerLost}, Pending},
		{"lost, then no such run", 2, []Answer{AnswerLost, AnsweredNoRun}, MaybeStopped},
		{"lost, then stopped", 2, []Answer{AnswerLost, AnsweredStopped}, Stopped},
		{"stopped, and on its way again", 2, []Answer{AnsweredStopped}, Stopped},
	}
	for _, tt := range tests {
		var o Orders
		for range tt.begun {
			if !o.Begin() {
				t.Errorf("%s: got no order, want one", tt.name)
			}
		}
		for _, a := range tt.answers {
			o.Answer(a, time.Time{}.Add(time.Hour))
		}
		if got := o.Stop(); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// An order that reached the server after the end would stop nothing, and its answer would come too late to be weighed.
func TestNoOrderAfterWholeStream(t *testing.T) {
	var o Orders
	if got := o.Decide(Closed, Runs, time.Unix(0, 0)); got != Complete {
		t.Fatalf("got action %d, want %d", got, Complete)
	}
	if o.Begin() {
		t.Error("got an order after the end of a whole stream, want none")
	}
}

// While the server of a closed stream is asked, an order would make it look as if the run had been stopped.
func TestNoOrderWhileTheEndIsJudged(t *testing.T) {
	var o Orders
	if got := o.Decide(Closed, NotAsked, time.Unix(0, 0)); got != AskServer || o.Begin() {
		t.Errorf("got action %d, or an order; want %d and none", got, AskServer)
	}
	if got := o.Decide(Closed, Gone, time.Unix(0, 0)); got != Continue || !o.Begin() {
		t.Errorf("got action %d, or no order; want %d and one", got, Continue)
	}
}

// A run whose events keep arriving was not stopped by an order whose answer was lost. A pause may mean that the server reads the order late.
func TestLostOrderIsTakenBackByEvents(t *testing.T) {
	tests := []struct {
		name   string
		events []time.Duration // since the answer was lost
		every  time.Duration   // between further events until the end
		end    time.Duration
		want   Stop
	}{
		{"events", nil, 50 * time.Millisecond, 2 * time.Second, NotStopped},
		{"a few events", nil, 50 * time.Millisecond, 800 * time.Millisecond, MaybeStopped},
		{"events with pauses", nil, 400 * time.Millisecond, 5 * time.Second, MaybeStopped},
		{"events after a pause", []time.Duration{3 * time.Second, 3200 * time.Millisecond}, 0, 0, MaybeStopped},
	}
	for _, tt := range tests {
		var o Orders
		start := time.Unix(0, 0)
		o.Event(start.Add(-50 * time.Millisecond))
		o.Begin()
		o.Answer(AnswerLost, start)
		for _, d := range tt.events {
			o.Event(start.Add(d))
		}
		for d := time.Duration(0); tt.every > 0 && d <= tt.end; d += tt.every {
			o.Event(start.Add(d))
		}
		if got := o.Stop(); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// A server that had no such run when its stream closed has ended it by itself, whatever becomes of the server. An answer from long before the close may
// be about a run in its queue, and one after a lost order about a run that this order stopped.
func TestRunThatEndedByItselfIsWhole(t *testing.T) {
	closed := time.Unix(100, 0)
	tests := []struct {
		name    string
		answers map[time.Duration]Answer // by time since the close
		want    Action
	}{
		{"just before the close", map[time.Duration]Answer{-time.Millisecond: AnsweredNoRun}, Complete},
		{"after the close", map[time.Duration]Answer{time.Second: AnsweredNoRun}, Complete},
		{"long before the close", map[time.Duration]Answer{-time.Second: AnsweredNoRun}, AskServer},
		{"after a lost order", map[time.Duration]Answer{-2 * time.Millisecond: AnswerLost, -time.Millisecond: AnsweredNoRun}, Continue},
	}
	for _, tt := range tests {
		var o Orders
		for range tt.answers {
			o.Begin()
		}
		for _, at := range slices.Sorted(maps.Keys(tt.answers)) {
			if at > 0 {
				if got := o.Decide(Closed, NotAsked, closed); got != AwaitOrder {
					t.Errorf("%s: got action %d before the answer, want %d", tt.name, got, AwaitOrder)
				}
			}
			o.Answer(tt.answers[at], closed.Add(at))
		}
		if got := o.Decide(Closed, NotAsked, closed); got != tt.want {
			t.Errorf("%s: got action %d, want %d", tt.name, got, tt.want)
		}
	}
}

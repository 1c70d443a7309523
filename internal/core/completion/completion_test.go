package completion

import "testing"

// All ends of a stream against all that can be known of its run. Only an end that the server marked, or the close by a server that still runs and
// has not stopped the run, is the end of a whole stream.
func TestDecide(t *testing.T) {
	want := map[End]map[Stop][3]Action{ // by Server
		Marked: {
			NotStopped:   {Complete, Complete, Complete},
			Pending:      {Complete, Complete, Complete},
			MaybeStopped: {Complete, Complete, Complete},
			Stopped:      {Complete, Complete, Complete},
		},
		Closed: {
			NotStopped:   {AskServer, Complete, Continue},
			Pending:      {AwaitOrder, AwaitOrder, AwaitOrder},
			MaybeStopped: {Continue, Continue, Continue},
			Stopped:      {Continue, Continue, Continue},
		},
		Broken: {
			NotStopped:   {Continue, Continue, Continue},
			Pending:      {AwaitOrder, AwaitOrder, AwaitOrder},
			MaybeStopped: {Continue, Continue, Continue},
			Stopped:      {Continue, Continue, Continue},
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
		{"no such run", 1, []Answer{AnsweredNot}, NotStopped},
		{"lost", 1, []Answer{AnswerLost}, MaybeStopped},
		{"lost, and on its way again", 2, []Answer{AnswerLost}, Pending},
		{"lost, then no such run", 2, []Answer{AnswerLost, AnsweredNot}, MaybeStopped},
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
			o.Answer(a)
		}
		if got := o.Stop(); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// An order that reached the server after the end would stop nothing, and its answer would come too late to be weighed.
func TestNoOrderAfterWholeStream(t *testing.T) {
	var o Orders
	if got := o.Decide(Closed, Runs); got != Complete {
		t.Fatalf("got action %d, want %d", got, Complete)
	}
	if o.Begin() {
		t.Error("got an order after the end of a whole stream, want none")
	}
}

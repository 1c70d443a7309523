package admission_test

import (
	"testing"
	"time"

	"ebonyferry/internal/core/admission"
	"ebonyferry/internal/core/warmup"
)

const (
	usualStep    = 40 * time.Millisecond
	longStep     = 50 * time.Millisecond
	usualStreams = 10
)

// run advances the clock by a second in which the server's steps have the given length and one stream starts and ends.
func (n *node) run(step time.Duration) {
	n.now = n.now.Add(time.Second)
	n.RecordEvidence("s", warmup.Evidence{Tokens: 100, GapSum: 100 * step}, n.now)
	if t := n.start("quiet"); granted(t) {
		n.Done(t, admission.Finished, 10, n.now)
	}
	n.Poll(n.now)
}

// start offers a stream and records the first tokens of all granted ones.
func (n *node) start(account string) *admission.Ticket {
	n.now = n.now.Add(20 * time.Millisecond)
	t := n.offer(account, admission.Quick)
	for _, decided := range n.Poll(n.now) {
		if granted(decided) {
			n.RecordFirstToken(decided, n.now)
		}
	}
	return t
}

// surge offers streams one after another and returns how many are granted.
func (n *node) surge(account string, offers int) int {
	var list []*admission.Ticket
	for range offers {
		list = append(list, n.start(account))
	}
	got := 0
	for _, t := range list {
		if granted(t) {
			got++
		}
	}
	return got
}

// An account with ten times its usual demand must not lengthen the steps of others: it adds to the batch only while
// steps stay about as long as usual, and other accounts can still start streams.
func TestSurgeDoesNotSlowOthers(t *testing.T) {
	tests := []struct {
		name      string
		step      time.Duration
		low, high int // streams of the surge
	}{
		{"steps as usual", usualStep, 8 * usualStreams, 9 * usualStreams},
		{"long steps", longStep, 0, usualStreams},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode(config(engine("s", 200, "v1")))
			for range usualStreams {
				n.start("quiet")
				n.start("bully")
			}
			for range 90 {
				n.run(usualStep)
			}
			for range 30 {
				n.run(tt.step)
			}
			if got := n.surge("bully", 9*usualStreams); got < tt.low || got > tt.high {
				t.Errorf("streams of the surge: got %d, want %d to %d", got, tt.low, tt.high)
			}
			if !granted(n.start("quiet")) {
				t.Error("another account: got no grant during the surge")
			}
		})
	}
}

// Accounts must not be held back as surging before their usual demand is known, nor when the demand of all accounts
// grows alike.
func TestNoSurge(t *testing.T) {
	n := newNode(config(engine("s", 400, "v1")))
	n.run(longStep)
	if got, want := n.surge("new", 5*usualStreams), 5*usualStreams; got != want {
		t.Errorf("streams while nothing is usual: got %d, want %d", got, want)
	}

	n = newNode(config(engine("s", 400, "v1")))
	for range usualStreams {
		n.start("quiet")
		n.start("other")
	}
	for range 90 {
		n.run(usualStep)
	}
	for range 30 {
		n.run(longStep)
	}
	got := 0
	for range 4 * usualStreams {
		got += n.surge("quiet", 1) + n.surge("other", 1)
	}
	if want := 8 * usualStreams; got != want {
		t.Errorf("streams of accounts that grow alike: got %d, want %d", got, want)
	}
}

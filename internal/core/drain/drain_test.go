package drain

import (
	"math"
	"testing"
	"time"
)

const grace = 7600 * time.Millisecond

// Calls by the time since the start of the drain, their deadline and what calls of the route take.
func TestAccepts(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	w := Window{Start: start, End: start.Add(grace)}
	tests := []struct {
		at       time.Duration // since the start
		deadline time.Duration // from then on
		takes    time.Duration
		want     bool
	}{
		{0, 10 * time.Second, 20 * ms, true},
		{0, 10 * time.Second, 6500 * ms, true},
		{0, 10 * time.Second, 9 * time.Second, false},
		{0, 7 * time.Second, math.MaxInt64, true}, // its timeout answers it
		{3200 * ms, 10 * time.Second, 4500 * ms, false},
		{2800 * ms, 10 * time.Second, 4500 * ms, true},
		{5700 * ms, 10 * time.Second, 20 * ms, true},
		{5700 * ms, 10 * time.Second, math.MaxInt64, false},
		{5700 * ms, 1500 * ms, math.MaxInt64, true},
		{6500 * ms, 1500 * ms, 300 * ms, true},
		{6500 * ms, 1500 * ms, 1200 * ms, false},
		{7590 * ms, 1500 * ms, 20 * ms, false},
		{grace, 10 * time.Second, 0, false},
	}
	for _, tt := range tests {
		now := start.Add(tt.at)
		r := Request{Deadline: now.Add(tt.deadline), Takes: tt.takes}
		if got := w.Accepts(r, now); got != tt.want {
			t.Errorf("%v after the start, deadline in %v, takes %v: got %v, want %v", tt.at, tt.deadline, tt.takes, got, tt.want)
		}
		r.Stream, r.Arrived = true, start
		if w.Accepts(r, now) {
			t.Errorf("%v after the start: a stream that arrived during the drain was accepted", tt.at)
		}
		r.Arrived = start.Add(-ms)
		if got, want := w.Accepts(r, now), r.Deadline.Before(w.End); got != want {
			t.Errorf("%v after the start, stream that waited before, deadline in %v: got %v, want %v", tt.at, tt.deadline, got, want)
		}
	}
}

// An unlimited duration must not overflow.
func TestAcceptsWithoutAnExpectation(t *testing.T) {
	start := time.Unix(1000, 0)
	w := Window{Start: start, End: start.Add(grace)}
	takes := new(Durations).Expect(0)
	if w.Accepts(Request{Deadline: start.Add(10 * time.Second), Takes: takes}, start) {
		t.Error("a call of which nothing is known, with a deadline after the end, was accepted")
	}
	if !w.Accepts(Request{Deadline: start.Add(time.Second), Takes: takes}, start) {
		t.Error("a call whose deadline is before the end was refused")
	}
}

func TestExpect(t *testing.T) {
	const target = 300 * time.Millisecond
	repeat := func(n int, took ...time.Duration) *Durations {
		d := new(Durations)
		for i := range n {
			d.Observe(took[i%len(took)])
		}
		return d
	}
	half := make([]time.Duration, 200)
	for i := range half {
		half[i] = 20 * time.Millisecond
	}
	half[0] = 4 * time.Second
	rare := append(append([]time.Duration(nil), half...), half[1:]...)
	tests := []struct {
		name        string
		d           *Durations
		least, most time.Duration
	}{
		{"nothing", nil, target, target},
		{"six short calls", repeat(6, 20*time.Millisecond), target, target},
		{"six long calls", repeat(6, 4*time.Second), 4 * time.Second, 5 * time.Second},
		{"many short calls", repeat(100, 20*time.Millisecond), 20 * time.Millisecond, 24 * time.Millisecond},
		{"one long call in forty", repeat(400, half[:40]...), 4 * time.Second, 5 * time.Second},
		{"one long call in four hundred", repeat(2000, rare...), 20 * time.Millisecond, 24 * time.Millisecond},
		{"long calls, then many short ones", func() *Durations {
			d := repeat(100, 4*time.Second)
			for range 5 * window {
				d.Observe(20 * time.Millisecond)
			}
			return d
		}(), 20 * time.Millisecond, 24 * time.Millisecond},
		{"longer than any bucket", repeat(100, time.Hour), 80 * time.Second, 90 * time.Second},
	}
	for _, tt := range tests {
		if got := tt.d.Expect(target); got < tt.least || got > tt.most {
			t.Errorf("%s: got %v, want %v to %v", tt.name, got, tt.least, tt.most)
		}
	}
}

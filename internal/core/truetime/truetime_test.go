package truetime

import (
	"testing"
	"time"
)

var start = Reading{Wall: time.Unix(1_767_225_600, 0), Mono: time.Hour}

// after returns the reading some time later on a node whose wall clock is off by a step.
func after(d, step time.Duration) Reading {
	return Reading{Wall: start.Wall.Add(d + step), Mono: start.Mono + d}
}

// A wall clock that is stepped by seconds and back must not move true time.
func TestStepIsIgnored(t *testing.T) {
	c := New(start)
	for _, at := range []struct{ after, step, jump time.Duration }{
		{time.Second, 0, 0},
		{2 * time.Second, 4 * time.Second, 4 * time.Second},
		{3 * time.Second, 4 * time.Second, 0},
		{4 * time.Second, 0, -4 * time.Second},
		{5 * time.Second, 0, 0},
	} {
		now, jump := c.Now(after(at.after, at.step))
		if want := start.Wall.Add(at.after); !now.Equal(want) || jump != at.jump {
			t.Errorf("after %v: got %v off and a jump of %v, want a jump of %v", at.after, now.Sub(want), jump, at.jump)
		}
	}
}

// A clock that a time service corrects slowly must be followed.
func TestSlewIsFollowed(t *testing.T) {
	c := New(start)
	for i := range 20 {
		d := time.Duration(i) * time.Second
		r := after(d, time.Duration(i)*50*time.Millisecond)
		if now, _ := c.Now(r); !now.Equal(r.Wall) {
			t.Errorf("after %v: got %v off the wall clock", d, now.Sub(r.Wall))
		}
	}
}

// A node that starts with a wrong clock, and one that was suspended while its monotonic clock stood still, must follow most of the others; one
// other node with a wrong clock, and no other node at all, must change nothing.
func TestFollowsMostPeers(t *testing.T) {
	c := New(start)
	if got := c.Observe("a", 10*time.Second); got != 0 {
		t.Errorf("one other node: corrected by %v", got)
	}
	if got := c.Observe("b", 0); got != 0 {
		t.Errorf("two that differ: corrected by %v", got)
	}
	if got := c.Observe("a", 20*time.Millisecond); got != 0 {
		t.Errorf("small offsets: corrected by %v", got)
	}
	now, _ := c.Now(Reading{Wall: start.Wall.Add(10 * time.Second), Mono: start.Mono}) // suspended
	if !now.Equal(start.Wall) {
		t.Errorf("before the others say so: got %v after the start", now.Sub(start.Wall))
	}
	c.Observe("a", 10*time.Second)
	c.Observe("b", 10*time.Second+5*time.Millisecond)
	if now, _ := c.Now(Reading{Wall: start.Wall.Add(10 * time.Second), Mono: start.Mono}); now.Sub(start.Wall.Add(10*time.Second)).Abs() > minOffset {
		t.Errorf("after the others said so: got %v after the start, want 10 s", now.Sub(start.Wall))
	}
	c.Now(after(20*time.Second, 10*time.Second))
	if got := c.Observe("d", -5*time.Second); got != 0 {
		t.Errorf("one node beside outdated ones: corrected by %v", got)
	}
}

package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A node that needs many repeats gets those that the others do not use, and all together never more than the bound.
func TestRepeatsAreBorrowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second) // lets the nodes end
		defer cancel()
		const nodes, slack = 4, 20.0
		f := startFleet(ctx, nodes, 1)
		for _, rt := range f.nodes {
			rt.SetBounds(Bounds{RetrySlack: slack, RetryWindow: 10 * time.Second})
		}
		time.Sleep(time.Second)
		granted := 0
		for range 2 * int(slack) {
			if f.nodes[0].mayRepeatOrBorrow(ctx, "writers") {
				granted++
			}
		}
		for _, rt := range f.nodes[1:] {
			for rt.mayRepeat("writers") {
				granted++
			}
		}
		if got, low, high := granted, int(0.75*slack), int(slack); got < low || got > high {
			t.Errorf("repeats of all nodes: got %d, want %d to %d", got, low, high)
		}
		for rank := 1; rank < nodes; rank++ {
			f.kill(rank)
		}
		began := time.Now()
		if f.nodes[0].mayRepeatOrBorrow(ctx, "writers") {
			t.Error("got a repeat while nobody lends one")
		}
		if got, want := time.Since(began), maxLenders*borrowTimeout+10*time.Millisecond; got > want {
			t.Errorf("asked for %v, want at most %v", got, want)
		}
	})
}

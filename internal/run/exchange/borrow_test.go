package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A node that needs many retries gets those that the other nodes do not use. All nodes together never exceed the bound.
func TestRetriesAreBorrowedWithinBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second) // lets the nodes stop
		defer cancel()
		const nodes, slack = 4, 20.0
		f := startFleet(ctx, nodes, 1)
		for _, rt := range f.nodes {
			rt.SetBounds(Bounds{RetrySlack: slack, RetryWindow: 10 * time.Second})
		}
		time.Sleep(12 * time.Second) // until nodes that have just started have a share
		granted := 0
		for range 2 * int(slack) {
			if f.nodes[0].takeOrBorrowRetry(ctx, "writers") {
				granted++
			}
		}
		for _, rt := range f.nodes[1:] {
			for rt.takeRetry("writers") {
				granted++
			}
		}
		if got, low, high := granted, int(0.75*slack), int(slack); got < low || got > high {
			t.Errorf("retries of all nodes: got %d, want %d to %d", got, low, high)
		}
		for rank := 1; rank < nodes; rank++ {
			f.stopNode(rank)
		}
		start := time.Now()
		if f.nodes[0].takeOrBorrowRetry(ctx, "writers") {
			t.Error("got a retry while no node lends one")
		}
		if got, want := time.Since(start), maxLenders*borrowTimeout+10*time.Millisecond; got > want {
			t.Errorf("asked lenders for %v, want at most %v", got, want)
		}
	})
}

package ledger_test

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// A call that ran is not run again after the store came back from a copy without its record, while a node that knows the outcome
// runs.
func TestCallsBeforeARestoreAreReplayed(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		a := f.startNode(ctx, "a", 1, nil)
		time.Sleep(5 * time.Second)
		if got, want := call(a, ctx, "k"), "answer"; got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
		time.Sleep(time.Second)
		f.store.Restore(3 * time.Second)
		time.Sleep(5 * time.Second)
		for i := range 100 { // some of them are in the same partition
			call(a, ctx, fmt.Sprint(i))
		}
		if got, want := call(a, ctx, "k"), "replayed"; got != want {
			t.Errorf("repeated call after the restore: got %s, want %s", got, want)
		}
	})
}

// The record of a call is in the store again after the store came back from a copy without it, for nodes that start later.
func TestRecordsBeforeARestoreAreWrittenAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		first, stop := context.WithCancel(ctx)
		a := f.startNode(first, "a", 1, nil)
		time.Sleep(5 * time.Second)
		call(a, ctx, "k")
		time.Sleep(time.Second)
		f.store.Restore(3 * time.Second)
		time.Sleep(5 * time.Second)
		for i := range 300 {
			call(a, ctx, fmt.Sprint(i))
		}
		stop()
		time.Sleep(20 * time.Second)
		b := f.startNode(ctx, "b", 2, nil)
		time.Sleep(5 * time.Second)
		if got, want := call(b, ctx, "k"), "replayed"; got != want {
			t.Errorf("repeated call at another node after the restore: got %s, want %s", got, want)
		}
	})
}

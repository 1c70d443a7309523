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

// A node that starts right after a restore must not run a call whose record another node still holds, although it does not
// reach that node: it would run a second time. Once no holder can be expected, calls without a record run.
func TestNodeStartedAfterARestoreAwaitsLostRecords(t *testing.T) {
	tests := []struct {
		name      string
		holderEnd bool // the node that holds the record ends before the restore
		want      string
	}{
		{"holder runs", false, "replayed"},
		{"no holder", true, "answer"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
				first, stop := context.WithCancel(ctx)
				defer stop()
				a := f.startNode(first, "a", 1, nil)
				time.Sleep(5 * time.Second)
				call(a, ctx, "k")
				time.Sleep(time.Second)
				if tt.holderEnd {
					stop()
					time.Sleep(3 * time.Second)
				}
				f.store.Restore(3*time.Second + 2*time.Second)
				f.network.Cut("a", "b", true)
				b := f.startNode(ctx, "b", 2, nil)
				if !tt.holderEnd {
					for i := range 40 { // some of them run at the holder, which learns of the restore
						time.AfterFunc(2*time.Second, func() { call(a, ctx, fmt.Sprint(i)) })
					}
				}
				for start := time.Now(); time.Since(start) < 7*time.Second; time.Sleep(100 * time.Millisecond) {
					if got := call(b, ctx, "k"); got == "answer" {
						t.Errorf("%v after the restore: got %s, want a refusal or the replayed answer", time.Since(start), got)
					}
				}
				time.Sleep(10 * time.Second)
				if got := call(b, ctx, "k"); got != tt.want {
					t.Errorf("at the end: got %s, want %s", got, tt.want)
				}
			})
		})
	}
}

package slicing_test

import (
	"context"
	"testing"
	"time"
)

// The slices of a server do not sum above its limit after the store came back from a copy without the terms of the present owners.
func TestSlicesAfterARestore(t *testing.T) {
	withFleet(t, 8, 18, 1, 0, func(ctx context.Context, f *fleet) {
		f.demand(4)
		f.runAndCheck(ctx, 20*time.Second, step, maxStreams)
		f.kill("node-003")
		f.kill("node-005")
		f.runAndCheck(ctx, 20*time.Second, step, maxStreams) // others take their terms
		f.store.Restore(25 * time.Second)
		f.runAndCheck(ctx, 90*time.Second, step, maxStreams)
		if least, _ := f.sliceSums(); least == 0 {
			t.Error("90s after the restore: got a server without slices, want none")
		}
	})
}

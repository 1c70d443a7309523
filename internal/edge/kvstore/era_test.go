package kvstore_test

import (
	"errors"
	"testing"
	"time"

	"ebonyferry/internal/edge/kvstore"
	fake "ebonyferry/internal/fake/platform"
)

func TestRevisionsOfLaterErasAreNewer(t *testing.T) {
	early, late := kvstore.RevisionAt(1, 900), kvstore.RevisionAt(2, 3)
	if early >= late {
		t.Errorf("got %d before %d, want the later era to be newer", late, early)
	}
	if got, want := late.Era(), kvstore.Era(2); got != want {
		t.Errorf("era: got %d, want %d", got, want)
	}
	if got, want := late.Number(), uint64(3); got != want {
		t.Errorf("number: got %d, want %d", got, want)
	}
	if got, want := kvstore.RevisionAt(0, 7), kvstore.Revision(7); got != want {
		t.Errorf("revision of a store that was never restored: got %d, want %d", got, want)
	}
}

// After the store came back from an earlier copy, revisions are given out again. One from before must not be taken for the new
// entry or change that has its number.
func TestRevisionsFromBeforeARestoreDoNotMatch(t *testing.T) {
	server, client := startStore(t, fake.WithCopies(0))
	ctx := t.Context()
	if _, err := client.CompareAndSwap(ctx, "a", 0, []byte("one"), 0); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	lost, err := client.CompareAndSwap(ctx, "b", 0, []byte("lost"), 0)
	if err != nil {
		t.Fatal(err)
	}
	server.Restore(25 * time.Millisecond)
	again, err := client.CompareAndSwap(ctx, "b", 0, []byte("again"), 0)
	if err != nil {
		t.Fatal(err)
	}
	if lost.Number() != again.Number() || again <= lost {
		t.Fatalf("revision after the restore: got %d of era %d, want number %d again and newer", again.Number(), again.Era(), lost.Number())
	}
	if _, err := client.CompareAndSwap(ctx, "b", lost, []byte("two"), 0); !errors.Is(err, kvstore.ErrConflict) {
		t.Errorf("swap that expects the lost revision: got %v, want ErrConflict", err)
	}
	if err := client.Delete(ctx, "b", lost); !errors.Is(err, kvstore.ErrConflict) {
		t.Errorf("delete that expects the lost revision: got %v, want ErrConflict", err)
	}
	if _, _, err := client.Watch(ctx, "", lost); !errors.Is(err, kvstore.ErrCompacted) {
		t.Errorf("watch from the lost revision: got %v, want ErrCompacted", err)
	}
	entries, revision, err := client.List(ctx, "")
	if err != nil || len(entries) != 2 || entries[0].Revision.Era() != 1 || revision.Era() != 1 {
		t.Errorf("list: got %+v at %d, %v, want two entries of era 1", entries, revision, err)
	}
	// A client that has not seen the new era learns of it by the answer.
	entry, err := client.Get(ctx, "b")
	if err != nil || string(entry.Value) != "again" {
		t.Errorf("Get: got %q, %v, want %q", entry.Value, err, "again")
	}
}

// A swap that takes effect in another era than expected may have replaced another value with the same number.
func TestSwapAcrossARestoreIsUnknown(t *testing.T) {
	server, client := startStore(t, fake.WithCopies(0))
	ctx := t.Context()
	rev, err := client.CompareAndSwap(ctx, "a", 0, []byte("one"), 0)
	if err != nil {
		t.Fatal(err)
	}
	server.Restore(0)
	if _, err := client.CompareAndSwap(ctx, "a", rev, []byte("two"), 0); !errors.Is(err, kvstore.ErrOutcomeUnknown) {
		t.Errorf("first swap after the restore: got %v, want ErrOutcomeUnknown", err)
	}
	if _, err := client.CompareAndSwap(ctx, "a", rev, []byte("three"), 0); !errors.Is(err, kvstore.ErrConflict) {
		t.Errorf("second swap after the restore: got %v, want ErrConflict", err)
	}
}

func TestAnswersOfAnEarlierEraAreRefused(t *testing.T) {
	var eras kvstore.EraTracker
	for _, tt := range []struct {
		era  kvstore.Era
		want bool
	}{{0, true}, {2, true}, {1, false}, {2, true}, {3, true}, {1 << 30, false}} {
		if got := eras.Observe(tt.era) == nil; got != tt.want {
			t.Errorf("answer of era %d: got accepted %v, want %v", tt.era, got, tt.want)
		}
	}
	if got, want := eras.Latest(), kvstore.Era(3); got != want {
		t.Errorf("latest era: got %d, want %d", got, want)
	}
}

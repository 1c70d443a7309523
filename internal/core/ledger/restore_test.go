package ledger_test

import (
	"testing"
	"time"

	"ebonyferry/internal/core/ledger"
)

// After a restore exactly the records must be written again that would be missing, so that no call runs twice; a run that
// another node recorded since must stay.
func TestLostRecords(t *testing.T) {
	now := time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)
	before := now.Add(-time.Minute)
	tests := []struct {
		name   string
		held   ledger.Record
		stored []ledger.Record
		lost   bool
	}{
		{"not stored", record("k", ledger.StateDone, "r1", before), nil, true},
		{"intent not stored", record("k", ledger.StateIntent, "r1", before), nil, true},
		{"past its retention", record("k", ledger.StateDone, "r1", now.Add(-2*time.Hour)), nil, false},
		{"stored", record("k", ledger.StateDone, "r1", before), []ledger.Record{record("k", ledger.StateDone, "r1", before)}, false},
		{"only the intent stored", record("k", ledger.StateDone, "r1", before), []ledger.Record{record("k", ledger.StateIntent, "r1", before)}, true},
		{"outcome stored by another node", record("k", ledger.StateIntent, "r1", before), []ledger.Record{record("k", ledger.StateDone, "r1", before)}, false},
		{"withdrawn run stored", record("k", ledger.StateDone, "r2", before), []ledger.Record{record("k", ledger.StateNotRun, "r1", before.Add(-time.Minute))}, true},
		{"run since the restore", record("k", ledger.StateDone, "r1", before), []ledger.Record{record("k", ledger.StateIntent, "r2", now)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			held, stored := ledger.NewPartition(0, ledger.DefaultLimits), ledger.NewPartition(0, ledger.DefaultLimits)
			held.Replace(ledger.Head{Records: []ledger.Record{tt.held}}, nil)
			stored.Replace(ledger.Head{Records: tt.stored}, nil)
			lost := stored.Lost(held, now)
			if got := len(lost) == 1; got != tt.lost {
				t.Fatalf("got lost %v, want %v", got, tt.lost)
			}
			plan := stored.PrepareRestore(ledger.Head{}, lost, 4)
			stored.Commit(plan, now)
			if got, want := stored.Head().Era, uint32(4); got != want {
				t.Errorf("era of the head: got %d, want %d", got, want)
			}
			if again := stored.Lost(held, now); len(again) != 0 {
				t.Errorf("lost after the write: got %v, want none", again)
			}
		})
	}
}

// Lost records that do not fit into one head must be written in parts, and only the last part may state that they are complete.
func TestLostRecordsInParts(t *testing.T) {
	now := time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)
	limits := ledger.DefaultLimits
	limits.MaxHeadBytes = 600
	p := ledger.NewPartition(0, limits)
	lost := []ledger.Record{
		record("a", ledger.StateDone, "r1", now), record("b", ledger.StateDone, "r2", now), record("c", ledger.StateDone, "r3", now),
		record("d", ledger.StateDone, "r4", now), record("e", ledger.StateDone, "r5", now),
	}
	plan := p.PrepareRestore(ledger.Head{}, lost, 2)
	if got := len(plan.Accepted); got == 0 || got == len(lost) {
		t.Fatalf("records in the first part: got %d of %d, want some", got, len(lost))
	}
	if got := plan.Head.Era; got != 0 {
		t.Errorf("era of the first part: got %d, want 0", got)
	}
}

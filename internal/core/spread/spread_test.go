package spread_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/spread"
)

func TestEvaluate(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	tests := []struct {
		name         string
		hasHead      bool
		confirmation spread.Confirmation
		want         spread.Status
		acceptsWork  bool
	}{
		{"no head", false, spread.Confirmation{ConfirmedAt: now}, spread.None, false},
		{"never confirmed", true, spread.Confirmation{}, spread.CutOff, false},
		{"just inside the limit", true, spread.Confirmation{ConfirmedAt: ago(spread.MaxConfirmationAge)}, spread.Fresh, true},
		{"just beyond it", true, spread.Confirmation{ConfirmedAt: ago(spread.MaxConfirmationAge + 1)}, spread.CutOff, false},
		{"shared", true, spread.Confirmation{ConfirmedAt: ago(time.Hour), SharedOutageUntil: now.Add(1)}, spread.SharedOutage, true},
		{"shared outage until now", true, spread.Confirmation{ConfirmedAt: ago(time.Hour), SharedOutageUntil: now}, spread.CutOff, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := spread.Evaluate(test.hasHead, test.confirmation, now)
			if got.Status != test.want || got.AcceptsWork() != test.acceptsWork {
				t.Errorf("got %s, accepts work %v, want %s, %v", got.Status, got.AcceptsWork(), test.want, test.acceptsWork)
			}
		})
	}
}

func TestIsMajority(t *testing.T) {
	tests := []struct {
		reached, listed int
		want            bool
	}{{1, 1, true}, {1, 2, false}, {2, 3, true}, {4, 8, false}, {5, 8, true}}
	for _, test := range tests {
		if got := spread.IsMajority(test.reached, test.listed); got != test.want {
			t.Errorf("IsMajority(%d, %d): got %v, want %v", test.reached, test.listed, got, test.want)
		}
	}
}

// Guards against a node that returns to a lower revision, and against one that counts the confirmation of a head it
// does not apply yet. Both could follow from heads and confirmations that arrive in any order.
func TestNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s spread.State
		start := time.Unix(1000, 0)
		confirmed := make(map[bundle.Revision]time.Time)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now := start.Add(time.Duration(i) * time.Second)
			rev := bundle.Revision(rapid.Uint64Range(1, 6).Draw(t, "revision"))
			before := s.Applied().Revision
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				s.RecordHead(bundle.Head{Revision: rev})
			case 1:
				s.Apply(bundle.Head{Revision: rev})
			case 2:
				s.Confirm(rev, now)
				confirmed[rev] = now
			}
			applied := s.Applied().Revision
			if applied < before {
				t.Fatalf("applied head went back from %d to %d", before, applied)
			}
			highest, _ := s.Latest()
			if highest.Revision < applied {
				t.Fatalf("highest head is %d, lower than the applied head %d", highest.Revision, applied)
			}
			lastConfirmed := time.Time{}
			for r, at := range confirmed {
				if r <= applied && at.After(lastConfirmed) {
					lastConfirmed = at
				}
			}
			if got := s.Confirmation().ConfirmedAt; got.After(lastConfirmed) {
				t.Fatalf("applied head %d is confirmed at %v, later than the last confirmation of it or a lower one, %v", applied, got, lastConfirmed)
			}
		}
	})
}

package spread_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/spread"
)

func TestJudge(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	tests := []struct {
		name      string
		held      bool
		contact   spread.Confirmation
		want      spread.Status
		takesWork bool
	}{
		{"no head", false, spread.Confirmation{ConfirmedAt: now}, spread.None, false},
		{"never confirmed", true, spread.Confirmation{}, spread.CutOff, false},
		{"just inside the limit", true, spread.Confirmation{ConfirmedAt: ago(spread.MaxConfirmationAge)}, spread.Fresh, true},
		{"just beyond it", true, spread.Confirmation{ConfirmedAt: ago(spread.MaxConfirmationAge + 1)}, spread.CutOff, false},
		{"shared", true, spread.Confirmation{ConfirmedAt: ago(time.Hour), SharedOutageUntil: now.Add(1)}, spread.SharedOutage, true},
		{"shared until now", true, spread.Confirmation{ConfirmedAt: ago(time.Hour), SharedOutageUntil: now}, spread.CutOff, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := spread.Evaluate(test.held, test.contact, now)
			if got.Status != test.want || got.AcceptsWork() != test.takesWork {
				t.Errorf("got %s, takes work %v, want %s, %v", got.Status, got.AcceptsWork(), test.want, test.takesWork)
			}
		})
	}
}

func TestCovers(t *testing.T) {
	tests := []struct {
		reached, listed int
		want            bool
	}{{1, 1, true}, {1, 2, false}, {2, 3, true}, {4, 8, false}, {5, 8, true}}
	for _, test := range tests {
		if got := spread.IsMajority(test.reached, test.listed); got != test.want {
			t.Errorf("Covers(%d, %d): got %v, want %v", test.reached, test.listed, got, test.want)
		}
	}
}

// Whatever a node hears in whatever order, it never goes back, and only what was said of the head that it
// holds makes it fresh.
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
				s.Observe(bundle.Head{Revision: rev})
			case 1:
				s.Apply(bundle.Head{Revision: rev})
			case 2:
				s.Confirm(rev, now)
				confirmed[rev] = now
			}
			held := s.Applied().Revision
			if held < before {
				t.Fatalf("went back from %d to %d", before, held)
			}
			wanted, _ := s.Latest()
			if wanted.Revision < held {
				t.Fatalf("wants %d and holds %d", wanted.Revision, held)
			}
			latest := time.Time{}
			for r, at := range confirmed {
				if r <= held && at.After(latest) {
					latest = at
				}
			}
			if got := s.Confirmation().ConfirmedAt; got.After(latest) {
				t.Fatalf("holds %d confirmed at %v, while the last confirmation of it or before came at %v", held, got, latest)
			}
		}
	})
}

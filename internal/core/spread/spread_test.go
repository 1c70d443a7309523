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
		contact   spread.Contact
		want      spread.Standing
		takesWork bool
	}{
		{"no head", false, spread.Contact{Confirmed: now}, spread.None, false},
		{"never confirmed", true, spread.Contact{}, spread.CutOff, false},
		{"just inside the limit", true, spread.Contact{Confirmed: ago(spread.Limit)}, spread.Fresh, true},
		{"just beyond it", true, spread.Contact{Confirmed: ago(spread.Limit + 1)}, spread.CutOff, false},
		{"shared", true, spread.Contact{Confirmed: ago(time.Hour), SharedUntil: now.Add(1)}, spread.SharedOutage, true},
		{"shared until now", true, spread.Contact{Confirmed: ago(time.Hour), SharedUntil: now}, spread.CutOff, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := spread.Judge(test.held, test.contact, now)
			if got.Standing != test.want || got.TakesWork() != test.takesWork {
				t.Errorf("got %s, takes work %v, want %s, %v", got.Standing, got.TakesWork(), test.want, test.takesWork)
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
		if got := spread.Covers(test.reached, test.listed); got != test.want {
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
			before := s.Held().Revision
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				s.Offer(bundle.Head{Revision: rev})
			case 1:
				s.Hold(bundle.Head{Revision: rev})
			case 2:
				s.Confirm(rev, now)
				confirmed[rev] = now
			}
			held := s.Held().Revision
			if held < before {
				t.Fatalf("went back from %d to %d", before, held)
			}
			wanted, _ := s.Wanted()
			if wanted.Revision < held {
				t.Fatalf("wants %d and holds %d", wanted.Revision, held)
			}
			latest := time.Time{}
			for r, at := range confirmed {
				if r <= held && at.After(latest) {
					latest = at
				}
			}
			if got := s.Contact().Confirmed; got.After(latest) {
				t.Fatalf("holds %d confirmed at %v, while the last confirmation of it or before came at %v", held, got, latest)
			}
		}
	})
}

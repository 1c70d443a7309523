package evidence

import (
	"maps"
	"slices"
	"testing"
	"time"
)

var servers = []string{"a", "b", "c", "d"}

// recordAnswers records n answers of each server and returns the time of the last. answer returns the i-th answer of
// server a.
func recordAnswers(tr *Tracker, from time.Time, n int, answer func(i int) (time.Duration, bool)) time.Time {
	now := from
	for i := range n {
		now = now.Add(50 * time.Millisecond)
		for _, s := range servers {
			took, failed := 60*time.Millisecond, false
			if s == "a" {
				took, failed = answer(i)
			}
			tr.RecordAnswer(s, took, failed, now)
		}
	}
	return now
}

func avoided(tr *Tracker, now time.Time) []string {
	return slices.Sorted(maps.Keys(tr.Judge(servers, now)))
}

func TestJudge(t *testing.T) {
	tests := []struct {
		name   string
		answer func(i int) (time.Duration, bool)
		want   []string
	}{
		{"sound", func(int) (time.Duration, bool) { return 60 * time.Millisecond, false }, nil},
		{"fails now and then", func(i int) (time.Duration, bool) { return 60 * time.Millisecond, i%8 == 0 }, nil},
		{"fails almost half of the time", func(i int) (time.Duration, bool) { return 60 * time.Millisecond, i%9 < 4 }, []string{"a"}},
		{"twice as slow", func(int) (time.Duration, bool) { return 120 * time.Millisecond, false }, nil},
		{"seven times as slow", func(int) (time.Duration, bool) { return 420 * time.Millisecond, false }, []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New()
			now := recordAnswers(tr, time.Unix(0, 0), 20, tt.answer)
			if got := avoided(tr, now); !slices.Equal(got, tt.want) {
				t.Errorf("avoided: got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a service that loses most of its servers to verdicts while all of them fail alike.
func TestMostServersStay(t *testing.T) {
	tr := New()
	now := time.Unix(0, 0)
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		for _, s := range servers {
			tr.RecordAnswer(s, time.Second, true, now)
		}
	}
	if got := avoided(tr, now); len(got) > 1 {
		t.Errorf("avoided: got %v, want one of four at most", got)
	}
}

func TestAvoidedServerIsTriedAgain(t *testing.T) {
	tr := New()
	now := recordAnswers(tr, time.Unix(0, 0), 20, func(int) (time.Duration, bool) { return 60 * time.Millisecond, true })
	if got := avoided(tr, now); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("avoided: got %v, want a", got)
	}
	now = now.Add(firstAvoidTime)
	if got := avoided(tr, now); len(got) != 0 {
		t.Errorf("after %v: got %v, want none", firstAvoidTime, got)
	}
	now = recordAnswers(tr, now, 20, func(int) (time.Duration, bool) { return 60 * time.Millisecond, true })
	if got := avoided(tr, now); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("second verdict: got %v, want a", got)
	}
	if got := avoided(tr, now.Add(firstAvoidTime)); len(got) == 0 {
		t.Errorf("the second verdict lasts no longer than the first")
	}
}

// Servers that stop during a store outage keep their entries in the store, so only refused connections show the failure.
func TestUnreachableServersAreAvoidedForLonger(t *testing.T) {
	tr := New()
	now := time.Unix(0, 0)
	for range 4 {
		tr.RecordUnreachable("a", now)
		tr.RecordUnreachable("b", now)
		tr.RecordUnreachable("c", now)
	}
	if got, want := avoided(tr, now.Add(maxUnreachableTime-1)), []string{"a", "b", "c"}; !slices.Equal(got, want) {
		t.Errorf("avoided: got %v, want %v, more than verdicts may", got, want)
	}
	tr.RecordAnswer("a", time.Millisecond, false, now)
	if got, want := avoided(tr, now), []string{"b", "c"}; !slices.Equal(got, want) {
		t.Errorf("after an answer: got %v, want %v", got, want)
	}
	tr.RecordUnreachable("a", now)
	tr.RecordUnreachable("d", now)
	if got := avoided(tr, now); len(got) > 1 {
		t.Errorf("all unreachable: got %v, want one of four at most", got)
	}
}

func TestCountUnreachable(t *testing.T) {
	tr, now := New(), time.Unix(1000, 0)
	tr.RecordUnreachable("a", now)
	tr.RecordUnreachable("b", now)
	tr.RecordAnswer("b", time.Millisecond, false, now)
	if got, want := tr.CountUnreachable(), 1; got != want {
		t.Errorf("got %d, want %d: b has answered since", got, want)
	}
}

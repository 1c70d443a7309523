package warmup_test

import (
	"testing"
	"time"

	"ebonyferry/internal/core/warmup"
)

const target = 74 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture is a tracker of a server that can serve 8 streams when fresh and 64 when warm.
type fixture struct {
	*warmup.Tracker
	now time.Time
}

func newFixture() *fixture { return &fixture{warmup.New(8, 64, target), start} }

// serve simulates d of service with the given gap between tokens and all allowed streams in use.
func (f *fixture) serve(d, gap time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(250 * time.Millisecond)
		n := f.Allow(64, f.now)
		tokens := n * int(250*time.Millisecond/gap)
		e := warmup.Evidence{Tokens: tokens, GapSum: time.Duration(tokens) * gap, InUse: n}
		if gap > target {
			e.Late = tokens
		}
		f.RecordEvidence(e, n, f.now)
	}
}

func (f *fixture) warm() { f.serve(2*time.Minute, 30*time.Millisecond) }

func TestRise(t *testing.T) {
	tests := []struct {
		name string
		do   func(*fixture)
		want warmup.State
	}{
		{"fresh", func(*fixture) {}, warmup.Cold},
		{"served in time", (*fixture).warm, warmup.Warm},
		{"served in time for a short while", func(f *fixture) { f.serve(6*time.Second, 30*time.Millisecond) }, warmup.Ramping},
		{"served near the target", func(f *fixture) { f.serve(time.Minute, 70*time.Millisecond) }, warmup.Cold},
		{"idle", func(f *fixture) {
			for range 100 {
				f.now = f.now.Add(time.Second)
				f.RecordEvidence(warmup.Evidence{FirstTokens: 1, Tokens: 9, GapSum: 9 * 30 * time.Millisecond, InUse: 1}, 8, f.now)
			}
		}, warmup.Cold},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture()
			tt.do(f)
			if got := f.State(f.now); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestReductions(t *testing.T) {
	report := func(boot string, f *fixture) {
		f.RecordReport(warmup.Report{BootID: boot, SampledAt: f.now, Running: 64}, 64, f.now)
	}
	tests := []struct {
		name string
		do   func(*fixture)
		want int // streams allowed of 64
	}{
		{"changed boot ID", func(f *fixture) { report("1", f); report("2", f) }, 8},
		{"the same boot ID", func(f *fixture) { report("1", f); report("1", f) }, 64},
		{"burst of errors", func(f *fixture) { f.RecordEvidence(warmup.Evidence{Errors: 3}, 64, f.now) }, 8},
		{"errors among answers", func(f *fixture) {
			for range 9 {
				f.RecordEvidence(warmup.Evidence{Errors: 1, Finished: 1}, 64, f.now)
			}
		}, 64},
		{"jump in latency", func(f *fixture) { f.serve(time.Second, 100*time.Millisecond) }, 32},
		{"lasting high latency", func(f *fixture) { f.serve(10*time.Second, 100*time.Millisecond) }, 8},
		{"refused for overload", func(f *fixture) { f.RecordOverload(f.now) }, 8},
		{"silence", func(f *fixture) { f.now = f.now.Add(time.Minute) }, 8},
		{"report of 64 running streams after a silence", func(f *fixture) { f.now = f.now.Add(time.Minute); report("1", f) }, 64},
		{"crash", func(f *fixture) { f.RecordCrash(f.now) }, 0},
		{"crash and an older report", func(f *fixture) {
			report("1", f)
			f.RecordCrash(f.now)
			f.RecordReport(warmup.Report{BootID: "1", SampledAt: f.now.Add(-time.Second), Running: 64}, 64, f.now.Add(time.Second))
		}, 0},
		{"crash and a report of the next boot", func(f *fixture) {
			report("1", f)
			f.RecordCrash(f.now)
			f.now = f.now.Add(2 * time.Second)
			report("2", f)
		}, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture()
			f.warm()
			tt.do(f)
			if got := f.Allow(64, f.now); got != tt.want {
				t.Errorf("allowed streams: got %d, want %d", got, tt.want)
			}
		})
	}
}

func TestSharedLimit(t *testing.T) {
	f := newFixture()
	f.SetAgreedFraction(0.125, f.now)
	if got, want := f.Allow(1, f.now), 1; got != want {
		t.Errorf("share of a cold limit: got %d, want %d", got, want)
	}
	for range 20 {
		f.now = f.now.Add(250 * time.Millisecond)
		f.RecordEvidence(warmup.Evidence{Tokens: 20, GapSum: 20 * 25 * time.Millisecond, InUse: 2}, 2, f.now)
	}
	if got, low := f.SuggestFraction(f.now), 0.125; got <= low {
		t.Errorf("suggestion after good evidence: got %v, want more than %v", got, low)
	}
	f.SetAgreedFraction(1, f.now)
	f.RecordOverload(f.now)
	f.SetAgreedFraction(1, f.now.Add(time.Second))
	if got, want := f.Allow(8, f.now.Add(time.Second)), 1; got != want {
		t.Errorf("own reduction before it has reached the owner: got %d, want %d", got, want)
	}
	if got, want := f.SuggestFraction(f.now.Add(time.Second)), 0.125; got != want {
		t.Errorf("suggestion after the reduction: got %v, want %v", got, want)
	}
	later := f.now.Add(5 * time.Second)
	f.SetAgreedFraction(1, later)
	if got, want := f.Allow(8, later), 8; got != want {
		t.Errorf("agreed again after the reduction: got %d, want %d", got, want)
	}
}

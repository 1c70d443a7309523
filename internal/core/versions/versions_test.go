package versions

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(100, 0)

func newRollout() *Rollout {
	return New(Order{Service: "s", Target: "v2", Duration: 10 * time.Second}, start)
}

func TestShareGrowsLate(t *testing.T) {
	tests := []struct {
		after time.Duration
		least float64
		most  float64
	}{
		{0, firstShare, firstShare}, {2100 * time.Millisecond, trialShare, trialShare}, {3500 * time.Millisecond, trialShare, trialShare},
		{4300 * time.Millisecond, 0.5, 0.7}, {5100 * time.Millisecond, 1, 1}, {time.Minute, 1, 1},
	}
	r := newRollout()
	for _, tt := range tests {
		if got := r.Share(start.Add(tt.after)); got < tt.least || got > tt.most {
			t.Errorf("share after %v: got %.2f, want %.2f to %.2f", tt.after, got, tt.least, tt.most)
		}
	}
}

// A version that turns bad when its share begins to grow has had well under a tenth of the requests until then, so that
// the answers that show it fit into the tenth too.
func TestTrialStaysBelowExposure(t *testing.T) {
	r := newRollout()
	const step = 10 * time.Millisecond
	got, now := 0.0, start
	for ; r.Share(now) <= firstShare && now.Sub(start) < r.Duration; now = now.Add(step) {
		got += r.Share(now) * step.Seconds() / r.Duration.Seconds()
	}
	if want := 0.07; got > want {
		t.Errorf("requests until the share grows: got %.3f of those in the duration, want at most %.2f", got, want)
	}
	if since := now.Sub(start); since >= r.Duration/2 {
		t.Errorf("the share grows after %v, want it within half of %v", since, r.Duration)
	}
}

// Feeds answers of both versions and returns how many of the new one were bad before the verdict, or -1 without one.
func verdictAfter(r *Rollout, answers int, rng *rand.Rand, failure, slow float64) int {
	bad := 0
	for range answers {
		for range 9 {
			r.Answered("v1", 60*time.Millisecond, rng.Float64() < 0.05)
		}
		failed := rng.Float64() < 0.05+failure
		r.Answered("v2", time.Duration(60*slow)*time.Millisecond, failed)
		if failed || slow > 1 {
			bad++
		}
		if r.ProposedState(start) == RolledBack {
			return bad
		}
	}
	return -1
}

func TestBadVersionsAreFound(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		if got := verdictAfter(newRollout(), 200, rng, 0.4, 1); got < 0 || got > 50 {
			t.Errorf("seed %d, fails: verdict after %d bad answers, want at most 50", seed, got)
		}
		if got := verdictAfter(newRollout(), 200, rng, 0, 4); got < 0 || got > 50 {
			t.Errorf("seed %d, slow: verdict after %d bad answers, want at most 50", seed, got)
		}
	}
}

func TestGoodVersionsPass(t *testing.T) {
	condemned := 0
	const seeds = 200
	for seed := range uint64(seeds) {
		if verdictAfter(newRollout(), 60, rand.New(rand.NewPCG(seed, 2)), 0, 1) >= 0 {
			condemned++
		}
	}
	if limit := seeds / 50; condemned > limit {
		t.Errorf("good versions condemned: got %d of %d, want at most %d", condemned, seeds, limit)
	}
}

func TestVerdictsAreFinal(t *testing.T) {
	r := newRollout()
	r.AddFleetEvidence(Evidence{Target: "other", Old: Tally{Answers: 100}, New: Tally{Answers: 100, Failures: 100}}, start)
	if got := r.ProposedState(start); got != Running {
		t.Errorf("evidence of another order: got state %v, want running", got)
	}
	r.AddFleetEvidence(Evidence{Target: "v2", Old: Tally{Answers: 100}, New: Tally{Answers: 100, Failures: 100}}, start)
	if got := r.ProposedState(start.Add(time.Minute)); got != RolledBack || r.Share(start.Add(time.Minute)) != 0 {
		t.Errorf("bad version: got state %v and share %v, want rolled back and none", got, r.Share(start.Add(time.Minute)))
	}
	r.SetState(RolledBack)
	r.SetState(Completed)
	if r.State() != RolledBack {
		t.Errorf("a final state has changed")
	}
}

// A node that starts in the middle of a rollout, such as one that was killed, goes on from the age that others know.
func TestAgeIsLearned(t *testing.T) {
	late := start.Add(6 * time.Second)
	r := New(Order{Service: "s", Target: "v2", Duration: 10 * time.Second}, late)
	r.AddFleetEvidence(Evidence{Target: "v2", New: Tally{Answers: 5}, AgeMs: 6000}, late)
	if got := r.ProposedState(start.Add(9 * time.Second)); got != Completed {
		t.Errorf("after nine tenths of the order's time: got state %v, want completed", got)
	}
}

// A version that no request tried is not done: nothing speaks for it.
func TestUntriedVersionIsNotCompleted(t *testing.T) {
	r := newRollout()
	late := start.Add(time.Minute)
	if got := r.ProposedState(late); got != Running {
		t.Errorf("untried: got state %v, want running", got)
	}
	r.Answered("v2", time.Millisecond, false)
	if got := r.ProposedState(late); got != Completed {
		t.Errorf("tried: got state %v, want completed", got)
	}
}

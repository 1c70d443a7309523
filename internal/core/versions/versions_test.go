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
		{0, initialShare, initialShare}, {2100 * time.Millisecond, trialShare, trialShare}, {3500 * time.Millisecond, trialShare, trialShare},
		{4300 * time.Millisecond, 0.5, 0.7}, {5100 * time.Millisecond, 1, 1}, {time.Minute, 1, 1},
	}
	r := newRollout()
	for range minGood {
		r.RecordAnswer("v2", 60*time.Millisecond, false)
	}
	for _, tt := range tests {
		if got := r.Share(start.Add(tt.after)); got < tt.least || got > tt.most {
			t.Errorf("share after %v: got %.2f, want %.2f to %.2f", tt.after, got, tt.least, tt.most)
		}
	}
}

// A bad version may get a tenth of the requests. A version that turns bad when its share begins to grow must have had
// far less until then, so that the answers that reveal it fit into the tenth too.
func TestTrialLimitsExposure(t *testing.T) {
	r := newRollout()
	for range minGood {
		r.RecordAnswer("v2", 60*time.Millisecond, false)
	}
	const step = 10 * time.Millisecond
	got, now := 0.0, start
	for ; r.Share(now) <= initialShare && now.Sub(start) < r.Duration; now = now.Add(step) {
		got += r.Share(now) * step.Seconds() / r.Duration.Seconds()
	}
	if want := 0.07; got > want {
		t.Errorf("requests until the share grows: got %.3f of those in the duration, want at most %.2f", got, want)
	}
	if since := now.Sub(start); since >= r.Duration/2 {
		t.Errorf("the share grows after %v, want it within half of %v", since, r.Duration)
	}
}

// badAnswersUntilVerdict records answers of both versions and returns how many of the new version's were bad before
// the verdict, or -1 without one.
func badAnswersUntilVerdict(r *Rollout, answers int, rng *rand.Rand, failure, slow float64) int {
	bad := 0
	for range answers {
		for range 9 {
			r.RecordAnswer("v1", 60*time.Millisecond, rng.Float64() < 0.05)
		}
		failed := rng.Float64() < 0.05+failure
		r.RecordAnswer("v2", time.Duration(60*slow)*time.Millisecond, failed)
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
		if got := badAnswersUntilVerdict(newRollout(), 200, rng, 0.4, 1); got < 0 || got > 50 {
			t.Errorf("seed %d, fails: verdict after %d bad answers, want at most 50", seed, got)
		}
		if got := badAnswersUntilVerdict(newRollout(), 200, rng, 0, 4); got < 0 || got > 50 {
			t.Errorf("seed %d, slow: verdict after %d bad answers, want at most 50", seed, got)
		}
	}
}

func TestGoodVersionsPass(t *testing.T) {
	judgedBad := 0
	const seeds = 200
	for seed := range uint64(seeds) {
		if badAnswersUntilVerdict(newRollout(), 60, rand.New(rand.NewPCG(seed, 2)), 0, 1) >= 0 {
			judgedBad++
		}
	}
	if limit := seeds / 50; judgedBad > limit {
		t.Errorf("good versions judged bad: got %d of %d, want at most %d", judgedBad, seeds, limit)
	}
}

func TestVerdictsAreFinal(t *testing.T) {
	r := newRollout()
	r.ApplyFleetEvidence(Evidence{Target: "other", Old: Tally{Answers: 100}, New: Tally{Answers: 100, Failures: 100}}, start)
	if got := r.ProposedState(start); got != Running {
		t.Errorf("evidence of another order: got state %v, want running", got)
	}
	r.ApplyFleetEvidence(Evidence{Target: "v2", Old: Tally{Answers: 100}, New: Tally{Answers: 100, Failures: 100}}, start)
	if got := r.ProposedState(start.Add(time.Minute)); got != RolledBack || r.Share(start.Add(time.Minute)) != 0 {
		t.Errorf("bad version: got state %v and share %v, want rolled back and none", got, r.Share(start.Add(time.Minute)))
	}
	r.SetState(RolledBack)
	r.SetState(Completed)
	if r.State() != RolledBack {
		t.Errorf("a final state has changed")
	}
}

// A node that starts in the middle of a rollout, for example after it was killed, continues from the order's age in the
// evidence of the others.
func TestRestartedNodeAdoptsAge(t *testing.T) {
	late := start.Add(6 * time.Second)
	r := New(Order{Service: "s", Target: "v2", Duration: 10 * time.Second}, late)
	r.ApplyFleetEvidence(Evidence{Target: "v2", New: Tally{Answers: 5}, AgeMs: 6000}, late)
	if got := r.ProposedState(start.Add(9 * time.Second)); got != Completed {
		t.Errorf("after nine tenths of the duration: got state %v, want completed", got)
	}
}

// Guards against completing a rollout without a single answer of the new version.
func TestUntriedVersionIsNotCompleted(t *testing.T) {
	r := newRollout()
	late := start.Add(time.Minute)
	if got := r.ProposedState(late); got != Running {
		t.Errorf("untried: got state %v, want running", got)
	}
	r.RecordAnswer("v2", time.Millisecond, false)
	if got := r.ProposedState(late.Add(2 * time.Second)); got != Completed {
		t.Errorf("tried, after the share has grown: got state %v, want completed", got)
	}
}

package placement

import (
	"testing"
	"time"
)

func mean(list []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range list {
		sum += d
	}
	return sum / time.Duration(max(1, len(list)))
}

// Guards against short prompts that wait behind long ones although servers are free, and against long ones that pay for it.
func TestShortPromptsBesideLongOnes(t *testing.T) {
	tests := []struct {
		name       string
		perSecond  float64
		longShare  float64
		longPrompt [2]int
		longEvents [2]int
		shortText  [2]int
	}{
		{"prompts alike, long answers", 70, 0.474, [2]int{2000, 4000}, [2]int{60, 312}, [2]int{1400, 3000}},
		{"long prompts", 80, 0.25, [2]int{4000, 8000}, [2]int{30, 90}, [2]int{300, 900}},
	}
	for _, tt := range tests {
		var shorts, longs [2][]time.Duration
		for i := range 2 {
			for seed := range uint64(3) {
				s := newSpeedSim(seed, viewLearned, 150)
				s.perSecond, s.longShare, s.longPrompt, s.longEvents, s.shortText = tt.perSecond, tt.longShare, tt.longPrompt, tt.longEvents, tt.shortText
				s.weighed = i == 1
				s.run(15 * time.Second)
				shorts[i], longs[i] = append(shorts[i], s.shorts...), append(longs[i], s.longFirsts...)
			}
			t.Logf("%s, weighed %v: short mean %v, p95 %v; long mean %v, p95 %v", tt.name, i == 1,
				mean(shorts[i]), quantile(shorts[i], 0.95), mean(longs[i]), quantile(longs[i], 0.95))
		}
		if got, want := mean(shorts[1]), mean(shorts[0]); got >= want {
			t.Errorf("%s: mean time to the first event of short prompts: got %v, want less than %v", tt.name, got, want)
		}
		if got, want := mean(longs[1]), mean(longs[0])*11/10; got > want {
			t.Errorf("%s: mean time to the first event of long prompts: got %v, want at most %v", tt.name, got, want)
		}
		if got, want := quantile(longs[1], 0.95), quantile(longs[0], 0.95)*11/10; got > want {
			t.Errorf("%s: 95th percentile of long prompts: got %v, want at most %v", tt.name, got, want)
		}
	}
}

// Guards against weights that change choices of services whose routes are alike, or that grow without bound.
func TestFirstWeight(t *testing.T) {
	tests := []struct {
		work, lightest, heaviest time.Duration
		want                     float64
	}{
		{time.Second, time.Second, 3 * time.Second, 1},
		{time.Second, 0, 3 * time.Second, 1},
		{0, time.Second, 30 * time.Second, 1},
		{time.Second, time.Second, 16 * time.Second, 2},
		{4 * time.Second, time.Second, 16 * time.Second, 1},
		{16 * time.Second, time.Second, 16 * time.Second, 0.5},
		{time.Hour, time.Second, time.Hour, 0.5},
		{time.Millisecond, time.Second, time.Hour, 2},
	}
	for _, tt := range tests {
		if got := FirstWeight(tt.work, tt.lightest, tt.heaviest); got < tt.want-0.01 || got > tt.want+0.01 {
			t.Errorf("%v between %v and %v: got %.2f, want %.2f", tt.work, tt.lightest, tt.heaviest, got, tt.want)
		}
	}
}

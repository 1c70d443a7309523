package rolloutbench

import "testing"

// Limits that the figures must meet.
const (
	minDoneInTime = 0.99 // share of good versions
	maxHitAtOnce  = 0.02 // share of requests hit by versions that are bad from the start
)

// runCount returns the number of runs. Under the race detector, which looks for races between them, a few are enough.
func runCount(full int) int {
	if testing.Short() {
		return parallel
	}
	return full
}

func TestGoodVersionsAreDoneInTime(t *testing.T) {
	runs := runCount(40)
	res := RunGood(1, runs)
	got := res.Good["ebonyferry"]
	if got := float64(got.DoneInTime) / float64(runs); got < minDoneInTime {
		t.Errorf("got %.3f of good versions done in time, want at least %.2f", got, minDoneInTime)
	}
}

func TestBadVersionsAreTakenBack(t *testing.T) {
	runs := runCount(20)
	for _, kind := range Cases {
		t.Run(kind, func(t *testing.T) {
			res, err := RunBad(kind, 1, runs)
			if err != nil {
				t.Fatal(err)
			}
			got, baseline := res.Bad["ebonyferry"], res.Bad["fixedSteps"]
			if got.TakenBack != runs {
				t.Errorf("got %d of %d bad versions taken back, want all", got.TakenBack, runs)
			}
			if got.RoutedLaterThan3s != 0 {
				t.Errorf("got %d requests routed later than 3 s after the verdict, want 0", got.RoutedLaterThan3s)
			}
			if (kind == "failsAtOnce" || kind == "slowAtOnce") && got.ShareOfRequestsHitMax > maxHitAtOnce {
				t.Errorf("got %.4f of requests hit, want at most %.2f", got.ShareOfRequestsHitMax, maxHitAtOnce)
			}
			if got.TakenBack < baseline.TakenBack {
				t.Errorf("got %d taken back, the baseline %d", got.TakenBack, baseline.TakenBack)
			}
		})
	}
}

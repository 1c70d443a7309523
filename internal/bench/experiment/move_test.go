package experiment_test

import "testing"

// maxNewWorkMs bounds the time after the mark in which the failure domain still gets requests.
const maxNewWorkMs = 3000

func TestDomainMove(t *testing.T) {
	policies := run(t, "domainMove", "ebonyferry", "staticShares")
	got := policies["ebonyferry"].Move
	if got.NewWorkAfterMs > maxNewWorkMs {
		t.Errorf("got requests for the failure domain %d ms after the mark, want none after %d ms", got.NewWorkAfterMs, maxNewWorkMs)
	}
	if got.Lost != 0 || got.Refused != 0 || got.ColdOverloads != 0 {
		t.Errorf("got %d requests lost, %d refused and %d cold overloads, want 0", got.Lost, got.Refused, got.ColdOverloads)
	}
	for name, p95 := range map[string]float64{"before": got.FirstTokenP95MsBefore, "during": got.FirstTokenP95MsDuring, "after": got.FirstTokenP95MsAfter} {
		if p95 > firstTargetMs {
			t.Errorf("got first token p95 of %.0f ms %s the move, want at most %.0f ms", p95, name, firstTargetMs)
		}
	}
	if got.ShareAtEnd == 0 {
		t.Error("got no requests for the failure domain after it was put back")
	}
}

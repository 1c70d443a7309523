package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

// Guards against a violated invariant, or a failed step, in one run of the whole system.
func TestDemo(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about fifteen seconds")
	}
	var out bytes.Buffer
	result, err := Run(context.Background(), Options{Duration: 6 * time.Second, Seed: 1, Rate: 20, Out: &out})
	if err != nil {
		t.Fatalf("%v\n%s", err, &out)
	}
	if got, want := result.ViolationCount()+result.LateStarts+result.Bugs, 0; got != want {
		t.Errorf("violations: got %d, want %d\n%s", got, want, &out)
	}
	if !result.FakesChecked {
		t.Error("the fakes' counts were not checked")
	}
	if result.Complete == 0 || result.Bookings == 0 {
		t.Errorf("got %d complete answers and %d bookings, want some of each", result.Complete, result.Bookings)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if got := lines[len(lines)-1]; !strings.HasPrefix(got, "demo: ") {
		t.Errorf("last line: got %q, want it to begin with demo:", got)
	}
}

package duty

import (
	"testing"
	"testing/synctest"
	"time"
)

// startAll starts nodes in a world, and lets requests begin until one of them reports.
func startAll(t *testing.T, names ...string) *world {
	t.Helper()
	w := newWorld(t, names...)
	for _, name := range names {
		w.start(name)
	}
	w.until("a node holds the duty", func() bool { return w.holder() != nil })
	return w
}

// Without faults, each window must be reported once with its true counts before it is due, with few calls to the store.
func TestUsageIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startAll(t, "a", "b", "c", "d")
		w.run(time.Minute)
		w.check(0, 0)
		for k, late := range w.lateness() {
			if late > testDue {
				t.Errorf("window %d: reported %v after its end, want at most %v", k, late, testDue)
			}
		}
		reports := len(w.lateness())
		if got := len(w.reports()); got != reports {
			t.Errorf("calls to the platform: got %d for %d windows", got, reports)
		}
		// One renewal in 1.35 s and one write in each window.
		if got, want := w.calls, 63*10/13+reports+5; got > want {
			t.Errorf("calls to the store in 63 s: got %d, want at most %d", got, want)
		}
		for _, n := range w.nodes {
			if got := n.logged("countsRejected") + n.logged("usageDropped"); got != 0 {
				t.Errorf("%v: got %d lines of rejected counts and dropped windows", n, got)
			}
		}
	})
}

package duty

import (
	"testing"
	"testing/synctest"
	"time"
)

// After the holder and other nodes were killed, the windows must be reported from what they had sent before.
func TestNodesKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startAll(t, "a", "b", "c", "d", "e")
		w.run(12 * time.Second)
		first := w.holder().name
		w.kill(first, 5*time.Second)
		w.run(30 * time.Second)
		if next := w.holder(); next == nil || next.name == first {
			t.Fatalf("got holder %v, want one after %s", next, first)
		}
		w.set(func() { w.platform.lose = 1 })
		w.kill("e", 5*time.Second)
		w.run(30 * time.Second)
		// Each killed node loses what it counted since its last message: at most half a second of 10 requests a second, of 250 in a window.
		w.check(0.05, 0)
	})
}

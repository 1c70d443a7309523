package duty

import (
	"encoding/json"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/duty"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
)

// inWorld runs a test in virtual time with five nodes, the first two of which may report, and checks the rules at its end: counts are
// within a share of the truth, and at most some windows were not reported.
func inWorld(t *testing.T, off float64, missing int, fn func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := startAll(t, "a", "b", "c", "d", "e")
		w.run(12 * time.Second)
		fn(w)
		w.run(20 * time.Second)
		w.check(off, missing)
	})
}

// After the holder and other nodes were killed, the windows must be reported from what they had sent before: each loses what it counted since its
// last message, at most half a second of 10 requests a second, of 250 in a window.
func TestNodesKilled(t *testing.T) {
	inWorld(t, 0.05, 0, func(w *world) {
		first := w.holder().name
		w.kill(first, 5*time.Second)
		w.run(30 * time.Second)
		if next := w.holder(); next == nil || next.name == first {
			t.Fatalf("got holder %v, want one after %s", next, first)
		}
		w.kill("e", 5*time.Second)
	})
}

// A holder that is paused longer than its lease must not report afterwards, and its successor must report what it would have.
func TestHolderPaused(t *testing.T) {
	inWorld(t, 0, 0, func(w *world) {
		n := w.holder()
		w.set(func() { n.paused = time.Now().Add(7 * time.Second) })
		w.run(7 * time.Second)
		before := len(w.reports())
		w.run(2 * time.Second)
		for _, c := range w.reports()[before:] {
			if c.term.Holder == n.name {
				t.Errorf("paused holder %v reported window %d", n, c.report.Window)
			}
		}
		if n.logged("dutyLost") == 0 {
			t.Errorf("%v: did not lose the duty", n)
		}
	})
}

// A pause that is shorter than the lease, so that the store confirms the next renewal, must not lose the duty.
func TestHolderPausedBriefly(t *testing.T) {
	inWorld(t, 0, 0, func(w *world) {
		n := w.holder()
		w.set(func() { n.paused = time.Now().Add(1200 * time.Millisecond) })
		w.run(10 * time.Second)
		if got := w.holder(); got != n {
			t.Errorf("got holder %v, want %v", got, n)
		}
	})
}

// If the answers to reports are lost, the same reports must be sent again until one is answered, by a successor too.
func TestAnswersLost(t *testing.T) {
	inWorld(t, 0.05, 0, func(w *world) {
		w.set(func() { w.platform.lose = 5 })
		before := len(w.reports())
		w.until("answers were lost", func() bool { return len(w.reports()) > before+2 })
		w.kill(w.holder().name, 5*time.Second)
	})
}

// A holder that is killed after the store took a report and before the platform did must be followed by one that sends this report, not a new
// sum: the counts that arrived since must not change it.
func TestKilledBetweenStoreAndCall(t *testing.T) {
	inWorld(t, 0.05, 0, func(w *world) {
		w.set(func() { w.platform.down = true })
		n := w.holder()
		stored := n.logged("usageSummed")
		w.until("a report is stored", func() bool { return n.logged("usageSummed") > stored })
		entry, err := n.Get(t.Context(), reportsKey)
		if err != nil {
			t.Fatal(err)
		}
		want, err := duty.DecodeStored(entry.Value)
		if err != nil {
			t.Fatal(err)
		}
		w.kill(n.name, 5*time.Second)
		for _, other := range w.nodes { // a request that was counted late
			if !other.dead {
				other.Count("late", other.windows.Start(want.Closed))
			}
		}
		w.set(func() { w.platform.down = false })
		w.run(15 * time.Second)
		last := want.Open[len(want.Open)-1]
		for _, c := range w.reports() {
			if c.report.Window == last.Window && !maps.Equal(c.report.Counts, last.Counts) {
				t.Errorf("window %d: got %v, the store had %v", last.Window, c.report.Counts, last.Counts)
			}
		}
	})
}

// While the store is away nobody may report a window that it does not hold; afterwards all are reported, late.
func TestStoreAway(t *testing.T) {
	inWorld(t, 0, 0, func(w *world) {
		w.set(func() { w.down = true })
		w.run(4 * time.Second)
		before := len(w.reports())
		w.run(16 * time.Second)
		if got := len(w.reports()); got != before {
			t.Errorf("got %d calls without the store, want none", got-before)
		}
		w.set(func() { w.down = false })
		w.run(10 * time.Second)
	})
}

// Writes whose answers are lost, of the entry and of the lease, must neither end in two sums nor in none.
func TestStoreAnswersLost(t *testing.T) {
	inWorld(t, 0, 0, func(w *world) {
		for range 20 {
			w.set(func() { w.lose = 1 })
			w.run(1700 * time.Millisecond)
		}
		w.set(func() { w.lose = 0 })
	})
}

// A store that comes back from a copy without the last reports, and without the holder or with an earlier one, must not make a node sum their
// windows anew. Fencing tokens must go on rising.
func TestStoreRestored(t *testing.T) {
	for name, withHolder := range map[string]bool{"without holder": false, "with holder": true} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 0, 0, func(w *world) {
				var entries map[string]kvstore.Entry
				var revision uint64
				w.set(func() { entries, revision = maps.Clone(w.entries), w.revision })
				w.run(11 * time.Second)
				w.set(func() {
					w.era++
					w.entries, w.revision = entries, revision
					for key, e := range entries {
						e.Revision = kvstore.RevisionAt(w.era, e.Revision.Number())
						entries[key] = e
					}
					if !withHolder {
						delete(entries, keyPrefix+string(duty.Usage))
					}
				})
				w.run(20 * time.Second)
				if w.holder() == nil {
					t.Error("nobody holds the duty")
				}
			})
		})
	}
}

// A node that holds the duty for the first time after the store lost reports must learn from another one that they were sent.
func TestRestoredStoreAndNewHolder(t *testing.T) {
	inWorld(t, 0.05, 0, func(w *world) {
		var entries map[string]kvstore.Entry
		w.set(func() { entries = maps.Clone(w.entries) })
		w.run(11 * time.Second)
		n := w.holder()
		w.set(func() {
			w.era++
			delete(entries, keyPrefix+string(duty.Usage))
			for key, e := range entries {
				e.Revision = kvstore.RevisionAt(w.era, e.Revision.Number())
				entries[key] = e
			}
			w.entries = entries
			w.order = []string{"c", "a", "b"}
			if n.name == "a" {
				w.order = []string{"c", "b", "a"}
			}
		})
		w.kill(n.name, 5*time.Second)
		w.run(15 * time.Second)
		if got := w.holder(); got == nil || got.name != "c" {
			t.Errorf("got holder %v, want c", got)
		}
	})
}

// Counts of nodes that are cut off from those that report must arrive once the links are back. Until then their windows wait: they hold more
// than half of what reports may be off by.
func TestMessagesLost(t *testing.T) {
	inWorld(t, 0.025, 0, func(w *world) {
		w.set(func() { w.nodes["c"].cut, w.nodes["d"].cut = true, true })
		w.run(8 * time.Second)
		w.set(func() { w.nodes["c"].cut, w.nodes["d"].cut = false, false })
		w.run(10 * time.Second)
	})
}

// A node that sends no counts must not hold up reports: its requests are missing, and the log names it.
func TestOldNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b", "old")
		w.start("a")
		w.start("b")
		w.start("old").end()
		w.nodes["old"].paused = time.Now().Add(time.Hour)
		w.run(50 * time.Second)
		w.check(0, 1)
		first := duty.Windows{Length: testWindow}.At(w.began)
		for k, late := range w.lateness() {
			if k > first+3 && late > testDue {
				t.Errorf("window %d: reported %v after its end", k, late)
			}
		}
		named := false
		for _, e := range append(w.nodes["a"].lines.all(), w.nodes["b"].lines.all()...) {
			if missing, ok := e.Fields["missing"].([]string); ok && len(missing) == 1 && missing[0] == "old" {
				named = true
			}
		}
		if !named {
			t.Error("no line names the node that sends no counts")
		}
	})
}

// A node that starts again counts on under another nonce, and one that may report learns everything again.
func TestNodesRestart(t *testing.T) {
	inWorld(t, 0.05, 0, func(w *world) {
		for _, name := range []string{"e", "b", "a"} {
			w.nodes[name].end()
			w.start(name)
			w.run(9 * time.Second)
		}
	})
}

// A wall clock that jumps by seconds and back must not change the windows of a node.
func TestClockStep(t *testing.T) {
	inWorld(t, 0, 0, func(w *world) {
		w.set(func() { w.nodes["a"].step, w.nodes["d"].step = 4*time.Second, -3*time.Second })
		w.run(20 * time.Second)
		w.set(func() { w.nodes["a"].step, w.nodes["d"].step = 0, 0 })
	})
}

// A node whose clock is wrong from its start must follow the others.
func TestStartWithWrongClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startAll(t, "a", "b", "c")
		n := &testNode{w: w, name: "d", step: -8 * time.Second}
		w.startNode(n)
		w.run(3 * time.Second)
		if off := time.Until(n.now()).Abs(); off > 200*time.Millisecond {
			t.Errorf("after 3 s: got a clock that is %v off", off)
		}
	})
}

// Malformed entries and messages must change nothing, be logged, and never lead to a second report of a window.
func TestMalformedInput(t *testing.T) {
	inWorld(t, 0.02, 2, func(w *world) {
		n := w.holder()
		rejected := n.logged("countsRejected")
		answer, err := n.handleUsage(t.Context(), node.Sender{Name: "c"}, usageMessage{Nonce: "x", Through: time.Now().UnixMilli(),
			Windows: map[uint64]duty.Counts{n.windows.At(time.Now()): {"huka": -100}}})
		if err != nil || answer.Rejected == "" || n.logged("countsRejected") != rejected+1 {
			t.Errorf("malformed counts: got %+v, %v", answer, err)
		}
		w.set(func() {
			e := w.entries[reportsKey]
			w.revision++
			e.Value, e.Revision = json.RawMessage(`{"closed":"x"`), kvstore.RevisionAt(w.era, w.revision)
			w.entries[reportsKey] = e
		})
		w.run(10 * time.Second)
		if n.logged("usageUnreadable") == 0 {
			t.Error("malformed entry: no line")
		}
	})
}

// A holder that drains must hand over within about the time that a new holder waits.
func TestHolderDrains(t *testing.T) {
	inWorld(t, 0, 0, func(w *world) {
		n := w.holder()
		n.Drain()
		w.run(time.Second)
		if n.Acting(duty.Usage) {
			t.Error("the draining node still acts")
		}
		w.run(testTTL + time.Second)
		if next := w.holder(); next == nil || next == n {
			t.Errorf("got holder %v, want another", next)
		}
	})
}

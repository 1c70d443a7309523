package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	fakeplatform "ebonyferry/internal/fake/platform"
)

// Nodes whose registration and lease are lost with a restored store register again at once. Meanwhile no node leaves the views of
// the others, and none takes its own record of an earlier time for another process.
func TestRegistrationsLostInARestore(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration // of the copy
	}{
		{"copy from before all registrations", time.Minute},
		{"copy from before some registrations", 3 * time.Second},
		{"copy with all registrations", time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				for i := range 3 {
					h.start(nodeOf(0, i))
				}
				time.Sleep(5 * time.Second)
				h.start(nodeOf(0, 3))
				h.kill("d0n1")
				h.start(nodeOf(0, 1)) // its earlier registration is in the copy
				h.names = []string{"d0n0", "d0n1", "d0n2", "d0n3"}
				time.Sleep(2 * time.Second)
				h.checkViews("before", h.names, h.names)
				h.store.SetOutage(fakeplatform.OutageRefuse)
				time.Sleep(2 * time.Second)
				h.store.Restore(tt.age + 2*time.Second)
				for range 200 { // leases that the store lost count as valid until the nodes learn of it
					h.checkOthers("after the restore")
					time.Sleep(10 * time.Millisecond)
				}
				h.checkViews("2s after the restore", h.names, h.names)
				h.runFor(60*time.Second, nil)
				h.checkViews("a minute after the restore", h.names, h.names)
				for _, name := range h.names {
					select {
					case err := <-h.nodes[name].done:
						t.Fatalf("%s stopped: %v", name, err)
					default:
					}
					if v := h.nodes[name].View(); !v.SelfLeased || !v.StoreFresh {
						t.Errorf("%s: got leased %v, fresh %v, want both", name, v.SelfLeased, v.StoreFresh)
					}
				}
			})
		})
	}
}

// checkOthers checks that each node sees all others. It may not list itself while it registers.
func (h *harness) checkOthers(when string) {
	h.t.Helper()
	for _, name := range h.names {
		for _, other := range h.names {
			if _, ok := h.nodes[name].View().Node(other); !ok && other != name {
				h.t.Errorf("%s: %s sees %q, want %s too", when, name, liveNames(h.nodes[name].View()), other)
			}
		}
	}
}

// A node drains in the store after a restore too: the revision of its record is of an earlier era.
func TestDrainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 1, 3)
		h.store.Restore(time.Second)
		time.Sleep(5 * time.Second)
		h.nodes["d0n0"].Drain()
		time.Sleep(5 * time.Second)
		n, ok := h.nodes["d0n1"].View().Node("d0n0")
		if !ok || !n.Draining {
			t.Errorf("view of another node: got listed %v, draining %v, want both", ok, n.Draining)
		}
	})
}

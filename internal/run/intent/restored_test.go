package intent_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/spread"
)

// reload reads the head from the store, as an operator's tool does before a change.
func (h *harness) reload() {
	h.t.Helper()
	entry, err := h.operator.Get(h.t.Context(), bundle.HeadKey)
	if err != nil {
		h.t.Fatal(err)
	}
	h.head, h.headRevision = bundle.Head{}, entry.Revision
	if err := json.Unmarshal(entry.Value, &h.head); err != nil {
		h.t.Fatal(err)
	}
}

// marks returns the VMs out of service by the head in force at a node.
func (h *harness) marks(n string) string {
	inForce, _ := h.nodes[n].Current()
	if inForce == nil {
		return ""
	}
	data, _ := json.Marshal(inForce.Head.OutOfService.VMs)
	return string(data)
}

// A change that was confirmed stays in force after the store came back from an earlier copy, is in the store again, and is the base of
// later changes, which are in force in time.
func TestHeadsLostInARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 2, 3)
		h.writeHead(true)
		h.runFor(5*time.Second, nil)
		h.writeHead(false)
		h.writeHead(true)
		last := h.writeHead(false)
		h.runFor(spreadTarget, nil)
		h.checkNodes("before the restore", last, spread.Fresh)
		h.store.Restore(4 * time.Second) // as after the first head
		h.runFor(5*time.Second, nil)
		h.checkNodes("after the restore", last, spread.Fresh)
		h.reload()
		if got, want := h.head.Revision, last; got != want {
			t.Fatalf("head in the store after the restore: got %d, want %d", got, want)
		}
		next := h.writeHead(true)
		h.runFor(spreadTarget, nil)
		h.checkNodes("after a change", next, spread.Fresh)
		h.kill(name(0, 0))
		h.start(0, 0)
		h.runFor(spreadTarget+2*time.Second, nil)
		h.checkNodes("after a restart", next, spread.Fresh)
	})
}

// A change that operators make before nodes have written the lost head again is in force in time, although its revision was given
// out before.
func TestChangeOfARestoredHeadIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 2, 3)
		h.writeHead(true)
		h.runFor(5*time.Second, nil)
		for range 4 {
			h.writeHead(false)
		}
		h.runFor(spreadTarget, nil)
		h.store.Restore(4 * time.Second)
		h.reload()
		h.head.Summary = "after the restore"
		h.writeHead(true)
		h.runFor(spreadTarget, nil)
		for n := range h.nodes {
			inForce, _ := h.nodes[n].Current()
			if got, want := inForce.Head.Summary, "after the restore"; got != want {
				t.Errorf("%s: got a head with summary %q and marks %s, want %q", n, got, h.marks(n), want)
			}
		}
	})
}

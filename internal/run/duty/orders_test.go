package duty

import (
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/duty"
	"ebonyferry/internal/edge/node"
)

// scalingWorld starts nodes that have only the scaling duty, and waits until one holds it.
func scalingWorld(t *testing.T) (*world, *testNode) {
	t.Helper()
	w := newWorld(t, "a", "b")
	w.held = []duty.Kind{duty.Scaling}
	for _, name := range []string{"a", "b", "c"} {
		w.start(name)
	}
	time.Sleep(10 * time.Second)
	for _, n := range w.nodes {
		if n.Acting(duty.Scaling) {
			return w, n
		}
	}
	t.Fatal("nobody holds the duty")
	return nil, nil
}

func (w *world) takenOrders() []platformOrder {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.platform.orders
}

// Demand of requests that wait at a node which may hold no duty must lead to one order in each failure domain, and none follows without a change.
func TestOrdersFollowWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, holder := scalingWorld(t)
		if got := w.takenOrders(); len(got) != 0 {
			t.Errorf("without demand: got orders %v", got)
		}
		w.set(func() { w.waiting["c"] = map[string]float64{"s": 4} })
		time.Sleep(3 * time.Second)
		got := w.takenOrders()
		if len(got) != 2 || w.servers["x"] != w.servers["y"] || w.servers["x"] < 4 || got[0].term.Holder != holder.name {
			t.Errorf("got orders %v, want the same number of at least 4 in both failure domains", got)
		}
		time.Sleep(10 * time.Second)
		if after := w.takenOrders(); len(after) != len(got) {
			t.Errorf("without a change: got orders %v", after[len(got):])
		}
	})
}

// An order that the platform did not answer must be given again, and none may be given by a holder whose lease ended.
func TestOrdersOverFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, holder := scalingWorld(t)
		w.set(func() { w.platform.down, w.running = true, 6 })
		time.Sleep(3 * time.Second)
		w.set(func() { w.platform.down = false })
		time.Sleep(2 * time.Second)
		if got := w.takenOrders(); len(got) != 2 {
			t.Errorf("after the platform came back: got orders %v, want one in each failure domain", got)
		}
		w.set(func() { w.down, w.running = true, 8 })
		time.Sleep(testTTL)
		ended := len(w.takenOrders())
		w.set(func() { w.running = 9 })
		time.Sleep(10 * time.Second)
		if got := w.takenOrders(); len(got) != ended {
			t.Errorf("after the lease of %v ended: got orders %v", holder, got[ended:])
		}
	})
}

// Malformed waiting demand must change nothing and be logged.
func TestMalformedWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, holder := scalingWorld(t)
		for _, n := range []float64{-1, 1e9} {
			answer, err := holder.handleUsage(t.Context(), node.Sender{Name: "c"},
				usageMessage{Nonce: "x", Through: time.Now().UnixMilli(), Waiting: map[string]float64{"s": n}})
			if err != nil || answer.Rejected == "" {
				t.Errorf("waiting demand of %v servers: got %+v, %v, want it rejected", n, answer, err)
			}
		}
		time.Sleep(2 * time.Second)
		if got := w.takenOrders(); len(got) != 0 || holder.logged("countsRejected") == 0 {
			t.Errorf("got orders %v and %d lines, want none and one", got, holder.logged("countsRejected"))
		}
	})
}

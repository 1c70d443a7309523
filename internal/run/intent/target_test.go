// This file tests membership and configuration at the size that the system must support, in virtual time.

package intent_test

import (
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/spread"
	"ebonyferry/internal/edge/kvstore"
	fakeplatform "ebonyferry/internal/fake/platform"
)

const (
	targetDomains   = 8
	targetPerDomain = 41
	// Membership and configuration may use a quarter of the store's rates; the rest is for what lasts.
	maxWrites = 500 / 4
	maxReads  = 2000 / 4
)

// callRates returns the rates of the fleet's reads and writes of the store during d, in calls per second.
func (h *harness) callRates(d time.Duration) (reads, writes float64) {
	h.store.ResetCounts()
	time.Sleep(d)
	for kind, c := range h.store.Counts() {
		if kind.Writes() {
			writes += float64(c.Calls) / d.Seconds()
		} else {
			reads += float64(c.Calls) / d.Seconds()
		}
	}
	return reads, writes
}

func TestTargetSize(t *testing.T) {
	perDomain := targetPerDomain
	if testing.Short() {
		perDomain = 5
	}
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, targetDomains, perDomain)
		h.checkViews("five seconds after all nodes started")

		rev := h.writeHead(true)
		time.Sleep(spreadTarget)
		h.checkNodes("after a change", rev, spread.Fresh)
		rep := h.nodes[name(0, 0)].InForceReport(t.Context(), rev)
		if len(rep.Missing) != 0 {
			t.Errorf("report: got missing %v, want none", rep.Missing)
		}

		if reads, writes := h.callRates(10 * time.Second); reads > maxReads || writes > maxWrites {
			t.Errorf("store at rest: got %.1f reads and %.1f writes per second, want at most %d and %d", reads, writes, maxReads, maxWrites)
		}

		// After an outage that let all leases expire, all nodes register at the same time, within the store's rates.
		h.store.SetOutage(fakeplatform.OutageRefuse)
		time.Sleep(20 * time.Second)
		h.checkNodes("in the outage", rev, spread.SharedOutage)
		h.store.ResetCounts()
		h.store.SetOutage(fakeplatform.OutageNone)
		time.Sleep(10 * time.Second)
		h.checkViews("ten seconds after the outage")
		h.checkNodes("after the outage", rev, spread.Fresh)
		if grants := h.store.Counts()[kvstore.KindGrantLease]; grants.Calls > 2*len(h.nodes) {
			t.Errorf("leases requested after the outage: got %d, want at most two per node", grants.Calls)
		}

		// A whole failure domain fails. The other nodes detect it within the duration of a lease.
		for i := range perDomain {
			h.kill(name(7, i))
		}
		time.Sleep(13 * time.Second)
		h.checkViews("after a failure domain was lost")
	})
}

// checkViews checks that every node's view has exactly the running nodes, and that every node holds its lease.
func (h *harness) checkViews(when string) {
	h.t.Helper()
	for n, p := range h.nodes {
		v := p.fleet.View()
		if got, want := len(v.Nodes), len(h.nodes); got != want || !v.SelfLeased {
			h.t.Fatalf("%s: %s sees %d nodes, leased %v, want %d, true", when, n, got, v.SelfLeased, want)
		}
	}
}

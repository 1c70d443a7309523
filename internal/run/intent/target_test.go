package intent_test

import (
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/spread"
	"ebonyferry/internal/edge/kvstore"
	fakeplatform "ebonyferry/internal/fake/platform"
)

// This file tests membership and configuration at the size that the system has to carry, in virtual time.

const (
	targetDomains   = 8
	targetPerDomain = 41
	// Membership and configuration may use a quarter of the store's rates; the rest is for what lasts.
	maxWrites = 500 / 4
	maxReads  = 2000 / 4
)

// Counts the calls that a fleet makes while time passes, by sort, in calls a second.
func (b *bench) rates(d time.Duration) (reads, writes float64) {
	b.store.ResetCounts()
	time.Sleep(d)
	for kind, c := range b.store.Counts() {
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
		b := startFleet(t, targetDomains, perDomain)
		b.expectWhole("five seconds after all started at once")

		rev := b.change(true)
		time.Sleep(spreadTarget)
		b.expect("after a change", rev, spread.Fresh)
		rep := b.nodes[name(0, 0)].InForceReport(t.Context(), rev)
		if len(rep.Missing) != 0 {
			t.Errorf("report: got missing %v, want none", rep.Missing)
		}

		if reads, writes := b.rates(10 * time.Second); reads > maxReads || writes > maxWrites {
			t.Errorf("store at rest: got %.1f reads and %.1f writes a second, want at most %d and %d", reads, writes, maxReads, maxWrites)
		}

		// After an outage that let all leases lapse, all register at once, within the store's rates.
		b.store.SetOutage(fakeplatform.OutageRefuse)
		time.Sleep(20 * time.Second)
		b.expect("in the outage", rev, spread.SharedOutage)
		b.store.ResetCounts()
		b.store.SetOutage(fakeplatform.OutageNone)
		time.Sleep(10 * time.Second)
		b.expectWhole("ten seconds after the outage")
		b.expect("after the outage", rev, spread.Fresh)
		if grants := b.store.Counts()[kvstore.KindGrantLease]; grants.Calls > 2*len(b.nodes) {
			t.Errorf("leases asked for after the outage: got %d, want at most two a node", grants.Calls)
		}

		// A whole failure domain goes; the rest sees it within a lease.
		for i := range perDomain {
			b.kill(name(7, i))
		}
		time.Sleep(13 * time.Second)
		b.expectWhole("after a failure domain was lost")
	})
}

// Checks that every node sees exactly the nodes that run, and holds its lease.
func (b *bench) expectWhole(when string) {
	b.t.Helper()
	for n, p := range b.nodes {
		v := p.fleet.View()
		if got, want := len(v.Nodes), len(b.nodes); got != want || !v.SelfLeased {
			b.t.Fatalf("%s: %s sees %d nodes, leased %v, want %d, true", when, n, got, v.SelfLeased, want)
		}
	}
}

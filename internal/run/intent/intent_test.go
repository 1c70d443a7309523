package intent_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/spread"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
	fakenode "ebonyferry/internal/fake/node"
	fakeplatform "ebonyferry/internal/fake/platform"
	"ebonyferry/internal/run/fleet"
	"ebonyferry/internal/run/intent"
)

// This file tests the spread of the configuration over whole fleets in virtual time.

const (
	storeHost = "store"
	// spreadTarget is the time within which a change is in force on a fleet of today's size.
	spreadTarget = 3 * time.Second
)

var storeAddr = netip.MustParseAddrPort("10.9.9.9:2379")

// bench is a fleet on an in-memory network with an operator who writes heads.
type bench struct {
	t        *testing.T
	net      *fakenode.Network
	store    *fakeplatform.Server
	operator *kvstore.Client
	nodes    map[string]*process
	head     bundle.Head
	headRev  kvstore.Revision
	highest  map[string]bundle.Revision // ever seen in force, by node and across its restarts
}

type process struct {
	*intent.Intent
	fleet *fleet.Fleet
	self  membership.Node
	stop  context.CancelFunc
}

func startFleet(t *testing.T, domains, perDomain int) *bench {
	b := &bench{
		t:       t,
		net:     fakenode.NewNetwork(time.Millisecond),
		store:   fakeplatform.New(),
		nodes:   make(map[string]*process),
		highest: make(map[string]bundle.Revision),
	}
	b.net.Serve(storeHost, storeAddr, b.store.Handler())
	b.operator = kvstore.New([]netip.AddrPort{storeAddr}, kvstore.WithHTTPClient(b.net.Client("operator")))
	for d := range domains {
		for i := range perDomain {
			b.start(d, i)
		}
	}
	time.Sleep(5 * time.Second)
	return b
}

func name(domain, i int) string { return fmt.Sprintf("d%dn%d", domain, i) }

func (b *bench) start(domain, i int, opts ...fleet.Option) {
	self := membership.Node{
		Name:          name(domain, i),
		Addr:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(domain), byte(i + 1)}), 7000),
		Region:        "r0",
		FailureDomain: fmt.Sprintf("d%d", domain),
	}
	http := b.net.Client(self.Name)
	client := node.NewClient(node.Sender{Name: self.Name}, node.WithHTTPClient(http, "http"))
	store := kvstore.New([]netip.AddrPort{storeAddr}, kvstore.WithHTTPClient(http))
	heads := kvstore.New([]netip.AddrPort{storeAddr}, kvstore.WithHTTPClient(http), kvstore.WithWatchWait(intent.WatchWait))
	ctx, stop := context.WithCancel(b.t.Context())
	f := fleet.New(self, store, client, opts...)
	in := intent.New(heads, f, client)
	router := chi.NewRouter()
	f.Mount(router)
	in.Mount(router)
	b.net.Serve(self.Name, self.Addr, router)
	go f.Run(ctx)
	go in.Run(ctx)
	b.nodes[self.Name] = &process{Intent: in, fleet: f, self: self, stop: stop}
}

func (b *bench) kill(name string) {
	p := b.nodes[name]
	b.net.Serve(name, p.self.Addr, nil)
	p.stop()
	delete(b.nodes, name)
}

// Writes a head with a new bundle, or with a new mark only, and returns its revision.
func (b *bench) change(newBundle bool) bundle.Revision {
	b.t.Helper()
	ctx := b.t.Context()
	next := b.head
	next.Revision++
	next.OutOfService.VMs = []string{fmt.Sprintf("vm%d", next.Revision)}
	if newBundle {
		doc := bundle.Canonical(bundle.Bundle{Author: "ann", Note: fmt.Sprint("bundle ", next.Revision)})
		parts, err := bundle.EncodeBundle(doc)
		if err != nil {
			b.t.Fatal(err)
		}
		b.write(bundle.BundlePrefix(doc.ID), parts)
		keys := bundle.Keys{Revision: next.Revision, Accounts: []bundle.Account{{ID: "a", KeyHashes: []string{"x"}}}}
		b.write(bundle.KeysPrefix(next.Revision), bundle.EncodeKeys(keys))
		next.BundleID = doc.ID
		next.KeysRevision = next.Revision
		next.KeysDigest = bundle.KeysDigest(keys)
	}
	value, err := json.Marshal(next)
	if err != nil {
		b.t.Fatal(err)
	}
	rev, err := b.operator.CompareAndSwap(ctx, bundle.HeadKey, b.headRev, value, 0)
	if err != nil {
		b.t.Fatal(err)
	}
	b.head, b.headRev = next, rev
	return next.Revision
}

func (b *bench) write(prefix string, parts [][]byte) {
	b.t.Helper()
	for i, part := range parts {
		if _, err := b.operator.CompareAndSwap(b.t.Context(), bundle.PartKey(prefix, i), 0, part, 0); err != nil {
			b.t.Fatal(err)
		}
	}
}

// Lets time pass and checks at every step that no node goes back, across its restarts too.
func (b *bench) pass(d time.Duration, also func(elapsed time.Duration)) {
	b.t.Helper()
	const step = 50 * time.Millisecond
	for elapsed := step; elapsed <= d; elapsed += step {
		time.Sleep(step)
		for n, p := range b.nodes {
			force, _ := p.Current()
			if force == nil {
				continue
			}
			if got, want := force.Head.Revision, b.highest[n]; got < want {
				b.t.Fatalf("%s went back: got revision %d, want %d or higher", n, got, want)
			}
			b.highest[n] = force.Head.Revision
		}
		if also != nil {
			also(elapsed)
		}
	}
}

// Checks that every node holds revision and has the standing.
func (b *bench) expect(when string, revision bundle.Revision, standing spread.Status) {
	b.t.Helper()
	for n := range b.nodes {
		b.expectNode(when, n, revision, standing)
	}
}

func (b *bench) expectNode(when, n string, revision bundle.Revision, standing spread.Status) {
	b.t.Helper()
	force, fresh := b.nodes[n].Current()
	var got bundle.Revision
	if force != nil {
		got = force.Head.Revision
	}
	if got != revision || fresh.Status != standing {
		b.t.Errorf("%s: %s has revision %d, %s, want %d, %s", when, n, got, fresh.Status, revision, standing)
	}
}

func TestSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startFleet(t, 3, 6)
		b.expect("before the first head", 0, spread.None)
		for range 3 {
			rev := b.change(true)
			b.pass(spreadTarget, nil)
			b.expect("after a bundle", rev, spread.Fresh)
			rev = b.change(false)
			b.pass(spreadTarget, nil)
			b.expect("after a mark", rev, spread.Fresh)
		}
		rep := b.nodes["d1n2"].InForceReport(t.Context(), b.head.Revision)
		if got, want := len(rep.InForce), len(b.nodes); got != want || len(rep.Missing) != 0 {
			t.Errorf("report: got %d in force, missing %v, want %d and none", got, rep.Missing, want)
		}
		b.pass(30*time.Second, func(time.Duration) { b.expect("at rest", b.head.Revision, spread.Fresh) })
	})
}

func TestReportNamesTheMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startFleet(t, 2, 5)
		b.change(true)
		b.pass(spreadTarget, nil)
		b.net.Pause("d0n1")
		rev := b.change(false)
		b.pass(5*time.Second, nil)
		rep := b.nodes["d1n0"].InForceReport(t.Context(), rev)
		if got, want := len(rep.InForce), 9; got != want {
			t.Errorf("in force: got %d, want %d", got, want)
		}
		if len(rep.Missing) != 1 || rep.Missing[0].Name != "d0n1" || rep.Missing[0].Reason == "" {
			t.Errorf("missing: got %v, want d0n1 with a reason", rep.Missing)
		}
		b.net.Resume("d0n1")
	})
}

// In an outage that all share, nodes go on; when the store is back, late, they take its news.
func TestSharedOutage(t *testing.T) {
	for _, mode := range []fakeplatform.OutageMode{fakeplatform.OutageRefuse, fakeplatform.OutageSilent} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := startFleet(t, 3, 5)
				rev := b.change(true)
				b.pass(spreadTarget, nil)
				b.store.SetOutage(mode)
				b.pass(2*time.Minute, func(time.Duration) {
					for n, p := range b.nodes {
						if _, fresh := p.Current(); !fresh.AcceptsWork() {
							t.Fatalf("%s takes no work in a shared outage: %s", n, fresh.Status)
						}
					}
				})
				b.expect("in the outage", rev, spread.SharedOutage)
				peer := b.nodes["d1n0"].self.Addr
				b.kill("d0n0")
				b.start(0, 0, fleet.WithPeers(peer))
				b.pass(20*time.Second, nil)
				b.expect("restarted in the outage", rev, spread.SharedOutage)
				b.store.SetOutage(fakeplatform.OutageNone)
				b.pass(5*time.Second, nil)
				rev = b.change(true)
				b.pass(spreadTarget, nil)
				b.expect("after the outage", rev, spread.Fresh)
			})
		})
	}
}

// Nodes that lose both the store and most of the fleet stop taking work within the limit, and do not take it
// again before they hold the head.
func TestCutOff(t *testing.T) {
	tests := []struct {
		name string
		cut  string // prefix of the names that are cut off
	}{
		{"one node", "d1n2"},
		{"one failure domain", "d1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := startFleet(t, 3, 4)
				b.change(true)
				b.pass(spreadTarget, nil)
				cut := func(on bool) {
					for n := range b.nodes {
						if !strings.HasPrefix(n, test.cut) {
							continue
						}
						b.net.Cut(n, storeHost, on)
						for other := range b.nodes {
							if !strings.HasPrefix(other, test.cut) {
								b.net.Cut(n, other, on)
							}
						}
					}
				}
				cut(true)
				rev := b.change(false)
				b.pass(time.Minute, func(elapsed time.Duration) {
					for n, p := range b.nodes {
						force, fresh := p.Current()
						stale := force.Head.Revision < rev
						if elapsed > spread.MaxConfirmationAge+time.Second && stale && fresh.AcceptsWork() {
							t.Fatalf("after %v %s takes work without the head: %s", elapsed, n, fresh.Status)
						}
						if elapsed > spread.MaxConfirmationAge+time.Second && !strings.HasPrefix(n, test.cut) && !fresh.AcceptsWork() {
							t.Fatalf("after %v %s is in touch and takes no work", elapsed, n)
						}
					}
				})
				cut(false)
				b.pass(10*time.Second, nil)
				b.expect("after the return", rev, spread.Fresh)
			})
		})
	}
}

// Relays that cannot reach the store pass on what relays elsewhere hear from it.
func TestStoreOutOfReachOfOneDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startFleet(t, 3, 4)
		b.change(true)
		b.pass(spreadTarget, nil)
		for n := range b.nodes {
			if strings.HasPrefix(n, "d2") {
				b.net.Cut(n, storeHost, true)
			}
		}
		b.pass(30*time.Second, nil)
		rev := b.change(true)
		b.pass(10*time.Second, nil)
		b.expect("without the store", rev, spread.Fresh)
	})
}

// A follower of relays that are cut off from the store reads it itself, and does not go back when it restarts
// beside them.
func TestFollowerOfStaleRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startFleet(t, 2, 4)
		b.change(true)
		b.pass(spreadTarget, nil)
		follower := b.follower("d0")
		for n := range b.nodes {
			if strings.HasPrefix(n, "d0") && n != follower {
				b.net.Cut(n, storeHost, true)
				for i := range 4 {
					b.net.Cut(n, name(1, i), true)
				}
			}
		}
		b.change(true)
		b.pass(spread.MaxConfirmationAge+5*time.Second, nil)
		b.expectNode("beside stale relays", follower, b.head.Revision, spread.Fresh)
		i := int(follower[len(follower)-1] - '0')
		b.kill(follower)
		b.start(0, i)
		b.pass(10*time.Second, nil)
		b.expectNode("after the restart", follower, b.head.Revision, spread.Fresh)
	})
}

// Returns the name of a node of a failure domain that is not a relay.
func (b *bench) follower(domain string) string {
	var nodes []membership.Node
	for _, p := range b.nodes {
		nodes = append(nodes, p.self)
	}
	relays := membership.Relays(nodes, domain)
	for _, n := range nodes {
		isRelay := slices.ContainsFunc(relays, func(r membership.Node) bool { return r.Name == n.Name })
		if n.FailureDomain == domain && !isRelay {
			return n.Name
		}
	}
	b.t.Fatalf("failure domain %s has only relays", domain)
	return ""
}

// A head whose documents are missing or damaged is not applied; the report says why, and nodes stop taking
// work under the old one.
func TestDamagedDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startFleet(t, 2, 4)
		old := b.change(true)
		b.pass(spreadTarget, nil)
		b.head.BundleID = strings.Repeat("0", 64)
		b.write(bundle.BundlePrefix(b.head.BundleID), [][]byte{[]byte(`{"index":0,"count":1,"data":"e30="}`)})
		rev := b.change(false)
		b.pass(spread.MaxConfirmationAge+3*time.Second, nil)
		b.expect("with a damaged bundle", old, spread.CutOff)
		rep := b.nodes["d0n0"].InForceReport(t.Context(), rev)
		if got, want := len(rep.Missing), len(b.nodes); got != want || !strings.Contains(rep.Missing[0].Reason, "bundle") {
			t.Errorf("missing: got %v, want all %d with the reason", rep.Missing, want)
		}
		rev = b.change(true)
		b.pass(spreadTarget, nil)
		b.expect("after a sound bundle", rev, spread.Fresh)
	})
}

// This file tests the membership of whole fleets in virtual time, with the real clients and messages.

package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
	fakenode "ebonyferry/internal/fake/node"
	fakeplatform "ebonyferry/internal/fake/platform"
	"ebonyferry/internal/run/fleet"
)

const storeHost = "store"

var storeAddr = netip.MustParseAddrPort("10.9.9.9:2379")

// harness is a fleet on an in-memory network.
type harness struct {
	t     *testing.T
	net   *fakenode.Network
	store *fakeplatform.Server
	nodes map[string]*process
	names []string
}

// process is one process of a node, from its start to its end.
type process struct {
	*fleet.Fleet
	self membership.Node
	stop context.CancelFunc
	done chan error
}

func newHarness(t *testing.T) *harness {
	h := &harness{
		t:     t,
		net:   fakenode.NewNetwork(time.Millisecond),
		store: fakeplatform.New(fakeplatform.WithCopies(0)),
		nodes: make(map[string]*process),
	}
	h.net.Serve(storeHost, storeAddr, h.store.Handler())
	return h
}

// startHarness starts a fleet of perDomain nodes in each failure domain, named d0n0, d0n1 and so on.
func startHarness(t *testing.T, domains, perDomain int) *harness {
	h := newHarness(t)
	h.startNodes(domains, perDomain)
	time.Sleep(5 * time.Second)
	return h
}

func (h *harness) startNodes(domains, perDomain int) {
	for d := range domains {
		for i := range perDomain {
			h.start(nodeOf(d, i))
		}
	}
}

func nodeOf(domain, i int) membership.Node {
	return membership.Node{
		Name:          fmt.Sprintf("d%dn%d", domain, i),
		Addr:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(domain), byte(i + 1)}), 7000),
		Region:        "r0",
		FailureDomain: fmt.Sprintf("d%d", domain),
	}
}

func (h *harness) start(self membership.Node, opts ...fleet.Option) *process {
	http := h.net.Client(self.Name)
	client := node.NewClient(node.Sender{Name: self.Name}, node.WithHTTPClient(http, "http"))
	store := kvstore.New([]netip.AddrPort{storeAddr}, kvstore.WithHTTPClient(http))
	ctx, stop := context.WithCancel(h.t.Context())
	p := &process{Fleet: fleet.New(self, store, client, opts...), self: self, stop: stop, done: make(chan error, 1)}
	router := chi.NewRouter()
	p.Mount(router)
	h.net.Serve(self.Name, self.Addr, router)
	go func() { p.done <- p.Run(ctx) }()
	if h.nodes[self.Name] == nil {
		h.names = append(h.names, self.Name)
	}
	h.nodes[self.Name] = p
	return p
}

// kill stops a node and removes it from the network without a message to the others.
func (h *harness) kill(name string) {
	p := h.nodes[name]
	h.net.Serve(name, p.self.Addr, nil)
	p.stop()
	delete(h.nodes, name)
	h.names = without(h.names, name)
}

// setCut cuts or restores all links between two sets of hosts.
func (h *harness) setCut(from, to []string, cut bool) {
	for _, a := range from {
		for _, c := range to {
			h.net.Cut(a, c, cut)
		}
	}
}

func (h *harness) inDomain(domain string) []string {
	var names []string
	for _, name := range h.names {
		if strings.HasPrefix(name, domain) {
			names = append(names, name)
		}
	}
	return names
}

func without(names []string, omit ...string) []string {
	var kept []string
	for _, name := range names {
		if !strings.Contains(" "+strings.Join(omit, " ")+" ", " "+name+" ") {
			kept = append(kept, name)
		}
	}
	return kept
}

func liveNames(v *membership.View) string {
	var names []string
	for _, n := range v.Nodes {
		names = append(names, n.Name)
	}
	return strings.Join(names, " ")
}

// checkViews checks that the view of every node of names has exactly the nodes of want.
func (h *harness) checkViews(when string, names, want []string) {
	h.t.Helper()
	for _, name := range names {
		if got, want := liveNames(h.nodes[name].View()), strings.Join(want, " "); got != want {
			h.t.Errorf("%s: %s sees %q, want %q", when, name, got, want)
		}
	}
}

// runFor lets d pass and checks at every step that no node considers its lease valid after the store has ended it.
func (h *harness) runFor(d time.Duration, also func(elapsed time.Duration)) {
	h.t.Helper()
	const step = 50 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		time.Sleep(step)
		leased := h.store.LeasedKeys()
		for _, name := range h.names {
			p := h.nodes[name]
			v := p.View()
			if !v.HoldsLease(time.Now()) {
				continue
			}
			if !leased["members/"+name] {
				h.t.Fatalf("after %v %s considers a lease valid that has expired", elapsed, name)
			}
		}
		if also != nil {
			also(elapsed)
		}
	}
}

func TestFleetConverges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 4, 5)
		h.checkViews("after the start", h.names, h.names)
		for _, name := range h.names {
			if v := h.nodes[name].View(); !v.SelfLeased || !v.StoreFresh {
				t.Errorf("%s: got leased %v, fresh %v, want both", name, v.SelfLeased, v.StoreFresh)
			}
		}
		h.runFor(30*time.Second, func(time.Duration) { h.checkViews("at rest", h.names, h.names) })
	})
}

func TestFailedPeerIsDetectedWithoutStore(t *testing.T) {
	for _, mode := range []fakeplatform.OutageMode{fakeplatform.OutageNone, fakeplatform.OutageRefuse, fakeplatform.OutageSilent} {
		t.Run("store "+string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := startHarness(t, 2, 6)
				h.store.SetOutage(mode)
				for _, victim := range []string{"d0n0", "d0n3"} {
					h.kill(victim)
					time.Sleep(2500 * time.Millisecond)
					h.checkViews(victim+" killed", h.inDomain("d0"), without(h.names, victim))
				}
			})
		})
	}
}

func TestStoreOutage(t *testing.T) {
	for _, mode := range []fakeplatform.OutageMode{fakeplatform.OutageRefuse, fakeplatform.OutageSilent} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := startHarness(t, 2, 5)
				h.store.SetOutage(mode)
				checkOthers := func(time.Duration) {
					for _, name := range h.names {
						got := liveNames(h.nodes[name].View())
						for _, other := range without(h.names, name) {
							if !strings.Contains(got, other) {
								t.Fatalf("%s sees %q, want %s in it", name, got, other)
							}
						}
					}
				}
				h.runFor(60*time.Second, checkOthers)
				for _, name := range h.names {
					if v := h.nodes[name].View(); v.SelfLeased || v.StoreFresh {
						t.Errorf("%s in the outage: got leased %v, fresh %v, want neither", name, v.SelfLeased, v.StoreFresh)
					}
				}
				h.store.SetOutage(fakeplatform.OutageNone)
				h.runFor(30*time.Second, checkOthers)
				h.checkViews("after the outage", h.names, h.names)
			})
		})
	}
}

// After an outage of the store, the store still lists a node that failed in the outage, and removals are deferred.
// Neither must make the node live again, and its entry must be removed in the end.
func TestNodeFailedInOutageStaysRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 2, 5)
		h.store.SetOutage(fakeplatform.OutageRefuse)
		time.Sleep(20 * time.Second)
		h.kill("d0n1")
		time.Sleep(3 * time.Second)
		h.store.SetOutage(fakeplatform.OutageNone)
		h.runFor(30*time.Second, func(time.Duration) {
			for _, name := range h.inDomain("d0") {
				if strings.Contains(liveNames(h.nodes[name].View()), "d0n1") {
					t.Fatalf("%s sees the failed d0n1 again", name)
				}
			}
		})
		h.checkViews("at the end", h.names, h.names)
	})
}

func TestPausedNodeLosesItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 2, 5)
		first, _ := h.nodes["d0n2"].View().Node("d0n2")
		h.net.Pause("d0n2")
		h.runFor(20*time.Second, nil)
		h.checkViews("while it is paused", without(h.names, "d0n2"), without(h.names, "d0n2"))
		h.net.Resume("d0n2")
		h.runFor(10*time.Second, nil)
		h.checkViews("after the pause", h.names, h.names)
		second, _ := h.nodes["d0n2"].View().Node("d0n2")
		if second.Epoch <= first.Epoch {
			t.Errorf("epoch after the expiry: got %d, want more than %d", second.Epoch, first.Epoch)
		}
	})
}

func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 3, 4)
		inside := h.inDomain("d1")
		outside := append(without(h.names, inside...), storeHost)
		h.setCut(inside, outside, true)
		h.runFor(40*time.Second, nil)
		h.checkViews("outside", without(h.names, inside...), without(h.names, inside...))
		for _, name := range inside {
			if h.nodes[name].View().SelfLeased {
				t.Errorf("%s is cut off and still considers its lease valid", name)
			}
		}
		h.setCut(inside, outside, false)
		h.runFor(20*time.Second, nil)
		h.checkViews("after the partition", h.names, h.names)
	})
}

// If two nodes cannot reach each other while the others reach both, no node must count as unreachable.
func TestBadLinkMarksNoNodeUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 2, 5)
		h.net.Cut("d0n0", "d0n1", true)
		h.net.CutOneWay("d0n2", "d0n3", true)
		h.runFor(30*time.Second, func(time.Duration) { h.checkViews("with bad links", h.names, h.names) })
	})
}

func TestRestartAndTakenName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 2, 3)
		old, _ := h.nodes["d0n0"].View().Node("d0n0")
		h.kill("d0n0")
		h.start(nodeOf(0, 0))
		time.Sleep(time.Second)
		got, ok := h.nodes["d1n0"].View().Node("d0n0")
		if !ok || got.Epoch <= old.Epoch {
			t.Errorf("after the restart: got epoch %d (%v), want more than %d", got.Epoch, ok, old.Epoch)
		}
		// A process at another address must wait until the holder's lease has expired.
		holder := h.nodes["d1n2"]
		rival := nodeOf(1, 2)
		rival.Addr = nodeOf(1, 99).Addr
		second := h.start(rival)
		h.nodes["d1n2"] = holder
		h.runFor(20*time.Second, nil)
		if second.View().SelfLeased || !holder.View().SelfLeased {
			t.Errorf("got rival leased %v, holder leased %v, want the holder alone", second.View().SelfLeased, holder.View().SelfLeased)
		}
	})
}

func TestSupersededNodeStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 1, 3)
		first := h.nodes["d0n0"]
		h.start(nodeOf(0, 0))
		select {
		case err := <-first.done:
			if !errors.Is(err, fleet.ErrSuperseded) {
				t.Errorf("got %v, want ErrSuperseded", err)
			}
		case <-time.After(10 * time.Second):
			t.Error("the superseded process still runs")
		}
	})
}

func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		for _, kind := range []kvstore.Kind{kvstore.KindCAS, kvstore.KindGrantLease, kvstore.KindKeepAlive, kvstore.KindList} {
			h.store.LoseAnswers(kind, 2)
		}
		for i := range 4 {
			h.start(nodeOf(0, i))
		}
		h.runFor(20*time.Second, nil)
		h.checkViews("after lost answers", h.names, h.names)
	})
}

func TestDrainAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 2, 3)
		h.store.SetVMs([]kvstore.VM{{Name: "d1n1", State: kvstore.VMLeaving}, {Name: "server7", State: kvstore.VMLeaving}})
		leaver := h.nodes["d0n0"]
		leaver.Drain()
		time.Sleep(7 * time.Second)
		for _, name := range h.names {
			v := h.nodes[name].View()
			for _, draining := range []string{"d0n0", "d1n1"} {
				if n, ok := v.Node(draining); !ok || !n.Draining {
					t.Errorf("%s sees %s: got draining %v (%v), want true", name, draining, n.Draining, ok)
				}
			}
			if !v.IsLeaving("server7") {
				t.Errorf("%s does not see that server7 is leaving", name)
			}
		}
		if err := leaver.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		h.runFor(20*time.Second, nil)
		h.checkViews("after it left", without(h.names, "d0n0"), without(h.names, "d0n0"))
	})
}

// A fleet that starts in an outage must get the list when the store returns. A node that restarts in an outage must
// get it from its configured peers.
func TestStartInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.store.SetOutage(fakeplatform.OutageRefuse)
		for i := range 3 {
			h.start(nodeOf(0, i))
		}
		h.runFor(10*time.Second, nil)
		h.store.SetOutage(fakeplatform.OutageNone)
		h.runFor(5*time.Second, nil)
		h.checkViews("after the outage", h.names, h.names)
		h.store.SetOutage(fakeplatform.OutageRefuse)
		h.kill("d0n1")
		p := h.start(nodeOf(0, 1), fleet.WithPeers(nodeOf(0, 2).Addr))
		time.Sleep(5 * time.Second)
		if got, want := liveNames(p.View()), "d0n0 d0n2"; got != want {
			t.Errorf("restarted in an outage: got %q, want %q", got, want)
		}
	})
}

// Nodes that lost their leases in an outage must register soon after the store answers again, and not all at once: a
// store whose rate is bounded would refuse most of them, and they would try again together.
func TestRegistrationsAfterAnOutageAreSpread(t *testing.T) {
	const perDomain, within, window = 50, 4 * time.Second, 200 * time.Millisecond
	tests := []struct {
		name   string
		outage func(h *harness)
	}{
		{"start in an outage", func(h *harness) {
			h.store.SetOutage(fakeplatform.OutageRefuse)
			h.startNodes(2, perDomain)
			time.Sleep(10 * time.Second)
		}},
		{"leases expired", func(h *harness) {
			h.startNodes(2, perDomain)
			time.Sleep(3 * time.Second)
			h.store.SetOutage(fakeplatform.OutageRefuse)
			time.Sleep(14 * time.Second)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				tt.outage(h)
				h.store.ResetCounts()
				h.store.SetOutage(fakeplatform.OutageNone)
				registered, most := 0, 0
				for range within / window {
					time.Sleep(window)
					total := h.store.Counts()[kvstore.KindGrantLease].Calls
					registered, most = total, max(most, total-registered)
				}
				if got, want := len(h.store.LeasedKeys()), 2*perDomain; got != want {
					t.Errorf("nodes registered %v after the outage: got %d, want %d", within, got, want)
				}
				// Each registration makes two writes.
				if limit := int(fakeplatform.DefaultRates.Writes*window.Seconds()) / 2; most > limit {
					t.Errorf("registrations within %v: got %d of %d, want at most %d", window, most, 2*perDomain, limit)
				}
			})
		})
	}
}

// Results of heartbeats and statuses of nodes must reach all failure domains before a lease expires.
func TestDigestReachesAllDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 3, 5)
		h.nodes["d0n1"].SetStatus(fleet.Status{Unable: true, Load: 95})
		h.kill("d0n3")
		h.runFor(10*time.Second, nil)
		h.checkViews("d0n3 killed", h.names, h.names)
		for _, name := range h.names {
			v := h.nodes[name].View()
			if !v.IsUnable("d0n1") || len(v.Unable) != 1 {
				t.Errorf("%s: got unable %v, want d0n1", name, v.Unable)
			}
			if got, want := v.Loads["d0n1"], 95; strings.HasPrefix(name, "d0") && got != want {
				t.Errorf("%s: got load %d of d0n1, want %d", name, got, want)
			}
		}
		h.nodes["d0n1"].SetStatus(fleet.Status{})
		h.runFor(20*time.Second, nil)
		for _, name := range h.names {
			if got := h.nodes[name].View().Unable; len(got) != 0 {
				t.Errorf("%s: got unable %v, want none", name, got)
			}
		}
	})
}

// The store refuses a whole failure domain, whose nodes follow relays of their own. They must still learn of nodes that join elsewhere.
func TestDomainWithoutStoreLearnsOfNewNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 2, 5)
		cut := h.inDomain("d0")
		h.setCut(cut, []string{storeHost}, true)
		time.Sleep(time.Second)
		h.start(nodeOf(1, 9))
		time.Sleep(8 * time.Second)
		for _, name := range cut {
			if _, ok := h.nodes[name].View().Node("d1n9"); !ok {
				t.Errorf("%s does not know d1n9 after 8 s", name)
			}
		}
	})
}

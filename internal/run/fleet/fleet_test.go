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

// This file tests the membership of whole fleets in virtual time, through the real clients and messages.

const storeHost = "store"

var storeAddr = netip.MustParseAddrPort("10.9.9.9:2379")

// bench is a fleet on an in-memory network.
type bench struct {
	t     *testing.T
	net   *fakenode.Network
	store *fakeplatform.Server
	nodes map[string]*process
	names []string
}

// process is one life of a node.
type process struct {
	*fleet.Fleet
	self membership.Node
	stop context.CancelFunc
	done chan error
}

func newBench(t *testing.T) *bench {
	b := &bench{
		t:     t,
		net:   fakenode.NewNetwork(time.Millisecond),
		store: fakeplatform.New(),
		nodes: make(map[string]*process),
	}
	b.net.Serve(storeHost, storeAddr, b.store.Handler())
	return b
}

// Starts a fleet of perDomain nodes in each failure domain, named d0n0, d0n1 and so on.
func startFleet(t *testing.T, domains, perDomain int) *bench {
	b := newBench(t)
	for d := range domains {
		for i := range perDomain {
			b.start(nodeOf(d, i))
		}
	}
	time.Sleep(5 * time.Second)
	return b
}

func nodeOf(domain, i int) membership.Node {
	return membership.Node{
		Name:          fmt.Sprintf("d%dn%d", domain, i),
		Addr:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(domain), byte(i + 1)}), 7000),
		Region:        "r0",
		FailureDomain: fmt.Sprintf("d%d", domain),
	}
}

func (b *bench) start(self membership.Node, opts ...fleet.Option) *process {
	http := b.net.Client(self.Name)
	client := node.NewClient(node.Sender{Name: self.Name}, node.WithHTTPClient(http, "http"))
	store := kvstore.New([]netip.AddrPort{storeAddr}, kvstore.WithHTTPClient(http))
	ctx, stop := context.WithCancel(b.t.Context())
	p := &process{Fleet: fleet.New(self, store, client, opts...), self: self, stop: stop, done: make(chan error, 1)}
	router := chi.NewRouter()
	p.Mount(router)
	b.net.Serve(self.Name, self.Addr, router)
	go func() { p.done <- p.Run(ctx) }()
	if b.nodes[self.Name] == nil {
		b.names = append(b.names, self.Name)
	}
	b.nodes[self.Name] = p
	return p
}

// Kills a node: it neither sends nor answers any more.
func (b *bench) kill(name string) {
	p := b.nodes[name]
	b.net.Serve(name, p.self.Addr, nil)
	p.stop()
	delete(b.nodes, name)
	b.names = without(b.names, name)
}

// Cuts or mends all links between two sets of hosts.
func (b *bench) cut(from, to []string, cut bool) {
	for _, a := range from {
		for _, c := range to {
			b.net.Cut(a, c, cut)
		}
	}
}

func (b *bench) inDomain(domain string) []string {
	var names []string
	for _, name := range b.names {
		if strings.HasPrefix(name, domain) {
			names = append(names, name)
		}
	}
	return names
}

func without(names []string, drop ...string) []string {
	var kept []string
	for _, name := range names {
		if !strings.Contains(" "+strings.Join(drop, " ")+" ", " "+name+" ") {
			kept = append(kept, name)
		}
	}
	return kept
}

func live(v *membership.View) string {
	var names []string
	for _, n := range v.Nodes {
		names = append(names, n.Name)
	}
	return strings.Join(names, " ")
}

// Checks at once that every node of names sees exactly want.
func (b *bench) expect(when string, names, want []string) {
	b.t.Helper()
	for _, name := range names {
		if got, want := live(b.nodes[name].View()), strings.Join(want, " "); got != want {
			b.t.Errorf("%s: %s sees %q, want %q", when, name, got, want)
		}
	}
}

// Lets time pass and checks at every step that no node believes in a lease which the store has ended.
func (b *bench) pass(d time.Duration, also func(elapsed time.Duration)) {
	b.t.Helper()
	const step = 50 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		time.Sleep(step)
		held := b.store.Lives()
		for _, name := range b.names {
			p := b.nodes[name]
			v := p.View()
			if !v.HoldsLease(time.Now()) {
				continue
			}
			if !held["members/"+name] {
				b.t.Fatalf("after %v %s believes in a lease that has lapsed", elapsed, name)
			}
		}
		if also != nil {
			also(elapsed)
		}
	}
}

func TestFleetConverges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startFleet(t, 4, 5)
		b.expect("after the start", b.names, b.names)
		for _, name := range b.names {
			if v := b.nodes[name].View(); !v.SelfLeased || !v.StoreFresh {
				t.Errorf("%s: got leased %v, fresh %v, want both", name, v.SelfLeased, v.StoreFresh)
			}
		}
		b.pass(30*time.Second, func(time.Duration) { b.expect("at rest", b.names, b.names) })
	})
}

func TestDeadPeerIsSeenWithoutStore(t *testing.T) {
	for _, mode := range []fakeplatform.OutageMode{fakeplatform.OutageNone, fakeplatform.OutageRefuse, fakeplatform.OutageSilent} {
		t.Run("store "+string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := startFleet(t, 2, 6)
				b.store.SetOutage(mode)
				for _, victim := range []string{"d0n0", "d0n3"} {
					b.kill(victim)
					time.Sleep(2500 * time.Millisecond)
					b.expect(victim+" killed", b.inDomain("d0"), without(b.names, victim))
				}
			})
		})
	}
}

func TestStoreOutage(t *testing.T) {
	for _, mode := range []fakeplatform.OutageMode{fakeplatform.OutageRefuse, fakeplatform.OutageSilent} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := startFleet(t, 2, 5)
				b.store.SetOutage(mode)
				checkOthers := func(time.Duration) {
					for _, name := range b.names {
						got := live(b.nodes[name].View())
						for _, other := range without(b.names, name) {
							if !strings.Contains(got, other) {
								t.Fatalf("%s sees %q, want %s in it", name, got, other)
							}
						}
					}
				}
				b.pass(60*time.Second, checkOthers)
				for _, name := range b.names {
					if v := b.nodes[name].View(); v.SelfLeased || v.StoreFresh {
						t.Errorf("%s in the outage: got leased %v, fresh %v, want neither", name, v.SelfLeased, v.StoreFresh)
					}
				}
				b.store.SetOutage(fakeplatform.OutageNone)
				b.pass(30*time.Second, checkOthers)
				b.expect("after the outage", b.names, b.names)
			})
		})
	}
}

// A node that died in an outage does not come back with the store, and is gone at the end.
func TestDeathInOutageIsKeptAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startFleet(t, 2, 5)
		b.store.SetOutage(fakeplatform.OutageRefuse)
		time.Sleep(20 * time.Second)
		b.kill("d0n1")
		time.Sleep(3 * time.Second)
		b.store.SetOutage(fakeplatform.OutageNone)
		b.pass(30*time.Second, func(time.Duration) {
			for _, name := range b.inDomain("d0") {
				if strings.Contains(live(b.nodes[name].View()), "d0n1") {
					t.Fatalf("%s sees the dead d0n1 again", name)
				}
			}
		})
		b.expect("at the end", b.names, b.names)
	})
}

func TestPausedHolderLosesItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startFleet(t, 2, 5)
		first, _ := b.nodes["d0n2"].View().Node("d0n2")
		b.net.Pause("d0n2")
		b.pass(20*time.Second, nil)
		b.expect("while it is paused", without(b.names, "d0n2"), without(b.names, "d0n2"))
		b.net.Resume("d0n2")
		b.pass(10*time.Second, nil)
		b.expect("after the pause", b.names, b.names)
		second, _ := b.nodes["d0n2"].View().Node("d0n2")
		if second.Epoch <= first.Epoch {
			t.Errorf("epoch after the lapse: got %d, want more than %d", second.Epoch, first.Epoch)
		}
	})
}

func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startFleet(t, 3, 4)
		inside := b.inDomain("d1")
		outside := append(without(b.names, inside...), storeHost)
		b.cut(inside, outside, true)
		b.pass(40*time.Second, nil)
		b.expect("outside", without(b.names, inside...), without(b.names, inside...))
		for _, name := range inside {
			if b.nodes[name].View().SelfLeased {
				t.Errorf("%s is cut off and still leased", name)
			}
		}
		b.cut(inside, outside, false)
		b.pass(20*time.Second, nil)
		b.expect("after the return", b.names, b.names)
	})
}

// Two nodes that cannot reach each other, while the rest reaches both, condemn nobody.
func TestOneBadLinkCondemnsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startFleet(t, 2, 5)
		b.net.Cut("d0n0", "d0n1", true)
		b.net.CutOneWay("d0n2", "d0n3", true)
		b.pass(30*time.Second, func(time.Duration) { b.expect("with bad links", b.names, b.names) })
	})
}

func TestRestartAndTakenName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startFleet(t, 2, 3)
		old, _ := b.nodes["d0n0"].View().Node("d0n0")
		b.kill("d0n0")
		b.start(nodeOf(0, 0))
		time.Sleep(time.Second)
		got, ok := b.nodes["d1n0"].View().Node("d0n0")
		if !ok || got.Epoch <= old.Epoch {
			t.Errorf("after the restart: got epoch %d (%v), want more than %d", got.Epoch, ok, old.Epoch)
		}
		// A process at another address waits until the holder's lease has lapsed.
		holder := b.nodes["d1n2"]
		usurper := nodeOf(1, 2)
		usurper.Addr = nodeOf(1, 99).Addr
		second := b.start(usurper)
		b.nodes["d1n2"] = holder
		b.pass(20*time.Second, nil)
		if second.View().SelfLeased || !holder.View().SelfLeased {
			t.Errorf("got usurper leased %v, holder leased %v, want the holder alone", second.View().SelfLeased, holder.View().SelfLeased)
		}
	})
}

func TestSupersededNodeStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startFleet(t, 1, 3)
		first := b.nodes["d0n0"]
		b.start(nodeOf(0, 0))
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
		b := newBench(t)
		for _, kind := range []kvstore.Kind{kvstore.KindCAS, kvstore.KindGrantLease, kvstore.KindKeepAlive, kvstore.KindList} {
			b.store.LoseAnswers(kind, 2)
		}
		for i := range 4 {
			b.start(nodeOf(0, i))
		}
		b.pass(20*time.Second, nil)
		b.expect("after lost answers", b.names, b.names)
	})
}

func TestDrainAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startFleet(t, 2, 3)
		b.store.SetVMs([]kvstore.VM{{Name: "d1n1", State: kvstore.VMLeaving}, {Name: "server7", State: kvstore.VMLeaving}})
		leaver := b.nodes["d0n0"]
		leaver.Drain()
		time.Sleep(7 * time.Second)
		for _, name := range b.names {
			v := b.nodes[name].View()
			for _, draining := range []string{"d0n0", "d1n1"} {
				if n, ok := v.Node(draining); !ok || !n.Draining {
					t.Errorf("%s sees %s: got draining %v (%v), want true", name, draining, n.Draining, ok)
				}
			}
			if !v.IsLeaving("server7") {
				t.Errorf("%s does not see that server7 leaves", name)
			}
		}
		if err := leaver.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		b.pass(20*time.Second, nil)
		b.expect("after it left", without(b.names, "d0n0"), without(b.names, "d0n0"))
	})
}

// A fleet that starts without the store learns of its peers once the store is back, and a node that restarts
// in an outage learns of the others from its configured peers.
func TestStartInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.store.SetOutage(fakeplatform.OutageRefuse)
		for i := range 3 {
			b.start(nodeOf(0, i))
		}
		b.pass(10*time.Second, nil)
		b.store.SetOutage(fakeplatform.OutageNone)
		b.pass(5*time.Second, nil)
		b.expect("after the outage", b.names, b.names)
		b.store.SetOutage(fakeplatform.OutageRefuse)
		b.kill("d0n1")
		p := b.start(nodeOf(0, 1), fleet.WithPeers(nodeOf(0, 2).Addr))
		time.Sleep(5 * time.Second)
		if got, want := live(p.View()), "d0n0 d0n2"; got != want {
			t.Errorf("restarted in an outage: got %q, want %q", got, want)
		}
	})
}

// What heartbeats and nodes themselves say reaches all failure domains sooner than a lease lapses.
func TestDigestReachesAllDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startFleet(t, 3, 5)
		b.nodes["d0n1"].SetStatus(fleet.Status{Unable: true, Load: 95})
		b.kill("d0n3")
		b.pass(10*time.Second, nil)
		b.expect("d0n3 killed", b.names, b.names)
		for _, name := range b.names {
			v := b.nodes[name].View()
			if !v.IsUnable("d0n1") || len(v.Unable) != 1 {
				t.Errorf("%s: got unable %v, want d0n1", name, v.Unable)
			}
			if got, want := v.Loads["d0n1"], 95; strings.HasPrefix(name, "d0") && got != want {
				t.Errorf("%s: got load %d of d0n1, want %d", name, got, want)
			}
		}
		b.nodes["d0n1"].SetStatus(fleet.Status{})
		b.pass(20*time.Second, nil)
		for _, name := range b.names {
			if got := b.nodes[name].View().Unable; len(got) != 0 {
				t.Errorf("%s: got unable %v, want none", name, got)
			}
		}
	})
}

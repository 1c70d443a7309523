package membership_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ebonyferry/internal/core/membership"
)

const ttl = 10 * time.Second

var start = time.Unix(1000, 0)

func makeNodes(domains, perDomain int) []membership.Node {
	var nodes []membership.Node
	for d := range domains {
		for i := range perDomain {
			nodes = append(nodes, membership.Node{
				Name: fmt.Sprintf("d%dn%02d", d, i), Epoch: 1,
				FailureDomain: fmt.Sprintf("d%d", d), Region: fmt.Sprintf("r%d", d%3),
			})
		}
	}
	return nodes
}

func names(nodes []membership.Node) []string {
	var list []string
	for _, n := range nodes {
		list = append(list, n.Name)
	}
	return list
}

// ProbersPerNode nodes of the same failure domain probe each node, or all others in a smaller domain.
func TestEveryNodeIsProbed(t *testing.T) {
	for _, perDomain := range []int{1, 2, 3, 41} {
		nodes := makeNodes(2, perDomain)
		probers := make(map[string]int)
		for _, n := range nodes {
			for _, target := range membership.ProbeTargets(nodes, n) {
				if target.FailureDomain != n.FailureDomain || target.Name == n.Name {
					t.Fatalf("%s probes %s", n.Name, target.Name)
				}
				probers[target.Name]++
			}
		}
		for _, n := range nodes {
			if got, want := probers[n.Name], min(membership.ProbersPerNode, perDomain-1); got != want {
				t.Errorf("%d nodes a domain: %s is probed by %d, want %d", perDomain, n.Name, got, want)
			}
		}
	}
}

// Removing one node replaces no other relay, and a draining node stops being a relay.
func TestRelaysAreStable(t *testing.T) {
	nodes := makeNodes(2, 12)
	before := names(membership.Relays(nodes, "d0"))
	if got, want := len(before), membership.RelaysPerDomain; got != want {
		t.Fatalf("got %d relays, want %d", got, want)
	}
	for i, n := range nodes {
		after := names(membership.Relays(slices.Delete(slices.Clone(nodes), i, i+1), "d0"))
		for _, relay := range before {
			if relay != n.Name && !slices.Contains(after, relay) {
				t.Errorf("without %s: %s is no longer a relay", n.Name, relay)
			}
		}
		draining := slices.Clone(nodes)
		draining[i].Draining = true
		if slices.Contains(names(membership.Relays(draining, "d0")), n.Name) {
			t.Errorf("%s drains and is a relay", n.Name)
		}
	}
}

func TestFollowersSpreadOverRelays(t *testing.T) {
	nodes := makeNodes(1, 41)
	relays := membership.Relays(nodes, "d0")
	followers := make(map[string]int)
	for _, n := range nodes {
		followers[membership.Sources(relays, n.Name)[0].Name]++
	}
	for _, r := range relays {
		if got, most := followers[r.Name], 2*41/len(relays); got > most || got == 0 {
			t.Errorf("%s is followed by %d of 41, want 1 to %d", r.Name, got, most)
		}
	}
}

func TestConfirmersAreNearestFirst(t *testing.T) {
	nodes := makeNodes(4, 2) // r0 holds d0 and d3
	self, subject := nodes[0], nodes[2]
	got := membership.Confirmers(nodes, self, subject.Name)
	want := []string{"d0", "d3", "d3"}
	for i, n := range got {
		if n.FailureDomain != want[i] || n.Name == self.Name || n.Name == subject.Name {
			t.Errorf("confirmer %d: got %s of %s, want one of %s", i, n.Name, n.FailureDomain, want[i])
		}
	}
}

// The list follows the store's revisions, regardless of stale or repeated updates in between.
func TestStaleUpdatesAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := membership.NewState("self", ttl)
		want := make(map[string]uint64) // epoch by name
		revision := uint64(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			if rapid.Bool().Draw(t, "stale") {
				old := rapid.Uint64Range(0, revision-1).Draw(t, "old")
				if rapid.Bool().Draw(t, "whole") {
					s.Replace(start, nil, old)
				} else if old < s.Revision() {
					s.Apply(start, []membership.Update{{Node: membership.Node{Name: name}, Deleted: true}}, old)
				}
				if s.Revision() == old {
					want = make(map[string]uint64) // the state had received nothing newer
				}
			} else {
				revision++
				update := membership.Update{Node: membership.Node{Name: name, Epoch: revision}}
				if rapid.Bool().Draw(t, "delete") {
					update = membership.Update{Node: membership.Node{Name: name}, Deleted: true}
					delete(want, name)
				} else {
					want[name] = revision
				}
				s.Apply(start, []membership.Update{update}, revision)
			}
			got := make(map[string]uint64)
			for _, n := range s.Listed() {
				got[n.Name] = n.Epoch
			}
			if !maps.Equal(got, want) {
				t.Fatalf("got %v, want %v", got, want)
			}
		}
	})
}

func TestLeaseExpiresByClock(t *testing.T) {
	s := membership.NewState("a", ttl)
	s.Replace(start, []membership.Node{{Name: "a", Epoch: 5}}, 5)
	s.SetLease(5, start.Add(8*time.Second))
	v := s.View(start)
	tests := []struct {
		after time.Duration
		want  bool
	}{{0, true}, {8*time.Second - 1, true}, {8 * time.Second, false}, {time.Hour, false}}
	for _, test := range tests {
		if got := v.HoldsLease(start.Add(test.after)); got != test.want {
			t.Errorf("after %v: got %v, want %v", test.after, got, test.want)
		}
	}
	s.Replace(start, []membership.Node{{Name: "a", Epoch: 6}}, 6)
	if v := s.View(start); !s.Superseded() || v.SelfLeased {
		t.Errorf("another registration: got superseded %v, leased %v, want true, false", s.Superseded(), v.SelfLeased)
	}
}

// A finding that a node is unreachable applies to one incarnation only, and never to the node itself.
func TestUnreachableEndsWithIncarnation(t *testing.T) {
	s := membership.NewState("self", ttl)
	s.Replace(start, []membership.Node{{Name: "a", Epoch: 1}, {Name: "self", Epoch: 1}}, 1)
	s.SetLease(1, start.Add(ttl))
	s.SetFoundUnreachable(membership.Incarnation{Name: "a", Epoch: 1}, true)
	s.SetReportedUnreachable([]membership.Incarnation{{Name: "self", Epoch: 1}})
	if v := s.View(start); len(v.Nodes) != 1 || len(v.Unreachable) != 1 || v.Unreachable[0].Name != "a" {
		t.Errorf("got %v and unreachable %v, want self, and a unreachable", v.Nodes, v.Unreachable)
	}
	s.Apply(start, []membership.Update{{Node: membership.Node{Name: "a", Epoch: 2}}}, 2)
	if v := s.View(start); len(v.Nodes) != 2 || len(v.Unreachable) != 0 {
		t.Errorf("registered again: got %v and unreachable %v, want both live", v.Nodes, v.Unreachable)
	}
}

// BenchmarkMembershipChange measures one change of the list, including the new view.
func BenchmarkMembershipChange(b *testing.B) {
	for _, size := range []int{8, 64, 330} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			nodes := makeNodes(1, size)
			s := membership.NewState(nodes[0].Name, ttl)
			s.Replace(start, nodes, 1)
			revision := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				revision++
				n := nodes[int(revision)%size]
				n.Epoch = revision
				s.Apply(start, []membership.Update{{Node: n}}, revision)
				s.View(start)
			}
		})
	}
}

package ownership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/ownership"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// view returns the first node's view of n nodes spread over regions. The node's own lease is valid for a second.
func view(n, regions int) *membership.View {
	v := &membership.View{Self: "node-000", StoreFresh: true, SelfLeased: true, LeaseEnd: now.Add(time.Second)}
	for i := range n {
		v.Nodes = append(v.Nodes, membership.Node{
			Name: fmt.Sprintf("node-%03d", i), Epoch: 1, Region: fmt.Sprintf("region-%d", i%regions),
		})
	}
	return v
}

func servers(n, regions int) []ownership.Server {
	var list []ownership.Server
	for i := range n {
		list = append(list, ownership.Server{ID: fmt.Sprintf("server-%03d", i), Region: fmt.Sprintf("region-%d", i%regions)})
	}
	return list
}

func without(v *membership.View, i int) *membership.View {
	w := *v
	w.Nodes = slices.Delete(slices.Clone(v.Nodes), i, i+1)
	return &w
}

func TestLostNodeMovesOnlyItsServers(t *testing.T) {
	before := view(8, 1)
	after := without(before, 3)
	for _, s := range servers(600, 1) {
		a, _ := ownership.Owner(before, ownership.KindServer, s.ID, s.Region)
		b, _ := ownership.Owner(after, ownership.KindServer, s.ID, s.Region)
		if a.Name != "node-003" && a.Name != b.Name {
			t.Errorf("%s: got owner %s after another node left, want %s", s.ID, b.Name, a.Name)
		}
	}
}

func TestOwner(t *testing.T) {
	draining := view(2, 1)
	draining.Nodes[0].Draining = true
	unleased := view(1, 1)
	unleased.LeaseEnd = now
	tests := []struct {
		name   string
		view   *membership.View
		region string
		want   string
		self   bool
	}{
		{"only node", view(1, 1), "region-0", "node-000", true},
		{"no node in region", view(1, 1), "region-9", "", false},
		{"any region", view(1, 1), ownership.AnyRegion, "node-000", true},
		{"draining nodes own nothing", draining, "region-0", "node-001", false},
		{"lease expired", unleased, "region-0", "node-000", false},
	}
	for _, tt := range tests {
		got, _ := ownership.Owner(tt.view, ownership.KindServer, "s", tt.region)
		if got.Name != tt.want {
			t.Errorf("%s: got %q, want %q", tt.name, got.Name, tt.want)
		}
		if got, want := ownership.OwnedBySelf(tt.view, ownership.KindServer, "s", tt.region, now), tt.self; got != want {
			t.Errorf("%s: owned by self: got %v, want %v", tt.name, got, want)
		}
	}
}

func TestSubsetsAreBalancedAndInRegion(t *testing.T) {
	const perServer = 6
	for _, size := range []struct{ nodes, servers, regions int }{{8, 18, 1}, {64, 120, 2}, {330, 600, 3}} {
		v := view(size.nodes, size.regions)
		list := servers(size.servers, size.regions)
		s := ownership.NewSubsets(v, list, perServer)
		for _, server := range list {
			names := s.Nodes(server.ID)
			if got, want := len(names), perServer; got != want {
				t.Errorf("%d nodes, %s: got %d nodes, want %d", size.nodes, server.ID, got, want)
			}
			for _, name := range names {
				i := slices.IndexFunc(v.Nodes, func(n membership.Node) bool { return n.Name == name })
				if got, want := v.Nodes[i].Region, server.Region; got != want {
					t.Errorf("%s uses %s: got region %s, want %s", name, server.ID, got, want)
				}
			}
		}
		bound := size.servers*perServer/size.nodes + 2
		for _, n := range v.Nodes {
			if got := len(s.Servers(n.Name)); got > bound || got < bound/2 {
				t.Errorf("%d nodes, %s: got %d servers, want between %d and %d", size.nodes, n.Name, got, bound/2, bound)
			}
		}
	}
}

func TestSubsetsAreStable(t *testing.T) {
	const perServer = 6
	before := view(64, 1)
	list := servers(120, 1)
	a := ownership.NewSubsets(before, list, perServer)
	b := ownership.NewSubsets(without(before, 10), list, perServer)
	moved := 0
	for _, s := range list {
		for _, name := range a.Nodes(s.ID) {
			if !b.Uses(name, s.ID) {
				moved++
			}
		}
	}
	// One node's share is 120*6/64. With the bound on load, a change may move a small multiple of that.
	if limit := 4 * len(list) * perServer / len(before.Nodes); moved > limit {
		t.Errorf("uses that moved after one node left: got %d, want at most %d of %d", moved, limit, len(list)*perServer)
	}
}

// BenchmarkMembershipChange measures the cost of one membership change at a node: new subsets and all owners.
func BenchmarkMembershipChange(b *testing.B) {
	for _, size := range []struct{ nodes, servers, regions int }{{8, 18, 1}, {64, 120, 2}, {330, 600, 3}} {
		v, list := view(size.nodes, size.regions), servers(size.servers, size.regions)
		b.Run(fmt.Sprintf("nodes=%d", size.nodes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ownership.NewSubsets(v, list, 6)
				for _, s := range list {
					ownership.Owner(v, ownership.KindServer, s.ID, s.Region)
				}
			}
		})
	}
}

// One of the nodes that use a server owns it, whatever the order of the names. Over many servers the owners spread
// over the nodes.
func TestOwnerAmong(t *testing.T) {
	if got := ownership.OwnerAmong(nil, ownership.KindSuspects, "s"); got != "" {
		t.Errorf("no nodes: got %q, want none", got)
	}
	v := view(330, 3)
	all := servers(600, 3)
	subsets := ownership.NewSubsets(v, all, 6)
	chosen := make(map[string]int)
	for _, s := range all {
		users := subsets.Nodes(s.ID)
		name := ownership.OwnerAmong(users, ownership.KindSuspects, s.ID)
		if !slices.Contains(users, name) {
			t.Fatalf("server %s: %q is chosen but does not use it", s.ID, name)
		}
		reversed := slices.Clone(users)
		slices.Reverse(reversed)
		if got := ownership.OwnerAmong(reversed, ownership.KindSuspects, s.ID); got != name {
			t.Errorf("server %s: got %q in another order, want %q", s.ID, got, name)
		}
		chosen[name]++
	}
	if got, least := len(chosen), 330/2; got < least {
		t.Errorf("nodes chosen for at least one server: got %d, want at least %d", got, least)
	}
}

package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/entry"
	"ebonyferry/internal/core/membership"
)

const draws = 2000

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
}

// fleet returns count nodes, n0 and so on, alternately in regions r0 and r1.
func fleet(count int) *membership.View {
	v := &membership.View{Self: "n0", Loads: map[string]int{}}
	for i := range count {
		v.Nodes = append(v.Nodes, membership.Node{
			Name: fmt.Sprintf("n%d", i), CallerAddr: addr(i),
			Region: fmt.Sprintf("r%d", i%2), FailureDomain: fmt.Sprintf("d%d", i%4),
		})
	}
	return v
}

func choose(v *membership.View, in *bundle.InForce, region string) []netip.AddrPort {
	rng := rand.New(rand.NewPCG(1, 2))
	return entry.Choose(v, in, entry.Query{Region: region, Self: v.Nodes[0], SelfCanServe: true}, rng)
}

func TestChooseLeavesOut(t *testing.T) {
	tests := []struct {
		name   string
		change func(v *membership.View, in *bundle.InForce, q *entry.Query)
		want   []int // nodes of n0 to n3 in the answer
	}{
		{"nothing", func(*membership.View, *bundle.InForce, *entry.Query) {}, []int{0, 1, 2, 3}},
		{"draining", func(v *membership.View, _ *bundle.InForce, _ *entry.Query) { v.Nodes[1].Draining = true }, []int{0, 2, 3}},
		{"unable", func(v *membership.View, _ *bundle.InForce, _ *entry.Query) { v.Unable = []string{"n2"} }, []int{0, 1, 3}},
		{"itself unable", func(_ *membership.View, _ *bundle.InForce, q *entry.Query) { q.SelfCanServe = false }, []int{1, 2, 3}},
		{"VM out of service", func(_ *membership.View, in *bundle.InForce, _ *entry.Query) {
			in.Head.OutOfService.VMs = []string{"n3"}
		}, []int{0, 1, 2}},
		{"failure domain out of service", func(_ *membership.View, in *bundle.InForce, _ *entry.Query) {
			in.Head.OutOfService.FailureDomains = []string{"d0"}
		}, []int{1, 2, 3}},
		{"itself not leased", func(v *membership.View, _ *bundle.InForce, _ *entry.Query) { v.Nodes = v.Nodes[1:] }, []int{0, 1, 2, 3}},
		{"no caller address", func(v *membership.View, _ *bundle.InForce, _ *entry.Query) {
			v.Nodes[1].CallerAddr = netip.AddrPort{}
		}, []int{0, 2, 3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := fleet(4)
			in := &bundle.InForce{}
			q := entry.Query{Region: "r0", Self: v.Nodes[0], SelfCanServe: true}
			test.change(v, in, &q)
			got := entry.Choose(v, in, q, rand.New(rand.NewPCG(1, 2)))
			slices.SortFunc(got, netip.AddrPort.Compare)
			var want []netip.AddrPort
			for _, i := range test.want {
				want = append(want, addr(i))
			}
			if !slices.Equal(got, want) {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}

func TestChooseNearFirst(t *testing.T) {
	v := fleet(40)
	for _, region := range []string{"r0", "r1"} {
		got := choose(v, nil, region)
		if len(got) != 8 {
			t.Fatalf("got %d addresses, want 8", len(got))
		}
		for i, a := range got {
			isNear := int(a.Addr().As4()[3])%2 == int(region[1]-'0')
			if want := i < 6; isNear != want {
				t.Errorf("region %s, address %d: got near %v, want %v", region, i, isNear, want)
			}
		}
	}
	if got := choose(v, nil, "elsewhere")[0]; got.Addr().As4()[3]%2 != 0 {
		t.Errorf("an unknown region: got %v first, want a node of the answering one's region", got)
	}
}

// Guards against an order that ignores load: nodes are to come first in proportion to their headroom, and a full node
// only when all are full.
func TestChooseSpreadsByLoad(t *testing.T) {
	v := fleet(8)
	v.Loads = map[string]int{"n0": 0, "n2": 60, "n4": 60, "n6": 95}
	rng := rand.New(rand.NewPCG(3, 4))
	first := make(map[byte]int)
	for range draws {
		addrs := entry.Choose(v, nil, entry.Query{Region: "r0", Self: v.Nodes[0], SelfCanServe: true}, rng)
		first[addrs[0].Addr().As4()[3]]++
	}
	if first[6] != 0 {
		t.Errorf("a full node came first %d times, want 0", first[6])
	}
	// Shares of 100 to 40 to 40, within five standard deviations of a draw.
	for node, want := range map[byte]int{0: draws * 100 / 180, 2: draws * 40 / 180, 4: draws * 40 / 180} {
		if got := first[node]; got < want-110 || got > want+110 {
			t.Errorf("n%d came first %d times, want about %d", node, got, want)
		}
	}
}

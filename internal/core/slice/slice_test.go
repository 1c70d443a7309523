package slice

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// violation runs random actions and describes the first state that uses more than the limit. It returns an empty string
// if there is none.
func violation(draw func(n int) int, f fault, steps int) string {
	m := newModel(2+draw(2), 5, 6, f)
	m.direct = draw(2) == 0
	if draw(4) > 0 {
		m.runToSteadyState()
	}
	var trace []string
	for range steps {
		a := choose(m.actions(), draw)
		trace = append(trace, a.name)
		a.do(m)
		if got, want := m.inUse(), m.cfg.Full.Streams; got > want {
			return fmt.Sprintf("in use: got %d, want at most %d, after\n%s", got, want, strings.Join(trace, "\n"))
		}
	}
	return ""
}

func choose(list []action, draw func(n int) int) action {
	total := 0
	for _, a := range list {
		total += a.weight
	}
	n := draw(total)
	for _, a := range list {
		if n -= a.weight; n < 0 {
			return a
		}
	}
	return list[0]
}

// Slices never sum above the limit under loss, delay, duplication, pause, restart, owner change and outage.
func TestSlicesNeverSumAboveTheLimit(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return int(rapid.Uint64().Draw(t, "action") % uint64(n)) }
		if v := violation(draw, faultNone, 300); v != "" {
			t.Fatal(v)
		}
	})
	if v := firstViolation(faultNone); v != "" {
		t.Fatal(v)
	}
}

// firstViolation returns the violation of the first of 500 random runs that finds one, or an empty string.
func firstViolation(f fault) string {
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 1))
		if v := violation(r.IntN, f, 120); v != "" {
			return v
		}
	}
	return ""
}

// The random runs prove nothing unless they find the violations of a protocol that is broken on purpose.
func TestRandomRunsFindFaults(t *testing.T) {
	for _, f := range []fault{faultHolderNoMargin, faultIgnoreEarlier, faultHolderForgetsTerm} {
		if firstViolation(f) == "" {
			t.Errorf("fault %d: got no violation, want one", f)
		}
	}
}

// Guards against a violation of the limit after a few actions, which random runs may miss. The search starts from a
// steady owner and from the state right after a change of owner.
func TestExhaustiveSearch(t *testing.T) {
	const depth = 5
	steady, handedOver := smallModel(faultNone), smallModel(faultNone)
	handedOver.handOver()
	for _, start := range []*model{steady, handedOver} {
		v, states := search(start, depth)
		if v != "" {
			t.Error(v)
		}
		t.Logf("%d states", states)
	}
}

func TestExhaustiveSearchFindsFaults(t *testing.T) {
	for _, f := range []fault{faultAlwaysConfirmed, faultNoRecheck, faultIgnoreEarlier} {
		m := smallModel(f)
		m.handOver()
		if v, _ := search(m, 4); v == "" {
			t.Errorf("fault %d: got no violation, want one", f)
		}
	}
}

// search describes the first state that uses more than the limit, in order of the number of actions from start, and
// returns the number of states that at most depth actions reach.
func search(start *model, depth int) (string, int) {
	type node struct {
		m     *model
		trace []string
	}
	seen := map[uint64]bool{}
	layer := []node{{m: start}}
	for range depth {
		var next []node
		for _, n := range layer {
			for i, a := range n.m.actions() {
				if a.rare {
					continue
				}
				c := n.m.clone()
				c.actions()[i].do(c)
				trace := append(n.trace[:len(n.trace):len(n.trace)], a.name)
				if got, want := c.inUse(), c.cfg.Full.Streams; got > want {
					return fmt.Sprintf("in use: got %d, want at most %d, after\n%s", got, want, strings.Join(trace, "\n")), len(seen)
				}
				if key := xxhash.Sum64String(c.key()); !seen[key] {
					seen[key] = true
					next = append(next, node{c, trace})
				}
			}
		}
		layer = next
	}
	return "", len(seen)
}

// smallModel returns a model of two nodes whose requests arrive immediately, with at most two answers in flight.
func smallModel(f fault) *model {
	m := newModel(2, 2, 2, f)
	m.direct = true
	m.runToSteadyState()
	return m
}

var timing = Timing{TTL: 20 * time.Second, Margin: time.Second, Grace: time.Hour}

// newTestOwner returns a confirmed owner whose users are the named nodes, and the current time of its clock.
func newTestOwner(full, cold int, names ...string) (*Owner, time.Time) {
	now := time.Unix(1000, 0)
	o := NewOwner(Config{Full: Amount{full, 100 * full}, Cold: cold, Timing: timing}, 1, nil, now)
	o.SetUsers(processes(names), len(names))
	return o, now
}

func processes(names []string) []Process {
	var list []Process
	for _, name := range names {
		list = append(list, Process{Name: name})
	}
	return list
}

// requestAll sends one request of each holder and returns the streams that they may use together.
func requestAll(t *testing.T, o *Owner, holders map[string]*Holder, wants map[string]int, limit int, now time.Time) int {
	t.Helper()
	sum := 0
	o.Confirm(now)
	for _, name := range slices.Sorted(maps.Keys(holders)) {
		h := holders[name]
		want := Amount{wants[name], 100 * wants[name]}
		g, ok := o.Request(Process{Name: name}, h.Request(want, limit), now)
		if !ok {
			t.Fatalf("%s: got no grant", name)
		}
		h.Accept(g, now, timing)
		sum += h.Usable(now).Streams
	}
	return sum
}

func TestSlicesMoveTowardsDemand(t *testing.T) {
	o, now := newTestOwner(32, 32, "a", "b", "c", "d")
	holders := map[string]*Holder{"a": {}, "b": {}, "c": {}, "d": {}}
	for range 6 {
		now = now.Add(time.Second)
		requestAll(t, o, holders, map[string]int{"a": 20, "b": 4, "c": 4}, 0, now)
	}
	for name, want := range map[string]int{"a": 20, "b": 4, "c": 4} {
		if got := holders[name].Usable(now).Streams; got < want {
			t.Errorf("%s: got %d streams, want at least its demand of %d", name, got, want)
		}
	}
	if got, want := holders["a"].Usable(now).Tokens, 2000; got < want {
		t.Errorf("tokens of a: got %d, want at least %d", got, want)
	}
}

// A decrease of the limit reaches holders by one message each, and no slice grows until the excess is released.
func TestLimitDecrease(t *testing.T) {
	o, now := newTestOwner(32, 4, "a", "b")
	o.Inherit(Handover{Limit: 32}, now)
	holders := map[string]*Holder{"a": {}, "b": {}}
	for range 3 {
		now = now.Add(time.Second)
		requestAll(t, o, holders, map[string]int{"a": 16, "b": 16}, 0, now)
	}
	req := holders["a"].Request(Amount{16, 1600}, 4)
	g, _ := o.Request(Process{Name: "a"}, req, now)
	if got, want := g.Amount.Streams, 2; got != want {
		t.Errorf("grant after the decrease: got %d, want %d", got, want)
	}
	o.SetUsers(processes([]string{"a", "b", "c"}), 3)
	holders["c"] = &Holder{}
	if g, _ := o.Request(Process{Name: "c"}, Request{Want: Amount{16, 1600}}, now); g.Amount.Streams != 0 {
		t.Errorf("grant to another node while the excess is in use: got %d, want 0", g.Amount.Streams)
	}
	reductions := 0
	for _, p := range o.Reductions(now) {
		holders[p.Process.Name].Reduce(p.Grant)
		reductions++
	}
	got := holders["a"].Usable(now).Streams + holders["b"].Usable(now).Streams
	if reductions > 2 || got > o.Limit() {
		t.Errorf("after the reductions: got %d messages and %d streams, want at most 2 and %d", reductions, got, o.Limit())
	}
}

// The limit increases only on evidence, once a second, while most of it is wanted.
func TestLimitIncrease(t *testing.T) {
	tests := []struct {
		name     string
		want     int // demand of each of two nodes
		increase bool
	}{{"used", 16, true}, {"idle", 0, false}}
	for _, tt := range tests {
		o, now := newTestOwner(32, 4, "a", "b")
		holders := map[string]*Holder{"a": {}, "b": {}}
		for range 8 {
			now = now.Add(600 * time.Millisecond)
			before := o.Limit()
			sum := requestAll(t, o, holders, map[string]int{"a": tt.want, "b": tt.want}, 2*before, now)
			if sum > o.Limit() {
				t.Errorf("%s: in use: got %d, want at most %d", tt.name, sum, o.Limit())
			}
		}
		if got := o.Limit() > 4; got != tt.increase {
			t.Errorf("%s: limit increased: got %v, want %v", tt.name, got, tt.increase)
		}
	}
}

// BenchmarkRound measures one round of requests for a server used by six nodes.
func BenchmarkRound(b *testing.B) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	o, now := newTestOwner(32, 4, names...)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		o.Confirm(now)
		for _, name := range names {
			o.Request(Process{Name: name}, Request{Want: Amount{8, 800}}, now)
		}
	}
}

// The first user that sends a request leaves shares for the other expected users.
func TestFirstUserLeavesSharesForOthers(t *testing.T) {
	o, now := newTestOwner(32, 32, "a", "b")
	g, _ := o.Request(Process{Name: "a"}, Request{}, now)
	if got, want := g.Amount.Streams, 16; got != want {
		t.Errorf("idle first user: got %d streams, want %d", got, want)
	}
	g, _ = o.Request(Process{Name: "a"}, Request{Want: Amount{30, 0}}, now)
	if got, want := g.Amount.Streams, 30; got < want {
		t.Errorf("busy first user: got %d streams, want at least %d", got, want)
	}
}

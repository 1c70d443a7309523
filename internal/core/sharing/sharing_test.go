package sharing

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// largeAccounts is the number of accounts that ask for largeShare of the work.
const (
	accounts      = 24
	largeAccounts = 3
	largeShare    = 0.6
)

func pickAccount(rng *rand.Rand) string {
	if rng.Float64() < largeShare {
		return fmt.Sprint("large", rng.IntN(largeAccounts))
	}
	return fmt.Sprint("small", rng.IntN(accounts-largeAccounts))
}

// scarceKinds are short and long streams that ask for load times the memory of the engines.
func scarceKinds(load func(time.Duration) float64) []replayKind {
	const run = 11 * time.Second
	long := replayKind{name: "long", urgency: 2, prompt: 3000, answer: 744, run: run, target: 4 * time.Second, accounts: pickAccount}
	perSecond := replayEngines * replayUsable / (3372 * run.Seconds())
	long.perSecond = func(t time.Duration) float64 { return perSecond * load(t) }
	short := replayKind{name: "short", urgency: 0, prompt: 2200, answer: 8, run: 100 * time.Millisecond, target: 1500 * time.Millisecond, accounts: pickAccount}
	short.perSecond = func(time.Duration) float64 { return 27.8 }
	return []replayKind{long, short}
}

func twice(time.Duration) float64 { return 2 }

// bursts is the demand of long streams that jumps to 2.5 times for 6 s of every 20.
func bursts(t time.Duration) float64 {
	if t%(20*time.Second) > 14*time.Second {
		return 2
	}
	return 0.8
}

// worth is what callers get: a request that meets its target counts whole, one that is late half, an early refusal a
// fifth.
func (r *replayResult) worth() float64 {
	return float64(r.onTime) + 0.5*float64(r.late) + 0.2*float64(r.refused)
}

const (
	replaySettle = 20 * time.Second
	replayLength = 40 * time.Second
)

// playTwice plays demand of twice the memory after it has settled.
func playTwice(seed uint64, shared bool) *replay {
	r := newReplay(seed, shared, scarceKinds(twice))
	r.weights["large0"] = 2
	r.run(replaySettle)
	r.results = make(map[string]*replayResult)
	r.run(replayLength)
	return r
}

// Guards against callers that gain nothing by the shares. The digests of 73 nodes are 0.5 s old when they arrive, and are
// replaced every 0.5 s.
func TestCallersGainAtTwiceTheMemory(t *testing.T) {
	before, after := playTwice(0, false), playTwice(0, true)
	for _, kind := range []string{"long", "short"} {
		t.Logf("%s before %+v, after %+v", kind, *before.result(kind), *after.result(kind))
		if got, want := after.result(kind).worth(), before.result(kind).worth(); got <= want {
			t.Errorf("worth of %s streams: got %.0f, want more than %.0f", kind, got, want)
		}
		if got, want := after.result(kind).onTime, before.result(kind).onTime; got <= want {
			t.Errorf("%s streams on time: got %d, want more than %d", kind, got, want)
		}
	}
	for i := range accounts {
		name := fmt.Sprint("large", i)
		if i >= largeAccounts {
			name = fmt.Sprint("small", i-largeAccounts)
		}
		s := after.result(name)
		if got := float64(s.onTime+s.late) / float64(s.asked); got < floorShare {
			t.Errorf("%s: got %.2f of its requests served, want at least %.2f", name, got, floorShare)
		}
	}
}

// fairShares divides what all accounts received by weight, and gives no account more than it wants.
func fairShares(r *replay, names []string) map[string]float64 {
	fair, left := make(map[string]float64), 0.0
	for _, name := range names {
		left += r.result(name).received
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(r.result(a).wanted/WeightOf(r.weights[a]), r.result(b).wanted/WeightOf(r.weights[b]))
	})
	weights := 0.0
	for _, name := range names {
		weights += WeightOf(r.weights[name])
	}
	for _, name := range names {
		weight := WeightOf(r.weights[name])
		fair[name] = min(r.result(name).wanted, left*weight/weights)
		left, weights = left-fair[name], weights-weight
	}
	return fair
}

// Guards against accounts that get memory by how much they ask for. The large ones share what the small ones leave, by
// weight; the small ones ask for slightly less than their share.
func TestSharesByWeight(t *testing.T) {
	r := playTwice(1, true)
	var names, small []string
	for i := range accounts - largeAccounts {
		small = append(small, fmt.Sprint("small", i))
	}
	large := []string{"large0", "large1", "large2"}
	names = append(append(names, small...), large...)
	fair := fairShares(r, names)
	got, want := 0.0, 0.0
	for _, name := range small {
		got, want = got+r.result(name).received, want+fair[name]
	}
	if math.Abs(got-want) > 0.1*want {
		t.Errorf("token-seconds of all small accounts: got %.0f, want within a tenth of %.0f", got, want)
	}
	sum := 0.0
	for _, name := range large {
		sum += r.result(name).received
	}
	for _, name := range large {
		got, want := r.result(name).received, sum*WeightOf(r.weights[name])/(largeAccounts+1)
		if math.Abs(got-want) > 0.1*want {
			t.Errorf("token-seconds of %s among the large accounts: got %.0f, want within a tenth of %.0f", name, got, want)
		}
	}
	t.Logf("small: %.0f of %.0f, large: %.0f", got, want, sum)
}

// Guards against callers that lose by the shares where the memory is scarce for a few seconds only.
func TestBurstIsShared(t *testing.T) {
	before, after := newReplay(1, false, scarceKinds(bursts)), newReplay(1, true, scarceKinds(bursts))
	before.run(time.Minute)
	after.run(time.Minute)
	for _, kind := range []string{"long", "short"} {
		t.Logf("%s before %+v, after %+v", kind, *before.result(kind), *after.result(kind))
		if got, want := after.result(kind).onTime, before.result(kind).onTime; got <= want {
			t.Errorf("%s streams on time: got %d, want more than %d", kind, got, want)
		}
	}
}

// Guards against nodes that serve less urgent requests while more urgent ones wait elsewhere for longer than digests are
// old. The urgent streams here wait for up to 1.8 s and ask for half of the memory.
func TestUrgencyHoldsBetweenNodes(t *testing.T) {
	var inverted [2]float64
	for i, shared := range []bool{false, true} {
		kinds := scarceKinds(twice)
		kinds[1].target, kinds[1].run = 3*time.Second, 4*time.Second
		kinds[1].perSecond = func(time.Duration) float64 { return 60 }
		r := newReplay(1, shared, kinds)
		r.run(40 * time.Second)
		inverted[i] = float64(r.inverts) / float64(max(1, r.lessUrgent))
		t.Logf("shared %v: %d of %d less urgent grants, short %+v, long %+v", shared, r.inverts, r.lessUrgent, *r.result("short"), *r.result("long"))
	}
	// What is left is the memory that less urgent requests get so that they do not starve.
	if got, want := inverted[1], 2*lessUrgentShare; got > want {
		t.Errorf("less urgent grants while an urgent request waited elsewhere: got %.3f, want at most %.3f (before: %.3f)", got, want, inverted[0])
	}
}

// Guards against callers that lose where the digests of a third of the nodes are lost in both directions, or these nodes are
// of a version that sends none, and while these nodes join and leave.
func TestLostDigests(t *testing.T) {
	tests := map[string]func(r *replay, node int) bool{
		"a third of the nodes":          func(_ *replay, node int) bool { return node%3 == 0 },
		"a third that joins and leaves": func(r *replay, node int) bool { return node%3 == 0 && int(r.now.Sub(r.start)/(3*time.Second))%2 == 0 },
		"all nodes":                     func(*replay, int) bool { return true },
	}
	before := newReplay(2, false, scarceKinds(bursts))
	before.run(45 * time.Second)
	for name, deaf := range tests {
		r := newReplay(2, true, scarceKinds(bursts))
		r.deaf = func(node int) bool { return deaf(r, node) }
		r.run(45 * time.Second)
		got, want := r.result("long").worth()+r.result("short").worth(), before.result("long").worth()+before.result("short").worth()
		t.Logf("%s: worth %.0f, before %.0f: long %+v short %+v", name, got, want, *r.result("long"), *r.result("short"))
		if got < 0.97*want {
			t.Errorf("%s: got a worth of %.0f, want about %.0f at least", name, got, want)
		}
	}
}

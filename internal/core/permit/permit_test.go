package permit

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The requests of all holders in any window stay within the bound of the package, whatever they ask for, also when they use
// their permits as late as they may.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 200).Draw(t, "rate")
		window := time.Duration(rapid.IntRange(500, 8000).Draw(t, "window")) * time.Millisecond
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		issuer, holders := NewIssuer(rate, start), make([]Holder, 20)
		var used []time.Time
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
			h := &holders[rnd.IntN(len(holders))]
			if rnd.IntN(3) == 0 {
				r := Request{Count: 1 + rnd.IntN(5), MaxWait: time.Duration(rnd.IntN(300)) * time.Millisecond, Urgent: rnd.IntN(8) == 0}
				h.Accept(issuer.Issue(r, now), now)
			}
			late := &holders[rnd.IntN(len(holders))]
			for late.Take(now) {
				used = append(used, now)
			}
		}
		limit := rate*(window+Validity).Seconds() + issuer.burst() + issuer.debt() + 1 // a window includes both ends
		for first, last := 0, 0; last < len(used); last++ {
			for used[last].Sub(used[first]) > window {
				first++
			}
			if got := last - first + 1; float64(got) > limit {
				t.Fatalf("requests within %v at a rate of %v: got %d, want at most %v", window, rate, got, limit)
			}
		}
	})
}

// Permits for several requests are valid one after another at the rate, not all at the same time.
func TestPermitsAreSpread(t *testing.T) {
	issuer := NewIssuer(10, start)
	var h Holder
	h.Accept(issuer.Issue(Request{Count: 8, MaxWait: 350 * time.Millisecond}, start), start)
	want := []int{0, 100, 200, 300}
	for _, at := range want {
		if h.Available(ms(at - 1)) {
			t.Errorf("at %d ms: got a permit, want none", at-1)
		}
		if !h.Take(ms(at)) {
			t.Errorf("at %d ms: got no permit, want one", at)
		}
	}
	if got := h.Pending(ms(300)); got != 0 {
		t.Errorf("permits beyond the longest wait: got %d, want none", got)
	}
	if got, want := h.RetryAt(), ms(400); got.Before(want) {
		t.Errorf("retry: got %v after the start, want at least %v", got.Sub(start), want.Sub(start))
	}
}

// Refused callers get retry times one after another, so that they do not all return at the same moment.
func TestRefusedCallersReturnInTurn(t *testing.T) {
	issuer := NewIssuer(4, start)
	issuer.Issue(Request{Count: 1}, start)
	var last time.Time
	for n := range 6 {
		var h Holder // of another node
		h.Accept(issuer.Issue(Request{Count: 1}, start), start)
		for i := range 2 {
			turn := h.Refuse(4, i == 0, start)
			if !turn.After(last) && turn.Before(start.Add(MaxRetry)) {
				t.Fatalf("caller of node %d: got a turn %v after the start, want later than %v", n, turn.Sub(start), last.Sub(start))
			}
			last = turn
		}
		issuer.Issue(Request{Refused: h.TakeRefused()}, start)
	}
	if got, want := last, start.Add(MaxRetry); got.After(want) {
		t.Errorf("last turn: got %v after the start, want at most %v", got.Sub(start), MaxRetry)
	}
	later := start.Add(2 * MaxRetry)
	if got := issuer.Issue(Request{Count: 1}, later); got.Count != 1 {
		t.Errorf("after a time without requests: got %d permits, want 1", got.Count)
	}
}

// A node that stood still or was cut off does not send later what it could have sent before.
func TestPermitsExpire(t *testing.T) {
	var h Holder
	h.Accept(Grant{Count: 2, Every: 200 * time.Millisecond}, start)
	if h.Take(start.Add(Validity + 200*time.Millisecond)) {
		t.Error("after all permits expired: got one, want none")
	}
}

// An issuer that shares the rate with another one issues half of it.
func TestSharedRate(t *testing.T) {
	issuer := NewIssuer(10, start)
	issuer.Share(start)
	got := 0
	for now := start; now.Before(start.Add(ShareTime)); now = now.Add(10 * time.Millisecond) {
		got += issuer.Issue(Request{Count: 1}, now).Count
	}
	if low, high := 13, 16; got < low || got > high {
		t.Errorf("permits in %v at half of 10 a second: got %d, want %d to %d", ShareTime, got, low, high)
	}
}

// Work that would be lost gets a permit although none is left.
func TestUrgentRequestsGoFirst(t *testing.T) {
	issuer := NewIssuer(4, start)
	issuer.Issue(Request{Count: 1}, start)
	if got := issuer.Issue(Request{Count: 1, Urgent: true}, start); got.Count != 1 || got.First != 0 {
		t.Errorf("urgent request: got %d permits after %v, want 1 at once", got.Count, got.First)
	}
	for range 5 {
		issuer.Issue(Request{Count: 1, Urgent: true}, start)
	}
	if got := issuer.Issue(Request{Count: 1, Urgent: true}, start); got.Count != 0 {
		t.Errorf("urgent request beyond the debt: got %d permits, want none", got.Count)
	}
}

func TestLowerRateAppliesImmediately(t *testing.T) {
	issuer := NewIssuer(100, start)
	issuer.SetRate(1, start.Add(time.Second))
	got := 0
	for range 50 {
		got += issuer.Issue(Request{Count: 1}, start.Add(time.Second)).Count
	}
	if want := 1; got != want {
		t.Errorf("permits: got %d, want %d", got, want)
	}
}

// However many nodes ask, an issuer gets a bounded number of requests, and its rate is used.
func TestNodesAskInTurn(t *testing.T) {
	for _, nodes := range []int{8, 195} {
		issuer, holders := NewIssuer(4, start), make([]Holder, nodes)
		asked, issued := 0, 0
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(5 * time.Millisecond) {
			for i := range holders {
				if h := &holders[i]; !now.Before(h.RetryAt()) {
					g := issuer.Issue(Request{Count: 1}, now)
					h.Accept(g, now)
					asked, issued = asked+1, issued+g.Count
				}
			}
		}
		if got, want := asked/20, 2*askRate; got > want {
			t.Errorf("%d nodes: got %d requests a second, want at most %d", nodes, got, want)
		}
		if got, want := issued, 4*20*9/10; got < want {
			t.Errorf("%d nodes: got %d permits in 20s at 4 a second, want at least %d", nodes, got, want)
		}
	}
}

// Permits that were reserved at a higher rate do not keep a server without requests after its rate fell.
func TestFallenRateIsUsed(t *testing.T) {
	issuer := NewIssuer(100, start)
	issuer.Issue(Request{Count: 200, MaxWait: time.Second}, start)
	issuer.SetRate(4, start)
	got := 0
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(50 * time.Millisecond) {
		got += issuer.Issue(Request{Count: 1}, now).Count
	}
	if low, high := 6, 12; got < low || got > high {
		t.Errorf("permits in 3s at 4 a second after a fall: got %d, want %d to %d", got, low, high)
	}
}

package duty

import (
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ebonyferry/internal/edge/kvstore"
)

const ttl = 3 * time.Second

// acting returns a lease that may act, and the time at which its renewal was sent last.
func acting(t *testing.T) (*Lease, time.Time) {
	t.Helper()
	start := time.Now()
	l := NewLease(NewTiming(ttl))
	l.Acquired(kvstore.RevisionAt(1, 7), start, start)
	if got := l.Remaining(start.Add(ttl - 1)); got > 0 {
		t.Errorf("before the handover ends: may act for %v, want not at all", got)
	}
	sent := start.Add(ttl)
	l.Renewed(ttl, sent)
	if got, want := l.Remaining(sent), ttl-ttl/8; got != want {
		t.Errorf("after a renewal: may act for %v, want %v", got, want)
	}
	return l, sent
}

// A holder whose process was stopped, or whose VM was suspended, so that only one of the clocks went on, must not act after its end.
func TestPausedHolderDoesNotAct(t *testing.T) {
	l, sent := acting(t)
	if got := l.Remaining(sent.Add(ttl)); got > 0 {
		t.Errorf("monotonic clock: may act for %v", got)
	}
	if got := l.Remaining(sent.Round(0).Add(ttl)); got > 0 {
		t.Errorf("wall clock alone: may act for %v", got)
	}
}

// A renewal without a confirmation must not extend the time in which the holder acts, and a store that answers again must.
func TestUnconfirmedRenewal(t *testing.T) {
	l, sent := acting(t)
	s := Situation{Known: true, Held: true, Own: true, Revision: l.token, Era: 1}
	now := sent.Add(2 * time.Second)
	if got := l.Next(s, now); got != Renew {
		t.Errorf("got action %v, want %v", got, Renew)
	}
	l.Failed(now)
	if got := l.Next(s, now); got != Wait {
		t.Errorf("right after a failure: got action %v, want %v", got, Wait)
	}
	if got, want := l.Remaining(now), ttl-ttl/8-2*time.Second; got != want {
		t.Errorf("may act for %v, want %v", got, want)
	}
	l.Renewed(ttl, now)
	if got, want := l.Remaining(now), ttl-ttl/8; got != want {
		t.Errorf("after the confirmation: may act for %v, want %v", got, want)
	}
}

// A holder must stop when it drains, when its entry is gone, and when the store came back from an earlier copy, in which its store lease may
// go on without the entry.
func TestHolderReleases(t *testing.T) {
	l, sent := acting(t)
	own := Situation{Known: true, Held: true, Own: true, Revision: l.token, Era: 1}
	tests := []struct {
		name   string
		change func(*Situation)
		want   Action
	}{
		{"nothing happened", func(*Situation) {}, Wait},
		{"data from before the entry", func(s *Situation) { s.Own, s.Held, s.Revision = false, false, l.token-1 }, Wait},
		{"draining", func(s *Situation) { s.Leaving = true }, Release},
		{"entry gone", func(s *Situation) { s.Own, s.Held = false, false }, Release},
		{"entry of another", func(s *Situation) { s.Own = false }, Release},
		{"restored", func(s *Situation) { s.Era = 2 }, Release},
	}
	for _, tt := range tests {
		s := own
		tt.change(&s)
		if got := l.Next(s, sent); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Nodes that are no candidates, and the second candidate for a while, must not call the store.
func TestCandidatesInOrder(t *testing.T) {
	now := time.Now()
	for rank, want := range map[int]Action{-1: Wait, 0: Acquire, 1: Wait} {
		if got := NewLease(NewTiming(ttl)).Next(Situation{Rank: rank, Known: true}, now); got != want {
			t.Errorf("rank %d: got %v, want %v", rank, got, want)
		}
	}
	second := NewLease(NewTiming(ttl))
	second.Next(Situation{Rank: 1, Known: true}, now)
	if got := second.Next(Situation{Rank: 1, Known: true}, now.Add(ttl/3)); got != Acquire {
		t.Errorf("rank 1 after the stagger: got %v, want %v", got, Acquire)
	}
	if got := NewLease(NewTiming(ttl)).Next(Situation{Known: true, Held: true}, now); got != Wait {
		t.Errorf("held by another: got %v, want %v", got, Wait)
	}
}

// Against a store that expires leases, with nodes that are paused and cut off at random: two nodes never may act at once, tokens rise with the
// holder, and no node acts again within the time to live after another one has.
func TestHoldersExcludeEachOther(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const nodes, step = 3, 100 * time.Millisecond
		now := time.Unix(1000, 0)
		var revision, entry kvstore.Revision
		var ends time.Time // of the store's lease
		leases := make([]*Lease, nodes)
		for i := range leases {
			leases[i] = NewLease(NewTiming(ttl))
		}
		cutUntil, pausedUntil := make([]time.Time, nodes), make([]time.Time, nodes)
		lastActor, lastToken, lastActed := -1, uint64(0), make([]time.Time, nodes)
		for range 300 {
			now = now.Add(step)
			if !now.Before(ends) {
				entry = 0
			}
			for i, l := range leases {
				switch rapid.IntRange(0, 60).Draw(rt, "fault") {
				case 0:
					cutUntil[i] = now.Add(4 * time.Second)
				case 1:
					pausedUntil[i] = now.Add(4 * time.Second)
				}
				if now.Before(pausedUntil[i]) {
					continue
				}
				cut := now.Before(cutUntil[i])
				s := Situation{Rank: i, Known: !cut, Held: entry != 0, Own: entry != 0 && entry == l.token, Revision: revision}
				switch action := l.Next(s, now); {
				case action == Wait:
				case cut:
					l.Failed(now)
				case action == Acquire && entry == 0:
					revision++
					entry, ends = revision, now.Add(ttl)
					l.Acquired(entry, now, now)
				case action == Renew && entry == l.token:
					ends = now.Add(ttl)
					l.Renewed(ttl, now)
				default:
					if action == Release && entry == l.token {
						entry = 0
					}
					l.Lost(now)
				}
				if l.Remaining(now) <= 0 {
					continue
				}
				if entry != l.token {
					rt.Fatalf("node %d acts at %v with token %d, the store has %d", i, now, l.Token(), entry)
				}
				if l.Token() < lastToken || i != lastActor && l.Token() == lastToken {
					rt.Fatalf("node %d acts with token %d after node %d with %d", i, l.Token(), lastActor, lastToken)
				}
				if i != lastActor && !lastActed[i].IsZero() && now.Sub(lastActed[i]) < ttl {
					rt.Fatalf("node %d acts again %v after it did, and node %d did between", i, now.Sub(lastActed[i]), lastActor)
				}
				lastActor, lastToken, lastActed[i] = i, l.Token(), now
			}
		}
	})
}

var windows = Windows{Length: 5 * time.Second}

func TestWindows(t *testing.T) {
	if got, want := windows.Start(353445120), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC); !got.Equal(want) {
		t.Errorf("start: got %v, want %v", got, want)
	}
	if got, want := windows.At(windows.End(77).Add(-1)), uint64(77); got != want {
		t.Errorf("at the end: got %d, want %d", got, want)
	}
}

// Messages that are lost, repeated or overtaken, and nodes that start again, must neither lose nor double a count that was sent at last.
func TestSumsOverLostMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := windows.Start(100)
		table := NewTable(windows, now)
		want := make(Counts)
		var sent []Row
		for node := range 3 {
			for process := range rapid.IntRange(1, 2).Draw(rt, "processes") {
				c := NewCounter()
				src := Source{Node: string(rune('a' + node)), Nonce: string(rune('0' + process))}
				for range rapid.IntRange(1, 10).Draw(rt, "requests") {
					account := rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "account")
					c.Add(100, account)
					want[account]++
					if rapid.Bool().Draw(rt, "sent") {
						counts, _ := c.Since(0)
						sent = append(sent, Row{Source: src, Windows: counts})
					}
				}
				counts, _ := c.Since(0)
				sent = append(sent, Row{Source: src, Windows: counts})
			}
		}
		for _, i := range rapid.Permutation(slices.Repeat(sent, 2)).Draw(rt, "order") {
			if _, err := table.Merge(i, now); err != nil {
				rt.Fatal(err)
			}
		}
		if got := table.Sum(100); !maps.Equal(got, want) {
			rt.Fatalf("got %v, want %v", got, want)
		}
	})
}

// Only what changed since is sent again.
func TestCounterSince(t *testing.T) {
	c := NewCounter()
	c.Add(1, "x")
	_, changes := c.Since(0)
	if list, _ := c.Since(changes); len(list) != 0 {
		t.Errorf("without a change: got %v, want nothing", list)
	}
	c.Add(2, "x")
	if list, _ := c.Since(changes); len(list) != 1 || list[2]["x"] != 1 {
		t.Errorf("after a change: got %v, want window 2", list)
	}
	c.Forget(2)
	if list, _ := c.Since(0); len(list) != 1 {
		t.Errorf("after window 1 was dropped: got %v, want window 2", list)
	}
}

// Malformed counts must change nothing, and windows that are too old or in the future must not be added.
func TestMergeRejects(t *testing.T) {
	now := windows.Start(100)
	table := NewTable(windows, now)
	src := Source{"a", "1"}
	for name, row := range map[string]Row{
		"no node":    {Windows: map[uint64]Counts{100: {"x": 1}}},
		"negative":   {Source: src, Windows: map[uint64]Counts{100: {"x": 1, "y": -1}}},
		"no account": {Source: src, Windows: map[uint64]Counts{100: {"": 1}}},
		"future":     {Source: src, Through: now.Add(time.Hour), Windows: map[uint64]Counts{100: {"x": 1}}},
	} {
		if _, err := table.Merge(row, now); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got %v, want ErrMalformed", name, err)
		}
	}
	if got := table.Sum(100); len(got) != 0 || table.First() != 0 {
		t.Errorf("after malformed counts: got %v, want none", got)
	}
	rejected, err := table.Merge(Row{Source: src, Windows: map[uint64]Counts{80: {"x": 1}, 100: {"x": 2}, 101: {"x": 3}}}, now)
	if want := []uint64{80, 101}; err != nil || !slices.Equal(rejected, want) {
		t.Errorf("rejected: got %v, %v, want %v", rejected, err, want)
	}
	if got := table.Sum(100); got["x"] != 2 {
		t.Errorf("valid window: got %v, want 2", got)
	}
}

// A window must be summed early when all nodes have reported, before it is due when few requests are missing, and not while many are: a wrong
// report costs as much as a missing one.
func TestJudge(t *testing.T) {
	c := NewClosing(windows, 10*time.Second, ttl, 0.05)
	end := windows.End(100)
	if c.After != 3*time.Second || c.Latest != 7500*time.Millisecond {
		t.Errorf("got %+v, want sums 3 s and 7.5 s after the end", c)
	}
	table := NewTable(windows, windows.Start(90))
	nodes := []string{"a", "b", "c"}
	for i, name := range nodes {
		row := Row{Source: Source{name, "1"}, Through: end, Windows: map[uint64]Counts{99: {"x": 50}, 100: {"x": 50}}}
		if i == 2 {
			row.Through = end.Add(-4 * time.Second)
		}
		if _, err := table.Merge(row, end); err != nil {
			t.Fatal(err)
		}
	}
	judge := func(after time.Duration, nodes ...string) Verdict {
		now := end.Add(after)
		return c.Judge(100, table.Coverage(100, nodes, now), now)
	}
	for _, tt := range []struct {
		name  string
		after time.Duration
		nodes []string
		want  Verdict
	}{
		{"just ended", time.Second, nodes[:2], Later},
		{"complete", 3 * time.Second, nodes[:2], Sum},
		{"one node behind", 9 * time.Second, nodes, Later},
		{"that node left", 9 * time.Second, nodes[:2], Sum},
		{"never", c.GiveUp, nodes, Skip},
		{"node that never counted", 3 * time.Second, []string{"a", "b", "old"}, Sum},
	} {
		if got := judge(tt.after, tt.nodes...); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// A node that never counted must not hold up reports, and one that a new holder has not heard yet must.
func TestUnknownNodes(t *testing.T) {
	start := windows.Start(90)
	table := NewTable(windows, start)
	if _, err := table.Merge(Row{Source: Source{"a", "1"}, Through: windows.End(90), Windows: map[uint64]Counts{90: {"x": 5}}}, windows.End(90)); err != nil {
		t.Fatal(err)
	}
	if got := table.Coverage(90, []string{"a", "b"}, windows.End(90)); got.Share < 0.3 {
		t.Errorf("soon after the start: got %v missing, want about half", got.Share)
	}
	if got := table.Coverage(90, []string{"a", "b"}, start.Add(silentNodesAge)); got.Share != 0 || !slices.Equal(got.Missing, []string{"b"}) {
		t.Errorf("later: got %+v, want b missing with no share", got)
	}
}

// A window that was stored must never be summed again, also after a restored store lost it.
func TestHistoryKeepsFirstReport(t *testing.T) {
	h := NewHistory()
	h.Learn(Stored{Closed: 5, Open: []Report{{4, Counts{"x": 1}}, {5, Counts{"x": 2}}}})
	h.Learn(Stored{Closed: 4, Open: []Report{{4, Counts{"x": 9}}}})
	h.Learn(Stored{Closed: 5, Open: []Report{{5, Counts{"x": 2}}}}) // its writer saw window 4 acknowledged
	open := h.Open()
	if len(open) != 1 || open[0].Window != 5 || h.Closed() != 5 {
		t.Errorf("got %v open, closed %d, want window 5", open, h.Closed())
	}
	next := h.Next([]Report{{6, Counts{}}})
	if next.Closed != 6 || len(next.Open) != 2 {
		t.Errorf("entry to write: got %+v, want windows 5 and 6", next)
	}
	if got := h.Known(4).Open[0].Counts["x"]; got != 1 {
		t.Errorf("report of window 4: got %d, want the first, 1", got)
	}
	if _, err := DecodeStored([]byte(`{"closed":3,"open":[{"window":4}]}`)); !errors.Is(err, ErrMalformed) {
		t.Errorf("report after the last closed window: got %v, want ErrMalformed", err)
	}
}

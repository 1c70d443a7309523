package detour

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func newTable(seed uint64) *Table {
	return NewTable(WithRandom(rand.New(rand.NewPCG(seed, 1)).Float64))
}

// A failure domain of 40 of 330 nodes loses its path to all servers. The nodes do not know which of the others have one.
func TestLoadOfCutNodesSpreads(t *testing.T) {
	const nodes, cut, requests = 330, 40, 200
	names := make([]string, nodes)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	carried := make(map[string]int)
	attempts := 0
	for self := range cut {
		table := newTable(uint64(self))
		for n := range requests {
			now, tried := start.Add(time.Duration(n)*25*time.Millisecond), map[string]bool{names[self]: true}
			for {
				attempts++
				name := table.Choose(names, tried, now)
				tried[name] = true
				var index int
				_, _ = fmt.Sscan(name, &index)
				table.RecordCarrier(name, index >= cut, now)
				if index >= cut {
					carried[name]++
					break
				}
			}
		}
	}
	most := 0
	for _, n := range carried {
		most = max(most, n)
	}
	mean := float64(cut*requests) / (nodes - cut)
	if got, limit := float64(most), 4*mean; got > limit {
		t.Errorf("connections through the busiest node: got %.0f, want at most %.0f, four times the mean", got, limit)
	}
	if got, limit := float64(attempts)/(cut*requests), 1.2; got > limit {
		t.Errorf("attempts for a connection: got %.2f, want at most %.2f", got, limit)
	}
}

// With five of eight nodes cut off, few attempts may fail: each takes a part of a request's time.
func TestNodesWithoutPathAreAvoided(t *testing.T) {
	table, tried := newTable(1), 0
	names := []string{"a", "b", "c", "d", "e", "f", "g"} // e, f and g have a path
	const requests = 400
	for n := range requests {
		now, seen := start.Add(time.Duration(n)*20*time.Millisecond), map[string]bool{}
		for {
			tried++
			name := table.Choose(names, seen, now)
			seen[name] = true
			table.RecordCarrier(name, name >= "e", now)
			if name >= "e" {
				break
			}
		}
	}
	if got, limit := float64(tried)/requests, 1.1; got > limit {
		t.Errorf("attempts for a connection: got %.2f, want at most %.2f", got, limit)
	}
}

func TestDirectPathIsPreferredOnceItWorks(t *testing.T) {
	table := newTable(1)
	if got, want := table.HeadStart("s"), headStart; got != want {
		t.Errorf("unknown server: got a head start of %v, want %v", got, want)
	}
	if !table.RecordDirect("s", false, start) || table.RecordDirect("s", false, start) {
		t.Error("the first failure and only that is a change")
	}
	if got, want := table.HeadStart("s"), failedHeadStart; got != want {
		t.Errorf("failed path: got a head start of %v, want %v", got, want)
	}
	if table.MayCarry("s", start) {
		t.Error("a node whose path failed carries for others")
	}
	if !table.MayCarry("s", start.Add(2*refuseTime)) {
		t.Error("a node whose path failed some time ago does not try again")
	}
	if !table.RecordDirect("s", true, start) || table.HeadStart("s") != headStart || table.CountFailed() != 0 {
		t.Error("a path that works again counts as failed")
	}
}

// A path may let connections be made and reset them. The node must find that out at a few servers, and return to the direct path.
func TestNodeWhoseConnectionsAreResetCountsAsCutOff(t *testing.T) {
	table := newTable(1)
	table.RecordAnswer("c", start)
	table.RecordReset("a", start.Add(time.Millisecond))
	if now := start.Add(2 * time.Millisecond); !table.IsBroken("a", now) || table.IsBroken("b", now) {
		t.Error("after a reset at one server: want only that one to be broken")
	}
	table.RecordReset("b", start.Add(3*time.Millisecond))
	if now := start.Add(4 * time.Millisecond); !table.IsBroken("c", now) || table.MayCarry("c", now) {
		t.Error("after resets at two servers: want all to be broken, and none to be carried to")
	}
	if table.IsBroken("c", start.Add(2*firstBrokenTime)) {
		t.Error("later: want a direct connection to be tried again")
	}
	table.RecordReset("a", start.Add(2*firstBrokenTime))
	if !table.IsBroken("a", start.Add(3*firstBrokenTime+firstBrokenTime/2)) {
		t.Error("after a second reset in a row: want twice the time")
	}
	table.RecordAnswer("a", start.Add(4*firstBrokenTime))
	if now := start.Add(4 * firstBrokenTime); table.IsBroken("a", now) || table.IsBroken("c", now) {
		t.Error("after an answer: want no broken path")
	}
}

// Each direct connection that is tried again costs a caller its request. A node with few callers must not lose a third of them.
func TestFewRequestsAreLostToResets(t *testing.T) {
	const cut, perSecond = 10 * time.Second, 3
	table, lost, sent := newTable(1), 0, 0
	for now := start; now.Before(start.Add(cut)); now = now.Add(time.Second / perSecond) {
		server := fmt.Sprint("s", sent%3)
		sent++
		if !table.IsBroken(server, now) {
			table.RecordReset(server, now)
			lost++
		}
	}
	if limit := sent / 6; lost > limit {
		t.Errorf("lost %d of %d requests, want at most %d", lost, sent, limit)
	}
}

func TestChooseWithoutNodes(t *testing.T) {
	table := newTable(1)
	if got := table.Choose([]string{"a"}, map[string]bool{"a": true}, start); got != "" {
		t.Errorf("got %q, want none", got)
	}
	table.RecordCarrier("a", false, start)
	if got, want := table.Choose([]string{"a"}, nil, start), "a"; got != want {
		t.Errorf("only an avoided node is left: got %q, want %q", got, want)
	}
}

package quarantine_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"ebonyferry/internal/core/quarantine"
)

// crashes is a Parts with a clock that advances by a second for each crash.
type crashes struct {
	*quarantine.Parts
	now time.Time
}

func (c *crashes) crash(id string, parts ...uint64) {
	c.now = c.now.Add(time.Second)
	c.RecordCrash(quarantine.PartCrash{ID: id, At: c.now, Parts: parts})
}

// judge quarantines parts without further answers of other nodes.
func (c *crashes) judge() []quarantine.PartVerdict { return c.Judge(c.Queries(c.now), c.now) }

// quarantined reports whether a request with the given parts must not run.
func (c *crashes) quarantined(parts ...uint64) bool {
	_, ok := c.Quarantined(parts, c.now)
	return ok
}

// A part that is in every crash must be quarantined, and none that the requests beside it share with sound ones.
func TestPartThatCrashesServers(t *testing.T) {
	const crashing, first, other = 1, 2, 3
	tests := []struct {
		name      string
		do        func(c *crashes)
		wantAlone bool // a request with the part
		wantTied  bool // a request with the part and the first of the others
	}{
		{"two crashes", func(c *crashes) { c.crash("a", first, crashing, 10); c.crash("b", other, crashing, 11) }, false, false},
		{"three crashes", func(c *crashes) {
			c.crash("a", first, crashing, 10)
			c.crash("b", other, crashing, 11)
			c.crash("c", first, crashing, 12)
		}, true, true},
		{"one crash that two nodes report", func(c *crashes) {
			c.crash("a", first, crashing, 10)
			c.crash("b", other, crashing, 11)
			c.crash("b", other, crashing, 11)
		}, false, false},
		{"crashes at the same moment", func(c *crashes) {
			c.crash("a", first, crashing)
			for _, id := range []string{"b", "c", "d"} {
				c.RecordCrash(quarantine.PartCrash{ID: id, At: c.now.Add(time.Millisecond), Parts: []uint64{crashing, other}})
			}
		}, false, false},
		{"an answer since the first crash", func(c *crashes) {
			c.crash("a", crashing, 10)
			c.crash("b", crashing, 11)
			c.RecordPass(crashing, c.now.Add(time.Millisecond))
			c.crash("c", crashing, 12)
		}, false, false},
		{"an answer before the first crash", func(c *crashes) {
			c.RecordPass(crashing, c.now)
			c.crash("a", crashing, 10)
			c.crash("b", crashing, 11)
			c.crash("c", crashing, 12)
		}, true, true},
		{"tied with a part that has an answer", func(c *crashes) {
			for _, id := range []string{"a", "b", "c"} {
				c.crash(id, first, crashing)
			}
			c.RecordPass(first, c.now.Add(time.Millisecond))
		}, true, true},
		{"tied", func(c *crashes) {
			for _, id := range []string{"a", "b", "c"} {
				c.crash(id, first, crashing)
			}
		}, false, true},
		{"tied, then one with another", func(c *crashes) {
			for _, id := range []string{"a", "b", "c", "d"} {
				c.crash(id, first, crashing)
			}
			c.judge()
			c.crash("e", other, crashing)
		}, false, true},
		{"tied, then two with another", func(c *crashes) {
			for _, id := range []string{"a", "b", "c", "d"} {
				c.crash(id, first, crashing)
			}
			c.judge()
			c.crash("e", other, crashing, 14)
			c.crash("f", 4, crashing, 15)
		}, true, true},
		{"after the verdict", func(c *crashes) {
			for i, id := range []string{"a", "b", "c", "d", "e", "f"} {
				c.crash(id, first, crashing, uint64(10+i))
				if i == 0 {
					c.RecordPass(first, c.now.Add(time.Millisecond))
				}
				c.judge()
			}
		}, true, true},
		{"one crash after the end of a verdict", func(c *crashes) {
			c.Merge(quarantine.PartVerdict{Parts: []uint64{crashing}, Until: c.now}, c.now)
			c.crash("a", first, crashing)
		}, true, true},
		{"a verdict without parts", func(c *crashes) {
			c.Merge(quarantine.PartVerdict{Until: c.now.Add(time.Hour)}, c.now)
		}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &crashes{quarantine.NewParts(), start}
			tt.do(c)
			c.judge()
			if got := c.quarantined(crashing); got != tt.wantAlone {
				t.Errorf("the part in all crashes: got %v, want %v", got, tt.wantAlone)
			}
			if got := c.quarantined(first, crashing); got != tt.wantTied {
				t.Errorf("the part beside the first: got %v, want %v", got, tt.wantTied)
			}
			if c.quarantined(first, other, 10, 11, 12, 13) {
				t.Error("a request without the part is quarantined")
			}
		})
	}
}

// lose records the requests that were lost in one crash of a server, a list of parts each.
func (c *crashes) lose(server string, requests ...[]uint64) {
	c.now = c.now.Add(time.Second)
	for i, parts := range requests {
		id := server + "/" + strconv.Itoa(i)
		// Nodes observe one crash at different times.
		at := c.now.Add(time.Duration(i) * 60 * time.Millisecond)
		c.RecordCrash(quarantine.PartCrash{ID: id, Server: server, At: at, Parts: parts})
	}
	c.now = c.now.Add(time.Duration(len(requests)) * 60 * time.Millisecond)
}

// Of the requests that are lost in a crash, one caused it. The parts of the others must not be quarantined for crashes that another
// part explains, and a crash counts once, however many requests it lost.
func TestRequestsLostBesideACrashingOne(t *testing.T) {
	const crashing, shared, rare = 1, 2, 3
	tests := []struct {
		name         string
		do           func(c *crashes)
		wantCrashing bool
		wantRare     bool
	}{
		{"two crashes that lost three requests each", func(c *crashes) {
			for _, s := range []string{"a", "b"} {
				c.lose(s, []uint64{crashing, 10}, []uint64{crashing, 11}, []uint64{crashing, 12})
			}
		}, false, false},
		{"beside others", func(c *crashes) {
			c.lose("a", []uint64{crashing, 10}, []uint64{rare, 11})
			c.lose("b", []uint64{rare, 12}, []uint64{crashing, 13})
			c.lose("c", []uint64{crashing, 14}, []uint64{shared, 15})
		}, true, false},
		{"beside others, also after the verdict", func(c *crashes) {
			for i := range uint64(6) {
				server := strconv.FormatUint(i, 10)
				if i < 2 {
					c.lose(server, []uint64{crashing, 10 + i})
					continue
				}
				c.lose(server, []uint64{rare, 20 + i}, []uint64{crashing, 10 + i})
				c.judge()
			}
		}, true, false},
		{"either may be the cause", func(c *crashes) {
			for i, s := range []string{"a", "b", "c"} {
				c.lose(s, []uint64{crashing, uint64(10 + i)}, []uint64{rare, uint64(20 + i)})
			}
		}, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &crashes{quarantine.NewParts(), start}
			tt.do(c)
			c.judge()
			if got := c.quarantined(crashing, 90); got != tt.wantCrashing {
				t.Errorf("the part in all crashes: got %v, want %v", got, tt.wantCrashing)
			}
			if got := c.quarantined(rare, 91); got != tt.wantRare {
				t.Errorf("the part of requests lost beside it: got %v, want %v", got, tt.wantRare)
			}
		})
	}
}

// Requests that were lost in the same crash must not make each other suspects: each may continue.
func TestSuspectedOfAnotherCrash(t *testing.T) {
	c := &crashes{quarantine.NewParts(), start}
	c.lose("a", []uint64{1, 10}, []uint64{1, 11})
	if c.Suspected([]uint64{1, 11}, "a") {
		t.Error("a request is suspected because of another one that was lost in the same crash")
	}
	if !c.Suspected([]uint64{1, 12}, "b") {
		t.Error("a request is not suspected after a crash of another server with its part")
	}
}

// A part whose verdict has ended, and that had answers since, was not the cause. One more crash must not quarantine it again.
func TestPartWithAnswersAfterItsVerdict(t *testing.T) {
	c := &crashes{quarantine.NewParts(), start}
	for _, id := range []string{"a", "b", "c"} {
		c.crash(id, 1)
	}
	v := c.judge()
	if len(v) != 1 {
		t.Fatalf("verdicts: got %v, want one", v)
	}
	answer := v[0].Until.Add(time.Second)
	c.now = answer.Add(time.Second)
	c.crash("d", 1, 40)
	queries := c.Queries(c.now)
	if len(queries) != 1 || queries[0].Since.After(answer) {
		t.Fatalf("queries: got %v, want one for answers since the end of the verdict", queries)
	}
	c.RecordPass(1, answer)
	if got := c.Judge(queries, c.now); len(got) != 0 {
		t.Errorf("verdicts after a crash with an answer since the last verdict: got %v, want none", got)
	}
}

func TestVerdictOnPartEnds(t *testing.T) {
	c := &crashes{quarantine.NewParts(), start}
	for _, id := range []string{"a", "b", "c"} {
		c.crash(id, 1)
	}
	v := c.judge()
	if len(v) != 1 {
		t.Fatalf("verdicts: got %v, want one", v)
	}
	if c.now = v[0].Until; c.quarantined(1) {
		t.Error("the verdict lasts beyond its end")
	}
	if got := c.Queries(c.now); len(got) != 0 {
		t.Errorf("queries without a new crash: got %v, want none", got)
	}
	if got := c.judge(); len(got) != 0 {
		t.Errorf("verdicts without a new crash: got %v, want none", got)
	}
}

// The answers and crashes of a long time must not fill the memory.
func TestPartsForget(t *testing.T) {
	c := &crashes{quarantine.NewParts(), start}
	for i := range uint64(2000) {
		c.crash(strconv.FormatUint(i, 10), i, 1_000_000+i)
		c.RecordPass(1_000_000+i, c.now)
		c.RecordPass(2_000_000+i, c.now)
	}
	if crashes, answered := c.Len(); crashes != 512 || answered != 512 {
		t.Errorf("remembered: got %d crashes and %d answers, want 512 of each", crashes, answered)
	}
	c.now = c.now.Add(time.Hour)
	c.crash("later", 2)
	if crashes, answered := c.Len(); crashes != 1 || answered != 0 {
		t.Errorf("remembered after an hour: got %d crashes and %d answers, want 1 and none", crashes, answered)
	}
}

// Sound requests share their first part, and a few of them are beginning when a server crashes for another reason.
func TestSoundPartsAreNotQuarantined(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := &crashes{quarantine.NewParts(), start}
		condemnedAfter := 0
		for i := range 60 {
			first, second, last := uint64(100+rng.IntN(8)), uint64(200+rng.IntN(85)), uint64(1000+i)
			parts := []uint64{first, second, last}
			crashing := rng.IntN(2) == 0
			if crashing {
				parts = []uint64{first, 1, last}
			}
			if crashing || rng.IntN(20) == 0 {
				c.crash(string(rune('a'+i)), parts...)
			} else {
				for _, p := range parts {
					c.RecordPass(p, c.now)
				}
			}
			for _, v := range c.judge() {
				if !slices.Contains(v.Parts, 1) {
					t.Fatalf("seed %d: quarantined the sound parts %d after %d requests", seed, v.Parts, i)
				}
				condemnedAfter = v.Crashes
			}
			if c.quarantined(1) && slices.Contains(parts, 1) {
				break
			}
		}
		if condemnedAfter == 0 || condemnedAfter > 5 {
			t.Errorf("seed %d: quarantined the crashing part after %d crashes, want 1 to 5", seed, condemnedAfter)
		}
	}
}

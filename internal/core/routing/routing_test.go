package routing_test

import (
	"testing"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/routing"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestChoose(t *testing.T) {
	tests := []struct {
		name string
		list []routing.Candidate
		want int
	}{
		{"none", nil, -1},
		{"least peak", []routing.Candidate{{Peak: 0.8}, {Peak: 0.3}}, 1},
		{"least latency", []routing.Candidate{{Peak: 0.5, Latency: 0.9}, {Peak: 0.5, Latency: 0.4}}, 1},
		{"cached prefix outweighs some load", []routing.Candidate{{Peak: 0.5}, {Peak: 0.6, CachedTokens: 800, PromptTokens: 1000}}, 1},
		{"but not much load", []routing.Candidate{{Peak: 0.3}, {Peak: 0.9, CachedTokens: 800, PromptTokens: 1000}}, 0},
		{"preferred first", []routing.Candidate{{Peak: 0.1}, {Peak: 0.9, Preferred: true}}, 1},
		{"equal", []routing.Candidate{{TieBreak: 2}, {TieBreak: 1}}, 1},
	}
	for _, tt := range tests {
		if got := routing.Choose(tt.list); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}

func TestCacheExpectedTokens(t *testing.T) {
	prefix := routing.Prefix{Hash: 1, Tokens: 100}
	stored := func(seq uint64, hash uint64) routing.Event {
		return routing.Event{Seq: seq, Prefix: routing.Prefix{Hash: hash, Tokens: 100}}
	}
	tests := []struct {
		name      string
		do        func(*routing.Cache)
		after     time.Duration
		low, high float64
	}{
		{"nothing known", func(*routing.Cache) {}, 0, 0, 0},
		{"stored", func(c *routing.Cache) { c.Apply(stored(1, 1), start) }, 0, 100, 100},
		{"routed, no event yet", func(c *routing.Cache) { c.RecordSent([]routing.Prefix{prefix}, start) }, 0, 50, 99},
		{"stale", func(c *routing.Cache) { c.Apply(stored(1, 1), start) }, 10 * time.Minute, 0, 10},
		{"gap", func(c *routing.Cache) { c.Apply(stored(1, 1), start); c.Apply(stored(3, 2), start) }, 0, 1, 50},
		{"two gaps", func(c *routing.Cache) {
			c.Apply(stored(1, 1), start)
			c.Apply(stored(3, 2), start)
			c.Apply(stored(5, 3), start)
		}, 0, 1, 20},
		{"late event from before an eviction", func(c *routing.Cache) {
			c.Apply(routing.Event{Seq: 2, Evicted: true, Prefix: prefix}, start)
			c.Apply(stored(1, 1), start)
		}, 0, 0, 0},
		{"evicted", func(c *routing.Cache) {
			c.Apply(stored(1, 1), start)
			c.Apply(routing.Event{Seq: 2, Evicted: true, Prefix: prefix}, start)
		}, 0, 0, 0},
		{"restarted", func(c *routing.Cache) { c.Apply(stored(1, 1), start); c.Reset() }, 0, 0, 0},
		{"many others since", func(c *routing.Cache) {
			for i := range uint64(3000) {
				c.Apply(stored(i+1, i+1), start)
			}
		}, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := routing.NewCache()
			tt.do(c)
			got := c.ExpectedTokens([]routing.Prefix{prefix}, start.Add(tt.after))
			if got < tt.low || got > tt.high {
				t.Errorf("expected tokens: got %v, want %v to %v", got, tt.low, tt.high)
			}
		})
	}
}

func TestSplitterKeepsToShares(t *testing.T) {
	shares := []bundle.VersionShare{{Version: "old", Share: 980}, {Version: "new", Share: 20}, {Version: "off", Share: 0}}
	total := make(map[string]int)
	const splitters, each = 50, 20
	for i := range splitters {
		s := routing.NewSplitter(shares, i*20)
		for range each {
			total[s.Next()]++
		}
	}
	if got, want := total["new"], splitters*each*20/1000; got != want {
		t.Errorf("requests for the new version: got %d, want %d", got, want)
	}
	if got, want := total["off"], 0; got != want {
		t.Errorf("requests for a version without a share: got %d, want %d", got, want)
	}
	s := routing.NewSplitter(shares, 0)
	if got, want := s.Fallback("new"), "old"; got != want {
		t.Errorf("fallback from the small version: got %q, want %q", got, want)
	}
	if got, want := s.Fallback("old"), ""; got != want {
		t.Errorf("fallback from the large version: got %q, want %q", got, want)
	}
}

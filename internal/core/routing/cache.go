package routing

import (
	"math"
	"time"
)

// This file defines what is believed about the prefix cache of a server.

const (
	maxPrefixes  = 1024
	beliefLife   = 3 * time.Minute // belief fades by a factor of e
	gapBelief    = 0.4             // what a gap leaves of the belief in earlier entries
	routedBelief = 0.8             // in a prefix that the node itself sent there, before an event confirms it
)

// Prefix is a block-aligned prefix of a prompt.
type Prefix struct {
	Hash   uint64
	Tokens int
}

// Event is a change of a server's prefix cache.
type Event struct {
	Seq     uint64
	Evicted bool // else stored
	Prefix  Prefix
}

// Cache is what is believed about one server's prefix cache. It has one owner.
type Cache struct {
	seq     uint64 // of the last event
	gaps    int    // seen so far
	entries map[uint64]belief
	order   []uint64 // hashes in order of arrival, a ring once it holds maxPrefixes
	next    int      // next place of order to reuse
}

type belief struct {
	tokens int
	at     time.Time
	gaps   int     // value of Cache.gaps when it was stored
	trust  float64 // at that time
}

// NewCache returns an empty cache.
func NewCache() *Cache { return &Cache{entries: make(map[uint64]belief)} }

// Apply takes one event of the server.
func (c *Cache) Apply(e Event, now time.Time) {
	if e.Seq <= c.seq {
		return
	}
	if c.seq != 0 && e.Seq > c.seq+1 {
		c.gaps++
	}
	c.seq = e.Seq
	if e.Evicted {
		delete(c.entries, e.Prefix.Hash)
		return
	}
	c.put(e.Prefix, 1, now)
}

// Routed records that a prompt with these prefixes was sent to the server.
func (c *Cache) Routed(prefixes []Prefix, now time.Time) {
	for _, p := range prefixes {
		if c.trust(c.entries[p.Hash], now) < routedBelief {
			c.put(p, routedBelief, now)
		}
	}
}

func (c *Cache) put(p Prefix, trust float64, now time.Time) {
	if _, ok := c.entries[p.Hash]; !ok {
		c.remember(p.Hash)
	}
	c.entries[p.Hash] = belief{tokens: p.Tokens, at: now, gaps: c.gaps, trust: trust}
}

// Makes room for one more hash by forgetting the oldest.
func (c *Cache) remember(hash uint64) {
	if len(c.order) < maxPrefixes {
		c.order = append(c.order, hash)
		return
	}
	delete(c.entries, c.order[c.next])
	c.order[c.next] = hash
	c.next = (c.next + 1) % maxPrefixes
}

// Reset drops all beliefs, as after a restart of the server.
func (c *Cache) Reset() {
	clear(c.entries)
	c.order, c.next, c.seq = c.order[:0], 0, 0
}

// ExpectedTokens returns the tokens of a prompt expected in the cache, given its prefixes.
func (c *Cache) ExpectedTokens(prefixes []Prefix, now time.Time) float64 {
	best := 0.0
	for _, p := range prefixes {
		b, ok := c.entries[p.Hash]
		if !ok {
			continue
		}
		best = max(best, float64(b.tokens)*c.trust(b, now))
	}
	return best
}

func (c *Cache) trust(b belief, now time.Time) float64 {
	if b.tokens == 0 {
		return 0
	}
	age := now.Sub(b.at).Seconds() / beliefLife.Seconds()
	return b.trust * math.Exp(-age) * math.Pow(gapBelief, float64(c.gaps-b.gaps))
}

package routing

import (
	"math"
	"time"
)

const (
	maxPrefixes         = 1024
	confidenceDecayTime = 3 * time.Minute // in which confidence decays by a factor of e
	gapConfidence       = 0.4             // factor by which a gap in the events lowers the confidence in earlier entries
	routedConfidence    = 0.8             // confidence in a prefix that the node itself sent there, before an event confirms it
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

// Cache is a model of one server's prefix cache. It is not safe for concurrent use.
type Cache struct {
	seq     uint64 // of the last event
	gaps    int    // gaps in the events so far
	entries map[uint64]cacheEntry
	order   []uint64 // hashes in order of arrival, a ring once it holds maxPrefixes
	next    int      // next index of order to reuse
}

type cacheEntry struct {
	tokens     int
	storedAt   time.Time
	gaps       int     // value of Cache.gaps at storedAt
	confidence float64 // at storedAt
}

// NewCache returns a model of an empty cache.
func NewCache() *Cache { return &Cache{entries: make(map[uint64]cacheEntry)} }

// Apply applies one event of the server.
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

// RecordSent records that a prompt with these prefixes was sent to the server.
func (c *Cache) RecordSent(prefixes []Prefix, now time.Time) {
	for _, p := range prefixes {
		if c.confidence(c.entries[p.Hash], now) < routedConfidence {
			c.put(p, routedConfidence, now)
		}
	}
}

func (c *Cache) put(p Prefix, confidence float64, now time.Time) {
	if _, ok := c.entries[p.Hash]; !ok {
		c.addToOrder(p.Hash)
	}
	c.entries[p.Hash] = cacheEntry{tokens: p.Tokens, storedAt: now, gaps: c.gaps, confidence: confidence}
}

// addToOrder appends hash to the order of arrival. It drops the oldest entry when there are maxPrefixes.
func (c *Cache) addToOrder(hash uint64) {
	if len(c.order) < maxPrefixes {
		c.order = append(c.order, hash)
		return
	}
	delete(c.entries, c.order[c.next])
	c.order[c.next] = hash
	c.next = (c.next + 1) % maxPrefixes
}

// Reset drops all entries. It is called after a restart of the server.
func (c *Cache) Reset() {
	clear(c.entries)
	c.order, c.next, c.seq = c.order[:0], 0, 0
}

// ExpectedTokens returns the number of tokens of a prompt that are expected in the cache, given its prefixes.
func (c *Cache) ExpectedTokens(prefixes []Prefix, now time.Time) float64 {
	best := 0.0
	for _, p := range prefixes {
		e, ok := c.entries[p.Hash]
		if !ok {
			continue
		}
		best = max(best, float64(e.tokens)*c.confidence(e, now))
	}
	return best
}

func (c *Cache) confidence(e cacheEntry, now time.Time) float64 {
	if e.tokens == 0 {
		return 0
	}
	age := now.Sub(e.storedAt).Seconds() / confidenceDecayTime.Seconds()
	return e.confidence * math.Exp(-age) * math.Pow(gapConfidence, float64(c.gaps-e.gaps))
}

// This file defines the prefix cache and its events.

package engine

import (
	"container/list"
	"slices"
	"time"

	"ebonyferry/internal/edge/engine"
)

const (
	maxCacheLog  = 4096
	cacheSeqJump = 1 << 20 // added at each boot, so that callers detect a gap
)

// prefixCache holds block-aligned prefixes. It evicts the least recently used first.
type prefixCache struct {
	capacity int // blocks
	order    *list.List
	blocks   map[uint64]*list.Element // by hash; the element values are of type cachedPrefix
}

type cachedPrefix struct {
	hash   uint64
	tokens int
}

// cacheRecord is a cache event and the time from which callers can read it.
type cacheRecord struct {
	engine.CacheEvent
	visibleAt time.Time
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{
		capacity: tokens / engine.BlockTokens,
		order:    list.New(),
		blocks:   make(map[uint64]*list.Element),
	}
}

// touch looks up the prefixes of one prompt, given shortest first, and stores those that are missing. It returns the
// number of tokens that were cached, and the changes.
func (c *prefixCache) touch(prefixes []uint64) (cached int, changes []engine.CacheEvent) {
	prefixes = prefixes[:min(len(prefixes), c.capacity)]
	for i, hash := range prefixes {
		if c.blocks[hash] == nil {
			break
		}
		cached = (i + 1) * engine.BlockTokens
	}
	for i, hash := range slices.Backward(prefixes) { // so that longer prefixes are evicted first
		if el := c.blocks[hash]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		tokens := (i + 1) * engine.BlockTokens
		c.blocks[hash] = c.order.PushFront(cachedPrefix{hash: hash, tokens: tokens})
		changes = append(changes, engine.CacheEvent{Kind: engine.CacheStored, Prefix: hash, Tokens: tokens})
	}
	for c.order.Len() > c.capacity {
		old := c.order.Remove(c.order.Back()).(cachedPrefix)
		delete(c.blocks, old.hash)
		changes = append(changes, engine.CacheEvent{Kind: engine.CacheEvicted, Prefix: old.hash, Tokens: old.tokens})
	}
	return cached, changes
}

// touchCache looks up the prompt of a stream, publishes the changes of the cache and returns the number of tokens that
// were cached. The caller holds e.mu.
func (e *Engine) touchCache(b *boot, g *generation) int {
	cached, changes := b.cache.touch(engine.PrefixHashes(g.model.Model, g.prompt))
	for _, ev := range changes {
		e.cacheSeq++
		if e.cfg.cacheGapEvery > 0 && e.cacheSeq%uint64(e.cfg.cacheGapEvery) == 0 {
			continue
		}
		ev.Seq = e.cacheSeq
		b.cacheLog = append(b.cacheLog, cacheRecord{CacheEvent: ev, visibleAt: time.Now().Add(e.cfg.cacheDelay)})
	}
	if len(changes) > 0 {
		b.cacheLog = b.cacheLog[max(0, len(b.cacheLog)-maxCacheLog):]
		close(b.cacheWake)
		b.cacheWake = make(chan struct{})
	}
	return cached
}

// cacheEvents returns the visible events after seq. due is the time until the next event becomes visible, zero if
// there is none. more is closed when events are added. The caller holds e.mu.
func (b *boot) cacheEvents(seq uint64, now time.Time) (events []engine.CacheEvent, due time.Duration, more <-chan struct{}) {
	for _, rec := range b.cacheLog {
		if rec.Seq <= seq {
			continue
		}
		if rec.visibleAt.After(now) {
			due = rec.visibleAt.Sub(now)
			break
		}
		events = append(events, rec.CacheEvent)
	}
	return events, due, b.cacheWake
}

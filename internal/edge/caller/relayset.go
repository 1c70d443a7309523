// This file defines the set of active relays, which lets a node stop a relay whose generation is resumed elsewhere,
// and the counts of resumed streams.

package caller

import (
	"context"
	"maps"
	"sync"
)

// relaySet holds the active relay of each generation. The zero value is an empty set.
type relaySet struct {
	mu      sync.Mutex
	entries map[string]*relayEntry // by generation; guarded by mu
}

// relayEntry is one relay of the set.
type relayEntry struct {
	stop context.CancelFunc
}

// resumedCounts counts the streams that callers have resumed at this node, by server. These streams hold no slot. The
// zero value is an empty count.
type resumedCounts struct {
	mu     sync.Mutex
	counts map[string]int // by server ID, without zero counts; guarded by mu
}

func (c *resumedCounts) add(server string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[server] += n
	if c.counts[server] == 0 {
		delete(c.counts, server)
	}
}

func (c *resumedCounts) byServer() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// add adds a relay of a generation and stops an earlier relay of the same generation. It returns a context that is done
// when the new relay must stop, and a function to call when that relay has ended.
func (s *relaySet) add(generation string) (ctx context.Context, remove func()) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &relayEntry{stop: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = make(map[string]*relayEntry)
	}
	if earlier := s.entries[generation]; earlier != nil {
		earlier.stop()
	}
	s.entries[generation] = e
	return ctx, func() { s.remove(generation, e) }
}

// remove removes a relay that has ended. It keeps a later relay of the same generation.
func (s *relaySet) remove(generation string, e *relayEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.stop()
	if s.entries[generation] == e {
		delete(s.entries, generation)
	}
}

// stop stops the relay of a generation, if there is one.
func (s *relaySet) stop(generation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[generation]; e != nil {
		e.stop()
		delete(s.entries, generation)
	}
}

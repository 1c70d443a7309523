// This file defines the set of active relays, which lets a node stop a relay whose generation is resumed elsewhere.

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

func (t *resumedCounts) add(server string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = make(map[string]int)
	}
	t.counts[server] += n
	if t.counts[server] == 0 {
		delete(t.counts, server)
	}
}

func (t *resumedCounts) byServer() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.counts)
}

// add adds a relay of a generation and stops an earlier relay of the same generation. It returns a context that is done
// when the new relay must stop, and a function to call when that relay has ended.
func (a *relaySet) add(generation string) (ctx context.Context, remove func()) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &relayEntry{stop: cancel}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.entries == nil {
		a.entries = make(map[string]*relayEntry)
	}
	if earlier := a.entries[generation]; earlier != nil {
		earlier.stop()
	}
	a.entries[generation] = h
	return ctx, func() { a.remove(generation, h) }
}

// remove removes a relay that has ended. It keeps a later relay of the same generation.
func (a *relaySet) remove(generation string, h *relayEntry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h.stop()
	if a.entries[generation] == h {
		delete(a.entries, generation)
	}
}

// stop stops the relay of a generation, if there is one.
func (a *relaySet) stop(generation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h := a.entries[generation]; h != nil {
		h.stop()
		delete(a.entries, generation)
	}
}

package caller

import (
	"context"
	"maps"
	"sync"
)

// This file defines the set of generations that a node relays, so that one that goes on elsewhere can be given
// up here.

// activeSet holds the relay of each generation in hand. The zero value is empty and ready for use.
type activeSet struct {
	mu     sync.Mutex
	relays map[string]*hold // by generation; guarded by mu
}

// hold is one relay's place in the set.
type hold struct {
	release context.CancelFunc
}

// takenUp counts the streams that callers have resumed here, by server. They hold no place. The zero value is empty
// and ready for use.
type takenUp struct {
	mu     sync.Mutex
	counts map[string]int // only servers that have some; guarded by mu
}

func (t *takenUp) add(server string, n int) {
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

func (t *takenUp) byServer() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.counts)
}

// Adds a relay of a generation and returns a context that is done once it is to give the generation up. An
// earlier relay of the generation gives it up now. The caller calls remove when the relay has ended.
func (a *activeSet) add(generation string) (ctx context.Context, remove func()) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &hold{release: cancel}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.relays == nil {
		a.relays = make(map[string]*hold)
	}
	if earlier := a.relays[generation]; earlier != nil {
		earlier.release()
	}
	a.relays[generation] = h
	return ctx, func() { a.remove(generation, h) }
}

// Removes a relay that has ended. A later relay of the generation stays.
func (a *activeSet) remove(generation string, h *hold) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h.release()
	if a.relays[generation] == h {
		delete(a.relays, generation)
	}
}

// Makes the relay of a generation give it up. Unknown ones are left alone.
func (a *activeSet) release(generation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h := a.relays[generation]; h != nil {
		h.release()
		delete(a.relays, generation)
	}
}

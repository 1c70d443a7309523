package caller

import (
	"context"
	"sync"
)

// This file defines the set of generations that a node relays, so that one that goes on at another node can
// be given up here.

// activeSet holds a release function for each generation in hand. The zero value is empty and ready for use.
type activeSet struct {
	mu       sync.Mutex
	releases map[string]context.CancelFunc // by generation; guarded by mu
}

// Adds a generation and returns a context that is done once it is released.
func (a *activeSet) add(ctx context.Context, generation string) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.releases == nil {
		a.releases = make(map[string]context.CancelFunc)
	}
	a.releases[generation] = cancel
	return ctx
}

// Removes a generation that has ended.
func (a *activeSet) remove(generation string) { a.release(generation) }

// Releases a generation. Unknown ones are left alone.
func (a *activeSet) release(generation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel, ok := a.releases[generation]; ok {
		cancel()
		delete(a.releases, generation)
	}
}

// Package latest publishes a sequence of values to readers that may be slower than the writer and need only the latest.
package latest

import (
	"context"
	"sync"
)

// Topic distributes published values to subscribers. The zero value is ready for use. It is safe for concurrent use.
type Topic[T any] struct {
	mu        sync.Mutex
	last      T               // guarded by mu; valid if published
	published bool            // guarded by mu
	readers   map[chan T]bool // each of capacity 1; guarded by mu
}

// Publish makes v the latest value. It does not block on readers.
func (t *Topic[T]) Publish(v T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last, t.published = v, true
	for ch := range t.readers {
		select {
		case <-ch:
		default:
		}
		ch <- v
	}
}

// Subscribe returns a channel that receives the latest value, if there is one, and then each later one, until ctx ends.
// A slow reader misses intermediate values, never the last one. The channel is not closed.
func (t *Topic[T]) Subscribe(ctx context.Context) <-chan T {
	ch := make(chan T, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.readers == nil {
		t.readers = make(map[chan T]bool)
	}
	if t.published {
		ch <- t.last
	}
	t.readers[ch] = true
	context.AfterFunc(ctx, func() { t.remove(ch) })
	return ch
}

func (t *Topic[T]) remove(ch chan T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.readers, ch)
}

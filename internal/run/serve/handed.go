package serve

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// This file defines how a draining node finishes what it runs for other nodes.

const handedCheckInterval = 50 * time.Millisecond

// handedCalls counts the calls that other nodes have handed to this one and that are under way. The zero value
// is ready for use.
type handedCalls struct{ n atomic.Int64 }

// Counts the requests of a handler.
func (h *handedCalls) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.n.Add(1)
		defer h.n.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// Waits until no call has been under way for two checks, since a node asks again for a call that takes long, or
// until ctx ends.
func (h *handedCalls) wait(ctx context.Context) {
	tick := time.NewTicker(handedCheckInterval)
	defer tick.Stop()
	for idle := 0; idle < 2; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		idle++
		if h.n.Load() > 0 {
			idle = 0
		}
	}
}

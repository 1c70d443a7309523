// This file defines how a draining node finishes the calls that it runs for other nodes.

package serve

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const forwardedCheckInterval = 50 * time.Millisecond

// forwardedCalls counts the running calls that other nodes forwarded to this one. The zero value is ready for use.
type forwardedCalls struct{ running atomic.Int64 }

// count returns a handler that counts the requests to next while they run.
func (c *forwardedCalls) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.running.Add(1)
		defer c.running.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// wait returns when no call was running at two checks in a row, or when ctx ends. One check is not enough: a
// node repeats its request for a long call, and nothing runs between two of these requests.
func (c *forwardedCalls) wait(ctx context.Context) {
	tick := time.NewTicker(forwardedCheckInterval)
	defer tick.Stop()
	for idle := 0; idle < 2; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		idle++
		if c.running.Load() > 0 {
			idle = 0
		}
	}
}

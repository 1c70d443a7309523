// Package pause waits for a time or for the end of a context, whichever comes first.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d and reports whether ctx still lasts. It does not wait when d is not above zero.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Until waits until t and reports whether ctx still lasts.
func Until(ctx context.Context, t time.Time) bool { return For(ctx, time.Until(t)) }

// Between returns a random time from low to high, so that nodes which fail together do not try again in step.
func Between(low, high time.Duration) time.Duration { return low + rand.N(high-low+1) }

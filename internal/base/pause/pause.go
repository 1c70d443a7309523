// Package pause waits for a duration or until the end of a context, whichever comes first.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d or until ctx ends, and reports whether d passed first. If d is zero or negative, it does not wait and
// reports whether ctx has not ended.
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

// Until waits until t or until ctx ends, and reports like For.
func Until(ctx context.Context, t time.Time) bool { return For(ctx, time.Until(t)) }

// Between returns a random duration from low to high, inclusive. It keeps nodes that fail at the same time from
// retrying in step.
func Between(low, high time.Duration) time.Duration { return low + rand.N(high-low+1) }

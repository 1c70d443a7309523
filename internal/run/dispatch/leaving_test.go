package dispatch_test

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/engine"
	"ebonyferry/internal/run/dispatch"
)

// leavingEngine is an engine that reports whether it is leaving, and never answers a call for cache events.
type leavingEngine struct{ leaving *atomic.Bool }

func (e leavingEngine) Load(context.Context) (engine.Load, error) {
	return engine.Load{BootID: "b", SampledAt: time.Now(), Leaving: e.leaving.Load()}, nil
}

func (leavingEngine) CacheEvents(ctx context.Context, _ uint64) ([]engine.CacheEvent, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (leavingEngine) Close() {}

// A leaving engine gets no new work two seconds after its reports say so, at whatever time between two queries that
// happens. The target is three seconds, but reports lag.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	const reactionTime = 2 * time.Second
	for phase := range 24 {
		synctest.Test(t, func(t *testing.T) {
			var leaving atomic.Bool
			d := dispatch.New(dispatch.WithEngines(func(netip.AddrPort) dispatch.Engine { return leavingEngine{&leaving} }))
			d.SetConfig(config(server("s1", 8)))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go d.Run(ctx)
			time.Sleep(4*time.Second + time.Duration(phase)*137*time.Millisecond)
			work := caller.Work{Account: "a", Model: "m", Class: caller.ClassQuick, PromptTokens: 10, MaxTokens: 50}
			slot, err := d.Acquire(ctx, work)
			if err != nil {
				t.Fatalf("phase %d, before the engine leaves: %v", phase, err)
			}
			slot.Done(caller.OutcomeFinished)
			leaving.Store(true)
			time.Sleep(reactionTime)
			if _, err := d.Acquire(ctx, work); !errors.Is(err, caller.ErrRefused) {
				t.Errorf("phase %d, %v after the engine reports that it is leaving: got %v, want a refusal", phase, reactionTime, err)
			}
		})
	}
}

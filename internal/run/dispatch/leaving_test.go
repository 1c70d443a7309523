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

// leaver is an engine that reports whether it leaves, and makes each call for cache events wait.
type leaver struct{ leaves *atomic.Bool }

func (l leaver) Load(context.Context) (engine.Load, error) {
	return engine.Load{BootID: "b", SampledAt: time.Now(), Leaving: l.leaves.Load()}, nil
}

func (leaver) CacheEvents(ctx context.Context, _ uint64) ([]engine.CacheEvent, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (leaver) Close() {}

// Whenever an engine's reports begin to say that it leaves, it gets no new work two seconds later: the target
// allows three, and reports lag.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	const noticed = 2 * time.Second
	for phase := range 24 {
		synctest.Test(t, func(t *testing.T) {
			var leaves atomic.Bool
			d := dispatch.New(dispatch.WithEngines(func(netip.AddrPort) dispatch.Engine { return leaver{&leaves} }))
			d.SetConfig(config(server("s1", 8)))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go d.Run(ctx)
			time.Sleep(4*time.Second + time.Duration(phase)*137*time.Millisecond)
			work := caller.Work{Account: "a", Model: "m", Class: caller.ClassQuick, PromptTokens: 10, MaxTokens: 50}
			p, err := d.Acquire(ctx, work)
			if err != nil {
				t.Fatalf("phase %d, before: %v", phase, err)
			}
			p.Done(caller.OutcomeFinished)
			leaves.Store(true)
			time.Sleep(noticed)
			if _, err := d.Acquire(ctx, work); !errors.Is(err, caller.ErrRefused) {
				t.Errorf("phase %d, %v after the engine said that it leaves: got %v, want a refusal", phase, noticed, err)
			}
		})
	}
}

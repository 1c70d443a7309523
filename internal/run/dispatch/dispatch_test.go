package dispatch_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/engine"
	"ebonyferry/internal/run/dispatch"
)

// silentEngine is an engine that fails all queries.
type silentEngine struct{}

func (silentEngine) Load(context.Context) (engine.Load, error) {
	return engine.Load{}, engine.ErrNotRun
}
func (silentEngine) CacheEvents(context.Context, uint64) ([]engine.CacheEvent, error) {
	return nil, engine.ErrNotRun
}
func (silentEngine) Close() {}

func config(servers ...bundle.Server) *bundle.InForce {
	return &bundle.InForce{Bundle: bundle.Bundle{
		Servers: servers,
		Models:  []bundle.Model{{Name: "m", Versions: []bundle.VersionShare{{Version: "v1", Share: bundle.ShareTotal}}}},
	}}
}

func server(id string, streams int) bundle.Server {
	return bundle.Server{
		ID: id, Kind: bundle.KindEngine, Addr: netip.MustParseAddrPort("127.0.0.1:1"), FailureDomain: "a",
		Models:     []bundle.ModelVersion{{Model: "m", Version: "v1"}},
		MaxStreams: streams, MemoryTokens: 100_000,
	}
}

// start starts a dispatcher, which runs until the test ends.
func start(t *testing.T, cfg *bundle.InForce) (*dispatch.Dispatcher, context.Context) {
	t.Helper()
	d := dispatch.New(dispatch.WithEngines(func(netip.AddrPort) dispatch.Engine { return silentEngine{} }))
	if cfg != nil {
		d.SetConfig(cfg)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go d.Run(ctx)
	return d, ctx
}

func TestAcquireWaitsForCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ctx := start(t, config(server("s1", 1)))
		work := caller.Work{Account: "a", Class: caller.ClassQuick, Model: "m", PromptTokens: 10, MaxTokens: 50}
		first, err := d.Acquire(ctx, work)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := first.Server().ID, "s1"; got != want {
			t.Errorf("server: got %q, want %q", got, want)
		}
		began := time.Now()
		time.AfterFunc(time.Second, func() {
			first.RecordToken(0)
			first.Done(caller.OutcomeFinished)
		})
		second, err := d.Acquire(ctx, work)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := time.Since(began), time.Second; got != want {
			t.Errorf("wait of the second: got %v, want %v", got, want)
		}
		second.Done(caller.OutcomeCanceled)
	})
}

func TestAcquireRefuses(t *testing.T) {
	oneStream := config(server("s1", 1))
	outOfService := config(server("s1", 1))
	outOfService.Head.OutOfService.FailureDomains = []string{"a"}
	tests := []struct {
		name   string
		cfg    *bundle.InForce
		work   caller.Work
		reason string
		notRun bool
	}{
		{"no configuration", nil, caller.Work{Model: "m"}, caller.ReasonNotReady, true},
		{"unknown model", oneStream, caller.Work{Model: "x"}, caller.ReasonUnknownModel, true},
		{"domain out of service", outOfService, caller.Work{Model: "m"}, caller.ReasonNoServer, true},
		{"prompt too large", oneStream, caller.Work{Model: "m", PromptTokens: 200_000}, caller.ReasonNoServer, true},
		{"no capacity in time", oneStream, caller.Work{Model: "m"}, caller.ReasonOverloaded, true},
		{"no capacity for a later attempt", oneStream, caller.Work{Model: "m", Attempt: 1}, caller.ReasonOverloaded, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, ctx := start(t, tt.cfg)
				if tt.reason == caller.ReasonOverloaded {
					if _, err := d.Acquire(ctx, caller.Work{Model: "m"}); err != nil {
						t.Fatal(err)
					}
				}
				began := time.Now()
				_, err := d.Acquire(ctx, tt.work)
				var got *caller.Refusal
				if !errors.As(err, &got) {
					t.Fatalf("error: got %v, want a refusal", err)
				}
				if got.Reason != tt.reason || got.NotRun != tt.notRun {
					t.Errorf("got %+v, want reason %q and notRun %v", got, tt.reason, tt.notRun)
				}
				if got, most := time.Since(began), 1900*time.Millisecond; got > most {
					t.Errorf("refused after %v, want at most %v", got, most)
				}
			})
		})
	}
}

func TestAcquireEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, ctx := start(t, config(server("s1", 1)))
		held, err := d.Acquire(ctx, caller.Work{Model: "m"})
		if err != nil {
			t.Fatal(err)
		}
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if _, err := d.Acquire(short, caller.Work{Model: "m"}); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error: got %v, want %v", err, context.DeadlineExceeded)
		}
		held.Done(caller.OutcomeFinished)
		again, err := d.Acquire(ctx, caller.Work{Model: "m"})
		if err != nil {
			t.Fatalf("slot of a caller that left was not released: %v", err)
		}
		again.Done(caller.OutcomeFinished)
	})
}

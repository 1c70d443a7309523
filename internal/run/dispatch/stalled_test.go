package dispatch

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/edge/engine"
)

// silentEngine answers no call.
type silentEngine struct{}

func (silentEngine) Load(ctx context.Context) (engine.Load, error) {
	<-ctx.Done()
	return engine.Load{}, ctx.Err()
}

func (silentEngine) CacheEvents(ctx context.Context, _ uint64) ([]engine.CacheEvent, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (silentEngine) Close() {}

// An engine may have reported that it leaves while this process was stopped. It is used again only after a query that was
// made since; an answer to an earlier one does not count.
func TestServersAreQueriedAgainAfterAStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(WithEngines(func(netip.AddrPort) Engine { return silentEngine{} }))
		usable := func() bool { return d.queried.queried["s1"] }
		d.mu.Lock()
		defer d.mu.Unlock()
		began := time.Now()
		d.stalls.Tick(began)
		d.queried.recordQuery("s1", began)
		if !usable() {
			t.Fatal("queried server: got not usable, want usable")
		}
		time.Sleep(8 * time.Second)
		d.poll(time.Now())
		if usable() {
			t.Error("after a stall: got usable, want not usable before the next query")
		}
		d.queried.recordQuery("s1", began)
		if usable() {
			t.Error("after the answer to a query from before the stall: got usable, want not usable")
		}
		d.queried.recordQuery("s1", time.Now())
		if !usable() {
			t.Error("after a new query: got not usable, want usable")
		}
	})
}

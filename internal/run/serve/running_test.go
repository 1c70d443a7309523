package serve

import (
	"context"
	"net/netip"
	"testing"

	"ebonyferry/internal/edge/service"
	"ebonyferry/internal/run/ledger"
)

// blockingServices reports the start of each call and answers it once release is closed.
type blockingServices struct {
	ledger.Services
	started, release chan struct{}
}

func (h *blockingServices) Call(context.Context, netip.AddrPort, service.Call) (service.Answer, error) {
	h.started <- struct{}{}
	<-h.release
	return service.Answer{}, nil
}

func TestRunningServiceCallsAreCounted(t *testing.T) {
	services := &blockingServices{started: make(chan struct{}), release: make(chan struct{})}
	c := newCallCounter(services)
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := c.Call(t.Context(), addr, service.Call{}); err != nil {
			t.Error(err)
		}
	}()
	<-services.started
	if got, want := c.at(addr), 1; got != want {
		t.Errorf("got %d running calls, want %d", got, want)
	}
	close(services.release)
	<-done
	if got, want := c.at(addr), 0; got != want {
		t.Errorf("got %d running calls after the answer, want %d", got, want)
	}
}

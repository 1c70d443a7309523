package serve

import (
	"context"
	"net/netip"
	"testing"

	"ebonyferry/internal/edge/service"
	"ebonyferry/internal/run/ledger"
)

// heldServices answers a call when it is released.
type heldServices struct {
	ledger.Services
	begun, release chan struct{}
}

func (h *heldServices) Call(context.Context, netip.AddrPort, service.Call) (service.Answer, error) {
	h.begun <- struct{}{}
	<-h.release
	return service.Answer{}, nil
}

func TestCallsOfServicesAreCountedWhileTheyRun(t *testing.T) {
	held := &heldServices{begun: make(chan struct{}), release: make(chan struct{})}
	c := newCallCounter(held)
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := c.Call(t.Context(), addr, service.Call{}); err != nil {
			t.Error(err)
		}
	}()
	<-held.begun
	if got, want := c.at(addr), 1; got != want {
		t.Errorf("got %d calls under way, want %d", got, want)
	}
	close(held.release)
	<-done
	if got, want := c.at(addr), 0; got != want {
		t.Errorf("got %d calls under way after the answer, want %d", got, want)
	}
}

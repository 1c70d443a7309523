package serve_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"ebonyferry/internal/run/serve"
	"ebonyferry/internal/run/settings"
)

// A node whose context ends must not keep its listeners open: callers would stay at a node without configuration.
func TestNodeStopsWithItsContext(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	cfg := settings.Default()
	cfg.Node = settings.Node{Name: "a", Region: "r", FailureDomain: "r-a"}
	cfg.Listen = settings.Listen{Callers: loopback, Nodes: loopback, Operators: loopback, Status: loopback}
	cfg.Advertise = settings.Advertise{Callers: loopback, Nodes: loopback}
	cfg.Platform.Addrs = []netip.AddrPort{f.addr}
	n, err := serve.Start(ctx, cfg, serve.WithLog(&log.Logger{Handler: discard.Default}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	waitFor(t, "the node takes work", func() bool { return n.InForce() != nil })
	cancel()
	ended := make(chan error, 1)
	go func() { ended <- n.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("got %v, want no error", err)
		}
	case <-time.After(20 * time.Second): // far longer than the listeners take to close
		t.Fatal("the node still runs after its context has ended")
	}
	if resp, err := http.Get("http://" + n.CallerAddr().String() + "/v1/entries"); err == nil {
		resp.Body.Close()
		t.Error("the stopped node serves callers")
	}
}

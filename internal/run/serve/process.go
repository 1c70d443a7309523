package serve

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/run/fleet"
	"ebonyferry/internal/run/metrics"
	"ebonyferry/internal/run/settings"
)

// This file defines what a node of the product's own protocols and a gateway have in common: listeners, parts, and
// how they end.

// process is a running node or gateway without its parts but the fleet.
type process struct {
	log       log.Interface
	fleet     *fleet.Fleet
	listeners []*listening
	group     *errgroup.Group
	endParts  context.CancelFunc // ends the parts
	drain     sync.Once
	stopped   sync.Once
	drained   chan struct{} // closed when no request is in hand and the listeners are closed
}

// wanted is a listener to be opened, unless its address is not valid.
type wanted struct {
	name string
	addr netip.AddrPort
	cert settings.Certificate
}

// Opens listeners, whose idle connections are closed after a time.
func (p *process) open(list []wanted, idle time.Duration) error {
	for _, want := range list {
		if !want.addr.IsValid() {
			continue
		}
		ln, err := openListener(want.addr, want.cert)
		if err != nil {
			return fmt.Errorf("listening for %s: %w", want.name, err)
		}
		server := &http.Server{
			ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idle, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: stdlog.New(connectionLog{p.log, want.name}, "", 0),
		}
		p.listeners = append(p.listeners, &listening{name: want.name, ln: ln, http: server})
	}
	return nil
}

// Serves the listeners with their handlers by name. One that fails ends the group.
func (p *process) serveAll(handlers map[string]http.Handler) {
	for _, l := range p.listeners {
		l.http.Handler = handlers[l.name]
		p.group.Go(func() error {
			if err := l.http.Serve(l.ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("serving %s: %w", l.name, err)
			}
			return nil
		})
	}
}

// Starts the parts. One that fails ends the process.
func (p *process) runParts(ctx context.Context, parts ...func(context.Context) error) {
	for _, run := range parts {
		p.group.Go(func() error { return run(ctx) })
	}
}

// Stops taking callers' connections and waits until the requests in hand have ended or ctx has.
func (p *process) shutDownCallers(ctx context.Context) {
	for _, l := range p.listeners {
		if l.name == listenCallers {
			_ = l.http.Shutdown(ctx) // its only error is the context's
		}
	}
}

// Closes the listeners and their connections.
func (p *process) closeListeners() {
	for _, l := range p.listeners {
		l.http.Close()
		l.ln.Close()
	}
}

// Gives up the lease and ends the process, which has drained.
func (p *process) leave(ctx context.Context) {
	if err := p.fleet.Leave(ctx); err != nil {
		event.Log(p.log, event.LeaveFailed, event.Fields{"cause": err.Error()})
	}
	p.closeListeners()
	p.endParts()
	close(p.drained)
}

// Wait returns when all parts have ended, with the error of the first that failed.
func (p *process) Wait() error {
	err := p.group.Wait()
	p.stopped.Do(func() {
		p.closeListeners()
		event.Log(p.log, event.NodeStopped, nil)
	})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Adds gauges to metrics.
func addGauges(m *metrics.Metrics, gauges []metrics.Gauge) error {
	for _, g := range gauges {
		if err := m.AddGauge(g); err != nil {
			return fmt.Errorf("gauge %s: %w", g.Name, err)
		}
	}
	return nil
}

// Returns the transport between nodes, without TLS.
func plainTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout, DisableCompression: true}
}

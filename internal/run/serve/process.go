// This file defines what a Node and a Gateway have in common: how their listeners and components start and end.

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
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/budget"
	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/run/fleet"
	"ebonyferry/internal/run/metrics"
	"ebonyferry/internal/run/settings"
)

// process is the common part of Node and Gateway.
type process struct {
	log       log.Interface
	fleet     *fleet.Fleet
	listeners []*listener
	budget    *budget.Budget // of what clients send
	group     *errgroup.Group
	endParts  context.CancelFunc // ends the components
	callers   openConns          // of the callers' listener
	draining  atomic.Bool        // answers to callers tell them to close their connections
	drainOnce sync.Once
	stopOnce  sync.Once
	drained   chan struct{} // closed when the node has drained and the listeners are closed
}

// listenerConfig configures a listener. It is not opened if its address is not valid.
type listenerConfig struct {
	name string
	addr netip.AddrPort
	cert settings.Certificate
}

// open opens listeners that close connections after the given idle time, and limits what their clients take together.
func (p *process) open(limits settings.Limits, list []listenerConfig, idle time.Duration) error {
	share := shareOf(limits)
	p.budget = budget.New(share.memory)
	for _, want := range list {
		if !want.addr.IsValid() {
			continue
		}
		ln, budgeted, err := p.openListener(want, share)
		if err != nil {
			return fmt.Errorf("listening for %s: %w", want.name, err)
		}
		server := &http.Server{
			ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idle, MaxHeaderBytes: maxHeaderBytes,
			ConnState: budget.TrackState, ConnContext: budget.WithConn,
			ErrorLog: stdlog.New(newConnectionLog(p.log, want.name), "", 0),
		}
		p.listeners = append(p.listeners, &listener{name: want.name, ln: ln, budgeted: budgeted, http: server})
	}
	return nil
}

// serveAll serves the listeners with the handlers of their names. If one fails, the group ends.
func (p *process) serveAll(handlers map[string]http.Handler) {
	for _, l := range p.listeners {
		l.http.Handler = budget.Handler(handlers[l.name])
		if l.name == listenCallers {
			l.http.Handler = p.closeWhileDraining(l.http.Handler)
			l.http.ConnState = func(conn net.Conn, state http.ConnState) {
				p.callers.track(conn, state)
				budget.TrackState(conn, state)
			}
		}
		p.group.Go(func() error {
			if err := l.http.Serve(l.ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("serving %s: %w", l.name, err)
			}
			return nil
		})
	}
}

// runParts starts the components. If one fails, the group ends.
func (p *process) runParts(ctx context.Context, parts ...func(context.Context) error) {
	for _, run := range append(parts, p.logDrops) {
		p.group.Go(func() error { return run(ctx) })
	}
}

// closeWhileDraining adds Connection: close to each answer of a draining node. A caller that keeps a
// connection might otherwise send its next request at the moment at which the node closes it.
func (p *process) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// openConns counts open connections. It is safe for concurrent use.
type openConns struct{ n atomic.Int64 }

func (c *openConns) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.n.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.n.Add(-1)
	}
}

// connsCheckPeriod is how often a draining node looks for open connections.
const connsCheckPeriod = 20 * time.Millisecond

// stopAccepting closes the callers' listener and returns when callers have no connections open, or when ctx ends. Until
// then requests on open connections are served. http.Server.Shutdown would drop the first request that arrives on a
// connection after it was called.
func (p *process) stopAccepting(ctx context.Context) {
	for _, l := range p.listeners {
		if l.name == listenCallers {
			l.ln.Close()
		}
	}
	for p.callers.n.Load() > 0 && pause.For(ctx, connsCheckPeriod) {
	}
}

// shutDownCallers stops accepting connections from callers and waits until the requests in flight or ctx have ended.
func (p *process) shutDownCallers(ctx context.Context) {
	for _, l := range p.listeners {
		if l.name == listenCallers {
			_ = l.http.Shutdown(ctx) // its only error is the context's
		}
	}
}

// closeListeners closes the listeners and their connections.
func (p *process) closeListeners() {
	for _, l := range p.listeners {
		l.budgeted.EndAnswers()
		l.http.Close()
		l.ln.Close()
	}
}

// leave releases the lease and ends the components, after a drain.
func (p *process) leave(ctx context.Context) {
	if err := p.fleet.Leave(ctx); err != nil {
		event.Log(p.log, event.LeaveFailed, event.Fields{"cause": err.Error()})
	}
	p.closeListeners()
	p.endParts()
	close(p.drained)
}

// Wait returns when all components have ended, with the error of the first that failed.
func (p *process) Wait() error {
	err := p.group.Wait()
	p.stopOnce.Do(func() {
		p.closeListeners()
		event.Log(p.log, event.NodeStopped, nil)
	})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func addGauges(m *metrics.Metrics, gauges []metrics.Gauge) error {
	for _, g := range gauges {
		if err := m.AddGauge(g); err != nil {
			return fmt.Errorf("gauge %s: %w", g.Name, err)
		}
	}
	return nil
}

// plainTransport returns a transport for calls to other nodes, without TLS.
func plainTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout, DisableCompression: true}
}

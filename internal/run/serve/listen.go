// This file defines the listeners of a Node, its handlers and its gauges.

package serve

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"ebonyferry/internal/base/budget"
	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/run/metrics"
	"ebonyferry/internal/run/settings"
)

// listener is one network listener with its HTTP server.
type listener struct {
	name     string
	ln       net.Listener
	budgeted *budget.Listener // of the connections before they are decrypted
	http     *http.Server
}

// listen opens all listeners and sets n.self, which contains the ports that the system chose.
func (n *Node) listen() error {
	l := n.cfg.Listen
	serverCert := n.cfg.TLS.Callers
	serverCert.CAFile = "" // callers and operators authenticate by keys, not by certificates
	err := n.open(n.cfg.Limits, []listenerConfig{
		{listenCallers, l.Callers, serverCert},
		{listenNodes, l.Nodes, n.cfg.TLS.Nodes},
		{listenOperators, l.Operators, serverCert},
		{listenStatus, l.Status, settings.Certificate{}},
	}, idleTimeout)
	if err != nil {
		return err
	}
	n.self = membership.Node{
		Name: n.cfg.Node.Name, Region: n.cfg.Node.Region, FailureDomain: n.cfg.Node.FailureDomain,
		Addr:       advertised(n.cfg.Advertise.Nodes, n.boundAddr(listenNodes)),
		CallerAddr: advertised(n.cfg.Advertise.Callers, n.boundAddr(listenCallers)),
	}
	return nil
}

// Names of the listeners.
const (
	listenCallers   = "callers"
	listenNodes     = "nodes"
	listenOperators = "operators"
	listenStatus    = "status"
)

// connectionLog is an io.Writer that logs lines of the HTTP server's error log as events, at most connectionLogRate a second: a
// client can cause a line with each connection.
type connectionLog struct {
	log     log.Interface
	name    string
	limit   *rate.Limiter
	omitted atomic.Int64 // lines since the last one that was logged
}

const connectionLogRate = 10

func newConnectionLog(l log.Interface, name string) *connectionLog {
	return &connectionLog{log: l, name: name, limit: rate.NewLimiter(connectionLogRate, connectionLogRate)}
}

// Write logs one line.
func (l *connectionLog) Write(line []byte) (int, error) {
	if !l.limit.Allow() {
		l.omitted.Add(1)
		return len(line), nil
	}
	fields := event.Fields{"listener": l.name, "cause": strings.TrimSpace(string(line))}
	if n := l.omitted.Swap(0); n > 0 {
		fields["omitted"] = n
	}
	event.Log(l.log, event.ConnectionFailed, fields)
	return len(line), nil
}

// advertised returns the address that others use: the configured one, with the bound port if it names none.
func advertised(configured, bound netip.AddrPort) netip.AddrPort {
	if configured.Port() == 0 {
		return netip.AddrPortFrom(configured.Addr(), bound.Port())
	}
	return configured
}

// boundAddr returns the address that a listener is bound to. It is not valid if the node has no such listener.
func (n *Node) boundAddr(name string) netip.AddrPort {
	for _, l := range n.listeners {
		if l.name == name {
			return l.ln.Addr().(*net.TCPAddr).AddrPort()
		}
	}
	return netip.AddrPort{}
}

// OperatorAddr returns the address of the operators' listener. It is not valid if there is none.
func (n *Node) OperatorAddr() netip.AddrPort { return n.boundAddr(listenOperators) }

// StatusAddr returns the address of the status listener. It is not valid if there is none.
func (n *Node) StatusAddr() netip.AddrPort { return n.boundAddr(listenStatus) }

// handlers returns the handlers of the listeners by name.
func (n *Node) handlers() map[string]http.Handler {
	return map[string]http.Handler{
		listenCallers:   n.caller.Handler(),
		listenNodes:     n.nodeRoutes(),
		listenOperators: n.operatorRoutes(),
		listenStatus:    n.statusRoutes(),
	}
}

// statusRoutes returns the routes of the status listener.
func (n *Node) statusRoutes() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.Get("/readyz", n.getReady)
	r.Handle("/metrics", n.metrics.Handler())
	return r
}

func (n *Node) getReady(w http.ResponseWriter, _ *http.Request) {
	_, freshness := n.intent.Current()
	if !freshness.AcceptsWork() {
		http.Error(w, fmt.Sprintf("takes no new work: configuration is %s", freshness.Status), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// defineGauges adds the node's gauges to its metrics.
func (n *Node) defineGauges() error {
	return addGauges(n.metrics, append(n.limitGauges(), []metrics.Gauge{
		{Name: "ferry.requests_in_hand", Doc: "Requests being served.", Read: func() float64 { return float64(n.caller.InFlight()) }},
		{Name: "ferry.nodes", Doc: "Live nodes in this node's view.", Read: func() float64 { return float64(len(n.fleet.View().Nodes)) }},
		{Name: "ferry.revision", Doc: "Revision of the configuration in force.", Read: n.revision},
		{Name: "ferry.config_age", Doc: "Seconds since the store confirmed the configuration.", Read: n.configAge},
		{Name: "ferry.control_bytes_sent", Doc: "Bytes of messages to other nodes since the start.", Read: n.controlBytes},
	}...))
}

func (n *Node) revision() float64 {
	if in := n.Held(); in != nil {
		return float64(in.Head.Revision)
	}
	return 0
}

func (n *Node) configAge() float64 {
	_, freshness := n.intent.Current()
	return freshness.Age.Round(time.Millisecond).Seconds()
}

func (n *Node) controlBytes() float64 {
	total := 0
	for _, count := range n.peers.Traffic.Counts() {
		total += count.Sent
	}
	return float64(total)
}

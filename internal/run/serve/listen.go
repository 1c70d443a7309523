package serve

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/run/certs"
	"ebonyferry/internal/run/metrics"
	"ebonyferry/internal/run/settings"
)

// This file defines the node's listeners.

// listening is one listener with its server.
type listening struct {
	name string
	ln   net.Listener
	http *http.Server
}

// Opens all listeners, and learns the addresses of those whose port the system chose.
func (n *Node) listen() error {
	l := n.cfg.Listen
	server := n.cfg.TLS.Callers
	server.CAFile = "" // callers and operators show keys, not certificates
	err := n.open([]wanted{
		{listenCallers, l.Callers, server},
		{listenNodes, l.Nodes, n.cfg.TLS.Nodes},
		{listenOperators, l.Operators, server},
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

// connectionLog turns the lines that the HTTP server logs into events.
type connectionLog struct {
	log  log.Interface
	name string
}

// Write logs one line.
func (l connectionLog) Write(line []byte) (int, error) {
	event.Log(l.log, event.ConnectionFailed, event.Fields{"listener": l.name, "cause": strings.TrimSpace(string(line))})
	return len(line), nil
}

func openListener(addr netip.AddrPort, cert settings.Certificate) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil || !cert.IsSet() {
		return ln, err
	}
	src, err := certs.New(cert.CertFile, cert.KeyFile, cert.CAFile)
	if err != nil {
		ln.Close()
		return nil, err
	}
	return tls.NewListener(ln, src.Server()), nil
}

// Returns the address that others use: the advertised one, with the bound port when none was chosen.
func advertised(want, bound netip.AddrPort) netip.AddrPort {
	if want.Port() == 0 {
		return netip.AddrPortFrom(want.Addr(), bound.Port())
	}
	return want
}

// Returns the address that a listener is bound to; it is not valid when the node has no such listener.
func (n *Node) boundAddr(name string) netip.AddrPort {
	for _, l := range n.listeners {
		if l.name == name {
			return l.ln.Addr().(*net.TCPAddr).AddrPort()
		}
	}
	return netip.AddrPort{}
}

// OperatorAddr returns the address of the operators' listener; it is not valid when there is none.
func (n *Node) OperatorAddr() netip.AddrPort { return n.boundAddr(listenOperators) }

// StatusAddr returns the address of the status listener; it is not valid when there is none.
func (n *Node) StatusAddr() netip.AddrPort { return n.boundAddr(listenStatus) }

// Returns the handlers of the listeners by name.
func (n *Node) handlers() map[string]http.Handler {
	return map[string]http.Handler{
		listenCallers:   n.caller.Handler(),
		listenNodes:     n.nodeRoutes(),
		listenOperators: n.operatorRoutes(),
		listenStatus:    n.statusRoutes(),
	}
}

// Returns the routes of the status listener.
func (n *Node) statusRoutes() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.Get("/readyz", n.getReady)
	r.Handle("/metrics", n.metrics.Handler())
	return r
}

func (n *Node) getReady(w http.ResponseWriter, _ *http.Request) {
	_, fresh := n.intent.Current()
	if !fresh.AcceptsWork() {
		http.Error(w, fmt.Sprintf("takes no new work: configuration is %s", fresh.Status), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Adds the node's gauges to its metrics.
func (n *Node) observe() error {
	return addGauges(n.metrics, []metrics.Gauge{
		{Name: "ferry.requests_in_hand", Doc: "Requests being served.", Read: func() float64 { return float64(n.caller.InHand()) }},
		{Name: "ferry.nodes", Doc: "Live nodes in this node's view.", Read: func() float64 { return float64(len(n.fleet.View().Nodes)) }},
		{Name: "ferry.revision", Doc: "Revision of the configuration in force.", Read: n.revision},
		{Name: "ferry.config_age", Doc: "Seconds since the store confirmed the configuration.", Read: n.configAge},
		{Name: "ferry.control_bytes_sent", Doc: "Bytes of messages to other nodes since the start.", Read: n.controlBytes},
	})
}

func (n *Node) revision() float64 {
	if in := n.Held(); in != nil {
		return float64(in.Head.Revision)
	}
	return 0
}

func (n *Node) configAge() float64 {
	_, fresh := n.intent.Current()
	return fresh.Age.Round(time.Millisecond).Seconds()
}

func (n *Node) controlBytes() float64 {
	total := 0
	for _, count := range n.peers.Traffic.Counts() {
		total += count.Sent
	}
	return float64(total)
}

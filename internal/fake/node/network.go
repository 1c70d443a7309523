// Package node is an in-memory network between HTTP clients and handlers, for tests in virtual time.
//
// A Network delivers each request to the handler registered at its address, with faults by pair of hosts:
// cut connections, and hosts that are paused or dead. It opens no socket.
package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// errDial is what a client sees of an address that nobody serves.
var errDial = errors.New("connection refused")

// Network connects hosts by name. It is safe for concurrent use.
type Network struct {
	delay time.Duration // one way

	mu    sync.Mutex
	hosts map[netip.AddrPort]host
	cuts  map[[2]string]bool       // from, to; a request or answer in that direction is lost
	pause map[string]chan struct{} // closed when the host goes on
}

type host struct {
	name    string
	handler http.Handler
}

// NewNetwork returns a network whose messages take delay one way.
func NewNetwork(delay time.Duration) *Network {
	return &Network{
		delay: delay,
		hosts: make(map[netip.AddrPort]host),
		cuts:  make(map[[2]string]bool),
		pause: make(map[string]chan struct{}),
	}
}

// Serve registers a host's handler at addr. A nil handler removes the host.
func (n *Network) Serve(name string, addr netip.AddrPort, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if handler == nil {
		delete(n.hosts, addr)
		return
	}
	n.hosts[addr] = host{name: name, handler: handler}
}

// Cut loses all messages between two hosts, or lets them pass again.
func (n *Network) Cut(a, b string, cut bool) {
	n.CutOneWay(a, b, cut)
	n.CutOneWay(b, a, cut)
}

// CutOneWay loses the messages from one host to another, or lets them pass again.
func (n *Network) CutOneWay(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = cut
}

// Pause holds all messages to and from a host until Resume.
func (n *Network) Pause(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pause[name] = make(chan struct{})
}

// Resume ends a pause.
func (n *Network) Resume(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.pause[name]; ch != nil {
		close(ch)
		delete(n.pause, name)
	}
}

// Client returns an HTTP client that sends as the host of that name.
func (n *Network) Client(name string) *http.Client {
	return &http.Client{Transport: &transport{network: n, from: name}}
}

type transport struct {
	network *Network
	from    string
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	to, err := t.lookUp(r.URL.Host)
	if err != nil {
		return nil, err
	}
	if err := t.network.pass(ctx, t.from, to.name); err != nil {
		return nil, err
	}
	// A caller that is itself a handler has a route context, which the router would take for the new request's and
	// reset. Other values go through: experiments mark their calls with them.
	inner, cancel := context.WithCancel(context.WithValue(ctx, chi.RouteCtxKey, (*chi.Context)(nil)))
	defer cancel()
	answer := make(chan *http.Response, 1)
	go func() {
		req := r.Clone(inner)
		req.Body = io.NopCloser(bytes.NewReader(body))
		answer <- record(to.handler, req)
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case resp := <-answer:
		if err := t.network.pass(ctx, to.name, t.from); err != nil {
			return nil, err
		}
		if resp == nil {
			return nil, io.ErrUnexpectedEOF
		}
		return resp, nil
	}
}

func readBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	defer r.Body.Close()
	return io.ReadAll(r.Body)
}

// Runs a handler and returns its answer, or nil when it aborted.
func record(h http.Handler, r *http.Request) (resp *http.Response) {
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler {
			panic(v)
		}
	}()
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec.Result()
}

func (t *transport) lookUp(addr string) (host, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return host{}, err
	}
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	h, ok := t.network.hosts[ap]
	if !ok {
		return host{}, &net.OpError{Op: "dial", Net: "tcp", Err: errDial}
	}
	return h, nil
}

// Waits out the delay of one message, and for good when the pair is cut.
func (n *Network) pass(ctx context.Context, from, to string) error {
	n.mu.Lock()
	cut := n.cuts[[2]string{from, to}]
	waits := []chan struct{}{n.pause[from], n.pause[to]}
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	for _, wait := range waits {
		if wait == nil {
			continue
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	select {
	case <-time.After(n.delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

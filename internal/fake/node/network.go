// Package node provides an in-memory network between HTTP clients and handlers, for tests in virtual time.
//
// A Network delivers each request to the handler registered at its address. Its faults are lost messages between
// two hosts, paused hosts, removed hosts and links with a limited rate. It opens no socket.
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

// errRefused is the error of a request to an address without a handler.
var errRefused = errors.New("connection refused")

// Network connects hosts by name. It is safe for concurrent use.
type Network struct {
	delay time.Duration // of a message in one direction

	mu     sync.Mutex
	hosts  map[netip.AddrPort]host
	cuts   map[[2]string]bool       // keyed by {from, to}; requests and answers in that direction are lost
	paused map[string]chan struct{} // by host; closed by Resume
	links  map[string]*uplink       // by host; nil if it has no limit
}

type host struct {
	name    string
	handler http.Handler
}

// NewNetwork returns a network that delays each request and each answer by delay.
func NewNetwork(delay time.Duration) *Network {
	return &Network{
		delay:  delay,
		hosts:  make(map[netip.AddrPort]host),
		cuts:   make(map[[2]string]bool),
		paused: make(map[string]chan struct{}),
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

// Cut drops all messages between two hosts, or delivers them again if cut is false.
func (n *Network) Cut(a, b string, cut bool) {
	n.CutOneWay(a, b, cut)
	n.CutOneWay(b, a, cut)
}

// CutOneWay drops the messages from one host to another, or delivers them again if cut is false.
func (n *Network) CutOneWay(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = cut
}

// Pause holds back all messages to and from a host until Resume.
func (n *Network) Pause(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[name] = make(chan struct{})
}

// Resume ends a host's pause.
func (n *Network) Resume(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.paused[name]; ch != nil {
		close(ch)
		delete(n.paused, name)
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
	to, err := t.lookup(r.URL.Host)
	if err != nil {
		return nil, err
	}
	if err := t.network.transmit(ctx, t.from, to.name); err != nil {
		return nil, err
	}
	// If the caller is itself a handler, its context carries a route context. The router would use that as the new
	// request's and reset it. Other values are passed on, because experiments mark their calls with them.
	inner, cancel := context.WithCancel(context.WithValue(ctx, chi.RouteCtxKey, (*chi.Context)(nil)))
	links := t.network.linksBetween(to.name, t.from)
	limited := links != [2]*uplink{}
	if !limited {
		defer cancel()
	}
	answer := make(chan *http.Response, 1)
	go func() {
		req := r.Clone(inner)
		req.Body = io.NopCloser(bytes.NewReader(body))
		if limited {
			context.AfterFunc(ctx, cancel)
			answer <- streamHandler(to.handler, req, links)
			return
		}
		answer <- runHandler(to.handler, req)
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case resp := <-answer:
		if err := t.network.transmit(ctx, to.name, t.from); err != nil {
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

// runHandler runs a handler and returns its answer, or nil if the handler aborted.
func runHandler(h http.Handler, r *http.Request) (resp *http.Response) {
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler {
			panic(v)
		}
	}()
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec.Result()
}

// lookup returns the host registered at addr.
func (t *transport) lookup(addr string) (host, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return host{}, err
	}
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	h, ok := t.network.hosts[ap]
	if !ok {
		return host{}, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	}
	return h, nil
}

// transmit waits until neither host is paused, and then for the delay of one message. If the direction is cut, it blocks
// until ctx ends.
func (n *Network) transmit(ctx context.Context, from, to string) error {
	n.mu.Lock()
	cut := n.cuts[[2]string{from, to}]
	pauses := []chan struct{}{n.paused[from], n.paused[to]}
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	for _, resumed := range pauses {
		if resumed == nil {
			continue
		}
		select {
		case <-resumed:
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

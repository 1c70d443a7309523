// Package detour connects to backend servers, through another node while this one has no path of its own.
//
// A tunnel replaces only the connection: the node that took a request decides where it is sent, counts it against all shared bounds and
// passes its answer on, as on a connection of its own. The other node connects and copies bytes, and never asks a third one. Closing either
// end closes the other, so a server learns that a caller has left.
package detour

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"ebonyferry/internal/base/budget"
	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/orderly"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/detour"
	"ebonyferry/internal/edge/node"
)

const (
	// connectTimeout bounds the time to connect, on all paths together. A reachable server accepts within milliseconds.
	connectTimeout = 400 * time.Millisecond
	// carryTimeout bounds the time in which this node connects for another one, which asks a further node meanwhile.
	carryTimeout = 150 * time.Millisecond
	// nextDelay is how long a node may take to connect before a further one is asked.
	nextDelay = 60 * time.Millisecond
	// maxCarriers is the number of nodes that are asked for one connection.
	maxCarriers = 4
	// maxCarried is the number of tunnels that a node carries, and carriedBytes what each takes of the memory for clients.
	maxCarried   = 128
	carriedBytes = 16 << 10
	// peerTimeout ends connections whose peer acknowledges nothing for this time.
	peerTimeout = 2 * time.Second
	// drainCheckPeriod is how often a draining node looks for tunnels.
	drainCheckPeriod = 20 * time.Millisecond
	// probePeriod is how often a node with broken paths looks whether one is back, and probeTimeout bounds one look.
	probePeriod  = 500 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	// pathLinesPerSecond bounds the log lines about paths, of which a node that loses all servers has one each.
	pathLinesPerSecond = 10
)

// Carrier is another node that may carry connections.
type Carrier struct {
	Name string
	Addr netip.AddrPort // of the node-to-node listener
}

// Directory knows the other nodes and the servers.
type Directory interface {
	// Carriers returns the other live nodes of this node's region: what passes through a node may not leave the region.
	Carriers() []Carrier
	// ServerAt returns the ID of the server at an address.
	ServerAt(addr netip.AddrPort) (id string, ok bool)
	// ServerAddr returns the address of a server.
	ServerAddr(id string) (addr netip.AddrPort, ok bool)
}

// Dialer connects to servers. It is safe for concurrent use.
type Dialer struct {
	client *node.Client
	dir    Directory
	log    log.Interface
	direct orderly.Dialer
	lines  *rate.Limiter
	probe  func(ctx context.Context, server string) // see WithProbe; may be nil

	mu       sync.Mutex
	table    *detour.Table
	carried  int  // tunnels of other nodes
	draining bool // no new tunnels are carried
}

// Option changes a Dialer.
type Option func(*Dialer)

// WithLog sets the log for events.
func WithLog(l log.Interface) Option { return func(d *Dialer) { d.log = l } }

// WithProbe sets a function that sends a question to a server, over a connection that it makes by DialContext with ctx. It is called while
// connections to the server are reset, since a request of a caller would be lost.
func WithProbe(fn func(ctx context.Context, server string)) Option {
	return func(d *Dialer) { d.probe = fn }
}

// New returns a dialer that sends messages to other nodes through client.
func New(client *node.Client, dir Directory, opts ...Option) *Dialer {
	direct := &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: peerTimeout / 2, Interval: peerTimeout / 4, Count: 2},
	}
	d := &Dialer{
		client: client, dir: dir, table: detour.NewTable(), lines: rate.NewLimiter(pathLinesPerSecond, pathLinesPerSecond),
		log:    &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		direct: orderly.Dial(direct.DialContext),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// attempt is the outcome of one way to connect.
type attempt struct {
	carrier string // empty for the direct one
	conn    net.Conn
	err     error
}

// DialContext connects to the server at addr. It has the signature of net.Dialer.DialContext. After an error, nothing was sent.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	server, ok := d.serverAt(addr)
	switch {
	case !ok:
		return d.direct(ctx, network, addr)
	case ctx.Value(probing{}) != nil:
		return d.dialDirect(ctx, server, network, addr)
	}
	// The context has none of the request's values: a trace of its connection would also see the one to another node.
	limited, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	r := &dialRace{d: d, server: server, done: make(chan struct{}), attempts: make(chan attempt), tried: make(map[string]bool)}
	defer close(r.done)
	r.dialDirect = func() (net.Conn, error) { return d.dialDirect(limited, server, network, addr) }
	conn, err := r.run(limited)
	switch {
	case err == nil:
		return conn, nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	}
	return nil, &net.OpError{Op: "dial", Net: network, Err: err}
}

func (d *Dialer) serverAt(addr string) (string, bool) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return "", false
	}
	return d.dir.ServerAt(ap)
}

// dialRace is one connection that is tried in several ways at a time. Its fields belong to the goroutine that runs it.
type dialRace struct {
	d            *Dialer
	server       string
	done         chan struct{} // closed when the race is over
	attempts     chan attempt
	pending      int
	dialDirect   func() (net.Conn, error) // nil once it was started
	directFailed error
	tried        map[string]bool // carriers
}

// start tries one way in the background. A connection that is made after the race is over is closed.
func (r *dialRace) start(carrier string, connect func() (net.Conn, error)) {
	r.pending++
	go func() {
		conn, err := connect()
		select {
		case r.attempts <- attempt{carrier, conn, err}:
		case <-r.done:
			if err == nil {
				conn.Close()
			}
		}
	}()
}

// run returns the first connection, or an error when no way is left or ctx ends.
func (r *dialRace) run(ctx context.Context) (net.Conn, error) {
	r.d.mu.Lock()
	headStart, broken := r.d.table.HeadStart(r.server), r.d.table.IsBroken(r.server, time.Now())
	r.d.mu.Unlock()
	if broken {
		headStart = nextDelay
		r.startCarrier(ctx)
	} else {
		r.startDirect()
	}
	timer := time.NewTimer(headStart)
	defer timer.Stop()
	for r.pending > 0 {
		select {
		case <-timer.C:
			r.startCarrier(ctx)
			timer.Reset(nextDelay)
		case a := <-r.attempts:
			r.pending--
			if a.err == nil {
				r.won(a)
				return a.conn, nil
			}
			if ctx.Err() == nil {
				r.failed(a)
				r.startCarrier(ctx)
				timer.Reset(nextDelay)
			}
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				r.d.recordDirect(r.server, false, ctx.Err())
			}
			return nil, fmt.Errorf("server %s: %w", r.server, errors.Join(r.directFailed, ctx.Err()))
		}
	}
	return nil, fmt.Errorf("server %s: %w", r.server, r.directFailed)
}

func (r *dialRace) startDirect() {
	r.start("", r.dialDirect)
	r.dialDirect = nil
}

func (r *dialRace) won(a attempt) {
	if a.carrier == "" {
		r.d.recordDirect(r.server, true, nil)
		return
	}
	r.d.recordCarrier(a.carrier, true)
	if r.directFailed == nil && r.dialDirect == nil {
		r.d.recordDirect(r.server, false, errSlow)
	}
}

// errSlow means that another node connected while the direct connection was still being made.
var errSlow = errors.New("no answer within the head start")

func (r *dialRace) failed(a attempt) {
	switch {
	case a.carrier == "":
		r.directFailed = a.err
		r.d.recordDirect(r.server, false, a.err)
	case !errors.Is(a.err, node.ErrServerRefused): // else the server may have ended
		r.d.recordCarrier(a.carrier, false)
	}
}

// startCarrier asks another node to connect. If there is none or enough were asked, it starts the direct connection unless that was
// done.
func (r *dialRace) startCarrier(ctx context.Context) {
	if len(r.tried) < maxCarriers && r.askCarrier(ctx) {
		return
	}
	if r.dialDirect != nil {
		r.startDirect()
	}
}

// askCarrier asks another node to connect and reports whether there is one.
func (r *dialRace) askCarrier(ctx context.Context) bool {
	carriers := r.d.dir.Carriers()
	names := make([]string, len(carriers))
	for i, c := range carriers {
		names[i] = c.Name
	}
	r.d.mu.Lock()
	name := r.d.table.Choose(names, r.tried, time.Now())
	r.d.mu.Unlock()
	for _, c := range carriers {
		if c.Name == name {
			r.tried[name] = true
			r.start(name, func() (net.Conn, error) { return r.d.dialThrough(ctx, c, r.server) })
			return true
		}
	}
	return false
}

// dialDirect connects to a server without other nodes, and observes how the connection goes on.
func (d *Dialer) dialDirect(ctx context.Context, server, network, addr string) (net.Conn, error) {
	conn, err := d.direct(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &observedConn{Conn: conn, observe: func(answered bool, err error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		switch {
		case answered:
			d.table.RecordAnswer(server, time.Now())
		case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
			d.table.RecordReset(server, time.Now())
		}
	}}, nil
}

// probing marks the context of a probe, which connects directly.
type probing struct{}

// Run probes broken paths until ctx ends.
func (d *Dialer) Run(ctx context.Context) error {
	for pause.For(ctx, probePeriod) {
		d.mu.Lock()
		server, ok := d.table.NextProbe(time.Now())
		d.mu.Unlock()
		if ok && d.probe != nil {
			probeCtx, cancel := context.WithTimeout(context.WithValue(ctx, probing{}, true), probeTimeout)
			d.probe(probeCtx, server)
			cancel()
		}
	}
	return nil
}

// dialThrough connects to a server through another node, and observes whether the node's path holds.
func (d *Dialer) dialThrough(ctx context.Context, c Carrier, server string) (net.Conn, error) {
	conn, err := d.client.Tunnel(ctx, c.Addr, server)
	if err != nil {
		return nil, err
	}
	return &observedConn{Conn: conn, observe: func(_ bool, err error) {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			d.recordCarrier(c.Name, false)
		}
	}}, nil
}

// observedConn is a connection to a server, of which the first bytes of an answer or the error before them are observed.
type observedConn struct {
	net.Conn
	observe func(answered bool, err error) // called once
	once    sync.Once
}

// Read implements net.Conn.
func (c *observedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || err != nil {
		c.once.Do(func() { c.observe(n > 0, err) })
	}
	return n, err
}

// Write implements net.Conn.
func (c *observedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { c.observe(false, err) })
	}
	return n, err
}

func (d *Dialer) recordDirect(server string, connected bool, cause error) {
	d.mu.Lock()
	changed := d.table.RecordDirect(server, connected, time.Now())
	d.mu.Unlock()
	if !changed || !d.lines.Allow() {
		return
	}
	fields := event.Fields{"server": server, "works": connected}
	if cause != nil {
		fields["cause"] = cause.Error()
	}
	event.Log(d.log, event.ServerPathChanged, fields)
}

func (d *Dialer) recordCarrier(name string, connected bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.RecordCarrier(name, connected, time.Now())
}

// Mount adds the handler of tunnels to the router of the node-to-node listener.
func (d *Dialer) Mount(r chi.Router) { node.HandleTunnels(r, d.carry) }

// carry connects to a server for another node. The connection counts as carried until it is closed.
func (d *Dialer) carry(ctx context.Context, from, server string) (net.Conn, error) {
	addr, known := d.dir.ServerAddr(server)
	if !known {
		return nil, fmt.Errorf("%w: unknown server %q", node.ErrNoPath, server)
	}
	if err := d.beginCarrying(server); err != nil {
		return nil, err
	}
	if err := budget.FromContext(ctx).Take(carriedBytes); err != nil {
		d.endCarrying()
		return nil, fmt.Errorf("%w: %w", node.ErrNoPath, err)
	}
	ctx, cancel := context.WithTimeout(ctx, carryTimeout)
	defer cancel()
	conn, err := d.dialDirect(ctx, server, "tcp", addr.String())
	if err != nil {
		d.endCarrying()
		d.recordDirect(server, false, err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, fmt.Errorf("%w: for %s: %w", node.ErrServerRefused, from, err)
		}
		return nil, fmt.Errorf("%w: for %s: %w", node.ErrNoPath, from, err)
	}
	d.recordDirect(server, true, nil)
	return &carriedConn{Conn: conn, d: d}, nil
}

// beginCarrying counts one more tunnel, or returns why this node carries no tunnel to a server.
func (d *Dialer) beginCarrying(server string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.draining:
		return fmt.Errorf("%w: the node stops", node.ErrNoPath)
	case d.carried >= maxCarried:
		return fmt.Errorf("%w: the node carries %d tunnels", node.ErrNoPath, d.carried)
	case !d.table.MayCarry(server, time.Now()):
		return fmt.Errorf("%w: this node's own path failed", node.ErrNoPath)
	}
	d.carried++
	return nil
}

func (d *Dialer) endCarrying() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carried--
}

// carriedConn is a connection to a server for another node.
type carriedConn struct {
	net.Conn
	d    *Dialer
	once sync.Once
}

// Close implements net.Conn.
func (c *carriedConn) Close() error {
	c.once.Do(c.d.endCarrying)
	return c.Conn.Close()
}

// Drain makes the node carry no new tunnels, and waits until those of other nodes or ctx have ended.
func (d *Dialer) Drain(ctx context.Context) {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	for d.Carried() > 0 && pause.For(ctx, drainCheckPeriod) {
	}
}

// Carried returns the number of tunnels that this node carries.
func (d *Dialer) Carried() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.carried
}

// FailedPaths returns the number of servers whose direct path failed last.
func (d *Dialer) FailedPaths() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.CountFailed()
}

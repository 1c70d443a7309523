// Package link is a TCP proxy that injects faults of the network, controllable at run time.
package link

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"ebonyferry/internal/base/pause"
)

// Direction names a direction of data, as seen by the side that connected.
type Direction string

// The directions.
const (
	None     Direction = ""
	ToTarget Direction = "toTarget"
	ToCaller Direction = "toCaller"
	Both     Direction = "both"
)

func (d Direction) includes(way Direction) bool { return d == Both || d == way }

// Faults are what is wrong with the link now. Zero means nothing.
type Faults struct {
	Delay time.Duration `json:"delay,omitempty"` // added to all data, in both directions
	// Stall holds data in a direction until the stall ends, as a link that loses packets does. ToTarget or
	// ToCaller alone makes a link that works one way only.
	Stall Direction `json:"stall,omitempty"`
	// Refuse resets new connections.
	Refuse bool `json:"refuse,omitempty"`
	// ResetAfter resets a connection once this many bytes have gone to the caller over it. Zero means never.
	ResetAfter int64 `json:"resetAfter,omitempty"`
	// HalfOpen keeps one side of a connection open, in silence, when the other side ends it.
	HalfOpen bool `json:"halfOpen,omitempty"`
}

const (
	chunkBytes  = 16 << 10
	maxChunks   = 64 // data in flight in one direction
	dialTimeout = time.Second
)

// Link passes connections on to one target. It is safe for concurrent use.
type Link struct {
	target netip.AddrPort

	mu      sync.Mutex
	faults  Faults         // guarded by mu
	changed chan struct{}  // closed and replaced when faults change; guarded by mu
	conns   map[*pair]bool // guarded by mu
	opened  int            // connections ever; guarded by mu
}

// pair is the two sides of one connection.
type pair struct {
	caller, target *net.TCPConn
	ctx            context.Context
	end            context.CancelFunc
	toCaller       atomic.Int64 // bytes
}

// New returns a link to target.
func New(target netip.AddrPort) *Link {
	return &Link{target: target, changed: make(chan struct{}), conns: make(map[*pair]bool)}
}

// Set replaces the faults, also for connections that are open.
func (l *Link) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Faults returns the present faults.
func (l *Link) Faults() Faults {
	f, _ := l.state()
	return f
}

// Cut resets all open connections.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.reset()
	}
}

// Opened returns the number of connections that were ever passed on.
func (l *Link) Opened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

// Listen passes on connections to addr until ctx ends, and returns the address in use.
func (l *Link) Listen(ctx context.Context, addr netip.AddrPort) (netip.AddrPort, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("link to %s: %w", l.target, err)
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go l.accept(ctx, listener)
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (l *Link) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.pass(ctx, conn.(*net.TCPConn))
	}
}

// Connects to the target and passes data both ways until the connection ends.
func (l *Link) pass(ctx context.Context, caller *net.TCPConn) {
	if l.Faults().Refuse {
		reset(caller)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", l.target.String())
	if err != nil {
		reset(caller)
		return
	}
	p := &pair{caller: caller, target: conn.(*net.TCPConn)}
	p.ctx, p.end = context.WithCancel(ctx)
	l.track(p, true)
	defer l.track(p, false)
	var wg sync.WaitGroup
	wg.Go(func() { l.pump(p, ToTarget) })
	wg.Go(func() { l.pump(p, ToCaller) })
	<-p.ctx.Done()
	_ = caller.Close()
	_ = conn.Close()
	wg.Wait()
}

func (l *Link) track(p *pair, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[p] = true
		l.opened++
		return
	}
	delete(l.conns, p)
}

// chunk is data on its way.
type chunk struct {
	data []byte
	due  time.Time
}

// Passes data in one direction. The end of the source ends the pair, unless it is to stay half open.
func (l *Link) pump(p *pair, way Direction) {
	src, dst := p.caller, p.target
	if way == ToCaller {
		src, dst = p.target, p.caller
	}
	chunks := make(chan chunk, maxChunks)
	var wg sync.WaitGroup
	wg.Go(func() { l.deliver(p, way, dst, chunks) })
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		if n > 0 {
			select {
			case chunks <- chunk{data: buf[:n], due: time.Now().Add(l.Faults().Delay)}:
			case <-p.ctx.Done():
			}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	wg.Wait()
	l.holdHalfOpen(p)
	p.end()
}

// Writes chunks when they are due and the direction is not stalled.
func (l *Link) deliver(p *pair, way Direction, dst *net.TCPConn, chunks <-chan chunk) {
	for c := range chunks {
		if !pause.Until(p.ctx, c.due) || !l.waitStall(p, way) {
			continue // the pair has ended; the rest is dropped
		}
		if way == ToCaller && l.resetDue(p, len(c.data)) {
			p.reset()
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			p.end()
		}
	}
}

// Counts bytes to the caller and tells whether the connection is to be reset now.
func (l *Link) resetDue(p *pair, n int) bool {
	limit := l.Faults().ResetAfter
	return p.toCaller.Add(int64(n)) > limit && limit > 0
}

// Waits while the direction is stalled. It returns false when the pair ended.
func (l *Link) waitStall(p *pair, way Direction) bool {
	return l.wait(p, func(f Faults) bool { return !f.Stall.includes(way) })
}

// Waits while connections are kept half open.
func (l *Link) holdHalfOpen(p *pair) {
	l.wait(p, func(f Faults) bool { return !f.HalfOpen })
}

// Waits until ok holds of the faults. It returns false when the pair ended first.
func (l *Link) wait(p *pair, ok func(Faults) bool) bool {
	for {
		f, changed := l.state()
		if ok(f) {
			return p.ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-p.ctx.Done():
			return false
		}
	}
}

func (l *Link) state() (Faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.changed
}

// reset ends both sides with a TCP reset.
func (p *pair) reset() {
	reset(p.caller)
	reset(p.target)
	p.end()
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only when the connection has ended
	_ = conn.Close()
}

// Package link provides a TCP proxy that injects network faults.
//
// A Link forwards connections to one target. Faults can be set before the link listens and changed while
// connections are open.
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

// Direction is the direction in which data flows. The caller is the side that opened the connection.
type Direction string

// The directions of data.
const (
	None     Direction = ""
	ToTarget Direction = "toTarget"
	ToCaller Direction = "toCaller"
	Both     Direction = "both"
)

func (d Direction) includes(dir Direction) bool { return d == Both || d == dir }

// Faults are the active faults of a link. The zero value means none.
type Faults struct {
	Delay time.Duration `json:"delay,omitempty"` // added to all data, in both directions
	// Stall holds back data in a direction until the stall ends, as a link that loses packets does. With
	// ToTarget or ToCaller the link works in the other direction only.
	Stall Direction `json:"stall,omitempty"`
	// Refuse resets new connections.
	Refuse bool `json:"refuse,omitempty"`
	// ResetAfter resets a connection after it has carried this many bytes to the caller. Zero means never.
	ResetAfter int64 `json:"resetAfter,omitempty"`
	// HalfOpen hides the end of a connection: when one side closes it, the other side stays open and receives
	// nothing more.
	HalfOpen bool `json:"halfOpen,omitempty"`
}

const (
	chunkBytes  = 16 << 10
	maxChunks   = 64 // chunks in flight in one direction
	dialTimeout = time.Second
)

// Link forwards connections to one target. It is safe for concurrent use.
type Link struct {
	target netip.AddrPort

	mu      sync.Mutex
	faults  Faults             // guarded by mu
	changed chan struct{}      // closed and replaced when faults change; guarded by mu
	conns   map[*connPair]bool // guarded by mu
	opened  int                // connections forwarded since New; guarded by mu
}

// connPair is the two sides of one forwarded connection.
type connPair struct {
	caller, target *net.TCPConn
	ctx            context.Context
	cancel         context.CancelFunc
	toCaller       atomic.Int64 // bytes carried to the caller
}

// New returns a link to target.
func New(target netip.AddrPort) *Link {
	return &Link{target: target, changed: make(chan struct{}), conns: make(map[*connPair]bool)}
}

// Set replaces the faults. It applies to open connections too.
func (l *Link) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Faults returns the active faults.
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

// Opened returns the number of connections forwarded since New.
func (l *Link) Opened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

// Listen forwards connections to addr until ctx ends. It returns the address that it listens on.
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
		go l.forward(ctx, conn.(*net.TCPConn))
	}
}

// forward connects to the target and copies data both ways until the connection ends.
func (l *Link) forward(ctx context.Context, caller *net.TCPConn) {
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
	p := &connPair{caller: caller, target: conn.(*net.TCPConn)}
	p.ctx, p.cancel = context.WithCancel(ctx)
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

// track adds p to the open connections, or removes it.
func (l *Link) track(p *connPair, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[p] = true
		l.opened++
		return
	}
	delete(l.conns, p)
}

// chunk is data that is delivered when it is due.
type chunk struct {
	data []byte
	due  time.Time
}

// pump copies data in one direction. When the source closes, it ends the pair unless HalfOpen is set.
func (l *Link) pump(p *connPair, dir Direction) {
	src, dst := p.caller, p.target
	if dir == ToCaller {
		src, dst = p.target, p.caller
	}
	chunks := make(chan chunk, maxChunks)
	var wg sync.WaitGroup
	wg.Go(func() { l.deliver(p, dir, dst, chunks) })
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
	p.cancel()
}

// deliver writes each chunk when it is due and the direction is not stalled.
func (l *Link) deliver(p *connPair, dir Direction, dst *net.TCPConn, chunks <-chan chunk) {
	for c := range chunks {
		if !pause.Until(p.ctx, c.due) || !l.waitStall(p, dir) {
			continue // the pair has ended; drops the remaining chunks
		}
		if dir == ToCaller && l.resetDue(p, len(c.data)) {
			p.reset()
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			p.cancel()
		}
	}
}

// resetDue counts n bytes to the caller and reports whether the connection must be reset now.
func (l *Link) resetDue(p *connPair, n int) bool {
	limit := l.Faults().ResetAfter
	return p.toCaller.Add(int64(n)) > limit && limit > 0
}

// waitStall waits while the direction is stalled. It returns false if the pair ended.
func (l *Link) waitStall(p *connPair, dir Direction) bool {
	return l.waitFor(p, func(f Faults) bool { return !f.Stall.includes(dir) })
}

// holdHalfOpen waits while HalfOpen is set.
func (l *Link) holdHalfOpen(p *connPair) {
	l.waitFor(p, func(f Faults) bool { return !f.HalfOpen })
}

// waitFor waits until ok returns true for the faults. It returns false if the pair ended first.
func (l *Link) waitFor(p *connPair, ok func(Faults) bool) bool {
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

// state returns the faults and a channel that is closed when they change.
func (l *Link) state() (Faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.changed
}

// reset ends both connections with a TCP reset.
func (p *connPair) reset() {
	reset(p.caller)
	reset(p.target)
	p.cancel()
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only when the connection has ended
	_ = conn.Close()
}

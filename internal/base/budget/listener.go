package budget

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// lineCost is what a line of a head costs beside its bytes: an entry in the map of headers, and another one in the copy
	// that is forwarded. Heads of 3,000 lines took 300 KB each.
	lineCost = 256
	// byteCost is the number of copies of a head: as it was read, and as it is forwarded.
	byteCost = 2
	// cipherCost is what a byte of an encrypted head costs, whose lines cannot be counted: a line has at least 5 bytes, and
	// few heads consist of such lines alone.
	cipherCost = 16
	// minLineBytes is the length of the shortest header line.
	minLineBytes = len("a:\n")
	// serverBuffer is the size of net/http's read buffer of a connection. Longer reads bypass it.
	serverBuffer = 4 << 10
)

const (
	// bodyTimeout bounds the time in which a body arrives, unless the handler sets a read deadline of its own. The longest message,
	// 8 MiB, takes 7 s on a link of 10 Mbit/s.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds one write to a client that reads slowly, unless the handler sets a write deadline of its own.
	writeTimeout = 30 * time.Second
)

// Listener limits the number of connections and charges them and the heads of their requests to a budget.
type Listener struct {
	net.Listener
	b         *Budget
	max       int
	connCost  int64
	encrypted bool

	writeTimeout time.Duration

	// Guarded by b.mu.
	conns map[*Conn]struct{}
	ended bool // answers whose end is the end of their connection may no longer begin or end
}

// Listen returns a listener that accepts at most max connections from inner at a time, each of which costs connCost bytes. If
// encrypted, the caller reads TLS from the connections.
func (b *Budget) Listen(inner net.Listener, maxConns int, connCost int64, encrypted bool) *Listener {
	return &Listener{Listener: inner, b: b, max: maxConns, connCost: connCost, encrypted: encrypted, writeTimeout: writeTimeout, conns: make(map[*Conn]struct{})}
}

// Accept implements net.Listener. At the limit it closes the connection whose request arrives at the lowest rate, else the one that
// has been idle longest, else the new one.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		raw.Close()
	}
}

func (l *Listener) admit(raw net.Conn) *Conn {
	if !l.makeRoom() {
		return nil
	}
	c := &Conn{Conn: raw, l: l}
	var err error
	if c.account, err = l.b.Open(l.connCost, c.end); err != nil {
		return nil
	}
	c.inHead.Store(true)
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

// makeRoom reports whether there is room for one more connection. It closes another one if necessary.
func (l *Listener) makeRoom() bool {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	if len(l.conns) < l.max {
		return true
	}
	victim := l.victim()
	if victim == nil {
		l.b.drops[NoConnections]++
		return false
	}
	delete(l.conns, victim)
	l.b.drop(victim.account, NoConnections)
	return true
}

// victim is called with b.mu held.
func (l *Listener) victim() *Conn {
	var slow, longest *Conn
	var lowest float64
	now := time.Now()
	for c := range l.conns {
		a := c.account
		switch {
		case a.dropped:
		case a.state == arriving:
			if rate := a.rate(now); slow == nil || rate < lowest {
				slow, lowest = c, rate
			}
		case a.state == idle && (longest == nil || a.began.Before(longest.account.began)):
			longest = c
		}
	}
	if slow != nil {
		return slow
	}
	return longest
}

// Conn is a connection with an account.
type Conn struct {
	net.Conn
	l        *Listener
	account  *Account
	inHead   atomic.Bool  // the server reads the head of a request
	ended    atomic.Bool  // reads fail
	limited  atomic.Bool  // writes have a deadline that the server or a handler has set
	ahead    atomic.Int64 // largest cost of a read since the last request, since its bytes may belong to the next head
	resets   bool         // when it is closed; guarded by l.b.mu
	discards atomic.Bool  // what has arrived, when it is closed
}

// end makes reads fail. If the request's handler runs, it can still answer that memory is short.
func (c *Conn) end(cause Cause) {
	c.ended.Store(true)
	if cause == NoConnections || c.inHead.Load() {
		c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// SetReadDeadline implements net.Conn. It does not prolong reads of a dropped request.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != nil || !c.ended.Load() {
		return err
	}
	return c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.limited.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Write implements net.Conn. A client that reads nothing would otherwise hold the connection for good, since its request is whole.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.limited.Load() {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.l.writeTimeout)) // fails only if the connection is closed
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn. Bytes of a head are taken from the account before the server parses them.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ended.Load() {
		return 0, c.readError()
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	cost := c.cost(p[:n])
	if n <= serverBuffer {
		c.ahead.Store(max(c.ahead.Load(), cost))
	}
	if !c.inHead.Load() {
		cost = 0
	}
	if c.account.receive(n, cost) != nil {
		return 0, c.readError()
	}
	return n, err
}

// readError is an error of a kind to which net/http sends no answer.
func (c *Conn) readError() error { return &net.OpError{Op: "read", Net: "tcp", Err: ErrShort} }

func (c *Conn) cost(data []byte) int64 {
	if c.l.encrypted {
		return cipherCost * int64(len(data))
	}
	lines := min(bytes.Count(data, []byte{'\n'}), 1+len(data)/minLineBytes)
	return byteCost*int64(len(data)) + lineCost*int64(lines)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.discards.Load() {
		c.discardInput()
	}
	err := c.Conn.Close()
	c.account.close()
	c.l.b.mu.Lock()
	defer c.l.b.mu.Unlock()
	delete(c.l.conns, c)
	return err
}

// connOf returns the connection of a listener of this package, or nil.
func connOf(conn net.Conn) *Conn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}

// TrackState follows the requests of a connection. It is for http.Server.ConnState.
func TrackState(conn net.Conn, s http.ConnState) {
	c := connOf(conn)
	if c == nil {
		return
	}
	switch s {
	case http.StateActive: // the head has been read
		c.inHead.Store(false)
	case http.StateIdle:
		c.account.wait()
		c.inHead.Store(true)
		_ = c.account.receiveAhead(c.ahead.Swap(0)) // a connection that was dropped fails at its next read
	}
}

// receiveAhead takes bytes for what may have been read of the next head.
func (a *Account) receiveAhead(cost int64) error {
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	return a.take(&a.head, cost, 0)
}

type contextKey struct{}

// WithConn returns a context from which FromContext returns the account of conn. It is for http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if c := connOf(conn); c != nil {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// FromContext returns the account of the connection that ctx belongs to, or nil.
func FromContext(ctx context.Context) *Account {
	if c, _ := ctx.Value(contextKey{}).(*Conn); c != nil {
		return c.account
	}
	return nil
}

// Handler returns a handler that charges the bodies of requests to their accounts until next returns. Reading a body fails with
// ErrShort if memory is short. A request that was dropped before its handler ran is not run.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := FromContext(r.Context())
		if a == nil {
			next.ServeHTTP(w, r)
			return
		}
		defer a.endBody()
		if r.ContentLength != 0 {
			ctl := http.NewResponseController(w)
			_ = ctl.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails only if the connection is closed
			r.Body = &body{ReadCloser: r.Body, ctl: ctl, account: a, left: r.ContentLength}
		} else if !a.Keep() {
			panic(http.ErrAbortHandler) // the connection is closed
		}
		next.ServeHTTP(w, r)
	})
}

// body charges what is read of it.
type body struct {
	io.ReadCloser
	ctl     *http.ResponseController
	account *Account
	left    int64 // of the declared length; negative if there is none
	whole   bool  // it has been read to its end
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && b.account.Take(int64(n)) != nil {
		return 0, ErrShort
	}
	if b.left > 0 {
		b.left -= int64(n)
	}
	switch {
	case errors.Is(err, io.EOF) || b.left == 0:
		if !b.account.Keep() {
			return 0, ErrShort
		}
		if !b.whole {
			b.whole = true
			_ = b.ctl.SetReadDeadline(time.Time{}) // net/http would take its expiry for a caller that has left
		}
	case err != nil && b.account.Dropped():
		return n, ErrShort
	}
	return n, err
}

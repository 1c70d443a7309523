package budget

import (
	"context"
	"io"
	"net"
	"time"
)

// ResetOnClose sets whether the connection of ctx is reset when it is closed, by whomever: this process, or the kernel at the end of the
// process. It is set while an answer is sent whose end is the end of the connection, since a part of it would look complete after an
// orderly close. It has no effect on connections that are not of a listener of this package.
func ResetOnClose(ctx context.Context, reset bool) error {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	if c == nil {
		return nil
	}
	return c.resetOnClose(reset)
}

// Reset resets the connection of ctx if ResetOnClose is set. Over TLS, to close the connection would first notify the client that it
// ends in order.
func Reset(ctx context.Context) {
	if c, _ := ctx.Value(contextKey{}).(*Conn); c != nil {
		c.l.b.mu.Lock()
		defer c.l.b.mu.Unlock()
		c.reset()
	}
}

// lingerer is a connection whose close can be a reset, such as net.TCPConn.
type lingerer interface {
	SetLinger(sec int) error
}

// defaultLinger makes a close orderly: the kernel goes on sending what was written.
const defaultLinger = -1

func (c *Conn) resetOnClose(reset bool) error {
	c.l.b.mu.Lock()
	defer c.l.b.mu.Unlock()
	if c.l.ended {
		return net.ErrClosed
	}
	conn, ok := c.Conn.(lingerer)
	if !ok || reset == c.resets {
		return nil
	}
	linger := defaultLinger
	if reset {
		linger = 0
	}
	if err := conn.SetLinger(linger); err != nil {
		return err
	}
	c.resets = reset
	c.discards.Store(!reset)
	return nil
}

const (
	// maxDiscard bounds the bytes that are discarded at the end of a connection, and discardTimeout the time that they take.
	maxDiscard     = 64 << 10
	discardTimeout = 10 * time.Millisecond
)

// discardInput discards what has arrived on a connection that is about to be closed in order. If bytes are left, the kernel resets it, and
// the client loses the end of its answer.
func (c *Conn) discardInput() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(discardTimeout)) // fails only if the connection is closed
	_, _ = io.CopyN(io.Discard, c.Conn, maxDiscard)            // ends at the deadline
}

// reset is called with the budget's mu held. Close removes the account.
func (c *Conn) reset() {
	if c.resets {
		c.Conn.Close()
	}
}

// EndAnswers resets all connections that are reset when they are closed, and those for which ResetOnClose is called later. It is for
// the time right before http.Server.Close, which ends connections over TLS in order.
func (l *Listener) EndAnswers() {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.ended = true
	for c := range l.conns {
		c.reset()
	}
}

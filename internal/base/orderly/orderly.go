// Package orderly makes a connection return io.EOF only if its peer closed it in order.
//
// The kernel reports a reset to one system call. If that is a write, because a long request is still being sent, the reads that follow return
// no bytes and no error, which is io.EOF: a reset looks like an orderly close, and a part of an answer that ends with its connection like the
// whole one. A [Conn] therefore weighs an io.EOF against the first error of its writes.
package orderly

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// ErrReset means that a connection was reset, or failed otherwise, and that the kernel reported this to a write.
var ErrReset = errors.New("connection failed while the request was written")

// Dialer makes connections, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns a dialer whose TCP connections are Conns. Others are returned as they are: their ends are marked.
func Dial(dial Dialer) Dialer {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
			return &Conn{Conn: tcp}, nil
		}
		return conn, err
	}
}

// Conn is a TCP connection. As with any connection, one goroutine may read while another one writes.
type Conn struct {
	net.Conn

	mu       sync.Mutex // held while a write is in progress
	writeErr error      // of the first write that failed; guarded by mu
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. Its error wraps ErrReset in place of io.EOF if the peer did not close the connection in order.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = endError(c.awaitWrite())
	}
	return n, err
}

// awaitWrite returns the error of the first write that failed, once no write is in progress: the kernel may have reported a reset to one that has
// not returned yet. Nothing will be read any more, so a write that waits for its peer is ended by closing the connection.
func (c *Conn) awaitWrite() error {
	if !c.mu.TryLock() {
		c.Conn.Close()
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	return c.writeErr
}

// endError returns the error of a read that returned io.EOF, after a write returned writeErr or none failed. A reset that arrives after the peer's
// orderly close is reported as EPIPE: what the peer had sent before has arrived.
func endError(writeErr error) error {
	switch {
	case writeErr == nil, errors.Is(writeErr, syscall.EPIPE), errors.Is(writeErr, net.ErrClosed), errors.Is(writeErr, os.ErrDeadlineExceeded):
		return io.EOF
	}
	return fmt.Errorf("%w: %w", ErrReset, writeErr)
}

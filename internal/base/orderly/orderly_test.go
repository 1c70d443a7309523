package orderly

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

func TestEndError(t *testing.T) {
	for _, tt := range []struct {
		write error
		reset bool
	}{
		{nil, false},
		{&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}, false},
		{&net.OpError{Op: "write", Err: net.ErrClosed}, false},
		{&net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}, false},
		{&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}, true},
		{&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ETIMEDOUT)}, true},
		{io.ErrShortWrite, true},
	} {
		got := endError(tt.write)
		if errors.Is(got, ErrReset) != tt.reset || (got == io.EOF) == tt.reset {
			t.Errorf("after write error %v: got %v, want a reset: %v", tt.write, got, tt.reset)
		}
	}
}

// slowConn returns the error of its write late, as a goroutine does that is not scheduled, and io.EOF to a read meanwhile.
type slowConn struct {
	net.Conn
	writing chan struct{}
	closed  chan struct{}
	once    sync.Once
	err     error
}

func (c *slowConn) Write([]byte) (int, error) {
	close(c.writing)
	if c.err == nil {
		<-c.closed
		return 0, net.ErrClosed
	}
	time.Sleep(20 * time.Millisecond)
	return 0, c.err
}

func (c *slowConn) Read([]byte) (int, error) {
	<-c.writing
	return 0, io.EOF
}

func (c *slowConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// The end is judged when the write has returned whose error decides it, and a write that waits for the peer does not hold it up.
func TestReadAwaitsTheWrite(t *testing.T) {
	for _, tt := range []struct{ err, want error }{{syscall.ECONNRESET, ErrReset}, {syscall.EPIPE, io.EOF}, {nil, io.EOF}} {
		c := &Conn{Conn: &slowConn{writing: make(chan struct{}), closed: make(chan struct{}), err: tt.err}}
		var group sync.WaitGroup
		group.Go(func() { _, _ = c.Write([]byte("x")) })
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, tt.want) {
			t.Errorf("write error %v: got %v, want %v", tt.err, err, tt.want)
		}
		group.Wait()
	}
}

// rounds is the number of connections of each kind: a reset meets a write by chance.
const rounds = 150

// A reset while bytes are written must not look like an orderly close, and an orderly close not like a reset.
func TestResetDuringWrites(t *testing.T) {
	tests := []struct {
		name  string
		end   func(conn *net.TCPConn)
		whole bool
	}{
		{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0) }, false},
		{"reset later", func(c *net.TCPConn) { time.Sleep(200 * time.Microsecond); _ = c.SetLinger(0) }, false},
		{"closed unread", func(c *net.TCPConn) { time.Sleep(200 * time.Microsecond) }, false}, // which resets it
		{"closed in order", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, true},
		{"closed in order, then reset", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(2 * time.Millisecond)
			_ = c.SetLinger(0)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						_, _ = conn.Read(make([]byte, 100))
						fmt.Fprint(conn, "part")
						tt.end(conn.(*net.TCPConn))
					}()
				}
			}()
			ends := make(map[bool]int)
			for range rounds {
				ends[readEnd(t, ln.Addr().String())]++
			}
			if ends[!tt.whole] > 0 {
				t.Errorf("got %d of %d ends that look whole, want it always %v", ends[true], rounds, tt.whole)
			}
		})
	}
}

// readEnd reads from a server while it writes, and reports whether the server's bytes ended in order.
func readEnd(t *testing.T, addr string) bool {
	dial := Dial((&net.Dialer{}).DialContext)
	conn, err := dial(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var group sync.WaitGroup
	group.Go(func() {
		buf := make([]byte, 16<<10)
		for range 256 {
			if _, err := conn.Write(buf); err != nil {
				return
			}
		}
	})
	_, err = io.ReadAll(conn)
	conn.Close()
	group.Wait()
	return err == nil
}

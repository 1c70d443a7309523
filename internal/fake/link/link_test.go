package link_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"ebonyferry/internal/fake/link"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// start starts an echo server and a link to it, and opens a connection through the link.
func start(t *testing.T) (*link.Link, net.Conn) {
	t.Helper()
	echo, err := net.Listen("tcp", loopback.String())
	if err != nil {
		t.Fatal(err)
	}
	context.AfterFunc(t.Context(), func() { _ = echo.Close() })
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	l := link.New(echo.Addr().(*net.TCPAddr).AddrPort())
	addr, err := l.Listen(t.Context(), loopback)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return l, conn
}

// roundTrip sends a message and returns what comes back within wait.
func roundTrip(t *testing.T, conn net.Conn, msg string, wait time.Duration) (string, error) {
	t.Helper()
	if _, err := io.WriteString(conn, msg); err != nil {
		return "", err
	}
	return receive(conn, len(msg), wait)
}

func receive(conn net.Conn, n int, wait time.Duration) (string, error) {
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	buf := make([]byte, n)
	got, err := io.ReadFull(conn, buf)
	return string(buf[:got]), err
}

const (
	long  = 5 * time.Second
	short = 50 * time.Millisecond
)

func TestLinkForwardsData(t *testing.T) {
	l, conn := start(t)
	l.Set(link.Faults{Delay: time.Millisecond})
	got, err := roundTrip(t, conn, "hello", long)
	if want := "hello"; got != want || err != nil {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
}

func TestStallHoldsDataUntilItEnds(t *testing.T) {
	for _, dir := range []link.Direction{link.ToTarget, link.ToCaller, link.Both} {
		t.Run(string(dir), func(t *testing.T) {
			l, conn := start(t)
			l.Set(link.Faults{Stall: dir})
			if got, err := roundTrip(t, conn, "hello", short); err == nil {
				t.Errorf("during the stall: got %q, want a timeout", got)
			}
			l.Set(link.Faults{})
			got, err := receive(conn, len("hello"), long)
			if want := "hello"; got != want || err != nil {
				t.Errorf("after the stall: got %q, %v, want %q", got, err, want)
			}
		})
	}
}

func TestResetMidBody(t *testing.T) {
	l, conn := start(t)
	l.Set(link.Faults{ResetAfter: 8})
	if got, err := roundTrip(t, conn, "12345678", long); err != nil {
		t.Fatalf("first bytes: got %q, %v", got, err)
	}
	if got, err := roundTrip(t, conn, "9", long); err == nil {
		t.Errorf("past the limit: got %q, want a reset", got)
	}
}

func TestCutAndRefuse(t *testing.T) {
	l, conn := start(t)
	if _, err := roundTrip(t, conn, "a", long); err != nil {
		t.Fatal(err)
	}
	l.Set(link.Faults{Refuse: true})
	l.Cut()
	if got, err := receive(conn, 1, long); err == nil {
		t.Errorf("after Cut: got %q, want an error", got)
	}
	second, err := net.Dial("tcp", conn.RemoteAddr().String())
	if err != nil {
		return
	}
	defer second.Close()
	if got, err := roundTrip(t, second, "a", long); err == nil {
		t.Errorf("new connection while refusing: got %q, want an error", got)
	}
}

func TestHalfOpenHidesClose(t *testing.T) {
	l, conn := start(t)
	if _, err := roundTrip(t, conn, "a", long); err != nil {
		t.Fatal(err)
	}
	l.Set(link.Faults{HalfOpen: true})
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil { // makes the echo server close
		t.Fatal(err)
	}
	if _, err := receive(conn, 1, short); !isTimeout(err) {
		t.Errorf("while half open: got %v, want a timeout", err)
	}
	l.Set(link.Faults{})
	if _, err := receive(conn, 1, long); err != io.EOF {
		t.Errorf("after the fault ends: got %v, want %v", err, io.EOF)
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

package operator_test

import (
	"bufio"
	"context"
	"crypto/ed25519"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"ebonyferry/internal/edge/operator"
)

// startOpenServer answers each request and leaves the connection open for a while.
func startOpenServer(t *testing.T, answer string) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer)
				_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// An answer that is not final is none of a node, and its connection must not be waited for.
func TestAnswersOfNoFinalStatus(t *testing.T) {
	_, key, _ := ed25519.GenerateKey(nil)
	for _, head := range []string{"000", "099 X", "101 Other\r\nConnection: Upgrade\r\nUpgrade: x", "600 X", "999 X"} {
		addr := startOpenServer(t, "HTTP/1.1 "+head+"\r\nContent-Length: 2\r\n\r\n{}")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		c := operator.NewClient([]netip.AddrPort{addr}, "o", key)
		if _, err := operator.Get[any](ctx, c, "/x"); !errors.Is(err, operator.ErrNoNode) {
			t.Errorf("status %q: got %v, want %v", head, err, operator.ErrNoNode)
		}
		if ctx.Err() != nil {
			t.Errorf("status %q: got %v, want an error at once", head, ctx.Err())
		}
		cancel()
	}
}

// A redirect leads to an address that no setting names: the client sent its calls there, and took the answer for that of its peer.
func TestCallsAreNotRedirected(t *testing.T) {
	var elsewhere atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		elsewhere.Add(1)
		_, _ = io.WriteString(w, `{}`)
	}))
	t.Cleanup(other.Close)
	for _, status := range []int{301, 302, 303, 307, 308} {
		srv := httptest.NewServer(http.RedirectHandler(other.URL, status))
		addr := netip.MustParseAddrPort(srv.Listener.Addr().String())
		_, key, _ := ed25519.GenerateKey(nil)
		if _, err := operator.Get[any](t.Context(), operator.NewClient([]netip.AddrPort{addr}, "o", key), "/x"); !errors.Is(err, operator.ErrNoNode) {
			t.Errorf("status %d: got %v, want %v", status, err, operator.ErrNoNode)
		}
		srv.Close()
	}
	if got := elsewhere.Load(); got != 0 {
		t.Errorf("calls that reached the other address: got %d, want 0", got)
	}
}

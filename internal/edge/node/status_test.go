package node_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"ebonyferry/internal/edge/node"
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

// An answer that is not final is none of a node that refuses a message, and its connection must not be waited for.
func TestAnswersOfNoFinalStatus(t *testing.T) {
	for _, head := range []string{"000", "099 X", "101 Other\r\nConnection: Upgrade\r\nUpgrade: x", "600 X", "999 X"} {
		addr := startOpenServer(t, "HTTP/1.1 "+head+"\r\nContent-Length: 4\r\n\r\nnull")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		if _, err := node.Call[int, int](ctx, node.NewClient(node.Sender{Name: "a"}), addr, "/m", 1); !errors.Is(err, node.ErrUnreachable) || errors.Is(err, node.ErrRefused) {
			t.Errorf("status %q: got %v, want %v", head, err, node.ErrUnreachable)
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
		_, _ = io.WriteString(w, `7`)
	}))
	t.Cleanup(other.Close)
	for _, status := range []int{301, 302, 303, 307, 308} {
		srv := httptest.NewServer(http.RedirectHandler(other.URL, status))
		addr := netip.MustParseAddrPort(srv.Listener.Addr().String())
		if got, err := node.Call[int, int](t.Context(), node.NewClient(node.Sender{Name: "a"}), addr, "/m", 1); !errors.Is(err, node.ErrRefused) {
			t.Errorf("status %d: got %d, %v; want %v", status, got, err, node.ErrRefused)
		}
		custom := node.NewClient(node.Sender{Name: "a"}, node.WithHTTPClient(&http.Client{}, "http"))
		if got, err := node.Call[int, int](t.Context(), custom, addr, "/m", 1); !errors.Is(err, node.ErrRefused) {
			t.Errorf("with another client, status %d: got %d, %v; want %v", status, got, err, node.ErrRefused)
		}
		srv.Close()
	}
	if got := elsewhere.Load(); got != 0 {
		t.Errorf("calls that reached the other address: got %d, want 0", got)
	}
}

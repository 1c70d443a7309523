package operator_test

import (
	"bufio"
	"context"
	"crypto/ed25519"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
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

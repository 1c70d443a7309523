package kvstore_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"ebonyferry/internal/edge/kvstore"
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

// An answer that is not final leaves open whether a write was made, and its connection must not be waited for.
func TestAnswersOfNoFinalStatus(t *testing.T) {
	for _, head := range []string{"000", "099 X", "101 Other\r\nConnection: Upgrade\r\nUpgrade: x", "600 X", "999 X"} {
		addr := startOpenServer(t, "HTTP/1.1 "+head+"\r\nContent-Length: 2\r\n\r\n{}")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		addrs := []netip.AddrPort{addr}
		if _, err := kvstore.New(addrs).CompareAndSwap(ctx, "k", 0, nil, 0); !errors.Is(err, kvstore.ErrOutcomeUnknown) {
			t.Errorf("write, status %q: got %v, want %v", head, err, kvstore.ErrOutcomeUnknown)
		}
		if _, err := kvstore.New(addrs).Get(ctx, "k"); !errors.Is(err, kvstore.ErrUnavailable) {
			t.Errorf("read, status %q: got %v, want %v", head, err, kvstore.ErrUnavailable)
		}
		if ctx.Err() != nil {
			t.Errorf("status %q: got %v, want an error at once", head, ctx.Err())
		}
		cancel()
	}
}

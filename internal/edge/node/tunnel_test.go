package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
)

// startCarrier starts a node that carries tunnels to the TCP server at addr, and returns its address.
func startCarrier(t *testing.T, dial func(ctx context.Context, from, server string) (net.Conn, error)) netip.AddrPort {
	t.Helper()
	router := chi.NewRouter()
	if dial != nil {
		HandleTunnels(router, dial)
	}
	srv := httptest.NewServer(router)
	t.Cleanup(srv.CloseClientConnections)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

// startServer starts a TCP server that runs serve for one connection, and returns a function that connects to it.
func startServer(t *testing.T, serve func(conn *net.TCPConn)) func(context.Context, string, string) (net.Conn, error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		serve(conn.(*net.TCPConn))
	}()
	return func(context.Context, string, string) (net.Conn, error) { return net.Dial("tcp", ln.Addr().String()) }
}

func openTunnel(t *testing.T, addr netip.AddrPort) (net.Conn, error) {
	t.Helper()
	client := NewClient(Sender{Name: "near"}, WithHTTPClient(&http.Client{Transport: &http.Transport{}}, "http"))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel() // the connection must outlive it
	return client.Tunnel(ctx, addr, "s1")
}

func TestTunnelCarriesBothWays(t *testing.T) {
	answer := bytes.Repeat([]byte("0123456789"), 10_000)
	addr := startCarrier(t, startServer(t, func(conn *net.TCPConn) {
		question := make([]byte, 5)
		if _, err := io.ReadFull(conn, question); err != nil || string(question) != "hello" {
			t.Errorf("server got %q, error %v", question, err)
		}
		_, _ = conn.Write(answer)
	}))
	conn, err := openTunnel(t, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(conn)
	if err != nil || !bytes.Equal(got, answer) {
		t.Errorf("got %d bytes, error %v; want %d bytes and the end", len(got), err, len(answer))
	}
}

// An answer without a length ends with its connection. One that the server resets, or whose carrier fails, must not look complete.
func TestBrokenTunnelIsNoEndOfAnAnswer(t *testing.T) {
	reset := func(conn *net.TCPConn) {
		_, _ = conn.Write([]byte("part"))
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetLinger(0)
	}
	carriers := map[string]netip.AddrPort{"server resets": startCarrier(t, startServer(t, reset))}
	for name, sent := range map[string]string{"carrier ends between frames": "\x00\x04part", "carrier ends in a frame": "\x00\x08part", "carrier ends in a head": "\x00\x04part\x00"} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n%s", tunnelProtocol, sent)
			conn.Close()
		}))
		t.Cleanup(srv.Close)
		carriers[name] = netip.MustParseAddrPort(srv.Listener.Addr().String())
	}
	for name, addr := range carriers {
		t.Run(name, func(t *testing.T) {
			conn, err := openTunnel(t, addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			got, err := io.ReadAll(conn)
			if err == nil || string(got) != "part" {
				t.Errorf("got %q and error %v, want %q and an error", got, err, "part")
			}
		})
	}
}

// A caller that leaves ends its connection; the server must learn that through the tunnel.
func TestServerLearnsThatTheCallerLeft(t *testing.T) {
	left := make(chan error, 1)
	addr := startCarrier(t, startServer(t, func(conn *net.TCPConn) {
		_, err := conn.Read(make([]byte, 1))
		left <- err
	}))
	conn, err := openTunnel(t, addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	select {
	case err := <-left:
		if err == nil {
			t.Error("the server read data, want the end of the connection")
		}
	case <-time.After(5 * time.Second):
		t.Error("the server's connection is still open")
	}
}

func TestTunnelErrors(t *testing.T) {
	fails := func(err error) netip.AddrPort {
		return startCarrier(t, func(context.Context, string, string) (net.Conn, error) { return nil, err })
	}
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	tests := []struct {
		name string
		addr netip.AddrPort
		want error
	}{
		{"server refuses", fails(ErrServerRefused), ErrServerRefused},
		{"no path", fails(ErrNoPath), ErrNoPath},
		{"node that does not know tunnels", startCarrier(t, nil), ErrNoPath},
		{"node that is gone", netip.MustParseAddrPort(gone.Listener.Addr().String()), ErrNoPath},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := openTunnel(t, tt.addr); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

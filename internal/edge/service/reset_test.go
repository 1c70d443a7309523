package service

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// The outcome of a long call is unknown if the service resets the connection of an answer without a length, also if the kernel reports this to a
// write. An answer that the service ends in order is whole.
func TestAnswerResetDuringTheCallIsNoOutcome(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(conn *net.TCPConn, body io.Reader)
		want error
	}{
		{"reset", func(c *net.TCPConn, _ io.Reader) { time.Sleep(200 * time.Microsecond); _ = c.SetLinger(0) }, ErrOutcomeUnknown},
		{"closed in order", func(_ *net.TCPConn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
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
						r, err := http.ReadRequest(bufio.NewReader(conn))
						if err != nil {
							return
						}
						fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nan answer")
						tt.end(conn.(*net.TCPConn), r.Body)
					}()
				}
			}()
			client := New()
			for range 60 {
				ans, err := client.Call(t.Context(), netip.MustParseAddrPort(ln.Addr().String()), Call{Method: http.MethodPost, Path: "/book", Body: make([]byte, 3<<20)})
				if !errors.Is(err, tt.want) {
					t.Fatalf("got %q, error %v; want error %v", ans.Body, err, tt.want)
				}
			}
		})
	}
}

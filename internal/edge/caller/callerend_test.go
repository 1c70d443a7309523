package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/caller"
)

var versions = []string{"HTTP/1.0", "HTTP/1.1"}

// post sends a raw request of alice and returns the connection.
func (h *harness) post(version, path, body string) *net.TCPConn {
	h.t.Helper()
	conn := h.rawConn().(*net.TCPConn)
	h.t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, err := fmt.Fprintf(conn, "POST %s %s\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, version, aliceKey, len(body), body)
	if err != nil {
		h.t.Fatal(err)
	}
	return conn
}

// readRest reads an answer to its end, and returns the error that ended it if it isn't complete.
func readRest(t *testing.T, conn net.Conn) (string, error) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// An answer of a plain service had no length. A part of it ended like a whole one for callers of HTTP/1.0.
func TestPartOfServiceAnswerIsNotWhole(t *testing.T) {
	for _, version := range versions {
		t.Run(version, func(t *testing.T) {
			h := newHarness(t, 1, func(l *caller.Limits) { l.WriteTimeout = 100 * time.Millisecond })
			doc := h.cfg.Bundle
			doc.Services = []bundle.Service{{Name: "stock", Prefix: "/services/stock", Routes: []bundle.Route{{Method: "POST", Path: "/all", Repeatable: true}}}}
			h.cfg = bundle.NewInForce(h.cfg.Head, doc, h.cfg.Keys)
			called := make(chan struct{})
			h.ledger = func(caller.ServiceCall) (caller.ServiceAnswer, error) {
				close(called)
				return caller.ServiceAnswer{Status: http.StatusOK, ContentType: "text/plain", Body: make([]byte, 16<<20)}, nil
			}
			conn := h.post(version, "/services/stock/all", "")
			<-called
			waitFor(t, "the call ends", func() bool { return h.server.InFlight() == 0 })
			if body, err := readRest(t, conn); err == nil {
				t.Errorf("got %d bytes and the end of a complete answer, want one that is broken off", len(body))
			}
		})
	}
}

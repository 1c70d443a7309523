package caller_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/caller"
	fakeengine "ebonyferry/internal/fake/engine"
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

func (h *harness) postStream(version, prompt string) *net.TCPConn {
	return h.post(version, "/v1/completions", fmt.Sprintf(`{"model":"m","stream":true,"prompt":%q}`, prompt))
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

// checkPart checks what a caller got of a stream without its last event.
func checkPart(t *testing.T, version, body string, err error) {
	t.Helper()
	switch {
	case err == nil:
		t.Errorf("got %d events and the end of a complete answer, want one that is broken off", strings.Count(body, "\n\n"))
	case version == "HTTP/1.0" && !errors.Is(err, syscall.ECONNRESET):
		t.Errorf("end of the answer: got %v, want %v", err, syscall.ECONNRESET)
	}
}

// A stream that broke off ended like a whole one, without its last event. Client libraries do not ask for that event.
func TestPartOfStreamIsBrokenOff(t *testing.T) {
	tests := []struct {
		name string
		end  func(h *harness, conn *net.TCPConn)
	}{
		{"node ended", func(h *harness, _ *net.TCPConn) { h.closeNode() }},
		{"caller closed its side", func(_ *harness, conn *net.TCPConn) { _ = conn.CloseWrite() }},
	}
	for _, tt := range tests {
		for _, version := range versions {
			t.Run(tt.name+", "+version, func(t *testing.T) {
				h := newHarness(t, 1, nil)
				conn := h.postStream(version, "history #tokens=100000")
				waitFor(t, "the stream runs", func() bool { return h.engines[0].Counters().Tokens > 20 })
				tt.end(h, conn)
				body, err := readRest(t, conn)
				checkPart(t, version, body, err)
			})
		}
	}
}

// The caller of a resumed stream that had closed its side got the last chunk after a part, too.
func TestPartOfResumedStreamIsBrokenOff(t *testing.T) {
	for _, version := range versions {
		t.Run(version, func(t *testing.T) {
			h := newHarness(t, 1, nil)
			first := h.stream("history #tokens=100000")
			defer first.Body.Close()
			var a answer
			a.read(t, first.Body, 10)
			conn := h.post(version, "/v1/ferry/resume", fmt.Sprintf(`{"resumeToken":%q,"index":0}`, a.resumeToken))
			waitFor(t, "the resumed stream runs", func() bool { return len(h.server.ResumedStreams()) == 1 })
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			if err := conn.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			rest, err := io.ReadAll(conn)
			if version == "HTTP/1.1" && strings.HasSuffix(string(rest), "\r\n0\r\n\r\n") {
				t.Error("the part ends with the last chunk")
			}
			if version == "HTTP/1.0" && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("end of the answer: got %v, want %v", err, syscall.ECONNRESET)
			}
		})
	}
}

// A caller that reads too slowly is given up in the middle of the stream.
func TestPartOfStreamPastWriteTimeoutIsBrokenOff(t *testing.T) {
	for _, version := range versions {
		t.Run(version, func(t *testing.T) {
			h := newHarness(t, 1, func(l *caller.Limits) { l.WriteTimeout = 100 * time.Millisecond }, fakeengine.WithStep(20*time.Microsecond, 0, 0))
			conn := h.postStream(version, "history #tokens=1000000")
			waitFor(t, "the caller is given up", func() bool { return h.server.InFlight() == 0 && len(h.dispatcher.usedOutcomes()) == 1 })
			body, err := readRest(t, conn)
			checkPart(t, version, body, err)
		})
	}
}

// A stream that is whole, or that ends with an error event, must not be reset.
func TestEndedStreamIsNotReset(t *testing.T) {
	tests := []struct {
		name, last string
		opts       []fakeengine.Option
	}{
		{"whole", "data: [DONE]\n\n", nil},
		{"error", "}}}\n\n", []fakeengine.Option{fakeengine.WithMisbehaviour(fakeengine.Misbehaviour{Kind: fakeengine.MisbehaveSkip, At: 5})}},
	}
	for _, tt := range tests {
		for _, version := range versions {
			t.Run(tt.name+", "+version, func(t *testing.T) {
				t.Parallel()
				h := newHarness(t, 1, nil, tt.opts...)
				body, err := readRest(t, h.postStream(version, "history #tokens=200"))
				if err != nil || !strings.HasSuffix(body, tt.last) {
					t.Errorf("got an answer that ends with %q and %v, want %q and no error", body[max(0, len(body)-40):], err, tt.last)
				}
			})
		}
	}
}

// A caller that closed its side before it was answered got an empty answer of status 200.
func TestHalfClosedCallerGetsNoEmptyAnswer(t *testing.T) {
	for _, version := range versions {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %v", version, stream), func(t *testing.T) {
				h := newHarness(t, 1, nil, fakeengine.WithStep(time.Hour, 0, 0))
				conn := h.post(version, "/v1/completions", fmt.Sprintf(`{"model":"m","stream":%v,"prompt":"p"}`, stream))
				waitFor(t, "the request is in hand", func() bool { return h.server.InFlight() == 1 })
				if err := conn.CloseWrite(); err != nil {
					t.Fatal(err)
				}
				if got, err := io.ReadAll(conn); len(got) > 0 {
					t.Errorf("got %q and %v, want nothing", got, err)
				}
			})
		}
	}
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

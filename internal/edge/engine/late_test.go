package engine_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"ebonyferry/internal/edge/engine"
)

// startRepeatingServer answers requests with the given answers in turn. It sends a second copy of an answer when the next
// request on the same connection arrives, before that request's own answer.
func startRepeatingServer(t *testing.T, answers ...string) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, late := bufio.NewReader(conn), ""
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					answer := <-next
					if _, err := io.WriteString(conn, late+answer); err != nil {
						return
					}
					late = answer
				}
			}()
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// A late second copy of a refusal must not answer the next generation, which runs.
func TestSecondCopyOfARefusalDoesNotAnswerTheNextGeneration(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 40\r\n\r\n" + `{"error":"overloaded","message":"full   "}`
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" +
		"data: {\"generation\":\"g2\",\"index\":0,\"text\":\"a\"}\n\n"
	addr := startRepeatingServer(t, refusal, stream)
	c := engine.New(addr)
	if _, err := c.Generate(t.Context(), engine.GenerateRequest{Generation: "g1"}); err == nil {
		t.Fatal("first generation: got no error, want a refusal")
	}
	s, err := c.Generate(t.Context(), engine.GenerateRequest{Generation: "g2"})
	if errors.Is(err, engine.ErrNotRun) || err != nil {
		t.Fatalf("second generation: got %v, want its own stream", err)
	}
	defer s.Close()
	if tok, err := s.Next(); err != nil || tok.Generation != "g2" {
		t.Errorf("first token: got %+v, %v; want one of g2", tok, err)
	}
}

// An event without end must end the stream, not fill the memory.
func TestEventWithoutEndEndsTheStream(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(conn, "data: x\n")
		}
	}()
	s, err := engine.New(ln.Addr().(*net.TCPAddr).AddrPort()).Generate(t.Context(), engine.GenerateRequest{Generation: "g1"})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := s.Next(); !errors.Is(err, engine.ErrTruncated) {
		t.Errorf("got %v, want %v", err, engine.ErrTruncated)
	}
}

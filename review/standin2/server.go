package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// backendServer is a stand-in of a backend server. Its handler gets the connection as it is, so that it can answer as a server in trouble does.
type backendServer struct {
	id, service, zone string
	slots             int
	addr              string
	born              int64

	ln    net.Listener
	ended chan struct{} // closed when the server has ended or left

	mu    sync.Mutex
	serve serveFunc
	gate  func()         // returns when the server is not silent; may be nil
	runs  map[string]int // by Attempt-Id
	conns map[net.Conn]bool
}

// randomID returns an ID of 16 hexadecimal digits.
func randomID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

type serveFunc func(s *backendServer, c net.Conn, r *http.Request, body []byte)

func startServer(st *store, service, zone string, slots int, serve serveFunc) (*backendServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &backendServer{
		id: "i-" + randomID()[:8], service: service, zone: zone, slots: slots, addr: ln.Addr().String(), born: time.Now().UnixMilli(),
		serve: serve, runs: make(map[string]int), conns: make(map[net.Conn]bool), ln: ln, ended: make(chan struct{}),
	}
	s.register(st, 1)
	go func() {
		for seq := 2; ; seq++ {
			select {
			case <-s.ended:
				return
			case <-time.After(1200 * time.Millisecond):
				s.register(st, seq)
			}
		}
	}()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c)
		}
	}()
	return s, nil
}

func (s *backendServer) register(st *store, seq int) {
	st.put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready", "cold_remaining_ms": 0,
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "seq": seq, "born": s.born,
	})
}

// stop ends a server and removes its entry.
func (s *backendServer) stop(st *store) {
	close(s.ended)
	s.ln.Close()
	st.remove("servers/" + s.id)
}

// serveConn serves one request and closes the connection.
func (s *backendServer) serveConn(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
	}()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/report", "/health":
		s.mu.Lock()
		gate := s.gate
		s.mu.Unlock()
		if gate != nil {
			gate()
		}
		report := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0,"kv_used":0,"kv_total":34287,"handles":0,"state":"ready","born":%d}`, s.born)
		answerPlain(c, 200, map[string]string{"Instance-Id": s.id, "Content-Type": "application/json"}, []byte(report))
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		answerPlain(c, 421, map[string]string{"Instance-Id": s.id}, nil)
		return
	}
	s.mu.Lock()
	serve := s.serve
	s.mu.Unlock()
	serve(s, c, r, body)
}

// recordRun records that the server begins to run a request.
func (s *backendServer) recordRun(id string) {
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	rec.printf("server %s runs %s", s.id, id)
}

// answerPlain writes an answer with a length, in the way of a server that closes after each answer.
func answerPlain(c net.Conn, status int, header map[string]string, body []byte) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: %s\r\n", status, http.StatusText(status), strconv.Itoa(len(body)))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n")
	b.Write(body)
	_, _ = c.Write(b.Bytes()) // a caller that has left needs no answer
}

// seal returns the header of an answer of this server.
func (s *backendServer) seal(r *http.Request) map[string]string {
	id := r.Header.Get("Attempt-Id")
	return map[string]string{"Attempt-Id": id, "Response-Seal": "3e1b.07.5a2." + id + "." + s.id, "Content-Type": "application/octet-stream"}
}

// workTime is how long a server works on a call.
const workTime = 20 * time.Millisecond

// serveCall runs a request and answers it.
func serveCall(s *backendServer, c net.Conn, r *http.Request, _ []byte) {
	id := r.Header.Get("Attempt-Id")
	s.recordRun(id)
	time.Sleep(workTime)
	answerPlain(c, 200, s.seal(r), []byte("answer to "+id))
}

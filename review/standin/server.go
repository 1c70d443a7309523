package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	id, server, version string
	method, path, query string
	from                string // copy that it continues; empty if it does not
	began               time.Time
	ended               time.Time // zero while the server works on it
	outcome             string
}

// ledger holds all runs of all servers.
type ledger struct {
	rec *record
	mu  sync.Mutex
	all []*run
}

func (l *ledger) begin(r *run) *run {
	r.began = time.Now()
	l.rec.logf("server %s (%s) runs %s: %s %s%s %s", r.server, r.version, r.id, r.method, r.path, r.query, r.from)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, r)
	return r
}

func (l *ledger) end(r *run, outcome string) {
	l.rec.logf("server %s ends %s: %s", r.server, r.id, outcome)
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended, r.outcome = time.Now(), outcome
}

// snapshot returns copies of all runs.
func (l *ledger) snapshot() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]run, len(l.all))
	for i, r := range l.all {
		list[i] = *r
	}
	return list
}

// server is a stand-in for a backend server: a plain one, or an engine if it has a memory.
type server struct {
	id, service, zone, version string
	slots                      int
	work                       time.Duration // of a call
	bad                        func(path string) bool
	keepsWorking               bool // when the connection of a request closes
	memory                     *memory
	eventTime                  time.Duration // between the events of a stream
	eventBytes                 int           // of padding in an event
	poison                     string        // path of requests that crash the server
	resets                     bool          // the server resets its connections when such a request crashes it
	deadly                     string        // part of a prompt that crashes the server
	resumeTime                 time.Duration // until a run that comes from a copy begins
	coldLimit                  int           // a cold server crashes from this many requests in a second on; 0 is never

	ledger *ledger
	store  *store
	ln     net.Listener
	http   *http.Server
	ctx    context.Context // ends when the server crashes
	crash  context.CancelFunc
	born   int64

	silence *darkListener
	dark    chan struct{} // closed when the server goes dark

	mu        sync.Mutex
	isDark    bool
	seq       int
	running   int
	arrivals  []time.Time
	coldUntil time.Time
	pauses    map[string]time.Time // runs that are preempted, and until when
	stopped   map[string]bool      // runs that were moved
	streams   []string             // IDs of running streams, oldest first
}

// start starts a server and registers it.
func (s *server) start() error {
	var err error
	if s.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	s.ctx, s.crash = context.WithCancel(context.Background())
	s.pauses, s.stopped, s.born = make(map[string]time.Time), make(map[string]bool), time.Now().UnixMilli()
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	s.silence, s.dark = &darkListener{TCPListener: s.ln.(*net.TCPListener)}, make(chan struct{})
	go s.http.Serve(s.silence)
	context.AfterFunc(s.ctx, func() { s.http.Close() })
	s.register("ready", 0)
	return nil
}

func (s *server) addr() string { return s.ln.Addr().String() }

// register writes the server's entry.
func (s *server) register(state string, cold time.Duration) {
	s.mu.Lock()
	s.seq++
	s.coldUntil = time.Now().Add(cold)
	entry := map[string]any{
		"service": s.service, "address": s.addr(), "zone": s.zone, "version": s.version, "slots": s.slots, "state": state,
		"cold_remaining_ms": cold.Milliseconds(), "seq": s.seq, "born": s.born,
	}
	s.mu.Unlock()
	s.store.put("servers/"+s.id, entry)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", s.id)
		return
	case "/report":
		s.report(w)
		return
	case "/kv-move":
		s.move(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.arrive(id)
	if id == "" || !s.admit(id) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release(id)
	if s.memory != nil {
		s.generate(w, r, id)
		return
	}
	s.call(w, r, id, body)
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": "both", "state": "ready", "busy": false, "seq": 0, "queued": 0, "running": s.running, "born": s.born,
	})
}

// arrive counts a request. A cold server that gets far more than it can serve crashes.
func (s *server) arrive(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.arrivals = append(s.arrivals, now)
	if !now.Before(s.coldUntil) {
		return
	}
	s.ledger.rec.logf("server %s, which is cold, gets %s", s.id, id)
	if n := len(s.arrivals) - s.coldLimit; s.coldLimit > 0 && n >= 0 && now.Sub(s.arrivals[n]) < time.Second {
		s.ledger.rec.logf("server %s crashes: %d requests in a second while it is cold", s.id, s.coldLimit)
		s.crash()
	}
}

// mostBetween returns the largest number of requests in one second between two times.
func (s *server) mostBetween(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	var window []time.Time
	for _, at := range s.arrivals {
		if at.Before(from) || at.After(to) {
			continue
		}
		window = append(window, at)
		for at.Sub(window[0]) >= time.Second {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}

// admit takes a slot.
func (s *server) admit(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	s.streams = append(s.streams, id)
	return true
}

func (s *server) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	for i, other := range s.streams {
		if other == id {
			s.streams = slices.Delete(s.streams, i, i+1)
			return
		}
	}
}

// newRun records that the server begins to work on a request. The path is what an HTTP server reads from the request line.
func (s *server) newRun(r *http.Request, id string) *run {
	query := ""
	if r.URL.RawQuery != "" {
		query = "?" + r.URL.RawQuery
	}
	return s.ledger.begin(&run{
		id: id, server: s.id, version: s.version, method: r.Method, path: r.URL.EscapedPath(), query: query, from: r.Header.Get("Kv-From"),
	})
}

// call runs a call.
func (s *server) call(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	run := s.newRun(r, id)
	if s.poison != "" && r.URL.Path == s.poison {
		if s.resets {
			s.fail()
		} else {
			s.goDark()
		}
	}
	select {
	case <-s.dark:
		<-s.ctx.Done()
		s.ledger.end(run, "crashed")
		panic(http.ErrAbortHandler)
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.ledger.end(run, "dropped")
		panic(http.ErrAbortHandler)
	case <-s.ctx.Done():
		s.ledger.end(run, "dropped")
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if s.bad != nil && s.bad(r.URL.Path) {
		status = http.StatusInternalServerError
	}
	answer := fmt.Sprintf("%s %s by %s: %x", r.Method, r.URL.Path, s.id, sha256.Sum256(body))
	w.Header().Set("Response-Seal", seal(s.id, id, answer))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	io.WriteString(w, answer)
	s.ledger.end(run, strconv.Itoa(status))
}

func seal(server, id, answer string) string {
	return fmt.Sprintf("%x", sha256.Sum256([]byte(server+"/"+id+"/"+answer)))[:16]
}

// addrOf returns the address and the rest of IP:PORT/REST.
func addrOf(text string) (addr, rest string) {
	addr, rest, _ = strings.Cut(text, "/")
	return addr, rest
}

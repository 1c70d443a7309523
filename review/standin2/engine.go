package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// copies are the copies of runs' memory that engines hold, by IP:PORT/ID.
type copies struct {
	mu   sync.Mutex
	held map[string]bool
}

func (k *copies) put(ref string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held[ref] = true
}

// take uses a copy, which can be done once.
func (k *copies) take(ref string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := k.held[ref]
	delete(k.held, ref)
	return held
}

var kept = copies{held: make(map[string]bool)}

const (
	engineEvents = 30
	eventGap     = 100 * time.Millisecond
	prefillTime  = 400 * time.Millisecond
)

// engineTrouble is what happens to the engine that begins a run.
type engineTrouble struct {
	crashAt  int           // events after which the process crashes; negative: never
	silentAt int           // events after which the run pauses
	pause    time.Duration // as after a preemption
	comments time.Duration // between the comments that the engine sends in a pause; 0: none
}

// streamWriter writes a stream in chunks.
type streamWriter struct{ c net.Conn }

func (w streamWriter) begin(r *http.Request, s *backendServer) error {
	id := r.Header.Get("Attempt-Id")
	_, err := fmt.Fprintf(w.c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\nAttempt-Id: %s\r\n"+
		"Response-Seal: 3e1b.07.5a2.%s.%s\r\nWeight-Versions: 1\r\n\r\n", id, id, s.id)
	return err
}

func (w streamWriter) write(text string) error {
	_, err := fmt.Fprintf(w.c, "%x\r\n%s\r\n", len(text), text)
	return err
}

func (w streamWriter) end() error {
	_, err := io.WriteString(w.c, "0\r\n\r\n")
	return err
}

// crash ends the process of a server: its connections are reset and its port refuses connections.
func (s *backendServer) crash() {
	rec.printf("server %s crashes", s.id)
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection is closed
		}
		c.Close()
	}
}

// serveEngine returns the handler of an engine that keeps to the platform's pages. The first engine that begins a run has the trouble.
func serveEngine(t engineTrouble, once *sync.Once) serveFunc {
	return func(s *backendServer, c net.Conn, r *http.Request, _ []byte) {
		id, from, last := r.Header.Get("Attempt-Id"), r.Header.Get("Kv-From"), r.Header.Get("Last-Event-Id")
		if r.URL.Path == "/kv-move" {
			answerPlain(c, http.StatusNotFound, nil, nil)
			return
		}
		rec.printf("server %s gets %s, Kv-From %q, Last-Event-Id %q, Kv-Backup %q", s.id, id, from, last, r.Header.Get("Kv-Backup"))
		next := 1
		if from != "" {
			if !kept.take(from) {
				answerPlain(c, http.StatusServiceUnavailable, map[string]string{"Not-Executed": "1", "Attempt-Id": id}, nil)
				return
			}
			if n, err := strconv.Atoi(last); err == nil {
				next = n + 1
			}
		}
		s.recordRun(id)
		if to := r.Header.Get("Kv-Backup"); to != "" {
			kept.put(to + "/" + id)
		}
		troubled := false
		once.Do(func() { troubled = trouble && from == "" })
		w := streamWriter{c}
		if w.begin(r, s) != nil {
			return
		}
		if from == "" {
			time.Sleep(prefillTime)
		}
		for ; next <= engineEvents; next++ {
			if from == "" && next-1 == t.silentAt && w.stayAlive(t) != nil {
				return
			}
			if troubled && next-1 == t.crashAt {
				s.crash()
				return
			}
			time.Sleep(eventGap)
			if err := w.write(fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", next, next, id)); err != nil {
				return
			}
		}
		_ = w.end() // a caller that has left needs no end
	}
}

// stayAlive pauses a run, and sends comments as a server of event streams does so that the connection is not taken for dead.
func (w streamWriter) stayAlive(t engineTrouble) error {
	for end := time.Now().Add(t.pause); time.Now().Before(end); {
		time.Sleep(min(cmp.Or(t.comments, t.pause), time.Until(end)))
		if t.comments > 0 {
			if err := w.write(": keep-alive\n\n"); err != nil {
				return err
			}
		}
	}
	return nil
}

// received is what a client got of a stream.
type received struct {
	ids  []int
	end  bool // the last chunk arrived
	err  error
	code int
}

// stream sends a request for a stream and reads it to its end.
func (q call) stream(addr, id string) received {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return received{err: err}
	}
	defer c.Close()
	if err := errors.Join(c.SetDeadline(time.Now().Add(q.deadline)), q.send(c, id)); err != nil {
		return received{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return received{err: err}
	}
	defer resp.Body.Close()
	got := received{code: resp.StatusCode}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			n, _ := strconv.Atoi(text)
			got.ids = append(got.ids, n)
		}
	}
	got.err = lines.Err()
	got.end = got.err == nil
	return got
}

// checkOrder returns an error if a piece is missing before the last one that arrived, comes twice, or is missing in a complete stream.
func (g received) checkOrder() error {
	for i, id := range g.ids {
		if id != i+1 {
			return fmt.Errorf("%w: piece %d follows piece %d", errBroken, id, i)
		}
	}
	if g.end && g.code == http.StatusOK && len(g.ids) != engineEvents {
		return fmt.Errorf("%w: the stream ends as complete after piece %d of %d", errBroken, len(g.ids), engineEvents)
	}
	return nil
}

const (
	streamRounds = 3
	// streamServers is the least number of which one is no larger a share than srv_crash has, .17.
	streamServers = 6
)

// playStreams plays streams one after another, each on engines of its own of which the one that begins the run is in trouble.
func playStreams(dir string, t engineTrouble) error {
	st, list, err := startFleet(dir, 2, []map[string]any{routeOf("plan", "/plan/", "streaming", "writers", 39000, 1800, 1)})
	defer killAll(list)
	if err != nil {
		return err
	}
	if err := awaitReady(list, readyTime); err != nil {
		return err
	}
	served := 0
	var broken error
	for round := range streamRounds {
		once := new(sync.Once)
		var servers []*backendServer
		for i := range streamServers {
			s, err := startServer(st, "writers", fmt.Sprintf("z%d", i%4+1), 24, serveEngine(t, once))
			if err != nil {
				return err
			}
			servers = append(servers, s)
		}
		time.Sleep(settleTime)
		id := randomID()
		q := call{method: "POST", path: "/plan/1", body: "a plan", deadline: 20 * time.Second,
			header: fmt.Sprintf("Model: m\r\nToken-Counts: 3000,400\r\nPrompt-Prefix: %x:79,%s:2921\r\n", round, id[:8])}
		rec.printf("client sends %s", id)
		got := q.stream(list[round%len(list)].front, id)
		rec.printf("client gets %d, pieces %v, complete: %t, %v", got.code, got.ids, got.end, got.err)
		if err := got.checkOrder(); err != nil {
			broken = err
		}
		if got.end && got.code == http.StatusOK {
			served++
		}
		for _, s := range servers {
			s.stop(st)
		}
	}
	switch {
	case broken != nil:
		return broken
	case served == 0:
		return errNothingServed
	}
	return nil
}

func init() {
	cases["comment"] = func(dir string) error {
		return playStreams(dir, engineTrouble{crashAt: 10, silentAt: 10, pause: 600 * time.Millisecond, comments: 200 * time.Millisecond})
	}
}

// moveOrder is the body of an order to copy a run's memory.
type moveOrder struct {
	ID     string `json:"id"`
	Target string `json:"target"`
	Last   bool   `json:"last"`
}

func decodeMove(body []byte) (moveOrder, error) {
	var order moveOrder
	err := json.Unmarshal(body, &order)
	return order, err
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pool is what the engines of a case share: the transfers between them.
type pool struct {
	mu      sync.Mutex
	engines map[string]*engine // by address
	handles map[string]*handle // by ADDRESS/HANDLE of Kv-From
}

// handle names memory of a run that a server keeps or has copied.
type handle struct {
	id     string
	source *engine
	target *engine // nil if the memory is at the source only
	events int
	used   bool
}

// engine is a model server. It works on a run until the run is whole or stopped, or until its connection closes.
type engine struct {
	name, addr, zone string
	born             int64
	pool             *pool
	rec              *record
	gap              time.Duration // between two events
	ln               net.Listener

	// What a case changes. All are called without locks and may be nil.
	pauseAt   func(e *engine, id string, events int) time.Duration // how long a run waits for memory before its next event
	noRoom    func(target *engine, id string) bool                 // the target has no room for the rest of a copy
	loseStart func(e *engine, id, from string) bool                // the answer to this request is lost, and the server works on
	loseRest  func(e *engine, id string, events int) bool          // the rest of the answer is lost, and the server works on
	shed      func(e *engine, id, call string) bool                // this call is rejected
	unframed  bool                                                 // its streams have no length and end with their connections
	fullFor   func(id, from string) bool                           // it is full and rejects this request
	queues    bool                                                 // a run that waits for memory is no run: it is in the server's queue

	mu      sync.Mutex
	runs    map[string]*run
	backups map[string]*run // runs at other servers whose memory is sent here, by request ID
	handles int
	begun   int // runs that began here
}

// run is one run of a request at one server.
type run struct {
	id      string
	total   int
	stop    chan struct{} // closed on request
	ended   chan struct{} // closed when the server works on it no more
	mu      sync.Mutex
	made    int
	stopped bool
	waits   bool // for memory
}

func (r *run) isWaiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waits
}

func (r *run) setWaiting(waits bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waits = waits
}

func (r *run) events() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.made
}

// startEngine serves on a free port of a loopback IP.
func startEngine(p *pool, rec *record, name, ip, zone string) *engine {
	ln := listen(ip)
	e := &engine{
		name: name, addr: ln.Addr().String(), zone: zone, born: time.Now().UnixMilli(), pool: p, rec: rec, gap: 20 * time.Millisecond, ln: ln,
		runs: make(map[string]*run), backups: make(map[string]*run),
	}
	p.mu.Lock()
	p.engines[e.addr] = e
	p.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("GET /health", e.health)
	mux.HandleFunc("POST /kv-move", e.move)
	mux.HandleFunc("/", e.serve)
	go func() { _ = http.Serve(ln, mux) }()
	return e
}

// entry is what the server registers in the store.
func (e *engine) entry(service string, slots int) map[string]any {
	return map[string]any{
		"service": service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": slots, "state": "ready", "cold_remaining_ms": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": 1, "born": e.born,
	}
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := []any{}
	for _, r := range e.runs {
		runs = append(runs, []any{r.id, 3000 + 4*r.events(), r.events(), 5})
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": 1, "queued": 0,
		"running": len(e.runs), "kv_used": 4000 * len(e.runs), "kv_total": 34294, "handles": 0, "state": "ready", "runs": runs, "born": e.born,
	})
}

func (e *engine) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Instance-Id", e.name)
	w.WriteHeader(http.StatusOK)
}

// move copies the memory of a run to another server. With last, the run stops first.
func (e *engine) move(w http.ResponseWriter, r *http.Request) {
	var req struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	if e.shed != nil && e.shed(e, req.ID, "kv-move") {
		e.rec.add(req.ID, e.name, "kv-move last=%v: rejected with 503 and Not-Executed", req.Last)
		w.Header().Set("Not-Executed", "1")
		writeJSON(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	e.mu.Lock()
	held := e.runs[req.ID]
	e.handles++
	name := fmt.Sprintf("h-%s-%d", e.name, e.handles)
	e.mu.Unlock()
	if held == nil || e.queues && held.isWaiting() {
		e.rec.add(req.ID, e.name, "kv-move last=%v: 404, no such run", req.Last)
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	e.pool.mu.Lock()
	target := e.pool.engines[req.Target]
	e.pool.mu.Unlock()
	if req.Last {
		held.mu.Lock()
		if !held.stopped {
			held.stopped = true
			close(held.stop)
		}
		held.mu.Unlock()
		<-held.ended
	}
	h := &handle{id: req.ID, source: e, target: target, events: held.events()}
	full := target == nil || e.noRoom != nil && e.noRoom(target, req.ID)
	if full {
		h.target = nil
	}
	if !full || req.Last {
		e.pool.mu.Lock()
		e.pool.handles[e.addr+"/"+name] = h
		e.pool.mu.Unlock()
	}
	answer := map[string]any{"handle": name, "create_rev": h.events}
	status := http.StatusOK
	if full {
		status = http.StatusServiceUnavailable
		if !req.Last {
			answer = map[string]any{}
		}
	}
	e.rec.add(req.ID, e.name, "kv-move last=%v to %s: %d %v", req.Last, req.Target, status, answer)
	writeJSON(w, status, answer)
}

// takeCopy returns the events of the memory that a request goes on from, or false if there is none that can be used here.
func (e *engine) takeCopy(id, from string) (events int, ok bool) {
	if from == e.addr+"/"+id {
		e.mu.Lock()
		defer e.mu.Unlock()
		b := e.backups[id]
		if b == nil {
			return 0, false
		}
		delete(e.backups, id)
		return b.events(), true
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	h := e.pool.handles[from]
	if h == nil || h.used || h.id != id || h.target != e && h.source != e {
		return 0, false
	}
	h.used = true
	return h.events, true
}

// serve runs a generation.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id, from := r.Header.Get("Attempt-Id"), r.Header.Get("Kv-From")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("Attempt-Id", id)
	if r.Header.Get("Expect-Instance") != e.name {
		w.Header().Set("Instance-Id", e.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	refuse := func(why string) {
		e.rec.add(id, e.name, "rejected, not run: %s", why)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	if e.shed != nil && e.shed(e, id, "request") || e.fullFor != nil && e.fullFor(id, from) {
		refuse("full")
		return
	}
	_, bound, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	tokens, err := strconv.Atoi(bound)
	if err != nil || id == "" {
		refuse("no token counts")
		return
	}
	held := &run{id: id, total: tokens / 4, stop: make(chan struct{}), ended: make(chan struct{})}
	if from != "" {
		if _, ok := e.takeCopy(id, from); !ok {
			refuse("no copy " + from)
			return
		}
		held.made, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	}
	e.mu.Lock()
	if e.runs[id] != nil {
		e.mu.Unlock()
		refuse("runs here already")
		return
	}
	e.runs[id] = held
	e.begun++
	e.mu.Unlock()
	if backup := r.Header.Get("Kv-Backup"); backup != "" {
		e.sendBackup(held, backup)
	}
	e.rec.add(id, e.name, "begins to run it after event %d, Kv-From %q, Kv-Backup %q", held.made, from, r.Header.Get("Kv-Backup"))
	e.rec.begin(id, e.name)
	defer func() {
		e.mu.Lock()
		delete(e.runs, id)
		e.mu.Unlock()
		e.rec.end(id, e.name)
		e.rec.add(id, e.name, "works on it no more, after event %d", held.events())
		close(held.ended)
	}()
	if e.loseStart != nil && e.loseStart(e, id, from) {
		e.rec.add(id, e.name, "its answer is lost: the connection is reset, the run goes on")
		e.reset(w)
		e.work(held, func(int) bool { return true }, nil)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Seal", "seal-"+id)
	w.Header().Set("Weight-Versions", "1")
	if e.unframed {
		w.Header().Set("Connection", "close")
		w.Header().Set("Transfer-Encoding", "identity") // net/http then sends no chunks
	}
	ctl := http.NewResponseController(w)
	_ = ctl.Flush()
	lost := false
	whole := e.work(held, func(n int) bool {
		if !lost && e.loseRest != nil && e.loseRest(e, id, n-1) {
			e.rec.add(id, e.name, "the rest of its answer is lost after event %d: the connection is reset, the run goes on", n-1)
			e.reset(w)
			lost = true
		}
		if lost {
			return true
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n)
		return err == nil && ctl.Flush() == nil
	}, r.Context().Done())
	if !whole && !lost {
		panic(http.ErrAbortHandler) // the stream is closed without its end
	}
}

// work makes the events of a run until it is whole, which it reports, or until it is stopped or its connection closes.
func (e *engine) work(held *run, send func(n int) bool, gone <-chan struct{}) bool {
	for held.events() < held.total {
		wait := e.gap
		if e.pauseAt != nil {
			if d := e.pauseAt(e, held.id, held.events()); d > 0 {
				e.rec.add(held.id, e.name, "is preempted after event %d; %v until its next event", held.events(), d)
				wait = d
				held.setWaiting(true)
				e.rec.end(held.id, e.name)
			}
		}
		select {
		case <-time.After(wait):
			if held.isWaiting() {
				held.setWaiting(false)
				e.rec.add(held.id, e.name, "goes on with it")
				e.rec.begin(held.id, e.name)
			}
		case <-held.stop:
			return false
		case <-gone:
			return false
		}
		if !send(held.events() + 1) {
			return false
		}
		held.mu.Lock()
		held.made++
		held.mu.Unlock()
	}
	return true
}

// sendBackup keeps the memory of a run at another server as it grows.
func (e *engine) sendBackup(held *run, addr string) {
	e.pool.mu.Lock()
	to := e.pool.engines[addr]
	e.pool.mu.Unlock()
	if to == nil || to == e {
		return
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	to.backups[held.id] = held
}

// reset resets the connection of an answer.
func (e *engine) reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

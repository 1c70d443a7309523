package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	movePrefix  = "h-" // of handles
	prefillTime = 80 * time.Millisecond
	usualEvent  = 60 * time.Millisecond
	moveTime    = 250 * time.Millisecond // of one copy, behind others on the link
	handleTime  = 5 * time.Second        // how long a copy lasts after its run ended without success
)

// memory holds the copies that engines keep of each other's runs, as SERVER-ADDRESS/RUN.
type memory struct {
	mu     sync.Mutex
	copies map[string]bool
}

func newMemory() *memory { return &memory{copies: make(map[string]bool)} }

func (m *memory) keep(addr, id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.copies[addr+"/"+id] = true
}

// take uses a copy up and reports whether there was one.
func (m *memory) take(addr, id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	ok := m.copies[addr+"/"+id]
	delete(m.copies, addr+"/"+id)
	return ok
}

// preempt stops the newest run that was not preempted before for a while, as an engine does that has run out of memory.
func (s *server) preempt(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range slices.Backward(s.streams) {
		if _, before := s.pauses[id]; !before {
			s.pauses[id] = time.Now().Add(d)
			s.ledger.rec.logf("server %s preempts %s and reads it in again, which takes %v", s.id, id, d)
			return
		}
	}
}

func (s *server) pausedUntil(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pauses[id]
}

// generate runs a stream: it reads the prompt and sends the events after the one that a continued run names. Every event
// has four tokens.
func (s *server) generate(w http.ResponseWriter, r *http.Request, id string) {
	next := 1
	from := r.Header.Get("Kv-From")
	if from != "" {
		// A handle of a move names the source; its copy is here. Otherwise the copy that followed the run is.
		if addr, handle := addrOf(from); (addr != s.addr() && !strings.HasPrefix(handle, movePrefix)) || !s.memory.take(s.addr(), handle) {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		next = last + 1
	}
	_, bound, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.Atoi(bound)
	run := s.newRun(r, id)
	backup, whole := r.Header.Get("Kv-Backup"), false
	defer func() {
		if backup != "" && whole {
			s.memory.take(backup, id)
		} else if backup != "" {
			time.AfterFunc(handleTime, func() { s.memory.take(backup, id) })
		}
	}()
	if !s.wait(r, prefillTime) || from != "" && !s.wait(r, s.resumeTime) {
		s.ledger.end(run, "dropped")
		panic(http.ErrAbortHandler)
	}
	if s.deadly != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), s.deadly) {
		s.ledger.end(run, "crashed")
		s.fail()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Seal", seal(s.id, id, "stream"))
	w.Header().Set("Weight-Versions", "1")
	total, padding := tokens/4, strings.Repeat("x", s.eventBytes)
	for n := next; n <= total; n++ {
		until := s.pausedUntil(id)
		if time.Now().Before(until) && !s.wait(r, time.Until(until)) || !s.wait(r, cmp.Or(s.eventTime, usualEvent)) || s.hasStopped(id) {
			s.ledger.end(run, fmt.Sprintf("dropped after event %d", n-1))
			panic(http.ErrAbortHandler) // the answer must not look complete
		}
		if backup != "" {
			s.memory.keep(backup, id)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s piece %d %s\n\n", n, id, n, padding)
		_ = http.NewResponseController(w).Flush() // fails when the connection has closed
	}
	whole = true
	s.ledger.end(run, fmt.Sprintf("complete with event %d", total))
}

// wait reports whether the server still works on the request after a time.
func (s *server) wait(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	gone := r.Context().Done()
	if s.keepsWorking {
		gone = nil
	}
	select {
	case <-timer.C:
		return s.ctx.Err() == nil
	case <-gone:
		return false
	case <-s.ctx.Done():
		return false
	}
}

// move copies the memory of a run to another server and, with last, stops the run first.
func (s *server) move(w http.ResponseWriter, r *http.Request) {
	var req struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	runs := slices.Contains(s.streams, req.ID)
	if runs && req.Last {
		s.stopped[req.ID] = true
	}
	s.mu.Unlock()
	s.ledger.rec.logf("server %s is told to move %s to %s, last %v", s.id, req.ID, req.Target, req.Last)
	if !runs {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !s.wait(r, moveTime) {
		panic(http.ErrAbortHandler)
	}
	s.memory.keep(req.Target, movePrefix+req.ID)
	reply(w, http.StatusOK, map[string]any{"handle": movePrefix + req.ID, "create_rev": 0})
}

func (s *server) hasStopped(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped[id]
}

// reclaim announces that the server leaves, and ends it after a notice.
func (s *server) reclaim(notice time.Duration) {
	s.register("draining", 0)
	s.ledger.rec.logf("server %s gets its notice", s.id)
	time.AfterFunc(notice, func() {
		s.ledger.rec.logf("server %s is gone", s.id)
		s.crash()
		s.store.remove("servers/" + s.id)
	})
}

package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or a change of one.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create_rev,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	changes  []item
	revision uint64
	leases   map[uint64]*lease
	changed  chan struct{} // closed and replaced at each change
}

func newStore() *store {
	return &store{items: make(map[string]item), revision: 1, leases: make(map[uint64]*lease), changed: make(chan struct{})}
}

// handler returns the store's HTTP interface. Leases expire while it is in use.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	go func() {
		for now := range time.Tick(50 * time.Millisecond) {
			s.expire(now)
		}
	}()
	return mux
}

// put writes a value as the operator or a server does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
	s.wake()
}

// write is called with mu held.
func (s *store) write(key string, value []byte, id uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, CreateRev: cmp.Or(s.items[key].CreateRev, s.revision), Lease: id}
	s.items[key] = i
	s.changes = append(s.changes, i)
}

// remove is called with mu held.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.changes = append(s.changes, item{Key: key, Revision: s.revision, Tombstone: true})
}

// wake is called with mu held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.dropLease(id)
		}
	}
}

// dropLease is called with mu held.
func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.wake()
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		Current uint64 `json:"current_rev"`
	}{i, s.revision})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	const page = 500
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	truncated := len(list) > page
	writeJSON(w, http.StatusOK, struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		Current   uint64 `json:"current_rev"`
	}{list[:min(page, len(list))], truncated, s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, c := range s.changes {
			if c.Revision > after && strings.HasPrefix(c.Key, q.Get("prefix")) {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || ended {
			writeJSON(w, http.StatusOK, struct {
				Events  []item `json:"events"`
				Current uint64 `json:"current_rev"`
			}{events, revision})
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := []item{}
	conflict := false
	for _, e := range tx.Expected {
		i := s.items[e.Key]
		conflict = conflict || i.Revision != e.Revision
		if i.Revision > 0 {
			held = append(held, i)
		}
	}
	if conflict {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": held})
		return
	}
	for _, wr := range tx.Writes {
		if wr.Lease != 0 && s.leases[wr.Lease] == nil {
			writeJSON(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, wr := range tx.Writes {
		s.write(wr.Key, wr.Value, wr.Lease)
	}
	for _, key := range tx.Remove {
		s.remove(key)
	}
	s.wake()
	writeJSON(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := time.Duration(max(1000, req.TTL)) * time.Millisecond
	id := uint64(1000 + len(s.changes) + 7*len(s.leases))
	for s.leases[id] != nil {
		id++
	}
	s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]uint64{"lease": id, "ttl_ms": uint64(ttl.Milliseconds())})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	s.dropLease(id)
	writeJSON(w, http.StatusOK, struct{}{})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

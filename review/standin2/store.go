package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an entry of the store or, with Tombstone, the removal of one.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"create_rev,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store. It keeps its whole history, and its leases expire.
type store struct {
	addr string

	mu       sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	revision uint64
	changed  chan struct{} // closed and replaced at each change
	leases   map[uint64]*storeLease
	lastID   uint64
}

func startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		addr: ln.Addr().String(), items: make(map[string]storeItem), revision: 1,
		changed: make(chan struct{}), leases: make(map[uint64]*storeLease), lastID: 100,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grantLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.keepLease)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(ln, mux) }() // ends with the process
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

// put writes a value as the operator or a server does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0, false)
}

// remove removes a key as its writer does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, nil, 0, true)
}

// write applies one change. The caller holds mu.
func (s *store) write(key string, value []byte, lease uint64, removed bool) {
	old, known := s.items[key]
	if removed && !known {
		return
	}
	s.revision++
	i := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease, Tombstone: removed}
	if known {
		i.Created = old.Created
	}
	if removed {
		i.Created = 0
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.dropLease(id)
		}
	}
}

// dropLease ends a lease and removes its keys. The caller holds mu.
func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(key, nil, 0, true)
		}
	}
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // a caller that has left needs no answer
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answerJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	answerJSON(w, http.StatusOK, struct {
		storeItem
		Current uint64 `json:"current_rev"`
	}{i, s.revision})
}

const pageItems = 500

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	page := struct {
		Items     []storeItem `json:"items"`
		Truncated bool        `json:"truncated"`
		Current   uint64      `json:"current_rev"`
	}{Items: []storeItem{}, Current: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			page.Items = append(page.Items, i)
		}
	}
	slices.SortFunc(page.Items, func(a, b storeItem) int { return cmp.Compare(a.Key, b.Key) })
	if len(page.Items) > pageItems {
		page.Items, page.Truncated = page.Items[:pageItems], true
	}
	answerJSON(w, http.StatusOK, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		answer := struct {
			Events  []storeItem `json:"events"`
			Current uint64      `json:"current_rev"`
		}{Events: []storeItem{}}
		s.mu.Lock()
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				answer.Events = append(answer.Events, i)
			}
		}
		answer.Current = s.revision
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Events) > 0 || over {
			answerJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
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
		answerJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []storeItem{}
	conflict := false
	for _, e := range tx.Expected {
		i := s.items[e.Key]
		current = append(current, i)
		conflict = conflict || i.Revision != e.Revision
	}
	if conflict {
		answerJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, wr := range tx.Writes {
		if wr.Lease != 0 && s.leases[wr.Lease] == nil {
			answerJSON(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, wr := range tx.Writes {
		s.write(wr.Key, wr.Value, wr.Lease, false)
	}
	for _, key := range tx.Remove {
		s.write(key, nil, 0, true)
	}
	answerJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

const minTTL = time.Second

func (s *store) grantLease(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		answerJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := max(minTTL, time.Duration(req.TTLMs)*time.Millisecond)
	s.leases[s.lastID] = &storeLease{ttl, time.Now().Add(ttl)}
	answerJSON(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keepLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answerJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	answerJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(id)
	answerJSON(w, http.StatusOK, struct{}{})
}

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

// item is an item of the store, or the removal of one.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create_rev"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease is a lease with the time at which it ends.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	addr string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]lease
	changed  chan struct{} // closed and replaced at each change
}

const (
	pageItems    = 500
	leaseTick    = 20 * time.Millisecond
	maxWatchWait = 30 * time.Second
)

func startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		addr: ln.Addr().String(), revision: 1, items: make(map[string]item), leases: make(map[uint64]lease), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.getWatch)
	mux.HandleFunc("POST /kv-txn", s.postTxn)
	mux.HandleFunc("POST /kv-lease", s.postLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.postKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.deleteLease)
	go http.Serve(ln, mux)
	go s.expireLeases()
	return s, nil
}

// put writes a value as an operator or a server does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
}

// remove removes a key as an operator does, or as the store does for a server.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
}

// value returns the value under a key.
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

// write applies one change. The caller holds mu.
func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreateRev
	}
	i := item{Key: key, Value: value, Revision: s.revision, CreateRev: created, Lease: leaseID}
	s.items[key] = i
	s.record(i)
}

// delete removes a key. The caller holds mu.
func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for now := range time.Tick(leaseTick) {
		s.mu.Lock()
		for id, l := range s.leases {
			if now.After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and removes its keys. The caller holds mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.delete(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	current := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		Current uint64 `json:"current_rev"`
	}{i, current})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	answer := struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		Current   uint64 `json:"current_rev"`
	}{Items: []item{}}
	s.mu.Lock()
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			answer.Items = append(answer.Items, i)
		}
	}
	answer.Current = s.revision
	s.mu.Unlock()
	slices.SortFunc(answer.Items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	if len(answer.Items) > pageItems {
		answer.Items, answer.Truncated = answer.Items[:pageItems], true
	}
	reply(w, http.StatusOK, answer)
}

func (s *store) getWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for waiting := true; ; {
		answer := struct {
			Events  []item `json:"events"`
			Current uint64 `json:"current_rev"`
		}{Events: []item{}}
		s.mu.Lock()
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				answer.Events = append(answer.Events, i)
			}
		}
		answer.Current = s.revision
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Events) > 0 || !waiting {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) postTxn(w http.ResponseWriter, r *http.Request) {
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
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var present []item
	met := true
	for _, e := range tx.Expected {
		i := s.items[e.Key]
		met = met && i.Revision == e.Revision
		if i.Revision != 0 {
			present = append(present, i)
		}
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, struct {
			Items []item `json:"items"`
		}{present})
		return
	}
	for _, wr := range tx.Writes {
		if _, ok := s.leases[wr.Lease]; wr.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		if strings.HasPrefix(wr.Key, "op/") || strings.HasPrefix(wr.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	for _, wr := range tx.Writes {
		s.write(wr.Key, wr.Value, wr.Lease)
	}
	for _, key := range tx.Remove {
		s.delete(key)
	}
	reply(w, http.StatusOK, struct {
		Revision uint64 `json:"revision"`
	}{s.revision})
}

func (s *store) postLease(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := max(time.Second, time.Duration(req.TTLMs)*time.Millisecond)
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = lease{ttl: ttl, ends: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]int64{"lease": int64(id), "ttl_ms": ttl.Milliseconds()})
}

func (s *store) postKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.ends = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) deleteLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	reply(w, http.StatusOK, struct{}{})
}

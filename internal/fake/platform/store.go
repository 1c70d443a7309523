// Package platform provides a fake of the platform's service: a key-value store with revisions,
// compare-and-swap, leases and watches, and a list of VMs that lags.
//
// A Server keeps everything in memory. Its faults are outages, delays, answers lost after the call took effect,
// expired leases and rate limits. They can be changed while it runs, by methods or over HTTP under ControlPath. The
// server takes the time from package time, so it also runs in virtual time.
package platform

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"ebonyferry/internal/edge/kvstore"
)

// historyLength is the maximum number of changes that the store keeps for watches.
const historyLength = 8192

// Server is a fake platform. It is safe for concurrent use.
type Server struct {
	mu       sync.Mutex
	revision kvstore.Revision
	entries  map[string]kvstore.Entry
	history  []change // sorted by revision, at most historyLength
	leases   map[kvstore.LeaseID]*lease
	lastID   kvstore.LeaseID
	changed  chan struct{} // closed and replaced at each change
	vms      vmList
	faults   faults
	limits   limits
	counts   map[kvstore.Kind]Count

	era         kvstore.Era // how often the store was restored
	keepsCopies bool
	copyGap     time.Duration // between two copies, at least
	copies      []storeCopy   // oldest first
}

// change is one change in the store's history.
type change struct {
	revision kvstore.Revision
	kvstore.Change
}

// lease is one lease with the keys attached to it.
type lease struct {
	ttl   time.Duration
	end   time.Time // when it expires unless renewed
	timer *time.Timer
	keys  map[string]bool
}

// Option configures a Server.
type Option func(*Server)

// New returns an empty server with DefaultRates.
func New(opts ...Option) *Server {
	s := &Server{
		entries: make(map[string]kvstore.Entry),
		leases:  make(map[kvstore.LeaseID]*lease),
		changed: make(chan struct{}),
		counts:  make(map[kvstore.Kind]Count),
	}
	s.faults.init()
	s.limits.set(DefaultRates)
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// apply executes one call other than a watch. The caller holds s.mu.
func (s *Server) apply(kind kvstore.Kind, req kvstore.Request) (kvstore.Response, error) {
	switch kind {
	case kvstore.KindGet:
		return s.get(req.Key)
	case kvstore.KindList:
		return s.list(req.Prefix), nil
	case kvstore.KindVMs:
		return kvstore.Response{VMs: s.vms.visible(time.Now())}, nil
	case kvstore.KindCAS:
		return s.compareAndSwap(req)
	case kvstore.KindDelete:
		return s.delete(req)
	case kvstore.KindGrantLease:
		return s.grant(req)
	case kvstore.KindKeepAlive:
		return s.keepAlive(req.Lease)
	case kvstore.KindRevokeLease:
		return s.revoke(req.Lease)
	}
	return kvstore.Response{}, kvstore.ErrInvalid
}

func (s *Server) get(key string) (kvstore.Response, error) {
	entry, ok := s.entries[key]
	if !ok {
		return kvstore.Response{}, kvstore.ErrNotFound
	}
	return kvstore.Response{Entry: &entry, Revision: s.revision}, nil
}

func (s *Server) list(prefix string) kvstore.Response {
	resp := kvstore.Response{Revision: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(key, prefix) {
			resp.Entries = append(resp.Entries, s.entries[key])
		}
	}
	return resp
}

func (s *Server) compareAndSwap(req kvstore.Request) (kvstore.Response, error) {
	if req.Key == "" {
		return kvstore.Response{}, kvstore.ErrInvalid
	}
	if len(req.Value) > kvstore.MaxValueBytes {
		return kvstore.Response{}, kvstore.ErrTooLarge
	}
	old := s.entries[req.Key]
	if old.Revision != req.Expected {
		return kvstore.Response{}, kvstore.ErrConflict
	}
	if req.Lease != 0 && s.leases[req.Lease] == nil {
		return kvstore.Response{}, kvstore.ErrLeaseExpired
	}
	s.detach(old)
	entry := kvstore.Entry{Key: req.Key, Value: slices.Clone(req.Value), Lease: req.Lease}
	if l := s.leases[req.Lease]; l != nil {
		l.keys[req.Key] = true
	}
	s.record(kvstore.Change{Entry: entry})
	return kvstore.Response{Revision: s.revision}, nil
}

func (s *Server) delete(req kvstore.Request) (kvstore.Response, error) {
	old, ok := s.entries[req.Key]
	if !ok {
		return kvstore.Response{}, kvstore.ErrNotFound
	}
	if old.Revision != req.Expected {
		return kvstore.Response{}, kvstore.ErrConflict
	}
	s.detach(old)
	s.record(kvstore.Change{Entry: kvstore.Entry{Key: req.Key}, Deleted: true})
	return kvstore.Response{Revision: s.revision}, nil
}

// detach detaches an entry from its lease.
func (s *Server) detach(entry kvstore.Entry) {
	if l := s.leases[entry.Lease]; l != nil {
		delete(l.keys, entry.Key)
	}
}

// record gives a change the next revision, applies it and wakes the watches.
func (s *Server) record(c kvstore.Change) {
	s.keepCopy()
	s.revision++
	c.Revision = s.revision
	if c.Deleted {
		delete(s.entries, c.Key)
	} else {
		s.entries[c.Key] = c.Entry
	}
	if len(s.history) == historyLength {
		s.history = slices.Clone(s.history[historyLength/2:])
	}
	s.history = append(s.history, change{revision: s.revision, Change: c})
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the changes under prefix after a revision. It returns ErrCompacted if the history no longer holds
// all of them, or if the revision does not exist yet.
func (s *Server) since(prefix string, after kvstore.Revision) ([]kvstore.Change, error) {
	oldest := s.revision + 1
	if len(s.history) > 0 {
		oldest = s.history[0].revision
	}
	if after > s.revision {
		return nil, kvstore.ErrCompacted
	}
	if after+1 < oldest {
		return nil, kvstore.ErrCompacted
	}
	var changes []kvstore.Change
	start, _ := slices.BinarySearchFunc(s.history, after+1, func(c change, rev kvstore.Revision) int {
		return int(int64(c.revision) - int64(rev))
	})
	for _, c := range s.history[start:] {
		if strings.HasPrefix(c.Key, prefix) {
			changes = append(changes, c.Change)
		}
	}
	return changes, nil
}

// watch waits for changes under a prefix until ctx or the requested wait ends.
func (s *Server) watch(ctx context.Context, req kvstore.Request) (kvstore.Response, error) {
	wait := time.NewTimer(time.Duration(req.WaitMs) * time.Millisecond)
	defer wait.Stop()
	for {
		s.mu.Lock()
		changes, err := s.since(req.Prefix, req.After)
		revision, changed := s.revision, s.changed
		outageBegan := s.faults.outageBegan
		s.mu.Unlock()
		if err != nil || len(changes) > 0 {
			return kvstore.Response{Changes: changes, Revision: revision}, err
		}
		select {
		case <-changed:
		case <-outageBegan:
			return kvstore.Response{}, kvstore.ErrUnavailable
		case <-wait.C:
			return kvstore.Response{Revision: revision}, nil
		case <-ctx.Done():
			return kvstore.Response{}, kvstore.ErrUnavailable
		}
	}
}

func (s *Server) grant(req kvstore.Request) (kvstore.Response, error) {
	ttl := time.Duration(req.TTLMs) * time.Millisecond
	if ttl <= 0 {
		return kvstore.Response{}, kvstore.ErrInvalid
	}
	s.lastID++
	id := s.lastID
	s.keepCopy()
	s.leases[id] = s.newLease(id, ttl)
	return kvstore.Response{Lease: id, TTLMs: req.TTLMs}, nil
}

func (s *Server) keepAlive(id kvstore.LeaseID) (kvstore.Response, error) {
	l := s.leases[id]
	if l == nil {
		return kvstore.Response{}, kvstore.ErrLeaseExpired
	}
	l.end = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return kvstore.Response{Lease: id, TTLMs: l.ttl.Milliseconds()}, nil
}

func (s *Server) revoke(id kvstore.LeaseID) (kvstore.Response, error) {
	if s.leases[id] == nil {
		return kvstore.Response{}, kvstore.ErrLeaseExpired
	}
	s.drop(id)
	return kvstore.Response{}, nil
}

// expire drops a lease when its timer fires. It keeps a lease whose renewal raced with the timer.
func (s *Server) expire(id kvstore.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil && !time.Now().Before(l.end) {
		s.drop(id)
	}
}

// drop ends a lease and deletes its keys. The caller holds s.mu.
func (s *Server) drop(id kvstore.LeaseID) {
	l := s.leases[id]
	l.timer.Stop()
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		s.record(kvstore.Change{Entry: kvstore.Entry{Key: key}, Deleted: true})
	}
}

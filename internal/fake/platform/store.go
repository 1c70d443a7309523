// Package platform is a stand-in for the platform's service: a key-value store with revisions,
// compare-and-swap, leases and watches, and the lagging list of VMs.
//
// It keeps everything in memory. Its faults (outages, slow spells, answers lost after taking effect, lapsing
// leases, rate limits) are commanded by methods while it runs, and over HTTP under ControlPath. It reads time
// from the runtime's clock, so that it also runs in virtual time.
package platform

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"ebonyferry/internal/edge/platform"
)

// historyLength is how many changes the store keeps for watches.
const historyLength = 8192

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	mu       sync.Mutex
	revision platform.Revision
	entries  map[string]platform.Entry
	history  []change // in order of revision, at most historyLength
	leases   map[platform.LeaseID]*lease
	lastID   platform.LeaseID
	changed  chan struct{} // closed and replaced at each change
	vms      vmList
	faults   faults
	limits   limits
	counts   map[platform.Kind]Count
}

// change is one kept change of the store.
type change struct {
	revision platform.Revision
	platform.Change
}

// lease is one lease with the keys attached to it.
type lease struct {
	ttl   time.Duration
	end   time.Time // lapses then unless renewed
	timer *time.Timer
	keys  map[string]bool
}

// Option changes a Server.
type Option func(*Server)

// New returns an empty stand-in with the rates of DefaultRates.
func New(opts ...Option) *Server {
	s := &Server{
		entries: make(map[string]platform.Entry),
		leases:  make(map[platform.LeaseID]*lease),
		changed: make(chan struct{}),
		counts:  make(map[platform.Kind]Count),
	}
	s.faults.init()
	s.limits.set(DefaultRates)
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Carries out one call other than a watch. The caller holds s.mu.
func (s *Server) apply(kind platform.Kind, req platform.Request) (platform.Response, error) {
	switch kind {
	case platform.KindGet:
		return s.get(req.Key)
	case platform.KindList:
		return s.list(req.Prefix), nil
	case platform.KindVMs:
		return platform.Response{VMs: s.vms.visible(time.Now())}, nil
	case platform.KindCAS:
		return s.compareAndSwap(req)
	case platform.KindDelete:
		return s.delete(req)
	case platform.KindGrantLease:
		return s.grant(req)
	case platform.KindKeepAlive:
		return s.keepAlive(req.Lease)
	case platform.KindRevokeLease:
		return s.revoke(req.Lease)
	}
	return platform.Response{}, platform.ErrInvalid
}

func (s *Server) get(key string) (platform.Response, error) {
	entry, ok := s.entries[key]
	if !ok {
		return platform.Response{}, platform.ErrNotFound
	}
	return platform.Response{Entry: &entry, Revision: s.revision}, nil
}

func (s *Server) list(prefix string) platform.Response {
	resp := platform.Response{Revision: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(key, prefix) {
			resp.Entries = append(resp.Entries, s.entries[key])
		}
	}
	return resp
}

func (s *Server) compareAndSwap(req platform.Request) (platform.Response, error) {
	if req.Key == "" {
		return platform.Response{}, platform.ErrInvalid
	}
	if len(req.Value) > platform.MaxValueBytes {
		return platform.Response{}, platform.ErrTooLarge
	}
	old := s.entries[req.Key]
	if old.Revision != req.Expected {
		return platform.Response{}, platform.ErrConflict
	}
	if req.Lease != 0 && s.leases[req.Lease] == nil {
		return platform.Response{}, platform.ErrLeaseLapsed
	}
	s.detach(old)
	entry := platform.Entry{Key: req.Key, Value: slices.Clone(req.Value), Lease: req.Lease}
	if l := s.leases[req.Lease]; l != nil {
		l.keys[req.Key] = true
	}
	s.record(platform.Change{Entry: entry})
	return platform.Response{Revision: s.revision}, nil
}

func (s *Server) delete(req platform.Request) (platform.Response, error) {
	old, ok := s.entries[req.Key]
	if !ok {
		return platform.Response{}, platform.ErrNotFound
	}
	if old.Revision != req.Expected {
		return platform.Response{}, platform.ErrConflict
	}
	s.detach(old)
	s.record(platform.Change{Entry: platform.Entry{Key: req.Key}, Deleted: true})
	return platform.Response{Revision: s.revision}, nil
}

// Detaches an entry from its lease.
func (s *Server) detach(entry platform.Entry) {
	if l := s.leases[entry.Lease]; l != nil {
		delete(l.keys, entry.Key)
	}
}

// Gives a change the next revision, applies it and wakes the watches.
func (s *Server) record(c platform.Change) {
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

// Returns the changes under prefix after a revision, or ErrCompacted when some of them are no longer kept.
func (s *Server) since(prefix string, after platform.Revision) ([]platform.Change, error) {
	oldest := s.revision + 1
	if len(s.history) > 0 {
		oldest = s.history[0].revision
	}
	if after > s.revision {
		return nil, platform.ErrCompacted
	}
	if after+1 < oldest {
		return nil, platform.ErrCompacted
	}
	var changes []platform.Change
	start, _ := slices.BinarySearchFunc(s.history, after+1, func(c change, rev platform.Revision) int {
		return int(int64(c.revision) - int64(rev))
	})
	for _, c := range s.history[start:] {
		if strings.HasPrefix(c.Key, prefix) {
			changes = append(changes, c.Change)
		}
	}
	return changes, nil
}

// Waits for changes under prefix until ctx or the wait ends.
func (s *Server) watch(ctx context.Context, req platform.Request) (platform.Response, error) {
	wait := time.NewTimer(time.Duration(req.WaitMs) * time.Millisecond)
	defer wait.Stop()
	for {
		s.mu.Lock()
		changes, err := s.since(req.Prefix, req.After)
		revision, changed := s.revision, s.changed
		broken := s.faults.broken
		s.mu.Unlock()
		if err != nil || len(changes) > 0 {
			return platform.Response{Changes: changes, Revision: revision}, err
		}
		select {
		case <-changed:
		case <-broken:
			return platform.Response{}, platform.ErrUnavailable
		case <-wait.C:
			return platform.Response{Revision: revision}, nil
		case <-ctx.Done():
			return platform.Response{}, platform.ErrUnavailable
		}
	}
}

func (s *Server) grant(req platform.Request) (platform.Response, error) {
	ttl := time.Duration(req.TTLMs) * time.Millisecond
	if ttl <= 0 {
		return platform.Response{}, platform.ErrInvalid
	}
	s.lastID++
	id := s.lastID
	l := &lease{ttl: ttl, keys: make(map[string]bool)}
	s.leases[id] = l
	l.end = time.Now().Add(ttl)
	l.timer = time.AfterFunc(ttl, func() { s.expire(id) })
	return platform.Response{Lease: id, TTLMs: req.TTLMs}, nil
}

func (s *Server) keepAlive(id platform.LeaseID) (platform.Response, error) {
	l := s.leases[id]
	if l == nil {
		return platform.Response{}, platform.ErrLeaseLapsed
	}
	l.end = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return platform.Response{Lease: id, TTLMs: l.ttl.Milliseconds()}, nil
}

func (s *Server) revoke(id platform.LeaseID) (platform.Response, error) {
	if s.leases[id] == nil {
		return platform.Response{}, platform.ErrLeaseLapsed
	}
	s.drop(id)
	return platform.Response{}, nil
}

// Ends a lease whose time has come. A renewal that raced with the timer keeps it.
func (s *Server) expire(id platform.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil && !time.Now().Before(l.end) {
		s.drop(id)
	}
}

// Ends a lease and removes its keys. The caller holds s.mu.
func (s *Server) drop(id platform.LeaseID) {
	l := s.leases[id]
	l.timer.Stop()
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		s.record(platform.Change{Entry: platform.Entry{Key: key}, Deleted: true})
	}
}

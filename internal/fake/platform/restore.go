// This file defines the return of the store from an earlier copy of its data.

package platform

import (
	"maps"
	"time"

	"ebonyferry/internal/edge/kvstore"
)

// copyPeriod is how long the store keeps the copies from which it can be restored.
const copyPeriod = 2 * time.Minute

// storeCopy is the data of the store before a change.
type storeCopy struct {
	until    time.Time // when the change was made
	revision kvstore.Revision
	entries  map[string]kvstore.Entry
	ttls     map[kvstore.LeaseID]time.Duration
}

// keepCopy keeps the data as it is before a change. The caller holds s.mu.
func (s *Server) keepCopy() {
	now := time.Now()
	if n := len(s.copies); !s.keepsCopies || n > 0 && now.Sub(s.copies[n-1].until) < s.copyGap {
		return
	}
	for len(s.copies) > 0 && now.Sub(s.copies[0].until) > copyPeriod {
		s.copies = s.copies[1:]
	}
	c := storeCopy{until: now, revision: s.revision, entries: maps.Clone(s.entries), ttls: make(map[kvstore.LeaseID]time.Duration)}
	for id, l := range s.leases {
		c.ttls[id] = l.ttl
	}
	s.copies = append(s.copies, c)
}

// WithCopies makes the store keep copies of its data, for Restore, at least gap apart.
func WithCopies(gap time.Duration) Option {
	return func(s *Server) { s.keepsCopies, s.copyGap = true, gap }
}

// Restore makes the store come back from a copy of its data as of an earlier time, in a new era. What was confirmed since is lost,
// leases too; the leases of the copy run for their whole time again. Revisions and lease IDs are given out again.
func (s *Server) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for _, l := range s.leases {
		l.timer.Stop()
	}
	at := time.Now().Add(-age)
	copy := storeCopy{revision: s.revision, entries: s.entries, ttls: make(map[kvstore.LeaseID]time.Duration)}
	for id, l := range s.leases {
		copy.ttls[id] = l.ttl
	}
	for _, c := range s.copies {
		if c.until.After(at) {
			copy = c
			break
		}
	}
	s.revision, s.entries, s.history, s.copies = copy.revision, maps.Clone(copy.entries), nil, nil
	s.leases = make(map[kvstore.LeaseID]*lease)
	s.lastID = 0
	for id, ttl := range copy.ttls {
		s.leases[id] = s.newLease(id, ttl)
		s.lastID = max(s.lastID, id)
	}
	for key, e := range s.entries {
		if l := s.leases[e.Lease]; l != nil {
			l.keys[key] = true
		}
	}
	if s.faults.outage == OutageNone {
		close(s.faults.outageBegan) // ends the watches
	}
	s.faults.outageBegan = make(chan struct{})
	s.faults.outage = OutageNone
}

// newLease starts a lease. The caller holds s.mu.
func (s *Server) newLease(id kvstore.LeaseID, ttl time.Duration) *lease {
	l := &lease{ttl: ttl, end: time.Now().Add(ttl), keys: make(map[string]bool)}
	l.timer = time.AfterFunc(ttl, func() { s.expire(id) })
	return l
}

// This file defines the faults, rates and counters.

package platform

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"ebonyferry/internal/edge/kvstore"
)

// OutageMode is how the store behaves during an outage.
type OutageMode string

// The outage modes.
const (
	OutageNone   OutageMode = ""
	OutageRefuse OutageMode = "refuse" // every call fails as unavailable and has no effect
	OutageSilent OutageMode = "silent" // calls get no answer and have no effect
)

// Rates are the limits on calls per second. Zero means no limit.
type Rates struct {
	Reads  float64                  `json:"reads"`           // of all kinds that read, together
	Writes float64                  `json:"writes"`          // of all kinds that write, together
	Kinds  map[kvstore.Kind]float64 `json:"kinds,omitempty"` // of single kinds, in addition to Reads and Writes
}

// DefaultRates are the rates that the platform's specification states for its store.
var DefaultRates = Rates{Reads: 2000, Writes: 500}

// WithRates sets the initial rates.
func WithRates(r Rates) Option {
	return func(s *Server) { s.limits.set(r) }
}

// WithVMLag sets how far the list of VMs that calls return lags behind SetVMs.
func WithVMLag(d time.Duration) Option {
	return func(s *Server) { s.vms.lag = d }
}

// Count counts the calls of one kind.
type Count struct {
	Calls   int `json:"calls"`   // received
	Refused int `json:"refused"` // answered with an error
	Limited int `json:"limited"` // refused by a rate limit; also counted in Refused
	Lost    int `json:"lost"`    // took effect, but the answer was withheld
}

// faults are the active faults of the store.
type faults struct {
	outage      OutageMode
	outageBegan chan struct{}        // closed when an outage begins, to end waiting watches
	delay       time.Duration        // added to each call
	unanswered  map[kvstore.Kind]int // number of answers still to withhold
}

func (f *faults) init() {
	f.outageBegan = make(chan struct{})
	f.unanswered = make(map[kvstore.Kind]int)
}

// limits holds the rate limiters. A nil limiter means no limit.
type limits struct {
	reads, writes *rate.Limiter
	kinds         map[kvstore.Kind]*rate.Limiter
}

func (l *limits) set(r Rates) {
	l.reads = limiter(r.Reads)
	l.writes = limiter(r.Writes)
	l.kinds = make(map[kvstore.Kind]*rate.Limiter, len(r.Kinds))
	for kind, perSecond := range r.Kinds {
		l.kinds[kind] = limiter(perSecond)
	}
}

// limiter returns a rate limiter whose burst is one second of calls.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (l *limits) allow(kind kvstore.Kind, now time.Time) bool {
	lim := l.reads
	if kind.Writes() {
		lim = l.writes
	}
	own := l.kinds[kind]
	return (own == nil || own.AllowN(now, 1)) && (lim == nil || lim.AllowN(now, 1))
}

// vmList is the list of VMs with the time of each change.
type vmList struct {
	lag     time.Duration
	history []vmSnapshot // oldest first
}

type vmSnapshot struct {
	at  time.Time
	vms []kvstore.VM
}

// visible returns the list as of lag ago, or the first list if there was none then.
func (v *vmList) visible(now time.Time) []kvstore.VM {
	var vms []kvstore.VM
	for i, snap := range v.history {
		if i > 0 && snap.at.After(now.Add(-v.lag)) {
			break
		}
		vms = snap.vms
	}
	return vms
}

// SetVMs replaces the list of VMs. Calls return it after the lag, but the first list immediately.
func (s *Server) SetVMs(vms []kvstore.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b kvstore.VM) int { return cmp.Compare(a.Name, b.Name) })
	s.vms.history = append(s.vms.history, vmSnapshot{at: time.Now(), vms: sorted})
}

// SetOutage begins an outage or, with OutageNone, ends it. Leases still expire during an outage.
func (s *Server) SetOutage(mode OutageMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.outage == OutageNone && mode != OutageNone {
		close(s.faults.outageBegan)
	}
	if s.faults.outage != OutageNone && mode == OutageNone {
		s.faults.outageBegan = make(chan struct{})
	}
	s.faults.outage = mode
}

// SetDelay makes every call take d longer.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// SetRates replaces the rates.
func (s *Server) SetRates(r Rates) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.set(r)
}

// LoseAnswers makes the next n calls of a kind that take effect go unanswered.
func (s *Server) LoseAnswers(kind kvstore.Kind, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.unanswered[kind] = n
}

// ExpireLease ends the lease to which the entry under key is attached, and reports whether there was one.
func (s *Server) ExpireLease(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.entries[key].Lease
	if s.leases[id] == nil {
		return false
	}
	s.drop(id)
	return true
}

// Counts returns the counters by kind.
func (s *Server) Counts() map[kvstore.Kind]Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[kvstore.Kind]Count, len(s.counts))
	for kind, c := range s.counts {
		counts[kind] = c
	}
	return counts
}

// ResetCounts sets all counters to zero.
func (s *Server) ResetCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.counts)
}

// ExhaustWrites uses up the writes that the rate limit admits now.
func (s *Server) ExhaustWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.limits.writes != nil && s.limits.allow(kvstore.KindCAS, time.Now()) {
	}
}

// LeasedKeys returns the keys that are attached to an unexpired lease.
func (s *Server) LeasedKeys() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	leased := make(map[string]bool)
	for _, l := range s.leases {
		for key := range l.keys {
			leased[key] = true
		}
	}
	return leased
}

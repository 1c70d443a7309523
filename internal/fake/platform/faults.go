package platform

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"ebonyferry/internal/edge/kvstore"
)

// This file defines the stand-in's faults, rates and counters.

// OutageMode says how the store behaves while it is down.
type OutageMode string

// The modes of an outage.
const (
	OutageNone   OutageMode = ""
	OutageRefuse OutageMode = "refuse" // every call is answered "unavailable" and does nothing
	OutageSilent OutageMode = "silent" // no call is answered and none does anything
)

// Rates bound the calls a second. Zero means no limit.
type Rates struct {
	Reads  float64                  `json:"reads"`           // of all reading kinds together
	Writes float64                  `json:"writes"`          // of all writing kinds together
	Kinds  map[kvstore.Kind]float64 `json:"kinds,omitempty"` // of single kinds, besides
}

// DefaultRates are the rates that the brief states for the platform's store.
var DefaultRates = Rates{Reads: 2000, Writes: 500}

// WithRates sets the rates.
func WithRates(r Rates) Option {
	return func(s *Server) { s.limits.set(r) }
}

// WithVMLag sets by how much the list of VMs lags behind the truth.
func WithVMLag(d time.Duration) Option {
	return func(s *Server) { s.vms.lag = d }
}

// Count counts the calls of one kind.
type Count struct {
	Calls   int `json:"calls"`   // received
	Refused int `json:"refused"` // answered with an error of any sort
	Limited int `json:"limited"` // refused for the rate, also part of Refused
	Lost    int `json:"lost"`    // took effect, answer withheld
}

// faults is what is wrong with the store just now.
type faults struct {
	outage OutageMode
	broken chan struct{} // closed when an outage begins, which ends waiting watches
	delay  time.Duration // added to each call
	lose   map[kvstore.Kind]int
}

func (f *faults) init() {
	f.broken = make(chan struct{})
	f.lose = make(map[kvstore.Kind]int)
}

// limits holds the token buckets. A nil limiter means no limit.
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

// Returns a limiter that admits a second's worth of calls at once.
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

// vmList is the truth about VMs with the time of each change.
type vmList struct {
	lag     time.Duration
	history []vmSnapshot // in order of time
}

type vmSnapshot struct {
	at  time.Time
	vms []kvstore.VM
}

// Returns the list as it stood lag ago, or the first one.
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

// SetVMs replaces the true list of VMs. Callers see it after the lag; the first list is seen at once.
func (s *Server) SetVMs(vms []kvstore.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b kvstore.VM) int { return cmp.Compare(a.Name, b.Name) })
	s.vms.history = append(s.vms.history, vmSnapshot{at: time.Now(), vms: sorted})
}

// SetOutage begins an outage or, with OutageNone, ends it. Leases go on lapsing during an outage.
func (s *Server) SetOutage(mode OutageMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.outage == OutageNone && mode != OutageNone {
		close(s.faults.broken)
	}
	if s.faults.outage != OutageNone && mode == OutageNone {
		s.faults.broken = make(chan struct{})
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

// LoseAnswers withholds the answers to the next n calls of a kind that take effect.
func (s *Server) LoseAnswers(kind kvstore.Kind, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.lose[kind] = n
}

// ExpireLease ends the lease that the entry under key hangs on, and reports whether there was one.
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

// Counts returns the calls received so far by kind.
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

// ExhaustWrites uses up what the rate of writes admits just now.
func (s *Server) ExhaustWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.limits.writes != nil && s.limits.allow(kvstore.KindCAS, time.Now()) {
	}
}

// LeasedKeys returns the keys that hang on a lease which has not lapsed.
func (s *Server) LeasedKeys() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := make(map[string]bool)
	for _, l := range s.leases {
		for key := range l.keys {
			live[key] = true
		}
	}
	return live
}

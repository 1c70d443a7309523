package admission

import (
	"slices"
	"time"

	"ebonyferry/internal/core/quarantine"
)

// This file defines what the Scheduler makes of streams that die with their server.

const (
	crashSpan      = 3 * time.Second // streams that die within it die of one crash
	domainSpan     = 5 * time.Second // crashes in one failure domain within it have a common cause
	probation      = 4 * time.Second // after which a running suspect is cleared
	probationProof = 16              // tokens that it must have produced by then
	maxCrashes     = 64              // remembered for a common cause
)

// crash is the latest crash of a server, as it shows in the streams of this node.
type crash struct {
	at        time.Time           // of the first stream that died
	flights   []quarantine.Flight // what ran then
	died      int                 // of these, so far
	confirmed bool
}

// Lost notes that t died. The first loss fixes which requests were in flight.
func (s *server) lost(t *Ticket, now time.Time) {
	if s.crash.at.IsZero() || t.grantedAt.After(s.crash.at) || now.Sub(s.crash.at) > crashSpan {
		s.crash = crash{at: now}
		for _, other := range s.streams {
			s.crash.flights = append(s.crash.flights, quarantine.Flight{
				Fingerprint: other.Work.Fingerprint, Account: other.Work.Account,
			})
		}
	}
	s.crash.died++
}

// Crashed makes a crash known once half of the streams have died: fewer may have lost their link only. A
// leaving server is expected to go.
func (s *Scheduler) crashed(srv *server, now time.Time) (*quarantine.Crash, []quarantine.Entry) {
	c := &srv.crash
	if c.confirmed || 2*c.died < len(c.flights) {
		return nil, nil
	}
	c.confirmed = true
	srv.warm.Fault(now)
	srv.cache.Forget()
	if srv.leaving {
		return nil, nil
	}
	known := quarantine.Crash{Server: srv.ID, At: c.at, Flights: c.flights}
	return &known, s.Crash(known, now)
}

// Crash takes a crash that this or another node saw and returns the verdicts it brings about. When servers of
// one failure domain crash together without a request in common, the requests are not to blame.
func (s *Scheduler) Crash(c quarantine.Crash, now time.Time) []quarantine.Entry {
	if srv := s.servers[c.Server]; srv != nil {
		srv.warm.Fault(now)
	}
	verdicts := s.suspects.Crash(c, now)
	if other, ok := s.commonCause(c); ok && len(verdicts) == 0 {
		s.suspects.Acquit(c)
		s.suspects.Acquit(other)
	}
	s.crashes = append(s.crashes, c)
	if len(s.crashes) > maxCrashes {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	return verdicts
}

func (s *Scheduler) commonCause(c quarantine.Crash) (quarantine.Crash, bool) {
	for _, other := range s.crashes {
		if other.Server == c.Server || c.At.Sub(other.At).Abs() > domainSpan {
			continue
		}
		if s.domain(other.Server) == s.domain(c.Server) && !intersect(c.Flights, other.Flights) {
			return other, true
		}
	}
	return quarantine.Crash{}, false
}

func (s *Scheduler) domain(server string) string {
	if srv := s.servers[server]; srv != nil {
		return srv.FailureDomain
	}
	return ""
}

func intersect(a, b []quarantine.Flight) bool {
	for _, f := range a {
		if slices.Contains(b, f) {
			return true
		}
	}
	return false
}

// Verdict takes a verdict or a release from another node, the store or an operator.
func (s *Scheduler) Verdict(e quarantine.Entry, now time.Time) { s.suspects.Merge(e, now) }

// Release ends a verdict on the order of an operator and reports whether there was one.
func (s *Scheduler) Release(fingerprint uint64, now time.Time) (quarantine.Entry, bool) {
	return s.suspects.Release(fingerprint, now)
}

// Quarantine returns the verdicts in force.
func (s *Scheduler) Quarantine(now time.Time) []quarantine.Entry { return s.suspects.List(now) }

// Clears the suspects that have run past their probation.
func (s *Scheduler) probate(now time.Time) {
	for _, srv := range s.servers {
		if srv.suspects == 0 {
			continue
		}
		for _, t := range srv.streams {
			if t.suspect && now.Sub(t.grantedAt) > probation && t.generated() >= probationProof {
				t.suspect = false
				srv.suspects--
				s.suspects.Clear(t.Work.Fingerprint)
			}
		}
	}
}

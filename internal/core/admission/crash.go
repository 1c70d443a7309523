package admission

import (
	"slices"
	"time"

	"ebonyferry/internal/core/quarantine"
)

// This file defines what the Scheduler makes of streams that die with their server.

const (
	crashSpan      = 3 * time.Second // streams that die within it die of one crash
	domainSpan     = 5 * time.Second // crashes in one failure domain within it may have a common cause
	commonServers  = 3               // that crash together for a common cause
	probation      = 4 * time.Second // after which a running suspect is cleared
	probationProof = 16              // tokens that it must have produced by then
	maxCrashes     = 64              // remembered for a common cause
)

// crash is the latest crash of a server, as it shows in the streams of this node.
type crash struct {
	at        time.Time                    // of the first stream that died
	flights   []quarantine.InFlightRequest // what ran then
	died      int                          // of these, so far
	confirmed bool
}

// Lost notes that t died. The first loss fixes which requests were in flight.
func (s *server) lost(t *Ticket, now time.Time) {
	if s.crash.at.IsZero() || t.grantedAt.After(s.crash.at) || now.Sub(s.crash.at) > crashSpan {
		s.crash = crash{at: now}
		for _, other := range s.streams {
			s.crash.flights = append(s.crash.flights, quarantine.InFlightRequest{
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
	srv.warm.Crashed(now)
	srv.cache.Reset()
	if srv.leaving {
		return nil, nil
	}
	known := quarantine.Crash{Server: srv.ID, At: c.at, InFlight: c.flights}
	verdicts := s.suspects.RecordCrash(known, now)
	if len(verdicts) == 0 {
		s.acquit(known)
	}
	return &known, verdicts
}

// RecordCrash takes a crash that another node saw.
func (s *Scheduler) RecordCrash(c quarantine.Crash, now time.Time) {
	if srv := s.servers[c.Server]; srv != nil && srv.crash.at.Before(c.At) {
		srv.warm.Crashed(now)
	}
	s.suspects.RecordRemoteCrash(c, now)
	s.acquit(c)
}

// Acquit remembers a crash and forgets its suspects when so many servers of one failure domain crash together
// that they must have a common cause.
func (s *Scheduler) acquit(c quarantine.Crash) {
	s.crashes = append(s.crashes, c)
	if len(s.crashes) > maxCrashes {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	together := s.together(c)
	servers := make(map[string]bool)
	for _, other := range together {
		servers[other.Server] = true
	}
	if len(servers) < commonServers {
		return
	}
	for _, other := range together {
		s.suspects.RetractCrash(other)
	}
}

// Together returns the crashes in the failure domain of c at about the same time, c included.
func (s *Scheduler) together(c quarantine.Crash) []quarantine.Crash {
	var list []quarantine.Crash
	for _, other := range s.crashes {
		if s.domain(other.Server) == s.domain(c.Server) && c.At.Sub(other.At).Abs() <= domainSpan {
			list = append(list, other)
		}
	}
	return list
}

func (s *Scheduler) domain(server string) string {
	if srv := s.servers[server]; srv != nil {
		return srv.FailureDomain
	}
	return ""
}

// RecordVerdict takes a verdict or a release from another node, the store or an operator.
func (s *Scheduler) RecordVerdict(e quarantine.Entry, now time.Time) { s.suspects.Merge(e, now) }

// Release ends a verdict on the order of an operator and reports whether there was one.
func (s *Scheduler) Release(fingerprint uint64, now time.Time) (quarantine.Entry, bool) {
	return s.suspects.Release(fingerprint, now)
}

// Quarantined returns the verdicts in force.
func (s *Scheduler) Quarantined(now time.Time) []quarantine.Entry { return s.suspects.List(now) }

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

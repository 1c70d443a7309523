// This file handles streams that are lost in a crash of their server.

package admission

import (
	"slices"
	"time"

	"ebonyferry/internal/core/quarantine"
)

const (
	crashWindow           = 3 * time.Second // streams lost within it count as one crash
	commonCauseWindow     = 5 * time.Second // crashes in one failure domain within it may have a common cause
	minCommonCauseServers = 3               // servers that must crash before a common cause is assumed
	probationTime         = 4 * time.Second // time that a suspect must run before it is cleared
	probationTokens       = 16              // tokens that it must also have generated
	maxCrashes            = 64              // crashes remembered to find a common cause
)

// crash is the latest crash of a server, as observed on the streams of this node.
type crash struct {
	at          time.Time                    // when the first stream was lost
	inFlight    []quarantine.InFlightRequest // requests in flight then
	begun       []quarantine.PartCrash       // those of them whose answers had just begun, or not yet
	lostStreams int                          // streams lost so far
	confirmed   bool
}

// recordLost records the loss of t. The first loss of a crash determines which requests were in flight.
func (s *server) recordLost(t *Ticket, now time.Time) {
	if s.crash.at.IsZero() || t.grantedAt.After(s.crash.at) || now.Sub(s.crash.at) > crashWindow {
		s.crash = crash{at: now}
		for _, other := range s.streams {
			s.crash.inFlight = append(s.crash.inFlight, quarantine.InFlightRequest{
				Fingerprint: other.Work.Fingerprint, Account: other.Work.Account,
			})
			if other.generated() <= begunTokens {
				s.crash.begun = append(s.crash.begun, s.partCrash(other, now))
			}
		}
	}
	s.crash.lostStreams++
}

// confirmCrash confirms the crash of srv once half of the streams in flight are lost. Fewer losses may only be due to
// failed connections. It returns the crash, for the other nodes, and the resulting verdicts. A leaving server is
// expected to stop, so its crash is not reported.
func (s *Scheduler) confirmCrash(srv *server, now time.Time) (*quarantine.Crash, []quarantine.Entry) {
	c := &srv.crash
	if c.confirmed || 2*c.lostStreams < len(c.inFlight) {
		return nil, nil
	}
	c.confirmed = true
	srv.warm.RecordCrash(now)
	srv.cache.Reset()
	if srv.leaving {
		return nil, nil
	}
	report := quarantine.Crash{Server: srv.ID, At: c.at, InFlight: c.inFlight, Begun: c.begun}
	verdicts := s.suspects.RecordCrash(report, now)
	if len(verdicts) == 0 {
		s.checkCommonCause(report)
	}
	s.recordBegun(report)
	if !s.asksNodes {
		verdicts = append(verdicts, s.JudgeParts(s.PartQueries(now), now)...)
	}
	return &report, verdicts
}

// RecordCrash records a crash that another node observed.
func (s *Scheduler) RecordCrash(c quarantine.Crash, now time.Time) {
	if srv := s.servers[c.Server]; srv != nil && srv.crash.at.Before(c.At) {
		srv.warm.RecordCrash(now)
	}
	s.suspects.RecordRemoteCrash(c, now)
	s.recordBegun(c)
	s.checkCommonCause(c)
}

// checkCommonCause remembers c. If enough servers of its failure domain crash together, they are assumed to have a
// common cause, and these crashes make no request a suspect.
func (s *Scheduler) checkCommonCause(c quarantine.Crash) {
	s.crashes = append(s.crashes, c)
	if len(s.crashes) > maxCrashes {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	related := s.relatedCrashes(c)
	servers := make(map[string]bool)
	for _, other := range related {
		servers[other.Server] = true
	}
	if len(servers) < minCommonCauseServers {
		return
	}
	for _, other := range related {
		s.suspects.RetractCrash(other)
	}
}

// relatedCrashes returns the crashes in the failure domain of c at about the same time, c included.
func (s *Scheduler) relatedCrashes(c quarantine.Crash) []quarantine.Crash {
	var list []quarantine.Crash
	for _, other := range s.crashes {
		if s.failureDomain(other.Server) == s.failureDomain(c.Server) && c.At.Sub(other.At).Abs() <= commonCauseWindow {
			list = append(list, other)
		}
	}
	return list
}

func (s *Scheduler) failureDomain(server string) string {
	if srv := s.servers[server]; srv != nil {
		return srv.FailureDomain
	}
	return ""
}

// RecordVerdict records a verdict or a release from another node, the store or an operator.
func (s *Scheduler) RecordVerdict(e quarantine.Entry, now time.Time) {
	s.suspects.Merge(e, now)
	if len(e.Parts) > 0 && !e.Released && now.Before(e.Expires) {
		s.parts.Merge(quarantine.PartVerdict{Parts: e.Parts, Crashes: e.Crashes, Until: e.Expires}, now)
	}
}

// Release lifts a verdict by order of an operator and reports whether there was one.
func (s *Scheduler) Release(fingerprint uint64, now time.Time) (quarantine.Entry, bool) {
	return s.suspects.Release(fingerprint, now)
}

// Quarantined returns the verdicts in force.
func (s *Scheduler) Quarantined(now time.Time) []quarantine.Entry { return s.suspects.List(now) }

// clearSuspects clears the suspects that have passed their probation.
func (s *Scheduler) clearSuspects(now time.Time) {
	for _, srv := range s.servers {
		if srv.suspects == 0 {
			continue
		}
		for _, t := range srv.streams {
			if t.suspect && now.Sub(t.grantedAt) > probationTime && t.generated() >= probationTokens {
				t.suspect = false
				srv.suspects--
				s.suspects.Clear(t.Work.Fingerprint)
			}
		}
	}
}

// This file searches for a server with capacity for a ticket.

package admission

import (
	"slices"
	"time"

	"ebonyferry/internal/core/quarantine"
	"ebonyferry/internal/core/routing"
)

const (
	heavyReserve    = 0.12 // fraction of a server's limits that heavy accounts leave to others
	maxHeavyPending = 1    // pending prompts at a server from which heavy and surging accounts send it no more
	minLengths      = 16   // observations of a class below which its output lengths count as unknown
)

// classReserve is the fraction of a server's limits that a class leaves to more urgent ones.
var classReserve = [classes]float64{Quick: 0, Narrative: 0.02, Batch: 0.12}

// tryGrant grants t if a server has capacity for it. If no server in service serves its version, t may run another one.
func (s *Scheduler) tryGrant(p *pool, t *Ticket, now time.Time) bool {
	srv := s.findServer(p, t, t.version, now)
	version := t.version
	if srv == nil && !s.hasServer(p, t.version) {
		if version = p.splitter.Fallback(t.version); version != "" {
			srv = s.findServer(p, t, version, now)
		}
	}
	if srv == nil {
		return false
	}
	s.grant(p, t, srv, version, now)
	return true
}

// hasServer reports whether any server in service serves the version.
func (s *Scheduler) hasServer(p *pool, version string) bool {
	for _, srv := range p.servers {
		if srv.inService() && srv.serves(p.model, version) {
			return true
		}
	}
	return false
}

// findServer returns the best server for t that serves the version, or nil if none has capacity.
func (s *Scheduler) findServer(p *pool, t *Ticket, version string, now time.Time) *server {
	t.load = t.profile()
	reserve := classReserve[t.Work.Class]
	heavy, surging := s.heavy(p, t.account, now), p.surging(t.account)
	if heavy {
		reserve += heavyReserve
	}
	var suspectServers []*server
	if t.suspect {
		suspectServers = s.suspectServers(p, t, version, now)
	}
	s.candidates, s.candidateServers = s.candidates[:0], s.candidateServers[:0]
	for _, srv := range p.servers {
		if !srv.serves(p.model, version) || !s.usable(srv, t, now) {
			continue
		}
		if t.suspect && (srv.suspects > 0 || !slices.Contains(suspectServers, srv)) {
			continue
		}
		if heavy && srv.pending >= maxHeavyPending {
			continue
		}
		if surging && !s.acceptsSurge(srv) {
			continue
		}
		if c, ok := s.candidate(srv, t, reserve, now); ok {
			s.candidates = append(s.candidates, c)
			s.candidateServers = append(s.candidateServers, srv)
		}
	}
	i := routing.Choose(s.candidates)
	if i < 0 {
		return nil
	}
	return s.candidateServers[i]
}

// usable reports whether the server may run t, regardless of its capacity.
func (s *Scheduler) usable(srv *server, t *Ticket, now time.Time) bool {
	switch {
	case !srv.inService(), s.ejector.Ejected(srv.ID, now):
		return false
	case slices.Contains(t.Work.Exclude, srv.ID):
		return false
	}
	return true
}

// suspectServers returns the servers on which this node may run the suspect t. Each node has its own servers for
// suspects, so that no two nodes run suspects on one server. If none of its own accepts streams, the node uses one
// other server: otherwise a harmless request would find no server, which is more likely than that another node runs a
// suspect on that server when it crashes.
func (s *Scheduler) suspectServers(p *pool, t *Ticket, version string, now time.Time) []*server {
	var own []*server
	var choice *server
	for _, srv := range p.servers {
		if !srv.serves(p.model, version) || !s.usable(srv, t, now) || !s.acceptsStreams(srv, now) {
			continue
		}
		if s.mayRunSuspects(srv.ID) {
			own = append(own, srv)
		}
		if choice == nil || s.tieBreak(srv.ID) < s.tieBreak(choice.ID) {
			choice = srv
		}
	}
	if len(own) == 0 && choice != nil {
		own = append(own, choice)
	}
	return own
}

// acceptsStreams reports whether this node may run any stream on the server now.
func (s *Scheduler) acceptsStreams(srv *server, now time.Time) bool {
	s.followSharedLimit(srv, now)
	streams, _ := s.budgets.Budget(srv.ID, now)
	return srv.warm.Allow(streams, now) > 0
}

// candidate rates the server for t. It returns false if the server has no capacity.
func (s *Scheduler) candidate(srv *server, t *Ticket, reserve float64, now time.Time) (routing.Candidate, bool) {
	s.followSharedLimit(srv, now)
	streams, tokens := s.budgets.Budget(srv.ID, now)
	allowed := srv.warm.Allow(streams, now)
	used := len(srv.streams) + 1
	if used > allowed-int(reserve*float64(allowed)) {
		return routing.Candidate{}, false
	}
	c := routing.Candidate{
		Streams:  float64(used) / float64(allowed),
		Latency:  srv.tokenGap.mean / s.targets.TokenGap.Seconds(),
		Pending:  float64(srv.pending),
		TieBreak: s.tieBreak(srv.ID),
	}
	if tokens > 0 {
		peak := srv.committed(now).PeakWith(&t.load, s.margin)
		if peak > float64(tokens)*(1-reserve) && !isFirstStream(srv, t, tokens) {
			return routing.Candidate{}, false
		}
		c.Peak = peak / float64(tokens)
	}
	if t.suspect {
		// Prefer the server with the fewest streams, since a crash would end them all.
		return routing.Candidate{Streams: float64(used), TieBreak: c.TieBreak}, true
	}
	c.Preferred = srv.suspects == 0
	c.PromptTokens = float64(t.Work.PromptTokens)
	c.CachedTokens = srv.cache.ExpectedTokens(t.Work.Prefixes, now)
	return c, true
}

// isFirstStream reports whether t would be the only stream on the server and its prompt takes at most half of the
// memory, while too few output lengths are known for a prediction. Without such streams none would ever be known.
func isFirstStream(srv *server, t *Ticket, tokens int) bool {
	return len(srv.streams) == 0 && 2*t.Work.PromptTokens <= tokens && t.series.Observations() < minLengths
}

func (s *Scheduler) grant(p *pool, t *Ticket, srv *server, version string, now time.Time) {
	t.state, t.Server, t.Version, t.grantedAt = running, srv.ID, version, now
	srv.add(t)
	srv.cache.RecordSent(t.Work.Prefixes, now)
	a := t.account
	a.running++
	p.streamStarted(a)
	t.pool = p
	t.charged = promptTokenCost*float64(t.Work.PromptTokens) + float64(s.expectedOutput(t))
	a.charge(t.charged)
	p.queue.countGrant(now)
	s.decided = append(s.decided, t)
}

// expectedOutput returns the output length that the account is charged for in advance.
func (s *Scheduler) expectedOutput(t *Ticket) int {
	if t.Work.KnownTokens > 0 {
		return t.Work.KnownTokens
	}
	n := t.series.Dist().Quantile(0, 0.5)
	if t.Work.MaxTokens > 0 {
		n = min(n, t.Work.MaxTokens)
	}
	return n
}

// checkQuarantine sets whether t is a suspect. It refuses t and returns false if the request is in quarantine.
func (s *Scheduler) checkQuarantine(t *Ticket, now time.Time) bool {
	if v, ok := s.partVerdict(t, now); ok {
		s.refuse(t, InQuarantine, v.Until.Sub(now))
		return false
	}
	switch s.suspects.Status(t.Work.Fingerprint, now) {
	case quarantine.Quarantined:
		s.refuse(t, InQuarantine, 0)
		return false
	case quarantine.Suspect:
		t.suspect = true
	default:
		t.suspect = false
	}
	return true
}

package admission

import (
	"slices"
	"time"

	"ebonyferry/internal/core/quarantine"
	"ebonyferry/internal/core/routing"
)

// This file defines the search for a server that has room for a ticket.

const (
	heavyReserve = 0.12 // part of a server's limits that accounts above their fair part leave to others
	heavyPending = 1    // prompts under way at a server from which such accounts send it no further
	fewLengths   = 16   // observations of a class below which its lengths count as unknown
)

// Part of a server's limits that a class leaves to more urgent ones.
var classReserve = [classes]float64{Quick: 0, Narrative: 0.02, Batch: 0.12}

// Place grants t when a server has room for it.
func (s *Scheduler) place(p *pool, t *Ticket, now time.Time) bool {
	srv := s.search(p, t, t.version, now)
	version := t.version
	if srv == nil && !s.served(p, t.version) {
		if version = p.split.Fallback(t.version); version != "" {
			srv = s.search(p, t, version, now)
		}
	}
	if srv == nil {
		return false
	}
	s.grant(p, t, srv, version, now)
	return true
}

// Served reports whether any server in service serves the version.
func (s *Scheduler) served(p *pool, version string) bool {
	for _, srv := range p.servers {
		if srv.inService() && srv.serves(p.model, version) {
			return true
		}
	}
	return false
}

func (s *Scheduler) search(p *pool, t *Ticket, version string, now time.Time) *server {
	t.load = t.profile()
	reserve := classReserve[t.Work.Class]
	heavy, surging := s.heavy(p, t.account, now), p.surging(t.account)
	if heavy {
		reserve += heavyReserve
	}
	var homes []*server
	if t.suspect {
		homes = s.suspectServers(p, t, version, now)
	}
	s.candidates, s.found = s.candidates[:0], s.found[:0]
	for _, srv := range p.servers {
		if !srv.serves(p.model, version) || !s.usable(srv, t, now) {
			continue
		}
		if t.suspect && (srv.suspects > 0 || !slices.Contains(homes, srv)) {
			continue
		}
		if heavy && srv.pending >= heavyPending {
			continue
		}
		if surging && !s.bears(srv) {
			continue
		}
		if c, ok := s.candidate(srv, t, reserve, now); ok {
			s.candidates = append(s.candidates, c)
			s.found = append(s.found, srv)
		}
	}
	i := routing.Choose(s.candidates)
	if i < 0 {
		return nil
	}
	return s.found[i]
}

// Usable reports whether the server may take t at all.
func (s *Scheduler) usable(srv *server, t *Ticket, now time.Time) bool {
	switch {
	case !srv.inService(), s.ejector.Ejected(srv.ID, now):
		return false
	case slices.Contains(t.Work.Exclude, srv.ID):
		return false
	}
	return true
}

// SuspectServers returns the servers on which this node runs a suspect: those that are this node's for that
// purpose, so that no two nodes run suspects on one server. A node for which none of these is open runs them on
// one server of its own choice: that another node does so on the same server at its next crash is less likely
// than that a harmless request finds no server.
func (s *Scheduler) suspectServers(p *pool, t *Ticket, version string, now time.Time) []*server {
	var own []*server
	var choice *server
	for _, srv := range p.servers {
		if !srv.serves(p.model, version) || !s.usable(srv, t, now) || !s.open(srv, now) {
			continue
		}
		if s.maySuspect(srv.ID) {
			own = append(own, srv)
		}
		if choice == nil || s.tie(srv.ID) < s.tie(choice.ID) {
			choice = srv
		}
	}
	if len(own) == 0 && choice != nil {
		own = append(own, choice)
	}
	return own
}

// Open reports whether this node may run any stream on the server now.
func (s *Scheduler) open(srv *server, now time.Time) bool {
	s.follow(srv, now)
	streams, _ := s.budgets.Budget(srv.ID, now)
	return srv.warm.Allow(streams, now) > 0
}

// Candidate weighs the server for t. Its result is false when there is no room.
func (s *Scheduler) candidate(srv *server, t *Ticket, reserve float64, now time.Time) (routing.Candidate, bool) {
	s.follow(srv, now)
	streams, tokens := s.budgets.Budget(srv.ID, now)
	allowed := srv.warm.Allow(streams, now)
	used := len(srv.streams) + 1
	if used > allowed-int(reserve*float64(allowed)) {
		return routing.Candidate{}, false
	}
	c := routing.Candidate{
		Streams:  float64(used) / float64(allowed),
		Latency:  srv.gap.mean / s.targets.TokenGap.Seconds(),
		Pending:  float64(srv.pending),
		TieBreak: s.tie(srv.ID),
	}
	if tokens > 0 {
		peak := srv.committed(now).PeakWith(&t.load, s.margin)
		if peak > float64(tokens)*(1-reserve) && !first(srv, t, tokens) {
			return routing.Candidate{}, false
		}
		c.Peak = peak / float64(tokens)
	}
	if t.suspect {
		// The fewest bystanders.
		return routing.Candidate{Streams: float64(used), TieBreak: c.TieBreak}, true
	}
	c.Preferred = srv.suspects == 0
	c.PromptTokens = float64(t.Work.PromptTokens)
	c.CachedTokens = srv.cache.ExpectedTokens(t.Work.Prefixes, now)
	return c, true
}

// First reports whether t would be the only stream on the server and begins well within its memory while next
// to nothing is known of lengths. Without such work nothing would ever be known.
func first(srv *server, t *Ticket, tokens int) bool {
	return len(srv.streams) == 0 && 2*t.Work.PromptTokens <= tokens && t.series.Observations() < fewLengths
}

func (s *Scheduler) grant(p *pool, t *Ticket, srv *server, version string, now time.Time) {
	t.state, t.Server, t.Version, t.grantedAt = running, srv.ID, version, now
	srv.add(t)
	srv.cache.Routed(t.Work.Prefixes, now)
	a := t.account
	a.running++
	p.starts(a)
	t.pool = p
	t.charged = promptCost*float64(t.Work.PromptTokens) + float64(s.expected(t))
	a.charge(t.charged)
	p.queue.granted(now)
	s.decided = append(s.decided, t)
}

// Expected returns the output length that the account is charged for before it is known.
func (s *Scheduler) expected(t *Ticket) int {
	if t.Work.KnownTokens > 0 {
		return t.Work.KnownTokens
	}
	n := t.series.Dist().Quantile(0, 0.5)
	if t.Work.MaxTokens > 0 {
		n = min(n, t.Work.MaxTokens)
	}
	return n
}

// Sets whether t is a suspect and refuses it when its request is in quarantine.
func (s *Scheduler) judge(t *Ticket, now time.Time) bool {
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

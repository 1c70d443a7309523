// This file records outcomes, evidence and reports, from which the Scheduler learns.

package admission

import (
	"math"
	"slices"
	"time"

	"ebonyferry/internal/core/quarantine"
	"ebonyferry/internal/core/routing"
	"ebonyferry/internal/core/warmup"
)

// RecordFirstToken records the first token of a granted ticket.
func (s *Scheduler) RecordFirstToken(t *Ticket, now time.Time) {
	if t.state != running || !t.firstAt.IsZero() {
		return
	}
	t.firstAt = now
	if srv := s.servers[t.Server]; srv != nil {
		srv.pending--
	}
	if p := s.pools[t.Work.Model]; p != nil {
		p.queue.firstTokenDelay.add(now.Sub(t.grantedAt).Seconds())
	}
}

// Done ends a granted ticket; tokens is the number of tokens generated. If the outcome reveals a crash of the server,
// Done returns the crash, for the other nodes, and the verdicts that result from it. Both are usually nil.
func (s *Scheduler) Done(t *Ticket, outcome Outcome, tokens int, now time.Time) (*quarantine.Crash, []quarantine.Entry) {
	srv := s.servers[t.Server]
	if t.state != running || srv == nil {
		return nil, nil
	}
	if outcome == Interrupted {
		srv.recordLost(t, now)
	}
	if outcome == Finished || tokens >= passedTokens {
		s.recordPass(t, now)
	}
	t.state = ended
	srv.remove(t)
	s.settleCharge(t, outcome, tokens)
	switch outcome {
	case Finished:
		s.recordSuccess(srv, t, tokens, now)
	case Failed:
		s.recordFailure(srv, t, now)
		srv.warm.RecordEvidence(warmup.Evidence{Errors: 1}, 0, now)
	case Rejected:
		s.recordFailure(srv, t, now)
		srv.warm.RecordOverload(now)
	case NotRun:
		s.recordFailure(srv, t, now)
	case Interrupted:
		s.recordFailure(srv, t, now)
		return s.confirmCrash(srv, now)
	}
	return nil, nil
}

func (s *Scheduler) recordFailure(srv *server, t *Ticket, now time.Time) {
	s.ejector.RecordFailure(srv.ID, len(s.pools[t.Work.Model].peers()), now)
}

// peers returns the servers that can replace one another. A nil pool has none.
func (p *pool) peers() []*server {
	if p == nil {
		return nil
	}
	return p.servers
}

// settleCharge replaces the estimated cost of t, which its account was charged, by the actual cost.
func (s *Scheduler) settleCharge(t *Ticket, outcome Outcome, tokens int) {
	a := t.account
	a.running--
	t.pool.streamEnded(a)
	cost := promptTokenCost*float64(t.Work.PromptTokens) + float64(tokens)
	if outcome == NotRun || outcome == Rejected {
		cost = 0
	}
	a.charge(cost - t.charged)
	a.takeTokens(tokens)
}

func (s *Scheduler) recordSuccess(srv *server, t *Ticket, tokens int, now time.Time) {
	t.series.Observe(tokens)
	s.ejector.RecordSuccess(srv.ID)
	srv.warm.RecordEvidence(warmup.Evidence{Finished: 1}, 0, now)
	if t.suspect {
		s.suspects.Clear(t.Work.Fingerprint)
	}
}

// RecordEvidence records what the node observed of a server's tokens since the last call.
func (s *Scheduler) RecordEvidence(server string, e warmup.Evidence, now time.Time) {
	srv := s.servers[server]
	if srv == nil {
		return
	}
	e.InUse = len(srv.streams)
	if e.Tokens > 0 {
		srv.tokenGap.add(e.GapSum.Seconds() / float64(e.Tokens))
	}
	s.followSharedLimit(srv, now)
	streams, _ := s.budgets.Budget(server, now)
	srv.warm.RecordEvidence(e, srv.warm.Allow(streams, now), now)
}

// RecordLoadReport records a server's load report.
func (s *Scheduler) RecordLoadReport(server string, r warmup.Report, leaving bool, now time.Time) {
	srv := s.servers[server]
	if srv == nil {
		return
	}
	if srv.bootID != "" && srv.bootID != r.BootID {
		srv.cache.Reset()
	}
	srv.bootID = r.BootID
	srv.leaving = leaving
	srv.warm.RecordReport(r, srv.MaxStreams, now)
}

// RecordCacheEvents records changes of a server's prefix cache.
func (s *Scheduler) RecordCacheEvents(server string, events []routing.Event, now time.Time) {
	srv := s.servers[server]
	if srv == nil {
		return
	}
	for _, e := range events {
		srv.cache.Apply(e, now)
	}
}

// Demand returns what the node uses of a server and what more it wants.
func (s *Scheduler) Demand(server string, now time.Time) Demand {
	srv := s.servers[server]
	if srv == nil {
		return Demand{}
	}
	s.followSharedLimit(srv, now)
	d := Demand{
		Streams: len(srv.streams),
		Tokens:  int(srv.committed(now).Peak(s.margin)),
		Limit:   int(math.Round(srv.warm.SuggestFraction(now) * float64(srv.MaxStreams))),
	}
	if !srv.inService() {
		return d
	}
	for _, p := range s.sortedPools {
		if p.queue.size > 0 && slices.Contains(p.servers, srv) {
			d.Waiting += p.queue.size
			d.WaitingTokens += p.queue.predictedTokens()
		}
	}
	return d
}

// WarmFraction returns the fraction of a server's limit that the server, by the node's evidence, can handle now.
func (s *Scheduler) WarmFraction(server string, now time.Time) float64 {
	srv := s.servers[server]
	if srv == nil {
		return 0
	}
	s.followSharedLimit(srv, now)
	return srv.warm.Fraction(now)
}

// followSharedLimit applies the limit that the nodes share, if there is one.
func (s *Scheduler) followSharedLimit(srv *server, now time.Time) {
	limits, ok := s.budgets.(SharedLimits)
	if !ok || srv.MaxStreams <= 0 {
		return
	}
	if n := limits.Limit(srv.ID, now); n > 0 {
		srv.warm.SetAgreedFraction(float64(n)/float64(srv.MaxStreams), now)
	}
}

// This file finds the prefixes of prompts that crash the servers which begin to answer them.

package admission

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ebonyferry/internal/core/quarantine"
)

const (
	begunTokens  = 3 // tokens up to which an answer has only just begun
	passedTokens = 8 // tokens from which an answer is past its beginning; complete answers are, too
)

// partsOf returns the parts by which requests that crash servers are recognized: the whole request and the prefixes of
// its prompt.
func partsOf(w *Work) []uint64 {
	parts := make([]uint64, 0, len(w.Prefixes)+1)
	if w.Fingerprint != 0 {
		parts = append(parts, w.Fingerprint)
	}
	for _, p := range w.Prefixes {
		if !slices.Contains(parts, p.Hash) {
			parts = append(parts, p.Hash)
		}
	}
	return parts
}

// partCrash returns the report of the loss of t, whose answer had not got past its beginning.
func (s *server) partCrash(t *Ticket, now time.Time) quarantine.PartCrash {
	return quarantine.PartCrash{
		ID:     fmt.Sprintf("%016x/%d@%s", t.Work.Fingerprint, t.grantedAt.UnixNano(), s.ID),
		Server: s.ID + "@" + cmp.Or(s.bootID, now.Format(time.RFC3339Nano)), // a server may crash again under its ID
		At:     now,
		Parts:  partsOf(&t.Work),
	}
}

// recordBegun records the requests whose answers had just begun at a crash.
func (s *Scheduler) recordBegun(c quarantine.Crash) {
	for _, b := range c.Begun {
		if s.parts.RecordCrash(b) {
			s.lastCrashed = c.Server
		}
	}
}

// recordPass records that the answer to t got past its beginning.
func (s *Scheduler) recordPass(t *Ticket, now time.Time) {
	if t.Work.Fingerprint != 0 {
		s.recordPartPass(t.Work.Fingerprint, t.passedAt(now))
	}
	for _, p := range t.Work.Prefixes {
		s.recordPartPass(p.Hash, t.passedAt(now))
	}
}

func (s *Scheduler) recordPartPass(part uint64, at time.Time) {
	s.passes.Record(part, at)
	s.parts.RecordPass(part, at)
}

// passedAt returns a lower bound of the time at which the answer to t got past its beginning.
func (t *Ticket) passedAt(now time.Time) time.Time {
	if t.firstAt.IsZero() {
		return now
	}
	return t.firstAt
}

// PartQueries returns the parts that may be quarantined unless a node knows of an answer with them, this node's own answers
// considered. It returns none while no part is in enough crashes.
func (s *Scheduler) PartQueries(now time.Time) []quarantine.Query {
	queries := s.parts.Queries(now)
	for _, p := range s.PartPasses(queries, now) {
		s.parts.RecordPass(p.Part, p.At)
	}
	return queries
}

// PartPasses returns the latest answers of this node to requests with the parts queried, as far as they are later than the
// queries ask. Streams that run count once they are past their beginning.
func (s *Scheduler) PartPasses(queries []quarantine.Query, now time.Time) []quarantine.Pass {
	if len(queries) == 0 {
		return nil
	}
	for _, srv := range s.servers {
		for _, t := range srv.streams {
			if t.generated() >= passedTokens {
				s.recordPass(t, now)
			}
		}
	}
	var passes []quarantine.Pass
	for _, q := range queries {
		if at := s.passes.Last(q.Part); at.After(q.Since) {
			passes = append(passes, quarantine.Pass{Part: q.Part, At: at})
		}
	}
	return passes
}

// RecordPartPass records an answer of another node.
func (s *Scheduler) RecordPartPass(p quarantine.Pass) { s.parts.RecordPass(p.Part, p.At) }

// JudgeParts quarantines the parts that explain the crashes, and returns the new verdicts for the other nodes. All nodes
// have been asked the queries and their answers recorded.
func (s *Scheduler) JudgeParts(asked []quarantine.Query, now time.Time) []quarantine.Entry {
	var entries []quarantine.Entry
	for _, v := range s.parts.Judge(asked, now) {
		e := v.Entry(s.lastCrashed, now)
		s.suspects.Merge(e, now)
		entries = append(entries, e)
	}
	return entries
}

// partVerdict returns the verdict on the parts of t, and whether there is one that no operator has lifted.
func (s *Scheduler) partVerdict(t *Ticket, now time.Time) (quarantine.PartVerdict, bool) {
	if !s.parts.Judged() {
		return quarantine.PartVerdict{}, false
	}
	v, ok := s.parts.Quarantined(partsOf(&t.Work), now)
	return v, ok && !s.suspects.Released(v.Fingerprint(), now)
}

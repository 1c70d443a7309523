// This file implements the policies ebonyferry and oracle with the schedulers of the nodes.

package experiment

import (
	"fmt"
	"strconv"
	"time"

	"ebonyferry/internal/core/admission"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/quarantine"
	"ebonyferry/internal/core/routing"
	"ebonyferry/internal/core/warmup"
)

const (
	ticksPerEvidence = 5
	crashNoticeDelay = 200 * time.Millisecond // until other nodes learn of a crash
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func clock(t time.Duration) time.Time { return epoch.Add(t) }

// ferry is a fleet of nodes, each with a Scheduler.
type ferry struct {
	s               *sim
	nodes           []*admission.Scheduler
	owners          *owners
	pending         map[*admission.Ticket]*request
	knowsLengths    bool // the oracle passes the length of each answer to the Scheduler
	ticks           int
	cacheSeqs       []uint64 // sequence numbers of the last cache events, by server
	servers         map[string]int
	poisons         map[uint64]bool
	countedVerdicts map[uint64]bool
}

func newFerry(s *sim) policy  { return startFerry(s, nodes, false) }
func newOracle(s *sim) policy { return startFerry(s, 1, true, admission.WithMargin(0)) }

func startFerry(s *sim, n int, knowsLengths bool, opts ...admission.Option) *ferry {
	f := &ferry{
		s: s, knowsLengths: knowsLengths,
		owners:          newOwners(s, n),
		pending:         make(map[*admission.Ticket]*request),
		cacheSeqs:       make([]uint64, len(s.engines)),
		servers:         make(map[string]int),
		poisons:         make(map[uint64]bool),
		countedVerdicts: make(map[uint64]bool),
	}
	for i, e := range s.engines {
		f.servers[e.ID] = i
	}
	in := &bundle.InForce{Bundle: bundle.Bundle{Servers: s.scenario.servers, Models: s.scenario.models}}
	for i := range n {
		own := func(server string) bool { return f.servers[server]%n == i }
		all := append([]admission.Option{admission.WithSuspectServers(own), admission.WithNodeAnswers()}, opts...)
		node := admission.New("node"+strconv.Itoa(i), f.owners.slicesOf(i), all...)
		node.Configure(in, n, i)
		f.nodes = append(f.nodes, node)
	}
	f.owners.rebalance(f.nodes)
	return f
}

func (f *ferry) nodeOf(r *request) *admission.Scheduler { return f.nodes[r.node%len(f.nodes)] }

func fingerprint(r *request) uint64 { return uint64(r.arrivesAt)<<8 | uint64(r.account) }

func (f *ferry) arrive(r *request) {
	w := admission.Work{
		Account:      fmt.Sprintf("account%d", r.account),
		Class:        r.class,
		Model:        r.model,
		PromptTokens: r.prompt,
		Prefixes:     []routing.Prefix{{Hash: uint64(r.group), Tokens: r.shared}},
		Deadline:     clock(r.deadline),
		Fingerprint:  fingerprint(r),
		Progress:     func() int { return f.progress(r) },
		Attempt:      r.nodeAttempt,
		Exclude:      f.excludedIDs(r),
	}
	if f.knowsLengths {
		w.KnownTokens = r.length
	}
	if r.poison {
		f.poisons[w.Fingerprint] = true
	}
	node := f.nodeOf(r)
	r.ticket = node.Offer(w, clock(f.s.now))
	f.pending[r.ticket] = r
	f.apply(node.TakeDecided())
}

func (f *ferry) excludedIDs(r *request) []string {
	var ids []string
	for _, i := range r.excluded {
		ids = append(ids, f.s.engines[i].ID)
	}
	return ids
}

func (f *ferry) progress(r *request) int {
	if r.server < 0 || r.stream == nil {
		return 0
	}
	return f.s.engines[r.server].progress(r.stream)
}

// apply sends the granted requests to their servers and refuses the others.
func (f *ferry) apply(decided []*admission.Ticket) {
	for _, t := range decided {
		r := f.pending[t]
		delete(f.pending, t)
		if t.Refusal != nil {
			f.s.refuse(r)
			continue
		}
		f.s.send(r, f.servers[t.Server])
	}
}

func (f *ferry) firstToken(r *request) { f.nodeOf(r).RecordFirstToken(r.ticket, clock(f.s.now)) }

func (f *ferry) ended(r *request, out outcome) {
	node, now := f.nodeOf(r), clock(f.s.now)
	switch out {
	case finished:
		node.Done(r.ticket, admission.Finished, r.length, now)
	case rejected:
		node.Done(r.ticket, admission.NotRun, 0, now)
	case interrupted:
		crash, verdicts := node.Done(r.ticket, admission.Interrupted, 0, now)
		f.countVerdicts(verdicts)
		if crash != nil {
			f.broadcastCrash(node, *crash, verdicts)
		}
	}
	if out == finished {
		f.apply(node.Poll(now))
	}
}

// broadcastCrash sends a crash and its verdicts to the other nodes. They arrive after crashNoticeDelay.
func (f *ferry) broadcastCrash(from *admission.Scheduler, c quarantine.Crash, verdicts []quarantine.Entry) {
	f.s.after(crashNoticeDelay, func() {
		now := clock(f.s.now)
		for _, node := range f.nodes {
			if node == from {
				continue
			}
			node.RecordCrash(c, now)
			for _, v := range verdicts {
				node.RecordVerdict(v, now)
			}
		}
		f.judgeParts(from, now)
	})
}

// judgeParts lets a node judge the prefixes of requests lost in crashes, with the answers of all nodes.
func (f *ferry) judgeParts(judge *admission.Scheduler, now time.Time) {
	queries := judge.PartQueries(now)
	for _, node := range f.nodes {
		for _, p := range node.PartPasses(queries, now) {
			judge.RecordPartPass(p)
		}
	}
	verdicts := judge.JudgeParts(queries, now)
	f.countVerdicts(verdicts)
	for _, node := range f.nodes {
		for _, v := range verdicts {
			node.RecordVerdict(v, now)
		}
	}
}

// countVerdicts counts each fingerprint in quarantine once, whichever nodes give the verdict.
func (f *ferry) countVerdicts(verdicts []quarantine.Entry) {
	for _, v := range verdicts {
		if f.countedVerdicts[v.Fingerprint] {
			continue
		}
		f.countedVerdicts[v.Fingerprint] = true
		if f.poisons[v.Fingerprint] {
			f.s.figures.Quarantined++
		} else {
			f.s.figures.FalselyQuarantined++
		}
	}
}

func (f *ferry) tick() {
	f.ticks++
	now := clock(f.s.now)
	if f.ticks%ticksPerEvidence == 0 {
		f.recordEvidence(now)
	}
	if f.ticks%int(time.Second/tickInterval) == 0 && f.s.storeUp {
		f.owners.rebalance(f.nodes)
	}
	for _, node := range f.nodes {
		f.apply(node.Poll(now))
	}
}

// recordEvidence passes to each node the counts of the tokens that it received from each server.
func (f *ferry) recordEvidence(now time.Time) {
	for _, e := range f.s.engines {
		for i, node := range f.nodes {
			var ev warmup.Evidence
			for j := i; j < nodes; j += len(f.nodes) {
				m := &e.meters[j]
				ev.Tokens += m.tokens
				ev.Late += m.lateGaps
				ev.FirstTokens += m.firstTokens
				ev.GapSum += m.gapSum
				*m = nodeMeter{running: m.running}
			}
			if ev.Tokens+ev.FirstTokens > 0 {
				node.RecordEvidence(e.ID, ev, now)
			}
		}
	}
}

func (f *ferry) loadReport(snap snapshot) {
	r := warmup.Report{
		BootID:    strconv.Itoa(snap.bootID),
		SampledAt: clock(snap.sampledAt),
		Running:   snap.running,
		Waiting:   snap.waiting,
	}
	for _, node := range f.nodes {
		node.RecordLoadReport(f.s.engines[snap.server].ID, r, false, clock(f.s.now))
	}
}

func (f *ferry) cacheStored(server, group, shared int) {
	f.cacheSeqs[server]++
	e := routing.Event{Seq: f.cacheSeqs[server], Prefix: routing.Prefix{Hash: uint64(group), Tokens: shared}}
	for _, node := range f.nodes {
		node.RecordCacheEvents(f.s.engines[server].ID, []routing.Event{e}, clock(f.s.now))
	}
}

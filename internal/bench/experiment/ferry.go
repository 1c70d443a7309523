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

// This file drives the decisions of the nodes: the policies ebonyferry and oracle.

const (
	evidenceEvery = 5                      // ticks
	noticeLag     = 200 * time.Millisecond // until other nodes hear of a crash
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func clock(t time.Duration) time.Time { return epoch.Add(t) }

// ferry is a fleet of nodes that each run a Scheduler.
type ferry struct {
	s        *sim
	nodes    []*admission.Scheduler
	owners   *owners
	waiting  map[*admission.Ticket]*request
	knows    bool // lengths are known
	ticks    int
	seqs     []uint64 // of cache events, by server
	servers  map[string]int
	poisons  map[uint64]bool
	verdicts map[uint64]bool
}

func newFerry(s *sim) policy  { return startFerry(s, nodes, false) }
func newOracle(s *sim) policy { return startFerry(s, 1, true, admission.WithMargin(0)) }

func startFerry(s *sim, n int, knows bool, opts ...admission.Option) *ferry {
	f := &ferry{
		s: s, knows: knows,
		owners:   newOwners(s, n),
		waiting:  make(map[*admission.Ticket]*request),
		seqs:     make([]uint64, len(s.engines)),
		servers:  make(map[string]int),
		poisons:  make(map[uint64]bool),
		verdicts: make(map[uint64]bool),
	}
	for i, e := range s.engines {
		f.servers[e.ID] = i
	}
	in := &bundle.InForce{Bundle: bundle.Bundle{Servers: s.scenario.servers, Models: s.scenario.models}}
	for i := range n {
		own := func(server string) bool { return f.servers[server]%n == i }
		all := append([]admission.Option{admission.WithSuspectServers(own)}, opts...)
		node := admission.New("node"+strconv.Itoa(i), f.owners.of(i), all...)
		node.Configure(in, n, i)
		f.nodes = append(f.nodes, node)
	}
	f.owners.move(f.nodes)
	return f
}

func (f *ferry) node(r *request) *admission.Scheduler { return f.nodes[r.node%len(f.nodes)] }

func fingerprint(r *request) uint64 { return uint64(r.at)<<8 | uint64(r.account) }

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
		Attempt:      r.attempt,
		Exclude:      f.exclude(r),
	}
	if f.knows {
		w.KnownTokens = r.length
	}
	if r.poison {
		f.poisons[w.Fingerprint] = true
	}
	node := f.node(r)
	r.ticket = node.Offer(w, clock(f.s.now))
	f.waiting[r.ticket] = r
	f.apply(node.TakeDecided())
}

func (f *ferry) exclude(r *request) []string {
	var ids []string
	for _, i := range r.exclude {
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

// Apply sends what was granted and counts what was refused.
func (f *ferry) apply(decided []*admission.Ticket) {
	for _, t := range decided {
		r := f.waiting[t]
		delete(f.waiting, t)
		if t.Refusal != nil {
			f.s.refuse(r)
			continue
		}
		f.s.send(r, f.servers[t.Server])
	}
}

func (f *ferry) first(r *request) { f.node(r).RecordFirstToken(r.ticket, clock(f.s.now)) }

func (f *ferry) ended(r *request, out outcome) {
	node, now := f.node(r), clock(f.s.now)
	switch out {
	case finished:
		node.Done(r.ticket, admission.Finished, r.length, now)
	case turnedAway:
		node.Done(r.ticket, admission.NotRun, 0, now)
	case died:
		crash, verdicts := node.Done(r.ticket, admission.Interrupted, 0, now)
		f.count(verdicts)
		if crash != nil {
			f.spread(node, *crash, verdicts)
		}
	}
	if out == finished {
		f.apply(node.Poll(now))
	}
}

// Spread tells the other nodes of a crash and its verdicts a little later.
func (f *ferry) spread(from *admission.Scheduler, c quarantine.Crash, verdicts []quarantine.Entry) {
	f.s.after(noticeLag, func() {
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
	})
}

func (f *ferry) count(verdicts []quarantine.Entry) {
	for _, v := range verdicts {
		if f.verdicts[v.Fingerprint] {
			continue
		}
		f.verdicts[v.Fingerprint] = true
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
	if f.ticks%evidenceEvery == 0 {
		f.collect(now)
	}
	if f.ticks%int(time.Second/tickInterval) == 0 && f.s.storeUp {
		f.owners.move(f.nodes)
	}
	for _, node := range f.nodes {
		f.apply(node.Poll(now))
	}
}

// Collect gives each node what it saw of the tokens of each server.
func (f *ferry) collect(now time.Time) {
	for _, e := range f.s.engines {
		for i, node := range f.nodes {
			var ev warmup.Evidence
			for j := i; j < nodes; j += len(f.nodes) {
				m := &e.byNode[j]
				ev.Tokens += m.tokens
				ev.Late += m.late
				ev.FirstTokens += m.firsts
				ev.GapSum += m.gapSum
				*m = nodeMeter{running: m.running}
			}
			if ev.Tokens+ev.FirstTokens > 0 {
				node.RecordEvidence(e.ID, ev, now)
			}
		}
	}
}

func (f *ferry) report(snap snapshot) {
	r := warmup.Report{
		BootID:    strconv.Itoa(snap.boot),
		SampledAt: clock(snap.sampledAt),
		Running:   snap.running,
		Waiting:   snap.waiting,
	}
	for _, node := range f.nodes {
		node.RecordLoadReport(f.s.engines[snap.server].ID, r, false, clock(f.s.now))
	}
}

func (f *ferry) stored(server, group, shared int) {
	f.seqs[server]++
	e := routing.Event{Seq: f.seqs[server], Prefix: routing.Prefix{Hash: uint64(group), Tokens: shared}}
	for _, node := range f.nodes {
		node.RecordCacheEvents(f.s.engines[server].ID, []routing.Event{e}, clock(f.s.now))
	}
}

// Package experiment measures the admission decisions in virtual time.
//
// An experiment draws one list of arrivals from a seed and runs it under each policy against the same model of
// engines: continuous batching with limited memory, preemption, a prefix cache and cold starts. The policy
// ebonyferry is the code that nodes run, as eight nodes that each see their own streams, late reports and a
// leased part of each server. The others are the usual baselines and an oracle that knows the lengths. There is
// no network, no process and no store: their faults are tested elsewhere.
package experiment

import (
	"container/heap"
	"time"

	"ebonyferry/internal/core/bundle"
)

const (
	nodes        = 8
	targetFirst  = 1900 * time.Millisecond
	targetGap    = 74 * time.Millisecond
	tickInterval = 50 * time.Millisecond
	reportEvery  = time.Second
	reportLag    = time.Second
	resendAfter  = time.Second
	maxAttempts  = 2 // of a node after the first, when engines turn a request away
	askAgain     = 5 * time.Second
	maxTries     = 6 // that a caller makes when engines die under its request
)

// policy decides where requests run.
type policy interface {
	arrive(r *request)
	first(r *request)
	ended(r *request, out outcome)
	tick()
	report(e snapshot)
	stored(server int, group, shared int)
}

// outcome is how an attempt ended.
type outcome int

const (
	finished outcome = iota
	died
	turnedAway // by the engine, before it ran
)

// snapshot is a load report on its way.
type snapshot struct {
	server, boot, running, waiting int
	sampledAt                      time.Duration
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int // orders events of the same time
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// sim runs one list of arrivals under one policy.
type sim struct {
	scenario *scenario
	now      time.Duration
	events   events
	seq      int
	engines  []*engine
	policy   policy
	figures  Figures
	open     int // requests that are not yet answered
	arriving bool
	storeUp  bool
	lossSeed uint64       // of lost cache events
	move     *moveTracker // nil without a move
}

// scenario is one list of arrivals with the servers and what befalls them.
type scenario struct {
	servers  []bundle.Server
	models   []bundle.Model
	accounts int
	arrivals []*request
	end      time.Duration // of arrivals
	cold     bool          // servers start cold
	turnCold time.Duration // when a third of the servers restarts; zero for never
	downFrom time.Duration // store outage
	downTo   time.Duration
	moved    string // failure domain that is taken out and put back; empty for none
	bully    int    // account whose requests do not count in the factor; -1 for none
}

func run(sc *scenario, start func(*sim) policy) *Figures {
	s := &sim{scenario: sc, arriving: true, storeUp: true}
	s.figures.init(sc)
	for i, cfg := range sc.servers {
		s.engines = append(s.engines, newEngine(s, i, cfg, sc.cold))
	}
	s.policy = start(s)
	s.schedule()
	for len(s.events) > 0 && (s.arriving || s.open > 0) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.figures.close(sc)
	s.move.close(&s.figures)
	return &s.figures
}

func (s *sim) at(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, do: do})
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

func (s *sim) every(d time.Duration, do func()) {
	s.after(d, func() {
		do()
		s.every(d, do)
	})
}

func (s *sim) schedule() {
	sc := s.scenario
	s.arriveFrom(0)
	s.every(tickInterval, func() { s.policy.tick() })
	s.every(reportEvery, s.sample)
	s.at(sc.end, func() { s.arriving = false })
	s.planMove()
	if sc.turnCold > 0 {
		s.at(sc.turnCold, s.restartThird)
	}
	if sc.downTo > 0 {
		s.at(sc.downFrom, func() { s.storeUp = false })
		s.at(sc.downTo, func() { s.storeUp = true })
	}
}

// Schedules the arrivals one after the other, so that the heap stays small.
func (s *sim) arriveFrom(i int) {
	if i == len(s.scenario.arrivals) {
		return
	}
	r := *s.scenario.arrivals[i] // policies do not share state
	s.at(r.at, func() {
		s.open++
		s.figures.Requests++
		s.offer(&r)
		s.arriveFrom(i + 1)
	})
}

func (s *sim) offer(r *request) {
	r.tries++
	s.figures.attempts++
	r.sentAt, r.firstAt, r.late, r.server = s.now, 0, 0, -1
	r.attempt, r.exclude = 0, nil
	r.deadline = s.now + targetFirst
	s.policy.arrive(r)
}

func (s *sim) restartThird() {
	for i, e := range s.engines {
		if i%3 == 0 {
			e.crash()
		}
	}
}

// Sample takes a report of each engine, which arrives later.
func (s *sim) sample() {
	for _, e := range s.engines {
		if s.now < e.downUntil {
			continue
		}
		snap := snapshot{e.index, e.boot, len(e.running), len(e.waiting), s.now}
		s.after(reportLag, func() { s.policy.report(snap) })
	}
}

// CacheStored tells the nodes late that an engine has cached a prefix. One event in ten is lost.
func (s *sim) cacheStored(e *engine, r *request) {
	s.lossSeed = s.lossSeed*6364136223846793005 + 1442695040888963407
	if s.lossSeed>>33%10 == 0 {
		return
	}
	group, shared := r.group, r.shared
	s.after(2*reportLag, func() { s.policy.stored(e.index, group, shared) })
}

// Send puts r on the engine that the policy chose.
func (s *sim) send(r *request, server int) {
	r.server = server
	s.move.sent(s.engines[server])
	if !s.engines[server].accept(r) {
		s.after(0, func() { s.turnedAway(r, server) })
	}
}

// TurnedAway lets the node try again elsewhere.
func (s *sim) turnedAway(r *request, server int) {
	s.policy.ended(r, turnedAway)
	r.server = -1
	if r.attempt >= maxAttempts {
		s.refuse(r)
		return
	}
	r.attempt++
	r.exclude = append(r.exclude, server)
	s.policy.arrive(r)
}

// Refuse ends a request, unless it is one that crashes engines: its caller asks again.
func (s *sim) refuse(r *request) {
	if r.poison && r.tries < maxTries {
		s.after(askAgain, func() { s.offer(r) })
		return
	}
	s.open--
	s.move.refused()
	s.figures.Refused++
}

func (s *sim) first(r *request) {
	r.firstAt = s.now
	s.figures.first(r, s.now-r.sentAt)
	s.move.first(s.now - r.sentAt)
	s.policy.first(r)
}

func (s *sim) gaps(gap time.Duration, n int) { s.figures.gap(gap, n) }

func (s *sim) finished(r *request) {
	s.open--
	s.figures.completed(r)
	s.policy.ended(r, finished)
}

// Died tells the policy that an engine died under r. Its caller sends it again a little later.
func (s *sim) died(r *request) {
	s.policy.ended(r, died)
	s.move.died()
	if r.tries >= maxTries {
		s.open--
		s.figures.Failed++
		return
	}
	again := *r
	s.after(resendAfter, func() {
		again.node = (again.node + 1) % nodes
		s.offer(&again)
	})
}

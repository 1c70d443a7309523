// Package experiment compares admission policies in a simulation in virtual time.
//
// An experiment draws one list of arrivals from a seed and runs it under each policy against the same simulated
// engines, which have continuous batching with limited memory, preemption, a prefix cache and cold starts. The policy
// ebonyferry runs the schedulers of eight nodes. Each node observes its own streams and delayed load reports, and uses
// its slice of each server. The other policies are the usual baselines, and an oracle that is given the answer lengths.
// There is no network, process or store: other packages test their faults.
//
// [Find] returns an [Experiment] by name, and [Experiment.Run] returns its [Result], which can be written as JSON, as a
// table or as a plot. The same seed always gives the same result.
package experiment

import (
	"container/heap"
	"time"

	"ebonyferry/internal/core/bundle"
)

const (
	nodes             = 8
	targetFirst       = 1900 * time.Millisecond // for the first token
	targetGap         = 74 * time.Millisecond   // between tokens
	tickInterval      = 50 * time.Millisecond
	reportInterval    = time.Second
	reportLag         = time.Second
	crashRetryDelay   = time.Second
	maxNodeRetries    = 2 // of a node, after rejections by engines
	refusedRetryDelay = 5 * time.Second
	maxCallerAttempts = 6 // of a caller: after crashes, and after refusals of a poison request
)

// policy decides on which servers requests run.
type policy interface {
	arrive(r *request)
	firstToken(r *request)
	ended(r *request, out outcome)
	tick()
	loadReport(e snapshot)
	cacheStored(server int, group, shared int)
}

// outcome is how an attempt ended.
type outcome int

const (
	finished outcome = iota
	interrupted
	rejected // by the engine, without running
)

// snapshot is a load report in transit.
type snapshot struct {
	server, bootID, running, waiting int
	sampledAt                        time.Duration
}

// event is a function to run at a virtual time.
type event struct {
	at  time.Duration
	seq int // orders events at the same time
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

// sim simulates one scenario under one policy.
type sim struct {
	scenario   *scenario
	now        time.Duration
	events     events
	seq        int
	engines    []*engine
	policy     policy
	figures    Figures
	unanswered int // requests that are not yet answered
	arriving   bool
	storeUp    bool
	lossState  uint64       // of the random numbers that decide which cache events are lost
	move       *moveTracker // nil without a move
}

// scenario is a list of arrivals, with the servers and their faults.
type scenario struct {
	servers       []bundle.Server
	models        []bundle.Model
	accounts      int
	arrivals      []*request
	end           time.Duration // of arrivals
	startCold     bool          // servers start cold
	restartAt     time.Duration // when a third of the servers restart; zero for never
	storeDownFrom time.Duration // store outage
	storeDownTo   time.Duration
	movedDomain   string // failure domain that is taken out of service and put back; empty for none
	bully         int    // account left out of BullyFactor; -1 for none
}

func run(sc *scenario, start func(*sim) policy) *Figures {
	s := &sim{scenario: sc, arriving: true, storeUp: true}
	s.figures.init(sc)
	for i, cfg := range sc.servers {
		s.engines = append(s.engines, newEngine(s, i, cfg, sc.startCold))
	}
	s.policy = start(s)
	s.scheduleEvents()
	for len(s.events) > 0 && (s.arriving || s.unanswered > 0) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.figures.summarize(sc)
	s.move.summarize(&s.figures)
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

func (s *sim) scheduleEvents() {
	sc := s.scenario
	s.arriveFrom(0)
	s.every(tickInterval, func() { s.policy.tick() })
	s.every(reportInterval, s.sample)
	s.at(sc.end, func() { s.arriving = false })
	s.planMove()
	if sc.restartAt > 0 {
		s.at(sc.restartAt, s.restartThird)
	}
	if sc.storeDownTo > 0 {
		s.at(sc.storeDownFrom, func() { s.storeUp = false })
		s.at(sc.storeDownTo, func() { s.storeUp = true })
	}
}

// arriveFrom schedules arrival i, which schedules the next one. This keeps the heap small.
func (s *sim) arriveFrom(i int) {
	if i == len(s.scenario.arrivals) {
		return
	}
	r := *s.scenario.arrivals[i] // runs of several policies share the arrivals
	s.at(r.arrivesAt, func() {
		s.unanswered++
		s.figures.Requests++
		s.offer(&r)
		s.arriveFrom(i + 1)
	})
}

// offer starts an attempt of a caller.
func (s *sim) offer(r *request) {
	r.callerAttempts++
	s.figures.attempts++
	r.sentAt, r.firstTokenAt, r.lateGaps, r.server = s.now, 0, 0, -1
	r.nodeAttempt, r.excluded = 0, nil
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

// sample takes a load report of each running engine. It arrives at the policy after reportLag.
func (s *sim) sample() {
	for _, e := range s.engines {
		if s.now < e.downUntil {
			continue
		}
		snap := snapshot{e.index, e.bootID, len(e.running), len(e.waiting), s.now}
		s.after(reportLag, func() { s.policy.loadReport(snap) })
	}
}

// cacheStored sends the policy a delayed event that an engine has cached a prefix. One event in ten is lost.
func (s *sim) cacheStored(e *engine, r *request) {
	s.lossState = s.lossState*6364136223846793005 + 1442695040888963407
	if s.lossState>>33%10 == 0 {
		return
	}
	group, shared := r.group, r.shared
	s.after(2*reportLag, func() { s.policy.cacheStored(e.index, group, shared) })
}

// send submits r to the engine that the policy chose.
func (s *sim) send(r *request, server int) {
	r.server = server
	s.move.recordSent(s.engines[server])
	if !s.engines[server].accept(r) {
		s.after(0, func() { s.rejected(r, server) })
	}
}

// rejected makes the node retry on another server.
func (s *sim) rejected(r *request, server int) {
	s.policy.ended(r, rejected)
	r.server = -1
	if r.nodeAttempt >= maxNodeRetries {
		s.refuse(r)
		return
	}
	r.nodeAttempt++
	r.excluded = append(r.excluded, server)
	s.policy.arrive(r)
}

// refuse ends a request. The caller of a poison request sends it again instead, until it runs out of attempts.
func (s *sim) refuse(r *request) {
	if r.poison && r.callerAttempts < maxCallerAttempts {
		s.after(refusedRetryDelay, func() { s.offer(r) })
		return
	}
	s.unanswered--
	s.move.recordRefused()
	s.figures.Refused++
}

func (s *sim) firstToken(r *request) {
	r.firstTokenAt = s.now
	s.figures.recordFirstToken(r, s.now-r.sentAt)
	s.move.recordFirstToken(s.now - r.sentAt)
	s.policy.firstToken(r)
}

func (s *sim) recordGaps(gap time.Duration, n int) { s.figures.recordGaps(gap, n) }

func (s *sim) finished(r *request) {
	s.unanswered--
	s.figures.recordCompleted(r)
	s.policy.ended(r, finished)
}

// interrupted reports to the policy that an engine crashed under r. The caller sends r to another node after
// crashRetryDelay.
func (s *sim) interrupted(r *request) {
	s.policy.ended(r, interrupted)
	s.move.recordLost()
	if r.callerAttempts >= maxCallerAttempts {
		s.unanswered--
		s.figures.Failed++
		return
	}
	again := *r
	s.after(crashRetryDelay, func() {
		again.node = (again.node + 1) % nodes
		s.offer(&again)
	})
}

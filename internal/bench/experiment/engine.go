package experiment

import (
	"slices"
	"time"

	"ebonyferry/internal/core/bundle"
)

// This file defines the model of an engine: continuous batching in steps, with limited memory.

const (
	stepBase      = 18 * time.Millisecond
	stepPerStream = 200 * time.Microsecond
	stepPerPrompt = 12 * time.Microsecond // per prompt token computed in the step
	promptsAStep  = 1024                  // prompt tokens after which a step admits no further stream
	batchLimit    = 256                   // streams that the engine itself runs at once
	queueLimit    = 256                   // streams that wait inside the engine before it refuses
	restartTime   = 5 * time.Second
	warmTokens    = 60_000 // tokens served from cold until warm
	fallsOver     = 1.15   // streams relative to what a cold engine bears at which it falls over
	strained      = 0.6    // the same from which its steps become longer
	cachedGroups  = 48     // prompt prefixes in the engine's cache
)

// stream is a request on an engine.
type stream struct {
	r      *request
	done   int           // tokens generated before it joined the batch
	joined int           // value of engine.steps then
	held   int           // tokens in memory at that time, without those generated since
	late   int           // value of engine.lateSteps then
	lastAt time.Duration // of the latest token, while it is not in the batch
	in     bool          // in the batch
}

// engine is one model engine in virtual time.
type engine struct {
	bundle.Server
	index int
	sim   *sim

	running   []*stream // in order of joining
	waiting   []*stream
	joining   int // of running, at the end: those whose prompt is computed in this step
	used      int // tokens of memory
	steps     int
	lateSteps int
	nextEnd   int // no stream ends before this step
	busy      bool
	lastEnd   time.Duration
	boot      int
	downUntil time.Duration
	bears     float64 // streams; MaxStreams when warm
	byNode    []nodeMeter
	cache     []int // prefix groups, latest last
	stepTime  time.Duration
}

// nodeMeter is what one node sees of an engine's tokens.
type nodeMeter struct {
	running, tokens, late, firsts int
	gapSum                        time.Duration
}

func newEngine(s *sim, i int, cfg bundle.Server, cold bool) *engine {
	e := &engine{Server: cfg, index: i, sim: s, bears: float64(cfg.MaxStreams), byNode: make([]nodeMeter, nodes)}
	if cold {
		e.bears = float64(cfg.ColdStreams)
	}
	return e
}

func (e *engine) warm() bool { return e.bears >= float64(e.MaxStreams) }

// Accept takes a request, unless the engine is down or full.
func (e *engine) accept(r *request) bool {
	if e.sim.now < e.downUntil || len(e.waiting) >= queueLimit {
		return false
	}
	r.stream = &stream{r: r}
	e.waiting = append(e.waiting, r.stream)
	e.checkCold()
	if !e.busy && e.sim.now >= e.downUntil {
		e.begin()
	}
	return true
}

// A cold engine falls over when it is given more than it bears.
func (e *engine) checkCold() {
	if e.warm() {
		return
	}
	if n := len(e.running) + len(e.waiting); float64(n) > fallsOver*e.bears+1e-9 {
		e.sim.figures.ColdOverloads++
		e.crash()
	}
}

// Crash loses all streams; the engine comes back cold.
func (e *engine) crash() {
	lost := slices.Concat(e.running, e.waiting)
	e.running, e.waiting, e.joining, e.used = nil, nil, 0, 0
	e.cache = nil
	e.boot++
	e.busy = false
	e.downUntil = e.sim.now + restartTime
	e.bears = float64(e.ColdStreams)
	for i := range e.byNode {
		e.byNode[i].running = 0
	}
	for _, st := range lost {
		e.sim.died(st.r)
	}
}

// Begin starts a step: it makes room, admits waiting streams and schedules the end.
func (e *engine) begin() {
	preempted := e.makeRoom()
	prompts := 0
	e.joining = 0
	for !preempted && len(e.waiting) > 0 && prompts < promptsAStep && len(e.running) < batchLimit {
		st := e.waiting[0]
		need := st.r.prompt + st.done
		if e.used+need+len(e.running)+1 > e.MemoryTokens && len(e.running) > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		prompts += e.compute(st)
		e.join(st, need)
	}
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	e.stepTime = e.duration(prompts)
	boot := e.boot
	e.sim.after(e.stepTime, func() {
		if e.boot == boot {
			e.end()
		}
	})
}

// MakeRoom preempts the youngest streams until the batch can grow by one token each.
func (e *engine) makeRoom() bool {
	preempted := false
	for e.used+len(e.running) > e.MemoryTokens && len(e.running) > 1 {
		last := len(e.running) - 1
		st := e.running[last]
		e.running = e.running[:last]
		made := e.steps - st.joined
		e.used -= st.held + made
		e.byNode[st.r.node].running--
		st.r.late += e.lateSteps - st.late
		st.done += made
		st.lastAt, st.in = e.lastEnd, false
		e.waiting = slices.Insert(e.waiting, 0, st)
		e.sim.figures.Preemptions++
		preempted = true
	}
	return preempted
}

// Compute returns the prompt tokens that the engine must compute to admit st: those generated before a
// preemption too, but not a cached prefix.
func (e *engine) compute(st *stream) int {
	n := st.r.prompt + st.done
	if i := slices.Index(e.cache, st.r.group); i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
		n -= st.r.shared
	} else {
		e.sim.cacheStored(e, st.r)
	}
	e.cache = append(e.cache, st.r.group)
	if len(e.cache) > cachedGroups {
		e.cache = e.cache[1:]
	}
	return n
}

func (e *engine) join(st *stream, held int) {
	st.joined, st.held, st.late, st.in = e.steps, held, e.lateSteps, true
	e.used += held
	e.running = append(e.running, st)
	e.byNode[st.r.node].running++
	e.joining++
	if end := e.endOf(st); len(e.running) == 1 || end < e.nextEnd {
		e.nextEnd = end
	}
}

// EndOf returns the step in which a stream of the batch has its last token.
func (e *engine) endOf(st *stream) int { return st.joined + st.r.stopsAt() - st.done }

func (e *engine) duration(prompts int) time.Duration {
	d := stepBase + time.Duration(len(e.running))*stepPerStream
	if !e.warm() {
		strain := (float64(len(e.running))/e.bears - strained) / (1 - strained)
		if strain = min(strain, 1); strain > 0 && d < targetGap {
			d += time.Duration(strain * float64(targetGap-d))
		}
	}
	return d + time.Duration(prompts)*stepPerPrompt
}

// End gives each stream of the batch its token.
func (e *engine) end() {
	now, n := e.sim.now, len(e.running)
	late := e.stepTime > targetGap
	e.steps++
	if late {
		e.lateSteps++
	}
	e.lastEnd = now
	e.used += n
	if !e.warm() {
		e.bears += float64(n) * float64(e.MaxStreams-e.ColdStreams) / warmTokens
	}
	e.sim.gaps(e.stepTime, n-e.joining)
	for i := range e.byNode {
		m := &e.byNode[i]
		m.tokens += m.running
		m.gapSum += time.Duration(m.running) * e.stepTime
		if late {
			m.late += m.running
		}
	}
	for _, st := range e.running[n-e.joining:] {
		e.joined(st, now, late)
	}
	if e.steps >= e.nextEnd && !e.finish() {
		return
	}
	e.begin()
}

// Joined takes back what end counted for a stream that had no token one step before, and counts its first
// token or the gap of its preemption.
func (e *engine) joined(st *stream, now time.Duration, late bool) {
	m := &e.byNode[st.r.node]
	m.tokens--
	m.gapSum -= e.stepTime
	if late {
		m.late--
		st.late++
	}
	if st.done == 0 {
		m.firsts++
		e.sim.first(st.r)
		return
	}
	gap := now - st.lastAt
	e.sim.gaps(gap, 1)
	m.tokens++
	m.gapSum += gap
	if gap > targetGap {
		m.late++
		st.r.late++
	}
}

// Finish ends the streams that have their last token. It reports false when one of them crashed the engine.
func (e *engine) finish() bool {
	for _, st := range e.running {
		if st.r.poison && e.endOf(st) <= e.steps {
			e.sim.figures.Crashes++
			e.crash()
			return false
		}
	}
	var ended []*stream
	keep := e.running[:0]
	e.nextEnd = int(^uint(0) >> 1)
	for _, st := range e.running {
		if end := e.endOf(st); end > e.steps {
			e.nextEnd = min(e.nextEnd, end)
			keep = append(keep, st)
			continue
		}
		e.used -= st.held + e.steps - st.joined
		e.byNode[st.r.node].running--
		st.r.late += e.lateSteps - st.late
		ended = append(ended, st)
	}
	clear(e.running[len(keep):])
	e.running = keep
	for _, st := range ended {
		e.sim.finished(st.r)
	}
	return true
}

// Progress returns the tokens that a stream has had so far.
func (e *engine) progress(st *stream) int {
	if !st.in {
		return st.done
	}
	return st.done + e.steps - st.joined
}

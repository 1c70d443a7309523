// This file simulates an engine: continuous batching in steps, with limited memory.

package experiment

import (
	"slices"
	"time"

	"ebonyferry/internal/core/bundle"
)

const (
	stepBase            = 18 * time.Millisecond
	stepPerStream       = 200 * time.Microsecond
	stepPerPrompt       = 12 * time.Microsecond // per prompt token computed in the step
	promptTokensPerStep = 1024                  // number of prompt tokens after which a step admits no further stream
	batchLimit          = 256                   // streams that the engine runs at a time
	queueLimit          = 256                   // waiting streams at which the engine rejects requests
	restartTime         = 5 * time.Second
	warmTokens          = 60_000 // tokens that a cold engine generates until it is warm
	coldOverloadFactor  = 1.15   // streams relative to its capacity above which a cold engine crashes
	slowdownStart       = 0.6    // streams relative to its capacity from which its steps become longer
	cacheLimit          = 48     // number of prompt prefixes in the cache of an engine
)

// stream is a request on an engine.
type stream struct {
	r               *request
	generated       int           // tokens generated before it joined the batch
	joinedStep      int           // engine.steps when it joined
	memoryAtJoin    int           // tokens in memory when it joined
	lateStepsAtJoin int           // engine.lateSteps when it joined
	lastTokenAt     time.Duration // set when it is preempted
	inBatch         bool
}

// engine is a simulated engine in virtual time.
type engine struct {
	bundle.Server
	index int
	sim   *sim

	running         []*stream // in order of joining
	waiting         []*stream
	joining         int // number of streams at the end of running whose prompt is computed in this step
	memoryUsed      int // tokens
	steps           int
	lateSteps       int
	nextFinishStep  int // earliest step in which a stream ends
	busy            bool
	lastStepEndedAt time.Duration
	bootID          int
	downUntil       time.Duration
	capacity        float64 // streams; reaches MaxStreams when the engine is warm
	meters          []nodeMeter
	cachedGroups    []int // groups whose prefix is cached, least recently used first
	stepTime        time.Duration
}

// nodeMeter counts the tokens of an engine that one node receives.
type nodeMeter struct {
	running, tokens, lateGaps, firstTokens int
	gapSum                                 time.Duration
}

func newEngine(s *sim, i int, cfg bundle.Server, cold bool) *engine {
	e := &engine{Server: cfg, index: i, sim: s, capacity: float64(cfg.MaxStreams), meters: make([]nodeMeter, nodes)}
	if cold {
		e.capacity = float64(cfg.ColdStreams)
	}
	return e
}

func (e *engine) warm() bool { return e.capacity >= float64(e.MaxStreams) }

// accept adds r to the queue. It returns false if the engine is down or its queue is full.
func (e *engine) accept(r *request) bool {
	if e.sim.now < e.downUntil || len(e.waiting) >= queueLimit {
		return false
	}
	r.stream = &stream{r: r}
	e.waiting = append(e.waiting, r.stream)
	e.checkCold()
	if !e.busy && e.sim.now >= e.downUntil {
		e.beginStep()
	}
	return true
}

// checkCold crashes a cold engine that has more streams than it can run.
func (e *engine) checkCold() {
	if e.warm() {
		return
	}
	if n := len(e.running) + len(e.waiting); float64(n) > coldOverloadFactor*e.capacity+1e-9 {
		e.sim.figures.ColdOverloads++
		e.crash()
	}
}

// crash interrupts all streams. The engine is cold when it restarts.
func (e *engine) crash() {
	lost := slices.Concat(e.running, e.waiting)
	e.running, e.waiting, e.joining, e.memoryUsed = nil, nil, 0, 0
	e.cachedGroups = nil
	e.bootID++
	e.busy = false
	e.downUntil = e.sim.now + restartTime
	e.capacity = float64(e.ColdStreams)
	for i := range e.meters {
		e.meters[i].running = 0
	}
	for _, st := range lost {
		e.sim.interrupted(st.r)
	}
}

// beginStep preempts streams if memory is short, admits waiting streams and schedules the end of the step.
func (e *engine) beginStep() {
	preempted := e.preempt()
	prompts := 0
	e.joining = 0
	for !preempted && len(e.waiting) > 0 && prompts < promptTokensPerStep && len(e.running) < batchLimit {
		st := e.waiting[0]
		need := st.r.prompt + st.generated
		if e.memoryUsed+need+len(e.running)+1 > e.MemoryTokens && len(e.running) > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		prompts += e.admitPrompt(st)
		e.addToBatch(st, need)
	}
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	e.stepTime = e.stepDuration(prompts)
	boot := e.bootID
	e.sim.after(e.stepTime, func() {
		if e.bootID == boot {
			e.endStep()
		}
	})
}

// preempt removes the streams that joined last from the batch until each remaining one can grow by a token. It
// reports whether it removed any.
func (e *engine) preempt() bool {
	preempted := false
	for e.memoryUsed+len(e.running) > e.MemoryTokens && len(e.running) > 1 {
		last := len(e.running) - 1
		st := e.running[last]
		e.running = e.running[:last]
		sinceJoin := e.steps - st.joinedStep
		e.memoryUsed -= st.memoryAtJoin + sinceJoin
		e.meters[st.r.node].running--
		st.r.lateGaps += e.lateSteps - st.lateStepsAtJoin
		st.generated += sinceJoin
		st.lastTokenAt, st.inBatch = e.lastStepEndedAt, false
		e.waiting = slices.Insert(e.waiting, 0, st)
		e.sim.figures.Preemptions++
		preempted = true
	}
	return preempted
}

// admitPrompt caches the prefix of st's prompt and returns the number of tokens that the engine must compute to admit
// st. They include tokens generated before a preemption, but not a cached prefix.
func (e *engine) admitPrompt(st *stream) int {
	n := st.r.prompt + st.generated
	if i := slices.Index(e.cachedGroups, st.r.group); i >= 0 {
		e.cachedGroups = slices.Delete(e.cachedGroups, i, i+1)
		n -= st.r.shared
	} else {
		e.sim.cacheStored(e, st.r)
	}
	e.cachedGroups = append(e.cachedGroups, st.r.group)
	if len(e.cachedGroups) > cacheLimit {
		e.cachedGroups = e.cachedGroups[1:]
	}
	return n
}

func (e *engine) addToBatch(st *stream, memory int) {
	st.joinedStep, st.memoryAtJoin, st.lateStepsAtJoin, st.inBatch = e.steps, memory, e.lateSteps, true
	e.memoryUsed += memory
	e.running = append(e.running, st)
	e.meters[st.r.node].running++
	e.joining++
	if end := e.lastStep(st); len(e.running) == 1 || end < e.nextFinishStep {
		e.nextFinishStep = end
	}
}

// lastStep returns the step that generates the last token of a stream of the batch.
func (e *engine) lastStep(st *stream) int { return st.joinedStep + st.r.stopsAt() - st.generated }

// stepDuration returns the duration of a step. Above slowdownStart of its capacity, a cold engine's steps lengthen until
// they reach targetGap at its full capacity.
func (e *engine) stepDuration(prompts int) time.Duration {
	d := stepBase + time.Duration(len(e.running))*stepPerStream
	if !e.warm() {
		strain := (float64(len(e.running))/e.capacity - slowdownStart) / (1 - slowdownStart)
		if strain = min(strain, 1); strain > 0 && d < targetGap {
			d += time.Duration(strain * float64(targetGap-d))
		}
	}
	return d + time.Duration(prompts)*stepPerPrompt
}

// endStep generates a token for each stream of the batch.
func (e *engine) endStep() {
	now, n := e.sim.now, len(e.running)
	late := e.stepTime > targetGap
	e.steps++
	if late {
		e.lateSteps++
	}
	e.lastStepEndedAt = now
	e.memoryUsed += n
	if !e.warm() {
		e.capacity += float64(n) * float64(e.MaxStreams-e.ColdStreams) / warmTokens
	}
	e.sim.recordGaps(e.stepTime, n-e.joining)
	for i := range e.meters {
		m := &e.meters[i]
		m.tokens += m.running
		m.gapSum += time.Duration(m.running) * e.stepTime
		if late {
			m.lateGaps += m.running
		}
	}
	for _, st := range e.running[n-e.joining:] {
		e.recordJoined(st, now, late)
	}
	if e.steps >= e.nextFinishStep && !e.removeFinished() {
		return
	}
	e.beginStep()
}

// recordJoined corrects the counts of endStep for a stream that joined in this step: the time since its last token is
// not the step time. It counts the first token of the stream, or the gap that its preemption caused.
func (e *engine) recordJoined(st *stream, now time.Duration, late bool) {
	m := &e.meters[st.r.node]
	m.tokens--
	m.gapSum -= e.stepTime
	if late {
		m.lateGaps--
		st.lateStepsAtJoin++
	}
	if st.generated == 0 {
		m.firstTokens++
		e.sim.firstToken(st.r)
		return
	}
	gap := now - st.lastTokenAt
	e.sim.recordGaps(gap, 1)
	m.tokens++
	m.gapSum += gap
	if gap > targetGap {
		m.lateGaps++
		st.r.lateGaps++
	}
}

// removeFinished ends the streams that have their last token. It returns false if one of them crashed the engine.
func (e *engine) removeFinished() bool {
	for _, st := range e.running {
		if st.r.poison && e.lastStep(st) <= e.steps {
			e.sim.figures.Crashes++
			e.crash()
			return false
		}
	}
	var ended []*stream
	keep := e.running[:0]
	e.nextFinishStep = int(^uint(0) >> 1)
	for _, st := range e.running {
		if end := e.lastStep(st); end > e.steps {
			e.nextFinishStep = min(e.nextFinishStep, end)
			keep = append(keep, st)
			continue
		}
		e.memoryUsed -= st.memoryAtJoin + e.steps - st.joinedStep
		e.meters[st.r.node].running--
		st.r.lateGaps += e.lateSteps - st.lateStepsAtJoin
		ended = append(ended, st)
	}
	clear(e.running[len(keep):])
	e.running = keep
	for _, st := range ended {
		e.sim.finished(st.r)
	}
	return true
}

// progress returns the number of tokens generated for a stream so far.
func (e *engine) progress(st *stream) int {
	if !st.inBatch {
		return st.generated
	}
	return st.generated + e.steps - st.joinedStep
}

package engine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/engine"
)

// This file defines the decode loop: admission to the batch, steps, preemption, warm-up.

// Factors by which a cold engine is slower.
const (
	coldSlowdown     = 1.0 // added to a step's time when cold, falling to zero when warm
	overloadSlowdown = 2.0 // added while it has more streams than it bears
)

const coldNotice = 2 * time.Second

// boot is all that an engine loses when it goes down. All fields are guarded by Engine.mu, but for those set
// once at the start.
type boot struct {
	id        string
	ctx       context.Context // ends with the boot
	cancel    context.CancelFunc
	startedAt time.Time
	wake      chan struct{} // tells the decode loop of new work

	generations map[string]*generation // also finished ones, while they are kept
	waiting     []*generation          // sorted by precedes
	running     []*generation
	ended       []*generation // in order of endedAt
	used        int           // token memory in use by running
	steps       int
	preemptions int
	worked      time.Duration // decoding time, for warm-up
	overSince   time.Time     // since when there are more streams than a cold engine bears
	exempt      int           // streams from before it turned cold, which it bears
	noticeUntil time.Time     // until when it bears what comes after it turned cold
	reports     []engine.Load // oldest first
	cache       *prefixCache
	cacheLog    []cacheRecord
	cacheWake   chan struct{} // closed and replaced when cacheLog grows
}

// streams returns the number of streams on the engine.
func (b *boot) streams() int { return len(b.running) + len(b.waiting) }

// generation is one stream's state. Its fields are guarded by Engine.mu, but for those set once at the start.
type generation struct {
	id           string
	serial       int // order of arrival in this boot
	model        bundle.ModelVersion
	prompt       string
	promptTokens int
	priority     int
	seed         uint64
	length       int // tokens in the whole answer
	reason       string
	crashAt      int // crashes the engine once this many tokens are made; negative means never

	made        int       // tokens made so far
	ended       bool      // finished or canceled
	canceled    bool      // ended without being finished
	endedAt     time.Time // when it ended
	preemptedAt time.Time // zero while not preempted
	readers     int
	leftAt      time.Time     // when the last reader left
	changed     chan struct{} // closed and replaced whenever the fields above change
}

// size is the token memory that the stream uses while it runs.
func (g *generation) size() int { return g.promptTokens + g.made }

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// precedes orders waiting streams: by priority, then preempted ones, then by arrival.
func precedes(x, y *generation) int {
	return cmp.Or(cmp.Compare(y.priority, x.priority), compareBool(!x.preemptedAt.IsZero(), !y.preemptedAt.IsZero()), cmp.Compare(x.serial, y.serial))
}

// compareBool orders true before false.
func compareBool(x, y bool) int {
	if x == y {
		return 0
	}
	if x {
		return -1
	}
	return 1
}

// Runs decode steps until the boot ends.
func (e *Engine) decode(b *boot) {
	sweeper := time.NewTicker(time.Second)
	defer sweeper.Stop()
	for {
		e.mu.Lock()
		took, busy := e.beginStep(b)
		e.mu.Unlock()
		if !busy {
			select {
			case <-b.ctx.Done():
				return
			case <-b.wake:
			case <-sweeper.C:
			}
			continue
		}
		if took > 0 && !pause.For(b.ctx, took) || b.ctx.Err() != nil {
			return
		}
		e.mu.Lock()
		e.endStep(b, took)
		e.mu.Unlock()
	}
}

// Admits waiting streams and returns the time that the step takes. The caller holds e.mu.
func (e *Engine) beginStep(b *boot) (took time.Duration, busy bool) {
	e.sweep(b)
	prefill := 0
	for len(b.waiting) > 0 && len(b.running) < e.cfg.maxBatch {
		g := b.waiting[0]
		if b.used+g.size()+1 > e.cfg.memoryTokens {
			break
		}
		b.waiting = b.waiting[1:]
		b.running = append(b.running, g)
		b.used += g.size()
		prefill += g.size() - e.touchCache(b, g)
	}
	if len(b.running) == 0 {
		return 0, false
	}
	took = e.cfg.stepBase + time.Duration(len(b.running))*e.cfg.stepPerStream + time.Duration(prefill)*e.cfg.prefillToken
	return time.Duration(float64(took) * e.slowdown(b)), true
}

// Returns by how much a cold engine is slower now. The caller holds e.mu.
func (e *Engine) slowdown(b *boot) float64 {
	factor := 1 + coldSlowdown*(1-e.warmth(b))
	if b.streams() > e.bears(b) && e.warmth(b) < 1 {
		factor += overloadSlowdown
	}
	return factor
}

// Returns 0 for a cold engine up to 1 for a warm one. The caller holds e.mu.
func (e *Engine) warmth(b *boot) float64 {
	if e.cfg.coldStreams == 0 || e.cfg.warmUp == 0 {
		return 1
	}
	return min(1, float64(b.worked)/float64(e.cfg.warmUp))
}

// Returns how many streams the engine bears. The caller holds e.mu.
func (e *Engine) bears(b *boot) int {
	warmth := e.warmth(b)
	if warmth == 1 {
		return e.cfg.maxBatch + e.cfg.maxWaiting
	}
	return e.cfg.coldStreams + int(warmth*float64(e.cfg.maxBatch-e.cfg.coldStreams))
}

// Gives one token to each running stream. The caller holds e.mu.
func (e *Engine) endStep(b *boot, took time.Duration) {
	if e.boot != b || e.overloaded(b) {
		return
	}
	b.steps++
	b.worked += took
	for _, g := range slices.Clone(b.running) {
		if b.steps%slowFactor != 0 && e.badShows(b, BadSlows, g.model, g.prompt) {
			continue
		}
		if g.crashAt >= 0 && g.made >= min(g.crashAt, g.length-1) {
			e.crash()
			return
		}
		e.makeToken(b, g)
	}
	e.preempt(b)
}

// Crashes a cold engine that had too many streams for too long. The caller holds e.mu.
func (e *Engine) overloaded(b *boot) bool {
	now := time.Now()
	if now.Before(b.noticeUntil) {
		b.exempt = max(b.exempt, b.streams())
	}
	b.exempt = min(b.exempt, b.streams())
	switch {
	case e.warmth(b) == 1 || b.streams() <= max(e.bears(b), b.exempt):
		b.overSince = time.Time{}
	case b.overSince.IsZero():
		b.overSince = now
	case now.Sub(b.overSince) > e.cfg.overloadGrace:
		e.counters.ColdOverloads++
		e.crash()
		return true
	}
	return false
}

// Makes one token of a running stream. The caller holds e.mu.
func (e *Engine) makeToken(b *boot, g *generation) {
	if !g.preemptedAt.IsZero() {
		e.counters.Stall += time.Since(g.preemptedAt)
		g.preemptedAt = time.Time{}
	}
	g.made++
	b.used++
	e.counters.Tokens++
	if g.made >= g.length {
		e.counters.Finished++
		e.end(b, g)
	}
	g.notify()
}

// Evicts streams until the memory suffices: the least urgent, latest come first. A stream that alone is too
// large ends there. The caller holds e.mu.
func (e *Engine) preempt(b *boot) {
	for b.used > e.cfg.memoryTokens {
		victim := slices.MaxFunc(b.running, func(x, y *generation) int {
			return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.serial, y.serial))
		})
		if len(b.running) == 1 {
			victim.length, victim.reason = victim.made, reasonLength
			e.counters.Finished++
			e.end(b, victim)
			victim.notify()
			return
		}
		b.running = remove(b.running, victim)
		b.used -= victim.size()
		b.preemptions++
		e.counters.Preemptions++
		victim.preemptedAt = time.Now()
		e.enqueue(b, victim)
	}
}

// Puts a stream into the queue. The caller holds e.mu.
func (e *Engine) enqueue(b *boot, g *generation) {
	i, _ := slices.BinarySearchFunc(b.waiting, g, precedes)
	b.waiting = slices.Insert(b.waiting, i, g)
}

// Ends a stream, which is kept for a while for readers. The caller holds e.mu.
func (e *Engine) end(b *boot, g *generation) {
	if slices.Contains(b.running, g) {
		b.used -= g.size()
	}
	b.running = remove(b.running, g)
	b.waiting = remove(b.waiting, g)
	g.ended = true
	g.endedAt = time.Now()
	b.ended = append(b.ended, g)
}

// Cancels a stream. The caller holds e.mu.
func (e *Engine) cancel(b *boot, g *generation) {
	if g.ended {
		return
	}
	g.canceled = true
	e.counters.Canceled++
	e.end(b, g)
	g.notify()
}

// Forgets ended streams that were kept long enough and cancels those without a reader. The caller holds e.mu.
func (e *Engine) sweep(b *boot) {
	now := time.Now()
	for len(b.ended) > 0 && now.Sub(b.ended[0].endedAt) > e.cfg.keep {
		delete(b.generations, b.ended[0].id)
		b.ended = b.ended[1:]
	}
	for _, g := range slices.Concat(b.running, b.waiting) {
		if g.readers == 0 && now.Sub(g.leftAt) > e.cfg.abandonedAfter {
			e.cancel(b, g)
		}
	}
}

func remove(list []*generation, g *generation) []*generation {
	return slices.DeleteFunc(list, func(x *generation) bool { return x == g })
}

// This file defines the decode loop: admission to the batch, decode steps, preemption and warm-up.

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

// Parts of the factor by which a cold engine is slower; see slowdown.
const (
	coldSlowdown     = 1.0 // added when cold, falls to zero as the engine warms up
	overloadSlowdown = 2.0 // added while the engine has more streams than its capacity
)

// coldDetectionDelay is how long callers cannot detect that an engine turned cold. See TurnCold.
const coldDetectionDelay = 2 * time.Second

// boot is the state that an engine loses when it goes down. Fields are guarded by Engine.mu, except those set only at
// the start.
type boot struct {
	id        string
	ctx       context.Context // ends with the boot
	cancel    context.CancelFunc
	startedAt time.Time
	wake      chan struct{} // signals new work to the decode loop

	generations     map[string]*generation // by ID, including ended ones that are retained
	waiting         []*generation          // sorted by precedes
	running         []*generation
	ended           []*generation // in order of endedAt
	usedTokens      int           // token memory that running streams use
	steps           int
	preemptions     int
	decodeTime      time.Duration // total, for warm-up
	overloadedSince time.Time     // since when a cold engine has been overloaded; zero if it is not
	exempt          int           // number of streams that don't overload a cold engine; see TurnCold
	exemptUntil     time.Time     // until when streams that arrive after TurnCold are exempt
	reports         []engine.Load // oldest first
	cache           *prefixCache
	cacheLog        []cacheRecord
	cacheWake       chan struct{} // closed and replaced when cacheLog grows
}

// streams returns the number of running and waiting streams.
func (b *boot) streams() int { return len(b.running) + len(b.waiting) }

// generation is the state of one stream. Fields are guarded by Engine.mu, except those set only at the start.
type generation struct {
	id           string
	serial       int // rises with arrival in this boot, except after sweep has deleted generations
	model        bundle.ModelVersion
	prompt       string
	promptTokens int
	priority     int
	seed         uint64
	length       int // tokens in the whole answer
	reason       string
	crashAt      int // number of tokens after which the engine crashes; negative means never

	generated   int       // tokens generated so far
	ended       bool      // finished or canceled
	canceled    bool      // ended before it was finished
	endedAt     time.Time // when ended was set
	preemptedAt time.Time // zero while not preempted
	readers     int
	leftAt      time.Time     // last change of readers, or the start
	changed     chan struct{} // closed and replaced when tokens are added or the stream ends
}

// size is the token memory that the stream uses while it runs.
func (g *generation) size() int { return g.promptTokens + g.generated }

// notify wakes the readers.
func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// precedes orders waiting streams: by priority, then preempted ones first, then by arrival.
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

// decode runs decode steps until the boot ends.
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

// beginStep admits waiting streams to the batch and returns the duration of the step. busy is false if the batch is
// empty. The caller holds e.mu.
func (e *Engine) beginStep(b *boot) (took time.Duration, busy bool) {
	e.sweep(b)
	prefill := 0
	for len(b.waiting) > 0 && len(b.running) < e.cfg.maxBatch {
		g := b.waiting[0]
		if b.usedTokens+g.size()+1 > e.cfg.memoryTokens {
			break
		}
		b.waiting = b.waiting[1:]
		b.running = append(b.running, g)
		b.usedTokens += g.size()
		prefill += g.size() - e.touchCache(b, g)
	}
	if len(b.running) == 0 {
		return 0, false
	}
	took = e.cfg.stepBase + time.Duration(len(b.running))*e.cfg.stepPerStream + time.Duration(prefill)*e.cfg.prefillToken
	return time.Duration(float64(took) * e.slowdown(b)), true
}

// slowdown returns the factor by which steps take longer now, 1 when the engine is warm. The caller holds e.mu.
func (e *Engine) slowdown(b *boot) float64 {
	factor := 1 + coldSlowdown*(1-e.warmth(b))
	if b.streams() > e.capacity(b) && e.warmth(b) < 1 {
		factor += overloadSlowdown
	}
	return factor
}

// warmth returns a value from 0 for a cold engine to 1 for a warm one. The caller holds e.mu.
func (e *Engine) warmth(b *boot) float64 {
	if e.cfg.coldStreams == 0 || e.cfg.warmUp == 0 {
		return 1
	}
	return min(1, float64(b.decodeTime)/float64(e.cfg.warmUp))
}

// capacity returns the number of streams above which the engine is overloaded. The caller holds e.mu.
func (e *Engine) capacity(b *boot) int {
	warmth := e.warmth(b)
	if warmth == 1 {
		return e.cfg.maxBatch + e.cfg.maxWaiting
	}
	return e.cfg.coldStreams + int(warmth*float64(e.cfg.maxBatch-e.cfg.coldStreams))
}

// endStep generates one token for each running stream. The caller holds e.mu.
func (e *Engine) endStep(b *boot, took time.Duration) {
	if e.boot != b || e.overloaded(b) {
		return
	}
	b.steps++
	b.decodeTime += took
	for _, g := range slices.Clone(b.running) {
		if b.steps%slowFactor != 0 && e.badVersionApplies(b, BadSlows, g.model, g.prompt) {
			continue
		}
		if g.crashAt >= 0 && g.generated >= min(g.crashAt, g.length-1) {
			e.crash()
			return
		}
		e.generateToken(b, g)
	}
	e.preempt(b)
}

// overloaded reports whether a cold engine has been over its capacity for longer than the grace time, and crashes it
// then. The caller holds e.mu.
func (e *Engine) overloaded(b *boot) bool {
	now := time.Now()
	if now.Before(b.exemptUntil) {
		b.exempt = max(b.exempt, b.streams())
	}
	b.exempt = min(b.exempt, b.streams())
	switch {
	case e.warmth(b) == 1 || b.streams() <= max(e.capacity(b), b.exempt):
		b.overloadedSince = time.Time{}
	case b.overloadedSince.IsZero():
		b.overloadedSince = now
	case now.Sub(b.overloadedSince) > e.cfg.overloadGrace:
		e.counters.ColdOverloads++
		e.crash()
		return true
	}
	return false
}

// generateToken generates one token of a running stream. The caller holds e.mu.
func (e *Engine) generateToken(b *boot, g *generation) {
	if !g.preemptedAt.IsZero() {
		e.counters.Stall += time.Since(g.preemptedAt)
		g.preemptedAt = time.Time{}
	}
	g.generated++
	b.usedTokens++
	e.counters.Tokens++
	if g.generated >= g.length {
		e.counters.Finished++
		e.end(b, g)
	}
	g.notify()
}

// preempt moves streams back to the queue until the memory suffices: lowest priority first, then latest arrival. A
// stream that exceeds the memory alone is finished early. The caller holds e.mu.
func (e *Engine) preempt(b *boot) {
	for b.usedTokens > e.cfg.memoryTokens {
		victim := slices.MaxFunc(b.running, func(x, y *generation) int {
			return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(x.serial, y.serial))
		})
		if len(b.running) == 1 {
			victim.length, victim.reason = victim.generated, reasonLength
			e.counters.Finished++
			e.end(b, victim)
			victim.notify()
			return
		}
		b.running = remove(b.running, victim)
		b.usedTokens -= victim.size()
		b.preemptions++
		e.counters.Preemptions++
		victim.preemptedAt = time.Now()
		e.enqueue(b, victim)
	}
}

// enqueue adds a stream to the queue. The caller holds e.mu.
func (e *Engine) enqueue(b *boot, g *generation) {
	i, _ := slices.BinarySearchFunc(b.waiting, g, precedes)
	b.waiting = slices.Insert(b.waiting, i, g)
}

// end ends a stream. It is retained for readers until sweep deletes it. The caller holds e.mu.
func (e *Engine) end(b *boot, g *generation) {
	if slices.Contains(b.running, g) {
		b.usedTokens -= g.size()
	}
	b.running = remove(b.running, g)
	b.waiting = remove(b.waiting, g)
	g.ended = true
	g.endedAt = time.Now()
	b.ended = append(b.ended, g)
}

// cancel cancels a stream that has not ended. The caller holds e.mu.
func (e *Engine) cancel(b *boot, g *generation) {
	if g.ended {
		return
	}
	g.canceled = true
	e.counters.Canceled++
	e.end(b, g)
	g.notify()
}

// sweep deletes ended streams after the retention time and cancels streams without a reader. The caller holds e.mu.
func (e *Engine) sweep(b *boot) {
	now := time.Now()
	for len(b.ended) > 0 && now.Sub(b.ended[0].endedAt) > e.cfg.retention {
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

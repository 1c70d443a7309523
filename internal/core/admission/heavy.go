package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// This file defines which client accounts run too much in a pool.

const (
	levelLife      = 100 * time.Millisecond
	usualMemory    = 15 * time.Minute // over which the usual number of streams is taken
	usualEvidence  = time.Minute      // before which nothing counts as usual
	learnInterval  = time.Second
	unusualFactor  = 1.5  // times the usual streams from which an account runs clearly more,
	unusualStreams = 2    // and so many beside
	usualForgotten = 0.01 // usual streams below which an idle account is forgotten
	surgePart      = 0.1  // surplus relative to the pool's usual streams; fewer make its steps hardly longer
	surgeLead      = 0.5  // part of the largest surplus from which an account's own counts as a surge
	// surgeSlowdown is how long steps may be, relative to the usual, for a surging account to add to a batch. Other accounts'
	// first tokens may be a fifth slower, take up to two steps, and show with a delay.
	surgeSlowdown = 1.08
	// surgeFreeGap is the part of the promised gap below which steps are short enough for any surge.
	surgeFreeGap = 0.35
)

// usage is what one account runs and asks for in one pool, relative to its weight.
type usage struct {
	want   float64 // streams, running and waiting, divided by weight
	weight float64
}

// Level returns the streams per unit of weight up to which every account is served in full when streams are
// shared by max-min fairness; it sorts list.
func level(list []usage, streams float64) float64 {
	slices.SortFunc(list, func(a, b usage) int { return cmp.Compare(a.want, b.want) })
	weights := 0.0
	for _, u := range list {
		weights += u.weight
	}
	left := streams
	for _, u := range list {
		if l := left / weights; u.want > l {
			return l
		}
		left -= u.want * u.weight
		weights -= u.weight
	}
	return math.Inf(1)
}

// Surging reports whether the account asks for clearly more than it usually runs, for about as much more as any account,
// and for enough to slow the pool. Those whose own wish only swings, or who wait behind a surge, are not held back, and
// nobody is below what it usually runs.
func (p *pool) surging(a *account) bool {
	if float64(p.running[a]) < p.usual[a].mean() {
		return false
	}
	return p.mostSurplus >= surgePart*p.usually && p.surplus(a) >= surgeLead*p.mostSurplus
}

// Surplus returns the streams that the account asks for, running and waiting, above what counts as a surge. What grows
// alike for all, as when steps or answers become longer, is nobody's surge.
func (p *pool) surplus(a *account) float64 {
	n, usual := p.wanted(a), p.usual[a].mean()
	growth := 1.0
	if others := p.usually - usual; others > 0 {
		growth = max(1, (p.wish-n)/others)
	}
	return n - (unusualFactor*usual*growth + unusualStreams)
}

// Wanted returns the streams that the account runs or waits for.
func (p *pool) wanted(a *account) float64 { return float64(p.running[a] + p.queue.of[a]) }

// Bears reports whether a surging account may add to the server's batch: one prompt at a time, and only while steps are
// hardly longer than usual, or short against the promise, so that the first tokens of others come as fast as ever.
func (s *Scheduler) bears(srv *server) bool {
	if !srv.usualGap.known() {
		return true
	}
	longest := max(surgeSlowdown*srv.usualGap.mean(), surgeFreeGap*s.targets.TokenGap.Seconds())
	return srv.pending < heavyPending && srv.gap.mean <= longest
}

// Heavy reports whether the account runs its fair part, by max-min fairness, of what the node may run in the
// pool less the reserve, and clearly more than it usually runs. So a sudden flood of one account does not
// take from another what that one always had.
func (s *Scheduler) heavy(p *pool, a *account, now time.Time) bool {
	if now.Sub(p.levelAt) >= levelLife {
		p.level, p.levelAt = p.findLevel(s.room(p, now)), now
		p.learn(now)
	}
	return p.over(a)
}

func (p *pool) over(a *account) bool {
	n := float64(p.running[a])
	return n >= p.level*a.weight && n > p.usual[a].surge()
}

// usual is the mean number of streams that an account runs in a pool.
type usual struct {
	sum  float64 // stream seconds, fading
	time float64 // seconds, fading alike
}

// Mean is zero until there is evidence enough.
func (u usual) mean() float64 {
	if !u.known() {
		return 0
	}
	return u.sum / u.time
}

func (u usual) known() bool { return u.time >= usualEvidence.Seconds() }

// Surge returns the streams above which an account runs clearly more than it usually does.
func (u usual) surge() float64 { return unusualFactor*u.mean() + unusualStreams }

// Learn adds a time dt at the value x.
func (u *usual) learn(x, dt, keep float64) {
	u.sum = u.sum*keep + x*dt
	u.time = u.time*keep + dt
}

// Learn follows what accounts usually run and how long steps usually are. A surge counts only up to its bound, so
// what it brings becomes usual slowly.
func (p *pool) learn(now time.Time) {
	dt := now.Sub(p.learnedAt)
	if dt < learnInterval {
		return
	}
	first := p.learnedAt.IsZero()
	p.learnedAt = now
	if first {
		return
	}
	keep := math.Exp(-dt.Seconds() / usualMemory.Seconds())
	p.learnGaps(dt.Seconds(), keep)
	p.learnStreams(dt.Seconds(), keep)
}

func (p *pool) learnStreams(dt, keep float64) {
	for a := range p.running {
		if _, ok := p.usual[a]; !ok {
			p.usual[a] = usual{}
		}
	}
	for a, u := range p.usual {
		n := float64(p.running[a])
		if u.known() {
			n = min(n, u.surge())
		}
		u.learn(n, dt, keep)
		p.usual[a] = u
		if p.running[a] == 0 && u.sum < usualForgotten*u.time {
			delete(p.usual, a)
		}
	}
}

// LearnGaps follows the steps of each server. With other servers in service the load of each is another one, so
// nothing is usual at first.
func (p *pool) learnGaps(dt, keep float64) {
	n := 0
	for _, srv := range p.servers {
		if srv.inService() {
			n++
		}
	}
	if n != p.serving {
		p.serving = n
		for _, srv := range p.servers {
			srv.usualGap = usual{}
		}
	}
	surge := false
	for a := range p.running {
		surge = surge || p.surging(a)
	}
	for _, srv := range p.servers {
		gap := srv.gap.mean
		if gap == 0 {
			continue
		}
		if surge && srv.usualGap.known() {
			gap = min(gap, surgeSlowdown*srv.usualGap.mean())
		}
		srv.usualGap.learn(gap, dt, keep)
	}
}

// Room returns the streams that the node may run in the pool, if those to come are like those that run: as many
// as the allowance, or as the memory, whichever is less.
func (s *Scheduler) room(p *pool, now time.Time) float64 {
	sum := 0.0
	for _, srv := range p.servers {
		if !srv.inService() {
			continue
		}
		streams, tokens := s.budgets.Budget(srv.ID, now)
		room := float64(srv.warm.Allow(streams, now))
		if peak := srv.committed(now).Peak(s.margin); tokens > 0 && peak > 0 {
			room = min(room, float64(len(srv.streams))*float64(tokens)/peak)
		}
		sum += room
	}
	return sum
}

func (p *pool) findLevel(streams float64) float64 {
	clear(p.wants)
	maps.Copy(p.wants, p.running)
	for a, n := range p.queue.of {
		p.wants[a] += n
	}
	p.usages = p.usages[:0]
	p.wish, p.usually = 0, 0
	for a, n := range p.wants {
		p.wish += float64(n)
		p.usually += p.usual[a].mean()
		p.usages = append(p.usages, usage{want: float64(n) / a.weight, weight: a.weight})
	}
	p.mostSurplus = 0
	for a := range p.wants {
		p.mostSurplus = max(p.mostSurplus, p.surplus(a))
	}
	for c := range p.queue.lines {
		for _, l := range p.queue.lines[c] {
			l.heavy = p.over(l.account)
		}
	}
	return level(p.usages, (1-heavyReserve)*streams)
}

// Starts and ends count the streams of an account in the pool.
func (p *pool) starts(a *account) { p.running[a]++ }

func (p *pool) ends(a *account) {
	if p.running[a]--; p.running[a] <= 0 {
		delete(p.running, a)
	}
}

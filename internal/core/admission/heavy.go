// This file determines which client accounts are heavy, which means that they run more than their fair share of a pool,
// and which surge.

package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	levelMaxAge       = 100 * time.Millisecond
	usualDecayTime    = 15 * time.Minute // in which observations of usual values decay by a factor of e
	minUsualTime      = time.Minute      // observation time below which nothing counts as usual
	learnInterval     = time.Second
	surgeFactor       = 1.5  // an account surges above this multiple of its usual streams
	surgeStreams      = 2    // plus this many streams
	minUsualStreams   = 0.01 // usual streams below which an idle account is forgotten
	minSurgeOfPool    = 0.1  // largest surplus relative to the pool's usual streams; a smaller one hardly lengthens steps
	minSurgeOfLargest = 0.5  // fraction of the largest surplus from which an account's own counts as a surge
	// maxSurgeSlowdown is the length of steps, relative to the usual, up to which a surging account may add to a
	// batch. It is lower than the fifth by which the first tokens of other accounts may become slower, since they take
	// up to two steps and show a slowdown with a delay.
	maxSurgeSlowdown = 1.08
	// shortGapFraction is the fraction of the target gap up to which steps are short enough for any surge.
	shortGapFraction = 0.35
)

// usage is the demand of one account in one pool.
type usage struct {
	streams float64 // streams, running and waiting, divided by weight
	weight  float64
}

// maxMinLevel returns the streams per unit of weight up to which every account is served in full when streams are
// shared by max-min fairness. It sorts list.
func maxMinLevel(list []usage, streams float64) float64 {
	slices.SortFunc(list, func(a, b usage) int { return cmp.Compare(a.streams, b.streams) })
	weights := 0.0
	for _, u := range list {
		weights += u.weight
	}
	remaining := streams
	for _, u := range list {
		if l := remaining / weights; u.streams > l {
			return l
		}
		remaining -= u.streams * u.weight
		weights -= u.weight
	}
	return math.Inf(1)
}

// surging reports whether the account causes a surge: it asks for clearly more streams than it usually runs, its
// surplus is comparable to the largest one, and the largest is enough to slow the pool. Accounts whose demand merely
// fluctuates or that wait behind a surge are not held back. No account is held below what it usually runs.
func (p *pool) surging(a *account) bool {
	if float64(p.running[a]) < p.usual[a].mean() {
		return false
	}
	return p.maxSurplus >= minSurgeOfPool*p.totalUsual && p.surplus(a) >= minSurgeOfLargest*p.maxSurplus
}

// surplus returns how many of the streams that the account wants are above its surge threshold. The threshold grows
// with the demand of the other accounts: growth common to all, such as from longer steps or answers, is no surge.
func (p *pool) surplus(a *account) float64 {
	n, usual := p.wanted(a), p.usual[a].mean()
	growth := 1.0
	if others := p.totalUsual - usual; others > 0 {
		growth = max(1, (p.totalWanted-n)/others)
	}
	return n - (surgeFactor*usual*growth + surgeStreams)
}

// wanted returns the streams that the account runs or waits for.
func (p *pool) wanted(a *account) float64 { return float64(p.running[a] + p.queue.byAccount[a]) }

// acceptsSurge reports whether a surging account may add to the server's batch: one prompt at a time, and only while
// steps are hardly longer than usual or short relative to the target. The first tokens of other accounts then arrive as
// fast as usual.
func (s *Scheduler) acceptsSurge(srv *server) bool {
	if !srv.usualGap.known() {
		return true
	}
	longest := max(maxSurgeSlowdown*srv.usualGap.mean(), shortGapFraction*s.targets.TokenGap.Seconds())
	return srv.pending < maxHeavyPending && srv.tokenGap.mean <= longest
}

// heavy reports whether the account runs at least its max-min fair share of the node's capacity in the pool, less the
// reserve, and clearly more than it usually runs. The second condition keeps a sudden flood of requests from one
// account from taking away what another has always used.
func (s *Scheduler) heavy(p *pool, a *account, now time.Time) bool {
	if now.Sub(p.levelAt) >= levelMaxAge {
		p.fairLevel, p.levelAt = p.updateDemand(s.capacity(p, now)), now
		p.learnUsual(now)
	}
	return p.aboveFairShare(a)
}

func (p *pool) aboveFairShare(a *account) bool {
	n := float64(p.running[a])
	return n >= p.fairLevel*a.weight && n > p.usual[a].surgeThreshold()
}

// decayingMean is a mean over time in which older values count less.
type decayingMean struct {
	sum  float64 // of the value times its seconds, decayed
	time float64 // observed seconds, decayed alike
}

// mean returns the mean, or zero until enough time is observed.
func (u decayingMean) mean() float64 {
	if !u.known() {
		return 0
	}
	return u.sum / u.time
}

func (u decayingMean) known() bool { return u.time >= minUsualTime.Seconds() }

// surgeThreshold returns the streams above which an account runs clearly more than u, its usual streams.
func (u decayingMean) surgeThreshold() float64 { return surgeFactor*u.mean() + surgeStreams }

// add records the value x for dt seconds. Earlier observations are multiplied by keep.
func (u *decayingMean) add(x, dt, keep float64) {
	u.sum = u.sum*keep + x*dt
	u.time = u.time*keep + dt
}

// learnUsual updates the usual streams of accounts and the usual length of steps. A surge counts only up to its
// threshold, so that it becomes usual slowly.
func (p *pool) learnUsual(now time.Time) {
	dt := now.Sub(p.learnedAt)
	if dt < learnInterval {
		return
	}
	first := p.learnedAt.IsZero()
	p.learnedAt = now
	if first {
		return
	}
	keep := math.Exp(-dt.Seconds() / usualDecayTime.Seconds())
	p.learnGaps(dt.Seconds(), keep)
	p.learnStreams(dt.Seconds(), keep)
}

func (p *pool) learnStreams(dt, keep float64) {
	for a := range p.running {
		if _, ok := p.usual[a]; !ok {
			p.usual[a] = decayingMean{}
		}
	}
	for a, u := range p.usual {
		n := float64(p.running[a])
		if u.known() {
			n = min(n, u.surgeThreshold())
		}
		u.add(n, dt, keep)
		p.usual[a] = u
		if p.running[a] == 0 && u.sum < minUsualStreams*u.time {
			delete(p.usual, a)
		}
	}
}

// learnGaps updates the usual length of steps on each server. It starts over when the number of servers in service
// changes, since the load of each server changes with it.
func (p *pool) learnGaps(dt, keep float64) {
	n := 0
	for _, srv := range p.servers {
		if srv.inService() {
			n++
		}
	}
	if n != p.serversInService {
		p.serversInService = n
		for _, srv := range p.servers {
			srv.usualGap = decayingMean{}
		}
	}
	surge := false
	for a := range p.running {
		surge = surge || p.surging(a)
	}
	for _, srv := range p.servers {
		gap := srv.tokenGap.mean
		if gap == 0 {
			continue
		}
		if surge && srv.usualGap.known() {
			gap = min(gap, maxSurgeSlowdown*srv.usualGap.mean())
		}
		srv.usualGap.add(gap, dt, keep)
	}
}

// capacity returns the streams that the node may run in the pool if new streams are like the running ones: on each
// server as many as its allowance or its memory permits, whichever is less.
func (s *Scheduler) capacity(p *pool, now time.Time) float64 {
	sum := 0.0
	for _, srv := range p.servers {
		if !srv.inService() {
			continue
		}
		streams, tokens := s.budgets.Budget(srv.ID, now)
		allowed := float64(srv.warm.Allow(streams, now))
		if peak := srv.committed(now).Peak(s.margin); tokens > 0 && peak > 0 {
			allowed = min(allowed, float64(len(srv.streams))*float64(tokens)/peak)
		}
		sum += allowed
	}
	return sum
}

// updateDemand recomputes the totals of wanted and usual streams and the largest surplus, marks the queues of heavy
// accounts, and returns the fair level for the given number of streams.
func (p *pool) updateDemand(streams float64) float64 {
	clear(p.wantedByAccount)
	maps.Copy(p.wantedByAccount, p.running)
	for a, n := range p.queue.byAccount {
		p.wantedByAccount[a] += n
	}
	p.usages = p.usages[:0]
	p.totalWanted, p.totalUsual = 0, 0
	for a, n := range p.wantedByAccount {
		p.totalWanted += float64(n)
		p.totalUsual += p.usual[a].mean()
		p.usages = append(p.usages, usage{streams: float64(n) / a.weight, weight: a.weight})
	}
	p.maxSurplus = 0
	for a := range p.wantedByAccount {
		p.maxSurplus = max(p.maxSurplus, p.surplus(a))
	}
	for c := range p.queue.byClass {
		for _, aq := range p.queue.byClass[c] {
			aq.heavy = p.aboveFairShare(aq.account)
		}
	}
	return maxMinLevel(p.usages, (1-heavyReserve)*streams)
}

// streamStarted counts a new stream of the account in the pool.
func (p *pool) streamStarted(a *account) { p.running[a]++ }

// streamEnded removes a stream of the account from the count.
func (p *pool) streamEnded(a *account) {
	if p.running[a]--; p.running[a] <= 0 {
		delete(p.running, a)
	}
}

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
	return n >= p.level*a.weight && n > unusualFactor*p.usual[a].mean()+unusualStreams
}

// usual is the mean number of streams that an account runs in a pool.
type usual struct {
	sum  float64 // stream seconds, fading
	time float64 // seconds, fading alike
}

// Mean is zero until the account has been seen for long enough.
func (u usual) mean() float64 {
	if u.time < usualEvidence.Seconds() {
		return 0
	}
	return u.sum / u.time
}

// Learn follows what accounts usually run. An account that runs too much teaches nothing meanwhile.
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
	for a := range p.running {
		if _, ok := p.usual[a]; !ok {
			p.usual[a] = usual{}
		}
	}
	keep := math.Exp(-dt.Seconds() / usualMemory.Seconds())
	for a, u := range p.usual {
		if p.over(a) {
			continue
		}
		u.sum = u.sum*keep + float64(p.running[a])*dt.Seconds()
		u.time = u.time*keep + dt.Seconds()
		p.usual[a] = u
		if p.running[a] == 0 && u.sum < usualForgotten*u.time {
			delete(p.usual, a)
		}
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
	for c := range p.queue.lines {
		for _, l := range p.queue.lines[c] {
			p.wants[l.account] += len(l.tickets)
		}
	}
	p.usages = p.usages[:0]
	for a, n := range p.wants {
		p.usages = append(p.usages, usage{want: float64(n) / a.weight, weight: a.weight})
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

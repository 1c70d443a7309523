package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"ebonyferry/internal/core/bundle"
)

// This file defines fairness between client accounts and their own limits.

const (
	promptCost      = 0.25 // served tokens that one prompt token counts as
	limitBurst      = 5.0  // seconds of an account's rate that it may save up
	maxIdleAccounts = 8192
	servedMemory    = 15 * time.Second // served tokens count less by a factor of e
	decayInterval   = 500 * time.Millisecond
	levelLife       = 100 * time.Millisecond
	usualMemory     = 15 * time.Minute // over which the usual number of streams is taken
	usualEvidence   = time.Minute      // before which nothing counts as usual
	learnInterval   = time.Second
	unusualFactor   = 1.5  // times the usual streams from which an account runs clearly more,
	unusualStreams  = 2    // and so many beside
	usualForgotten  = 0.01 // usual streams below which an idle account is forgotten
)

// account is what a node knows of one client account.
type account struct {
	id      string
	virtual float64 // tokens served lately, divided by weight; a Virtual Token Counter that decays
	weight  float64 // at least 1
	running int
	queued  int
	limits  bundle.AccountLimits // this node's part
	credit  bucket               // requests
	tokens  bucket               // output tokens; may be in debt
	used    time.Time
}

// bucket is a token bucket that may go into debt.
type bucket struct {
	level float64
	at    time.Time
}

// Refill brings the bucket up to now at rate a second.
func (b *bucket) refill(rate float64, now time.Time) {
	depth := max(1, rate*limitBurst)
	if b.at.IsZero() {
		b.level = depth
	} else {
		b.level = min(depth, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}

// Until returns how long the bucket takes to reach level at rate.
func (b *bucket) until(level, rate float64) time.Duration {
	return time.Duration((level - b.level) / rate * float64(time.Second))
}

// Over returns how long the account must wait for its own limits; zero when it need not.
func (a *account) over(now time.Time) (time.Duration, bool) {
	if r := a.limits.RequestsPerSecond; r > 0 {
		if a.credit.refill(r, now); a.credit.level < 1 {
			return a.credit.until(1, r), true
		}
	}
	if r := a.limits.TokensPerSecond; r > 0 {
		if a.tokens.refill(r, now); a.tokens.level <= 0 {
			return a.tokens.until(1, r), true
		}
	}
	if n := a.limits.MaxStreams; n != 0 && a.running+a.queued >= max(n, 0) {
		return time.Second, true
	}
	return 0, false
}

// Accepted takes one request out of the account's own limits.
func (a *account) accepted() {
	if a.limits.RequestsPerSecond > 0 {
		a.credit.level--
	}
}

// Charge adds tokens to what the account was served.
func (a *account) charge(tokens float64) { a.virtual += tokens / a.weight }

// Spent takes generated tokens out of the account's own limit.
func (a *account) spent(tokens int) {
	if a.limits.TokensPerSecond > 0 {
		a.tokens.level -= float64(tokens)
	}
}

// accounts holds the accounts seen by a node, a bounded number of idle ones.
type accounts struct {
	byID   map[string]*account
	limits map[string]bundle.AccountLimits // of the configuration
	nodes  int
	rank   int
	// decayed is when the counters were last decayed.
	decayed time.Time
}

func newAccounts() *accounts {
	return &accounts{byID: make(map[string]*account), nodes: 1}
}

// Configure sets the limits and the node's place among the nodes that share them.
func (s *accounts) configure(list []bundle.Account, nodes, rank int) {
	s.nodes, s.rank = max(1, nodes), rank
	s.limits = make(map[string]bundle.AccountLimits, len(list))
	for _, a := range list {
		s.limits[a.ID] = a.Limits
	}
	for _, a := range s.byID {
		s.apply(a)
	}
}

// Apply gives the account its part of its limits. A limit on streams of which this node has no part is
// negative.
func (s *accounts) apply(a *account) {
	l := s.limits[a.id]
	a.weight = float64(max(1, l.Weight))
	a.limits = bundle.AccountLimits{
		RequestsPerSecond: l.RequestsPerSecond / float64(s.nodes),
		TokensPerSecond:   l.TokensPerSecond / float64(s.nodes),
	}
	if l.MaxStreams > 0 {
		a.limits.MaxStreams = part(l.MaxStreams, s.nodes, s.rank)
		if a.limits.MaxStreams == 0 {
			a.limits.MaxStreams = -1
		}
	}
}

func (s *accounts) get(id string, now time.Time) *account {
	a := s.byID[id]
	if a == nil {
		a = &account{id: id}
		s.apply(a)
		s.byID[id] = a
	}
	a.used = now
	return a
}

// Decay lets what was served long ago count less. Without it an account that was served much while nobody
// waited would go last once somebody does.
func (s *accounts) decay(now time.Time) {
	dt := now.Sub(s.decayed)
	if dt < decayInterval {
		return
	}
	first := s.decayed.IsZero()
	s.decayed = now
	if first {
		return
	}
	keep := math.Exp(-dt.Seconds() / servedMemory.Seconds())
	for _, a := range s.byID {
		a.virtual *= keep
	}
}

// Sweep forgets idle accounts when there are too many.
func (s *accounts) sweep(now time.Time) {
	if len(s.byID) <= maxIdleAccounts {
		return
	}
	for id, a := range s.byID {
		if a.running == 0 && a.queued == 0 && now.Sub(a.used) > time.Minute {
			delete(s.byID, id)
		}
	}
}

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

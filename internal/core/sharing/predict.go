package sharing

import (
	"math"
	"time"
)

// Turn is when a waiting request is expected to be served.
type Turn struct {
	After     time.Duration
	OverShare bool // its account received more than the mean of those that wait
	Known     bool // memory is granted at a rate from which After follows
}

// Predict returns the turn of waiting[i]: the tokens of the requests before it over all nodes, divided by the rate at which
// memory is granted. An account over its share is held to the rate at which it is served, since accounts below their
// shares go on to take the rest.
func Predict(waiting []Waiter, i int, s *State) Turn {
	groups := firstOfGroups(waiting, s.Now)
	w, view := &waiting[i], newShares(waiting, groups, s)
	share := view.share(w.Account)
	urgent := float64(s.Elsewhere.MoreUrgent(w.Urgency))
	others := max(0, view.ahead(w, share, false)-urgent-stillWaiting(w)*view.earlier(w)) + view.byUrgency[w.Urgency].others
	own := float64(s.Elsewhere.Accounts[w.Account].Waiting[w.Urgency])
	for n := range waiting {
		o := &waiting[n]
		switch {
		case n == i || o.Urgency > w.Urgency:
		case o.Urgency < w.Urgency:
			urgent += float64(o.Tokens)
		case o.Account == w.Account:
			if before(o, w, s.Now) {
				own += float64(o.Tokens)
			}
		case view.share(o.Account) < share:
			others += float64(o.Tokens)
		}
	}
	rate := s.Own.GrantedRate(w.Urgency) + s.Elsewhere.GrantedRate(w.Urgency)
	all := s.Own.GrantedRate(0) + s.Elsewhere.GrantedRate(0)
	if rate <= 0 {
		return Turn{}
	}
	t := Turn{Known: true}
	seconds := urgent/all + (others+own)/rate
	if mean, weights := view.waitingAccounts(waiting, groups, w.Urgency); share > mean {
		t.OverShare = true
		weight := WeightOf(s.Weight(w.Account))
		served := share * weight / Memory.Seconds() / max(w.Run.Seconds(), 0.1) // tokens per second
		seconds = max(seconds, own/max(served, rate*weight/weights, 1))
	}
	t.After = time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
	return t
}

// waitingAccounts returns the mean share and the sum of the weights of the accounts that wait here or elsewhere.
func (v *shares) waitingAccounts(waiting []Waiter, groups []int, urgency int) (mean, weights float64) {
	names := make(map[string]bool)
	for _, i := range groups {
		if waiting[i].Urgency == urgency {
			names[waiting[i].Account] = true
		}
	}
	for name, a := range v.state.Elsewhere.Accounts {
		if a.Waiting[urgency] > 0 && name != OtherAccounts {
			names[name] = true
		}
	}
	sum := 0.0
	for name := range names {
		sum += v.share(name)
		weights += WeightOf(v.state.Weight(name))
	}
	return sum / float64(max(1, len(names))), max(weights, 1e-9)
}

// BelowHalf returns the number of accounts among waiting that received less than half of the mean of those that wait.
func BelowHalf(waiting []Waiter, s *State) int {
	groups := firstOfGroups(waiting, s.Now)
	view := newShares(waiting, groups, s)
	below := make(map[string]bool)
	for _, i := range groups {
		w := &waiting[i]
		if mean, _ := view.waitingAccounts(waiting, groups, w.Urgency); view.share(w.Account) < mean/2 {
			below[w.Account] = true
		}
	}
	return len(below)
}

// Reserve returns the memory that runs of an urgency leave free over all engines, in tokens: what more urgent runs are
// expected to hold at their recent rate and do not hold now, and one standard deviation of it, since they arrive at random.
// A run that fills the memory before that is preempted by the next urgent ones, and prefills its prompt again. It is at most what they hold now and the deviation: the
// predicted time of runs is far too long until the lengths of a few answers are known.
func Reserve(all Demand, urgency int) int {
	reserve := 0.0
	for u, f := range all.Urgencies {
		if u >= urgency || f.Starts <= 0 {
			continue
		}
		held := float64(f.Held)
		spread := math.Sqrt(held * float64(f.Granted) / f.Starts)
		running := float64(f.Running)
		reserve += min(max(0, held+spread-running), running+spread)
	}
	return int(reserve)
}

// Credit is the memory that requests of one urgency at a node may take while more urgent ones wait, so that these do not
// starve them. The zero value has none.
type Credit struct {
	tokens float64
	at     time.Time
}

// maxCredit bounds the credit to a few runs, so that a long wait of urgent requests is not followed by many others.
const maxCredit = 20_000

// Advance adds what the node's requests of an urgency earned since the last call: lessUrgentShare of the memory that more
// urgent requests get over all nodes, divided among the nodes by the tokens that wait there. It returns the credit, which
// ends when no more urgent request waits.
func (c *Credit) Advance(s *State, urgency int) float64 {
	elapsed := s.Now.Sub(c.at).Seconds()
	started := !c.at.IsZero()
	c.at = s.Now
	if s.Own.MoreUrgent(urgency)+s.Elsewhere.MoreUrgent(urgency) == 0 {
		c.tokens = 0
		return 0
	}
	own, elsewhere := s.Own.Urgencies[urgency].Waiting, s.Elsewhere.Urgencies[urgency].Waiting
	if !started || own == 0 {
		return c.tokens
	}
	granted := s.Own.GrantedRate(0) + s.Elsewhere.GrantedRate(0) - s.Own.GrantedRate(urgency) - s.Elsewhere.GrantedRate(urgency)
	c.tokens += lessUrgentShare * granted * elapsed * float64(own) / float64(own+elsewhere)
	c.tokens = min(c.tokens, maxCredit)
	return c.tokens
}

// Take takes tokens from the credit.
func (c *Credit) Take(tokens int) { c.tokens = max(0, c.tokens-float64(tokens)) }

// Usable returns the memory that runs of the given size can take, in tokens: of each engine's free memory only whole runs
// count.
func Usable(free []int, size int) int {
	if size <= 0 {
		return 0
	}
	usable := 0
	for _, tokens := range free {
		usable += max(0, tokens) / size * size
	}
	return usable
}

// Allows reports whether a request may take its memory now: what is usable after that covers the requests that come before
// it at other nodes and the reserve.
func (d Decision) Allows(tokens, usable, reserve int) bool {
	keep := d.Ahead + reserve
	return keep == 0 || d.OnCredit || usable-tokens >= keep
}

const (
	// clearFactor and clearMargin are how far a predicted turn must lie beyond the longest wait for a refusal: a request that
	// is refused wrongly is lost to the caller, one that waits in vain has lost a second or two.
	clearFactor = 1.5
	clearMargin = 300 * time.Millisecond
)

// ClearlyAfter reports whether the turn comes later than a request may wait, beyond the error of the prediction.
func (t Turn) ClearlyAfter(wait time.Duration) bool {
	return t.Known && t.After > time.Duration(clearFactor*float64(wait))+clearMargin
}

// Package sharing decides which waiting requests get the KV memory of engines when it is scarce.
//
// The load is that of many nodes before one set of engines: requests of several urgencies and of client accounts of very
// different size ask for up to twice the memory of all engines, while each node has only a few of the waiting requests
// and knows the others from digests that are up to about a second old. A node that looks at its own requests alone gives
// memory that it frees to a less urgent request, or to an account that has much already, while others wait elsewhere.
//
// Order ranks the waiting requests of a node by urgency, by the floor, by the memory-time that their accounts received
// over all nodes divided by their weights, and by benefit. It also returns how much of the free memory is left to requests
// at other nodes that come before. Predict returns when a request's turn comes, and Reserve the memory that less urgent
// runs leave free for more urgent ones. Weighted shares follow start-time fair queueing (Goyal, Vin and Cheng, 1996), with
// decayed token-seconds as the service received.
package sharing

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// claimTime is how long free memory is left to requests that come before at other nodes. Within it their nodes learn of
	// freed memory, which takes up to 150 ms, and place them. Memory that stays free for longer has no such request: what
	// digests say of them is out of date.
	claimTime = 1000 * time.Millisecond
	// digestAge is the usual age of a digest when a node decides.
	digestAge = 750 * time.Millisecond
	// unseenTime is how long other nodes do not see a placement. What was granted meanwhile stays free beside what is left to
	// requests that come before: several nodes would otherwise fill the same engine.
	unseenTime = 150 * time.Millisecond
	// nearShare is the part of its own share below which another account comes before at other nodes. Accounts with nearly
	// equal shares change places faster than digests arrive, and would hold each other back.
	nearShare = 0.9
	// floorShare is the part of its fair share below which an account, class or failure domain goes first.
	floorShare = 0.25
	// lessUrgentShare is the part of the granted memory that less urgent requests get while more urgent ones wait.
	lessUrgentShare = 0.05
	// sizeBias is how much later a request of twice the usual token-seconds of its class counts as arrived, and half of it is
	// how much earlier a very small one does. It is well below the time that requests wait.
	sizeBias = 200 * time.Millisecond
	// maxSizeBias bounds it, so that the largest requests are served too.
	maxSizeBias = 400 * time.Millisecond
)

// Waiter is a waiting request.
type Waiter struct {
	Urgency   int // 0 is the most urgent
	Account   string
	Class     string        // route
	Tokens    int           // memory that it needs
	Run       time.Duration // predicted time that it holds the memory
	Size      float64       // its token-seconds relative to the mean of its class; 0 if unknown
	Arrived   time.Time
	StartBy   time.Time // a request that starts later misses its target
	Returning bool      // its caller was refused and told to return now
}

// State is what a node knows when it decides.
type State struct {
	Now       time.Time
	Domain    string // failure domain of the node's callers
	Own       Demand // of this node
	Elsewhere Demand // of all other nodes
	Weight    func(account string) float64
	// Weighted means that operators gave accounts weights. Then memory stays free for requests at other nodes that come before by
	// their accounts' shares, so that the shares hold over all nodes. Otherwise it stays free only for more urgent ones: what is
	// left free for requests that digests know late is used by nobody meanwhile.
	Weighted bool
	Credit   map[int]float64 // tokens that requests may take before more urgent ones, by urgency; see Credit
}

// Decision is the place of one waiting request.
type Decision struct {
	Index     int  // of the waiter
	Protected bool // by the floor
	OnCredit  bool // goes before more urgent requests; its tokens are taken from the credit
	// Ahead is the memory in tokens that must stay free after the request is placed: requests at other nodes come before.
	Ahead int
}

// WeightOf returns a weight that counts: one for a weight of zero or below, or one that is no number.
func WeightOf(weight float64) float64 {
	if weight > 0 && !math.IsInf(weight, 0) {
		return weight
	}
	return 1
}

// Order returns the first request of each urgency and account among waiting, in the order in which they are served. After
// one of them is placed, the order may differ. Its time grows with the number of waiting requests, and with the number of
// accounts times its logarithm.
func Order(waiting []Waiter, s *State) []Decision {
	groups := firstOfGroups(waiting, s.Now)
	heads := firstOfAccounts(waiting, groups, s.Now)
	view := newShares(waiting, groups, s)
	ranks := make([]rank, 0, len(heads))
	for _, i := range heads {
		w := &waiting[i]
		ranks = append(ranks, rank{
			index: i, waiter: w, share: view.share(w.Account), protected: view.protects(w),
			onCredit: s.Credit[w.Urgency] >= float64(w.Tokens),
		})
	}
	slices.SortFunc(ranks, compareRanks)
	decisions := make([]Decision, len(ranks))
	for n, r := range ranks {
		decisions[n] = Decision{Index: r.index, Protected: r.protected, OnCredit: r.onCredit}
		if !r.onCredit {
			decisions[n].Ahead = int(min(view.ahead(r.waiter, r.share, r.protected), view.claimable))
			if decisions[n].Ahead > 0 {
				decisions[n].Ahead += int(unseenTime.Seconds() * s.Elsewhere.GrantedRate(0))
			}
		}
	}
	return decisions
}

// rank is what the place of a request depends on.
type rank struct {
	index     int
	waiter    *Waiter
	share     float64 // memory-time that its account received, divided by its weight
	protected bool
	onCredit  bool
}

func compareRanks(a, b rank) int {
	if a.onCredit != b.onCredit {
		if a.onCredit {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.waiter.Urgency, b.waiter.Urgency); c != 0 {
		return c
	}
	if a.protected != b.protected {
		if a.protected {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.share, b.share), a.waiter.Arrived.Compare(b.waiter.Arrived), cmp.Compare(a.index, b.index))
}

// groupKey identifies the requests of one account, urgency and class.
type groupKey struct {
	urgency        int
	account, class string
}

// firstOfGroups returns the index of the request with the most benefit for each account, urgency and class.
func firstOfGroups(waiting []Waiter, now time.Time) []int {
	at := make(map[groupKey]int)
	var firsts []int
	for i := range waiting {
		w := &waiting[i]
		key := groupKey{w.Urgency, w.Account, w.Class}
		n, ok := at[key]
		switch {
		case !ok:
			at[key] = len(firsts)
			firsts = append(firsts, i)
		case before(w, &waiting[firsts[n]], now):
			firsts[n] = i
		}
	}
	return firsts
}

// firstOfAccounts returns the index of the request with the most benefit for each urgency and account, of those given.
func firstOfAccounts(waiting []Waiter, firsts []int, now time.Time) []int {
	at := make(map[groupKey]int)
	var heads []int
	for _, i := range firsts {
		key := groupKey{urgency: waiting[i].Urgency, account: waiting[i].Account}
		n, ok := at[key]
		switch {
		case !ok:
			at[key] = len(heads)
			heads = append(heads, i)
		case before(&waiting[i], &waiting[heads[n]], now):
			heads[n] = i
		}
	}
	return heads
}

// before reports whether a goes before b, a request of the same account and urgency.
func before(a, b *Waiter, now time.Time) bool {
	if a.Returning != b.Returning {
		return a.Returning
	}
	if late := now.After(a.StartBy); late != now.After(b.StartBy) {
		return !late
	}
	return a.biased().Before(b.biased())
}

// biased returns the time of arrival, later for large requests and earlier for small ones.
func (w *Waiter) biased() time.Time {
	if w.Size <= 0 {
		return w.Arrived
	}
	bias := time.Duration(float64(sizeBias) * (w.Size - 1))
	return w.Arrived.Add(min(bias, maxSizeBias))
}

// shares is what all nodes received and wait for, prepared for comparison.
type shares struct {
	state     *State
	byUrgency map[int]accountsByShare // waiting at other nodes
	claimable float64                 // tokens that are freed within claimTime
	low       map[int]lowParts        // classes and failure domains below the floor, by urgency
}

// accountsByShare holds the accounts that wait at other nodes with one urgency, ordered by their shares.
type accountsByShare struct {
	shares []float64
	sums   []float64 // tokens of the accounts up to this one
	others float64   // tokens of accounts that digests do not list
}

// lowParts are the classes and failure domains that received less than floorShare of their share.
type lowParts struct {
	share   float64 // of an account, below which the floor protects it
	classes map[string]bool
	domain  bool // the node's own failure domain
}

func newShares(waiting []Waiter, groups []int, s *State) *shares {
	v := &shares{state: s, byUrgency: make(map[int]accountsByShare), low: make(map[int]lowParts)}
	v.claimable = claimTime.Seconds() * (s.Own.GrantedRate(0) + s.Elsewhere.GrantedRate(0))
	v.sortElsewhere()
	v.findLow(waiting, groups)
	return v
}

// share returns the memory-time that an account received over all nodes, divided by its weight.
func (v *shares) share(account string) float64 {
	s := v.state
	return (s.Own.Accounts[account].Received + s.Elsewhere.Accounts[account].Received) / WeightOf(s.Weight(account))
}

func (v *shares) sortElsewhere() {
	type waitingAccount struct{ share, tokens float64 }
	lists := make(map[int][]waitingAccount)
	others := make(map[int]float64)
	for name, a := range v.state.Elsewhere.Accounts {
		for u, tokens := range a.Waiting {
			if name == OtherAccounts {
				others[u] += float64(tokens)
				continue
			}
			lists[u] = append(lists[u], waitingAccount{v.share(name), float64(tokens)})
		}
	}
	for u, list := range lists {
		slices.SortFunc(list, func(a, b waitingAccount) int { return cmp.Compare(a.share, b.share) })
		var sorted accountsByShare
		sum := 0.0
		for _, a := range list {
			sum += a.tokens
			sorted.shares = append(sorted.shares, a.share)
			sorted.sums = append(sorted.sums, sum)
		}
		v.byUrgency[u] = sorted
	}
	for u, tokens := range others {
		sorted := v.byUrgency[u]
		sorted.others = tokens
		v.byUrgency[u] = sorted
	}
}

// earlier returns the tokens of an account's requests at other nodes that arrived before w, as an estimate: digests do not
// give times of arrival, but of requests that wait for at most a certain time, fewer came before one that has waited longer.
// Without it, all nodes where an account waits would take the same free memory at the moment when they learn of it.
func (v *shares) earlier(w *Waiter) float64 {
	elsewhere := float64(v.state.Elsewhere.Accounts[w.Account].Waiting[w.Urgency])
	longest := w.StartBy.Sub(w.Arrived)
	if longest <= 0 {
		return 0
	}
	waited := v.state.Now.Sub(w.Arrived)
	return elsewhere * max(0, 1-float64(waited)/float64(longest))
}

// ahead returns the tokens of requests at other nodes that come before w.
func (v *shares) ahead(w *Waiter, share float64, protected bool) float64 {
	moreUrgent := float64(v.state.Elsewhere.MoreUrgent(w.Urgency))
	if !v.state.Weighted {
		return stillWaiting(w) * moreUrgent
	}
	tokens := v.earlier(w)
	list := v.byUrgency[w.Urgency]
	if n := sort.SearchFloat64s(list.shares, nearShare*share); n > 0 && !protected {
		tokens += list.sums[n-1]
	}
	return moreUrgent + stillWaiting(w)*tokens
}

// stillWaiting returns the fraction of the requests like w in digests that still wait.
func stillWaiting(w *Waiter) float64 {
	longest := w.StartBy.Sub(w.Arrived)
	return 1 - float64(digestAge)/float64(max(longest, digestAge))
}

// findLow finds what the floor protects. groups holds the index of a request of each account, urgency and class.
func (v *shares) findLow(waiting []Waiter, groups []int) {
	classes := make(map[int]map[string]bool)
	accounts := make(map[int]map[string]bool)
	for _, i := range groups {
		w := &waiting[i]
		if classes[w.Urgency] == nil {
			classes[w.Urgency] = make(map[string]bool)
			accounts[w.Urgency] = make(map[string]bool)
		}
		classes[w.Urgency][w.Class] = true
		accounts[w.Urgency][w.Account] = true
	}
	for u := range classes {
		low := lowParts{classes: make(map[string]bool)}
		low.share = floorShare * v.meanShare(u, accounts[u])
		received := sumMaps(v.state.Own.Classes, v.state.Elsewhere.Classes)
		mean := meanOf(received, classes[u])
		for class := range classes[u] {
			low.classes[class] = received[class] < floorShare*mean
		}
		domains := sumMaps(v.state.Own.Domains, v.state.Elsewhere.Domains)
		low.domain = len(domains) > 1 && domains[v.state.Domain] < floorShare*meanOf(domains, nil)
		v.low[u] = low
	}
}

// meanShare returns the mean share of the accounts that wait here or elsewhere with an urgency.
func (v *shares) meanShare(urgency int, here map[string]bool) float64 {
	sum, n := 0.0, 0
	for account := range here {
		sum += v.share(account)
		n++
	}
	for _, share := range v.byUrgency[urgency].shares {
		sum += share
		n++
	}
	return sum / float64(max(1, n))
}

func sumMaps(a, b map[string]float64) map[string]float64 {
	sum := make(map[string]float64, len(a)+len(b))
	for _, m := range []map[string]float64{a, b} {
		for key, amount := range m {
			sum[key] += amount
		}
	}
	return sum
}

// meanOf returns the mean amount of the given keys, or of all if there are none.
func meanOf(amounts map[string]float64, keys map[string]bool) float64 {
	sum, n := 0.0, 0
	for key, amount := range amounts {
		if keys == nil || keys[key] {
			sum += amount
			n++
		}
	}
	return sum / float64(max(1, n))
}

// protects reports whether the floor protects a request.
func (v *shares) protects(w *Waiter) bool {
	low := v.low[w.Urgency]
	return low.domain || low.classes[w.Class] || v.share(w.Account) < low.share
}

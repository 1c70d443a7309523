package sharing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// replay plays requests that compete for the memory of engines at many nodes, in steps of replayStep. A node knows its
// own placements at once, those of other nodes after loadDelay, and their demand after viewAge.
type replay struct {
	rng        *rand.Rand
	shared     bool // decide with this package; otherwise each node decides by urgency and arrival alone
	kinds      []replayKind
	weights    map[string]float64
	now        time.Time
	start      time.Time
	nodes      []replayNode
	engines    [][]*replayRun // by engine
	placed     [][][]int      // memory placed by step, node and engine
	totals     [][]int        // the same over all nodes
	step       int
	refuse     bool // refuse early
	results    map[string]*replayResult
	inverts    int                 // less urgent grants while a more urgent request waited elsewhere for longer than views are old
	lessUrgent int                 // less urgent grants
	deaf       func(node int) bool // digests from and to these nodes are lost
}

type replayKind struct {
	name      string
	urgency   int
	perSecond func(t time.Duration) float64
	prompt    int
	answer    int
	run       time.Duration
	target    time.Duration
	accounts  func(rng *rand.Rand) string
}

type replayNode struct {
	domain  string
	size    float64
	waiting []Waiter
	kinds   []*replayKind // of the waiting requests
	mine    Ledger
	classes Ledger
	domains Ledger
	rates   map[int]*replayRate
	credits map[int]*Credit
	sent    Demand // last digest
	known   Demand // sum of the others' digests
	placed  []int  // memory by engine
}

type replayRate struct{ granted, starts, held Ledger }

type replayRun struct {
	kind    *replayKind
	account string
	node    int
	need    int
	began   time.Time     // of the first event, or of the first one after a preemption
	done    time.Duration // of the run before a preemption
	late    bool
	length  float64 // of the run, relative to the mean of its kind
	arrived time.Time
	toRead  float64 // prompt tokens and, after a preemption, those of the answer
	unread  float64
}

// replayResult counts the requests of an account or a kind.
type replayResult struct {
	asked, onTime, late, lost, refused, preempted int
	wanted, received                              float64 // predicted token-seconds
}

const (
	replayStep    = 20 * time.Millisecond
	loadDelay     = 150 * time.Millisecond
	viewAge       = 500 * time.Millisecond
	replayEngines = 45
	replayMemory  = 26_857
	replayNodes   = 73
	replayUsable  = 24_708 // of replayMemory, for predicted runs
	waitShare     = 0.6    // of the target
	readRate      = 7.2    // prompt tokens per millisecond
)

func steps(d time.Duration) int { return int(d / replayStep) }

func newReplay(seed uint64, shared bool, kinds []replayKind) *replay {
	r := &replay{
		rng: rand.New(rand.NewPCG(seed, 1)), shared: shared, refuse: shared, kinds: kinds, weights: map[string]float64{},
		start: time.Unix(1000, 0), nodes: make([]replayNode, replayNodes), engines: make([][]*replayRun, replayEngines),
		results: make(map[string]*replayResult), deaf: func(int) bool { return false },
	}
	r.now = r.start
	for i := range r.nodes {
		r.nodes[i] = replayNode{
			domain: fmt.Sprint("domain", i%4), size: 0.25 + r.rng.Float64(), placed: make([]int, replayEngines),
			rates: make(map[int]*replayRate), credits: make(map[int]*Credit),
		}
	}
	return r
}

func (r *replay) result(name string) *replayResult {
	if r.results[name] == nil {
		r.results[name] = new(replayResult)
	}
	return r.results[name]
}

// count counts an outcome for the account and the kind of a request.
func (r *replay) count(account string, k *replayKind, fn func(*replayResult)) {
	fn(r.result(account))
	fn(r.result(k.name))
}

func (r *replay) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(replayStep) {
		r.arrive()
		if r.step%steps(viewAge) == 0 {
			r.exchange()
		}
		for _, i := range r.rng.Perm(len(r.nodes)) {
			r.expire(i)
			if r.shared {
				r.grantShared(i)
			} else {
				r.grantAlone(i)
			}
		}
		for e := range r.engines {
			r.work(e)
		}
		r.remember()
	}
}

func (r *replay) remember() {
	all, total := make([][]int, len(r.nodes)), make([]int, len(r.engines))
	for i := range r.nodes {
		all[i] = slices.Clone(r.nodes[i].placed)
		for e, tokens := range all[i] {
			total[e] += tokens
		}
	}
	r.placed, r.totals = append(r.placed, all), append(r.totals, total)
	if back := len(r.placed) - steps(loadDelay) - 1; back >= 0 {
		r.placed[back] = nil
	}
	r.step++
}

func (r *replay) arrive() {
	for k := range r.kinds {
		kind := &r.kinds[k]
		for p := kind.perSecond(r.now.Sub(r.start)) * replayStep.Seconds(); p > 0; p-- {
			if r.rng.Float64() < p {
				r.admit(kind)
			}
		}
	}
}

func (r *replay) pickNode() int {
	sum := 0.0
	for i := range r.nodes {
		sum += r.nodes[i].size
	}
	at := r.rng.Float64() * sum
	for i := range r.nodes {
		if at -= r.nodes[i].size; at < 0 {
			return i
		}
	}
	return 0
}

func (r *replay) admit(k *replayKind) {
	n := &r.nodes[r.pickNode()]
	account := k.accounts(r.rng)
	need := k.prompt + k.answer/2
	r.count(account, k, func(c *replayResult) { c.asked++; c.wanted += float64(need) * k.run.Seconds() })
	n.waiting = append(n.waiting, Waiter{
		Urgency: k.urgency, Account: account, Class: k.name, Tokens: need, Run: k.run, Arrived: r.now,
		StartBy: r.now.Add(time.Duration(waitShare * float64(k.target))),
	})
	n.kinds = append(n.kinds, k)
}

// drop removes a waiting request.
func (n *replayNode) drop(i int) {
	n.waiting = slices.Delete(n.waiting, i, i+1)
	n.kinds = slices.Delete(n.kinds, i, i+1)
}

func (r *replay) expire(at int) {
	n := &r.nodes[at]
	for i := len(n.waiting) - 1; i >= 0; i-- {
		w, k := n.waiting[i], n.kinds[i]
		if r.now.Before(w.StartBy) {
			continue
		}
		r.count(w.Account, k, func(c *replayResult) { c.lost++ })
		n.drop(i)
	}
}

// free returns what a node takes for the free memory of the engines.
func (r *replay) free(at int) []int {
	free := make([]int, len(r.engines))
	back := max(0, len(r.placed)-steps(loadDelay))
	for e := range free {
		used := r.nodes[at].placed[e]
		if len(r.placed) > 0 {
			used += r.totals[back][e] - r.placed[back][at][e]
		}
		free[e] = replayUsable - used
	}
	return free
}

// place places a request on the engine with the most free memory, of those nearly equal a random one.
func (r *replay) place(at, index int, free []int) bool {
	n := &r.nodes[at]
	w, k := n.waiting[index], n.kinds[index]
	best, most := -1, 0.0
	for e, tokens := range free {
		if score := float64(tokens) + 2000*r.rng.Float64(); tokens >= w.Tokens && score > most {
			best, most = e, score
		}
	}
	if best < 0 {
		return false
	}
	r.countInversion(at, w)
	free[best] -= w.Tokens
	n.placed[best] += w.Tokens
	r.engines[best] = append(r.engines[best], &replayRun{kind: k, account: w.Account, length: 0.4 + 1.2*r.rng.Float64(), node: at, need: w.Tokens, arrived: w.Arrived, toRead: float64(k.prompt), unread: float64(k.prompt)})
	seconds := float64(w.Tokens) * k.run.Seconds()
	r.result(w.Account).received += seconds
	n.mine.Add(w.Account, seconds, r.now)
	n.classes.Add(w.Class, seconds, r.now)
	n.domains.Add(n.domain, seconds, r.now)
	rate := n.rates[w.Urgency]
	if rate == nil {
		rate = new(replayRate)
		n.rates[w.Urgency] = rate
	}
	rate.granted.Add("", float64(w.Tokens), r.now)
	rate.starts.Add("", 1, r.now)
	rate.held.Add("", seconds, r.now)
	n.drop(index)
	return true
}

func (r *replay) countInversion(at int, w Waiter) {
	if w.Urgency == 0 {
		return
	}
	r.lessUrgent++
	for i := range r.nodes {
		if i == at {
			continue
		}
		for _, o := range r.nodes[i].waiting {
			if o.Urgency < w.Urgency && r.now.Sub(o.Arrived) > 2*viewAge {
				r.inverts++
				return
			}
		}
	}
}

// grantAlone serves the requests of a node by urgency and arrival.
func (r *replay) grantAlone(at int) {
	n := &r.nodes[at]
	if len(n.waiting) == 0 {
		return
	}
	free := r.free(at)
	for u := range maxUrgencies {
		for i := 0; i < len(n.waiting); i++ {
			if n.waiting[i].Urgency == u && r.place(at, i, free) {
				i--
			}
		}
	}
}

// demand returns the demand that a node knows of itself.
func (r *replay) demand(at int) Demand {
	n := &r.nodes[at]
	d := Demand{Urgencies: map[int]Flow{}, Accounts: map[string]Account{}, Classes: n.classes.All(r.now), Domains: n.domains.All(r.now)}
	for account, amount := range n.mine.All(r.now) {
		d.Accounts[account] = Account{Received: amount}
	}
	for u, rate := range n.rates {
		d.Urgencies[u] = Flow{
			Granted: int(rate.granted.At("", r.now) / Memory.Seconds()), Starts: rate.starts.At("", r.now) / Memory.Seconds(),
			Held: int(rate.held.At("", r.now) / Memory.Seconds()),
		}
	}
	for _, w := range n.waiting {
		f := d.Urgencies[w.Urgency]
		f.Waiting += w.Tokens
		f.Requests++
		d.Urgencies[w.Urgency] = f
		a := d.Accounts[w.Account]
		if a.Waiting == nil {
			a.Waiting = make(map[int]int)
		}
		a.Waiting[w.Urgency] += w.Tokens
		d.Accounts[w.Account] = a
	}
	for _, engine := range r.engines {
		for _, run := range engine {
			if run.node == at {
				f := d.Urgencies[run.kind.urgency]
				f.Running += run.need
				d.Urgencies[run.kind.urgency] = f
			}
		}
	}
	return d
}

// exchange gives each node the digests that the others made viewAge ago.
func (r *replay) exchange() {
	for i := range r.nodes {
		r.nodes[i].known = Demand{}
	}
	var before Demand
	for i := range r.nodes {
		r.nodes[i].known.Add(before, 0)
		before.Add(r.nodes[i].sent, viewAge)
	}
	var after Demand
	for i := len(r.nodes) - 1; i >= 0; i-- {
		r.nodes[i].known.Add(after, 0)
		after.Add(r.nodes[i].sent, viewAge)
	}
	for i := range r.nodes {
		if r.deaf(i) {
			r.nodes[i].known, r.nodes[i].sent = Demand{}, Demand{}
			continue
		}
		r.nodes[i].sent = r.demand(i)
		r.nodes[i].sent.Trim()
	}
}

// grantShared serves the requests of a node by this package.
func (r *replay) grantShared(at int) {
	n := &r.nodes[at]
	if len(n.waiting) == 0 {
		return
	}
	free := r.free(at)
	smallest := slices.MinFunc(n.waiting, func(a, b Waiter) int { return a.Tokens - b.Tokens }).Tokens
	if slices.Max(free) < smallest {
		r.refuseEarly(at)
		return
	}
	for granted := true; granted && len(n.waiting) > 0; {
		granted = false
		s := &State{Now: r.now, Domain: n.domain, Own: r.demand(at), Elsewhere: n.known, Weighted: true, Credit: map[int]float64{},
			Weight: func(account string) float64 { return r.weights[account] }}
		for u := range n.rates {
			if n.credits[u] == nil {
				n.credits[u] = new(Credit)
			}
			s.Credit[u] = n.credits[u].Advance(s, u)
		}
		var all Demand
		all.Add(s.Own, 0)
		all.Add(s.Elsewhere, 0)
		for _, d := range Order(n.waiting, s) {
			w := n.waiting[d.Index]
			if d.Allows(w.Tokens, Usable(free, w.Tokens), Reserve(all, w.Urgency)) && r.place(at, d.Index, free) {
				if d.OnCredit {
					n.credits[w.Urgency].Take(w.Tokens)
				}
				granted = true
				break
			}
		}
	}
	r.refuseEarly(at)
}

// refuseEarly refuses requests that arrived in this step and whose turn is clearly too late.
func (r *replay) refuseEarly(at int) {
	n := &r.nodes[at]
	if !r.refuse {
		return
	}
	for i := len(n.waiting) - 1; i >= 0; i-- {
		w, k := n.waiting[i], n.kinds[i]
		if w.Arrived != r.now {
			continue
		}
		s := &State{Now: r.now, Domain: n.domain, Own: r.demand(at), Elsewhere: n.known, Weighted: true, Weight: func(account string) float64 { return r.weights[account] }}
		if turn := Predict(n.waiting, i, s); turn.ClearlyAfter(w.StartBy.Sub(r.now)) {
			r.count(w.Account, k, func(c *replayResult) { c.refused++ })
			n.drop(i)
		}
	}
}

// work advances one engine: runs end, prompts are read one after another, the most urgent first, and memory that is missing
// is taken from the newest of the least urgent runs.
func (r *replay) work(e int) {
	budget := readRate * float64(replayStep.Milliseconds())
	var kept []*replayRun
	used := 0
	slices.SortStableFunc(r.engines[e], func(a, b *replayRun) int { return a.kind.urgency - b.kind.urgency })
	for _, run := range r.engines[e] {
		if !run.began.IsZero() && r.progress(run) >= time.Duration(run.length*float64(run.kind.run)) {
			r.nodes[run.node].placed[e] -= run.need
			r.end(run)
			continue
		}
		r.updateNeed(e, run)
		kept = append(kept, run)
		used += r.memory(run)
	}
	r.engines[e] = kept
	for used > replayMemory {
		victim := newestLeastUrgent(kept)
		if victim == nil {
			break
		}
		used -= r.memory(victim)
		held := r.memory(victim)
		victim.done, victim.began, victim.late = r.progress(victim), time.Time{}, true
		victim.unread, victim.toRead = float64(held), float64(held)
		r.count(victim.account, victim.kind, func(c *replayResult) { c.preempted++ })
	}
	for _, run := range kept {
		if run.unread <= 0 || budget <= 0 || (run.unread == run.toRead && used+int(run.toRead) > replayMemory && used > 0) {
			continue
		}
		if run.unread == run.toRead {
			used += int(run.toRead)
		}
		read := min(budget, run.unread)
		budget, run.unread = budget-read, run.unread-read
		if run.unread <= 0 {
			run.began = r.now
			run.late = run.late || run.began.Sub(run.arrived) > run.kind.target
		}
	}
}

// updateNeed counts a run with the mean memory of the rest of its life.
func (r *replay) updateNeed(e int, run *replayRun) {
	if run.began.IsZero() {
		return
	}
	need := (r.memory(run) + run.kind.prompt + max(run.kind.answer, (r.memory(run)-run.kind.prompt)*3/2)) / 2
	r.nodes[run.node].placed[e] += need - run.need
	run.need = need
}

// memory returns the memory that a run holds at its engine.
func (r *replay) memory(run *replayRun) int {
	switch {
	case !run.began.IsZero():
		return run.kind.prompt + int(float64(run.kind.answer)*float64(r.progress(run))/float64(run.kind.run))
	case run.unread < run.toRead:
		return int(run.toRead)
	}
	return 0
}

// progress returns how long a run has generated.
func (r *replay) progress(run *replayRun) time.Duration {
	if run.began.IsZero() {
		return run.done
	}
	return run.done + r.now.Sub(run.began)
}

func newestLeastUrgent(runs []*replayRun) *replayRun {
	var victim *replayRun
	for _, run := range runs {
		if run.began.IsZero() && run.unread == run.toRead {
			continue
		}
		if victim == nil || run.kind.urgency > victim.kind.urgency || (run.kind.urgency == victim.kind.urgency && run.arrived.After(victim.arrived)) {
			victim = run
		}
	}
	return victim
}

func (r *replay) end(run *replayRun) {
	onTime := !run.late
	r.count(run.account, run.kind, func(c *replayResult) {
		if onTime {
			c.onTime++
		} else {
			c.late++
		}
	})
}

// This file defines the digests of the demand for the memory of engines, and how waiting requests are served
// when it is scarce. Package core/sharing decides.
//
// The part is active for a service with engines whose streams differ in urgency, or whose accounts differ in weight, and
// only while requests wait for its engines or most of their memory is in use. Until then no digest is sent, and requests
// are placed as if there were none.

package exchange

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"ebonyferry/internal/core/placement"
	"ebonyferry/internal/core/route"
	"ebonyferry/internal/core/sharing"
)

const (
	// scarceFill is the used part of the engines' memory above which nodes exchange their demand.
	scarceFill = 0.75
	// fillPeriod is how often the used part is computed.
	fillPeriod = 100 * time.Millisecond
	// othersPeriod is how long the sum of the other nodes' digests is used.
	othersPeriod = 50 * time.Millisecond
	// manyWaiting is the number of waiting requests from which passes have a gap.
	manyWaiting = 64
	// passGapPerRequest is the time until the next pass after one that placed none, for each waiting request. A pass takes about
	// 1.5 µs for each, and each arrival starts one.
	passGapPerRequest = 50 * time.Microsecond
	// maxGrantRounds bounds the requests that one pass places. The next pass follows within tickPeriod.
	maxGrantRounds = 16
	// maxFailedPlacements bounds the attempts of one pass to place requests that no engine has room for.
	maxFailedPlacements = 4
)

// demandDigest is the name of the digest kind.
const demandDigest = "demand"

// demandTable is what a node knows of the demand for the memory of engines, by service. Its methods are called with mu of
// the runtime held.
type demandTable struct {
	rt       *Runtime
	off      bool
	services map[string]*serviceDemand
	peers    map[string]peerDemand      // by node
	longest  map[string]*longestTimeout // by route
	count    SharingTotals
}

// peerDemand is the digest of another node, as of its arrival.
type peerDemand struct {
	services map[string]sharing.Demand
	at       time.Time
}

// serviceDemand is what this node granted of the memory of one service.
type serviceDemand struct {
	accounts, classes, domains sharing.Ledger
	flows                      map[int]*urgencyFlow
	credits                    map[int]*sharing.Credit
	fill                       float64 // used part of the memory as of fillAt
	fillAt                     time.Time
	others                     sharing.Demand // of all other nodes as of othersAt
	othersAt                   time.Time
	promises                   []promise
	waitingSince               time.Time // without interruption; zero if no request waits
	nextPass                   time.Time // no pass before, after one that placed none of many
}

// urgencyFlow is what this node granted to one urgency.
type urgencyFlow struct {
	granted, starts, held sharing.Ledger
	running               int // tokens of the runs
}

func newDemandTable(rt *Runtime) *demandTable {
	return &demandTable{rt: rt, services: make(map[string]*serviceDemand), peers: make(map[string]peerDemand), longest: make(map[string]*longestTimeout)}
}

// WithoutSharing makes each node order its waiting requests by urgency and arrival alone.
func WithoutSharing() Option { return func(rt *Runtime) { rt.demand.off = true } }

// of returns the demand of a service whose requests compete, or nil for any other.
func (t *demandTable) of(svc *route.Service) *serviceDemand {
	cfg := t.rt.config.Load()
	if t.off || svc.Engine == nil || cfg == nil || !cfg.Contended(svc.Name) {
		return nil
	}
	d := t.services[svc.Name]
	if d == nil {
		d = &serviceDemand{flows: make(map[int]*urgencyFlow), credits: make(map[int]*sharing.Credit)}
		t.services[svc.Name] = d
	}
	return d
}

// scarce returns the demand of a service whose memory is shared now, or nil.
func (t *demandTable) scarce(svc *route.Service, now time.Time) *serviceDemand {
	d := t.of(svc)
	if d == nil {
		return nil
	}
	waits := t.rt.waiting.any(svc.Name)
	d.observeWaiting(waits, now)
	if t.fill(svc, d, now) > scarceFill || waits || t.waitsElsewhere(svc.Name, now) {
		return d
	}
	return nil
}

// fill returns the used part of the memory of a service's engines.
func (t *demandTable) fill(svc *route.Service, d *serviceDemand, now time.Time) float64 {
	if now.Sub(d.fillAt) < fillPeriod {
		return d.fill
	}
	tokens, memory := 0, 0
	for _, s := range t.rt.pool.Usable(svc.Name, now) {
		tokens += t.rt.loads.load(s.ID, now).RunTokens
		memory += svc.Engine.MemoryTokens
	}
	d.fill, d.fillAt = float64(tokens)/float64(max(1, memory)), now
	return d.fill
}

func (t *demandTable) waitsElsewhere(service string, now time.Time) bool {
	for _, p := range t.peers {
		if now.Sub(p.at) > digestTTL {
			continue
		}
		for _, f := range p.services[service].Urgencies {
			if f.Waiting > 0 {
				return true
			}
		}
	}
	return false
}

// recordGrant counts a placed request. It returns nil if the requests of its service do not compete.
func (t *demandTable) recordGrant(req slotRequest, now time.Time) *urgencyFlow {
	d := t.of(req.adm.Service)
	if d == nil {
		return nil
	}
	tokens := float64(req.need.Tokens)
	seconds := tokens * t.rt.runTime(req).Seconds()
	d.accounts.Add(req.adm.Account, seconds, now)
	d.classes.Add(req.adm.Route.Name, seconds, now)
	d.domains.Add(t.rt.domain, seconds, now)
	flow := d.flows[req.adm.Priority]
	if flow == nil {
		flow = new(urgencyFlow)
		d.flows[req.adm.Priority] = flow
	}
	flow.granted.Add("", tokens, now)
	flow.starts.Add("", 1, now)
	flow.held.Add("", seconds, now)
	flow.running += req.need.Tokens
	return flow
}

// addRunning adds tokens to those of the runs. A grant that is not counted has no flow.
func (f *urgencyFlow) addRunning(tokens int) {
	if f != nil {
		f.running = max(0, f.running+tokens)
	}
}

// usualGap is the time between two events of a stream on a route without a target for it.
const usualGap = 75 * time.Millisecond

// prefillRate is the number of prompt tokens per second that an engine with other runs reads.
const prefillRate = 7000

// runTime returns how long a request is expected to hold its memory.
func (rt *Runtime) runTime(req slotRequest) time.Duration {
	g := req.adm.Generation
	length := placement.AnswerLength{Typical: rt.typicalLength(req.adm.Route.Name).Tokens(), Hint: g.LengthHint, Max: g.MaxTokens}
	events := length.Predict(0) / max(1, req.adm.Service.Engine.TokensPerEvent)
	prefill := time.Duration(float64(g.PromptTokens) / prefillRate * float64(time.Second))
	return prefill + time.Duration(events)*usualGap
}

// own returns the demand of this node.
func (t *demandTable) own(service string, d *serviceDemand, now time.Time) sharing.Demand {
	out := sharing.Demand{
		Urgencies: make(map[int]sharing.Flow), Accounts: make(map[string]sharing.Account),
		Classes: rounded(d.classes.All(now)), Domains: rounded(d.domains.All(now)),
	}
	for account, amount := range d.accounts.All(now) {
		out.Accounts[account] = sharing.Account{Received: math.Round(amount)}
	}
	period := sharing.Memory.Seconds()
	for u, f := range d.flows {
		out.Urgencies[u] = sharing.Flow{
			Granted: int(f.granted.At("", now) / period), Starts: math.Round(100*f.starts.At("", now)/period) / 100,
			Held: int(f.held.At("", now) / period), Running: f.running,
		}
	}
	groups := make(map[waitingGroup]waitingSum)
	for _, w := range t.rt.waiting.list {
		if w.adm.Service.Name == service {
			key := waitingGroup{w.adm.Priority, w.adm.Account}
			sum := groups[key]
			groups[key] = waitingSum{sum.requests + 1, sum.tokens + w.need.Tokens}
		}
	}
	for key, sum := range groups {
		out.AddWaiting(key.urgency, key.account, sum.requests, sum.tokens)
	}
	d.addPromises(&out, now)
	return out
}

// waitingGroup identifies the waiting requests of an account and urgency.
type waitingGroup struct {
	urgency int
	account string
}

type waitingSum struct{ requests, tokens int }

func rounded(amounts map[string]float64) map[string]float64 {
	for key, amount := range amounts {
		amounts[key] = math.Round(amount)
	}
	return amounts
}

// elsewhere returns the demand of the other nodes that include accepts.
func (t *demandTable) elsewhere(service string, include func(node string) bool, now time.Time) sharing.Demand {
	var sum sharing.Demand
	for name, p := range t.peers {
		if age := now.Sub(p.at); age <= digestTTL && include(name) {
			sum.Add(p.services[service], age)
		}
	}
	return sum
}

// others returns the demand of all other nodes. A hub has digests of many, so the sum is used for othersPeriod.
func (t *demandTable) others(service string, d *serviceDemand, now time.Time) sharing.Demand {
	if now.Sub(d.othersAt) >= othersPeriod {
		d.others, d.othersAt = t.elsewhere(service, everyNode, now), now
	}
	return d.others
}

func everyNode(string) bool { return true }

// state returns what the node knows when it decides.
func (t *demandTable) state(svc *route.Service, d *serviceDemand, now time.Time) *sharing.State {
	cfg := t.rt.config.Load()
	s := &sharing.State{
		Now: now, Domain: t.rt.domain, Own: t.own(svc.Name, d, now), Elsewhere: t.others(svc.Name, d, now),
		Weight: cfg.Weight, Weighted: cfg.HasWeights(), Credit: make(map[int]float64),
	}
	for u := range s.Own.Urgencies {
		if d.credits[u] == nil {
			d.credits[u] = new(sharing.Credit)
		}
		s.Credit[u] = d.credits[u].Advance(s, u)
	}
	return s
}

// active implements digestKind.
func (t *demandTable) active(now time.Time) bool {
	cfg := t.rt.config.Load()
	if t.off || cfg == nil {
		return false
	}
	for _, name := range cfg.ContendedServices() {
		if svc := cfg.Service(name); svc != nil && t.scarce(svc, now) != nil {
			return true
		}
	}
	return false
}

// sum implements digestKind.
func (t *demandTable) sum(include func(node string) bool, now time.Time) any {
	cfg := t.rt.config.Load()
	if cfg == nil {
		return nil
	}
	all := make(map[string]sharing.Demand)
	for _, name := range cfg.ContendedServices() {
		svc := cfg.Service(name)
		if svc == nil {
			continue
		}
		d := t.scarce(svc, now)
		if d == nil {
			continue
		}
		sum := t.elsewhere(name, include, now)
		sum.Add(t.own(name, d, now), 0)
		sum.Trim()
		sum.Round()
		all[name] = sum
	}
	return all
}

// receive implements digestKind.
func (t *demandTable) receive(from string, data json.RawMessage, now time.Time) error {
	var services map[string]sharing.Demand
	if err := json.Unmarshal(data, &services); err != nil {
		return fmt.Errorf("%w: %w", sharing.ErrMalformed, err)
	}
	for name, d := range services {
		if err := d.Check(); err != nil {
			return fmt.Errorf("service %q: %w", name, err)
		}
	}
	if from != hubEntry && !slices.ContainsFunc(t.rt.fleet.Peers(), func(p Peer) bool { return p.Name == from }) {
		return fmt.Errorf("%w: no node has the name %q", sharing.ErrMalformed, from)
	}
	t.peers[from] = peerDemand{services: services, at: now}
	return nil
}

// retain implements digestKind.
func (t *demandTable) retain(keep func(node string) bool) {
	for name := range t.peers {
		if !keep(name) {
			delete(t.peers, name)
		}
	}
}

// countGrant counts a waiting request that is placed.
func (t *demandTable) countGrant(w *waiter, now time.Time) {
	if w.adm.Priority == 0 {
		t.count.GrantedUrgent += int64(w.need.Tokens)
	} else {
		t.count.GrantedOther += int64(w.need.Tokens)
	}
	if w.predicted > 0 {
		t.count.PredictedWait += w.predicted
		t.count.ActualWait += now.Sub(w.since)
	}
}

// belowHalf returns the number of accounts that wait at this node and received less than half of their share.
func (t *demandTable) belowHalf(now time.Time) int {
	n := 0
	for _, svc := range t.rt.waiting.services() {
		if d := t.scarce(svc, now); d != nil {
			list, _ := t.waiters(svc.Name, now)
			n += sharing.BelowHalf(list, t.state(svc, d, now))
		}
	}
	return n
}

// waiters returns the waiting requests of a service in the form of package sharing, and their entries in the waitlist.
func (t *demandTable) waiters(service string, now time.Time) ([]sharing.Waiter, []*waiter) {
	list := make([]sharing.Waiter, 0, len(t.rt.waiting.list))
	entries := make([]*waiter, 0, len(t.rt.waiting.list))
	for _, w := range t.rt.waiting.list {
		if w.adm.Service.Name != service {
			continue
		}
		list = append(list, sharing.Waiter{
			Urgency: w.adm.Priority, Account: w.adm.Account, Class: w.adm.Route.Name, Tokens: w.need.Tokens,
			Run: w.run, Arrived: w.since, StartBy: w.until.Add(-w.adm.sinceFirst), Returning: w.adm.returning,
		})
		entries = append(entries, w)
	}
	return list, entries
}

// grantShared places the waiting requests of a service whose memory is scarce. The caller holds mu.
func (rt *Runtime) grantShared(svc *route.Service, d *serviceDemand, now time.Time) {
	if rt.awaitsFreshData(now) || now.Before(d.nextPass) {
		return
	}
	for range maxGrantRounds {
		free, size := rt.freeMemory(svc, now), rt.waiting.smallest(svc.Name)
		if size == 0 || len(free) == 0 || slices.Max(free) < size {
			return
		}
		if !rt.grantOne(svc, d, free, now) {
			if n := len(rt.waiting.list); n >= manyWaiting {
				d.nextPass = now.Add(time.Duration(n) * passGapPerRequest)
			}
			return
		}
	}
}

// freeMemory returns the tokens that runs may still take of each engine of a service that has a free slot.
func (rt *Runtime) freeMemory(svc *route.Service, now time.Time) []int {
	_, list := rt.candidates(svc, nil, nil, now)
	free := make([]int, 0, len(list))
	for i := range list {
		if tokens := list[i].FreeForRuns(); tokens > 0 {
			free = append(free, tokens)
		}
	}
	return free
}

// grantOne places the first waiting request in the order of package sharing that may take its memory.
func (rt *Runtime) grantOne(svc *route.Service, d *serviceDemand, free []int, now time.Time) bool {
	list, entries := rt.demand.waiters(svc.Name, now)
	s := rt.demand.state(svc, d, now)
	var all sharing.Demand
	all.Add(s.Own, 0)
	all.Add(s.Elsewhere, 0)
	largest := slices.Max(free)
	for failed, decisions := 0, sharing.Order(list, s); len(decisions) > 0 && failed < maxFailedPlacements; decisions = decisions[1:] {
		decision := decisions[0]
		w, tokens := entries[decision.Index], list[decision.Index].Tokens
		reserve := 0
		if s.Weighted {
			reserve = sharing.Reserve(all, w.adm.Priority)
		}
		if tokens > largest || !decision.Allows(tokens, sharing.Usable(free, tokens), reserve) {
			continue
		}
		if _, quarantined := rt.parts.Quarantined(w.adm.parts, now); quarantined {
			rt.waiting.remove(w)
			w.placed <- placed{err: errQuarantined}
			return true
		}
		g, ok := rt.tryGrant(w.slotRequest, now)
		if !ok {
			failed++
			continue
		}
		if decision.OnCredit {
			d.credits[w.adm.Priority].Take(tokens)
		}
		rt.demand.countGrant(w, now)
		rt.waiting.remove(w)
		w.placed <- placed{grant: g}
		return true
	}
	return false
}

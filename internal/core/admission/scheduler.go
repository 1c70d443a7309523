package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/length"
	"ebonyferry/internal/core/quarantine"
	"ebonyferry/internal/core/retry"
	"ebonyferry/internal/core/routing"
)

const (
	defaultMargin          = 0.7 // standard deviations of committed memory that are kept free
	ticketsPerRound        = 8   // tickets that a round tries before the queue waits for capacity
	initialFirstTokenDelay = 200 * time.Millisecond
	minRetryAfter          = 500 * time.Millisecond
	maxRetryAfter          = 30 * time.Second
	defaultRetryAfter      = 2 * time.Second // for refusals that depend on neither the queue nor an account's limits
)

// Targets are the latencies promised to callers.
type Targets struct {
	FirstToken time.Duration // until the first token
	TokenGap   time.Duration // between tokens
}

// DefaultTargets are the latencies promised for the 95th percentile.
var DefaultTargets = Targets{FirstToken: 1900 * time.Millisecond, TokenGap: 74 * time.Millisecond}

// Scheduler decides on the generations of one node. It is not safe for concurrent use. The times passed to its methods
// must not decrease.
type Scheduler struct {
	node           string // name of the node, used in tie-breaks
	targets        Targets
	margin         float64
	budgets        Budgets
	mayRunSuspects func(server string) bool

	configured  bool
	servers     map[string]*server
	pools       map[string]*pool // by model
	sortedPools []*pool          // by model name
	accounts    *accounts
	lengths     *length.Predictor
	retries     *retry.Budget
	ejector     *retry.Ejector
	suspects    *quarantine.Registry
	crashes     []quarantine.Crash // oldest first; at most maxCrashes
	parts       *quarantine.Parts
	passes      quarantine.Passes // of the parts of this node's requests
	asksNodes   bool              // see WithNodeAnswers
	lastCrashed string            // server of the latest crash in parts

	decided          []*Ticket // since the last Poll or TakeDecided
	candidates       []routing.Candidate
	candidateServers []*server // of candidates
	tickets          []*Ticket // scratch space of polls
}

// pool is a model with its queue and the servers that serve it.
type pool struct {
	model    string
	servers  []*server // by ID
	splitter *routing.Splitter
	shares   []bundle.VersionShare
	queue    queue

	running          map[*account]int // streams by account
	fairLevel        float64          // fair number of streams per unit of weight, as of levelAt
	levelAt          time.Time
	serversInService int // as of learnedAt
	// totalWanted is the number of streams that all accounts run or wait for, totalUsual the number that they usually run,
	// and maxSurplus the largest surplus of an account, all as of levelAt.
	totalWanted, totalUsual, maxSurplus float64
	usual                               map[*account]decayingMean // streams that each account runs
	// learnedAt is when usual was last updated.
	learnedAt       time.Time
	usages          []usage          // scratch space
	wantedByAccount map[*account]int // scratch space
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithTargets sets the latency targets.
func WithTargets(t Targets) Option { return func(s *Scheduler) { s.targets = t } }

// WithMargin sets how many standard deviations of committed memory are kept free.
func WithMargin(deviations float64) Option { return func(s *Scheduler) { s.margin = deviations } }

// WithSuspectServers restricts the servers on which this node runs suspects, so that no two nodes run suspects on the
// same server.
func WithSuspectServers(may func(server string) bool) Option {
	return func(s *Scheduler) { s.mayRunSuspects = may }
}

// WithNodeAnswers states that other nodes may have seen answers which speak for a part of a prompt. Done then gives no
// verdicts on parts; after a crash the caller asks the other nodes the queries of PartQueries and calls JudgeParts.
func WithNodeAnswers() Option { return func(s *Scheduler) { s.asksNodes = true } }

// New returns a scheduler for the named node. It refuses all work until Configure is called.
func New(node string, budgets Budgets, opts ...Option) *Scheduler {
	s := &Scheduler{
		node:           node,
		targets:        DefaultTargets,
		margin:         defaultMargin,
		budgets:        budgets,
		mayRunSuspects: func(string) bool { return true },
		servers:        make(map[string]*server),
		pools:          make(map[string]*pool),
		accounts:       newAccounts(),
		lengths:        length.New(),
		retries:        retry.NewBudget(),
		ejector:        retry.NewEjector(),
		suspects:       quarantine.New(0),
		parts:          quarantine.NewParts(),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Configure applies a configuration. The limits of accounts are shared by the given number of nodes, among which this
// one has the given rank, from 0. Running work is not affected.
func (s *Scheduler) Configure(in *bundle.InForce, nodes, rank int) {
	s.configured = true
	s.configureServers(in)
	s.configurePools(in)
	s.accounts.configure(in.Keys.Accounts, nodes, rank)
}

func (s *Scheduler) configureServers(in *bundle.InForce) {
	seen := make(map[string]bool, len(in.Bundle.Servers))
	for _, cfg := range in.Bundle.Servers {
		if cfg.Kind != bundle.KindEngine {
			continue
		}
		seen[cfg.ID] = true
		srv := s.servers[cfg.ID]
		if srv == nil || srv.Addr != cfg.Addr || srv.MaxStreams != cfg.MaxStreams || srv.ColdStreams != cfg.ColdStreams {
			next := newServer(cfg, s.targets.TokenGap)
			if srv != nil {
				next.streams, next.suspects, next.pending = srv.streams, srv.suspects, srv.pending
			}
			srv = next
			s.servers[cfg.ID] = srv
		}
		srv.Server = cfg
		srv.out = isOut(in.Head.OutOfService, cfg)
	}
	for id, srv := range s.servers {
		if seen[id] {
			continue
		}
		srv.out = true
		if len(srv.streams) == 0 {
			delete(s.servers, id)
			s.ejector.Forget(id)
		}
	}
}

func isOut(out bundle.OutOfService, srv bundle.Server) bool {
	return slices.Contains(out.Servers, srv.ID) || slices.Contains(out.FailureDomains, srv.FailureDomain)
}

func (s *Scheduler) configurePools(in *bundle.InForce) {
	old := s.pools
	s.pools, s.sortedPools = make(map[string]*pool, len(in.Bundle.Models)), nil
	for _, m := range in.Bundle.Models {
		p := old[m.Name]
		if p == nil {
			p = &pool{model: m.Name, running: make(map[*account]int), wantedByAccount: make(map[*account]int),
				usual: make(map[*account]decayingMean), queue: queue{byAccount: make(map[*account]int)}}
		}
		s.setShares(p, in.Head.VersionShares[m.Name], m.Versions)
		p.servers = s.serversOf(m.Name)
		s.pools[m.Name] = p
		s.sortedPools = append(s.sortedPools, p)
		delete(old, m.Name)
	}
	slices.SortFunc(s.sortedPools, func(a, b *pool) int { return cmp.Compare(a.model, b.model) })
	for _, p := range old {
		for _, t := range p.queue.all() {
			p.queue.remove(t)
			s.refuse(t, UnknownModel, 0)
		}
	}
}

func (s *Scheduler) setShares(p *pool, override, shares []bundle.VersionShare) {
	if override != nil {
		shares = override
	}
	if p.splitter != nil && slices.Equal(p.shares, shares) {
		return
	}
	p.shares = shares
	p.splitter = routing.NewSplitter(shares, int(xxhash.Sum64String(s.node+p.model)%bundle.ShareTotal))
	for _, t := range p.queue.all() {
		t.version = p.splitter.Next()
	}
}

func (s *Scheduler) serversOf(model string) []*server {
	var list []*server
	for _, srv := range s.servers {
		if slices.ContainsFunc(srv.Models, func(v bundle.ModelVersion) bool { return v.Model == model }) {
			list = append(list, srv)
		}
	}
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Offer submits work. The ticket is decided by this call or a later Poll.
func (s *Scheduler) Offer(w Work, now time.Time) *Ticket {
	t := &Ticket{Work: w, arrivedAt: now}
	if w.Deadline.IsZero() {
		t.Work.Deadline = now.Add(classDeadline[w.Class])
	}
	p := s.pools[w.Model]
	switch {
	case !s.configured:
		s.refuse(t, NotReady, defaultRetryAfter)
	case p == nil:
		s.refuse(t, UnknownModel, 0)
	case !s.checkQuarantine(t, now):
	case !s.fits(p, t):
		s.refuse(t, NoServer, defaultRetryAfter)
	case !s.withinLimits(t, now):
	default:
		s.enqueue(p, t, now)
	}
	return t
}

// fits reports whether the memory of any server in service is large enough for t's prompt.
func (s *Scheduler) fits(p *pool, t *Ticket) bool {
	for _, srv := range p.servers {
		if srv.inService() && (srv.MemoryTokens == 0 || t.Work.PromptTokens < srv.MemoryTokens) {
			return true
		}
	}
	return false
}

// withinLimits checks the account's limits and the retry budget. It refuses t and returns false if one is exceeded.
func (s *Scheduler) withinLimits(t *Ticket, now time.Time) bool {
	t.account = s.accounts.get(t.Work.Account, now)
	if t.Work.Attempt > 0 {
		if !s.retries.TakeRetry(t.Work.Account) {
			s.refuse(t, RetryBudget, defaultRetryAfter)
			return false
		}
		return true
	}
	if d, over := t.account.exceeded(now); over {
		s.refuse(t, AccountLimit, min(max(d, minRetryAfter), maxRetryAfter))
		return false
	}
	t.account.takeRequest()
	s.retries.CountRequest(t.Work.Account)
	return true
}

func (s *Scheduler) enqueue(p *pool, t *Ticket, now time.Time) {
	t.series = s.lengths.Series(length.Key{Account: t.Work.Account, Class: t.Work.Class.String(), Model: t.Work.Model})
	t.version = p.splitter.Next()
	t.latestStart = t.Work.Deadline.Add(-p.firstTokenDelay())
	p.queue.push(t)
	s.grantWaiting(p, now)
	if t.state != waiting || p.queue.size < 2 || now.Sub(p.queue.waitingSince) < minRateTime {
		return
	}
	if wait := p.queue.estimateWait(t, now); now.Add(wait).After(t.latestStart) {
		p.queue.remove(t)
		s.refuse(t, Overloaded, s.retryAfter(p, t, now))
	}
}

// firstTokenDelay returns the time from grant to first token that most work stays within.
func (p *pool) firstTokenDelay() time.Duration {
	if p.queue.firstTokenDelay.n == 0 {
		return initialFirstTokenDelay
	}
	return time.Duration((p.queue.firstTokenDelay.mean + 2*p.queue.firstTokenDelay.dev) * float64(time.Second))
}

// retryAfter returns the time after which a retry may succeed: when the work that waits now has been served.
func (s *Scheduler) retryAfter(p *pool, t *Ticket, now time.Time) time.Duration {
	return min(max(p.queue.estimateWait(t, now), minRetryAfter), maxRetryAfter)
}

func (s *Scheduler) refuse(t *Ticket, reason Reason, after time.Duration) {
	t.state = refused
	t.Refusal = &Refusal{Reason: reason, RetryAfter: after}
	s.decided = append(s.decided, t)
}

// Cancel withdraws a waiting ticket. It returns false if the ticket is already decided.
func (s *Scheduler) Cancel(t *Ticket) bool {
	if t.state != waiting {
		return false
	}
	t.state = ended
	if p := s.pools[t.Work.Model]; p != nil {
		p.queue.remove(t)
	}
	return true
}

// Poll decides waiting tickets where possible and returns the tickets decided since the last Poll or TakeDecided. The
// result is valid until the next call.
func (s *Scheduler) Poll(now time.Time) []*Ticket {
	for _, p := range s.sortedPools {
		s.expire(p, now)
		s.grantWaiting(p, now)
	}
	s.clearSuspects(now)
	s.accounts.decay(now)
	s.accounts.sweep(now)
	return s.TakeDecided()
}

// TakeDecided returns the tickets decided since the last Poll or TakeDecided. It decides no waiting ticket.
func (s *Scheduler) TakeDecided() []*Ticket {
	d := s.decided
	s.decided = nil
	return d
}

func (s *Scheduler) expire(p *pool, now time.Time) {
	s.tickets = p.queue.expired(s.tickets[:0], now)
	for _, t := range s.tickets {
		p.queue.remove(t)
		s.refuse(t, Overloaded, s.retryAfter(p, t, now))
	}
}

// grantWaiting grants waiting work in the queue's order until a round grants none.
func (s *Scheduler) grantWaiting(p *pool, now time.Time) {
	for p.queue.size > 0 && s.grantNext(p, now) {
	}
}

// grantNext grants or refuses the first ticket that can be, and reports whether there was one.
func (s *Scheduler) grantNext(p *pool, now time.Time) bool {
	s.tickets = p.queue.next(s.tickets[:0], ticketsPerRound)
	for _, t := range s.tickets {
		if !s.checkQuarantine(t, now) {
			p.queue.remove(t)
			return true
		}
		if s.tryGrant(p, t, now) {
			p.queue.remove(t)
			return true
		}
	}
	return false
}

// tieBreak returns a number that orders equal servers differently at each node.
func (s *Scheduler) tieBreak(server string) uint64 {
	return xxhash.Sum64String(s.node + "/" + server)
}

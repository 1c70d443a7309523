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
	defaultMargin = 0.7 // standard deviations of promised memory that are kept free
	headsPerPoll  = 8   // tickets tried at each poll before the queue waits for room
	initialFirst  = 200 * time.Millisecond
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	noServerRetry = 2 * time.Second
)

// Targets are the latencies that callers are promised.
type Targets struct {
	FirstToken time.Duration // until the first token
	TokenGap   time.Duration // between tokens
}

// DefaultTargets are the latencies that hold for 95 in 100.
var DefaultTargets = Targets{FirstToken: 1900 * time.Millisecond, TokenGap: 74 * time.Millisecond}

// Scheduler decides the generations of one node. It has one owner: its methods are not safe for concurrent
// use, and every time passed in is no earlier than the one before.
type Scheduler struct {
	node       string // name, part of tie-breaks
	targets    Targets
	margin     float64
	budgets    Budgets
	maySuspect func(server string) bool

	configured bool
	servers    map[string]*server
	pools      map[string]*pool // by model
	order      []*pool          // by model name
	accounts   *accounts
	lengths    *length.Predictor
	retries    *retry.Budget
	ejector    *retry.Ejector
	suspects   *quarantine.Registry
	crashes    []quarantine.Crash // latest last; at most maxCrashes

	decided    []*Ticket // since the last Poll
	candidates []routing.Candidate
	found      []*server // of candidates
	tickets    []*Ticket // scratch space of polls
}

// pool is a model with the servers that serve it.
type pool struct {
	model   string
	servers []*server // by ID
	split   *routing.Splitter
	shares  []bundle.VersionShare
	queue   queue

	running map[*account]int // streams by account
	level   float64          // fair number of streams per unit of weight, as of levelAt
	levelAt time.Time
	serving int // servers in service, as of learnedAt
	// wish counts the streams that all accounts run or wait for, usually what they usually run, and mostSurplus is the
	// largest surplus of an account, as of levelAt.
	wish, usually, mostSurplus float64
	usual                      map[*account]usual
	// learnedAt is when usual was last brought up to date.
	learnedAt time.Time
	usages    []usage          // scratch space
	wants     map[*account]int // scratch space
}

// Option changes a Scheduler.
type Option func(*Scheduler)

// WithTargets sets the latency targets.
func WithTargets(t Targets) Option { return func(s *Scheduler) { s.targets = t } }

// WithMargin sets how many standard deviations of promised memory are kept free.
func WithMargin(deviations float64) Option { return func(s *Scheduler) { s.margin = deviations } }

// WithSuspectServers restricts the servers on which this node runs suspects, so that no two nodes run theirs
// on one server.
func WithSuspectServers(may func(server string) bool) Option {
	return func(s *Scheduler) { s.maySuspect = may }
}

// New returns a scheduler of the named node, which refuses all work until Configure.
func New(node string, budgets Budgets, opts ...Option) *Scheduler {
	s := &Scheduler{
		node:       node,
		targets:    DefaultTargets,
		margin:     defaultMargin,
		budgets:    budgets,
		maySuspect: func(string) bool { return true },
		servers:    make(map[string]*server),
		pools:      make(map[string]*pool),
		accounts:   newAccounts(),
		lengths:    length.New(),
		retries:    retry.NewBudget(),
		ejector:    retry.NewEjector(),
		suspects:   quarantine.New(0),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Configure applies a configuration. Nodes is the number of nodes that share the accounts' limits and rank,
// from 0, the place of this one among them. Running work is not touched.
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
	s.pools, s.order = make(map[string]*pool, len(in.Bundle.Models)), nil
	for _, m := range in.Bundle.Models {
		p := old[m.Name]
		if p == nil {
			p = &pool{model: m.Name, running: make(map[*account]int), wants: make(map[*account]int), usual: make(map[*account]usual), queue: queue{of: make(map[*account]int)}}
		}
		s.setShares(p, in.Head.VersionShares[m.Name], m.Versions)
		p.servers = s.serversOf(m.Name)
		s.pools[m.Name] = p
		s.order = append(s.order, p)
		delete(old, m.Name)
	}
	slices.SortFunc(s.order, func(a, b *pool) int { return cmp.Compare(a.model, b.model) })
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
	if p.split != nil && slices.Equal(p.shares, shares) {
		return
	}
	p.shares = shares
	p.split = routing.NewSplitter(shares, int(xxhash.Sum64String(s.node+p.model)%bundle.ShareTotal))
	for _, t := range p.queue.all() {
		t.version = p.split.Next()
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

// Offer takes work. The ticket is decided by this or a later Poll.
func (s *Scheduler) Offer(w Work, now time.Time) *Ticket {
	t := &Ticket{Work: w, arrivedAt: now}
	if w.Deadline.IsZero() {
		t.Work.Deadline = now.Add(classDeadline[w.Class])
	}
	p := s.pools[w.Model]
	switch {
	case !s.configured:
		s.refuse(t, NotReady, noServerRetry)
	case p == nil:
		s.refuse(t, UnknownModel, 0)
	case !s.judge(t, now):
	case !s.fits(p, t):
		s.refuse(t, NoServer, noServerRetry)
	case !s.allowed(t, now):
	default:
		s.enqueue(p, t, now)
	}
	return t
}

// Fits reports whether any server in service could ever run t.
func (s *Scheduler) fits(p *pool, t *Ticket) bool {
	for _, srv := range p.servers {
		if srv.inService() && (srv.MemoryTokens == 0 || t.Work.PromptTokens < srv.MemoryTokens) {
			return true
		}
	}
	return false
}

// Allowed checks the account's limits and the retry budgets.
func (s *Scheduler) allowed(t *Ticket, now time.Time) bool {
	t.account = s.accounts.get(t.Work.Account, now)
	if t.Work.Attempt > 0 {
		if !s.retries.TakeRetry(t.Work.Account) {
			s.refuse(t, RetryBudget, noServerRetry)
			return false
		}
		return true
	}
	if d, over := t.account.over(now); over {
		s.refuse(t, AccountLimit, min(max(d, minRetryAfter), maxRetryAfter))
		return false
	}
	t.account.accepted()
	s.retries.CountRequest(t.Work.Account)
	return true
}

func (s *Scheduler) enqueue(p *pool, t *Ticket, now time.Time) {
	t.series = s.lengths.Series(length.Key{Account: t.Work.Account, Class: t.Work.Class.String(), Model: t.Work.Model})
	t.version = p.split.Next()
	t.latest = t.Work.Deadline.Add(-p.firstToken())
	p.queue.push(t)
	s.poll(p, now)
	if t.state != waiting || p.queue.n < 2 || now.Sub(p.queue.since) < rateEvidence {
		return
	}
	if wait := p.queue.wait(t, now); now.Add(wait).After(t.latest) {
		p.queue.remove(t)
		s.refuse(t, Overloaded, s.comeBack(p, t, now))
	}
}

// FirstToken returns the time from grant to first token that most work stays within.
func (p *pool) firstToken() time.Duration {
	if p.queue.first.n == 0 {
		return initialFirst
	}
	return time.Duration((p.queue.first.mean + 2*p.queue.first.dev) * float64(time.Second))
}

// ComeBack returns when asking again may help: when what waits now has been served.
func (s *Scheduler) comeBack(p *pool, t *Ticket, now time.Time) time.Duration {
	return min(max(p.queue.wait(t, now), minRetryAfter), maxRetryAfter)
}

func (s *Scheduler) refuse(t *Ticket, reason Reason, after time.Duration) {
	t.state = refused
	t.Refusal = &Refusal{Reason: reason, RetryAfter: after}
	s.decided = append(s.decided, t)
}

// Cancel withdraws a ticket that waits. It reports false when the ticket was decided before.
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

// Poll grants and refuses what waits and returns the tickets decided since the last Poll. The result is valid
// until the next call.
func (s *Scheduler) Poll(now time.Time) []*Ticket {
	for _, p := range s.order {
		s.expire(p, now)
		s.poll(p, now)
	}
	s.probate(now)
	s.accounts.decay(now)
	s.accounts.sweep(now)
	return s.TakeDecided()
}

// TakeDecided returns the tickets decided since the last Poll or TakeDecided without looking at those that wait.
func (s *Scheduler) TakeDecided() []*Ticket {
	d := s.decided
	s.decided = nil
	return d
}

func (s *Scheduler) expire(p *pool, now time.Time) {
	s.tickets = p.queue.expired(s.tickets[:0], now)
	for _, t := range s.tickets {
		p.queue.remove(t)
		s.refuse(t, Overloaded, s.comeBack(p, t, now))
	}
}

// Grants work in the queue's order until a round finds no room.
func (s *Scheduler) poll(p *pool, now time.Time) {
	for p.queue.n > 0 && s.pollOnce(p, now) {
	}
}

func (s *Scheduler) pollOnce(p *pool, now time.Time) bool {
	s.tickets = p.queue.heads(s.tickets[:0], headsPerPoll)
	for _, t := range s.tickets {
		if !s.judge(t, now) {
			p.queue.remove(t)
			return true
		}
		if s.place(p, t, now) {
			p.queue.remove(t)
			return true
		}
	}
	return false
}

// Tie returns a number that orders equal servers differently at each node.
func (s *Scheduler) tie(server string) uint64 {
	return xxhash.Sum64String(s.node + "/" + server)
}

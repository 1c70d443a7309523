package duty

import (
	"context"
	"crypto/rand"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/duty"
	"ebonyferry/internal/core/truetime"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
	"ebonyferry/internal/run/mirror"
)

// keyPrefix is the prefix of the store's keys of duties. The name of a duty follows.
const keyPrefix = "duties/"

// Store is the part of the store that duties use. Its errors are those of package kvstore.
type Store interface {
	Get(ctx context.Context, key string) (kvstore.Entry, error)
	CompareAndSwap(ctx context.Context, key string, expected kvstore.Revision, value []byte, lease kvstore.LeaseID) (kvstore.Revision, error)
	GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error)
	KeepAlive(ctx context.Context, id kvstore.LeaseID) (time.Duration, error)
	RevokeLease(ctx context.Context, id kvstore.LeaseID) error
	Era() kvstore.Era
}

// Mirror answers from the node's copy of the store.
type Mirror interface {
	State() mirror.State
	Lookup(ctx context.Context, key string) (kvstore.Entry, bool, error)
}

// Peer is a node.
type Peer struct {
	Name string
	Addr netip.AddrPort
}

// Fleet is what duties need of membership.
type Fleet interface {
	// Candidates returns the nodes that may hold duties, in the same order at all nodes.
	Candidates() []Peer
	// Nodes returns all nodes that may serve requests, also those that other nodes do not reach.
	Nodes() []Peer
}

// Config configures the duties of a node.
type Config struct {
	Self      string
	Held      []duty.Kind
	LeaseTTL  time.Duration
	Window    time.Duration // of usage reports
	Due       time.Duration // from the end of a window until its report is due
	Tolerance float64       // share by which a count may be off
	// CallsPerSecond bounds the calls that all nodes together may make.
	CallsPerSecond float64
}

// Service performs the duties of a node. It is safe for concurrent use.
type Service struct {
	cfg     Config
	nonce   string // of this process
	store   Store
	mirror  Mirror
	fleet   Fleet
	client  Client
	peers   *node.Client
	log     log.Interface
	windows duty.Windows
	closing duty.Closing
	read    func() truetime.Reading
	demands func() []Demand
	// ownWaiting returns what the requests that wait at this node need, in full servers by service.
	ownWaiting func() map[string]float64
	orders     orderer
	report     reporter

	clockMu sync.Mutex
	clock   *truetime.Clock // guarded by clockMu

	mu         sync.Mutex
	leaving    bool
	terms      map[duty.Kind]*term // not changed after New
	counter    *duty.Counter
	table      *duty.Table
	history    *duty.History
	recipients map[string]*recipient  // by node name
	waiting    map[string]nodeWaiting // of the other nodes, by name
	rejected   time.Time              // when a rejection was last logged
	totals     Totals
}

// Totals are counts since the start.
type Totals struct {
	Reported   int // reports that the platform took
	Failed     int // calls with reports that failed
	Dropped    int // windows that were not reported
	LastReport time.Time
	Ordered    int // orders that the platform took
	Unordered  int // calls with orders that failed
}

// Option changes a Service.
type Option func(*Service)

// WithLog sets the log for events.
func WithLog(l log.Interface) Option { return func(s *Service) { s.log = l } }

// WithClocks replaces the clocks of the node.
func WithClocks(read func() truetime.Reading) Option { return func(s *Service) { s.read = read } }

// New returns the duties of a node.
func New(cfg Config, st Store, m Mirror, f Fleet, c Client, peers *node.Client, opts ...Option) *Service {
	windows, start := duty.Windows{Length: cfg.Window}, time.Now()
	s := &Service{
		cfg: cfg, nonce: rand.Text(), store: st, mirror: m, fleet: f, client: c, log: log.Log,
		peers:   peers.Derive(node.WithTimeout(messageTimeout)),
		windows: windows,
		closing: duty.NewClosing(windows, cfg.Due, cfg.LeaseTTL, cfg.Tolerance),
		read: func() truetime.Reading {
			now := time.Now()
			return truetime.Reading{Wall: now.Round(0), Mono: now.Sub(start)}
		},
		terms:      make(map[duty.Kind]*term),
		counter:    duty.NewCounter(),
		history:    duty.NewHistory(),
		recipients: make(map[string]*recipient),
		waiting:    make(map[string]nodeWaiting),
		demands:    func() []Demand { return nil },
		ownWaiting: func() map[string]float64 { return nil },
		report:     reporter{pulled: make(map[uint64]time.Time), refused: make(map[uint64]int)},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.clock = truetime.New(s.read())
	s.table = duty.NewTable(windows, s.now())
	for _, kind := range cfg.Held {
		s.terms[kind] = newTerm(kind, cfg.LeaseTTL)
	}
	return s
}

// has reports whether the settings name a duty.
func (s *Service) has(kind duty.Kind) bool { return s.terms[kind] != nil }

// Mount registers the handlers of messages between nodes.
func (s *Service) Mount(r chi.Router) {
	if len(s.terms) > 0 {
		node.Handle(r, pathUsage, s.handleUsage)
		node.Handle(r, pathRows, s.handleRows)
	}
}

// Run performs the duties until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var group errgroup.Group
	for _, t := range s.terms {
		group.Go(func() error { return s.keepTerm(ctx, t) })
	}
	if len(s.terms) > 0 {
		group.Go(func() error { return s.sendCounts(ctx) })
	}
	if s.has(duty.Scaling) {
		group.Go(func() error { return s.orderServers(ctx) })
	}
	if s.has(duty.Usage) {
		group.Go(func() error { return s.reportUsage(ctx) })
	}
	return group.Wait()
}

// Drain makes the node release its duties.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Flush sends what was counted and not sent yet. It is called after the last request has ended.
func (s *Service) Flush(ctx context.Context) {
	if len(s.terms) > 0 {
		s.sendOnce(ctx)
	}
}

// now returns true time. A jump of the wall clock does not change it.
func (s *Service) now() time.Time {
	s.clockMu.Lock()
	defer s.clockMu.Unlock()
	now, jump := s.clock.Now(s.read())
	if jump != 0 {
		event.Log(s.log, event.ClockJumped, event.Fields{"jumpMs": jump.Milliseconds()})
	}
	return now
}

// observeClock records how far the true time of another node is ahead of this node's.
func (s *Service) observeClock(peer string, offset time.Duration) {
	s.clockMu.Lock()
	defer s.clockMu.Unlock()
	if by := s.clock.Observe(peer, offset); by != 0 {
		event.Log(s.log, event.ClockCorrected, event.Fields{"byMs": by.Milliseconds()})
	}
}

// Totals returns the counts since the start.
func (s *Service) Totals() Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals
}

// Acting reports whether this node holds a duty and may act.
func (s *Service) Acting(kind duty.Kind) bool {
	_, remaining := s.acting(kind)
	return remaining > 0
}

// acting returns the present term of a duty and how much longer this node may act under it. It may not if that is zero or below.
func (s *Service) acting(kind duty.Kind) (duty.Term, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.terms[kind]
	if t == nil || s.leaving {
		return duty.Term{}, 0
	}
	return duty.Term{Duty: kind, Holder: s.cfg.Self, Token: t.lease.Token()}, t.lease.Remaining(time.Now())
}

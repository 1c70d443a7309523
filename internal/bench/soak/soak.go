package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"sync"
	"time"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/bench/load"
	"ebonyferry/internal/run/fleet"
)

// This file defines the run of a soak.

const (
	defaultNodes    = 8
	defaultEngines  = 8
	defaultDuration = 60 * time.Second
	defaultRate     = 25.0
	medianTokens    = 150
	longestTokens   = 500
	patience        = 60 * time.Second
	refusals        = 6
	crashEvery      = 150
)

// Result is the outcome of a soak.
type Result struct {
	Seed       uint64       `json:"seed"`
	Nodes      int          `json:"nodes"`
	Figures    Figures      `json:"figures"`
	Load       load.Report  `json:"load"`
	Schedule   []string     `json:"schedule"`
	Starts     []Starts     `json:"starts"`  // what the engines began, by second
	Changes    int          `json:"changes"` // of the configuration, accepted
	Engines    EngineTotals `json:"engines"`
	Notes      []string     `json:"notes,omitempty"`
	Violations []string     `json:"violations,omitempty"`
	Dir        string       `json:"dir"` // with the nodes' logs
}

// EngineTotals sums the counters of all engines.
type EngineTotals struct {
	Started     int           `json:"started"`
	Finished    int           `json:"finished"`
	Canceled    int           `json:"canceled"`
	Preemptions int           `json:"preemptions"`
	Stall       time.Duration `json:"stall"` // from preemptions to the next token
	Crashes     int           `json:"crashes"`
}

// Option changes a soak.
type Option func(*soak)

// WithSize sets the number of nodes and engines.
func WithSize(nodes, engines int) Option {
	return func(s *soak) { s.nodeCount, s.engineCount = nodes, engines }
}

// WithDuration sets how long requests arrive and faults happen.
func WithDuration(d time.Duration) Option { return func(s *soak) { s.duration = d } }

// WithSeed sets the seed of the schedule and of the load.
func WithSeed(seed uint64) Option { return func(s *soak) { s.seed = seed } }

// WithRate sets the requests a second.
func WithRate(rate float64) Option { return func(s *soak) { s.rate = rate } }

// WithoutFaults makes a soak without any action.
func WithoutFaults() Option { return func(s *soak) { s.calm = true } }

// WithProgress sets where progress is written.
func WithProgress(w io.Writer) Option { return func(s *soak) { s.progress = w } }

// soak is one run.
type soak struct {
	nodeCount, engineCount int
	duration               time.Duration
	seed                   uint64
	rate                   float64
	calm                   bool
	progress               io.Writer

	world   *world
	nodes   []*nodeUnit
	journal *journal
	began   time.Time // of the load
	ended   time.Time

	mu     sync.Mutex
	stuck  []string // drains that did not end; guarded by mu
	failed []string // restarts that failed; guarded by mu
}

// Run starts stand-ins in this process and nodes as processes of binary, drives load and faults, and checks.
// The nodes' settings and logs are written to dir. All processes have ended when it returns.
func Run(ctx context.Context, binary, dir string, opts ...Option) (*Result, error) {
	s := &soak{nodeCount: defaultNodes, engineCount: defaultEngines, duration: defaultDuration, rate: defaultRate, progress: io.Discard, journal: newJournal()}
	for _, opt := range opts {
		opt(s)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	var err error
	if s.world, err = newWorld(ctx, dir, s.engineCount); err != nil {
		return nil, fmt.Errorf("starting the stand-ins: %w", err)
	}
	defer s.killAll()
	for i := range s.nodeCount {
		n, err := newNode(ctx, s.world, binary, i)
		if err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	if err := startAll(ctx, s.nodes); err != nil {
		return nil, err
	}
	return s.run(ctx)
}

func (s *soak) run(ctx context.Context) (*Result, error) {
	gen, err := s.generator()
	if err != nil {
		return nil, err
	}
	schedule := s.schedule()
	background, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.watchRevisions(background) })
	wg.Go(func() { s.showProgress(background, gen) })
	s.began = time.Now()
	var actions sync.WaitGroup
	for _, a := range schedule {
		actions.Go(func() { s.carryOut(ctx, a) })
	}
	gen.Run(ctx)
	actions.Wait()
	s.ended = time.Now()
	stop()
	wg.Wait()
	if ctx.Err() != nil {
		return nil, errors.Join(errors.New("soak was interrupted"), ctx.Err())
	}
	return s.result(schedule, gen.Snapshot()), nil
}

func (s *soak) schedule() []Action {
	if s.calm {
		return nil
	}
	p := plan{engines: s.world.engineNames(), domains: domains, duration: s.duration, lease: fleet.DefaultTiming.LeaseTTL}
	for _, n := range s.nodes {
		p.nodes = append(p.nodes, n.name)
	}
	return p.draw(s.seed)
}

func (s *soak) generator() (*load.Generator, error) {
	var entries []netip.AddrPort
	for _, n := range s.nodes {
		entries = append(entries, n.callerAddr)
	}
	opts := []load.Option{
		load.WithModels(modelName), load.WithService(servicePrefix), load.WithRegion(region),
		load.WithRate(s.rate, s.duration), load.WithSeed(s.seed), load.WithLengths(medianTokens, longestTokens),
		load.WithPatience(patience, refusals), load.WithFakes(s.world.standIns()),
	}
	if !s.calm {
		opts = append(opts, load.WithCrashers(crashEvery))
	}
	return load.New(entries, s.world.accounts, opts...)
}

// Waits for an action's time and carries it out.
func (s *soak) carryOut(ctx context.Context, a Action) {
	if !pause.For(ctx, time.Until(s.began.Add(a.At))) {
		return
	}
	fmt.Fprintln(s.progress, a)
	if err := s.act(ctx, a); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.failed = append(s.failed, fmt.Sprintf("%v: %v", a, err))
	}
}

func (s *soak) stuckDrain(n *nodeUnit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stuck = append(s.stuck, fmt.Sprintf("node %s did not end within %s of SIGTERM", n.name, maxDrain))
}

func (s *soak) showProgress(ctx context.Context, gen *load.Generator) {
	const every = 5 * time.Second
	for pause.For(ctx, every) {
		rep := gen.Snapshot()
		fmt.Fprintf(s.progress, "%6.2fs %s\n", time.Since(s.began).Seconds(), rep.Summary())
	}
}

// Ends all node processes.
func (s *soak) killAll() {
	for _, n := range s.nodes {
		n.kill()
	}
}

func (s *soak) result(schedule []Action, rep load.Report) *Result {
	res := &Result{Seed: s.seed, Nodes: len(s.nodes), Load: rep, Dir: s.world.dir}
	res.Figures, res.Violations = s.check(&rep)
	res.Starts = s.starts()
	for _, u := range s.world.engines {
		c := u.engine.Counters()
		res.Engines.Started += c.Started
		res.Engines.Finished += c.Finished
		res.Engines.Canceled += c.Canceled
		res.Engines.Preemptions += c.Preemptions
		res.Engines.Stall += c.Stall
		res.Engines.Crashes += c.Crashes
	}
	for _, a := range schedule {
		res.Schedule = append(res.Schedule, a.String())
	}
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	res.Changes = len(s.journal.changes)
	res.Notes = s.journal.notes
	return res
}

// WriteText writes the result for people. The schedule is shown when something did not hold.
func (r *Result) WriteText(w io.Writer) error {
	if err := r.Load.WriteText(w); err != nil {
		return err
	}
	if r.Figures.Total() > 0 {
		fmt.Fprintf(w, "schedule of seed %d:\n", r.Seed)
		for _, line := range r.Schedule {
			fmt.Fprintln(w, "  "+line)
		}
		for _, line := range r.Notes {
			fmt.Fprintln(w, "  note: "+line)
		}
		for _, line := range r.Violations {
			fmt.Fprintln(w, "VIOLATION "+line)
		}
		fmt.Fprintf(w, "logs of the nodes: %s\n", r.Dir)
	}
	fmt.Fprintf(w, "engines: started=%d finished=%d canceled=%d preemptions=%d stall=%s crashes=%d\n",
		r.Engines.Started, r.Engines.Finished, r.Engines.Canceled, r.Engines.Preemptions, r.Engines.Stall, r.Engines.Crashes)
	_, err := fmt.Fprintf(w, "soak: seed=%d nodes=%d actions=%d changes=%d violations=%d %+v\n", r.Seed, r.Nodes, len(r.Schedule), r.Changes, r.Figures.Total(), r.Figures)
	return err
}

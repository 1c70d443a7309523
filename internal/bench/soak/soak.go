// Package soak tests node processes under load and faults.
//
// Run starts in-process fakes of the store, the engines and the service, and several nodes as processes. Links between
// them inject faults. While package load sends requests, Run carries out the actions of a schedule that follows from a
// seed. It keeps a journal of actions and observations, and checks at the end that every requirement held throughout.
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

const (
	defaultNodes    = 8
	defaultEngines  = 8
	defaultDuration = 60 * time.Second
	defaultRate     = 25.0
	medianTokens    = 150
	longestTokens   = 500
	patience        = 60 * time.Second
	maxRefusals     = 6
	crashEvery      = 150
)

// Result is the outcome of a soak.
type Result struct {
	Seed       uint64       `json:"seed"`
	Nodes      int          `json:"nodes"`
	Figures    Figures      `json:"figures"`
	Load       load.Report  `json:"load"`
	Schedule   []string     `json:"schedule"`
	Starts     []Starts     `json:"starts"`  // generations started, by second
	Changes    int          `json:"changes"` // accepted changes of the configuration
	Engines    EngineTotals `json:"engines"`
	Notes      []string     `json:"notes,omitempty"`
	Violations []string     `json:"violations,omitempty"`
	Dir        string       `json:"dir"` // holds the nodes' settings and logs
}

// EngineTotals holds the sums of the counters of all engines.
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

// WithDuration sets for how long requests arrive and actions are scheduled.
func WithDuration(d time.Duration) Option { return func(s *soak) { s.duration = d } }

// WithSeed sets the seed of the schedule and of the load.
func WithSeed(seed uint64) Option { return func(s *soak) { s.seed = seed } }

// WithRate sets the number of requests per second.
func WithRate(rate float64) Option { return func(s *soak) { s.rate = rate } }

// WithoutFaults sets an empty schedule.
func WithoutFaults() Option { return func(s *soak) { s.withoutFaults = true } }

// WithRestores lets the store come back from an earlier copy several times.
func WithRestores() Option { return func(s *soak) { s.restores = true } }

// WithProgress sets the writer for progress lines.
func WithProgress(w io.Writer) Option { return func(s *soak) { s.progress = w } }

// soak is one run of a soak test.
type soak struct {
	nodeCount, engineCount int
	duration               time.Duration
	seed                   uint64
	rate                   float64
	withoutFaults          bool
	restores               bool
	progress               io.Writer

	env       *environment
	nodes     []*nodeProcess
	journal   *journal
	loadStart time.Time
	loadEnd   time.Time

	mu            sync.Mutex
	stuckDrains   []string // drains that took longer than maxDrain; guarded by mu
	failedActions []string // actions whose restart failed; guarded by mu
}

// Run starts fakes in this process and nodes as processes of binary, generates load, injects faults, and makes the
// checks. The nodes' settings and logs are written to dir. All node processes have exited when it returns.
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
	if s.env, err = newEnvironment(ctx, dir, s.engineCount); err != nil {
		return nil, fmt.Errorf("starting the fakes: %w", err)
	}
	defer s.killAll()
	for i := range s.nodeCount {
		n, err := newNode(ctx, s.env, binary, i)
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
	s.loadStart = time.Now()
	var actions sync.WaitGroup
	for _, a := range schedule {
		actions.Go(func() { s.runAction(ctx, a) })
	}
	gen.Run(ctx)
	actions.Wait()
	s.loadEnd = time.Now()
	stop()
	wg.Wait()
	if ctx.Err() != nil {
		return nil, errors.Join(errors.New("soak was interrupted"), ctx.Err())
	}
	return s.result(schedule, gen.Snapshot()), nil
}

func (s *soak) schedule() []Action {
	if s.withoutFaults {
		return nil
	}
	p := plan{engines: s.env.engineIDs(), domains: domains, duration: s.duration, lease: fleet.DefaultTiming.LeaseTTL, restores: s.restores}
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
		load.WithPatience(patience, maxRefusals), load.WithFakes(s.env.fakes()),
	}
	if !s.withoutFaults {
		opts = append(opts, load.WithCrashers(crashEvery))
	}
	return load.New(entries, s.env.accounts, opts...)
}

// runAction waits until an action is due and carries it out.
func (s *soak) runAction(ctx context.Context, a Action) {
	if !pause.For(ctx, time.Until(s.loadStart.Add(a.At))) {
		return
	}
	fmt.Fprintln(s.progress, a)
	if err := s.act(ctx, a); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.failedActions = append(s.failedActions, fmt.Sprintf("%v: %v", a, err))
	}
}

func (s *soak) addStuckDrain(n *nodeProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stuckDrains = append(s.stuckDrains, fmt.Sprintf("node %s did not exit within %s of SIGTERM", n.name, maxDrain))
}

func (s *soak) showProgress(ctx context.Context, gen *load.Generator) {
	const every = 5 * time.Second
	for pause.For(ctx, every) {
		rep := gen.Snapshot()
		fmt.Fprintf(s.progress, "%6.2fs %s\n", time.Since(s.loadStart).Seconds(), rep.Summary())
	}
}

// killAll kills all node processes.
func (s *soak) killAll() {
	for _, n := range s.nodes {
		n.kill()
	}
}

func (s *soak) result(schedule []Action, rep load.Report) *Result {
	res := &Result{Seed: s.seed, Nodes: len(s.nodes), Load: rep, Dir: s.env.dir}
	res.Figures, res.Violations = s.check(&rep)
	res.Starts = s.starts()
	for _, e := range s.env.engines {
		c := e.engine.Counters()
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

// WriteText writes the result as text. It includes the schedule, notes and violations if there are violations.
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

// Package demo runs the whole system in one process on loopback: fakes of the platform, the engines and a
// service, several nodes, callers with a mixed load, and an operator. While the load runs, the operator takes a
// failure domain out of service and back in, and rolls a version forward.
//
// The counts come from the callers and the fakes, not from the nodes.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"ebonyferry/internal/base/bug"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/bench/load"
	"ebonyferry/internal/cmd/ferryctl"
	"ebonyferry/internal/run/exit"
	"ebonyferry/internal/run/serve"
	"ebonyferry/internal/run/settings"
)

// ErrViolated means that an invariant did not hold.
var ErrViolated = errors.New("invariant violated")

const (
	nodeCount    = 3
	readyTimeout = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
	// newWorkLimit is the time after the operator's command within which nodes must stop sending new work to the failure
	// domain.
	newWorkLimit = 3 * time.Second
	drainTimeout = time.Minute
)

// Options sets the duration, the load and the output of a demo.
type Options struct {
	Duration time.Duration
	Seed     uint64
	Rate     float64 // requests a second
	Out      io.Writer
	Log      log.Interface // nil discards the nodes' logs
}

// Result holds the counts of the demo.
type Result struct {
	load.Report
	LateStarts int `json:"newWorkLate"` // generations that began in the failure domain later than newWorkLimit after it was taken out
	Bugs       int `json:"bugs"`        // impossible states that the nodes detected
}

// demo is the state of one run.
type demo struct {
	opts  Options
	start time.Time
	fakes *fakes
	nodes []*serve.Node
	dir   string // for the operator's key and the new bundle

	mu       sync.Mutex // guards Out and failures
	failures []error    // of the load and of the operator's commands
}

// Run runs the demo and prints its progress. The error wraps ErrViolated if an invariant did not hold.
func Run(ctx context.Context, opts Options) (Result, error) {
	if opts.Log == nil {
		opts.Log = &log.Logger{Handler: discard.Default}
	}
	d := &demo{opts: opts, start: time.Now()}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := d.setUp(ctx); err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(d.dir)
	result := d.runLoad(ctx)
	return result, d.tearDown(ctx, result)
}

// printf prints one line, prefixed with the time since the start.
func (d *demo) printf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.opts.Out, "%6.1fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...)) // a failed write of the output cannot be reported elsewhere
}

func (d *demo) setUp(ctx context.Context) error {
	var err error
	if d.fakes, err = startFakes(ctx); err != nil {
		return err
	}
	if d.dir, err = os.MkdirTemp("", "ferry-demo-"); err != nil {
		return err
	}
	if err := d.writeFiles(); err != nil {
		return err
	}
	d.printf("stand-ins: platform, %d engines in %d failure domains, 1 service", len(d.fakes.engines), len(failureDomains))
	for i := range nodeCount {
		if err := d.startNode(ctx, i); err != nil {
			return err
		}
	}
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	d.printf("%d nodes hold revision %d and accept work", nodeCount, d.nodes[0].Held().Head.Revision)
	return nil
}

func (d *demo) startNode(ctx context.Context, i int) error {
	cfg := settings.Default()
	cfg.Node = settings.Node{Name: fmt.Sprintf("node%d", i+1), Region: region, FailureDomain: failureDomains[i%len(failureDomains)]}
	cfg.Listen = settings.Listen{Callers: loopback, Nodes: loopback, Operators: loopback, Status: loopback}
	cfg.Advertise = settings.Advertise{Callers: loopback, Nodes: loopback}
	cfg.Platform.Addrs = []netip.AddrPort{d.fakes.platformAddr}
	n, err := serve.Start(ctx, cfg, serve.WithLog(d.opts.Log))
	if err != nil {
		return err
	}
	d.nodes = append(d.nodes, n)
	return nil
}

// awaitReady waits until every node has a configuration in force and sees the others.
func (d *demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range d.nodes {
		for n.InForce() == nil || n.FleetSize() < nodeCount {
			select {
			case <-ctx.Done():
				return fmt.Errorf("a node is not ready after %s", readyTimeout)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// runLoad runs the load and the operator concurrently and returns the counts.
func (d *demo) runLoad(ctx context.Context) Result {
	var addrs []netip.AddrPort
	for _, n := range d.nodes {
		addrs = append(addrs, n.CallerAddr())
	}
	fakes := load.Fakes{Services: d.fakes.services}
	for _, e := range d.fakes.engines {
		fakes.Engines = append(fakes.Engines, e)
	}
	gen, err := load.New(addrs, d.fakes.accounts,
		load.WithSeed(d.opts.Seed), load.WithRate(d.opts.Rate, d.opts.Duration), load.WithRegion(region), load.WithModels(model),
		load.WithService(servicePrefix), load.WithLengths(150, 2000), load.WithFakes(fakes))
	if err != nil {
		d.recordFailure(err)
		return Result{}
	}
	d.printf("callers: %.0f requests a second for %s, seed %d", d.opts.Rate, d.opts.Duration, d.opts.Seed)
	var result Result
	var wg sync.WaitGroup
	wg.Go(func() { result.LateStarts = d.operate(ctx) })
	wg.Go(func() { d.reportProgress(ctx, gen) })
	result.Report = gen.Run(ctx)
	wg.Wait()
	result.Bugs = bug.Count()
	return result
}

// reportProgress prints the callers' counts every few seconds while requests arrive.
func (d *demo) reportProgress(ctx context.Context, gen *load.Generator) {
	tick := time.NewTicker(max(d.opts.Duration/6, time.Second))
	defer tick.Stop()
	end := time.After(d.opts.Duration)
	for {
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case <-tick.C:
			rep := gen.Snapshot()
			d.printf("callers: %s", rep.Summary())
		}
	}
}

// operate takes a failure domain out of service and back in, and rolls a version forward. It returns the number of
// generations that began in the failure domain later than newWorkLimit after it was taken out.
func (d *demo) operate(ctx context.Context) int {
	pause.For(ctx, d.opts.Duration/5)
	domain := failureDomains[1]
	takenOut := time.Now()
	d.runFerryctl(ctx, "domain", "out", domain, "--wait")
	pause.For(ctx, d.opts.Duration/5)
	late := d.countStarts(domain, takenOut.Add(newWorkLimit))
	d.printf("engines in %s began %d generations later than %s after the command", domain, late, newWorkLimit)
	d.runFerryctl(ctx, "domain", "in", domain, "--wait")
	pause.For(ctx, d.opts.Duration/10)
	id := d.createBundle(ctx)
	d.runFerryctl(ctx, "bundle", "sign-off", id)
	d.runFerryctl(ctx, "bundle", "roll-forward", id, "--wait")
	return late
}

// countStarts returns the number of generations that began on a failure domain's engines after the given time.
func (d *demo) countStarts(domain string, after time.Time) int {
	n := 0
	for _, srv := range d.fakes.servers {
		if e, ok := d.fakes.engines[srv.ID]; ok && srv.FailureDomain == domain {
			n += len(e.Starts(after))
		}
	}
	return n
}

// runFerryctl runs one ferryctl command and returns its output.
func (d *demo) runFerryctl(ctx context.Context, args ...string) string {
	withFlags := append([]string{}, args...)
	withFlags = append(withFlags, "--operator", operatorName, "--key", filepath.Join(d.dir, "operator.key"))
	for _, n := range d.nodes {
		withFlags = append(withFlags, "--nodes", n.OperatorAddr().String())
	}
	var out, errOut bytes.Buffer
	code := ferryctl.Main(ctx, withFlags, &out, &errOut)
	d.printf("ferryctl %s: %s", strings.Join(args, " "), lastLine(out.String()))
	if code != exit.Done {
		d.recordFailure(fmt.Errorf("ferryctl %s ended with %d: %s", strings.Join(args, " "), code, strings.TrimSpace(errOut.String())))
	}
	return out.String()
}

// createBundle creates the bundle with the new version and returns its ID.
func (d *demo) createBundle(ctx context.Context) string {
	var info struct {
		ID string `json:"id"`
	}
	out := d.runFerryctl(ctx, "bundle", "create", filepath.Join(d.dir, "bundle.json"), "--output", "json")
	if err := json.Unmarshal([]byte(out), &info); err != nil {
		d.recordFailure(fmt.Errorf("answer to bundle create: %w", err))
	}
	return info.ID
}

func lastLine(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return lines[len(lines)-1]
}

func (d *demo) recordFailure(err error) {
	d.printf("FAILED: %v", err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures = append(d.failures, err)
}

// writeFiles writes the operator's key and the bundle with the new version.
func (d *demo) writeFiles() error {
	if err := ferryctl.WriteKey(filepath.Join(d.dir, "operator.key"), d.fakes.key); err != nil {
		return err
	}
	data, err := json.MarshalIndent(d.fakes.bundle(newVersion), "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(d.dir, "bundle.json"), data, 0o600)
}

// tearDown drains the nodes and prints the summary. It returns an error if an invariant did not hold, or if a drain or a
// step of the demo failed.
func (d *demo) tearDown(ctx context.Context, result Result) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	errs := make([]error, len(d.nodes))
	var wg sync.WaitGroup
	for i, n := range d.nodes {
		wg.Go(func() { errs[i] = n.Drain(ctx) })
	}
	wg.Wait()
	d.printf("%d nodes drained", len(d.nodes))
	for _, v := range result.Violations {
		d.printf("violation: %s", v)
	}
	r := result.Report
	_, _ = fmt.Fprintf(d.opts.Out, "demo: %d requests, %d complete answers, %d refusals, %d failed, %d unknown, %d unanswered, %d double runs, %d lost tokens, %d repeated tokens, %d foreign tokens, %d false refusals, %d cold overloads, %d late starts in the domain that was out, %d impossible states\n",
		r.Requests, r.Complete, r.Refused, r.Failed, r.Unknown, r.Unanswered, r.DoubleRuns, r.Lost, r.Repeated, r.Foreign, r.FalseNotRun, r.ColdOverloads, result.LateStarts, result.Bugs)
	err := errors.Join(append(errs, d.failures...)...)
	if r.ViolationCount() > 0 || result.LateStarts > 0 || result.Bugs > 0 {
		err = errors.Join(ErrViolated, err)
	}
	return err
}

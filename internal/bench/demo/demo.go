// Package demo runs the whole path in one process on loopback: stand-ins for the platform, engines and a
// service, several nodes, callers with mixed work, and an operator who takes a failure domain out and back and
// rolls a version forward meanwhile.
//
// What happened is counted by the callers and the stand-ins, not by the nodes.
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

// ErrViolated means that something that must always hold did not.
var ErrViolated = errors.New("something that must always hold did not")

const (
	nodeCount    = 3
	readyTimeout = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
	// Time after an operator's command within which new work to a failure domain ends.
	newWorkLimit = 3 * time.Second
	drainTimeout = time.Minute
)

// Options says how long to run and with what load.
type Options struct {
	Duration time.Duration
	Seed     uint64
	Rate     float64 // requests a second
	Out      io.Writer
	Log      log.Interface // nil discards the nodes' logs
}

// Result is what the demo counted.
type Result struct {
	load.Report
	LateStarts int `json:"newWorkLate"` // generations begun in the failure domain later than newWorkLimit after it was taken out
	Bugs       int `json:"bugs"`        // impossible states that the nodes met
}

// demo is one run.
type demo struct {
	opts     Options
	start    time.Time
	standIns *standIns
	nodes    []*serve.Node
	dir      string // holds the operator's key and bundles

	mu       sync.Mutex // guards Out and failures
	failures []error    // of the operator's commands
}

// Run runs the demo and prints what happens. The error wraps ErrViolated when a check did not hold.
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
	result := d.drive(ctx)
	return result, d.tearDown(ctx, result)
}

// Prints one line with the time since the start.
func (d *demo) say(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.opts.Out, "%6.1fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...)) // nowhere left to report a failed write to
}

func (d *demo) setUp(ctx context.Context) error {
	var err error
	if d.standIns, err = startStandIns(ctx); err != nil {
		return err
	}
	if d.dir, err = os.MkdirTemp("", "ferry-demo-"); err != nil {
		return err
	}
	if err := d.writeFiles(); err != nil {
		return err
	}
	d.say("stand-ins: platform, %d engines in %d failure domains, 1 service", len(d.standIns.engines), len(failureDomains))
	for i := range nodeCount {
		if err := d.startNode(ctx, i); err != nil {
			return err
		}
	}
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	d.say("%d nodes hold revision %d and take work", nodeCount, d.nodes[0].Held().Head.Revision)
	return nil
}

func (d *demo) startNode(ctx context.Context, i int) error {
	cfg := settings.Default()
	cfg.Node = settings.Node{Name: fmt.Sprintf("node%d", i+1), Region: region, FailureDomain: failureDomains[i%len(failureDomains)]}
	cfg.Listen = settings.Listen{Callers: loopback, Nodes: loopback, Operators: loopback, Status: loopback}
	cfg.Advertise = settings.Advertise{Callers: loopback, Nodes: loopback}
	cfg.Platform.Addrs = []netip.AddrPort{d.standIns.platformAddr}
	n, err := serve.Start(ctx, cfg, serve.WithLog(d.opts.Log))
	if err != nil {
		return err
	}
	d.nodes = append(d.nodes, n)
	return nil
}

// Waits until every node takes work and sees the others.
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

// Drives load and the operator side by side and returns what was counted.
func (d *demo) drive(ctx context.Context) Result {
	var addrs []netip.AddrPort
	for _, n := range d.nodes {
		addrs = append(addrs, n.CallerAddr())
	}
	standIns := load.Fakes{Services: d.standIns.services}
	for _, e := range d.standIns.engines {
		standIns.Engines = append(standIns.Engines, e)
	}
	gen, err := load.New(addrs, d.standIns.accounts,
		load.WithSeed(d.opts.Seed), load.WithRate(d.opts.Rate, d.opts.Duration), load.WithRegion(region), load.WithModels(model),
		load.WithService(servicePrefix), load.WithLengths(150, 2000), load.WithFakes(standIns))
	if err != nil {
		d.fail(err)
		return Result{}
	}
	d.say("callers: %.0f requests a second for %s, seed %d", d.opts.Rate, d.opts.Duration, d.opts.Seed)
	var result Result
	var wg sync.WaitGroup
	wg.Go(func() { result.LateStarts = d.operate(ctx) })
	wg.Go(func() { d.tell(ctx, gen) })
	result.Report = gen.Run(ctx)
	wg.Wait()
	result.Bugs = bug.Count()
	return result
}

// Prints the callers' counts every few seconds while requests arrive.
func (d *demo) tell(ctx context.Context, gen *load.Generator) {
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
			d.say("callers: %s", rep.Summary())
		}
	}
}

// Takes a failure domain out and back and rolls a version forward. It returns the number of generations that
// began in the failure domain too late.
func (d *demo) operate(ctx context.Context) int {
	pause.For(ctx, d.opts.Duration/5)
	domain := failureDomains[1]
	out := time.Now()
	d.ctl(ctx, "domain", "out", domain, "--wait")
	pause.For(ctx, d.opts.Duration/5)
	late := d.startsIn(domain, out.Add(newWorkLimit))
	d.say("engines in %s began %d generations later than %s after the command", domain, late, newWorkLimit)
	d.ctl(ctx, "domain", "in", domain, "--wait")
	pause.For(ctx, d.opts.Duration/10)
	id := d.create(ctx)
	d.ctl(ctx, "bundle", "sign-off", id)
	d.ctl(ctx, "bundle", "roll-forward", id, "--wait")
	return late
}

// Counts the generations that began on a failure domain's engines after a time.
func (d *demo) startsIn(domain string, after time.Time) int {
	n := 0
	for _, srv := range d.standIns.servers {
		if e, ok := d.standIns.engines[srv.ID]; ok && srv.FailureDomain == domain {
			n += len(e.Starts(after))
		}
	}
	return n
}

// Runs one ferryctl command and returns what it printed.
func (d *demo) ctl(ctx context.Context, args ...string) string {
	full := append([]string{}, args...)
	full = append(full, "--operator", operatorName, "--key", filepath.Join(d.dir, "operator.key"))
	for _, n := range d.nodes {
		full = append(full, "--nodes", n.OperatorAddr().String())
	}
	var out, errOut bytes.Buffer
	code := ferryctl.Main(ctx, full, &out, &errOut)
	d.say("ferryctl %s: %s", strings.Join(args, " "), lastLine(out.String()))
	if code != exit.Done {
		d.fail(fmt.Errorf("ferryctl %s ended with %d: %s", strings.Join(args, " "), code, strings.TrimSpace(errOut.String())))
	}
	return out.String()
}

// Creates the bundle with the new version and returns its ID.
func (d *demo) create(ctx context.Context) string {
	var info struct {
		ID string `json:"id"`
	}
	out := d.ctl(ctx, "bundle", "create", filepath.Join(d.dir, "bundle.json"), "--output", "json")
	if err := json.Unmarshal([]byte(out), &info); err != nil {
		d.fail(fmt.Errorf("answer to bundle create: %w", err))
	}
	return info.ID
}

func lastLine(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return lines[len(lines)-1]
}

func (d *demo) fail(err error) {
	d.say("FAILED: %v", err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures = append(d.failures, err)
}

// Writes the operator's key and the bundle with the new version.
func (d *demo) writeFiles() error {
	if err := ferryctl.WriteKey(filepath.Join(d.dir, "operator.key"), d.standIns.key); err != nil {
		return err
	}
	data, err := json.MarshalIndent(d.standIns.bundle(newVersion), "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(d.dir, "bundle.json"), data, 0o600)
}

// Drains the nodes, prints the summary and returns an error when a check did not hold.
func (d *demo) tearDown(ctx context.Context, result Result) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	errs := make([]error, len(d.nodes))
	var wg sync.WaitGroup
	for i, n := range d.nodes {
		wg.Go(func() { errs[i] = n.Drain(ctx) })
	}
	wg.Wait()
	d.say("%d nodes drained", len(d.nodes))
	for _, v := range result.Violations {
		d.say("violation: %s", v)
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

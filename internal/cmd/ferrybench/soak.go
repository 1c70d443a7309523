// This file defines the command that runs a soak test.

package ferrybench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"ebonyferry/internal/bench/soak"
	"ebonyferry/internal/run/command"
	"ebonyferry/internal/run/exit"
)

var _ = register("soak", "Run node processes and stand-ins under faults and check invariants.", groupMeasurement, &soakCmd{})

type soakCmd struct {
	Nodes    int           `default:"8" help:"Number of node processes."`
	Engines  int           `default:"8" help:"Number of emulated engines, in four failure domains."`
	Duration time.Duration `default:"60s" help:"How long requests arrive and faults are injected."`
	Seed     uint64        `default:"1" help:"Seed of the schedule and the load."`
	Rate     float64       `default:"25" help:"Requests a second."`
	Calm     bool          `help:"Inject no faults."`
	Restores bool          `help:"Let the store come back from an earlier copy several times."`
	Binary   string        `type:"path" placeholder:"FILE" help:"Path of the program ebonyferry; by default in the directory of ferrybench."`
	Dir      string        `type:"path" placeholder:"DIR" help:"Directory for the settings and logs of the nodes; by default a new one, which is removed if no invariant was violated."`
}

// Help shows examples.
func (soakCmd) Help() string {
	return `Examples:

  go build -o bin/ ./cmd/... && bin/ferrybench soak --nodes 8 --duration 60s --seed 3

The stand-ins run in this process. Node processes are killed, paused for longer than a lease and drained; links
to callers, engines and the store are cut and stalled; the store fails and loses answers; engines crash and turn
cold; failure domains are taken out of service; operators make conflicting changes. The seed determines the schedule,
which is printed with the offending requests if an invariant was violated.`
}

const minSoakDuration = 15 * time.Second

// Validate rejects sizes that are too small to test anything.
func (c *soakCmd) Validate() error {
	switch {
	case c.Nodes < 2 || c.Engines < 2:
		return fmt.Errorf("a soak needs at least two nodes and two engines")
	case c.Duration < minSoakDuration && !c.Calm:
		return fmt.Errorf("a soak with faults needs at least %s", minSoakDuration)
	}
	return nil
}

// Run runs the soak test. It fails if an invariant was violated.
func (c *soakCmd) Run(ctx context.Context, out *command.Output) error {
	binary, err := c.binary()
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	dir := c.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "ferrybench-soak-"); err != nil {
			return err
		}
	}
	res, err := soak.Run(ctx, binary, dir, c.options(out.Err)...)
	if err != nil {
		return fmt.Errorf("soak with files in %s: %w", dir, err)
	}
	if err := out.Report(res, res.WriteText); err != nil {
		return err
	}
	if n := res.Figures.Total(); n > 0 {
		return fmt.Errorf("%d invariant violations; see the logs in %s", n, dir)
	}
	if c.Dir == "" {
		return os.RemoveAll(dir)
	}
	return nil
}

func (c *soakCmd) options(progress io.Writer) []soak.Option {
	opts := []soak.Option{
		soak.WithSize(c.Nodes, c.Engines), soak.WithDuration(c.Duration), soak.WithSeed(c.Seed),
		soak.WithRate(c.Rate), soak.WithProgress(progress),
	}
	if c.Calm {
		opts = append(opts, soak.WithoutFaults())
	}
	if c.Restores {
		opts = append(opts, soak.WithRestores())
	}
	return opts
}

// binary returns the path of the program ebonyferry.
func (c *soakCmd) binary() (string, error) {
	path := c.Binary
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), "ebonyferry")
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("the program ebonyferry is not at %s; build it there or give --binary: %w", path, err)
	}
	return path, nil
}

package ferrybench

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"ebonyferry/internal/bench/experiment"
	"ebonyferry/internal/run/command"
	"ebonyferry/internal/run/exit"
)

// This file defines the commands that run the experiments of admission.

var (
	_ = register("run", "Run an experiment on a virtual clock and report its figures.", groupMeasurement, &runCmd{})
	_ = register("list", "List the experiments.", groupMeasurement, &listCmd{})
)

type runCmd struct {
	Experiment string   `arg:"" help:"Name of the experiment; see list."`
	Seed       uint64   `default:"1" help:"Seed of the arrivals. One seed gives one result."`
	Policy     []string `help:"Run only these policies: ebonyferry, roundRobin, leastOutstanding, staticShares, oracle."`
	Runs       int      `help:"Number of runs of an experiment of rollouts; by default 200 of good versions and 100 of bad ones."`
	Plot       string   `placeholder:"FILE" help:"Also draw the result; the ending, as .svg, names the format."`
}

// Run runs the experiment.
func (c *runCmd) Run(ctx context.Context, out *command.Output) error {
	if known, err := runBookings(ctx, c.Experiment, c.Seed, out); known {
		return err
	}
	if known, err := runRollout(c.Experiment, c.Seed, c.Runs, out); known {
		return err
	}
	e, err := experiment.Find(c.Experiment)
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	res, err := e.Run(c.Seed, c.Policy...)
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	if c.Plot != "" {
		if err := res.SavePlot(c.Plot); err != nil {
			return err
		}
	}
	return out.Report(res, res.WriteTable)
}

type listCmd struct{}

// listed is one line of the list.
type listed struct {
	Name string `json:"name"`
	Doc  string `json:"doc"`
}

// Run lists the experiments.
func (c *listCmd) Run(_ context.Context, out *command.Output) error {
	var list []listed
	for _, e := range experiment.Experiments {
		list = append(list, listed{e.Name, e.Doc})
	}
	list = append(list, rolloutDocs()...)
	list = append(list, bookingsDoc)
	return out.Report(list, func(w io.Writer) error {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, e := range list {
			fmt.Fprintf(tw, "%s\t%s\n", e.Name, e.Doc)
		}
		return tw.Flush()
	})
}

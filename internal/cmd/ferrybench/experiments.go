// This file defines the commands that list and run experiments.

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

var (
	_ = register("run", "Run an experiment and report its figures. All but bookings run on a virtual clock.", groupMeasurement, &runCmd{})
	_ = register("list", "List the experiments.", groupMeasurement, &listCmd{})
)

type runCmd struct {
	Experiment string   `arg:"" help:"Name of the experiment; see list."`
	Seed       uint64   `default:"1" help:"Seed of the arrivals, which determines the result of all experiments but bookings."`
	Policy     []string `help:"Run only these policies: ebonyferry, roundRobin, leastOutstanding, staticShares, oracle."`
	Runs       int      `help:"Number of runs of a rollout experiment; by default 200 of good versions and 100 of bad ones."`
	Plot       string   `placeholder:"FILE" help:"Also plot the result to this file. Its extension, such as .svg, determines the format."`
}

// Run runs the experiment.
func (c *runCmd) Run(ctx context.Context, out *command.Output) error {
	if handled, err := runBookings(ctx, c.Experiment, c.Seed, out); handled {
		return err
	}
	if handled, err := runRollout(c.Experiment, c.Seed, c.Runs, out); handled {
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

// experimentInfo describes one experiment in the list.
type experimentInfo struct {
	Name string `json:"name"`
	Doc  string `json:"doc"`
}

// Run lists the experiments.
func (c *listCmd) Run(_ context.Context, out *command.Output) error {
	var list []experimentInfo
	for _, e := range experiment.Experiments {
		list = append(list, experimentInfo{e.Name, e.Doc})
	}
	list = append(list, rolloutInfos()...)
	list = append(list, bookingsInfo)
	return out.Report(list, func(w io.Writer) error {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, e := range list {
			fmt.Fprintf(tw, "%s\t%s\n", e.Name, e.Doc)
		}
		return tw.Flush()
	})
}

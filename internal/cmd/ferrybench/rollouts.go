package ferrybench

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"ebonyferry/internal/run/command"
	"ebonyferry/internal/run/exit"
	"ebonyferry/internal/run/rolloutbench"
)

// This file defines the command that runs the experiments of rollouts.

var _ = register("rollout", "Run rollouts of good or bad versions on a virtual clock, beside fixed steps with an error-rate threshold.", groupMeasurement, &rolloutCmd{})

type rolloutCmd struct {
	Case string `arg:"" default:"good" help:"good, or how the version is bad: failsAtOnce, failsLater, slowAtOnce, slowLater, underLoad, oneRoute."`
	Seed uint64 `default:"1" help:"Seed of the whole group of runs. One seed gives one result."`
	Runs int    `help:"Number of runs; by default 200 of good versions and 100 of bad ones."`
}

// Run runs the experiment.
func (c *rolloutCmd) Run(_ context.Context, out *command.Output) error {
	if c.Case == "good" {
		res := rolloutbench.Good(c.Seed, orElse(c.Runs, rolloutbench.GoodRuns))
		return out.Report(res, func(w io.Writer) error { return writeRollouts(w, res) })
	}
	res, err := rolloutbench.Bad(c.Case, c.Seed, orElse(c.Runs, rolloutbench.BadRuns))
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	return out.Report(res, func(w io.Writer) error { return writeRollouts(w, res) })
}

func orElse(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}

func writeRollouts(w io.Writer, res rolloutbench.Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "%s %s seed %d: %s\n", res.Experiment, res.Case, res.Seed, res.Method)
	if res.Good != nil {
		fmt.Fprintln(tw, "POLICY\tRUNS\tDONE IN TIME\tFALSE TAKE-BACKS")
		for _, name := range slices.Sorted(maps.Keys(res.Good)) {
			f := res.Good[name]
			fmt.Fprintf(tw, "%s\t%d\t%d\t%d\n", name, f.Runs, f.DoneInTime, f.FalseTakeBacks)
		}
		return tw.Flush()
	}
	fmt.Fprintln(tw, "POLICY\tRUNS\tTAKEN BACK\tHIT\tHIT, WORST\tMS TO TAKE BACK, MEDIAN\tWORST\tLATER THAN 3 S")
	for _, name := range slices.Sorted(maps.Keys(res.Bad)) {
		f := res.Bad[name]
		fmt.Fprintf(tw, "%s\t%d\t%d\t%.3f%%\t%.3f%%\t%d\t%d\t%d\n", name, f.Runs, f.TakenBack,
			100*f.ShareOfRequestsHit, 100*f.ShareOfRequestsHitMax, f.MsToTakeBackMedian, f.MsToTakeBackMax, f.RoutedLaterThan3s)
	}
	return tw.Flush()
}

// This file defines how the rollout experiments run and report.

package ferrybench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"ebonyferry/internal/bench/rolloutbench"
	"ebonyferry/internal/run/command"
	"ebonyferry/internal/run/exit"
)

const (
	goodRollout      = "goodRollout"
	badRolloutPrefix = "badRollout/"
)

// rolloutInfos describes the rollout experiments.
func rolloutInfos() []experimentInfo {
	infos := []experimentInfo{{goodRollout, "rollouts of good versions, beside fixed steps with an error-rate threshold"}}
	for _, kind := range rolloutbench.Cases {
		infos = append(infos, experimentInfo{badRolloutPrefix + kind, "rollouts of versions that are bad in this way"})
	}
	return infos
}

// runRollout runs the rollout experiment with the given name. It reports false if there is none.
func runRollout(name string, seed uint64, runs int, out *command.Output) (bool, error) {
	kind, bad := strings.CutPrefix(name, badRolloutPrefix)
	if !bad && name != goodRollout {
		return false, nil
	}
	if !bad {
		res := rolloutbench.RunGood(seed, orElse(runs, rolloutbench.GoodRuns))
		return true, out.Report(res, func(w io.Writer) error { return writeRollouts(w, res) })
	}
	res, err := rolloutbench.RunBad(kind, seed, orElse(runs, rolloutbench.BadRuns))
	if err != nil {
		return true, exit.With(exit.Usage, err)
	}
	return true, out.Report(res, func(w io.Writer) error { return writeRollouts(w, res) })
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

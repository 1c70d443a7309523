// This file defines the experiment with calls that may not be repeated.

package ferrybench

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"ebonyferry/internal/bench/bookings"
	"ebonyferry/internal/run/command"
)

const bookingsName = "bookings"

var bookingsInfo = experimentInfo{bookingsName, "10,000 calls that may not be repeated, under faults of store, service and nodes, in real time"}

// runBookings runs the experiment with bookings if name is its name. It reports false for another name.
func runBookings(ctx context.Context, name string, seed uint64, out *command.Output) (bool, error) {
	if name != bookingsName {
		return false, nil
	}
	res := bookings.Run(ctx, seed, bookings.FullRunBookings)
	return true, out.Report(res, func(w io.Writer) error { return writeBookings(w, res) })
}

func writeBookings(w io.Writer, res bookings.Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "\tasked\tattempts\tran\tran twice\tfalse not run\tanswered\tnot run\tunknown\tkills\tpauses\toutages\tlost answers\t")
	writeBookingsLine(tw, "ebonyferry", res)
	if res.Baseline != nil {
		writeBookingsLine(tw, "without a ledger", *res.Baseline)
	}
	return tw.Flush()
}

func writeBookingsLine(w io.Writer, name string, res bookings.Result) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", name, res.Requested, res.Attempts, res.Ran, res.RanTwice,
		res.FalseNotRun, res.Answered, res.NotRun, res.Unknown, res.Kills, res.Pauses, res.Outages, res.LostAnswers)
}

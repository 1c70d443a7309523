// This file writes the report as text.

package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteText writes the report as a table with the endings, violations and summary below it.
func (r *Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "kind\trequests\tcomplete\ttokens\tfirst p50\tp95\tgap p50\tp95\tp99\tstalls\n")
	for _, kind := range slices.Sorted(maps.Keys(r.Kinds)) {
		k := r.Kinds[kind]
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%.1fms\t%.1fms\t%.1fms\t%.1fms\t%.1fms\t%d\n", kind, k.Requests, k.Complete, k.Tokens,
			k.FirstToken.P50, k.FirstToken.P95, k.TokenGap.P50, k.TokenGap.P95, k.TokenGap.P99, k.Stalls)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Endings)) {
		fmt.Fprintf(w, "%6d %s\n", r.Endings[reason], reason)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "VIOLATION %s\n", v)
	}
	_, err := fmt.Fprintln(w, r.Summary())
	return err
}

// Summary returns the main figures in one line.
func (r *Report) Summary() string {
	s := fmt.Sprintf("requests=%d complete=%d refused=%d failed=%d unknown=%d unanswered=%d resumed=%d restarted=%d lost=%d repeated=%d foreign=%d crossed=%d",
		r.Requests, r.Complete, r.Refused, r.Failed, r.Unknown, r.Unanswered, r.Resumed, r.Restarted, r.Lost, r.Repeated, r.Foreign, r.Crossed)
	if !r.FakesChecked {
		return s
	}
	return s + fmt.Sprintf(" doubleRuns=%d falseNotRun=%d falseReceipts=%d coldOverloads=%d", r.DoubleRuns, r.FalseNotRun, r.FalseReceipts, r.ColdOverloads)
}

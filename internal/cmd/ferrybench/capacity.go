// This file defines the command that measures the cost of the control plane and extrapolates it to the target size.

package ferrybench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"ebonyferry/internal/bench/capacity"
	"ebonyferry/internal/run/command"
)

var _ = register("capacity", "Measure the cost of the control plane by fleet size and extrapolate it to the target size.", groupMeasurement, &capacityCmd{})

type capacityCmd struct {
	Quick   bool   `help:"Measure for about a minute only; the figures are too noisy for the page."`
	From    string `type:"existingfile" help:"Extrapolate from these results instead of measuring."`
	Cores   bool   `help:"With --from, measure the decision code and messages again."`
	Page    string `type:"path" help:"Write the page to this file."`
	Results string `type:"path" help:"Write the results as JSON to this file."`
}

// Validate rejects flags that cannot be combined. Figures of a quick run are too noisy for the page.
func (c *capacityCmd) Validate() error {
	if c.Quick && c.Page != "" {
		return fmt.Errorf("--quick cannot be combined with --page")
	}
	if c.Cores && c.From == "" {
		return fmt.Errorf("--cores requires --from")
	}
	return nil
}

// Run measures, writes the requested files and reports the results.
func (c *capacityCmd) Run(ctx context.Context, out *command.Output) error {
	r, err := c.result(ctx)
	if err != nil {
		return err
	}
	page, err := capacity.Page(r)
	if err != nil {
		return err
	}
	if c.Page != "" {
		if err := os.WriteFile(c.Page, []byte(page), 0o644); err != nil {
			return err
		}
	}
	if c.Results != "" {
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.Results, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	return out.Report(r, func(w io.Writer) error {
		_, err := io.WriteString(w, page)
		return err
	})
}

// result measures, or reads earlier results and computes their table again. With --cores it first replaces their figures
// of the decision code and messages by new measurements.
func (c *capacityCmd) result(ctx context.Context) (*capacity.Result, error) {
	effort := capacity.FullEffort
	if c.Quick {
		effort = capacity.QuickEffort
	}
	if c.From == "" {
		return capacity.Measure(ctx, effort, printProgress)
	}
	data, err := os.ReadFile(c.From)
	if err != nil {
		return nil, err
	}
	var r capacity.Result
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("results %s: %w", c.From, err)
	}
	if c.Cores {
		return &r, r.MeasureDecisions(ctx, effort, printProgress)
	}
	r.ComputeTable()
	return &r, nil
}

// printProgress prints to standard error what is being measured.
func printProgress(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
}

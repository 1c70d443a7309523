// This file defines the command that renders results as a page.

package ferrybench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"ebonyferry/internal/bench/report"
	"ebonyferry/internal/run/command"
	"ebonyferry/internal/run/exit"
)

var _ = register("report", "Write an HTML page that shows one result, or several side by side.", groupMeasurement, &reportCmd{})

type reportCmd struct {
	Results []string `arg:"" type:"existingfile" help:"Results of run, load or soak, in JSON. The first determines what is shown."`
	Out     string   `required:"" type:"path" placeholder:"FILE" help:"Page to write."`
}

// Help shows examples.
func (*reportCmd) Help() string {
	return `Examples:

  ferrybench run steady --seed 1 --output json > steady.json
  ferrybench report steady.json --out steady.html
  ferrybench report before.json after.json --out compared.html

The page is self-contained: it includes its tables, charts and styles.`
}

// pageReport is the output of the command.
type pageReport struct {
	Page    string   `json:"page"`
	Results []string `json:"results"`
}

// Run writes the page.
func (c *reportCmd) Run(_ context.Context, out *command.Output) error {
	var results []report.NamedResult
	for _, file := range c.Results {
		data, err := os.ReadFile(file)
		if err != nil {
			return exit.With(exit.Usage, err)
		}
		r, err := report.Parse(data)
		if err != nil {
			return exit.With(exit.Usage, fmt.Errorf("%s: %w", file, err))
		}
		results = append(results, report.NamedResult{File: filepath.Base(file), Result: r})
	}
	f, err := os.Create(c.Out)
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	if err := report.Write(f, results...); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return out.Report(pageReport{Page: c.Out, Results: c.Results}, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, c.Out)
		return err
	})
}

package ferryctl

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"ebonyferry/internal/core/explain"
	"ebonyferry/internal/run/command"
	"ebonyferry/internal/run/exit"
)

type explainCmd struct {
	Request string   `arg:"" help:"ID of the request."`
	Logs    []string `required:"" type:"path" placeholder:"FILE" help:"Log file of a node; repeat the flag for more files."`
}

// Help shows examples.
func (explainCmd) Help() string {
	return `Examples:

  ferryctl explain 9c41d07be2a35f68 --logs node-a.log --logs node-b.log
  ferryctl explain 9c41d07be2a35f68 --logs all.log --output json

No node is contacted. Text before the first brace of a line, such as the prefix of a log collector, is skipped.`
}

// Run prints the chain of decisions about the request and its cause.
func (c *explainCmd) Run(out *command.Output) error {
	var lines []explain.Line
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return exit.With(exit.Usage, err)
		}
		read, err := explain.Read(f)
		f.Close()
		if err != nil {
			return exit.With(exit.Usage, fmt.Errorf("%s: %w", path, err))
		}
		lines = append(lines, read...)
	}
	trace := explain.TraceRequest(lines, c.Request)
	return out.Report(trace, func(w io.Writer) error {
		for _, l := range trace.Lines {
			fmt.Fprintf(w, "%s  %-16s %d %-18s %s\n", l.At.Format(time.StampMilli), l.Node, l.Number, l.Name, fieldsText(l.Fields))
		}
		_, err := fmt.Fprintf(w, "request %s: %s\n", trace.Request, trace.Cause)
		return err
	})
}

// fieldsText returns the fields of a line that its columns do not show, sorted by name.
func fieldsText(fields map[string]any) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if name != "event" && name != "node" {
			fmt.Fprintf(&b, "%s=%v ", name, fields[name])
		}
	}
	return strings.TrimSpace(b.String())
}

// Package command runs the command lines of the programs. A program's grammar is a kong grammar that embeds Flags. Run
// parses the arguments, runs the chosen command with a context and an Output, and returns the exit code of its error.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"ebonyferry/internal/run/exit"
)

// Format is the output format of a command.
type Format string

// The output formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Output is where and in which format a command writes.
type Output struct {
	Format Format
	Out    io.Writer // the report
	Err    io.Writer // progress and errors
}

// Report writes v as JSON, or calls text if the format is text.
func (o *Output) Report(v any, text func(w io.Writer) error) error {
	if o.Format != FormatJSON {
		return text(o.Out)
	}
	enc := json.NewEncoder(o.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// Flags are the flags that all programs share.
type Flags struct {
	Output Format `enum:"text,json" default:"text" help:"Format of reports: text or json."`
}

func (f *Flags) format() Format { return f.Output }

// Grammar is a pointer to a kong grammar that embeds Flags.
type Grammar interface {
	format() Format
}

// exitRequest is the panic value that ends parsing when kong requests the exit of the process, as after the help text.
type exitRequest struct{ code int }

// Run parses args, runs the chosen command and returns the exit code. A command has a method
// Run(context.Context, *Output) error.
func Run(ctx context.Context, name, description string, grammar Grammar, args []string, out, errOut io.Writer, opts ...kong.Option) (code exit.Code) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case exitRequest:
			code = exit.Code(r.code)
		default:
			panic(r)
		}
	}()
	opts = append(opts,
		kong.Name(name),
		kong.Description(description),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { panic(exitRequest{code}) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.UsageOnError(),
	)
	parser, err := kong.New(grammar, opts...)
	if err != nil {
		printError(errOut, name, err)
		return exit.Failed
	}
	kctx, err := parser.Parse(args)
	if err != nil {
		printError(errOut, name, err)
		return exit.Usage
	}
	kctx.BindTo(ctx, (*context.Context)(nil))
	if err := kctx.Run(&Output{Format: grammar.format(), Out: out, Err: errOut}); err != nil {
		printError(errOut, name, err)
		return exit.CodeOf(err)
	}
	return exit.Done
}

func printError(w io.Writer, name string, err error) {
	_, _ = fmt.Fprintf(w, "%s: %v\n", name, err) // a failed write of an error cannot be reported
}

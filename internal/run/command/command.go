// Package command runs the command lines of the programs: kong grammars whose commands get a context and an
// Output, and whose errors become exit codes.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"ebonyferry/internal/run/exit"
)

// Format is how a command reports.
type Format string

// The formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Output is where and how a command reports.
type Output struct {
	Format Format
	Out    io.Writer // what was asked for
	Err    io.Writer // progress and complaints
}

// Report writes v as JSON, or calls text when the format is text.
func (o *Output) Report(v any, text func(w io.Writer) error) error {
	if o.Format != FormatJSON {
		return text(o.Out)
	}
	enc := json.NewEncoder(o.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// Flags are the flags of every program. A grammar embeds them.
type Flags struct {
	Output Format `enum:"text,json" default:"text" help:"Format of reports: text or json."`
}

func (f *Flags) format() Format { return f.Output }

// Grammar is a pointer to a kong grammar that embeds Flags.
type Grammar interface {
	format() Format
}

// stop ends the parsing when kong asks for the end of the process, as after the help text.
type stop struct{ code int }

// Run parses args, runs the chosen command and returns the exit code. A command has a method
// Run(context.Context, *Output) error.
func Run(ctx context.Context, name, description string, grammar Grammar, args []string, out, errOut io.Writer, opts ...kong.Option) (code exit.Code) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case stop:
			code = exit.Code(r.code)
		default:
			panic(r)
		}
	}()
	opts = append(opts,
		kong.Name(name),
		kong.Description(description),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { panic(stop{code}) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.UsageOnError(),
	)
	parser, err := kong.New(grammar, opts...)
	if err != nil {
		complain(errOut, name, err)
		return exit.Failed
	}
	kctx, err := parser.Parse(args)
	if err != nil {
		complain(errOut, name, err)
		return exit.Usage
	}
	kctx.BindTo(ctx, (*context.Context)(nil))
	if err := kctx.Run(&Output{Format: grammar.format(), Out: out, Err: errOut}); err != nil {
		complain(errOut, name, err)
		return exit.CodeOf(err)
	}
	return exit.Done
}

func complain(w io.Writer, name string, err error) {
	_, _ = fmt.Fprintf(w, "%s: %v\n", name, err) // nowhere left to report a failed write to
}

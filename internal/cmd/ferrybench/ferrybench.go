// Package ferrybench implements the commands of the program ferrybench: stand-ins as processes, load, experiments,
// reports and soak tests.
//
// Each command is defined in its own file, which calls register.
package ferrybench

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"github.com/alecthomas/kong"

	"ebonyferry/internal/run/command"
	"ebonyferry/internal/run/exit"
)

const description = `Stand-ins for the systems that ebonyferry calls, load, and experiments.

Examples:

  ferrybench engine --listen 127.0.0.1:9001 --cold-streams 4 --warm-up 20s
  ferrybench service --listen 127.0.0.1:9101 --ask-by-key
  ferrybench link --listen 127.0.0.1:9201 --target 127.0.0.1:9001 --delay 3ms

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused by the system, 4 timed out.`

// Groups of commands in the help text.
const (
	groupStandIns    = "Stand-ins:"
	groupMeasurement = "Measurement:"
)

var commands []kong.Option

// register adds a command. The file of the command calls it to initialize a package-level variable. cmd points to a kong
// command with a method Run(context.Context, *command.Output) error.
func register(name, help, group string, cmd any) bool {
	commands = append(commands, kong.DynamicCommand(name, help, group, cmd))
	return true
}

type grammar struct {
	command.Flags
}

// Main runs ferrybench with the given arguments.
func Main(ctx context.Context, args []string, out, errOut io.Writer) exit.Code {
	return command.Run(ctx, "ferrybench", description, &grammar{}, args, out, errOut, commands...)
}

// listenFlag is the address that a stand-in listens on.
type listenFlag struct {
	Listen netip.AddrPort `required:"" placeholder:"IP:PORT" help:"Loopback address to listen on; port 0 picks one."`
}

// ListenReport is what a stand-in reports as soon as it listens.
type ListenReport struct {
	Addr netip.AddrPort `json:"addr"`
}

// Validate rejects an address that other machines can reach, because stand-ins do not authenticate callers.
func (f *listenFlag) Validate() error {
	if !f.Listen.Addr().IsLoopback() {
		return fmt.Errorf("address %s is not a loopback address", f.Listen)
	}
	return nil
}

// reportUntilDone reports the address in use, waits until ctx ends and reports the counters.
func reportUntilDone(ctx context.Context, out *command.Output, addr netip.AddrPort, counters func() any) error {
	err := out.Report(ListenReport{Addr: addr}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "listening on %s\n", addr)
		return err
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	return out.Report(counters(), func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%+v\n", counters())
		return err
	})
}

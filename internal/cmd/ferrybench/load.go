// This file defines the command that sends load.

package ferrybench

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"golang.org/x/term"

	"ebonyferry/internal/bench/load"
	"ebonyferry/internal/run/command"
	"ebonyferry/internal/run/exit"
)

var _ = register("load", "Send load in an open loop and check every answer as callers see it.", groupMeasurement, &loadCmd{})

type loadCmd struct {
	Node     []netip.AddrPort `required:"" placeholder:"IP:PORT" help:"Entry address to start with; may be repeated."`
	Account  []string         `required:"" placeholder:"ID=KEY" help:"Client account and its bearer key; may be repeated."`
	Model    []string         `required:"" placeholder:"NAME" help:"Model to request; may be repeated."`
	Service  string           `default:"/services/bookings" help:"Path prefix of the service that receives bookings."`
	Region   string           `help:"Region that callers declare."`
	Rate     float64          `default:"10" help:"Requests a second."`
	Duration time.Duration    `default:"10s" help:"How long requests arrive."`
	Seed     uint64           `default:"1" help:"Seed of all choices."`
	Median   int              `default:"120" help:"Median length of a narrative in tokens."`
	Longest  int              `default:"600" help:"Maximum length of a narrative in tokens."`
	Patience time.Duration    `default:"60s" help:"How long a caller tries to get its answer."`
	Refusals int              `default:"4" help:"Number of refusals after which a caller stops trying."`
	Crashers int              `help:"Make each n-th request crash its engine if it is a narrative."`
}

// Validate rejects malformed accounts.
func (c *loadCmd) Validate() error {
	_, err := c.accounts()
	return err
}

func (c *loadCmd) accounts() ([]load.Account, error) {
	var accounts []load.Account
	for i, text := range c.Account {
		id, key, ok := strings.Cut(text, "=")
		if !ok || id == "" || key == "" {
			return nil, fmt.Errorf("account %d is not of the form ID=KEY", i+1) // the text may contain a key, so it is not quoted
		}
		accounts = append(accounts, load.Account{ID: id, Key: key})
	}
	return accounts, nil
}

// Run sends the load. It fails if an invariant was violated.
func (c *loadCmd) Run(ctx context.Context, out *command.Output) error {
	accounts, err := c.accounts()
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	g, err := load.New(c.Node, accounts,
		load.WithModels(c.Model...),
		load.WithService(c.Service),
		load.WithRegion(c.Region),
		load.WithRate(c.Rate, c.Duration),
		load.WithSeed(c.Seed),
		load.WithLengths(c.Median, c.Longest),
		load.WithPatience(c.Patience, c.Refusals),
		load.WithCrashers(c.Crashers),
	)
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	progressCtx, stop := context.WithCancel(ctx)
	defer stop()
	if isTerminal(out.Out) && out.Format == command.FormatText {
		go showProgress(progressCtx, out.Err, g.Snapshot)
	}
	rep := g.Run(ctx)
	stop()
	if err := out.Report(&rep, rep.WriteText); err != nil {
		return err
	}
	if n := rep.ViolationCount(); n > 0 {
		return fmt.Errorf("%d invariant violations", n)
	}
	return nil
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}

// showProgress prints the figures every second until ctx ends.
func showProgress(ctx context.Context, w io.Writer, snapshot func() load.Report) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			rep := snapshot()
			_, _ = fmt.Fprintln(w, rep.Summary()) // progress only
		}
	}
}

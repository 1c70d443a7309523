package ferryctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/operator"
	"ebonyferry/internal/run/command"
	"ebonyferry/internal/run/exit"
)

type rolloutCmds struct {
	List     rolloutList     `cmd:"" help:"Show the rollouts of the bundle in force."`
	Watch    rolloutWatch    `cmd:"" help:"Follow a model's rollout until it is done or taken back."`
	TakeBack rolloutTakeBack `cmd:"" help:"Put the shares from before a rollout into force again."`
	Finish   rolloutFinish   `cmd:"" help:"Put the bundle's shares into force immediately and stop comparing versions."`
}

type rolloutList struct{}

// Help shows examples.
func (rolloutList) Help() string {
	return `Examples:

  ferryctl rollout list
  ferryctl rollout watch inspection --wait-for 3h
  ferryctl rollout take-back inspection --wait

A rollout starts with "ferryctl bundle roll-forward ID --done-by TIME". The system compares the versions
while it moves the shares, and takes a bad version back automatically.`
}

// Run lists rollouts.
func (c *rolloutList) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return getAndReport(ctx, conn, out, "/rollouts", func(w io.Writer, statuses []operator.RolloutStatus) error {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(tw, "MODEL\tSTATE\tSHARES\tTARGET\tDONE BY\tREASON")
		for _, p := range statuses {
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\n", p.Model, p.Rollout.State, formatShares(p.Shares), formatShares(p.Target), p.Rollout.DoneBy.Format(time.RFC3339), p.Rollout.Reason)
		}
		return tw.Flush()
	})
}

// formatShares formats shares, in thousandths, as VERSION:SHARE pairs.
func formatShares(list []bundle.VersionShare) string {
	words := make([]string, len(list))
	for i, vs := range list {
		words[i] = fmt.Sprintf("%s:%d", vs.Version, vs.Share)
	}
	return strings.Join(words, " ")
}

type rolloutWatch struct {
	Model   string        `arg:"" help:"Model."`
	WaitFor time.Duration `default:"24h" help:"How long to follow the rollout at most."`
	Every   time.Duration `default:"2s" help:"Time between two updates."`
}

// Run follows a rollout.
func (c *rolloutWatch) Run(ctx context.Context, conn *connection, out *command.Output) error {
	client, err := conn.client()
	if err != nil {
		return err
	}
	deadline := time.Now().Add(c.WaitFor)
	line := newProgressLine(out)
	defer line.end()
	for {
		statuses, err := operator.Get[[]operator.RolloutStatus](ctx, client, "/rollouts")
		if err != nil {
			return withExitCode(err)
		}
		i := slices.IndexFunc(statuses, func(p operator.RolloutStatus) bool { return p.Model == c.Model })
		if i < 0 {
			return exit.With(exit.Refused, fmt.Errorf("model %q has no rollout", c.Model))
		}
		status := statuses[i]
		text := fmt.Sprintf("rollout of %s %s: %s %s", status.Model, status.Rollout.State, formatShares(status.Shares), status.Rollout.Reason)
		line.show(text)
		switch {
		case status.Rollout.State == bundle.RolloutDone:
			return out.Report(status, func(w io.Writer) error { _, err := fmt.Fprintln(w, text); return err })
		case status.Rollout.State == bundle.RolloutTakenBack:
			err := out.Report(status, func(w io.Writer) error { _, err := fmt.Fprintln(w, text); return err })
			return errors.Join(exit.With(exit.Failed, fmt.Errorf("version was taken back: %s", status.Rollout.Reason)), err)
		case time.Now().After(deadline):
			return exit.With(exit.TimedOut, errors.New(text))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(c.Every):
		}
	}
}

type rolloutTakeBack struct {
	waitFlags
	Model string `arg:"" help:"Model."`
}

// Run takes a rollout back.
func (c *rolloutTakeBack) Run(ctx context.Context, conn *connection, out *command.Output) error {
	msg := &operator.VerdictChange{ChangeOptions: c.change(), Model: c.Model, Verdict: bundle.RolloutTakenBack}
	return c.run(ctx, conn, out, "/changes/verdict", msg)
}

type rolloutFinish struct {
	waitFlags
	Model string `arg:"" help:"Model."`
}

// Run finishes a rollout.
func (c *rolloutFinish) Run(ctx context.Context, conn *connection, out *command.Output) error {
	msg := &operator.VerdictChange{ChangeOptions: c.change(), Model: c.Model, Verdict: bundle.RolloutDone}
	return c.run(ctx, conn, out, "/changes/verdict", msg)
}

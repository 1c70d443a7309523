// This file defines the command that runs a plain service.

package ferrybench

import (
	"context"
	"time"

	fake "ebonyferry/internal/fake/service"
	"ebonyferry/internal/run/command"
)

var _ = register("service", "Run a plain service that counts the runs of each booking.", groupStandIns, &serviceCmd{})

type serviceCmd struct {
	listenFlag
	AskByKey  bool          `help:"Answer queries for the outcome of an idempotency key."`
	KeepKeys  bool          `help:"Answer a repeated key with the stored outcome instead of running the call again."`
	Delay     time.Duration `help:"Time before a call runs."`
	FailEvery int           `help:"Fail each n-th call before it runs."`
	LoseEvery int           `help:"Lose the answer of each n-th booking after it ran."`
}

// Run runs the service.
func (c *serviceCmd) Run(ctx context.Context, out *command.Output) error {
	opts := []fake.Option{fake.WithFaults(fake.Faults{Delay: c.Delay, FailEvery: c.FailEvery, LoseEvery: c.LoseEvery})}
	if c.AskByKey {
		opts = append(opts, fake.WithOutcomeQueries())
	}
	if c.KeepKeys {
		opts = append(opts, fake.WithIdempotencyKeys())
	}
	s := fake.New(opts...)
	addr, err := s.Listen(ctx, c.Listen)
	if err != nil {
		return err
	}
	return reportUntilDone(ctx, out, addr, func() any { return s.Counters() })
}

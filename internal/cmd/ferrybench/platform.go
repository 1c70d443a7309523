// This file defines the command that runs a stand-in for the platform.

package ferrybench

import (
	"context"
	"time"

	fake "ebonyferry/internal/fake/platform"
	"ebonyferry/internal/run/command"
)

var _ = register("platform", "Run a stand-in for the platform's store and list of VMs until interrupted.", groupStandIns, &platformCmd{})

type platformCmd struct {
	listenFlag
	Reads  float64       `default:"2000" help:"Maximum reads per second, where a watch counts as one; 0 for no limit."`
	Writes float64       `default:"500" help:"Maximum writes per second; 0 for no limit."`
	VMLag  time.Duration `name:"vm-lag" default:"30s" help:"How far the list of VMs lags behind."`
}

// Run runs the stand-in. A POST to /control sets faults, and a GET returns the counters.
func (c *platformCmd) Run(ctx context.Context, out *command.Output) error {
	s := fake.New(fake.WithRates(fake.Rates{Reads: c.Reads, Writes: c.Writes}), fake.WithVMLag(c.VMLag))
	addr, err := s.Listen(ctx, c.Listen)
	if err != nil {
		return err
	}
	return reportUntilDone(ctx, out, addr, func() any { return s.Counts() })
}

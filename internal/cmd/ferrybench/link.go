// This file defines the command that runs a link with faults.

package ferrybench

import (
	"context"
	"net/netip"
	"time"

	fake "ebonyferry/internal/fake/link"
	"ebonyferry/internal/run/command"
)

var _ = register("link", "Run a TCP proxy that injects network faults.", groupStandIns, &linkCmd{})

type linkCmd struct {
	listenFlag
	Target     netip.AddrPort `required:"" placeholder:"IP:PORT" help:"Address to forward connections to."`
	Delay      time.Duration  `help:"Delay added to all data."`
	Stall      fake.Direction `enum:",toTarget,toCaller,both" default:"" help:"Direction in which data is held back: toTarget, toCaller or both."`
	Refuse     bool           `help:"Reset new connections."`
	ResetAfter int64          `help:"Reset a connection after it carried this many bytes to the caller."`
	HalfOpen   bool           `help:"Keep one side of a connection open when the other closes it."`
	CutEvery   time.Duration  `help:"Reset all connections at this interval."`
}

// linkCounters is what a link reports when it stops.
type linkCounters struct {
	Opened int `json:"opened"` // forwarded connections
}

// Run runs the link.
func (c *linkCmd) Run(ctx context.Context, out *command.Output) error {
	l := fake.New(c.Target)
	l.Set(fake.Faults{Delay: c.Delay, Stall: c.Stall, Refuse: c.Refuse, ResetAfter: c.ResetAfter, HalfOpen: c.HalfOpen})
	addr, err := l.Listen(ctx, c.Listen)
	if err != nil {
		return err
	}
	if c.CutEvery > 0 {
		go cutEvery(ctx, l, c.CutEvery)
	}
	return reportUntilDone(ctx, out, addr, func() any { return linkCounters{Opened: l.Opened()} })
}

func cutEvery(ctx context.Context, l *fake.Link, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.Cut()
		}
	}
}

// This file implements the commands that show the state of the fleet.

package ferryctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/operator"
	"ebonyferry/internal/run/command"
)

type statusCmd struct{}

// Help shows examples.
func (statusCmd) Help() string {
	return `Examples:

  ferryctl status
  ferryctl status --output json`
}

// Run shows the status.
func (c *statusCmd) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return getAndReport(ctx, conn, out, "/status", writeStatus)
}

func writeStatus(w io.Writer, s operator.Status) error {
	h := s.Head
	store := "reachable"
	if !s.StoreReachable {
		store = "not reachable: what is in force stays in force, nothing can be changed"
	}
	fmt.Fprintf(w, "node %s: revision %d, bundle %s by %s, store %s\n", s.Node, h.Revision, bundle.ShortID(h.BundleID), s.Bundle.Author, store)
	fmt.Fprintf(w, "last change by %s at %s: %s\n", h.ChangedBy, h.ChangedAt.Format(time.RFC3339), h.Summary)
	out := h.OutOfService
	for _, list := range []struct {
		kind  string
		names []string
	}{{"failure domains", out.FailureDomains}, {"servers", out.Servers}, {"VMs", out.VMs}} {
		if len(list.names) > 0 {
			fmt.Fprintf(w, "%s out of service: %s\n", list.kind, strings.Join(list.names, ", "))
		}
	}
	if err := writeDomains(w, s.Domains); err != nil {
		return err
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "NODE\tFAILURE DOMAIN\tREVISION\tRUNNING\tSTATE")
	for _, n := range s.Nodes {
		running := 0
		for _, r := range n.Running {
			running += r
		}
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%s\n", n.Node, n.FailureDomain, n.Revision, running, nodeState(n, h.Revision))
	}
	return tw.Flush()
}

func nodeState(n operator.NodeState, rev bundle.Revision) string {
	switch {
	case n.Error != "":
		return n.Error
	case n.Revision < rev:
		return "behind"
	case n.Draining:
		return "draining"
	}
	return "ok"
}

func writeDomains(w io.Writer, domains []operator.DomainLoad) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "FAILURE DOMAIN\tSERVERS\tUSABLE\tRUNNING\tSERVICE")
	for _, d := range domains {
		service := "in"
		if d.OutOfService {
			service = "out"
		}
		running := fmt.Sprint(d.Running)
		if len(d.Unknown) > 0 {
			running += fmt.Sprintf(" (without %s)", strings.Join(d.Unknown, ", "))
		}
		fmt.Fprintf(tw, "%s\t%d\t%d\t%s\t%s\n", d.FailureDomain, d.Servers, d.Usable, running, service)
	}
	return tw.Flush()
}

type domainList struct{}

// Run lists failure domains.
func (c *domainList) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return getAndReport(ctx, conn, out, "/domains", writeDomains)
}

type topCmd struct {
	Every time.Duration `default:"2s" help:"Time between two updates."`
	Count int           `placeholder:"N" help:"Stop after N updates; 0 means to continue until interrupted."`
}

// clearScreen moves the cursor home and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

// Run shows the status repeatedly, until interrupted or for Count updates.
func (c *topCmd) Run(ctx context.Context, conn *connection, out *command.Output) error {
	onTerminal := newProgressLine(out).w != nil
	for updates := 1; ; updates++ {
		if onTerminal {
			if _, err := io.WriteString(out.Out, clearScreen); err != nil {
				return err
			}
		}
		if err := getAndReport(ctx, conn, out, "/status", writeStatus); err != nil {
			return err
		}
		if updates == c.Count {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.Every):
		}
	}
}

type historyCmd struct {
	Limit int `default:"20" help:"How many changes to show."`
}

// Run shows the history.
func (c *historyCmd) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return getAndReport(ctx, conn, out, fmt.Sprintf("/history?limit=%d", c.Limit), func(w io.Writer, heads []bundle.Head) error {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(tw, "REVISION\tAT\tBY\tBUNDLE\tCHANGE")
		for _, h := range heads {
			fmt.Fprintf(tw, "%d\t%s\t%s\t%s\t%s\n", h.Revision, h.ChangedAt.Format(time.RFC3339), h.ChangedBy, bundle.ShortID(h.BundleID), h.Summary)
		}
		return tw.Flush()
	})
}

type quarantineCmds struct {
	List    quarantineList    `cmd:"" help:"List the requests that are refused because they crash servers."`
	Release quarantineRelease `cmd:"" help:"Release a request from quarantine."`
}

type quarantineList struct{}

// Run lists quarantined requests.
func (c *quarantineList) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return getAndReport(ctx, conn, out, "/quarantine", func(w io.Writer, entries []operator.QuarantineEntry) error {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(tw, "FINGERPRINT\tUNTIL\tREASON")
		for _, e := range entries {
			fmt.Fprintf(tw, "%s\t%s\t%s\n", e.Fingerprint, e.Until.Format(time.RFC3339), e.Reason)
		}
		return tw.Flush()
	})
}

type quarantineRelease struct {
	Fingerprint string `arg:"" help:"Fingerprint, as quarantine list shows it."`
}

// Run releases a request.
func (c *quarantineRelease) Run(ctx context.Context, conn *connection, out *command.Output) error {
	client, err := conn.client()
	if err != nil {
		return err
	}
	entry, err := operator.Delete[operator.QuarantineEntry](ctx, client, "/quarantine/"+c.Fingerprint)
	if err != nil {
		return withExitCode(err)
	}
	return out.Report(entry, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s: %s\n", entry.Fingerprint, entry.Reason)
		return err
	})
}

package ferryctl

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/operator"
	"ebonyferry/internal/run/command"
)

type bundleCmds struct {
	Create      bundleCreate   `cmd:"" help:"Check and store a bundle without putting it into force."`
	Validate    bundleValidate `cmd:"" help:"Check a bundle locally, without contacting a node."`
	List        bundleList     `cmd:"" help:"List the stored bundles, oldest first."`
	Show        bundleShow     `cmd:"" help:"Show a bundle; the ID inForce means the one in force."`
	Diff        bundleDiff     `cmd:"" help:"Show what changes from one bundle to another."`
	SignOff     bundleSignOff  `cmd:"" help:"Sign off the switch from the bundle in force to this one."`
	RollForward bundleForward  `cmd:"" help:"Put a signed-off bundle into force."`
	RollBack    bundleBack     `cmd:"" help:"Put the bundle of an earlier revision into force again."`
}

type bundleFile struct {
	File string `arg:"" type:"existingfile" help:"Bundle, in JSON with comments."`
}

func (f *bundleFile) read() ([]byte, error) {
	text, err := os.ReadFile(f.File)
	if err != nil {
		return nil, usagef("reading the bundle: %w", err)
	}
	return text, nil
}

type bundleCreate struct{ bundleFile }

// Help shows examples.
func (bundleCreate) Help() string {
	return `Examples:

  ferryctl bundle create bundle.json

Every problem is reported with its line. The printed ID is a digest of the contents; the other commands accept
its first characters.`
}

// Run stores a bundle.
func (c *bundleCreate) Run(ctx context.Context, conn *connection, out *command.Output) error {
	text, err := c.read()
	if err != nil {
		return err
	}
	client, err := conn.client()
	if err != nil {
		return err
	}
	info, err := operator.PostText[operator.BundleInfo](ctx, client, "/bundles", text)
	if err != nil {
		return withExitCode(err)
	}
	return out.Report(info, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "bundle %s: %d servers, %d models, %d services\n", info.ID, info.Servers, info.Models, info.Services)
		return err
	})
}

type bundleValidate struct{ bundleFile }

// Run checks a bundle.
func (c *bundleValidate) Run(_ context.Context, out *command.Output) error {
	text, err := c.read()
	if err != nil {
		return err
	}
	b, err := bundle.Parse(text)
	if err != nil {
		return usagef("%s is not valid:\n%w", c.File, err)
	}
	return out.Report(b, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s is valid: %d servers, %d models, %d services\n", c.File, len(b.Servers), len(b.Models), len(b.Services))
		return err
	})
}

type bundleList struct{}

// Run lists bundles.
func (c *bundleList) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return getAndReport(ctx, conn, out, "/bundles", func(w io.Writer, infos []operator.BundleInfo) error {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(tw, "ID\tCREATED\tAUTHOR\tSERVERS\tNOTE")
		for _, i := range infos {
			fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%s\n", bundle.ShortID(i.ID), i.CreatedAt.Format(time.RFC3339), i.Author, i.Servers, i.Note)
		}
		return tw.Flush()
	})
}

type bundleShow struct {
	ID string `arg:"" default:"inForce" help:"First characters of the ID, or inForce."`
}

// Run shows a bundle.
func (c *bundleShow) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return getAndReport(ctx, conn, out, "/bundles/"+url.PathEscape(c.ID), func(w io.Writer, p operator.BundleDetails) error {
		_, err := fmt.Fprintf(w, "bundle %s by %s, in force: %v, signed off by %v\n", p.Info.ID, p.Info.Author, p.InForce, p.SignedOffBy)
		for _, ch := range bundle.Diff(bundle.Bundle{}, p.Bundle) {
			_, err = fmt.Fprintln(w, ch)
		}
		return err
	})
}

type bundleDiff struct {
	From string `arg:"" help:"First characters of an ID, or inForce."`
	To   string `arg:"" help:"First characters of an ID, or inForce."`
}

// Run compares bundles.
func (c *bundleDiff) Run(ctx context.Context, conn *connection, out *command.Output) error {
	query := url.Values{"from": {c.From}, "to": {c.To}}
	return getAndReport(ctx, conn, out, "/diff?"+query.Encode(), func(w io.Writer, p operator.BundleDiff) error {
		_, err := fmt.Fprintf(w, "%s -> %s: %d changes\n", bundle.ShortID(p.From), bundle.ShortID(p.To), len(p.Changes))
		for _, ch := range p.Changes {
			_, err = fmt.Fprintln(w, ch)
		}
		return err
	})
}

type bundleSignOff struct {
	ID string `arg:"" help:"First characters of the ID."`
}

// Help shows examples.
func (bundleSignOff) Help() string {
	return `Examples:

  ferryctl bundle diff inForce 3f2a
  ferryctl bundle sign-off 3f2a

The signature covers the switch from the bundle now in force; it becomes invalid when another bundle is put
into force.`
}

// Run signs a bundle off.
func (c *bundleSignOff) Run(ctx context.Context, conn *connection, out *command.Output) error {
	client, err := conn.client()
	if err != nil {
		return err
	}
	details, since, err := fetchBundle(ctx, client, c.ID)
	if err != nil {
		return err
	}
	so := bundle.Sign(client.Operator(), client.Key(), bundle.SignOffSubject{BundleID: details.Info.ID, Since: since})
	details, err = operator.Post[operator.BundleDetails](ctx, client, "/bundles/"+details.Info.ID+"/signoffs", so)
	if err != nil {
		return withExitCode(err)
	}
	return out.Report(details, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "bundle %s is signed off by %v\n", bundle.ShortID(details.Info.ID), details.SignedOffBy)
		return err
	})
}

// fetchBundle returns a bundle whose digest it has checked, and the revision at which the bundle now in force came into
// force.
func fetchBundle(ctx context.Context, client *operator.Client, id string) (operator.BundleDetails, bundle.Revision, error) {
	heads, err := operator.Get[[]bundle.Head](ctx, client, "/history?limit=1")
	if err != nil {
		return operator.BundleDetails{}, 0, withExitCode(err)
	}
	details, err := operator.Get[operator.BundleDetails](ctx, client, "/bundles/"+url.PathEscape(id))
	if err != nil {
		return details, 0, withExitCode(err)
	}
	if got := bundle.Canonical(details.Bundle).ID; got != details.Info.ID || len(heads) == 0 {
		return details, 0, fmt.Errorf("the node's answer is inconsistent: bundle %s has digest %s", details.Info.ID, got)
	}
	return details, heads[0].BundleSince, nil
}

type bundleForward struct {
	waitFlags
	ID     string          `arg:"" help:"First characters of the ID."`
	DoneBy rolloutDeadline `placeholder:"TIME|DURATION" help:"Move the shares of versions in steps until this time, and take a bad version back."`
}

// Help shows examples.
func (bundleForward) Help() string {
	return `Examples:

  ferryctl bundle roll-forward 3f2a --wait
  ferryctl bundle roll-forward 3f2a --done-by 2h
  ferryctl bundle roll-forward 3f2a --done-by 2026-05-01T18:00:00Z

With --done-by, models whose shares change start with their present shares. The new version first gets a small
share, which then grows in steps until the given time. See "ferryctl rollout".`
}

// Run rolls forward.
func (c *bundleForward) Run(ctx context.Context, conn *connection, out *command.Output) error {
	client, err := conn.client()
	if err != nil {
		return err
	}
	details, since, err := fetchBundle(ctx, client, c.ID)
	if err != nil {
		return err
	}
	msg := &operator.RollForward{ChangeOptions: c.change(), BundleID: details.Info.ID, Since: since, DoneBy: c.DoneBy.Time}
	return c.run(ctx, conn, out, "/changes/rollForward", msg)
}

type bundleBack struct {
	waitFlags
	ToRevision bundle.Revision `placeholder:"N" help:"Revision whose bundle to put into force again; by default the bundle before the one in force."`
}

// Help shows examples.
func (bundleBack) Help() string {
	return `Examples:

  ferryctl bundle roll-back --wait
  ferryctl bundle roll-back --to-revision 41 --wait

The sign-offs that the bundle had at that revision remain valid. Service marks do not change. The change gets a
new, higher revision.`
}

// Run rolls back.
func (c *bundleBack) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return c.run(ctx, conn, out, "/changes/rollBack", &operator.RollBack{ChangeOptions: c.change(), ToRevision: c.ToRevision})
}

// rolloutDeadline is a flag value: a time, or a duration from now.
type rolloutDeadline struct{ time.Time }

// UnmarshalText parses a time or a duration.
func (d *rolloutDeadline) UnmarshalText(text []byte) error {
	if span, err := time.ParseDuration(string(text)); err == nil {
		d.Time = time.Now().Add(span).UTC()
		return nil
	}
	at, err := time.Parse(time.RFC3339, string(text))
	if err != nil {
		return fmt.Errorf("%q is neither a time such as 2026-05-01T18:00:00Z nor a duration such as 2h", text)
	}
	d.Time = at.UTC()
	return nil
}

// getAndReport reads path from a node and reports the answer.
func getAndReport[Resp any](ctx context.Context, conn *connection, out *command.Output, path string, text func(w io.Writer, resp Resp) error) error {
	client, err := conn.client()
	if err != nil {
		return err
	}
	resp, err := operator.Get[Resp](ctx, client, path)
	if err != nil {
		return withExitCode(err)
	}
	return out.Report(resp, func(w io.Writer) error { return text(w, resp) })
}

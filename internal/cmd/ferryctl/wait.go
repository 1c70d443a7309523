// This file implements how commands send a change and wait until it is in force everywhere.

package ferryctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"golang.org/x/term"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/operator"
	"ebonyferry/internal/run/command"
	"ebonyferry/internal/run/exit"
)

const (
	// pollWait is how long a node waits for a revision to spread before it answers.
	pollWait = 2 * time.Second
	// pollInterval is the pause between requests for the running work.
	pollInterval = 500 * time.Millisecond
)

// waitFlags are the flags of commands that change what is in force.
type waitFlags struct {
	Wait       bool            `help:"Wait until the change is in force on every node."`
	WaitFor    time.Duration   `default:"30s" placeholder:"DURATION" help:"How long to wait at most."`
	Force      bool            `help:"Make the change even if it leaves a region without a server for a model."`
	IfRevision bundle.Revision `placeholder:"N" help:"Make the change only if revision N is in force."`
}

// change returns the options of a change, as the flags set them.
func (f *waitFlags) change() operator.ChangeOptions {
	return operator.ChangeOptions{Force: f.Force, IfRevision: f.IfRevision}
}

// changeReport is the output of a change.
type changeReport struct {
	Head           bundle.Head      `json:"head"`
	AlreadyApplied bool             `json:"again,omitempty"`
	Spread         *operator.Spread `json:"spread,omitempty"` // with --wait
	Move           *moveReport      `json:"move,omitempty"`   // with --wait-done
}

// run sends a change, waits as the flags say, and reports the result.
func (f *waitFlags) run(ctx context.Context, conn *connection, out *command.Output, path string, msg operator.ChangeMessage) error {
	report, err := f.send(ctx, conn, out, path, msg)
	if report.Head.Revision == 0 {
		return err
	}
	return errors.Join(out.Report(report, report.text), err)
}

// send sends a change and, with --wait, waits until it is in force on every node. If the report's revision is not
// zero, the change took effect and the report is valid even with an error.
func (f *waitFlags) send(ctx context.Context, conn *connection, out *command.Output, path string, msg operator.ChangeMessage) (changeReport, error) {
	c, err := conn.client()
	if err != nil {
		return changeReport{}, err
	}
	changed, err := operator.PostChange[operator.ChangeResult](ctx, c, path, msg)
	if err != nil {
		return changeReport{}, withExitCode(err)
	}
	report := changeReport{Head: changed.Head, AlreadyApplied: changed.AlreadyApplied}
	if !f.Wait {
		return report, nil
	}
	spread, err := waitSpread(ctx, c, out, changed.Head.Revision, f.WaitFor)
	report.Spread = &spread
	return report, err
}

// waitSpread waits until a revision is in force on every node. If that takes longer than limit, the error has
// exit.TimedOut and names the nodes that lack the revision.
func waitSpread(ctx context.Context, c *operator.Client, out *command.Output, rev bundle.Revision, limit time.Duration) (operator.Spread, error) {
	deadline := time.Now().Add(limit)
	line := newProgressLine(out)
	defer line.end()
	for {
		wait := min(pollWait, time.Until(deadline))
		spread, err := operator.Get[operator.Spread](ctx, c, fmt.Sprintf("/spread?revision=%d&wait=%s", rev, max(wait, 0)))
		if err != nil {
			return spread, withExitCode(err)
		}
		line.show(spreadLine(spread))
		if spread.Complete() {
			return spread, nil
		}
		if time.Now().After(deadline) {
			return spread, exit.With(exit.TimedOut, fmt.Errorf("%s after %s", spreadLine(spread), limit))
		}
	}
}

// spreadLine says on how many nodes a revision is in force, and which nodes lack it and why.
func spreadLine(s operator.Spread) string {
	line := fmt.Sprintf("revision %d in force on %d of %d", s.Revision, s.InForce, s.Nodes)
	var missing []string
	for _, n := range s.Missing {
		why := n.Error
		if why == "" {
			why = fmt.Sprintf("has revision %d", n.Revision)
		}
		missing = append(missing, fmt.Sprintf("%s (%s)", n.Node, why))
	}
	if len(missing) > 0 {
		line += "; missing: " + strings.Join(missing, ", ")
	}
	return line
}

func (r changeReport) text(w io.Writer) error {
	note := ""
	if r.AlreadyApplied {
		note = " (an earlier attempt had taken effect)"
	}
	_, err := fmt.Fprintf(w, "revision %d: %s%s\n", r.Head.Revision, r.Head.Summary, note)
	if r.Spread != nil {
		_, err = fmt.Fprintln(w, spreadLine(*r.Spread))
	}
	if r.Move != nil {
		_, err = fmt.Fprintln(w, r.Move.line())
	}
	return err
}

// progressLine shows one changing line if standard error is a terminal.
type progressLine struct {
	w     io.Writer // nil if standard error is not a terminal
	width int
}

func newProgressLine(out *command.Output) *progressLine {
	f, ok := out.Err.(*os.File)
	if !ok || out.Format == command.FormatJSON || !term.IsTerminal(int(f.Fd())) {
		return &progressLine{}
	}
	return &progressLine{w: f}
}

func (p *progressLine) show(line string) {
	if p.w == nil {
		return
	}
	pad := max(p.width-len(line), 0)
	p.width = len(line)
	_, _ = fmt.Fprintf(p.w, "\r%s%s", line, strings.Repeat(" ", pad)) // progress only
}

func (p *progressLine) end() {
	if p.w != nil && p.width > 0 {
		_, _ = fmt.Fprintf(p.w, "\r%s\r", strings.Repeat(" ", p.width)) // progress only
	}
}

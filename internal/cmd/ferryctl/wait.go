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

// This file defines how commands wait for a change to be in force everywhere.

const (
	// pollWait is how long a node holds one question about the spread.
	pollWait = 2 * time.Second
	// pollPause separates questions about running work.
	pollInterval = 500 * time.Millisecond
)

// waitFlags are the flags of commands that change what is in force.
type waitFlags struct {
	Wait       bool            `help:"Wait until the change is in force on every node."`
	WaitFor    time.Duration   `default:"30s" placeholder:"DURATION" help:"How long to wait at most."`
	Force      bool            `help:"Make the change although it leaves a region with no server for a model."`
	IfRevision bundle.Revision `placeholder:"N" help:"Make the change only if revision N is in force."`
}

// Returns the change part of a message.
func (f *waitFlags) change() operator.ChangeOptions {
	return operator.ChangeOptions{Force: f.Force, IfRevision: f.IfRevision}
}

// changeReport is what a change prints.
type changeReport struct {
	Head           bundle.Head      `json:"head"`
	AlreadyApplied bool             `json:"again,omitempty"`
	Spread         *operator.Spread `json:"spread,omitempty"` // with --wait
	Move           *moveReport      `json:"move,omitempty"`   // with --wait-done
}

// Sends a change and waits as the flags say.
func (f *waitFlags) run(ctx context.Context, conn *connection, out *command.Output, path string, msg operator.ChangeMessage) error {
	report, err := f.send(ctx, conn, out, path, msg)
	if report.Head.Revision == 0 {
		return err
	}
	return errors.Join(out.Report(report, report.text), err)
}

// Sends a change and waits for its spread. The report is usable when its revision is not zero, also with an
// error.
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

// Waits until a revision is in force everywhere. The error carries exit.TimedOut and names who is missing.
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

// Describes where a revision is in force and who is missing why.
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
		note = " (an earlier try had taken effect)"
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

// progress shows one changing line when the standard error is a terminal.
type progressLine struct {
	w     io.Writer // nil when there is no terminal
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

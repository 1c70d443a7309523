// This file implements the commands that take failure domains, VMs and backend servers out of service and back in.

package ferryctl

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/operator"
	"ebonyferry/internal/run/command"
	"ebonyferry/internal/run/exit"
)

type domainCmds struct {
	Out  domainOut  `cmd:"" help:"Take a failure domain out of service: it gets no new work."`
	In   domainIn   `cmd:"" help:"Put a failure domain back into service."`
	List domainList `cmd:"" help:"Show the failure domains with their running work."`
}

type vmCmds struct {
	Out vmOut `cmd:"" help:"Take an entry VM out of service: callers are given other addresses."`
	In  vmIn  `cmd:"" help:"Put an entry VM back into service."`
}

type serverCmds struct {
	Out serverOut `cmd:"" help:"Take a backend server out of service: it gets no new work."`
	In  serverIn  `cmd:"" help:"Put a backend server back into service."`
}

// markOut implements the commands that take something out of service.
type markOut struct {
	waitFlags
	Name     string `arg:"" help:"What to take out of service."`
	WaitDone bool   `help:"Also wait until no work runs there, or until it is put back into service."`
}

// markIn implements the commands that put something back into service.
type markIn struct {
	waitFlags
	Name string `arg:"" help:"What to put back into service."`
}

type (
	domainOut struct{ markOut }
	domainIn  struct{ markIn }
	vmOut     struct{ markOut }
	vmIn      struct{ markIn }
	serverOut struct{ markOut }
	serverIn  struct{ markIn }
)

// Help shows examples.
func (domainOut) Help() string {
	return `Examples:

  ferryctl domain out neng-b --wait
  ferryctl domain out neng-b --wait-done --wait-for 30m --output json

New work stops within seconds of the change; running work continues to its end. --wait reports on how many
nodes the change is in force, and which nodes lack it and why. --wait-done follows the nodes' own counts of
running work until the move is done, or reports that it was taken back.`
}

// Help shows examples.
func (domainIn) Help() string {
	return `Examples:

  ferryctl domain in neng-b --wait

Returning servers get more work step by step, as they prove able to handle it.`
}

// Run takes a failure domain out.
func (c *domainOut) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return c.takeOut(ctx, conn, out, bundle.MarkDomain)
}

// Run puts a failure domain back.
func (c *domainIn) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return c.putIn(ctx, conn, out, bundle.MarkDomain)
}

// Run takes a VM out.
func (c *vmOut) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return c.takeOut(ctx, conn, out, bundle.MarkVM)
}

// Run puts a VM back.
func (c *vmIn) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return c.putIn(ctx, conn, out, bundle.MarkVM)
}

// Run takes a server out.
func (c *serverOut) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return c.takeOut(ctx, conn, out, bundle.MarkServer)
}

// Run puts a server back.
func (c *serverIn) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return c.putIn(ctx, conn, out, bundle.MarkServer)
}

func (c *markIn) putIn(ctx context.Context, conn *connection, out *command.Output, kind bundle.MarkKind) error {
	msg := &operator.MarkChange{ChangeOptions: c.change(), Mark: bundle.Mark{Kind: kind, Name: c.Name}}
	return c.run(ctx, conn, out, "/changes/mark", msg)
}

func (c *markOut) takeOut(ctx context.Context, conn *connection, out *command.Output, kind bundle.MarkKind) error {
	mark := bundle.Mark{Kind: kind, Name: c.Name}
	msg := &operator.MarkChange{ChangeOptions: c.change(), Mark: mark, Out: true}
	if !c.WaitDone {
		return c.run(ctx, conn, out, "/changes/mark", msg)
	}
	start := time.Now()
	c.Wait = true
	report, err := c.send(ctx, conn, out, "/changes/mark", msg)
	if report.Head.Revision == 0 {
		return err
	}
	if err == nil {
		var move moveReport
		move, err = c.awaitDone(ctx, conn, out, mark, start.Add(c.WaitFor))
		report.Move = &move
	}
	return errors.Join(out.Report(report, report.text), err)
}

// moveState is the state of a move of work away from what was taken out of service.
type moveState string

// The states of a move.
const (
	moveRunning   moveState = "running"
	moveDone      moveState = "done"
	moveTakenBack moveState = "takenBack"
)

// moveReport describes a move of work away from what was taken out of service.
type moveReport struct {
	Mark    bundle.Mark `json:"mark"`
	State   moveState   `json:"state"`
	Running int         `json:"running"`           // streams and calls still in flight there
	Unknown []string    `json:"unknown,omitempty"` // nodes whose counts are missing
	// TakenBackBy is the operator who made the latest change, when the mark was found removed.
	TakenBackBy string `json:"takenBackBy,omitempty"`
}

func (m moveReport) line() string {
	what := fmt.Sprintf("%s %q", m.Mark.Kind, m.Mark.Name)
	switch m.State {
	case moveDone:
		return "move away from " + what + " is done: no work runs there"
	case moveTakenBack:
		return fmt.Sprintf("move away from %s was taken back by %q", what, m.TakenBackBy)
	}
	line := fmt.Sprintf("move away from %s: %d still running", what, m.Running)
	if len(m.Unknown) > 0 {
		line += "; no counts from " + strings.Join(m.Unknown, ", ")
	}
	return line
}

// awaitDone polls the nodes' counts until nothing runs under mark, the mark is removed, or deadline passes.
func (c *markOut) awaitDone(ctx context.Context, conn *connection, out *command.Output, mark bundle.Mark, deadline time.Time) (moveReport, error) {
	client, err := conn.client()
	if err != nil {
		return moveReport{}, err
	}
	line := newProgressLine(out)
	defer line.end()
	for {
		status, err := operator.Get[operator.MoveStatus](ctx, client, fmt.Sprintf("/move?kind=%s&name=%s", mark.Kind, mark.Name))
		if err != nil {
			return moveReport{Mark: mark, State: moveRunning}, withExitCode(err)
		}
		move := moveOf(mark, status)
		line.show(move.line())
		switch {
		case move.State == moveDone:
			return move, nil
		case move.State == moveTakenBack:
			return move, exit.With(exit.Refused, errors.New(move.line()))
		case time.Now().After(deadline):
			return move, exit.With(exit.TimedOut, errors.New(move.line()))
		}
		select {
		case <-ctx.Done():
			return move, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

func moveOf(mark bundle.Mark, status operator.MoveStatus) moveReport {
	move := moveReport{Mark: mark, State: moveRunning, Running: status.Running, Unknown: slices.Clone(status.Unknown)}
	switch {
	case !status.Out:
		move.State, move.TakenBackBy = moveTakenBack, status.Head.ChangedBy
	case status.Running == 0 && len(status.Unknown) == 0:
		move.State = moveDone
	}
	return move
}

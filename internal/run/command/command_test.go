package command_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"ebonyferry/internal/run/command"
	"ebonyferry/internal/run/exit"
)

type testGrammar struct {
	command.Flags
	Try tryCommand `cmd:"" help:"Try it."`
}

type tryCommand struct {
	End string `help:"How to end."`
}

func (t *tryCommand) Run(_ context.Context, out *command.Output) error {
	switch t.End {
	case "refused":
		return exit.With(exit.Refused, errors.New("refused"))
	case "late":
		return context.DeadlineExceeded
	case "failed":
		return errors.New("failed")
	}
	return out.Report(struct {
		End string `json:"end"`
	}{t.End}, func(w io.Writer) error {
		_, err := io.WriteString(w, "ended well\n")
		return err
	})
}

func TestRun(t *testing.T) {
	tests := []struct {
		args    string
		want    exit.Code
		wantOut string
	}{
		{"try", exit.Done, "ended well"},
		{"try --output json --end well", exit.Done, `"end": "well"`},
		{"try --help", exit.Done, "How to end."},
		{"try --end failed", exit.Failed, ""},
		{"try --end refused", exit.Refused, ""},
		{"try --end late", exit.TimedOut, ""},
		{"try --no-such-flag", exit.Usage, ""},
		{"unknown", exit.Usage, ""},
		{"try --output xml", exit.Usage, ""},
	}
	for _, tt := range tests {
		t.Run(tt.args, func(t *testing.T) {
			var out, errOut bytes.Buffer
			got := command.Run(t.Context(), "prog", "A program.", &testGrammar{}, strings.Fields(tt.args), &out, &errOut)
			if got != tt.want {
				t.Errorf("code: got %d, want %d (%s)", got, tt.want, errOut.String())
			}
			if !strings.Contains(out.String(), tt.wantOut) {
				t.Errorf("output: got %q, want it to contain %q", out.String(), tt.wantOut)
			}
		})
	}
}

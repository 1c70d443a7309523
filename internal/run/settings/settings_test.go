package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"ebonyferry/internal/core/jsontext"
)

const valid = `{
  // The smallest valid file, and one optional setting.
  "node": {"name": "entry-1", "region": "neng", "failureDomain": "neng-a"},
  "listen": {"callers": "127.0.0.1:7700", "nodes": "127.0.0.1:7701"},
  "platform": {"addrs": ["127.0.0.1:7600"]},
  "timing": {"resumeGrace": "3s"},
}`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Timing.ResumeGrace.Duration, 3*time.Second; got != want {
		t.Errorf("resume grace: got %v, want %v", got, want)
	}
	if got, want := s.Timing.StallTimeout, Default().Timing.StallTimeout; got != want {
		t.Errorf("stall timeout: got %v, want the default %v", got, want)
	}
	if got, want := s.Advertise.Callers, s.Listen.Callers; got != want {
		t.Errorf("advertised address: got %v, want %v", got, want)
	}
}

func TestParseReportsEveryProblem(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string // each with its line
	}{
		{"empty", `{}`, []string{"node.name: is required", "listen.callers: is required", "platform.addrs: is required"}},
		{"unknown field", strings.Replace(valid, `"resumeGrace"`, `"grace"`, 1), []string{"line 6: timing.grace: field is not known"}},
		{"bad values", strings.NewReplacer("entry-1", "Entry 1", "3s", "soon").Replace(valid), []string{`line 6: timing.resumeGrace: duration "soon"`}},
		{"bad name", strings.Replace(valid, "entry-1", "Entry 1", 1), []string{`line 3: node.name: name "Entry 1"`}},
		{"same address twice", strings.Replace(valid, "7701", "7700", 1), []string{"line 4: listen.nodes: address 127.0.0.1:7700 is also that of listen.callers"}},
		{"plain text on the network", strings.Replace(valid, "127.0.0.1:7700", "10.1.2.3:7700", 1), []string{"line 4: listen.callers: address 10.1.2.3:7700 is not loopback and has no certificate"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(tt.text))
			if !errors.Is(err, jsontext.ErrInvalid) {
				t.Fatalf("got %v, want %v", err, jsontext.ErrInvalid)
			}
			for _, want := range tt.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("got %q, want %q in it", err, want)
				}
			}
		})
	}
}

func TestReferenceIsCurrent(t *testing.T) {
	got, err := os.ReadFile("../../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	if want := Markdown(); string(got) != want {
		t.Error("docs/settings.md is stale: run go run ./internal/cmd/gendocs")
	}
}

func TestEverySettingIsDocumented(t *testing.T) {
	for _, row := range Reference() {
		if row.Doc == "" {
			t.Errorf("setting %s has no doc", row.Name)
		}
	}
}

package ebonyferry

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ebonyferry/internal/run/exit"
)

const goodSettings = `{
  "node": {"name": "entry-1", "region": "neng", "failureDomain": "neng-a"},
  "listen": {"callers": "127.0.0.1:7700", "nodes": "127.0.0.1:7701"},
  "platform": {"addrs": ["127.0.0.1:7600"]}, // a comment
}`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCommands(t *testing.T) {
	good, bad := writeFile(t, goodSettings), writeFile(t, strings.Replace(goodSettings, "entry-1", "Entry 1", 1))
	tests := []struct {
		name string
		args []string
		code exit.Code
		want string // part of standard output or standard error
	}{
		{"version", []string{"version"}, exit.Done, "ebonyferry "},
		{"version in JSON", []string{"version", "--output", "json"}, exit.Done, `"go": "go`},
		{"good settings", []string{"check", "--settings", good}, exit.Done, "1 files without fault"},
		{"bad settings", []string{"check", "--settings", bad}, exit.Usage, `line 2: node.name: name "Entry 1"`},
		{"file that is not a bundle", []string{"check", "--bundle", bad}, exit.Usage, "field is not known"},
		{"missing file", []string{"check", "--settings", good + ".none"}, exit.Usage, "no such file"},
		{"nothing to check", []string{"check"}, exit.Usage, "no file is given"},
		{"serve with bad settings", []string{"serve", "--settings", bad}, exit.Usage, "line 2: node.name"},
		{"serve without settings", []string{"serve"}, exit.Usage, "--settings"},
		{"unknown command", []string{"sail"}, exit.Usage, "sail"},
		{"demo without time", []string{"demo", "--duration", "0s"}, exit.Usage, "above zero"},
		{"help", []string{"--help"}, exit.Done, "Examples:"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			if got := Main(context.Background(), tt.args, &out, &errOut); got != tt.code {
				t.Errorf("exit code: got %d, want %d", got, tt.code)
			}
			if got := out.String() + errOut.String(); !strings.Contains(got, tt.want) {
				t.Errorf("output: got %q, want it to contain %q", got, tt.want)
			}
		})
	}
}

package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const results = `{"Action":"output","Package":"p/a","Test":"TestX","Output":"x is wrong\n"}
{"Action":"fail","Package":"p/a","Test":"TestX/case"}
{"Action":"fail","Package":"p/a","Test":"TestX"}
{"Action":"pass","Package":"p/a","Test":"TestY"}
{"Action":"fail","Package":"p/a","Elapsed":1}
`

func TestRun(t *testing.T) {
	tests := []struct {
		name, results, known string
		code                 int
		want                 string
	}{
		{"unlisted failure", results, "# none\n", 1, "FAILED: p/a TestX\nx is wrong"},
		{"listed subtest", results, "p/a TestX/case\n  command and seed\n", 0, "known red: p/a TestX/case failed as listed"},
		{"listed test, other subtest", results, "p/a TestX/other\n", 1, "FAILED"},
		{"listed test that passes", results, "p/a TestX/case\np/a TestY\n", 0, "p/a TestY passed"},
		{"listed test that was not run", results, "p/a TestX/case\np/a TestZ\n", 0, "p/a TestZ was not run"},
		{"package that fails without a test", `{"Action":"fail","Package":"p/b"}`, "", 1, "FAILED: p/b"},
		{"build that fails", `{"Action":"build-output","ImportPath":"p/c","Output":"no type\n"}` + "\n" + `{"Action":"build-fail","ImportPath":"p/c"}`, "", 1, "FAILED: build p/c\nno type"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			resultsPath, knownPath := filepath.Join(dir, "results"), filepath.Join(dir, "known")
			for path, text := range map[string]string{resultsPath: tt.results, knownPath: tt.known} {
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			var out bytes.Buffer
			got, err := run(&out, resultsPath, knownPath)
			if err != nil {
				t.Fatal(err)
			}
			if got != tt.code || !strings.Contains(out.String(), tt.want) {
				t.Errorf("got %d %q, want %d with %q", got, out.String(), tt.code, tt.want)
			}
		})
	}
}

// Command testreport reads the output of "go test -json" and decides the verdict of a test run.
//
// It prints the result of each package, the output of failed tests, and a summary line. It exits with 1 if a test or a
// package fails that KNOWN-RED.txt does not list. Listed tests still run, and their results are printed.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

// record is one line of "go test -json".
type record struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
	Elapsed    float64
}

// result collects the results of one test run.
type result struct {
	passed, failed, skipped int
	failures                map[string]bool     // "package test"; "package" if it failed without a failed test; or "build importpath"
	passes                  map[string]bool     // "package test"
	output                  map[string][]string // by the keys of failures
	packages                []string            // one line for each package
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: testreport RESULTS.json KNOWN-RED.txt")
		os.Exit(2)
	}
	code, err := run(os.Stdout, os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "testreport:", err)
		os.Exit(1)
	}
	os.Exit(code)
}

func run(w io.Writer, resultsPath, knownPath string) (int, error) {
	known, err := readKnown(knownPath)
	if err != nil {
		return 1, err
	}
	f, err := os.Open(resultsPath)
	if err != nil {
		return 1, err
	}
	defer f.Close()
	res, err := readResults(f)
	if err != nil {
		return 1, err
	}
	return report(w, res, known), nil
}

// readKnown returns the listed tests: the first two words of each line that is not blank, indented or a comment.
func readKnown(path string) (map[string]bool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	known := make(map[string]bool)
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") || strings.HasPrefix(line, " ") || strings.TrimSpace(line) == "" {
			continue
		}
		words := strings.Fields(line)
		if len(words) < 2 {
			return nil, fmt.Errorf("%s: line %q does not begin with a package and a test", path, strings.TrimSpace(line))
		}
		known[words[0]+" "+words[1]] = true
	}
	return known, nil
}

func readResults(r io.Reader) (*result, error) {
	res := &result{failures: make(map[string]bool), passes: make(map[string]bool), output: make(map[string][]string)}
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 16<<20)
	for sc.Scan() {
		var rec record
		if err := json.Unmarshal(sc.Bytes(), &rec); err != nil {
			return nil, fmt.Errorf("line %q is not a test record: %w", sc.Text(), err)
		}
		res.add(rec)
	}
	return res, sc.Err()
}

func (res *result) add(rec record) {
	key := strings.TrimSpace(rec.Package + " " + rec.Test)
	switch rec.Action {
	case "output":
		res.output[key] = append(res.output[key], rec.Output)
	case "build-output":
		res.output["build "+rec.ImportPath] = append(res.output["build "+rec.ImportPath], rec.Output)
	case "build-fail":
		res.failures["build "+rec.ImportPath] = true
	case "pass", "fail", "skip":
		res.finish(key, rec)
	}
}

// finish counts a finished test, or records the result of a finished package.
func (res *result) finish(key string, rec record) {
	if rec.Test == "" {
		res.packages = append(res.packages, fmt.Sprintf("%-4s  %s  %.1fs", rec.Action, rec.Package, rec.Elapsed))
		if rec.Action == "fail" && !res.hasFailedTest(rec.Package) {
			res.failures[key] = true
		}
		return
	}
	switch rec.Action {
	case "pass":
		res.passed++
		res.passes[key] = true
	case "skip":
		res.skipped++
	default:
		res.failed++
		res.failures[key] = true
	}
}

func (res *result) hasFailedTest(pkg string) bool {
	for key := range res.failures {
		if strings.HasPrefix(key, pkg+" ") {
			return true
		}
	}
	return false
}

func report(w io.Writer, res *result, known map[string]bool) int {
	for _, line := range res.packages {
		fmt.Fprintln(w, line)
	}
	code := 0
	for _, key := range slices.Sorted(maps.Keys(res.failures)) {
		if isKnown(known, key, res) {
			fmt.Fprintf(w, "known red: %s failed as listed\n", key)
			continue
		}
		code = 1
		fmt.Fprintf(w, "FAILED: %s\n%s", key, strings.Join(res.output[key], ""))
	}
	for _, key := range slices.Sorted(maps.Keys(known)) {
		switch {
		case res.passes[key]:
			fmt.Fprintf(w, "known red: %s passed; take it off the list if it is mended\n", key)
		case !res.failures[key]:
			fmt.Fprintf(w, "known red: %s was not run\n", key)
		}
	}
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", res.passed, res.failed, res.skipped)
	return code
}

// isKnown reports whether a failure is listed, or belongs to a test whose failed subtests are all listed.
func isKnown(known map[string]bool, key string, res *result) bool {
	if known[key] {
		return true
	}
	children := 0
	for other := range res.failures {
		if !strings.HasPrefix(other, key+"/") {
			continue
		}
		if !known[other] {
			return false
		}
		children++
	}
	return children > 0
}

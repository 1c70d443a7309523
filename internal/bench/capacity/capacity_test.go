package capacity_test

import (
	"encoding/json"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"

	"ebonyferry/internal/bench/capacity"
)

const (
	pagePath    = "../../../docs/results/capacity.md"
	resultsPath = "../../../docs/results/capacity.json"
)

func committed(t *testing.T) *capacity.Result {
	t.Helper()
	data, err := os.ReadFile(resultsPath)
	if err != nil {
		t.Fatal(err)
	}
	var r capacity.Result
	if err := json.Unmarshal(data, &r); err != nil {
		t.Fatal(err)
	}
	return &r
}

// The committed page and table must match the committed measurements.
func TestPageIsCurrent(t *testing.T) {
	r := committed(t)
	table := r.Table
	r.ComputeTable()
	if !reflect.DeepEqual(r.Table, table) {
		t.Errorf("table in %s does not match its slopes", resultsPath)
	}
	want, err := capacity.Page(r)
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("%s does not match %s; regenerate it", pagePath, resultsPath)
	}
}

func TestTableHasNoEmptyCell(t *testing.T) {
	page, err := capacity.Page(committed(t))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(page) {
		if !strings.HasPrefix(line, "|") {
			continue
		}
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i, cell := range cells {
			if strings.TrimSpace(cell) == "" {
				t.Errorf("cell %d is empty in %q", i, line)
			}
		}
		if strings.Contains(line, "NaN") || strings.Contains(line, "Inf") {
			t.Errorf("figure is not a finite number in %q", line)
		}
	}
}

func TestSlopes(t *testing.T) {
	for key, s := range committed(t).Slopes {
		if got, want := len(s.Points), 3; got < want {
			t.Errorf("%s was measured at %d sizes, want at least %d", key, got, want)
		}
		if s.Command == "" || s.Unit == "" || s.Per == "" {
			t.Errorf("%s has no command, unit or size unit", key)
		}
		for _, p := range s.Points {
			if p.Low > p.Median || p.Median > p.High {
				t.Errorf("%s at %v: low, median and high are out of order: %v, %v, %v", key, p.Size, p.Low, p.Median, p.High)
			}
			line := s.Intercept + s.Slope*p.Size
			if off := max(math.Abs(p.Low-line), math.Abs(p.High-line)); off > s.Spread*1.001 {
				t.Errorf("%s at %v is %v off its line, more than the spread %v", key, p.Size, off, s.Spread)
			}
		}
	}
}

func TestSlopeAt(t *testing.T) {
	rising := capacity.Slope{Intercept: 1, Slope: 2}
	if got, want := rising.At(10), 21.0; got != want {
		t.Errorf("rising line: got %v, want %v", got, want)
	}
	falling := capacity.Slope{Intercept: 9, Slope: -1, Points: []capacity.Point{{Size: 1, Median: 8}, {Size: 5, Median: 4}}}
	if got, want := falling.At(100), 8.0; got != want {
		t.Errorf("falling line: got %v, want the largest median %v", got, want)
	}
}

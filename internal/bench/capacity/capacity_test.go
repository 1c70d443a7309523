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
	pagePath    = "../../../docs/CAPACITY.md"
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

// The page is what the committed measurements give: text, sums and verdicts included.
func TestPageIsCurrent(t *testing.T) {
	r := committed(t)
	table := r.Table
	r.ComputeTable()
	if !reflect.DeepEqual(r.Table, table) {
		t.Errorf("%s holds another table than its slopes give", resultsPath)
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
		t.Errorf("%s differs from what %s gives; generate it anew", pagePath, resultsPath)
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
			t.Errorf("figure that is no number in %q", line)
		}
	}
}

func TestSlopes(t *testing.T) {
	for key, s := range committed(t).Slopes {
		if got, want := len(s.Points), 3; got < want {
			t.Errorf("%s was measured at %d sizes, want %d or more", key, got, want)
		}
		if s.Command == "" || s.Unit == "" || s.Per == "" {
			t.Errorf("%s lacks its command, unit or size", key)
		}
		for _, p := range s.Points {
			if p.Low > p.Median || p.Median > p.High {
				t.Errorf("%s at %v: got %v, %v, %v out of order", key, p.Size, p.Low, p.Median, p.High)
			}
			line := s.Intercept + s.Slope*p.Size
			if off := max(math.Abs(p.Low-line), math.Abs(p.High-line)); off > s.Spread*1.001 {
				t.Errorf("%s at %v is %v off its line, beyond the stated spread %v", key, p.Size, off, s.Spread)
			}
		}
	}
}

func TestAt(t *testing.T) {
	rising := capacity.Slope{Intercept: 1, Slope: 2}
	if got, want := rising.At(10), 21.0; got != want {
		t.Errorf("rising line: got %v, want %v", got, want)
	}
	falling := capacity.Slope{Intercept: 9, Slope: -1, Points: []capacity.Point{{Size: 1, Median: 8}, {Size: 5, Median: 4}}}
	if got, want := falling.At(100), 8.0; got != want {
		t.Errorf("falling line: got %v, want the largest median %v", got, want)
	}
}

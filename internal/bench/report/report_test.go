package report

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

const sampleResult = `{"experiment": "steady", "seed": 7, "policies": {
  "ebonyferry": {"completed": 98, "stallSeconds": 0.5},
  "oracle": {"completed": 100, "stallSeconds": 0, "firstToken": {"p95": 12.5}}},
  "starts": [{"atMs": 1000, "versions": {"v1": 3}}, {"atMs": 2000, "versions": {"v1": 1, "v2": 4}}],
  "latency": {"histogram": [{"upToMs": 2, "count": 7}]},
  "schedule": ["1s kill node <3>"], "violations": []}`

func TestParse(t *testing.T) {
	got, err := Parse([]byte(sampleResult))
	if err != nil {
		t.Fatal(err)
	}
	if got.Name != "steady" || len(got.Groups) != 1 || len(got.Groups[0].Rows) != 3 {
		t.Fatalf("got %+v, want experiment steady with one group of three figures", got)
	}
	g := got.Groups[0]
	row := got.row(g, "firstToken.p95")
	if row == nil || row[0] != 0 || row[1] != 12.5 {
		t.Errorf("firstToken.p95: got %v, want [0 12.5]", row)
	}
	if got, want := got.Lists[0].Lines[0], "1s kill node <3>"; got != want {
		t.Errorf("schedule: got %q, want %q", got, want)
	}
}

func TestParseCurves(t *testing.T) {
	r, err := Parse([]byte(sampleResult))
	if err != nil {
		t.Fatal(err)
	}
	want := []Curves{
		{Name: "latency.histogram", Axis: boundMember, X: []float64{2}, Lines: []Line{{"count", []float64{7}}}},
		{Name: "starts", Axis: timeMember, X: []float64{1000, 2000}, Lines: []Line{{"versions.v1", []float64{3, 1}}, {"versions.v2", []float64{0, 4}}}},
	}
	if got := r.Curves; !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestParseRejectsInvalidResults(t *testing.T) {
	for _, text := range []string{"", "[1]", "{", "3"} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%q: got no error", text)
		}
	}
	if _, err := Parse([]byte("{}")); !errors.Is(err, ErrNoFigures) {
		t.Errorf("empty object: got %v, want %v", err, ErrNoFigures)
	}
}

// The page must show without a network: it must not refer to scripts, styles or images elsewhere.
func TestWriteIsSelfContained(t *testing.T) {
	r, err := Parse([]byte(sampleResult))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := Write(&b, NamedResult{"before.json", r}, NamedResult{"after.json", r}); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	for _, want := range []string{"<svg", "before.json: oracle", "1s kill node &lt;3&gt;", "12.5"} {
		if !strings.Contains(page, want) {
			t.Errorf("page does not contain %q", want)
		}
	}
	for _, bad := range []string{"<script", "<link", "src=", "<?xml", "@import"} {
		if strings.Contains(page, bad) {
			t.Errorf("page contains %q", bad)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleResult))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Parse(data)
		if err != nil {
			return
		}
		for _, g := range r.Groups {
			for _, row := range g.Rows {
				if got, want := len(row.Values), len(g.Series); got != want {
					t.Errorf("figure %q: got %d values, want %d", row.Figure, got, want)
				}
			}
		}
	})
}

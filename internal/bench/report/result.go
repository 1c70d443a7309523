// Package report renders JSON results of experiments, load tests and soak tests as one self-contained HTML page.
//
// The structure of the JSON determines what the page shows, whatever the kind of test. An object whose values are
// objects of numbers is a [Group] with a series for each name, such as the policies of an experiment or the request
// kinds of a load test. A list of objects with a time or a bucket bound becomes [Curves]. Other values are facts, and
// lists of strings are shown as they are.
//
// [Parse] reads one result. [Write] renders several results of the same structure side by side.
package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ErrNoFigures means that there is no result, or one without groups and facts.
var ErrNoFigures = errors.New("result holds no figures")

// Result is the content of one file that a page shows.
type Result struct {
	Name   string // value of the member "experiment"
	Facts  []Fact
	Groups []Group
	Lists  []List
	Curves []Curves // from lists of objects with a time or a bound
}

// Fact is a value outside the groups.
type Fact struct {
	Name  string // path in the file, as "load.requests"
	Value string
}

// Group holds the figures of several series.
type Group struct {
	Name   string   // path in the file, as "policies"
	Series []string // sorted
	Rows   []Row    // sorted by Figure
}

// Row holds one figure of each series of its group.
type Row struct {
	Figure string
	Values []float64 // by series; zero for a series without the figure
}

// List is a list of texts, such as the schedule of a soak.
type List struct {
	Name  string
	Lines []string
}

// Parse reads a result. It returns ErrNoFigures if the result has neither groups nor facts.
func Parse(data []byte) (Result, error) {
	var root map[string]json.RawMessage
	if err := json.Unmarshal(data, &root); err != nil {
		return Result{}, fmt.Errorf("result is not a JSON object: %w", err)
	}
	var r Result
	r.addObject("", root)
	r.Curves = appendCurves(nil, "", data)
	if len(r.Groups) == 0 && len(r.Facts) == 0 {
		return Result{}, ErrNoFigures
	}
	return r, nil
}

// addObject adds the members of the object at path.
func (r *Result) addObject(path string, members map[string]json.RawMessage) {
	for _, name := range slices.Sorted(maps.Keys(members)) {
		r.addMember(join(path, name), members[name])
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// addMember adds the value at path as a group, an object, a list or a fact.
func (r *Result) addMember(path string, data json.RawMessage) {
	if g, ok := readGroup(path, data); ok {
		r.Groups = append(r.Groups, g)
		return
	}
	var nested map[string]json.RawMessage
	if err := json.Unmarshal(data, &nested); err == nil {
		r.addObject(path, nested)
		return
	}
	var lines []string
	if err := json.Unmarshal(data, &lines); err == nil {
		r.Lists = append(r.Lists, List{Name: path, Lines: lines})
		return
	}
	r.addValue(path, data)
}

// addValue adds a number, string or boolean as a fact. It ignores null and lists.
func (r *Result) addValue(path string, data json.RawMessage) {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		text = string(data)
	}
	switch {
	case path == "experiment":
		r.Name = text
	case strings.HasPrefix(text, "["), text == "null":
	default:
		r.Facts = append(r.Facts, Fact{Name: path, Value: text})
	}
}

// readGroup reads an object whose values are objects that contain numbers.
func readGroup(path string, data json.RawMessage) (Group, bool) {
	var series map[string]map[string]json.RawMessage
	if err := json.Unmarshal(data, &series); err != nil || len(series) == 0 {
		return Group{}, false
	}
	g := Group{Name: path, Series: slices.Sorted(maps.Keys(series))}
	figures := make(map[string][]float64)
	for i, name := range g.Series {
		collect(figures, len(g.Series), i, "", series[name])
	}
	for _, figure := range slices.Sorted(maps.Keys(figures)) {
		g.Rows = append(g.Rows, Row{Figure: figure, Values: figures[figure]})
	}
	return g, len(g.Rows) > 0
}

// collect adds the numbers of one of n series to figures, by their path.
func collect(figures map[string][]float64, n, series int, path string, members map[string]json.RawMessage) {
	for name, data := range members {
		at := join(path, name)
		var nested map[string]json.RawMessage
		if err := json.Unmarshal(data, &nested); err == nil {
			collect(figures, n, series, at, nested)
			continue
		}
		var value float64
		if err := json.Unmarshal(data, &value); err != nil {
			continue
		}
		if figures[at] == nil {
			figures[at] = make([]float64, n)
		}
		figures[at][series] = value
	}
}

// Package report turns the JSON result of an experiment, a load or a soak into one self-contained HTML page.
//
// A result is read by its shape, not by its kind: an object whose values are objects of numbers is a group, with
// one series for each name (the policies of an experiment, the kinds of request of a load); other numbers are
// facts; lists of texts are shown as they are. A second result of the same shape may stand beside the first.
package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// This file defines how a result is read.

// ErrNoFigures means that a file holds JSON without any figure.
var ErrNoFigures = errors.New("result holds no figures")

// Result is what a page shows of one file.
type Result struct {
	Name   string // experiment or other title in the file
	Facts  []Fact
	Groups []Group
	Lists  []List
	Curves []Curves // lists of objects with a time or a bound
}

// Fact is one value outside the groups.
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
	Values []float64 // by series; a series without the figure has zero
}

// List is a list of texts, such as the schedule of a soak.
type List struct {
	Name  string
	Lines []string
}

// Parse reads a result. The error wraps ErrNoFigures when there is nothing to show.
func Parse(data []byte) (Result, error) {
	var root map[string]json.RawMessage
	if err := json.Unmarshal(data, &root); err != nil {
		return Result{}, fmt.Errorf("result is not an object in JSON: %w", err)
	}
	var r Result
	r.object("", root)
	r.Curves = findCurves(nil, "", data)
	if len(r.Groups) == 0 && len(r.Facts) == 0 {
		return Result{}, ErrNoFigures
	}
	return r, nil
}

// Reads the members of an object under path.
func (r *Result) object(path string, members map[string]json.RawMessage) {
	for _, name := range slices.Sorted(maps.Keys(members)) {
		r.member(join(path, name), members[name])
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (r *Result) member(path string, data json.RawMessage) {
	if g, ok := readGroup(path, data); ok {
		r.Groups = append(r.Groups, g)
		return
	}
	var nested map[string]json.RawMessage
	if err := json.Unmarshal(data, &nested); err == nil {
		r.object(path, nested)
		return
	}
	var lines []string
	if err := json.Unmarshal(data, &lines); err == nil {
		r.Lists = append(r.Lists, List{Name: path, Lines: lines})
		return
	}
	r.value(path, data)
}

// Adds a number, text or truth value as a fact. Other lists are left out.
func (r *Result) value(path string, data json.RawMessage) {
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

// Reads an object whose values are objects that hold numbers.
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

// Collects the numbers of one series, those of nested objects under their path.
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

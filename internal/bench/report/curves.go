package report

import (
	"encoding/json"
	"maps"
	"slices"
)

// This file defines figures over time and over bounds, which a result holds as lists of objects.

// Members of an element that give its place on the horizontal axis.
const (
	memberTime  = "atMs"   // of a figure over time
	memberBound = "upToMs" // upper bound of a bucket of a histogram
)

// Curves holds lines over one horizontal axis.
type Curves struct {
	Name  string // path in the file, as "starts"
	Axis  string // memberTime or memberBound
	X     []float64
	Lines []Line // sorted by Name
}

// Line is one figure by place. It has as many values as its Curves has places.
type Line struct {
	Name string
	Y    []float64
}

// Appends the curves in data, which stands at path.
func findCurves(found []Curves, path string, data json.RawMessage) []Curves {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(data, &members); err == nil {
		for _, name := range slices.Sorted(maps.Keys(members)) {
			found = findCurves(found, join(path, name), members[name])
		}
		return found
	}
	var elements []map[string]json.RawMessage
	if err := json.Unmarshal(data, &elements); err != nil || len(elements) == 0 {
		return found
	}
	for _, axis := range []string{memberTime, memberBound} {
		if c, ok := readCurves(path, axis, elements); ok {
			found = append(found, c)
		}
	}
	return found
}

// Reads elements that all have a place on axis. Other numbers become lines.
func readCurves(path, axis string, elements []map[string]json.RawMessage) (Curves, bool) {
	c := Curves{Name: path, Axis: axis}
	lines := make(map[string][]float64)
	for i, members := range elements {
		var x float64
		if err := json.Unmarshal(members[axis], &x); err != nil {
			return Curves{}, false
		}
		c.X = append(c.X, x)
		delete(members, axis)
		collect(lines, len(elements), i, "", members)
		members[axis] = json.RawMessage("null") // the element may be read for another axis
	}
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		c.Lines = append(c.Lines, Line{Name: name, Y: lines[name]})
	}
	return c, len(c.Lines) > 0
}

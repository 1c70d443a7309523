// This file reads figures over time and histograms, which a result holds as lists of objects.

package report

import (
	"encoding/json"
	"maps"
	"slices"
)

// Members of an element that determine its position on the horizontal axis.
const (
	timeMember  = "atMs"   // of a figure over time
	boundMember = "upToMs" // upper bound of a bucket of a histogram
)

// Curves holds lines over a common horizontal axis.
type Curves struct {
	Name  string // path in the file, as "starts"
	Axis  string // timeMember or boundMember
	X     []float64
	Lines []Line // sorted by Name
}

// Line is one figure over the horizontal axis. It has as many values as X of its Curves.
type Line struct {
	Name string
	Y    []float64
}

// appendCurves appends the curves in data to found. path is the path of data in the file.
func appendCurves(found []Curves, path string, data json.RawMessage) []Curves {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(data, &members); err == nil {
		for _, name := range slices.Sorted(maps.Keys(members)) {
			found = appendCurves(found, join(path, name), members[name])
		}
		return found
	}
	var elements []map[string]json.RawMessage
	if err := json.Unmarshal(data, &elements); err != nil || len(elements) == 0 {
		return found
	}
	for _, axis := range []string{timeMember, boundMember} {
		if c, ok := readCurves(path, axis, elements); ok {
			found = append(found, c)
		}
	}
	return found
}

// readCurves reads elements that all have the member axis. Their other numbers become lines.
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
		members[axis] = json.RawMessage("null") // the element may be read again for the other axis
	}
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		c.Lines = append(c.Lines, Line{Name: name, Y: lines[name]})
	}
	return c, len(c.Lines) > 0
}

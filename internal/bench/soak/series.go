// This file defines the time series of the generations that engines start.

package soak

import "time"

// Starts counts the generations that the engines started within one second.
type Starts struct {
	AtMs     int64          `json:"atMs"` // end of the second, since the start of the load
	Versions map[string]int `json:"versions"`
	Domains  map[string]int `json:"domains"`
}

// starts counts the starts of all engines by second. Every element has all versions and failure domains that occur.
func (s *soak) starts() []Starts {
	const step = time.Second
	list := make([]Starts, int(time.Since(s.loadStart)/step)+1)
	for i := range list {
		list[i] = Starts{AtMs: (time.Duration(i+1) * step).Milliseconds(), Versions: make(map[string]int), Domains: make(map[string]int)}
	}
	for _, e := range s.env.engines {
		for _, start := range e.engine.Starts(s.loadStart) {
			at := &list[min(int(start.At.Sub(s.loadStart)/step), len(list)-1)]
			at.Versions[start.Model.Version]++
			at.Domains[e.domain]++
		}
	}
	fillMissing(list, func(st *Starts) map[string]int { return st.Versions })
	fillMissing(list, func(st *Starts) map[string]int { return st.Domains })
	return list
}

// fillMissing adds to every element, with a count of zero, the names that occur in any element.
func fillMissing(list []Starts, counts func(*Starts) map[string]int) {
	names := make(map[string]bool)
	for i := range list {
		for name := range counts(&list[i]) {
			names[name] = true
		}
	}
	for i := range list {
		for name := range names {
			counts(&list[i])[name] += 0
		}
	}
}

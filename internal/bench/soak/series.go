package soak

import "time"

// This file defines what is shown of a soak over time.

// Starts counts the generations that the engines began within one second.
type Starts struct {
	AtMs     int64          `json:"atMs"` // end of the second, since the start of the load
	Versions map[string]int `json:"versions"`
	Domains  map[string]int `json:"domains"`
}

// Counts the starts of all engines by second. Every second has every version and failure domain that occurs.
func (s *soak) starts() []Starts {
	const step = time.Second
	list := make([]Starts, int(time.Since(s.began)/step)+1)
	for i := range list {
		list[i] = Starts{AtMs: (time.Duration(i+1) * step).Milliseconds(), Versions: make(map[string]int), Domains: make(map[string]int)}
	}
	for _, u := range s.world.engines {
		for _, start := range u.engine.Starts(s.began) {
			at := &list[min(int(start.At.Sub(s.began)/step), len(list)-1)]
			at.Versions[start.Model.Version]++
			at.Domains[u.domain]++
		}
	}
	fill(list, func(st *Starts) map[string]int { return st.Versions })
	fill(list, func(st *Starts) map[string]int { return st.Domains })
	return list
}

// Gives every element the names that any has.
func fill(list []Starts, counts func(*Starts) map[string]int) {
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

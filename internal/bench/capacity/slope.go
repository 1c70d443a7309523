// This file defines measured points and the lines fitted through them.

package capacity

import (
	"fmt"
	"math"
	"slices"
)

// Point summarizes repeated measurements at one size.
type Point struct {
	Size   float64 `json:"size"`
	Low    float64 `json:"low"`
	Median float64 `json:"median"`
	High   float64 `json:"high"`
}

// Slope is a straight line fitted to points of at least three sizes.
type Slope struct {
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	Per       string  `json:"per"` // unit of the size
	Points    []Point `json:"points"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Spread is the largest distance of a Low or High from the line, in Unit.
	Spread  float64 `json:"spread"`
	Command string  `json:"command"`
}

// At returns the figure at a size. If the line rises, this is its value. Otherwise it is the largest median, since a
// falling line means that the size does not matter.
func (s *Slope) At(size float64) float64 {
	if s.Slope > 0 {
		return max(0, s.Intercept+s.Slope*size)
	}
	most := 0.0
	for _, p := range s.Points {
		most = max(most, p.Median)
	}
	return most
}

// minSizes is the number of sizes that a slope needs.
const minSizes = 3

// samples collects repeated measurements by size.
type samples struct {
	name, unit, per string
	bySize          map[float64][]float64
}

func newSamples(name, unit, per string) *samples {
	return &samples{name: name, unit: unit, per: per, bySize: make(map[float64][]float64)}
}

func (s *samples) add(size int, value float64) {
	s.bySize[float64(size)] = append(s.bySize[float64(size)], value)
}

// fit returns the least-squares line through the medians.
func (s *samples) fit(command string) (*Slope, error) {
	slope := &Slope{Name: s.name, Unit: s.unit, Per: s.per, Command: command}
	for size, values := range s.bySize {
		sorted := slices.Sorted(slices.Values(values))
		slope.Points = append(slope.Points, Point{
			Size: size, Low: sorted[0], Median: sorted[len(sorted)/2], High: sorted[len(sorted)-1],
		})
	}
	slices.SortFunc(slope.Points, func(a, b Point) int { return int(a.Size - b.Size) })
	if len(slope.Points) < minSizes {
		return nil, fmt.Errorf("%s was measured at %d sizes, want at least %d", s.name, len(slope.Points), minSizes)
	}
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range slope.Points {
		sumX += p.Size
		sumY += p.Median
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Median
	}
	count := float64(len(slope.Points))
	slope.Slope = (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	slope.Intercept = (sumY - slope.Slope*sumX) / count
	for _, p := range slope.Points {
		line := slope.Intercept + slope.Slope*p.Size
		slope.Spread = max(slope.Spread, math.Abs(p.Low-line), math.Abs(p.High-line))
	}
	return slope, nil
}

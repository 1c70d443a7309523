// Package commit computes how much memory a backend server has promised to the streams that run on it.
//
// The memory of a stream grows by one token with each token generated and is given back when it ends. What a
// server has promised is therefore the peak over time of the sum over its streams, not the sum of their
// peaks. The idea is that of Past-Future scheduling (Gong et al., "Past-Future Scheduler for LLM Serving
// under SLA Guarantees", ASPLOS 2025).
//
// Peak computes it for known or point-predicted lengths. Profile computes it for distributions of lengths:
// mean and variance of the memory in use at a fixed grid of horizons, so that one more stream can be weighed
// against a server in time that does not depend on the number of streams there.
package commit

import (
	"math"
	"slices"
)

// Stream is a running stream with one predicted length.
type Stream struct {
	Held      int // tokens in memory now
	Remaining int // tokens it will still add before it ends
}

// Peak returns the largest sum of memory in tokens that the streams reach when all grow at the same rate. It
// sorts streams.
func Peak(streams []Stream) int {
	slices.SortFunc(streams, func(a, b Stream) int { return b.Remaining - a.Remaining })
	peak, held := 0, 0
	for i, s := range streams {
		held += s.Held
		// Streams up to i run at the moment at which stream i ends.
		peak = max(peak, held+(i+1)*s.Remaining)
	}
	return peak
}

// Horizons are the numbers of tokens ahead at which a Profile is evaluated.
var Horizons = [...]int{0, 24, 48, 96, 192, 384, 576, 768, 1152, 1536, 2304, 3072, 4608, 6144, 9216, 12288, 18432, 24576, 36864}

const points = len(Horizons)

// LengthDistribution gives the chance that a stream produces more than more further tokens.
type LengthDistribution interface {
	Survival(given, more int) float64
}

// Profile is the memory in use at each horizon as a sum of independent streams. The zero value is empty.
type Profile struct {
	mean [points]float64 // tokens
	vari [points]float64 // tokens squared
}

// NewStream returns the profile of one stream that holds held tokens, has generated given of them and produces
// at most limit tokens in all. A limit of zero means none.
func NewStream(held, given, limit int, dist LengthDistribution) Profile {
	var p Profile
	for i, t := range Horizons {
		if limit > 0 && given+t >= limit && i > 0 {
			break
		}
		alive := dist.Survival(given, t)
		size := float64(held + t)
		p.mean[i] = alive * size
		p.vari[i] = alive * (1 - alive) * size * size
	}
	return p
}

// NewKnown returns the profile of one stream whose remaining length is known.
func NewKnown(held, remaining int) Profile {
	var p Profile
	for i, t := range Horizons {
		if t > remaining {
			break
		}
		p.mean[i] = float64(held + t)
	}
	return p
}

// Add adds the streams of q to p.
func (p *Profile) Add(q *Profile) {
	for i := range p.mean {
		p.mean[i] += q.mean[i]
		p.vari[i] += q.vari[i]
	}
}

// Sub takes the streams of q, which were added before, out of p.
func (p *Profile) Sub(q *Profile) {
	for i := range p.mean {
		p.mean[i] = max(0, p.mean[i]-q.mean[i])
		p.vari[i] = max(0, p.vari[i]-q.vari[i])
	}
}

// Peak returns the largest memory in tokens over all horizons, margin standard deviations above the mean.
func (p *Profile) Peak(margin float64) float64 {
	return p.PeakWith(&Profile{}, margin)
}

// PeakWith returns the peak of p and q together.
func (p *Profile) PeakWith(q *Profile, margin float64) float64 {
	peak := 0.0
	for i := range p.mean {
		mean := p.mean[i] + q.mean[i]
		vari := p.vari[i] + q.vari[i]
		peak = max(peak, mean+margin*math.Sqrt(vari))
	}
	return peak
}

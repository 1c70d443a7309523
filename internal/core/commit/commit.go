// Package commit computes how much memory of a backend server is committed to the streams that run on it.
//
// The memory of a stream grows by one token with each token generated and is released when the stream ends. The memory
// committed on a server is therefore the peak over time of the sum over its streams, not the sum of their peaks. The
// idea is that of Past-Future scheduling (Gong et al., "Past-Future Scheduler for LLM Serving under SLA Guarantees",
// ASPLOS 2025).
//
// Peak computes it for streams with a single known or predicted length. Profile computes it for distributions of
// lengths: it holds the mean and the variance of the memory in use at a fixed grid of horizons. The effect of one
// more stream can then be computed in a time that does not depend on the number of streams.
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

const numHorizons = len(Horizons)

// LengthDistribution is a distribution of the lengths of streams.
type LengthDistribution interface {
	// Survival returns the probability that a stream that has generated some tokens generates more than the given number
	// of further ones.
	Survival(generated, more int) float64
}

// Profile is the memory in use by independent streams at each horizon. The zero value has no streams.
type Profile struct {
	mean     [numHorizons]float64 // in tokens
	variance [numHorizons]float64 // in tokens squared
}

// NewProfile returns the profile of one stream that holds the given number of tokens in memory, has generated some of
// them and generates at most limit tokens in all. A limit of zero means none.
func NewProfile(held, generated, limit int, dist LengthDistribution) Profile {
	var p Profile
	for i, t := range Horizons {
		if limit > 0 && generated+t >= limit && i > 0 {
			break
		}
		survival := dist.Survival(generated, t)
		size := float64(held + t)
		p.mean[i] = survival * size
		p.variance[i] = survival * (1 - survival) * size * size
	}
	return p
}

// NewKnownProfile returns the profile of one stream whose remaining length is known.
func NewKnownProfile(held, remaining int) Profile {
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
		p.variance[i] += q.variance[i]
	}
}

// Sub removes the streams of q, which were added before, from p.
func (p *Profile) Sub(q *Profile) {
	for i := range p.mean {
		p.mean[i] = max(0, p.mean[i]-q.mean[i])
		p.variance[i] = max(0, p.variance[i]-q.variance[i])
	}
}

// Peak returns the maximum over all horizons of the mean memory plus margin standard deviations, in tokens.
func (p *Profile) Peak(margin float64) float64 {
	return p.PeakWith(&Profile{}, margin)
}

// PeakWith returns the peak of p and q together.
func (p *Profile) PeakWith(q *Profile, margin float64) float64 {
	peak := 0.0
	for i := range p.mean {
		mean := p.mean[i] + q.mean[i]
		variance := p.variance[i] + q.variance[i]
		peak = max(peak, mean+margin*math.Sqrt(variance))
	}
	return peak
}

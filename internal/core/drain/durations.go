package drain

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave and firstBucket define the buckets of a Durations, which are spaced evenly in the logarithm of the duration.
	bucketsPerOctave = 4
	firstBucket      = 5 * time.Millisecond
	octaves          = 14 // up to 82 s
	buckets          = bucketsPerOctave*octaves + 1
	// window is the number of calls over which counts decay by a factor of e.
	window = 500
	// covered is the share of calls that take no longer than what Durations expects.
	covered = 0.99
	// minCalls is the number of calls from which their durations alone count. If n calls were all short, the share of long ones is below 3/n
	// with a confidence of 95%.
	minCalls = 60
)

// Durations holds how long the calls of a route take. The zero value holds none. It is not safe for concurrent use.
type Durations struct {
	counts [buckets]float32
	total  float32
	calls  int
}

// Observe records how long a call took, from its arrival to its answer.
func (d *Durations) Observe(took time.Duration) {
	const keep = 1 - 1.0/window
	for i := range d.counts {
		d.counts[i] *= keep
	}
	d.total = d.total*keep + 1
	d.counts[bucketOf(took)]++
	d.calls++
}

func bucketOf(took time.Duration) int {
	if took <= firstBucket {
		return 0
	}
	i := int(math.Ceil(bucketsPerOctave * math.Log2(float64(took)/float64(firstBucket))))
	return min(i, buckets-1)
}

// endOf returns the longest duration of a bucket.
func endOf(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2(float64(bucket)/bucketsPerOctave))
}

// Expect returns how long a call of the route is expected to take at most. While few calls have been observed, it is no shorter than the
// route's target, which is what its operators expect of a call. A target of 0 is unknown, and so is then the duration: it has no limit.
func (d *Durations) Expect(target time.Duration) time.Duration {
	if d == nil || d.calls < minCalls {
		if target <= 0 {
			return math.MaxInt64
		}
		return max(target, d.longest())
	}
	beyond := (1 - covered) * d.total
	for i := buckets - 1; i > 0; i-- {
		if beyond -= d.counts[i]; beyond < 0 {
			return endOf(i)
		}
	}
	return endOf(0)
}

// longest returns the longest duration observed, or 0.
func (d *Durations) longest() time.Duration {
	for i := buckets - 1; d != nil && i >= 0; i-- {
		if d.counts[i] > 0 {
			return endOf(i)
		}
	}
	return 0
}

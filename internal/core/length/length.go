// Package length predicts how many tokens a generation still has to produce.
//
// A Predictor keeps one histogram of output lengths per client account, class and model, and one per class and
// model that stands in while an account has few observations. Buckets are spaced evenly in the logarithm of
// the length and decay with each observation, so that a prediction follows drift. A Dist is the distribution
// of whole lengths; conditioned on the tokens already generated it gives the survival and the quantiles of the
// remaining length.
package length

import (
	"container/list"
	"math"
)

const (
	bucketsPerOctave = 4
	octaves          = 17 // lengths up to 131072 tokens
	buckets          = bucketsPerOctave*octaves + 1

	accountWindow = 96   // observations over which an account's histogram decays by a factor of e
	driftWindow   = 48   // observations over which drift is measured
	driftNoise    = 0.15 // octaves of drift that are taken for chance
	classWindow   = 768  // the same for a class and model
	classWeight   = 6.0  // observations that the class stands for in an account's distribution
	priorWeight   = 0.25 // observations that the prior stands for
	priorKnee     = 9    // octave from which the prior's mass halves with each octave

	defaultMaxSeries = 16384
)

// Key names one series of lengths.
type Key struct {
	Account string
	Class   string
	Model   string
}

// Predictor holds the histograms. It has one owner and is not safe for concurrent use.
type Predictor struct {
	maxSeries int
	series    map[Key]*Series // by account; at most maxSeries entries
	recent    *list.List      // of *Series, most recently used first
	classes   map[Key]*Series // Account is empty; one per class and model
}

// Option changes a Predictor.
type Option func(*Predictor)

// WithMaxSeries bounds the number of account histograms; the least recently used one goes first.
func WithMaxSeries(n int) Option { return func(p *Predictor) { p.maxSeries = n } }

// New returns an empty predictor.
func New(opts ...Option) *Predictor {
	p := &Predictor{
		maxSeries: defaultMaxSeries,
		series:    make(map[Key]*Series),
		recent:    list.New(),
		classes:   make(map[Key]*Series),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Series is the histogram of one key. A series that was evicted stays usable by those who hold it.
type Series struct {
	key    Key
	window float64
	parent *Series       // class and model; nil for a class itself
	elem   *list.Element // place in Predictor.recent
	weight float64       // sum of counts
	counts [buckets]float32
	dist   *Dist // cached; nil after an observation
	seen   int   // version of the parent that dist was made from
	made   int   // counts observations; tells children that the class has moved
	// drift is the mean of how far late lengths lay from their distributions, in octaves; kept by classes.
	drift float64
}

// Series returns the series of key, making it when it does not exist.
func (p *Predictor) Series(key Key) *Series {
	if s, ok := p.series[key]; ok {
		p.recent.MoveToFront(s.elem)
		return s
	}
	s := &Series{key: key, window: accountWindow, parent: p.class(key)}
	s.elem = p.recent.PushFront(s)
	p.series[key] = s
	if len(p.series) > p.maxSeries {
		oldest := p.recent.Remove(p.recent.Back()).(*Series)
		delete(p.series, oldest.key)
	}
	return s
}

func (p *Predictor) class(key Key) *Series {
	key.Account = ""
	s, ok := p.classes[key]
	if !ok {
		s = &Series{key: key, window: classWindow}
		p.classes[key] = s
	}
	return s
}

// Len returns the number of account histograms held.
func (p *Predictor) Len() int { return len(p.series) }

// Observe records the length in tokens of a whole generation of this series.
func (s *Series) Observe(tokens int) {
	if s.parent != nil {
		if s.parent.weight >= driftWindow {
			off := math.Log2(float64(max(1, tokens))) - s.Dist().meanLog
			s.parent.drift += (off - s.parent.drift) / driftWindow
		}
		s.parent.add(tokens)
	}
	s.add(tokens)
}

func (s *Series) add(tokens int) {
	decay := 1 - 1/s.window
	for i := range s.counts {
		s.counts[i] *= float32(decay)
	}
	s.counts[bucketOf(tokens)]++
	s.weight = s.weight*decay + 1
	s.made++
	s.dist = nil
}

// Observations returns the decayed number of observations of the class that the series belongs to.
func (s *Series) Observations() float64 {
	if s.parent != nil {
		return s.parent.weight
	}
	return s.weight
}

// Dist returns the distribution of whole lengths as known now. It is immutable.
func (s *Series) Dist() *Dist {
	if s.dist != nil && (s.parent == nil || s.seen == s.parent.made) {
		return s.dist
	}
	s.dist = newDist(s.blend())
	if s.parent != nil {
		s.seen = s.parent.made
		s.dist.scale = math.Exp2(-max(0, s.parent.drift-driftNoise))
	}
	return s.dist
}

// Adds the class and the prior, each scaled to the observations it stands for.
func (s *Series) blend() [buckets]float64 {
	var mass [buckets]float64
	for i := range mass {
		mass[i] = float64(s.counts[i]) + priors[i]
	}
	if s.parent == nil || s.parent.weight == 0 {
		return mass
	}
	scale := classWeight / s.parent.weight
	for i := range mass {
		mass[i] += float64(s.parent.counts[i]) * min(1, scale)
	}
	return mass
}

// Prior returns the mass of a bucket before anything was observed: even in the logarithm up to a knee, and
// falling as a Pareto distribution of index 1 from there.
func prior(bucket int) float64 {
	mass := priorWeight / (bucketsPerOctave * (priorKnee + 2))
	over := float64(bucket)/bucketsPerOctave - priorKnee
	return mass * math.Exp2(-max(0, over))
}

var priors = func() (list [buckets]float64) {
	for i := range list {
		list[i] = prior(i)
	}
	return list
}()

// Dist is a distribution of whole lengths in tokens.
type Dist struct {
	// survival[i] is the probability that a length is at least the lower bound of bucket i; it never grows
	// with i and the last entry is zero.
	survival [buckets + 1]float64
	meanLog  float64 // mean of the logarithm to base 2, without scale
	scale    float64 // at most 1; lengths have grown by 1/scale since they were observed
}

func newDist(mass [buckets]float64) *Dist {
	d := &Dist{scale: 1}
	sum := 0.0
	for i := buckets - 1; i >= 0; i-- {
		sum += mass[i]
		d.survival[i] = sum
		d.meanLog += mass[i] * (float64(i) + 0.5) / bucketsPerOctave
	}
	d.meanLog /= sum
	for i := range d.survival {
		d.survival[i] /= sum
	}
	return d
}

// Survival returns the probability that a generation which has produced given tokens produces more than more
// further ones.
func (d *Dist) Survival(given, more int) float64 {
	base := d.beyond(given)
	if base <= 0 {
		return 0
	}
	return d.beyond(given+more) / base
}

// Beyond returns the probability of a length of more than tokens, interpolated in the logarithm.
func (d *Dist) beyond(tokens int) float64 {
	if tokens < 1 {
		return 1
	}
	x := float64(tokens) * d.scale
	if x < 1 {
		return 1
	}
	pos := bucketsPerOctave * log2(x)
	i := int(pos)
	if i >= buckets {
		return 0
	}
	frac := pos - float64(i)
	return d.survival[i] + frac*(d.survival[i+1]-d.survival[i])
}

// Quantile returns the number of further tokens that a generation which has produced given tokens stays
// within with probability q.
func (d *Dist) Quantile(given int, q float64) int {
	want := (1 - q) * d.beyond(given)
	lo, hi := bucketOf(int(float64(given)*d.scale)), buckets
	for lo < hi {
		mid := (lo + hi) / 2
		if d.survival[mid] > want {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == 0 {
		return 0
	}
	step := d.survival[lo-1] - d.survival[lo]
	pos := float64(lo)
	if step > 0 {
		pos = float64(lo-1) + (d.survival[lo-1]-want)/step
	}
	whole := math.Exp2(pos/bucketsPerOctave) / d.scale
	return max(0, int(math.Round(whole))-given)
}

const (
	mantissaBits = 52 // of a float64
	tableBits    = 8  // leading bits of the mantissa that index the table
)

var logTable = func() (t [1<<tableBits + 1]float64) {
	for i := range t {
		t[i] = math.Log2(1 + float64(i)/(1<<tableBits))
	}
	return t
}()

// Log2 returns the logarithm to base 2 of x, which is at least 1, to about five digits.
func log2(x float64) float64 {
	bits := math.Float64bits(x)
	exponent := int(bits>>mantissaBits) - 1023
	mantissa := bits & (1<<mantissaBits - 1)
	i := mantissa >> (mantissaBits - tableBits)
	rest := float64(mantissa&(1<<(mantissaBits-tableBits)-1)) / (1 << (mantissaBits - tableBits))
	return float64(exponent) + logTable[i] + rest*(logTable[i+1]-logTable[i])
}

func bucketOf(tokens int) int {
	if tokens < 1 {
		return 0
	}
	return min(int(bucketsPerOctave*math.Log2(float64(tokens))), buckets-1)
}

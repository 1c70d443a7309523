// Package length predicts how many tokens a generation still has to produce.
//
// A Predictor keeps one histogram of output lengths per client account, class and model, and one per class and model
// that is used while an account has few observations. Buckets are spaced evenly in the logarithm of the length. Their
// counts decay with each observation, so that predictions follow drift. A Dist is the distribution of complete
// lengths. From it follow the survival and the quantiles of the remaining length, given the tokens already generated.
package length

import (
	"container/list"
	"math"
)

const (
	bucketsPerOctave = 4
	octaves          = 17 // lengths up to 131072 tokens
	buckets          = bucketsPerOctave*octaves + 1

	accountWindow  = 96   // observations over which an account's histogram decays by a factor of e
	driftWindow    = 48   // observations over which drift is measured
	driftTolerance = 0.15 // octaves of drift that are attributed to chance
	classWindow    = 768  // the same as accountWindow for a class and model
	classWeight    = 6.0  // observations that the class counts as in an account's distribution
	priorWeight    = 0.25 // observations that the prior counts as
	priorKnee      = 9    // octave from which the prior's mass halves with each octave

	defaultMaxSeries = 16384
)

// Key identifies one series of lengths.
type Key struct {
	Account string
	Class   string // class of urgency of the request
	Model   string
}

// Predictor holds the histograms. It is not safe for concurrent use.
type Predictor struct {
	maxSeries int
	series    map[Key]*Series // by key with an account; at most maxSeries entries
	lru       *list.List      // of *Series, most recently used first
	classes   map[Key]*Series // by key without an account
}

// Option configures a Predictor.
type Option func(*Predictor)

// WithMaxSeries bounds the number of account histograms. The least recently used one is evicted.
func WithMaxSeries(n int) Option { return func(p *Predictor) { p.maxSeries = n } }

// New returns an empty predictor.
func New(opts ...Option) *Predictor {
	p := &Predictor{
		maxSeries: defaultMaxSeries,
		series:    make(map[Key]*Series),
		lru:       list.New(),
		classes:   make(map[Key]*Series),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Series is the histogram of one key. An evicted series remains usable by those that hold it.
type Series struct {
	key           Key
	window        float64
	parent        *Series       // series of the class and model; nil for such a series itself
	elem          *list.Element // in Predictor.lru
	weight        float64       // sum of counts
	counts        [buckets]float32
	dist          *Dist // cached; nil after an observation
	parentVersion int   // version of the parent from which dist was computed
	version       int   // number of observations; a change invalidates dist of children
	// drift is the mean distance of recent lengths from their distributions, in octaves. Only classes keep it.
	drift float64
}

// Series returns the series of key and creates it if it does not exist.
func (p *Predictor) Series(key Key) *Series {
	if s, ok := p.series[key]; ok {
		p.lru.MoveToFront(s.elem)
		return s
	}
	s := &Series{key: key, window: accountWindow, parent: p.class(key)}
	s.elem = p.lru.PushFront(s)
	p.series[key] = s
	if len(p.series) > p.maxSeries {
		oldest := p.lru.Remove(p.lru.Back()).(*Series)
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

// Observe records the length in tokens of a complete generation of this series.
func (s *Series) Observe(tokens int) {
	if s.parent != nil {
		if s.parent.weight >= driftWindow {
			deviation := math.Log2(float64(max(1, tokens))) - s.Dist().meanLog
			s.parent.drift += (deviation - s.parent.drift) / driftWindow
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
	s.version++
	s.dist = nil
}

// Observations returns the decayed number of observations of the class of the series.
func (s *Series) Observations() float64 {
	if s.parent != nil {
		return s.parent.weight
	}
	return s.weight
}

// Dist returns the current distribution of complete lengths. It is immutable.
func (s *Series) Dist() *Dist {
	if s.dist != nil && (s.parent == nil || s.parentVersion == s.parent.version) {
		return s.dist
	}
	s.dist = newDist(s.blend())
	if s.parent != nil {
		s.parentVersion = s.parent.version
		s.dist.scale = math.Exp2(-max(0, s.parent.drift-driftTolerance))
	}
	return s.dist
}

// blend returns the counts plus those of the class and the prior, each scaled to the observations that it counts as.
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

// prior returns the mass of a bucket before any observation: uniform in the logarithm up to the knee and, from there
// on, falling as a Pareto distribution of index 1.
func prior(bucket int) float64 {
	mass := priorWeight / (bucketsPerOctave * (priorKnee + 2))
	excess := float64(bucket)/bucketsPerOctave - priorKnee
	return mass * math.Exp2(-max(0, excess))
}

var priors = func() (list [buckets]float64) {
	for i := range list {
		list[i] = prior(i)
	}
	return list
}()

// Dist is a distribution of complete lengths in tokens.
type Dist struct {
	// survival[i] is the probability that a length is at least the lower bound of bucket i. It never grows with i, and its
	// last entry is zero.
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

// Survival returns the probability that a generation that has produced some tokens produces more than the given
// number of further ones.
func (d *Dist) Survival(generated, more int) float64 {
	base := d.tail(generated)
	if base <= 0 {
		return 0
	}
	return d.tail(generated+more) / base
}

// tail returns the probability of a length of more than the given tokens, interpolated in the logarithm.
func (d *Dist) tail(tokens int) float64 {
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

// Quantile returns the number of further tokens within which a generation that has produced some tokens ends with
// probability q.
func (d *Dist) Quantile(generated int, q float64) int {
	target := (1 - q) * d.tail(generated)
	lo, hi := bucketOf(int(float64(generated)*d.scale)), buckets
	for lo < hi {
		mid := (lo + hi) / 2
		if d.survival[mid] > target {
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
		pos = float64(lo-1) + (d.survival[lo-1]-target)/step
	}
	whole := math.Exp2(pos/bucketsPerOctave) / d.scale
	return max(0, int(math.Round(whole))-generated)
}

const (
	mantissaBits = 52 // of a float64
	tableBits    = 8  // leading bits of the mantissa that index the table
)

var log2Table = func() (t [1<<tableBits + 1]float64) {
	for i := range t {
		t[i] = math.Log2(1 + float64(i)/(1<<tableBits))
	}
	return t
}()

// log2 returns the logarithm to base 2 of x, which is at least 1, to about five digits.
func log2(x float64) float64 {
	bits := math.Float64bits(x)
	exponent := int(bits>>mantissaBits) - 1023
	mantissa := bits & (1<<mantissaBits - 1)
	i := mantissa >> (mantissaBits - tableBits)
	rest := float64(mantissa&(1<<(mantissaBits-tableBits)-1)) / (1 << (mantissaBits - tableBits))
	return float64(exponent) + log2Table[i] + rest*(log2Table[i+1]-log2Table[i])
}

func bucketOf(tokens int) int {
	if tokens < 1 {
		return 0
	}
	return min(int(bucketsPerOctave*math.Log2(float64(tokens))), buckets-1)
}

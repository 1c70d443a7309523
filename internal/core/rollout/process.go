package rollout

import "math"

// This file defines the sequential test: processes that a bad version drives up and that, whatever happens and
// however often they are looked at, exceed 1/alpha for a good version with a chance of at most alpha (Ville's
// inequality; Ramdas et al., "Game-theoretic statistics and safe anytime-valid inference", 2023).

// alternatives is the number of effect sizes that a process bets on at once.
const effectSizes = 6

var logEffectSizes = math.Log(effectSizes)

// ratios are the alternatives for the ratio between two versions' rates, above the tolerated one.
var ratios = [effectSizes]float64{1.5, 2, 4, 8, 16, 64}

// excesses are the alternatives for one version's rate, as a part of the way from the tolerated rate to 1.
var excesses = [effectSizes]float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.8}

// process is a mixture of likelihood ratios over effect sizes and over the times at which a version may turn
// bad. Half of its weight starts at once; the rest starts in equal parts at each of horizon updates, so that
// what a version did well for hours does not hide that it turns bad.
type testProcess struct {
	LogRatio  [effectSizes]float64 `json:"sum"`     // log likelihood ratio since the start, by alternative
	LogWeight [effectSizes]float64 `json:"started"` // log of the weights started, each divided by the ratio at its start
	Unstarted float64              `json:"rest"`    // weight not yet started
	Horizon   int                  `json:"horizon"`

	logValue float64 // logarithm of the process; a pure function of the other fields
}

func newTestProcess(horizon int) *testProcess {
	p := &testProcess{Unstarted: 0.5, Horizon: horizon}
	for k := range p.LogWeight {
		p.LogWeight[k] = math.Log(0.5)
	}
	p.updateLogValue()
	return p
}

// Starts the next part of the weight and multiplies every alternative by its likelihood ratio.
func (p *testProcess) update(logRatio func(k int) float64) {
	if w := 0.5 / float64(p.Horizon); p.Unstarted >= w {
		p.Unstarted -= w
		for k := range p.LogWeight {
			p.LogWeight[k] = logAdd(p.LogWeight[k], math.Log(w)-p.LogRatio[k])
		}
	}
	for k := range p.LogRatio {
		p.LogRatio[k] += logRatio(k)
	}
	p.updateLogValue()
}

// Returns the logarithm of the process.
func (p *testProcess) log() float64 { return p.logValue }

// Computes the logarithm of the process from its parts.
func (p *testProcess) updateLogValue() {
	total := math.Log(max(p.Unstarted, math.SmallestNonzeroFloat64))
	for k := range p.LogRatio {
		total = logAdd(total, p.LogRatio[k]+p.LogWeight[k]-logEffectSizes)
	}
	p.logValue = total
}

// negligible is the difference of logarithms from which the smaller term does not change the sum.
const negligible = 40

// Returns log(exp(a) + exp(b)).
func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if a-b > negligible {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

// counts is how many of some requests were bad.
type counts struct {
	N   int `json:"n"`
	Bad int `json:"bad"`
}

// Compares two versions that ran beside each other in a period. Given how many bad requests there were in all,
// each fell on the new version with a chance set by its part of the requests and by the ratio of the rates; the
// test bets on ratios above tolerated. Drawing without replacement varies less than the binomial used here, so
// the bound holds (Hoeffding 1963, theorem 4).
func (p *testProcess) compareWithControl(candidate, control counts, tolerated float64) {
	if candidate.N == 0 || control.N == 0 {
		return
	}
	part := float64(candidate.N) / float64(candidate.N+control.N)
	part = tolerated * part / (tolerated*part + 1 - part)
	p.update(func(k int) float64 {
		all := float64(candidate.Bad + control.Bad)
		return float64(candidate.Bad)*math.Log(ratios[k]) - all*math.Log(ratios[k]*part+1-part)
	})
}

// Compares one version's rate with a tolerated rate below 1.
func (p *testProcess) compareWithRate(candidate counts, tolerated float64) {
	if candidate.N == 0 {
		return
	}
	p.update(func(k int) float64 {
		rate := tolerated + (1-tolerated)*excesses[k]
		good := float64(candidate.N - candidate.Bad)
		return float64(candidate.Bad)*math.Log(rate/tolerated) + good*math.Log((1-rate)/(1-tolerated))
	})
}

// Returns an upper bound of a rate that holds with about 97 in 100.
func (c counts) upper() float64 {
	if c.N == 0 {
		return 1
	}
	n := float64(c.N)
	rate := float64(c.Bad) / n
	return min(rate+2*math.Sqrt(rate*(1-rate)/n)+2/n, 1)
}

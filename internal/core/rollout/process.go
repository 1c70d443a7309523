package rollout

import "math"

// effectSizes is the number of effect sizes that a testProcess bets on at the same time.
const effectSizes = 6

var logEffectSizes = math.Log(effectSizes)

// ratios are the effect sizes for the ratio between two versions' rates, as multiples of the tolerated ratio.
var ratios = [effectSizes]float64{1.5, 2, 4, 8, 16, 64}

// excesses are the effect sizes for one version's rate, as fractions of the distance from the tolerated rate to 1.
var excesses = [effectSizes]float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.8}

// testProcess is a sequential test. A bad version raises its value. For a good version, the chance that the value
// ever exceeds 1/alpha is at most alpha, however often it is checked (Ville's inequality; Ramdas et al.,
// "Game-theoretic statistics and safe anytime-valid inference", 2023).
//
// The value is a mixture of likelihood ratios over effect sizes and over the times at which a version may turn bad.
// Half of the weight starts with the test. The rest starts in equal parts at each of Horizon updates, so that hours of
// good behaviour do not hide that a version turns bad.
type testProcess struct {
	LogRatio  [effectSizes]float64 `json:"sum"`     // log likelihood ratio since the start, by effect size
	LogWeight [effectSizes]float64 `json:"started"` // log of the sum of started weights, each divided by the ratio at its start
	Unstarted float64              `json:"rest"`    // weight not yet started
	Horizon   int                  `json:"horizon"`

	logValue float64 // a pure function of the other fields
}

func newTestProcess(horizon int) *testProcess {
	p := &testProcess{Unstarted: 0.5, Horizon: horizon}
	for k := range p.LogWeight {
		p.LogWeight[k] = math.Log(0.5)
	}
	p.updateLogValue()
	return p
}

// update starts the next part of the weight and then adds one period's log likelihood ratio for each effect size k.
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

// log returns the logarithm of the value.
func (p *testProcess) log() float64 { return p.logValue }

// updateLogValue computes logValue from the other fields.
func (p *testProcess) updateLogValue() {
	total := math.Log(max(p.Unstarted, math.SmallestNonzeroFloat64))
	for k := range p.LogRatio {
		total = logAdd(total, p.LogRatio[k]+p.LogWeight[k]-logEffectSizes)
	}
	p.logValue = total
}

// negligible is the difference of logarithms from which the smaller term does not change the sum.
const negligible = 40

// logAdd returns log(exp(a) + exp(b)).
func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if a-b > negligible {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

// counts holds a number of requests and how many of them were bad.
type counts struct {
	N   int `json:"n"`
	Bad int `json:"bad"`
}

// compareWithControl compares two versions that ran beside each other in a period. Given the total number of bad
// requests, the chance that one of them falls on the candidate follows from the candidate's share of the requests and
// from the ratio of the rates. The test bets on ratios above tolerated. Drawing without replacement varies less than
// the binomial distribution used here, so the bound holds (Hoeffding 1963, theorem 4).
func (p *testProcess) compareWithControl(candidate, control counts, tolerated float64) {
	if candidate.N == 0 || control.N == 0 {
		return
	}
	share := float64(candidate.N) / float64(candidate.N+control.N)
	share = tolerated * share / (tolerated*share + 1 - share)
	p.update(func(k int) float64 {
		all := float64(candidate.Bad + control.Bad)
		return float64(candidate.Bad)*math.Log(ratios[k]) - all*math.Log(ratios[k]*share+1-share)
	})
}

// compareWithRate compares the candidate's rate with a tolerated rate below 1.
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

// upper returns an upper bound of the rate that holds with a probability of about 0.97.
func (c counts) upper() float64 {
	if c.N == 0 {
		return 1
	}
	n := float64(c.N)
	rate := float64(c.Bad) / n
	return min(rate+2*math.Sqrt(rate*(1-rate)/n)+2/n, 1)
}

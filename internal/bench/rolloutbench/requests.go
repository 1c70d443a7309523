// This file defines the requests and their outcomes.

package rolloutbench

import (
	"math"
	"math/rand/v2"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/rollout"
)

const (
	tick        = time.Second
	window      = time.Hour       // from the start of a rollout to its DoneBy
	spreadDelay = 3 * time.Second // until a change of the head reaches all nodes
	nodes       = 8
	servers     = 12
	// requestDuration is the time from the first token of a request until it ends and its token gap is recorded.
	requestDuration = 12 * time.Second

	oldVersion, newVersion = "v1", "v2"
	mainRoute, sideRoute   = "/v1/chat/completions", "/v1/completions"
	sideRouteShare         = 0.3

	firstTokenMedian      = 400 * time.Millisecond
	firstTokenSigma       = 0.5 // standard deviation of the logarithm
	tokenGapMedian        = 30 * time.Millisecond
	tokenGapSigma         = 0.2
	highLoadFirstToken    = 1.6 // factor at high load, for both versions
	highLoadTokenGap      = 1.4
	baseFailureRate       = 0.002
	serverFailuresPerHour = 2 // of all servers together, at random and with all their requests
	loadPeriod            = 25 * time.Minute
)

// fault describes how the new version is bad.
type fault struct {
	failureRate  float64       // of affected requests
	slowdown     float64       // factor on the times of affected requests, 0 for none
	crashRate    float64       // chance that an affected request crashes its server
	onset        time.Duration // time since the start of the rollout from which requests are affected
	highLoadOnly bool          // affects only requests at high load
	route        string        // affects only requests of this route, if not empty
}

// request is one request with its outcome.
type request struct {
	node                 int
	key                  rollout.Key
	server               int
	firstToken, tokenGap time.Duration
	failed               bool
	hit                  bool // slowed, failed or made to crash its server by the fault
	crashesServer        bool // after half of requestDuration
}

// workload draws requests. Under one seed, every policy gets the same requests, except for their versions and what the
// fault does to them.
type workload struct {
	rng        *rand.Rand
	rate       float64 // requests per second
	fault      *fault  // nil for a good version
	loadPhase  float64 // of the periodic load
	timeFactor [servers]float64
}

func newWorkload(seed uint64, rate float64, f *fault) *workload {
	w := &workload{rng: rand.New(rand.NewPCG(seed, 1)), rate: rate, fault: f}
	w.loadPhase = w.rng.Float64() * 2 * math.Pi
	for i := range w.timeFactor {
		w.timeFactor[i] = math.Exp(w.rng.NormFloat64() * 0.05)
	}
	return w
}

// highLoadChance returns the probability that a request is sent to a server at high load.
func (w *workload) highLoadChance(at time.Duration) float64 {
	return 0.35 + 0.3*math.Sin(w.loadPhase+2*math.Pi*float64(at)/float64(loadPeriod))
}

// drawArrivals draws the number of requests in one tick, from a Poisson distribution.
func (w *workload) drawArrivals() int {
	n, p, limit := 0, 1.0, math.Exp(-w.rate*tick.Seconds())
	for {
		p *= w.rng.Float64()
		if p <= limit {
			return n
		}
		n++
	}
}

// drawRequest draws a request. share returns the new version's share at a node, in thousandths.
func (w *workload) drawRequest(at time.Duration, share func(node int) int) request {
	r := request{node: w.rng.IntN(nodes), server: w.rng.IntN(servers)}
	r.key = rollout.Key{Version: oldVersion, Route: mainRoute, Load: rollout.LoadLow}
	if w.rng.Float64() < sideRouteShare {
		r.key.Route = sideRoute
	}
	if w.rng.Float64() < w.highLoadChance(at) {
		r.key.Load = rollout.LoadHigh
	}
	first := float64(firstTokenMedian) * w.timeFactor[r.server] * math.Exp(w.rng.NormFloat64()*firstTokenSigma)
	gap := float64(tokenGapMedian) * w.timeFactor[r.server] * math.Exp(w.rng.NormFloat64()*tokenGapSigma)
	if r.key.Load == rollout.LoadHigh {
		first, gap = first*highLoadFirstToken, gap*highLoadTokenGap
	}
	failureRate, chance := baseFailureRate, w.rng.Float64()
	if w.rng.IntN(bundle.ShareTotal) < share(r.node) {
		r.key.Version = newVersion
	}
	if f := w.fault; f != nil && r.key.Version == newVersion && f.affects(at, r.key) {
		r.hit = f.slowdown > 0 || chance < max(f.failureRate, f.crashRate)
		failureRate = max(failureRate, f.failureRate)
		r.crashesServer = chance < f.crashRate
		if f.slowdown > 0 {
			first, gap = first*f.slowdown, gap*f.slowdown
		}
	}
	r.firstToken, r.tokenGap, r.failed = time.Duration(first), time.Duration(gap), chance < failureRate
	return r
}

// affects reports whether the fault affects requests of the new version with key k.
func (f *fault) affects(at time.Duration, k rollout.Key) bool {
	return at >= f.onset && (!f.highLoadOnly || k.Load == rollout.LoadHigh) && (f.route == "" || f.route == k.Route)
}

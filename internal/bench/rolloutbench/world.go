// Package rolloutbench measures rollouts: the core's controller and the nodes' own cuts against requests drawn
// on a virtual clock, beside a rollout with fixed steps and an error-rate threshold.
package rolloutbench

import (
	"math"
	"math/rand/v2"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/rollout"
)

// This file defines the requests and what becomes of them.

const (
	tick       = time.Second
	window     = time.Hour // from the start of a rollout to the time by which it is to be done
	spreadTime = 3 * time.Second
	nodes      = 8
	servers    = 12
	// narrativeTime is when evidence about gaps and ends arrives after a request was placed.
	narrativeTime = 12 * time.Second

	oldVersion, newVersion = "v1", "v2"
	mainRoute, sideRoute   = "/v1/chat/completions", "/v1/completions"
	sideRoutePart          = 0.3

	firstMedian   = 400 * time.Millisecond
	firstSpread   = 0.5 // sigma of the logarithm
	gapMedian     = 30 * time.Millisecond
	gapSpread     = 0.2
	highLoadFirst = 1.6 // factor at high load, for both versions
	highLoadGap   = 1.4
	baseFailures  = 0.002
	deathsPerHour = 2 // of servers by chance, with every generation on them
	loadPeriod    = 25 * time.Minute
)

// fault is how the new version is bad.
type fault struct {
	failures float64       // chance that a request it hits fails
	slow     float64       // factor on times, 0 for none
	kills    float64       // chance that a request it hits kills its server
	after    time.Duration // since the start of the rollout
	highLoad bool          // hits at high load only
	route    string        // hits this route only, when not empty
}

// request is one request with what became of it.
type request struct {
	node       int
	key        rollout.Key
	server     int
	first, gap time.Duration
	failed     bool
	hit        bool // by the fault
	kills      bool // its server, half way
}

// world draws requests. It is the same for every policy under one seed.
type world struct {
	rng   *rand.Rand
	rate  float64 // requests a second
	fault *fault  // nil for a good version
	phase float64 // of the load's swing
	speed [servers]float64
}

func newWorld(seed uint64, rate float64, f *fault) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), rate: rate, fault: f}
	w.phase = w.rng.Float64() * 2 * math.Pi
	for i := range w.speed {
		w.speed[i] = math.Exp(w.rng.NormFloat64() * 0.05)
	}
	return w
}

// Returns the chance that a request meets a server at high load.
func (w *world) highLoad(at time.Duration) float64 {
	return 0.35 + 0.3*math.Sin(w.phase+2*math.Pi*float64(at)/float64(loadPeriod))
}

// Draws the number of requests of one tick.
func (w *world) arrivals() int {
	n, p, limit := 0, 1.0, math.Exp(-w.rate*tick.Seconds())
	for {
		p *= w.rng.Float64()
		if p <= limit {
			return n
		}
		n++
	}
}

// Draws a request. share is the new version's share by node, in thousandths.
func (w *world) draw(at time.Duration, share func(node int) int) request {
	r := request{node: w.rng.IntN(nodes), server: w.rng.IntN(servers)}
	r.key = rollout.Key{Version: oldVersion, Route: mainRoute, Load: rollout.LoadLow}
	if w.rng.Float64() < sideRoutePart {
		r.key.Route = sideRoute
	}
	if w.rng.Float64() < w.highLoad(at) {
		r.key.Load = rollout.LoadHigh
	}
	first := float64(firstMedian) * w.speed[r.server] * math.Exp(w.rng.NormFloat64()*firstSpread)
	gap := float64(gapMedian) * w.speed[r.server] * math.Exp(w.rng.NormFloat64()*gapSpread)
	if r.key.Load == rollout.LoadHigh {
		first, gap = first*highLoadFirst, gap*highLoadGap
	}
	failures, chance := baseFailures, w.rng.Float64()
	if w.rng.IntN(bundle.ShareTotal) < share(r.node) {
		r.key.Version = newVersion
	}
	if f := w.fault; f != nil && r.key.Version == newVersion && f.hits(at, r.key) {
		r.hit = f.slow > 0 || chance < max(f.failures, f.kills)
		failures = max(failures, f.failures)
		r.kills = chance < f.kills
		if f.slow > 0 {
			first, gap = first*f.slow, gap*f.slow
		}
	}
	r.first, r.gap, r.failed = time.Duration(first), time.Duration(gap), chance < failures
	return r
}

func (f *fault) hits(at time.Duration, k rollout.Key) bool {
	return at >= f.after && (!f.highLoad || k.Load == rollout.LoadHigh) && (f.route == "" || f.route == k.Route)
}

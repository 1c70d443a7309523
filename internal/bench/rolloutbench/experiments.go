// Package rolloutbench compares rollout policies in a simulation in virtual time.
//
// It draws requests from distributions and runs a rollout under two policies: the controller of package rollout with
// the local judges of the nodes, and a baseline with fixed steps and an error-rate threshold. [RunGood] measures
// rollouts of good versions, and [RunBad] rollouts of versions with one of the faults in [Cases].
package rolloutbench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/core/rollout"
)

const method = "core on a virtual clock, requests drawn from distributions"

// requestRate is the number of requests per second of one model today.
const requestRate = 10

// The default numbers of runs of an experiment. The seeds of the runs follow from the seed of the experiment.
const (
	GoodRuns = 200
	BadRuns  = 100
)

// parallel is the number of concurrent runs.
const parallel = 4

// runAll runs one policy several times and returns the results in order of their seeds.
func runAll(seed uint64, runs int, draw func(*rand.Rand) *fault, newPolicy func() policy) []runResult {
	results := slices.Repeat([]runResult{{}}, runs)
	var g errgroup.Group
	g.SetLimit(parallel)
	for i := range results {
		g.Go(func() error {
			runSeed := seed<<16 + uint64(i)
			results[i] = run(runSeed, requestRate, draw(rand.New(rand.NewPCG(runSeed, 3))), newPolicy)
			return nil
		})
	}
	_ = g.Wait() // no run fails
	return results
}

// GoodFigures holds the figures of rollouts of good versions.
type GoodFigures struct {
	Runs           int     `json:"runs"`
	DoneInTime     int     `json:"doneInTime"`
	FalseTakeBacks int     `json:"falseTakeBacks"`
	LocalCutShare  float64 `json:"localCutShare"` // mean share of requests at nodes that had cut off the version on their own
}

// BadFigures holds the figures of rollouts with one kind of fault.
type BadFigures struct {
	Runs      int `json:"runs"`
	TakenBack int `json:"takenBack"`
	// ShareOfRequestsHit is the mean over runs of the share of requests that the fault hit, until the version was
	// taken back on all nodes.
	ShareOfRequestsHit    float64 `json:"shareOfRequestsHit"`
	ShareOfRequestsHitMax float64 `json:"shareOfRequestsHitMax"`
	// MsToTakeBackMedian is the median time from the first request hit until the version was taken back on all nodes.
	MsToTakeBackMedian int64 `json:"msToTakeBackMedian"`
	MsToTakeBackMax    int64 `json:"msToTakeBackMax"`
	RoutedLaterThan3s  int   `json:"routedLaterThan3s"` // requests sent to the version more than 3 s after the verdict
}

// Result is the result of one experiment.
type Result struct {
	Experiment string                 `json:"experiment"`
	Case       string                 `json:"case,omitempty"`
	Seed       uint64                 `json:"seed"`
	Method     string                 `json:"method"`
	Good       map[string]GoodFigures `json:"good,omitempty"` // by policy
	Bad        map[string]BadFigures  `json:"bad,omitempty"`  // by policy
}

var policies = map[string]func() policy{
	"ebonyferry": newFerry,
	"fixedSteps": newFixedSteps,
}

// faults draws a fault of each kind.
var faults = map[string]func(rng *rand.Rand) *fault{
	"failsAtOnce": func(*rand.Rand) *fault { return &fault{failureRate: 0.3} },
	"failsLater":  func(rng *rand.Rand) *fault { return &fault{failureRate: 0.3, onset: drawOnset(rng)} },
	"slowAtOnce":  func(*rand.Rand) *fault { return &fault{slowdown: 3} },
	"slowLater":   func(rng *rand.Rand) *fault { return &fault{slowdown: 3, onset: drawOnset(rng)} },
	"underLoad": func(rng *rand.Rand) *fault {
		if rng.IntN(2) == 0 {
			return &fault{failureRate: 0.3, highLoadOnly: true}
		}
		return &fault{slowdown: 3, highLoadOnly: true}
	},
	"killsServers": func(*rand.Rand) *fault { return &fault{crashRate: 0.3} },
	"oneRoute":     func(*rand.Rand) *fault { return &fault{failureRate: 0.3, route: sideRoute} },
}

// Cases lists the kinds of faults.
var Cases = []string{"failsAtOnce", "failsLater", "slowAtOnce", "slowLater", "underLoad", "oneRoute", "killsServers"}

// drawOnset draws the time at which a version becomes bad: from ten minutes after the start to the middle of the watch.
func drawOnset(rng *rand.Rand) time.Duration {
	const earliest = 10 * time.Minute
	return earliest + time.Duration(rng.Float64()*float64(window+rollout.Watch/2-earliest))
}

// RunGood simulates rollouts of good versions under each policy.
func RunGood(seed uint64, runs int) Result {
	res := Result{Experiment: "goodRollout", Seed: seed, Method: method, Good: make(map[string]GoodFigures)}
	for name, newPolicy := range policies {
		figures := GoodFigures{Runs: runs}
		for _, r := range runAll(seed, runs, func(*rand.Rand) *fault { return nil }, newPolicy) {
			if r.doneAt > 0 && r.doneAt <= window && r.takenBackAt == 0 {
				figures.DoneInTime++
			}
			if r.takenBackAt > 0 {
				figures.FalseTakeBacks++
			}
			figures.LocalCutShare += float64(r.localCuts) / float64(max(r.requests, 1)) / float64(runs)
		}
		res.Good[name] = figures
	}
	return res
}

// RunBad simulates rollouts of versions with one kind of fault under each policy.
func RunBad(kind string, seed uint64, runs int) (Result, error) {
	draw, ok := faults[kind]
	if !ok {
		return Result{}, fmt.Errorf("unknown case %q of badRollout", kind)
	}
	res := Result{Experiment: "badRollout", Case: kind, Seed: seed, Method: method, Bad: make(map[string]BadFigures)}
	for name, newPolicy := range policies {
		res.Bad[name] = badFigures(runAll(seed, runs, draw, newPolicy))
	}
	return res, nil
}

func badFigures(runs []runResult) BadFigures {
	figures := BadFigures{Runs: len(runs)}
	var times []int64
	for _, r := range runs {
		hit := float64(r.hit) / float64(max(r.requests, 1))
		figures.ShareOfRequestsHit += hit / float64(len(runs))
		figures.ShareOfRequestsHitMax = max(figures.ShareOfRequestsHitMax, hit)
		figures.RoutedLaterThan3s += r.routedLate
		if r.takenBackAt > 0 && r.firstHitAt > 0 {
			figures.TakenBack++
			times = append(times, (r.takenBackAt - r.firstHitAt).Milliseconds())
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		figures.MsToTakeBackMedian, figures.MsToTakeBackMax = times[len(times)/2], times[len(times)-1]
	}
	return figures
}

package rolloutbench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/core/rollout"
)

// This file defines the experiments and their results.

const method = "core on a virtual clock, requests drawn from distributions"

// todayRate is the requests a second of one model.
const todayRate = 10

// The runs of one experiment. A seed names the whole group.
const (
	GoodRuns = 200
	BadRuns  = 100
)

// parallel is how many runs go on at a time.
const parallel = 4

// Plays runs of one policy and returns their results in order of their seeds.
func playAll(seed uint64, runs int, draw func(*rand.Rand) *fault, make func() policy) []runResult {
	results := slices.Repeat([]runResult{{}}, runs)
	var g errgroup.Group
	g.SetLimit(parallel)
	for i := range results {
		g.Go(func() error {
			own := seed<<16 + uint64(i)
			results[i] = run(own, todayRate, draw(rand.New(rand.NewPCG(own, 3))), make)
			return nil
		})
	}
	_ = g.Wait() // no run fails
	return results
}

// GoodFigures are the figures of rollouts of good versions.
type GoodFigures struct {
	Runs           int     `json:"runs"`
	DoneInTime     int     `json:"doneInTime"`
	FalseTakeBacks int     `json:"falseTakeBacks"`
	LocalCutShare  float64 `json:"localCutShare"` // of requests held back by a node's own cut
}

// BadFigures are the figures of rollouts of one kind of bad version.
type BadFigures struct {
	Runs      int `json:"runs"`
	TakenBack int `json:"takenBack"`
	// ShareOfRequestsHit is the mean over runs of the hit part of all requests of the model from the start
	// until the version was out everywhere.
	ShareOfRequestsHit    float64 `json:"shareOfRequestsHit"`
	ShareOfRequestsHitMax float64 `json:"shareOfRequestsHitMax"`
	// MsToTakeBackMedian is from the first request hit until the version was out everywhere.
	MsToTakeBackMedian int64 `json:"msToTakeBackMedian"`
	MsToTakeBackMax    int64 `json:"msToTakeBackMax"`
	RoutedLaterThan3s  int   `json:"routedLaterThan3s"` // requests sent to the version later than 3 s after the verdict
}

// Result is the outcome of one experiment under one seed.
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

// faults makes the kinds of bad version.
var faults = map[string]func(rng *rand.Rand) *fault{
	"failsAtOnce": func(*rand.Rand) *fault { return &fault{failures: 0.3} },
	"failsLater":  func(rng *rand.Rand) *fault { return &fault{failures: 0.3, after: laterThan(rng)} },
	"slowAtOnce":  func(*rand.Rand) *fault { return &fault{slow: 3} },
	"slowLater":   func(rng *rand.Rand) *fault { return &fault{slow: 3, after: laterThan(rng)} },
	"underLoad": func(rng *rand.Rand) *fault {
		if rng.IntN(2) == 0 {
			return &fault{failures: 0.3, highLoad: true}
		}
		return &fault{slow: 3, highLoad: true}
	},
	"killsServers": func(*rand.Rand) *fault { return &fault{kills: 0.3} },
	"oneRoute":     func(*rand.Rand) *fault { return &fault{failures: 0.3, route: sideRoute} },
}

// Cases lists the kinds of bad version.
var Cases = []string{"failsAtOnce", "failsLater", "slowAtOnce", "slowLater", "underLoad", "oneRoute", "killsServers"}

// Draws when a version turns bad: from a few minutes after the start to well into the watch.
func laterThan(rng *rand.Rand) time.Duration {
	const earliest = 10 * time.Minute
	return earliest + time.Duration(rng.Float64()*float64(window+rollout.Watch/2-earliest))
}

// RunGood runs rollouts of good versions.
func RunGood(seed uint64, runs int) Result {
	res := Result{Experiment: "goodRollout", Seed: seed, Method: method, Good: make(map[string]GoodFigures)}
	for name, make := range policies {
		figures := GoodFigures{Runs: runs}
		for _, r := range playAll(seed, runs, func(*rand.Rand) *fault { return nil }, make) {
			if r.doneAt > 0 && r.doneAt <= window && r.backAt == 0 {
				figures.DoneInTime++
			}
			if r.backAt > 0 {
				figures.FalseTakeBacks++
			}
			figures.LocalCutShare += float64(r.localCuts) / float64(max(r.requests, 1)) / float64(runs)
		}
		res.Good[name] = figures
	}
	return res
}

// RunBad runs rollouts of one kind of bad version.
func RunBad(kind string, seed uint64, runs int) (Result, error) {
	draw, ok := faults[kind]
	if !ok {
		return Result{}, fmt.Errorf("unknown case %q of badRollout", kind)
	}
	res := Result{Experiment: "badRollout", Case: kind, Seed: seed, Method: method, Bad: make(map[string]BadFigures)}
	for name, make := range policies {
		res.Bad[name] = bad(playAll(seed, runs, draw, make))
	}
	return res, nil
}

func bad(runs []runResult) BadFigures {
	figures := BadFigures{Runs: len(runs)}
	var times []int64
	for _, r := range runs {
		hit := float64(r.hit) / float64(max(r.requests, 1))
		figures.ShareOfRequestsHit += hit / float64(len(runs))
		figures.ShareOfRequestsHitMax = max(figures.ShareOfRequestsHitMax, hit)
		figures.RoutedLaterThan3s += r.routed
		if r.backAt > 0 && r.badFrom > 0 {
			figures.TakenBack++
			times = append(times, (r.backAt - r.badFrom).Milliseconds())
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		figures.MsToTakeBackMedian, figures.MsToTakeBackMax = times[len(times)/2], times[len(times)-1]
	}
	return figures
}

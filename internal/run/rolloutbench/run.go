package rolloutbench

import (
	"math/rand/v2"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/rollout"
)

// This file defines one run of one policy.

// outcomeOf is what one run came to.
type runResult struct {
	doneAt    time.Duration // when the new version had all of its shares; zero when never
	backAt    time.Duration // when the new version was taken back everywhere; zero when never
	badFrom   time.Duration // when the first request could be hit
	requests  int           // from the start of the rollout until it was taken back everywhere, or to the end
	hit       int           // of these, by the fault
	routed    int           // requests sent to the new version later than spreadTime after the verdict
	localCuts int           // ticks in which a node held the version back by itself
}

// late is evidence under way.
type late struct {
	at time.Duration
	r  request
}

// play runs one policy to the end of the watch, or to a while after a take-back.
func play(seed uint64, rate float64, f *fault, make func() policy) runResult {
	w := newWorld(seed, rate, f)
	deaths := rand.New(rand.NewPCG(seed, 2))
	p := make()
	var res runResult
	var underWay []late
	share, pending := 0, []change{{at: 0, share: p.share()}}
	verdictAt := time.Duration(-1)
	end := window + rollout.Watch
	for at := time.Duration(0); at < end; at += tick {
		for len(pending) > 0 && pending[0].at <= at {
			share, pending = pending[0].share, pending[1:]
		}
		now := func(node int) int {
			if p.cut(node) {
				res.localCuts++
				return 0
			}
			return share
		}
		for range w.arrivals() {
			r := w.draw(at, now)
			res.count(r, at, verdictAt, f)
			p.placed(r, at)
			underWay = append(underWay, late{at + narrativeTime, r})
		}
		for len(underWay) > 0 && underWay[0].at <= at {
			p.ended(underWay[0].r, at)
			underWay = underWay[1:]
		}
		if deaths.Float64() < deathsPerHour*tick.Hours() {
			p.died(drawVersion(deaths, share), deaths.IntN(servers), at)
		}
		p.decide(at)
		if last := lastShare(share, pending); p.share() != last {
			pending = append(pending, change{at: at + spreadTime, share: p.share()})
		}
		if share == bundle.ShareTotal && res.doneAt == 0 {
			res.doneAt = at
		}
		if p.takenBack() && verdictAt < 0 {
			verdictAt = at
			res.backAt = at + spreadTime
			end = min(end, at+time.Minute)
		}
	}
	return res
}

// change is a switch of the head on its way to the nodes.
type change struct {
	at    time.Duration
	share int
}

func lastShare(share int, pending []change) int {
	if len(pending) > 0 {
		return pending[len(pending)-1].share
	}
	return share
}

// Draws the version that a dying server served.
func drawVersion(rng *rand.Rand, share int) string {
	if rng.IntN(bundle.ShareTotal) < share {
		return newVersion
	}
	return oldVersion
}

func (res *runResult) count(r request, at, verdictAt time.Duration, f *fault) {
	if verdictAt >= 0 && at > verdictAt+spreadTime {
		if r.key.Version == newVersion {
			res.routed++
		}
		return
	}
	res.requests++
	if r.hit {
		res.hit++
		if res.badFrom == 0 {
			res.badFrom = max(at, tick)
		}
	}
}

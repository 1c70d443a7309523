package rolloutbench

import (
	"math/rand/v2"
	"slices"
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

// play is one run under way.
type play struct {
	w         *world
	p         policy
	deaths    *rand.Rand
	underWay  []late // in order of their ends
	res       runResult
	verdictAt time.Duration // negative while there is none
}

// run runs one policy to the end of the watch, or to a while after a take-back.
func run(seed uint64, rate float64, f *fault, make func() policy) runResult {
	g := &play{w: newWorld(seed, rate, f), p: make(), deaths: rand.New(rand.NewPCG(seed, 2)), verdictAt: -1}
	share, pending := 0, []change{{at: 0, share: g.p.share()}}
	end := window + rollout.Watch
	for at := time.Duration(0); at < end; at += tick {
		for len(pending) > 0 && pending[0].at <= at {
			share, pending = pending[0].share, pending[1:]
		}
		g.tick(at, share)
		if last := lastShare(share, pending); g.p.share() != last {
			pending = append(pending, change{at: at + spreadTime, share: g.p.share()})
		}
		if share == bundle.ShareTotal && g.res.doneAt == 0 {
			g.res.doneAt = at
		}
		if g.p.takenBack() && g.verdictAt < 0 {
			g.verdictAt = at
			g.res.backAt = at + spreadTime
			end = min(end, at+time.Minute)
		}
	}
	return g.res
}

// Runs one tick under a share of the new version.
func (g *play) tick(at time.Duration, share int) {
	shareAt := func(node int) int {
		if g.p.cut(node) {
			g.res.localCuts++
			return 0
		}
		return share
	}
	for range g.w.arrivals() {
		r := g.w.draw(at, shareAt)
		g.res.count(r, at, g.verdictAt)
		g.p.placed(r, at)
		g.underWay = append(g.underWay, late{at + narrativeTime, r})
	}
	for len(g.underWay) > 0 && g.underWay[0].at <= at {
		g.p.ended(g.underWay[0].r, at)
		g.underWay = g.underWay[1:]
	}
	for _, l := range g.underWay {
		if l.r.kills && l.at-at <= narrativeTime/2 {
			g.res.hit += g.kill(l.r.server, at) - 1 // the request itself is counted
			break                                   // others follow at the next tick
		}
	}
	if g.deaths.Float64() < deathsPerHour*tick.Hours() {
		g.kill(g.deaths.IntN(servers), at)
	}
	g.p.decide(at)
}

// Ends a server with all requests on it and returns their number.
func (g *play) kill(server int, at time.Duration) int {
	var lost []request
	g.underWay = slices.DeleteFunc(g.underWay, func(l late) bool {
		if l.r.server == server {
			lost = append(lost, l.r)
		}
		return l.r.server == server
	})
	g.p.died(server, lost, at)
	return len(lost)
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

func (res *runResult) count(r request, at, verdictAt time.Duration) {
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

package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

// fleetSim replays prompts that arrive at the nodes of several failure domains, in steps of simStep. Nodes learn the
// loads that their own domain placed after ownDelay, and those that other domains placed after otherDelay.
type fleetSim struct {
	rng       *rand.Rand
	domains   int
	perDomain int // servers of each failure domain
	perSecond float64
	history   [][][]Load // by step, failure domain that placed the load, and server
	engines   []simEngine
	now       int // step
	waits     []time.Duration
}

// simEngine is an engine that reads one prompt after another. Chunks of prompts alternate with steps of running
// generations.
type simEngine struct {
	queue []simRun
	runs  []simRun
}

type simRun struct {
	placedBy int // failure domain
	at       int // step of its arrival
	unread   float64
	tokens   int
	ends     int // step
	long     bool
}

const (
	simStep       = 5 * time.Millisecond
	ownDelay      = 25 * time.Millisecond
	simMemory     = 34_300
	simSlots      = 24
	readAlone     = 14.0 // prompt tokens per millisecond
	readBeside    = 7.2  // the same while generations run
	longRunTime   = 8500 * time.Millisecond
	shortRunTime  = 100 * time.Millisecond
	replacePeriod = 3300 * time.Millisecond
	replacedShare = 0.17
)

func steps(d time.Duration) int { return int(d / simStep) }

func newFleetSim(seed uint64, domains, perDomain int, perSecond float64) *fleetSim {
	return &fleetSim{
		rng: rand.New(rand.NewPCG(seed, 0)), domains: domains, perDomain: perDomain, perSecond: perSecond,
		engines: make([]simEngine, domains*perDomain),
	}
}

// run plays the fleet for a time.
func (f *fleetSim) run(d, otherDelay time.Duration) {
	for f.now = 0; f.now < steps(d); f.now++ {
		f.history = append(f.history, f.loads())
		f.replaceServers()
		for range f.arrivals() {
			f.place(otherDelay)
		}
		for i := range f.engines {
			f.work(i)
		}
	}
}

func (f *fleetSim) arrivals() int {
	n := 0
	for p := f.perSecond * simStep.Seconds(); p > 0; p-- {
		if f.rng.Float64() < p {
			n++
		}
	}
	return n
}

// loads returns the present load by failure domain that placed it and by server.
func (f *fleetSim) loads() [][]Load {
	all := make([][]Load, f.domains)
	for d := range all {
		all[d] = make([]Load, len(f.engines))
	}
	for i, e := range f.engines {
		for _, r := range e.queue {
			l := &all[r.placedBy][i]
			*l = l.Plus(Load{Streams: 1, RunTokens: r.tokens, PrefillTokens: r.tokens})
		}
		for _, r := range e.runs {
			l := &all[r.placedBy][i]
			*l = l.Plus(Load{Streams: 1, RunTokens: r.tokens})
		}
	}
	return all
}

// replaceServers restarts some servers empty, as reclaimed servers are.
func (f *fleetSim) replaceServers() {
	if f.now%steps(replacePeriod) != 0 {
		return
	}
	for i := range f.engines {
		if f.rng.Float64() < replacedShare {
			f.engines[i] = simEngine{}
		}
	}
}

func (f *fleetSim) place(otherDelay time.Duration) {
	from := f.rng.IntN(f.domains)
	list := make([]Candidate, len(f.engines))
	for i := range list {
		domain := i / f.perDomain
		list[i] = Candidate{
			Slots: simSlots, Memory: simMemory, Domain: string(rune('a' + domain)), CrossDomain: domain != from,
			TieBreak: f.rng.Float64(),
		}
		for d := range f.domains {
			delay := otherDelay
			if d == from {
				delay = ownDelay
			}
			if known := f.now - steps(delay); known >= 0 {
				list[i].Load = list[i].Load.Plus(f.history[known][d][i])
			}
		}
	}
	run := simRun{placedBy: from, at: f.now, tokens: 1500 + f.rng.IntN(2200), long: f.rng.Float64() < 0.41}
	run.unread = float64(run.tokens)
	at := Choose(list, Need{Tokens: run.tokens})
	if at < 0 {
		f.waits = append(f.waits, time.Hour)
		return
	}
	f.engines[at].queue = append(f.engines[at].queue, run)
}

// work advances one engine by a step.
func (f *fleetSim) work(i int) {
	e := &f.engines[i]
	kept := e.runs[:0]
	for _, r := range e.runs {
		if r.ends > f.now {
			kept = append(kept, r)
		}
	}
	e.runs = kept
	rate := readAlone
	if len(e.runs) > 0 {
		rate = readBeside
	}
	for left := rate * float64(simStep.Milliseconds()); left > 0 && len(e.queue) > 0; {
		r := &e.queue[0]
		read := min(left, r.unread)
		left, r.unread = left-read, r.unread-read
		if r.unread > 0 {
			continue
		}
		f.waits = append(f.waits, time.Duration(f.now-r.at)*simStep)
		r.ends = f.now + steps(shortRunTime)
		if r.long {
			r.ends = f.now + steps(longRunTime)
		}
		e.runs = append(e.runs, *r)
		e.queue = e.queue[1:]
	}
}

// lateShare returns the share of prompts whose first token took longer than target.
func (f *fleetSim) lateShare(target time.Duration) float64 {
	late := 0
	for _, w := range f.waits {
		if w > target {
			late++
		}
	}
	return float64(late) / float64(max(1, len(f.waits)))
}

// Engines that read prompts for a fifth of the time have room for every prompt within the target of short requests,
// 1.5 s. A server that has just become idle looks best to the nodes of all failure domains until each knows of the
// others' prompts, and they must not all choose it.
func TestNodesWithOldViewsDoNotChooseAlike(t *testing.T) {
	const target = 1500 * time.Millisecond
	tests := []struct {
		name               string
		domains, perDomain int
		perSecond          float64
		otherDelay         time.Duration
	}{
		{"195 nodes, 62 servers, loads of other domains after 150 ms", 6, 10, 56, 150 * time.Millisecond},
		{"195 nodes, 62 servers, loads of other domains after 500 ms", 6, 10, 56, 500 * time.Millisecond},
		{"70 nodes, 48 servers, loads of other domains after 150 ms", 4, 12, 45, 150 * time.Millisecond},
	}
	for _, tt := range tests {
		for seed := range uint64(3) {
			f := newFleetSim(seed, tt.domains, tt.perDomain, tt.perSecond)
			f.run(time.Minute, tt.otherDelay)
			if got, want := f.lateShare(target), 0.01; got > want {
				t.Errorf("%s, seed %d: got %.3f of %d prompts late, want at most %.2f", tt.name, seed, got, len(f.waits), want)
			}
		}
	}
}

// This file defines the schedule of faults.

package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of an action.
type Kind string

// The kinds of action.
const (
	KillNode      Kind = "killNode"      // SIGKILL; a new process after For
	PauseNode     Kind = "pauseNode"     // SIGSTOP for For, longer than a lease
	DrainNode     Kind = "drainNode"     // SIGTERM; a new process after it has exited
	CutCallers    Kind = "cutCallers"    // resets the callers' connections to a node
	StallCallers  Kind = "stallCallers"  // holds data between callers and a node for For
	CutStore      Kind = "cutStore"      // holds data between a node and the store for For
	StallEngine   Kind = "stallEngine"   // holds data from an engine for For
	CutEngine     Kind = "cutEngine"     // resets connections to an engine
	KillEngine    Kind = "killEngine"    // the engine is down for For and restarts cold
	ColdEngine    Kind = "coldEngine"    // the engine turns cold without reporting it
	LeaveEngine   Kind = "leaveEngine"   // the engine reports for For that it is leaving
	StoreOutage   Kind = "storeOutage"   // the store does not answer for For
	StoreSlow     Kind = "storeSlow"     // the store is slow for For
	StoreRestored Kind = "storeRestored" // the store does not answer for For and comes back from an earlier copy; only if asked for
	LoseAnswers   Kind = "loseAnswers"   // answers to writes are lost after the writes took effect
	LoseBookings  Kind = "loseBookings"  // the service loses some answers for For
	DomainOut     Kind = "domainOut"     // an operator takes a failure domain out of service for For
	OperatorsRace Kind = "operatorsRace" // two operators change marks at the same time
	BadRollout    Kind = "badRollout"    // an operator rolls a bad version forward; once in a long schedule
)

// Action is one entry of a schedule.
type Action struct {
	At     time.Duration // since the start of the load
	Kind   Kind
	Target string        // name of a node, engine or failure domain; empty for the store
	For    time.Duration // zero for actions without a duration
}

// String returns the action in one line.
func (a Action) String() string {
	return fmt.Sprintf("%6.2fs %s %s %s", a.At.Seconds(), a.Kind, a.Target, a.For)
}

// end returns when the action is over.
func (a Action) end() time.Duration { return a.At + a.For }

const (
	faultFreeStart = 4 * time.Second // before the first fault
	faultFreeEnd   = 8 * time.Second // after the last one
	meanSpacing    = 1500 * time.Millisecond
	restoreSpacing = 15 * time.Second
	recoveryTime   = 4 * time.Second // after an action, before its target counts as recovered
	drainTime      = 15 * time.Second
)

// plan describes the nodes, engines and failure domains of a schedule, and its length.
type plan struct {
	nodes, engines, domains []string
	duration                time.Duration
	lease                   time.Duration
	restores                bool // the schedule has StoreRestored
}

// weights holds the relative frequencies of the kinds that are drawn at random.
var weights = []struct {
	kind   Kind
	weight int
}{
	{KillNode, 4}, {PauseNode, 3}, {DrainNode, 3}, {CutCallers, 3}, {StallCallers, 2}, {CutStore, 2},
	{StallEngine, 3}, {CutEngine, 3}, {KillEngine, 3}, {ColdEngine, 2}, {LeaveEngine, 2}, {StoreOutage, 2}, {StoreSlow, 2},
	{LoseAnswers, 3}, {LoseBookings, 2}, {DomainOut, 2}, {OperatorsRace, 2},
}

// draw returns the schedule of a seed. At any time, actions affect at most a third of the nodes, and at most one failure
// domain is out of service. The last action starts at least faultFreeEnd before the end, and ends at least
// faultFreeEnd - recoveryTime before it.
func (p plan) draw(seed uint64) []Action {
	const stream = 7
	rng := rand.New(rand.NewPCG(seed, stream))
	var actions []Action
	if p.duration >= faultFreeStart+rolloutTime+faultFreeEnd {
		actions = append(actions, Action{At: faultFreeStart, Kind: BadRollout, For: rolloutTime})
	}
	if p.restores {
		for at := faultFreeStart + meanSpacing; at < p.duration-faultFreeEnd; at += restoreSpacing {
			actions = append(actions, Action{At: at, Kind: StoreRestored, For: time.Second})
		}
	}
	for at := faultFreeStart; ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanSpacing))
		if at > p.duration-faultFreeEnd {
			return actions
		}
		if a, ok := p.drawOne(rng, at, actions); ok {
			actions = append(actions, a)
		}
	}
}

// drawOne draws one action. It returns false if the action would break a bound of the schedule.
func (p plan) drawOne(rng *rand.Rand, at time.Duration, before []Action) (Action, bool) {
	a := Action{At: at, Kind: drawKind(rng)}
	seconds := func(from, to float64) time.Duration {
		return time.Duration((from + (to-from)*rng.Float64()) * float64(time.Second))
	}
	switch a.Kind {
	case KillNode:
		a.Target, a.For = pick(rng, p.nodes), seconds(1, 4)
	case PauseNode:
		a.Target, a.For = pick(rng, p.nodes), p.lease+seconds(0.5, 2)
	case DrainNode:
		a.Target, a.For = pick(rng, p.nodes), drainTime
	case CutCallers:
		a.Target = pick(rng, p.nodes)
	case StallCallers, CutStore:
		a.Target, a.For = pick(rng, p.nodes), seconds(1, 6)
	case StallEngine:
		a.Target, a.For = pick(rng, p.engines), seconds(1, 4)
	case CutEngine, ColdEngine:
		a.Target = pick(rng, p.engines)
	case KillEngine:
		a.Target, a.For = pick(rng, p.engines), seconds(1, 4)
	case StoreOutage, StoreSlow, LoseBookings:
		a.For = seconds(2, 6)
	case LeaveEngine:
		a.Target, a.For = pick(rng, p.engines), seconds(8, 12)
	case DomainOut:
		a.Target, a.For = pick(rng, p.domains), seconds(8, 12)
	}
	if a.end() > p.duration-faultFreeEnd+recoveryTime {
		return a, false
	}
	return a, p.fits(a, before)
}

// fits reports whether a keeps the bounds of the schedule together with the actions drawn before.
func (p plan) fits(a Action, before []Action) bool {
	disturbed := 0
	for _, b := range before {
		if b.end()+recoveryTime < a.At {
			continue
		}
		if b.Target != "" && b.Target == a.Target || b.Kind == a.Kind && a.Target == "" {
			return false
		}
		if a.Kind == DomainOut && b.Kind == DomainOut {
			return false
		}
		if slices.Contains(p.nodes, b.Target) {
			disturbed++
		}
	}
	return !slices.Contains(p.nodes, a.Target) || disturbed < len(p.nodes)/3
}

func drawKind(rng *rand.Rand) Kind {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	n := rng.IntN(total)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}
	return OperatorsRace
}

func pick(rng *rand.Rand, names []string) string { return names[rng.IntN(len(names))] }

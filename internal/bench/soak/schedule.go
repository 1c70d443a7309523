// Package soak runs node processes among stand-ins, injects faults from a seeded schedule, and checks from
// outside what must always hold.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// This file defines the schedule of faults.

// Kind is what an action does.
type Kind string

// The kinds of action.
const (
	KillNode      Kind = "killNode"      // SIGKILL; a new process after For
	PauseNode     Kind = "pauseNode"     // SIGSTOP for For, longer than a lease
	DrainNode     Kind = "drainNode"     // SIGTERM; a new process once it has ended
	CutCallers    Kind = "cutCallers"    // resets the callers' connections to a node
	StallCallers  Kind = "stallCallers"  // holds data between callers and a node for For
	CutStore      Kind = "cutStore"      // holds data between a node and the store for For
	StallEngine   Kind = "stallEngine"   // holds data from an engine for For
	CutEngine     Kind = "cutEngine"     // resets connections to an engine
	KillEngine    Kind = "killEngine"    // the engine is down for For and returns cold
	ColdEngine    Kind = "coldEngine"    // the engine turns cold without a sign
	LeaveEngine   Kind = "leaveEngine"   // the engine says for For that it is leaving
	StoreOutage   Kind = "storeOutage"   // the store does not answer for For
	StoreSlow     Kind = "storeSlow"     // the store is slow for For
	LoseAnswers   Kind = "loseAnswers"   // answers to writes are lost after taking effect
	LoseBookings  Kind = "loseBookings"  // the service loses answers for For
	DomainOut     Kind = "domainOut"     // operators take a failure domain out for For
	OperatorsRace Kind = "operatorsRace" // two operators change marks at the same time
	BadRollout    Kind = "badRollout"    // an operator rolls a bad version forward; once in a long schedule
)

// Action is one entry of a schedule.
type Action struct {
	At     time.Duration // since the start of the load
	Kind   Kind
	Target string        // name of a node, engine or failure domain; empty for the store
	For    time.Duration // zero for what happens at once
}

// String returns the action in one line.
func (a Action) String() string {
	return fmt.Sprintf("%6.2fs %s %s %s", a.At.Seconds(), a.Kind, a.Target, a.For)
}

// end returns when the action is over.
func (a Action) end() time.Duration { return a.At + a.For }

const (
	calmStart    = 4 * time.Second // before the first fault
	calmEnd      = 8 * time.Second // after the last one
	meanSpacing  = 1500 * time.Millisecond
	recoveryTime = 4 * time.Second // after a node's trouble, before it counts as well again
	drainTime    = 15 * time.Second
)

// plan describes what a schedule may act on.
type plan struct {
	nodes, engines, domains []string
	duration                time.Duration
	lease                   time.Duration
}

// weights of the kinds.
var weights = []struct {
	kind   Kind
	weight int
}{
	{KillNode, 4}, {PauseNode, 3}, {DrainNode, 3}, {CutCallers, 3}, {StallCallers, 2}, {CutStore, 2},
	{StallEngine, 3}, {CutEngine, 3}, {KillEngine, 3}, {ColdEngine, 2}, {LeaveEngine, 2}, {StoreOutage, 2}, {StoreSlow, 2},
	{LoseAnswers, 3}, {LoseBookings, 2}, {DomainOut, 2}, {OperatorsRace, 2},
}

// draw returns the schedule of a seed. At most a third of the nodes are in trouble at a time, one failure
// domain is out at a time, and everything is over calmEnd before the end.
func (p plan) draw(seed uint64) []Action {
	const stream = 7
	rng := rand.New(rand.NewPCG(seed, stream))
	var actions []Action
	if p.duration >= calmStart+rolloutTime+calmEnd {
		actions = append(actions, Action{At: calmStart, Kind: BadRollout, For: rolloutTime})
	}
	for at := calmStart; ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanSpacing))
		if at > p.duration-calmEnd {
			return actions
		}
		if a, ok := p.drawOne(rng, at, actions); ok {
			actions = append(actions, a)
		}
	}
}

// Draws one action, or none when what was drawn would break a bound.
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
	if a.end() > p.duration-calmEnd+recoveryTime {
		return a, false
	}
	return a, p.fits(a, before)
}

// Tells whether a keeps the bounds beside the actions drawn before.
func (p plan) fits(a Action, before []Action) bool {
	troubled := 0
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
			troubled++
		}
	}
	return !slices.Contains(p.nodes, a.Target) || troubled < len(p.nodes)/3
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

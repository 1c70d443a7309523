package soak

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/operator"
	"ebonyferry/internal/fake/link"
	fakeplatform "ebonyferry/internal/fake/platform"
	fakeservice "ebonyferry/internal/fake/service"
)

// This file defines how actions are carried out.

const (
	maxDrain         = 40 * time.Second // a drain that takes longer is stuck
	slowStore        = 400 * time.Millisecond
	lostAnswers      = 3
	loseBookingEvery = 3
	operatorTimeout  = 4 * time.Second
)

// Carries out one action and returns when it is over. What it changed is put back also when ctx ends.
func (s *soak) act(ctx context.Context, a Action) error {
	end := s.journal.begin(a.Kind, a.Target)
	defer end()
	switch a.Kind {
	case KillNode, PauseNode, DrainNode, CutCallers, StallCallers, CutStore:
		return s.actOnNode(ctx, a, s.node(a.Target))
	case StallEngine, CutEngine, KillEngine, ColdEngine, LeaveEngine:
		return s.actOnEngine(ctx, a, s.world.engine(a.Target))
	case StoreOutage:
		s.world.store.SetOutage(fakeplatform.OutageSilent)
		pause.For(ctx, a.For)
		s.world.store.SetOutage(fakeplatform.OutageNone)
	case StoreSlow:
		s.world.store.SetDelay(slowStore)
		pause.For(ctx, a.For)
		s.world.store.SetDelay(0)
	case LoseAnswers:
		s.world.store.LoseAnswers(kvstore.KindCAS, lostAnswers)
	case LoseBookings:
		s.world.service.SetFaults(fakeservice.Faults{LoseEvery: loseBookingEvery})
		pause.For(ctx, a.For)
		s.world.service.SetFaults(fakeservice.Faults{})
	case DomainOut:
		s.takeOut(ctx, a)
	case OperatorsRace:
		s.race(ctx)
	case BadRollout:
		s.rollOutBad(ctx)
	}
	return nil
}

func (s *soak) actOnNode(ctx context.Context, a Action, n *nodeUnit) error {
	switch a.Kind {
	case KillNode:
		n.kill()
		pause.For(ctx, a.For)
		return s.startAgain(ctx, n)
	case PauseNode:
		n.signal(syscall.SIGSTOP)
		pause.For(ctx, a.For)
		n.signal(syscall.SIGCONT)
	case DrainNode:
		if !n.drain(maxDrain) {
			s.stuckDrain(n)
			n.kill()
		}
		return s.startAgain(ctx, n)
	case CutCallers:
		n.callers.Cut()
	case StallCallers:
		n.callers.Set(link.Faults{Stall: link.Both})
		pause.For(ctx, a.For)
		n.callers.Set(link.Faults{})
	case CutStore:
		n.store.Set(link.Faults{Stall: link.Both})
		pause.For(ctx, a.For)
		n.store.Set(link.Faults{})
	}
	return nil
}

// Starts a node's next process, unless the soak is over.
func (s *soak) startAgain(ctx context.Context, n *nodeUnit) error {
	if ctx.Err() != nil {
		return nil
	}
	if err := n.start(); err != nil {
		return err
	}
	return n.ready(ctx)
}

func (s *soak) actOnEngine(ctx context.Context, a Action, u *engineUnit) error {
	switch a.Kind {
	case StallEngine:
		u.link.Set(link.Faults{Stall: link.ToCaller})
		pause.For(ctx, a.For)
		u.link.Set(link.Faults{})
	case CutEngine:
		u.link.Cut()
	case KillEngine:
		u.engine.Kill()
		u.link.Cut()
		pause.For(ctx, a.For)
		if ctx.Err() == nil {
			return u.engine.Restart()
		}
	case ColdEngine:
		u.engine.TurnCold()
	case LeaveEngine:
		u.engine.SetLeaving(true)
		pause.For(ctx, a.For)
		u.engine.SetLeaving(false)
	}
	return nil
}

// Takes a failure domain out and puts it back. The time in which it is out is a span of its own, from the
// moment that the change was confirmed until its reversal was asked for.
func (s *soak) takeOut(ctx context.Context, a Action) {
	mark := bundle.Mark{Kind: bundle.MarkDomain, Name: a.Target}
	if !s.mark(ctx, operatorNames[0], mark, true) {
		return
	}
	end := s.journal.begin(spanOut, a.Target)
	pause.For(ctx, a.For)
	end()
	for ctx.Err() == nil && !s.mark(ctx, operatorNames[0], mark, false) {
		pause.For(ctx, time.Second)
	}
}

// Lets two operators change different marks at the same moment, and then put them back.
func (s *soak) race(ctx context.Context) {
	for _, out := range []bool{true, false} {
		var wg sync.WaitGroup
		for i, name := range operatorNames {
			target := s.world.engines[i].id
			wg.Go(func() {
				for range 5 {
					if s.mark(ctx, name, bundle.Mark{Kind: bundle.MarkServer, Name: target}, out) || out || !pause.For(ctx, time.Second) {
						return
					}
				}
			})
		}
		wg.Wait()
	}
}

// Asks for a mark and reports whether it was confirmed.
func (s *soak) mark(ctx context.Context, name string, mark bundle.Mark, out bool) bool {
	msg := &operator.MarkChange{Mark: mark, Out: out}
	what := fmt.Sprintf("%s: %s %s out=%t", name, mark.Kind, mark.Name, out)
	changed, err := operator.PostChange[operator.ChangeResult](ctx, s.operator(name), "/changes/mark", msg)
	if err != nil {
		s.journal.note(what + ": " + err.Error())
		return false
	}
	s.journal.accept(what, changed.Head.Revision)
	return true
}

// operator returns a client for the named operator that tries all nodes.
func (s *soak) operator(name string) *operator.Client {
	var addrs []netip.AddrPort
	for _, n := range s.nodes {
		addrs = append(addrs, n.operators)
	}
	return operator.NewClient(addrs, name, s.world.operators[name], operator.WithTimeout(operatorTimeout))
}

func (s *soak) node(name string) *nodeUnit {
	i := slices.IndexFunc(s.nodes, func(n *nodeUnit) bool { return n.name == name })
	return s.nodes[i]
}

// This file carries out the actions of a schedule.

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

const (
	maxDrain         = 40 * time.Second // a drain that takes longer counts as stuck
	slowStore        = 400 * time.Millisecond
	copyGap          = 250 * time.Millisecond // between two copies of the store
	restoredAge      = 4 * time.Second        // of the copy, before the outage
	lostStoreAnswers = 3
	loseBookingEvery = 3
	operatorTimeout  = 4 * time.Second
)

// act carries out one action and returns when it is over. It reverts faults even if ctx ends.
func (s *soak) act(ctx context.Context, a Action) error {
	end := s.journal.beginSpan(a.Kind, a.Target)
	defer end()
	switch a.Kind {
	case KillNode, PauseNode, DrainNode, CutCallers, StallCallers, CutStore:
		return s.actOnNode(ctx, a, s.node(a.Target))
	case StallEngine, CutEngine, KillEngine, ColdEngine, LeaveEngine:
		return s.actOnEngine(ctx, a, s.env.engine(a.Target))
	case StoreOutage:
		s.env.store.SetOutage(fakeplatform.OutageSilent)
		pause.For(ctx, a.For)
		s.env.store.SetOutage(fakeplatform.OutageNone)
	case StoreRestored:
		s.env.store.SetOutage(fakeplatform.OutageSilent)
		pause.For(ctx, a.For)
		s.env.store.Restore(a.For + restoredAge)
	case StoreSlow:
		s.env.store.SetDelay(slowStore)
		pause.For(ctx, a.For)
		s.env.store.SetDelay(0)
	case LoseAnswers:
		s.env.store.LoseAnswers(kvstore.KindCAS, lostStoreAnswers)
	case LoseBookings:
		s.env.service.SetFaults(fakeservice.Faults{LoseEvery: loseBookingEvery})
		pause.For(ctx, a.For)
		s.env.service.SetFaults(fakeservice.Faults{})
	case DomainOut:
		s.takeDomainOut(ctx, a)
	case OperatorsRace:
		s.raceOperators(ctx)
	case BadRollout:
		s.rollOutBadVersion(ctx)
	}
	return nil
}

func (s *soak) actOnNode(ctx context.Context, a Action, n *nodeProcess) error {
	switch a.Kind {
	case KillNode:
		n.kill()
		pause.For(ctx, a.For)
		return s.restart(ctx, n)
	case PauseNode:
		n.signal(syscall.SIGSTOP)
		pause.For(ctx, a.For)
		n.signal(syscall.SIGCONT)
	case DrainNode:
		if !n.drain(maxDrain) {
			s.addStuckDrain(n)
			n.kill()
		}
		return s.restart(ctx, n)
	case CutCallers:
		n.callerLink.Cut()
	case StallCallers:
		n.callerLink.Set(link.Faults{Stall: link.Both})
		pause.For(ctx, a.For)
		n.callerLink.Set(link.Faults{})
	case CutStore:
		n.storeLink.Set(link.Faults{Stall: link.Both})
		pause.For(ctx, a.For)
		n.storeLink.Set(link.Faults{})
	}
	return nil
}

// restart starts a node's next process and waits until it is ready, unless ctx has ended.
func (s *soak) restart(ctx context.Context, n *nodeProcess) error {
	if ctx.Err() != nil {
		return nil
	}
	if err := n.start(); err != nil {
		return err
	}
	return n.ready(ctx)
}

func (s *soak) actOnEngine(ctx context.Context, a Action, e *linkedEngine) error {
	switch a.Kind {
	case StallEngine:
		e.link.Set(link.Faults{Stall: link.ToCaller})
		pause.For(ctx, a.For)
		e.link.Set(link.Faults{})
	case CutEngine:
		e.link.Cut()
	case KillEngine:
		e.engine.Kill()
		e.link.Cut()
		pause.For(ctx, a.For)
		if ctx.Err() == nil {
			return e.engine.Restart()
		}
	case ColdEngine:
		e.engine.TurnCold()
	case LeaveEngine:
		e.engine.SetLeaving(true)
		pause.For(ctx, a.For)
		e.engine.SetLeaving(false)
	}
	return nil
}

// takeDomainOut takes a failure domain out of service and puts it back. The journal has a separate span for the
// time out of service: from the confirmation of the change until the request to revert it.
func (s *soak) takeDomainOut(ctx context.Context, a Action) {
	mark := bundle.Mark{Kind: bundle.MarkDomain, Name: a.Target}
	if !s.changeMark(ctx, operatorNames[0], mark, true) {
		return
	}
	end := s.journal.beginSpan(spanDomainOut, a.Target)
	pause.For(ctx, a.For)
	end()
	for ctx.Err() == nil && !s.changeMark(ctx, operatorNames[0], mark, false) {
		pause.For(ctx, time.Second)
	}
}

// raceOperators lets two operators change different service marks at the same time, and then revert them.
func (s *soak) raceOperators(ctx context.Context) {
	for _, out := range []bool{true, false} {
		var wg sync.WaitGroup
		for i, name := range operatorNames {
			target := s.env.engines[i].id
			wg.Go(func() {
				for range 5 {
					if s.changeMark(ctx, name, bundle.Mark{Kind: bundle.MarkServer, Name: target}, out) || out || !pause.For(ctx, time.Second) {
						return
					}
				}
			})
		}
		wg.Wait()
	}
}

// changeMark requests a change of a service mark and reports whether a node confirmed it.
func (s *soak) changeMark(ctx context.Context, operatorName string, mark bundle.Mark, out bool) bool {
	msg := &operator.MarkChange{Mark: mark, Out: out}
	what := fmt.Sprintf("%s: %s %s out=%t", operatorName, mark.Kind, mark.Name, out)
	changed, err := operator.PostChange[operator.ChangeResult](ctx, s.operator(operatorName), "/changes/mark", msg)
	if err != nil {
		s.journal.addNote(what + ": " + err.Error())
		return false
	}
	s.journal.addChange(what, changed.Head.Revision)
	return true
}

// operator returns a client of the named operator that can use all nodes.
func (s *soak) operator(name string) *operator.Client {
	var addrs []netip.AddrPort
	for _, n := range s.nodes {
		addrs = append(addrs, n.operatorAddr)
	}
	return operator.NewClient(addrs, name, s.env.operators[name], operator.WithTimeout(operatorTimeout))
}

func (s *soak) node(name string) *nodeProcess {
	i := slices.IndexFunc(s.nodes, func(n *nodeProcess) bool { return n.name == name })
	return s.nodes[i]
}

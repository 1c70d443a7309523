// This file defines heartbeats. Each node probes its successors on the hash ring of its failure domain. Before it
// marks one as unreachable, it asks other nodes to probe it too, as in SWIM (Das, Gupta and Motivala, DSN 2002).
// One bad link therefore does not make a node count as unreachable.

package fleet

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/node"
)

const (
	pathProbe   = "/fleet/probe"
	pathVerify  = "/fleet/verify"
	pathSuspect = "/fleet/suspect"
)

type probeRequest struct{}

type verifyRequest struct {
	Subject membership.Incarnation `json:"subject"`
	Addr    netip.AddrPort         `json:"addr"`
}

type verifyAnswer struct {
	Reached bool `json:"reached"`
}

type suspectRequest struct {
	Subject membership.Incarnation `json:"subject"`
}

type suspectAnswer struct{}

func (f *Fleet) handleProbe(context.Context, node.Sender, probeRequest) (membership.Incarnation, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Incarnation(), nil
}

func (f *Fleet) handleVerify(ctx context.Context, _ node.Sender, req verifyRequest) (verifyAnswer, error) {
	return verifyAnswer{Reached: f.probe(ctx, req.Subject, req.Addr)}, nil
}

// handleSuspect passes a node that the sender suspects to the heartbeat loop, which investigates it. It drops the
// message if maxSuspects nodes wait. This is safe, because the sender's own mark remains and this node's own probes
// detect a failed node as well.
func (f *Fleet) handleSuspect(_ context.Context, _ node.Sender, req suspectRequest) (suspectAnswer, error) {
	select {
	case f.suspects <- req.Subject:
	default:
	}
	return suspectAnswer{}, nil
}

// probe reports whether the node answers at addr. Any epoch counts, since a node that has registered again is alive.
// An answer with another name does not count: another node has taken over the address.
func (f *Fleet) probe(ctx context.Context, inc membership.Incarnation, addr netip.AddrPort) bool {
	answer, err := node.Call[probeRequest, membership.Incarnation](ctx, f.probeClient, addr, pathProbe, probeRequest{})
	return err == nil && answer.Name == inc.Name
}

// heartbeat periodically probes the node's targets and the nodes that it marked as unreachable.
func (f *Fleet) heartbeat(ctx context.Context) error {
	ticker := time.NewTicker(f.timing.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case inc := <-f.suspects:
			f.checkSuspect(ctx, inc)
			continue
		case <-ticker.C:
		}
		targets, unreachable := f.probeTargets()
		for _, n := range targets {
			go f.check(ctx, n)
		}
		for _, n := range unreachable {
			go f.recheck(ctx, n)
		}
	}
}

// checkSuspect investigates a node that another node suspects, if that incarnation is live in this node's view.
func (f *Fleet) checkSuspect(ctx context.Context, inc membership.Incarnation) {
	n, ok := f.View().Node(inc.Name)
	if ok && n.Epoch == inc.Epoch {
		go f.investigate(ctx, n, false)
	}
}

// probeTargets returns the live nodes to probe, and the nodes that this node marked as unreachable.
func (f *Fleet) probeTargets() (targets, unreachable []membership.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, inc := range f.state.FoundUnreachable() {
		if n, ok := f.state.Member(inc.Name); ok {
			unreachable = append(unreachable, n)
		}
	}
	return membership.ProbeTargets(f.view.Load().Nodes, f.self), unreachable
}

// check probes a live node and investigates it if it does not answer. The investigation probes it a second time.
func (f *Fleet) check(ctx context.Context, n membership.Node) {
	inc := membership.Incarnation{Name: n.Name, Epoch: n.Epoch}
	if f.probe(ctx, inc, n.Addr) || ctx.Err() != nil {
		return
	}
	f.investigate(ctx, n, true)
}

// recheck probes a node that is marked as unreachable, and clears the mark if it answers.
func (f *Fleet) recheck(ctx context.Context, n membership.Node) {
	inc := membership.Incarnation{Name: n.Name, Epoch: n.Epoch}
	if f.probe(ctx, inc, n.Addr) {
		f.recordFinding(inc, false)
	}
}

// investigate probes a node, has others probe it, and marks it as unreachable if none reaches it. With notify it then
// sends the suspicion to other nodes, which investigate for themselves.
func (f *Fleet) investigate(ctx context.Context, n membership.Node, notify bool) {
	inc := membership.Incarnation{Name: n.Name, Epoch: n.Epoch}
	if !f.beginInvestigation(inc) {
		return
	}
	defer f.endInvestigation(inc)
	if f.reachable(ctx, n) || ctx.Err() != nil {
		return
	}
	targets := f.notifyTargets(n)
	f.recordFinding(inc, true)
	if !notify {
		return
	}
	for _, r := range targets {
		go node.Call[suspectRequest, suspectAnswer](ctx, f.probeClient, r.Addr, pathSuspect, suspectRequest{Subject: inc})
	}
}

// notifyTargets returns the nodes to notify that n is unreachable: the relays of the failure domain, which inform
// their followers. If n is itself a relay, it returns the whole failure domain, since the followers of n are waiting
// for an answer of n.
func (f *Fleet) notifyTargets(n membership.Node) []membership.Node {
	targets, _ := f.Relays()
	isSubject := func(r membership.Node) bool { return r.Name == n.Name }
	if slices.ContainsFunc(targets, isSubject) {
		targets = slices.DeleteFunc(slices.Clone(f.View().Nodes), func(r membership.Node) bool {
			return r.FailureDomain != f.self.FailureDomain
		})
	}
	return slices.DeleteFunc(targets, func(r membership.Node) bool { return isSubject(r) || r.Name == f.self.Name })
}

// reachable reports whether this node or any confirmer reaches a node. All probe concurrently.
func (f *Fleet) reachable(ctx context.Context, n membership.Node) bool {
	inc := membership.Incarnation{Name: n.Name, Epoch: n.Epoch}
	confirmers := membership.Confirmers(f.View().Nodes, f.self, n.Name)
	results := make(chan bool, len(confirmers)+1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { results <- f.probe(ctx, inc, n.Addr) })
	verify := f.client.Derive(node.WithTimeout(2 * f.timing.ProbeTimeout))
	for _, v := range confirmers {
		group.Go(func() {
			req := verifyRequest{Subject: inc, Addr: n.Addr}
			answer, err := node.Call[verifyRequest, verifyAnswer](ctx, verify, v.Addr, pathVerify, req)
			results <- err == nil && answer.Reached
		})
	}
	go func() {
		group.Wait()
		close(results)
	}()
	for reached := range results {
		if reached {
			return true
		}
	}
	return false
}

// recordFinding records whether this node found another one unreachable, publishes the view and wakes the
// followers.
func (f *Fleet) recordFinding(inc membership.Incarnation, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.SetFoundUnreachable(inc, unreachable)
	f.version++
	f.wakeFollowers()
	f.publish(time.Now())
}

// beginInvestigation reserves the investigation of an incarnation, and reports whether no other one is running.
func (f *Fleet) beginInvestigation(inc membership.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.investigating[inc] {
		return false
	}
	f.investigating[inc] = true
	return true
}

func (f *Fleet) endInvestigation(inc membership.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.investigating, inc)
}

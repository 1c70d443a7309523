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

// This file defines heartbeats. Each node probes the next nodes on the ring of its failure domain. Before it
// counts one as unreachable it asks others to probe it too, after SWIM (Das, Gupta and Motivala, DSN 2002),
// so that one bad link does not condemn a node.

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

// Takes another node's suspicion, which the heartbeat loop looks into. Suspicions beyond what it can hold are
// dropped; their finder stands by its own mark and this node's probes find the rest.
func (f *Fleet) handleSuspect(_ context.Context, _ node.Sender, req suspectRequest) (suspectAnswer, error) {
	select {
	case f.suspects <- req.Subject:
	default:
	}
	return suspectAnswer{}, nil
}

// Reports whether a node answers at addr. A node that has registered anew is alive too; one of another name
// has taken over the address.
func (f *Fleet) probe(ctx context.Context, life membership.Incarnation, addr netip.AddrPort) bool {
	answer, err := node.Call[probeRequest, membership.Incarnation](ctx, f.probes, addr, pathProbe, probeRequest{})
	return err == nil && answer.Name == life.Name
}

// Probes the targets in every period, and those that were found unreachable.
func (f *Fleet) heartbeat(ctx context.Context) error {
	ticker := time.NewTicker(f.timing.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case life := <-f.suspects:
			f.suspect(ctx, life)
			continue
		case <-ticker.C:
		}
		targets, marked := f.targets()
		for _, n := range targets {
			go f.check(ctx, n)
		}
		for _, n := range marked {
			go f.recheck(ctx, n)
		}
	}
}

// Looks into another node's suspicion unless this node knows better already.
func (f *Fleet) suspect(ctx context.Context, life membership.Incarnation) {
	n, ok := f.View().Node(life.Name)
	if ok && n.Epoch == life.Epoch {
		go f.investigate(ctx, n, false)
	}
}

// Returns the live nodes to probe, and the nodes that this node marked as unreachable.
func (f *Fleet) targets() (targets, marked []membership.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, life := range f.state.FoundUnreachable() {
		if n, ok := f.state.Member(life.Name); ok {
			marked = append(marked, n)
		}
	}
	return membership.ProbeTargets(f.view.Load().Nodes, f.self), marked
}

// Probes a live node twice before it is looked into further.
func (f *Fleet) check(ctx context.Context, n membership.Node) {
	life := membership.Incarnation{Name: n.Name, Epoch: n.Epoch}
	if f.probe(ctx, life, n.Addr) || ctx.Err() != nil {
		return
	}
	f.investigate(ctx, n, true)
}

// Clears the mark of a node that answers again.
func (f *Fleet) recheck(ctx context.Context, n membership.Node) {
	life := membership.Incarnation{Name: n.Name, Epoch: n.Epoch}
	if f.probe(ctx, life, n.Addr) {
		f.mark(life, false)
	}
}

// Probes a node, has others probe it, and marks it when none reaches it. A first finder tells others, which
// look for themselves.
func (f *Fleet) investigate(ctx context.Context, n membership.Node, tell bool) {
	life := membership.Incarnation{Name: n.Name, Epoch: n.Epoch}
	if !f.begin(life) {
		return
	}
	defer f.end(life)
	if f.reached(ctx, n) || ctx.Err() != nil {
		return
	}
	audience := f.audience(n)
	f.mark(life, true)
	if !tell {
		return
	}
	for _, r := range audience {
		go node.Call[suspectRequest, suspectAnswer](ctx, f.probes, r.Addr, pathSuspect, suspectRequest{Subject: life})
	}
}

// Returns the nodes to tell that one is unreachable: the relays of the failure domain, which tell their
// followers; or, of a relay, the whole failure domain, since its followers wait for its answer.
func (f *Fleet) audience(n membership.Node) []membership.Node {
	audience, _ := f.Relays()
	isSubject := func(r membership.Node) bool { return r.Name == n.Name }
	if slices.ContainsFunc(audience, isSubject) {
		audience = slices.DeleteFunc(slices.Clone(f.View().Nodes), func(r membership.Node) bool {
			return r.FailureDomain != f.self.FailureDomain
		})
	}
	return slices.DeleteFunc(audience, func(r membership.Node) bool { return isSubject(r) || r.Name == f.self.Name })
}

// Reports whether this node or any voucher reaches a node. All probe at once.
func (f *Fleet) reached(ctx context.Context, n membership.Node) bool {
	life := membership.Incarnation{Name: n.Name, Epoch: n.Epoch}
	vouchers := membership.Confirmers(f.View().Nodes, f.self, n.Name)
	verdicts := make(chan bool, len(vouchers)+1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { verdicts <- f.probe(ctx, life, n.Addr) })
	verify := f.client.Derive(node.WithTimeout(2 * f.timing.ProbeTimeout))
	for _, v := range vouchers {
		group.Go(func() {
			req := verifyRequest{Subject: life, Addr: n.Addr}
			answer, err := node.Call[verifyRequest, verifyAnswer](ctx, verify, v.Addr, pathVerify, req)
			verdicts <- err == nil && answer.Reached
		})
	}
	go func() {
		group.Wait()
		close(verdicts)
	}()
	for reached := range verdicts {
		if reached {
			return true
		}
	}
	return false
}

// Notes a finding, publishes it and wakes the followers.
func (f *Fleet) mark(life membership.Incarnation, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.SetFoundUnreachable(life, unreachable)
	f.version++
	f.wake()
	f.publish(time.Now())
}

// Reserves the investigation of a life, of which one runs at a time.
func (f *Fleet) begin(life membership.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checking[life] {
		return false
	}
	f.checking[life] = true
	return true
}

func (f *Fleet) end(life membership.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.checking, life)
}

// This file defines how nodes find out that requests with a certain prefix crash the servers which begin to answer them.
//
// Crash notices carry the requests whose answers had just begun. When crashes have a prefix in common, the node that observed
// the latest one and the owner of these verdicts ask every node whether it has seen an answer with that prefix since, and
// otherwise quarantine the prefix. The verdict goes to the other nodes and the store as those on single requests do.

package dispatch

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/ownership"
	"ebonyferry/internal/core/quarantine"
	"ebonyferry/internal/edge/node"
)

const (
	pathPassed = "/dispatch/passed"
	// passedTimeout bounds a question to one node. A node that does not answer has no answers that could be known.
	passedTimeout = 300 * time.Millisecond
	// partOwner names the owner of verdicts on prefixes.
	partOwner = "prefixes"
)

// passedRequest asks for the last answers to requests with parts since a time.
type passedRequest struct {
	Parts []partAge `json:"parts"`
}

// partAge is a part and the time since an event that concerns it. Ages do not depend on the clocks of the nodes.
type partAge struct {
	Part  uint64 `json:"part"`
	AgeMs int64  `json:"ageMs"`
}

type passedAnswer struct {
	Passed []partAge `json:"passed,omitempty"`
}

func (d *Dispatcher) handlePassed(_ context.Context, _ node.Sender, msg passedRequest) (passedAnswer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	queries := make([]quarantine.Query, 0, len(msg.Parts))
	for _, p := range msg.Parts {
		queries = append(queries, quarantine.Query{Part: p.Part, Since: now.Add(-time.Duration(p.AgeMs) * time.Millisecond)})
	}
	var answer passedAnswer
	for _, p := range d.scheduler.PartPasses(queries, now) {
		answer.Passed = append(answer.Passed, partAge{p.Part, now.Sub(p.At).Milliseconds()})
	}
	return answer, nil
}

// judgeParts judges prefixes after crashes until ctx ends.
func (b *broadcaster) judgeParts(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.crashed:
			b.judge(ctx)
		}
	}
}

// noteCrash makes judgeParts judge.
func (b *broadcaster) noteCrash() {
	select {
	case b.crashed <- struct{}{}:
	default:
	}
}

// ownsParts reports whether this node judges prefixes after crashes that others observed.
func (b *broadcaster) ownsParts() bool {
	if b.view == nil {
		return false
	}
	var names []string
	for _, n := range b.view().Nodes {
		names = append(names, n.Name)
	}
	return ownership.OwnerAmong(names, ownership.KindSuspects, partOwner) == b.d.node
}

// judge asks all nodes about the prefixes that could be quarantined, and quarantines those that no answer speaks for.
func (b *broadcaster) judge(ctx context.Context) {
	b.d.mu.Lock()
	queries := b.d.scheduler.PartQueries(time.Now())
	b.d.mu.Unlock()
	if len(queries) == 0 {
		return
	}
	b.askPassed(ctx, queries)
	b.d.mu.Lock()
	now := time.Now()
	verdicts := b.d.scheduler.JudgeParts(queries, now)
	b.d.poll(now)
	b.d.mu.Unlock()
	if len(verdicts) == 0 {
		return
	}
	b.logVerdicts(verdicts)
	b.enqueue(notice{Verdicts: verdicts})
}

// askPassed asks all other nodes for answers to requests with the parts queried, and records them.
func (b *broadcaster) askPassed(ctx context.Context, queries []quarantine.Query) {
	now := time.Now()
	var msg passedRequest
	for _, q := range queries {
		msg.Parts = append(msg.Parts, partAge{q.Part, now.Sub(q.Since).Milliseconds()})
	}
	client := b.client.Derive(node.WithTimeout(passedTimeout))
	var mu sync.Mutex
	var passes []quarantine.Pass
	var g errgroup.Group
	g.SetLimit(noticeConcurrency)
	for _, other := range b.view().Nodes {
		if other.Name == b.d.node {
			continue
		}
		g.Go(func() error {
			answer, err := node.Call[passedRequest, passedAnswer](ctx, client, other.Addr, pathPassed, msg)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			now := time.Now()
			for _, p := range answer.Passed {
				passes = append(passes, quarantine.Pass{Part: p.Part, At: now.Add(-time.Duration(p.AgeMs) * time.Millisecond)})
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		event.Log(b.d.log, event.PassesUnknown, event.Fields{"parts": len(queries), "error": err.Error()})
	}
	b.d.mu.Lock()
	defer b.d.mu.Unlock()
	for _, p := range passes {
		b.d.scheduler.RecordPartPass(p)
	}
}

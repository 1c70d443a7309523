// This file defines how a gateway takes over the data of a store that came back from an earlier copy. Operators and servers write
// again what they had written since the copy. Until then, the copy must not undo what this node has acted on: an evacuation that the
// copy lacks, a rollout that it lacks or has with an earlier order, and a server that had left. These facts are postponed, and
// dropped when their key is written again. The older of two configs is never applied, and states of rollouts do not change once
// they are final.

package serve

import (
	"context"
	"time"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/run/mirror"
)

const (
	// restoreGrace is how long after a restore writers may take to write again.
	restoreGrace = 5 * time.Second
	// postponedPeriod is how often postponed facts are looked for.
	postponedPeriod = 100 * time.Millisecond
)

// postponedFact is a fact of a restored copy that is applied if its key is not written until it is due.
type postponedFact struct {
	fact Fact
	due  time.Time
}

// postpone keeps a fact of a restored copy for later and reports whether it did. A later change of the key drops it.
func (g *Gateway) postpone(b mirror.Batch, key string, f Fact, now time.Time) bool {
	undoes := b.Restored && g.undoes(f)
	g.postponedMu.Lock()
	defer g.postponedMu.Unlock()
	if !undoes {
		delete(g.postponed, key)
		return false
	}
	if g.postponed == nil {
		g.postponed = make(map[string]postponedFact)
	}
	g.postponed[key] = postponedFact{fact: f, due: now.Add(restoreGrace)}
	return true
}

// undoes reports whether a fact of a restored copy would undo what this node has acted on.
func (g *Gateway) undoes(f Fact) bool {
	switch f := f.(type) {
	case EvacuationFact:
		return !f.On
	case RolloutFact:
		return true // no change if the order is the present one
	case ServerFact:
		return g.rt.HasLeft(f.Server)
	}
	return false
}

// applyPostponed applies the postponed facts that are due, until ctx ends.
func (g *Gateway) applyPostponed(ctx context.Context) error {
	for pause.For(ctx, postponedPeriod) {
		g.applyDue(time.Now())
	}
	return nil
}

func (g *Gateway) applyDue(now time.Time) {
	var due []Fact
	g.postponedMu.Lock()
	for key, p := range g.postponed {
		if !now.Before(p.due) {
			due = append(due, p.fact)
			delete(g.postponed, key)
		}
	}
	g.postponedMu.Unlock()
	if len(due) > 0 {
		g.applyFacts(due, mirror.Batch{}, now)
	}
}

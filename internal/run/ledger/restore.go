// This file defines how records that a restored store lacks are written again by the nodes that hold them.
//
// The head states the era in which its records are complete. In a later era, each node that holds the partition in memory adds
// the records that the store lacks. The owner, which holds all records that it wrote, then states the new era. Another node
// gives those that hold records restoreGrace first, and refuses calls without a record meanwhile.

package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"ebonyferry/internal/core/ledger"
	"ebonyferry/internal/edge/kvstore"
)

// restoreGrace is how long a node that holds no records of a partition waits for those that do after a restore. These learn of it
// by the renewal of their leases, within 6 s, and by the next housekeeping.
const restoreGrace = 8 * time.Second

// complete reports whether the state is loaded and has all records that a node could write again after the store was restored.
// The caller holds mu.
func (p *partition) complete() bool {
	era := uint32(p.m.store.Era())
	return p.state != nil && p.era == era && p.state.Head().Era >= era
}

func (p *partition) isComplete() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.complete()
}

// lacksEra reports whether the state is loaded and incomplete since the store was restored.
func (p *partition) lacksEra() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state != nil && !p.complete()
}

// restore writes the records again that the node holds and the store lacks, and makes the result the state. The caller holds
// headLock. Until then the state is that of before the restore, so that its calls are replayed.
func (p *partition) restore(ctx context.Context, head ledger.Head, rev kvstore.Revision, era uint32) error {
	p.mu.Lock()
	held, heldEra := p.state, p.era
	p.mu.Unlock()
	state, err := p.loadRestored(ctx, head, held)
	if err != nil {
		return err
	}
	for {
		var lost []ledger.Record
		if held != nil && heldEra < era {
			lost = state.Lost(held, time.Now().UTC())
		}
		if len(lost) == 0 && (state.Head().Era >= era || !p.mayComplete(held != nil && heldEra < era, era)) {
			break
		}
		plan := state.PrepareRestore(p.m.newHead(), lost, p.reachedEra(state, held != nil && heldEra < era, era))
		if rev, err = p.swapHead(ctx, rev, plan.Head); err != nil {
			return err
		}
		state.Commit(plan, time.Now().UTC())
		if len(plan.Accepted) < len(lost) {
			if rev, err = p.sealRestored(ctx, state, rev); err != nil {
				return err
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.install(state, rev, era)
	return nil
}

// reachedEra returns the era in which the head's records are complete once the node has added those that it holds.
func (p *partition) reachedEra(state *ledger.Partition, heldBefore bool, era uint32) uint32 {
	if p.mayComplete(heldBefore, era) {
		return era
	}
	return state.Head().Era
}

// mayComplete reports whether this node may state that the records are complete in an era: it owns the partition and held it
// before the restore, or restoreGrace has passed.
func (p *partition) mayComplete(heldBefore bool, era uint32) bool {
	if heldBefore && p.m.owns(p.number) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unsureEra != era || p.unsureSince.IsZero() {
		p.unsureEra, p.unsureSince = era, time.Now()
	}
	return time.Since(p.unsureSince) >= restoreGrace
}

// loadRestored returns the state of a head. Segments that the store lost are written again if the held state has them.
func (p *partition) loadRestored(ctx context.Context, head ledger.Head, held *ledger.Partition) (*ledger.Partition, error) {
	state := ledger.NewPartition(p.number, p.m.limits)
	segments := make(map[string]ledger.Segment)
	for _, key := range state.MissingSegments(head) {
		segment, err := p.readSegment(ctx, key)
		if errors.Is(err, kvstore.ErrNotFound) && held != nil {
			if kept, ok := held.Segment(key); ok {
				segment, err = kept, p.create(ctx, key, ledger.Encode(kept), 0)
			}
		}
		if err != nil {
			return nil, err
		}
		segments[key] = segment
	}
	state.Replace(head, segments)
	return state, nil
}

// sealRestored seals the head of a state that is being restored, to make room for further records.
func (p *partition) sealRestored(ctx context.Context, state *ledger.Partition, rev kvstore.Revision) (kvstore.Revision, error) {
	m, due := state.NextMaintenance(uuid.NewString(), time.Now().UTC())
	if !due {
		return rev, nil
	}
	if err := p.create(ctx, m.Key, ledger.Encode(m.Segment), 0); err != nil {
		return rev, err
	}
	plan := state.PrepareMaintenance(m, p.m.newHead())
	next, err := p.swapHead(ctx, rev, plan.Head)
	if err != nil {
		return rev, err
	}
	state.CommitMaintenance(m, plan)
	return next, nil
}

// This file defines the writer of a partition, which writes the queued records in one swap of the head.

package ledger

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/ledger"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/kvstore"
)

// shutdownTimeout bounds the time in which a stopping node writes its outcomes.
const shutdownTimeout = 2 * time.Second

// runWriter writes queued records until ctx ends, and then shuts the partition down.
func (p *partition) runWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			p.shutDown(context.WithoutCancel(ctx))
			return
		case <-p.wakeups:
		}
		if !pause.For(ctx, p.m.intentLinger) {
			continue
		}
		started := time.Now()
		if err := p.writeQueue(ctx); err != nil {
			event.Log(p.m.log, event.LedgerNotWritten, event.Fields{"partition": p.number, "error": err.Error()})
		}
		if p.hasQueued() { // another node wrote the head first, or one write could not hold all records
			p.wakeWriter()
		}
		pause.For(ctx, time.Until(started.Add(p.m.commitInterval)))
	}
}

// shutDown refuses the calls whose intents are queued and writes the outcomes of finished calls, for at most
// shutdownTimeout.
func (p *partition) shutDown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	for {
		p.refuseQueued(caller.ReasonNotReady, "the node is stopping")
		if !p.hasUnwrittenOutcomes() {
			return
		}
		_ = p.writeQueue(ctx) // retried until the timeout
		if !pause.For(ctx, p.m.outcomeLinger) {
			return
		}
	}
}

// hasUnwrittenOutcomes reports whether records are queued, or finished runs have yet to queue their outcomes.
func (p *partition) hasUnwrittenOutcomes() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runs {
		select {
		case <-r.done:
			return true
		default:
		}
	}
	return len(p.queue) > 0
}

// writeQueue writes the queued records. Records that it did not write stay in the queue, except the intents of
// calls that it refused.
func (p *partition) writeQueue(ctx context.Context) error {
	if err := p.lockHead(ctx); err != nil {
		return err
	}
	defer p.unlockHead()
	if !p.isComplete() {
		if err := p.readHead(ctx); err != nil {
			p.refuseQueuedOnError(err)
			return p.errorIfQueued(err)
		}
	}
	if !p.isComplete() { // the nodes that hold lost records have time to write them
		p.refuseQueued(caller.ReasonStoreDown, "the store was restored, and records may be missing")
		return nil
	}
	plan, rev := p.prepare()
	if len(plan.Accepted) == 0 {
		return p.maintainIfQueued(ctx)
	}
	if err := p.commit(ctx, rev, plan); err != nil {
		if errors.Is(err, errHeadConflict) {
			return p.readHead(ctx)
		}
		p.refuseQueuedOnError(err)
		return err
	}
	return p.maintain(ctx)
}

// errorIfQueued returns err if records are queued. Without any, there is nothing to retry.
func (p *partition) errorIfQueued(err error) error {
	if !p.hasQueued() {
		return nil
	}
	return err
}

// maintainIfQueued maintains the partition if records are queued. They did not fit into the head, which sealing
// makes smaller.
func (p *partition) maintainIfQueued(ctx context.Context) error {
	if !p.hasQueued() {
		return nil
	}
	return p.maintain(ctx)
}

// hasQueued reports whether records are queued.
func (p *partition) hasQueued() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > 0
}

// prepare returns the plan that writes the queue, without the intents of withdrawn runs, and the revision of the
// head that it replaces.
func (p *partition) prepare() (ledger.Plan, kvstore.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settleQueue()
	return p.state.Prepare(p.m.newHead(), p.queue, time.Now().UTC()), p.rev
}

// newHead returns an empty head that identifies its writer and this write.
func (m *Manager) newHead() ledger.Head {
	view := m.views.View()
	self, _ := view.Node(view.Self)
	return ledger.Head{Node: view.Self, Epoch: self.Epoch, Nonce: uuid.NewString()}
}

// commit replaces the head by that of the plan, makes the plan the committed state, and deletes the segments that
// are no longer needed.
func (p *partition) commit(ctx context.Context, rev kvstore.Revision, plan ledger.Plan) error {
	rev, err := p.swapHead(ctx, rev, plan.Head)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.state.Commit(plan, time.Now().UTC())
	p.rev, p.syncedAt = rev, time.Now()
	p.settleQueue()
	p.mu.Unlock()
	p.deleteSegments(ctx, plan.Dropped)
	p.deleteKeys(ctx, p.orphanedSegments...)
	p.orphanedSegments = nil
	return nil
}

func (p *partition) deleteSegments(ctx context.Context, dropped []ledger.SegmentRef) {
	for _, s := range dropped {
		p.deleteKeys(ctx, s.Key)
	}
}

// maintain seals the head or merges segments if that is due.
func (p *partition) maintain(ctx context.Context) error {
	p.mu.Lock()
	m, due := p.state.NextMaintenance(uuid.NewString(), time.Now().UTC())
	rev := p.rev
	p.mu.Unlock()
	if !due {
		return nil
	}
	if err := p.create(ctx, m.Key, ledger.Encode(m.Segment), 0); err != nil {
		return err
	}
	plan := p.state.PrepareMaintenance(m, p.m.newHead()) // only the holder of headLock changes the state
	rev, err := p.swapHead(ctx, rev, plan.Head)
	if errors.Is(err, errHeadConflict) {
		return p.reloadAfterConflict(ctx, m)
	}
	if err != nil {
		if ctx.Err() == nil { // otherwise the head may still be written
			p.orphanedSegments = append(p.orphanedSegments, m.Key)
		}
		return err
	}
	p.mu.Lock()
	p.state.CommitMaintenance(m, plan)
	p.rev = rev
	p.mu.Unlock()
	p.deleteSegments(ctx, plan.Dropped)
	return nil
}

// reloadAfterConflict reads the head that another process wrote, and deletes the segment of m unless that head
// refers to it. The head refers to it if the maintenance took effect, its answer was lost, and the other process
// then built on it.
func (p *partition) reloadAfterConflict(ctx context.Context, m ledger.Maintenance) error {
	if err := p.readHead(ctx); err != nil {
		return err
	}
	referenced := slices.ContainsFunc(p.state.Head().Sealed, func(s ledger.SegmentRef) bool { return s.Key == m.Key })
	if !referenced {
		p.deleteKeys(ctx, m.Key)
	}
	return nil
}

// refuseQueuedOnError refuses the calls whose intents could not be written, none of which was sent. If the store
// only limited the request rate, they stay queued.
func (p *partition) refuseQueuedOnError(err error) {
	if errors.Is(err, kvstore.ErrRateLimited) {
		return
	}
	p.refuseQueued(caller.ReasonStoreDown, "the ledger cannot be written: "+err.Error())
}

// refuseQueued refuses all calls whose intents are queued. The caller ensures that no write of the queue is in
// progress.
func (p *partition) refuseQueued(reason, message string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var rest []ledger.Record
	for _, record := range p.queue {
		if record.State != ledger.StateIntent {
			rest = append(rest, record)
			continue
		}
		delete(p.withdrawn, record.RunID)
		p.refuseIntent(record, retryableRefusal(reason, message))
	}
	p.queue = rest
}

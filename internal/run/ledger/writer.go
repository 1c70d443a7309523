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

// This file defines the writer of a partition, which writes what is queued in one swap of the head.

// endTimeout bounds the time in which an ending node writes its outcomes.
const endTimeout = 2 * time.Second

// Writes queued records until ctx ends.
func (p *partition) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			p.end(context.WithoutCancel(ctx))
			return
		case <-p.kick:
		}
		if !pause.For(ctx, p.m.linger) {
			continue
		}
		started := time.Now()
		if err := p.writeQueue(ctx); err != nil {
			event.Log(p.m.log, event.LedgerNotWritten, event.Fields{"partition": p.number, "error": err.Error()})
		}
		if p.waiting() { // another node wrote first, or more was queued than one write holds
			p.wake()
		}
		pause.For(ctx, time.Until(started.Add(p.m.commitInterval)))
	}
}

// Refuses queued calls and writes the outcomes of those that have ended, for as long as endTimeout.
func (p *partition) end(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	for {
		p.refuseQueued(caller.ReasonNotReady, "the node is stopping")
		if !p.owing() {
			return
		}
		_ = p.writeQueue(ctx) // tried again until the time is over
		if !pause.For(ctx, p.m.outcomeLinger) {
			return
		}
	}
}

// Reports whether outcomes wait to be written, those of ended runs that are not queued yet included.
func (p *partition) owing() bool {
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

// Writes what is queued. After an error the queue holds what is still to be written.
func (p *partition) writeQueue(ctx context.Context) error {
	if err := p.lock(ctx); err != nil {
		return err
	}
	defer p.unlock()
	if !p.loadedSince(time.Time{}) {
		if err := p.read(ctx); err != nil {
			p.refuseUnwritten(err)
			return p.onlyIfQueued(err)
		}
	}
	plan, rev := p.prepare()
	if len(plan.Accepted) == 0 {
		return p.maintainIfQueued(ctx)
	}
	if err := p.commit(ctx, rev, plan); err != nil {
		if errors.Is(err, errLost) {
			return p.read(ctx)
		}
		p.refuseUnwritten(err)
		return err
	}
	return p.maintain(ctx)
}

// Returns err if records wait to be written: without any there is nothing to try again.
func (p *partition) onlyIfQueued(err error) error {
	if !p.waiting() {
		return nil
	}
	return err
}

// Seals the head if records wait to be written that it has no room for.
func (p *partition) maintainIfQueued(ctx context.Context) error {
	if !p.waiting() {
		return nil
	}
	return p.maintain(ctx)
}

// Reports whether records wait to be written.
func (p *partition) waiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > 0
}

// Returns the head that writes the queue, less the intents that were withdrawn meanwhile.
func (p *partition) prepare() (ledger.Plan, kvstore.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settle()
	return p.state.Prepare(p.m.head(), p.queue, time.Now().UTC()), p.rev
}

// Returns an empty head with what identifies this write.
func (m *Manager) head() ledger.Head {
	view := m.views.View()
	self, _ := view.Node(view.Self)
	return ledger.Head{Node: view.Self, Epoch: self.Epoch, Nonce: uuid.NewString()}
}

// Swaps the head for that of the plan and makes it the state.
func (p *partition) commit(ctx context.Context, rev kvstore.Revision, plan ledger.Plan) error {
	rev, err := p.swap(ctx, rev, plan.Head)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.state.Commit(plan, time.Now().UTC())
	p.rev, p.loaded = rev, time.Now()
	p.settle()
	p.mu.Unlock()
	p.removeSealed(ctx, plan.Dropped)
	p.remove(ctx, p.unnamed...)
	p.unnamed = nil
	return nil
}

func (p *partition) removeSealed(ctx context.Context, dropped []ledger.SegmentRef) {
	for _, s := range dropped {
		p.remove(ctx, s.Key)
	}
}

// Seals the head or merges segments when that is due.
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
	plan := p.state.PrepareMaintenance(m, p.m.head()) // only the holder of io changes the state
	rev, err := p.swap(ctx, rev, plan.Head)
	if errors.Is(err, errLost) {
		return p.overtaken(ctx, m)
	}
	if err != nil {
		if ctx.Err() == nil { // else the head may yet be written
			p.unnamed = append(p.unnamed, m.Key)
		}
		return err
	}
	p.mu.Lock()
	p.state.CommitMaintenance(m, plan)
	p.rev = rev
	p.mu.Unlock()
	p.removeSealed(ctx, plan.Dropped)
	return nil
}

// Reads the head that another process wrote, and deletes the written segment unless that head names it: the
// other process may have gone on from a maintenance that took effect while its answer was lost.
func (p *partition) overtaken(ctx context.Context, m ledger.Maintenance) error {
	if err := p.read(ctx); err != nil {
		return err
	}
	named := slices.ContainsFunc(p.state.Head().Sealed, func(s ledger.SegmentRef) bool { return s.Key == m.Key })
	if !named {
		p.remove(ctx, m.Key)
	}
	return nil
}

// Refuses the calls whose intents were surely not written, unless the store only asked for patience.
func (p *partition) refuseUnwritten(err error) {
	if errors.Is(err, kvstore.ErrRateLimited) {
		return
	}
	p.refuseQueued(caller.ReasonStoreDown, "the ledger cannot be written: "+err.Error())
}

// Refuses all calls whose intents are queued. No write of the queue may be under way.
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
		p.refuseIntent(record, busy(reason, message))
	}
	p.queue = rest
}

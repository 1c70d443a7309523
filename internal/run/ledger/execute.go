package ledger

import (
	"context"
	"errors"
	"slices"
	"time"

	"ebonyferry/internal/core/ledger"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/service"
)

// This file defines how a run goes from its intent to its outcome.

// maxServersTried bounds the servers that one run tries to reach.
const maxServersTried = 3

// Takes a run from its intent to its outcome. Steps: the intent stands in the store, the lease surely holds,
// the call is sent, the outcome is queued for the store.
func (p *partition) execute(ctx context.Context, r *run) {
	ctx, cancel := context.WithDeadline(ctx, r.call.Deadline)
	defer cancel()
	if err := p.awaitIntent(ctx, r); err != nil {
		r.finish(caller.ServiceAnswer{}, err)
		return
	}
	if !p.m.views.View().HoldsLease(time.Now()) {
		p.giveUp(r, busy(caller.ReasonNotReady, "the node's lease is not sure"))
		return
	}
	answer, err := p.send(ctx, r)
	switch {
	case err == nil:
		r.finish(answer, nil)
		outcome := r.intent
		outcome.State = ledger.StateDone
		outcome.Answer = p.keep(context.WithoutCancel(ctx), r.intent.RunID, answer)
		p.enqueue(outcome)
	case errors.Is(err, service.ErrNotSent):
		p.giveUp(r, busy(caller.ReasonNoServer, err.Error()))
	default:
		p.drop(r)
		r.finish(caller.ServiceAnswer{}, errors.Join(caller.ErrOutcomeUnknown, err))
	}
}

func (r *run) finish(answer caller.ServiceAnswer, err error) {
	r.answer, r.err = answer, err
	close(r.done)
}

// Ends a run of which surely nothing was sent, though its intent stands in the store.
func (p *partition) giveUp(r *run, refusal *caller.Refusal) {
	r.finish(caller.ServiceAnswer{}, refusal)
	outcome := r.intent
	outcome.State = ledger.StateNotRun
	p.enqueue(outcome)
}

// Forgets a run whose outcome is unknown. Its intent stays in the store.
func (p *partition) drop(r *run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs[r.intent.ID] == r {
		delete(p.runs, r.intent.ID)
	}
}

// Waits until the intent stands in the store. After an error the run is never sent.
func (p *partition) awaitIntent(ctx context.Context, r *run) error {
	timer := time.NewTimer(p.m.commitTimeout)
	defer timer.Stop()
	select {
	case err := <-r.began:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.committed {
		return <-r.began // it was sent in the same critical section
	}
	select {
	case err := <-r.began:
		return err
	default:
	}
	p.withdrawn[r.intent.RunID] = true
	delete(p.runs, r.intent.ID)
	return busy(caller.ReasonStoreDown, "the ledger was not written in time")
}

// Sends the call to the first server that can be reached. Its error wraps service.ErrNotSent only when no
// server got a byte.
func (p *partition) send(ctx context.Context, r *run) (caller.ServiceAnswer, error) {
	servers := p.m.servers(r.call.Service)
	servers = servers[:min(len(servers), maxServersTried)]
	err := error(service.ErrNotSent)
	for _, s := range servers {
		if ctx.Err() != nil {
			break
		}
		var answer service.Answer
		answer, err = p.m.services.Call(ctx, s.Addr, service.Call{
			Method:         r.call.Method,
			Path:           r.call.Path,
			ContentType:    r.call.ContentType,
			Body:           r.call.Body,
			IdempotencyKey: string(r.intent.ID),
		})
		if err == nil {
			return fromService(answer), nil
		}
		if !errors.Is(err, service.ErrNotSent) {
			break
		}
	}
	return caller.ServiceAnswer{}, err
}

// Takes note of what the state says of the queued records, and drops those that are settled. The caller
// holds mu.
func (p *partition) settle() {
	var rest []ledger.Record
	for _, record := range p.queue {
		if record.State == ledger.StateIntent {
			rest = append(rest, p.settleIntent(record)...)
			continue
		}
		rest = append(rest, p.settleOutcome(record, rest)...)
	}
	p.queue = rest
}

// Returns what is still to be written of a queued intent.
func (p *partition) settleIntent(record ledger.Record) []ledger.Record {
	r := p.runs[record.ID]
	if r != nil && r.intent.RunID != record.RunID {
		r = nil
	}
	newest, known := p.state.Find(record.ID)
	switch {
	case known && newest.RunID == record.RunID && p.withdrawn[record.RunID]:
		record.State = ledger.StateNotRun
		return []ledger.Record{record}
	case known && newest.RunID == record.RunID:
		if r != nil {
			r.committed = true
			r.began <- nil
		}
		return nil
	case p.withdrawn[record.RunID]:
		delete(p.withdrawn, record.RunID)
		return nil
	case known && newest.State != ledger.StateNotRun && !p.withdrawn[newest.RunID]:
		p.refuseIntent(record, errTaken)
		return nil
	default:
		return []ledger.Record{record}
	}
}

// Returns what is still to be written of a queued outcome. Earlier holds the records queued before it.
func (p *partition) settleOutcome(record ledger.Record, earlier []ledger.Record) []ledger.Record {
	newest, known := p.state.Find(record.ID)
	if known && newest.RunID == record.RunID && newest.State == ledger.StateIntent {
		return []ledger.Record{record}
	}
	if slices.ContainsFunc(earlier, func(e ledger.Record) bool { return e.RunID == record.RunID }) {
		return []ledger.Record{record}
	}
	delete(p.withdrawn, record.RunID)
	if r := p.runs[record.ID]; r != nil && r.intent.RunID == record.RunID {
		delete(p.runs, record.ID)
	}
	return nil
}

// Tells a run that its intent will not be written. The caller holds mu.
func (p *partition) refuseIntent(record ledger.Record, err error) {
	r := p.runs[record.ID]
	if r == nil || r.intent.RunID != record.RunID {
		return
	}
	r.began <- err
	delete(p.runs, record.ID)
}

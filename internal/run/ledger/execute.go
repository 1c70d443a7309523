// This file defines how a run gets from its intent to its outcome.

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

// maxServersTried bounds the servers that one run tries to call.
const maxServersTried = 3

// execute takes a run from its intent to its outcome. It waits until the intent is in the store, checks that the
// node certainly holds its lease, sends the call, and queues the outcome.
func (p *partition) execute(ctx context.Context, r *run) {
	ctx, cancel := context.WithDeadline(ctx, r.call.Deadline)
	defer cancel()
	if err := p.awaitIntent(ctx, r); err != nil {
		r.finish(caller.ServiceAnswer{}, err)
		return
	}
	if !p.m.views.View().HoldsLease(time.Now()) {
		p.abandon(r, retryableRefusal(caller.ReasonNotReady, "the node's lease is not sure"))
		return
	}
	answer, err := p.send(ctx, r)
	switch {
	case err == nil:
		r.finish(answer, nil)
		outcome := r.intent
		outcome.State = ledger.StateDone
		outcome.Answer = p.storedAnswer(context.WithoutCancel(ctx), r.intent.RunID, answer)
		p.queueOutcome(outcome)
	case errors.Is(err, service.ErrNotSent):
		p.abandon(r, retryableRefusal(caller.ReasonNoServer, err.Error()))
	default:
		p.removeRun(r)
		r.finish(caller.ServiceAnswer{}, errors.Join(caller.ErrOutcomeUnknown, err))
	}
}

// finish sets the result of the run.
func (r *run) finish(answer caller.ServiceAnswer, err error) {
	r.answer, r.err = answer, err
	close(r.done)
}

// abandon ends a run of which nothing was sent although its intent is in the store.
func (p *partition) abandon(r *run, refusal *caller.Refusal) {
	r.finish(caller.ServiceAnswer{}, refusal)
	outcome := r.intent
	outcome.State = ledger.StateNotRun
	p.queueOutcome(outcome)
}

// removeRun removes a run whose outcome is unknown. Its intent stays in the store.
func (p *partition) removeRun(r *run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs[r.intent.ID] == r {
		delete(p.runs, r.intent.ID)
	}
}

// awaitIntent waits until the intent is in the store. If it returns an error, the call of this run is never sent.
func (p *partition) awaitIntent(ctx context.Context, r *run) error {
	timer := time.NewTimer(p.m.commitTimeout)
	defer timer.Stop()
	select {
	case err := <-r.intentResult:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.intentCommitted {
		return <-r.intentResult // settleIntent sent it in the same critical section
	}
	select {
	case err := <-r.intentResult:
		return err
	default:
	}
	p.withdrawn[r.intent.RunID] = true
	delete(p.runs, r.intent.ID)
	return retryableRefusal(caller.ReasonStoreDown, "the ledger was not written in time")
}

// send sends the call to the first reachable server. Its error wraps service.ErrNotSent only if no byte was sent to
// any server.
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

// settleQueue compares the queued records with the state, notifies runs of what became of their intents, and
// removes the records that are settled. The caller holds mu.
func (p *partition) settleQueue() {
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

// settleIntent returns the record that is still to be written for a queued intent, if any: the intent, or the
// state notRun for a withdrawn run whose intent is in the store.
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
			r.intentCommitted = true
			r.intentResult <- nil
		}
		return nil
	case p.withdrawn[record.RunID]:
		delete(p.withdrawn, record.RunID)
		return nil
	case known && newest.State != ledger.StateNotRun && !p.withdrawn[newest.RunID]:
		p.refuseIntent(record, errOtherRun)
		return nil
	default:
		return []ledger.Record{record}
	}
}

// settleOutcome returns a queued outcome if it is still to be written: its intent is the newest record of the call,
// or is among the earlier records in the queue.
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

// refuseIntent removes the run of an intent that will not be written, and reports err to it. The caller holds mu.
func (p *partition) refuseIntent(record ledger.Record, err error) {
	r := p.runs[record.ID]
	if r == nil || r.intent.RunID != record.RunID {
		return
	}
	r.intentResult <- err
	delete(p.runs, record.ID)
}

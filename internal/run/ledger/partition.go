package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"ebonyferry/internal/core/ledger"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/kvstore"
)

// This file defines one partition at one node: the calls under way, and what is known of earlier ones.

// maxQueued bounds the records of one partition that wait to be written.
const maxQueued = 4096

// errTaken means that another process has written a record of the same call first.
var errTaken = errors.New("another run of the call is recorded")

// errWithdrawn means that another process has withdrawn the run that was recorded.
var errWithdrawn = errors.New("the recorded run of the call was withdrawn")

// run is one attempt to run a call. It is sent only if committed became true while withdrawn was false.
type run struct {
	call      caller.ServiceCall
	intent    ledger.Record
	committed bool       // the intent stands in the store; guarded by partition.mu
	began     chan error // receives once: nil when the intent stands in the store, else why it does not

	done   chan struct{} // closed after answer and err are set
	answer caller.ServiceAnswer
	err    error
}

// partition is one partition at one node.
type partition struct {
	m      *Manager
	number int
	kick   chan struct{} // wakes the writer
	io     chan struct{} // holds one token while the head is read or written

	// Segments that were written and whose head surely was not; guarded by io.
	unnamed []string

	mu        sync.Mutex
	runs      map[ledger.ID]*run // until the outcome stands in the store or the run is given up; guarded by mu
	withdrawn map[string]bool    // runs refused before their intent was known to stand, by nonce; guarded by mu
	queue     []ledger.Record    // to be written, in order; a record leaves when it is settled; guarded by mu
	state     *ledger.Partition  // nil until loaded; guarded by mu
	rev       kvstore.Revision   // of the head that state holds; guarded by mu
	loaded    time.Time          // when the head was last read or written; guarded by mu
}

func newPartition(m *Manager, number int) *partition {
	return &partition{
		m:         m,
		number:    number,
		kick:      make(chan struct{}, 1),
		io:        make(chan struct{}, 1),
		runs:      make(map[ledger.ID]*run),
		withdrawn: make(map[string]bool),
	}
}

// Wakes the writer.
func (p *partition) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// Has the writer load the state if it is not loaded.
func (p *partition) preload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		p.wake()
	}
}

// Drops the state when nothing is under way, the reading and writing of the head included.
func (p *partition) unloadIdle() {
	select {
	case p.io <- struct{}{}:
		defer p.unlock()
	default:
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.runs) == 0 && len(p.queue) == 0 && time.Since(p.loaded) > housekeepingInterval {
		p.state = nil
	}
}

// found is what begin found or started. Either run or record is set.
type found struct {
	run    *run
	joined bool // the run was under way before
	record ledger.Record
}

// Runs a call once, or returns what is known of an earlier run.
func (p *partition) callOnce(ctx context.Context, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	id := ledger.NewID(call.Account, call.Service, call.IdempotencyKey)
	request := ledger.RequestDigest(call.Method, call.Path, call.ContentType, call.Body)
	if err := p.load(ctx); err != nil {
		return caller.ServiceAnswer{}, busy(caller.ReasonStoreDown, "the ledger cannot be read: "+err.Error())
	}
	answer, err := p.runOrReplay(ctx, id, request, call)
	if errors.Is(err, errWithdrawn) {
		answer, err = p.runOrReplay(ctx, id, request, call)
	}
	if errors.Is(err, errWithdrawn) {
		return caller.ServiceAnswer{}, busy(caller.ReasonOverloaded, "an earlier attempt was withdrawn just now")
	}
	return answer, err
}

// Runs a call once, or returns what is known of an earlier run. The error errWithdrawn means that the call may
// begin again.
func (p *partition) runOrReplay(ctx context.Context, id ledger.ID, request string, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	f, err := p.begin(ctx, id, request, call)
	if err != nil {
		return caller.ServiceAnswer{}, err
	}
	if f.run == nil {
		return p.known(ctx, f.record, request, call)
	}
	if f.run.intent.RequestDigest != request {
		return caller.ServiceAnswer{}, keyReused()
	}
	answer, err := f.run.wait(ctx)
	if errors.Is(err, errTaken) {
		record, _ := p.find(id)
		return p.known(ctx, record, request, call)
	}
	answer.Replayed = f.joined && err == nil
	return answer, err
}

func keyReused() error {
	return refusal(caller.ReasonKeyReused, "the idempotency key was used for another request")
}

// Returns the run of a call that is under way, the record of an earlier run, or else starts a run.
func (p *partition) begin(ctx context.Context, id ledger.ID, request string, call caller.ServiceCall) (found, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.runs[id]; r != nil {
		return found{run: r, joined: true}, nil
	}
	if p.state == nil {
		return found{}, busy(caller.ReasonStoreDown, "the ledger is not loaded")
	}
	record, known := p.state.Find(id)
	if known && record.State != ledger.StateNotRun && !p.withdrawn[record.RunID] {
		return found{record: record}, nil
	}
	if len(p.m.servers(call.Service)) == 0 {
		return found{}, busy(caller.ReasonNoServer, "no server of the service is in service")
	}
	if len(p.queue) >= maxQueued {
		return found{}, busy(caller.ReasonOverloaded, "too many calls wait for the ledger")
	}
	r := &run{
		call:  call,
		began: make(chan error, 1),
		done:  make(chan struct{}),
		intent: ledger.Record{
			ID: id, RequestDigest: request, State: ledger.StateIntent, RunID: uuid.NewString(), IntentAt: time.Now().UTC(),
		},
	}
	p.runs[id] = r
	p.queue = append(p.queue, r.intent)
	p.wake()
	go p.execute(context.WithoutCancel(ctx), r) // ends by the call's deadline
	return found{run: r}, nil
}

func (p *partition) find(id ledger.ID) (ledger.Record, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		return ledger.Record{}, false
	}
	return p.state.Find(id)
}

// Waits for the end of a run.
func (r *run) wait(ctx context.Context) (caller.ServiceAnswer, error) {
	select {
	case <-r.done:
		return r.answer, r.err
	case <-ctx.Done():
		return caller.ServiceAnswer{}, ctx.Err()
	}
}

// Returns the answer of an earlier run that no process at this node has under way.
func (p *partition) known(ctx context.Context, record ledger.Record, request string, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	if record.State == ledger.StateIntent && record.RequestDigest == request {
		if err := p.refresh(ctx); err == nil {
			record, _ = p.find(record.ID)
		}
	}
	if record.ID == "" { // forgotten after its retention, or the state was dropped: the call may have run
		return caller.ServiceAnswer{}, caller.ErrOutcomeUnknown
	}
	if record.State == ledger.StateNotRun { // withdrawn by another node
		return caller.ServiceAnswer{}, errWithdrawn
	}
	if record.RequestDigest != request { // the record may be another one than before
		return caller.ServiceAnswer{}, keyReused()
	}
	if record.State == ledger.StateIntent {
		record = p.ask(ctx, record, call)
	}
	if record.State == ledger.StateDone {
		return p.replay(ctx, *record.Answer)
	}
	return caller.ServiceAnswer{}, caller.ErrOutcomeUnknown
}

// Returns a kept answer.
func (p *partition) replay(ctx context.Context, kept ledger.Answer) (caller.ServiceAnswer, error) {
	answer := caller.ServiceAnswer{
		Status: kept.Status, ContentType: kept.ContentType, Body: kept.Body, Replayed: true,
	}
	if kept.BodyKey == "" {
		return answer, nil
	}
	entry, err := p.m.store.Get(ctx, kept.BodyKey)
	if err != nil {
		return caller.ServiceAnswer{}, errors.Join(caller.ErrOutcomeUnknown, errBodyLost, err)
	}
	answer.Body = entry.Value
	return answer, nil
}

// errBodyLost explains ErrOutcomeUnknown for a call that ran.
var errBodyLost = errors.New("the call ran, and its answer cannot be read from the store")

// Asks the servers of the call's service until its deadline for the outcome of a run, and returns the record
// with it if one knows it. The key that servers know is the record's ID. The answer is kept also when the
// caller has left, since its record is written once.
func (p *partition) ask(ctx context.Context, record ledger.Record, call caller.ServiceCall) ledger.Record {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	for _, s := range p.m.servers(call.Service) {
		answer, err := p.m.services.Ask(ctx, s.Addr, string(record.ID))
		if err != nil {
			continue
		}
		record.State = ledger.StateDone
		record.Answer = p.keep(context.WithoutCancel(ctx), record.RunID, fromService(answer))
		p.enqueue(record)
		break
	}
	return record
}

// Queues an outcome to be written soon.
func (p *partition) enqueue(record ledger.Record) {
	p.mu.Lock()
	p.queue = append(p.queue, record)
	p.mu.Unlock()
	time.AfterFunc(p.m.outcomeLinger, p.wake)
}

// This file defines the state of one partition at one node: its runs, and the records of earlier ones.

package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"ebonyferry/internal/base/bounded"
	"ebonyferry/internal/core/ledger"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/kvstore"
)

// maxQueued bounds the queued records of one partition.
const maxQueued = 4096

// errOtherRun means that another process has recorded a run of the same call first.
var errOtherRun = errors.New("another run of the call is recorded")

// errWithdrawn means that another process has withdrawn the recorded run, so the call may be started again.
var errWithdrawn = errors.New("the recorded run of the call was withdrawn")

// run is one attempt to run a call. The call is sent only if intentCommitted became true before the run was
// withdrawn.
type run struct {
	call            caller.ServiceCall
	intent          ledger.Record
	intentCommitted bool       // the intent is in the store; guarded by partition.mu
	intentResult    chan error // receives one value: nil once the intent is in the store, or why it will not be

	done   chan struct{} // closed after answer and err are set
	answer caller.ServiceAnswer
	err    error
}

// partition is the state of one partition at one node.
type partition struct {
	m        *Manager
	number   int
	wakeups  chan struct{} // wakes the writer
	headLock chan struct{} // contains a token while the head is being read or written

	// Keys of segments that were written although their head certainly was not; guarded by headLock.
	orphanedSegments []string

	mu        sync.Mutex
	runs      map[ledger.ID]*run // until the outcome is in the store, or unknown, or the intent is refused; guarded by mu
	withdrawn map[string]bool    // IDs of runs refused while their intent may yet be written; guarded by mu
	queue     []ledger.Record    // records to write, in order, until they are settled; guarded by mu
	state     *ledger.Partition  // nil until loaded; guarded by mu
	rev       kvstore.Revision   // revision of the head in state; guarded by mu
	syncedAt  time.Time          // when the head was last read, or records were written to it; guarded by mu
	era       uint32             // of the store when state was loaded or its lost records were written again; guarded by mu
	// unsureSince is when the node first read a head whose records may be incomplete in the store's era, unsureEra; guarded by mu.
	unsureSince time.Time
	unsureEra   uint32
}

func newPartition(m *Manager, number int) *partition {
	return &partition{
		m:         m,
		number:    number,
		wakeups:   make(chan struct{}, 1),
		headLock:  make(chan struct{}, 1),
		runs:      make(map[ledger.ID]*run),
		withdrawn: make(map[string]bool),
	}
}

// wakeWriter makes runWriter write the queue.
func (p *partition) wakeWriter() {
	select {
	case p.wakeups <- struct{}{}:
	default:
	}
}

// preload makes the writer load the state if it is not loaded.
func (p *partition) preload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		p.wakeWriter()
	}
}

// idleRetention is how long a node keeps a partition in memory that it does not own and does not use. If the store loses the
// records that it wrote and another node owns the partition meanwhile, it still has them when it learns of the restore.
const idleRetention = restoreGrace + 2*time.Second

// unloadIdle drops the state unless the partition has runs or queued records, or its head is being read or
// written.
func (p *partition) unloadIdle() {
	select {
	case p.headLock <- struct{}{}:
		defer p.unlockHead()
	default:
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.runs) == 0 && len(p.queue) == 0 && time.Since(p.syncedAt) > idleRetention {
		p.state = nil
	}
}

// beginResult is what begin found or started. Either run or record is set.
type beginResult struct {
	run    *run
	joined bool // the run had already started
	record ledger.Record
}

// callOnce runs a call, or returns the outcome of an earlier run. If an earlier run was withdrawn, it tries once
// more.
func (p *partition) callOnce(ctx context.Context, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	id := ledger.NewID(call.Account, call.Service, call.IdempotencyKey)
	request := ledger.RequestDigest(call.Method, call.Path, call.ContentType, call.Body)
	if err := p.load(ctx); err != nil {
		return caller.ServiceAnswer{}, retryableRefusal(caller.ReasonStoreDown, "the ledger cannot be read: "+err.Error())
	}
	answer, err := p.runOrReplay(ctx, id, request, call)
	if errors.Is(err, errWithdrawn) {
		answer, err = p.runOrReplay(ctx, id, request, call)
	}
	if errors.Is(err, errWithdrawn) {
		return caller.ServiceAnswer{}, retryableRefusal(caller.ReasonOverloaded, "an earlier attempt was withdrawn just now")
	}
	return answer, err
}

// runOrReplay runs a call, or returns the outcome of an earlier run. If that run was withdrawn, it returns
// errWithdrawn.
func (p *partition) runOrReplay(ctx context.Context, id ledger.ID, request string, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	begun, err := p.begin(ctx, id, request, call)
	if err != nil {
		return caller.ServiceAnswer{}, err
	}
	if begun.run == nil {
		return p.recordedOutcome(ctx, begun.record, request, call)
	}
	if begun.run.intent.RequestDigest != request {
		return caller.ServiceAnswer{}, keyReused()
	}
	answer, err := begun.run.wait(ctx)
	if errors.Is(err, errOtherRun) {
		record, _ := p.find(id)
		return p.recordedOutcome(ctx, record, request, call)
	}
	answer.Replayed = begun.joined && err == nil
	return answer, err
}

func keyReused() error {
	return notRunRefusal(caller.ReasonKeyReused, "the idempotency key was used for another request")
}

// begin returns the run of a call if it is in progress, or the record of an earlier run, or else starts a run.
func (p *partition) begin(ctx context.Context, id ledger.ID, request string, call caller.ServiceCall) (beginResult, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.runs[id]; r != nil {
		return beginResult{run: r, joined: true}, nil
	}
	if p.state == nil {
		return beginResult{}, retryableRefusal(caller.ReasonStoreDown, "the ledger is not loaded")
	}
	record, known := p.state.Find(id)
	if known && record.State != ledger.StateNotRun && !p.withdrawn[record.RunID] {
		return beginResult{record: record}, nil
	}
	if !p.complete() {
		p.wakeWriter()
		return beginResult{}, retryableRefusal(caller.ReasonStoreDown, "the store was restored, and the call's record may be missing")
	}
	if len(p.m.servers(call.Service)) == 0 {
		return beginResult{}, retryableRefusal(caller.ReasonNoServer, "no server of the service is in service")
	}
	if len(p.queue) >= maxQueued {
		return beginResult{}, retryableRefusal(caller.ReasonOverloaded, "too many calls wait for the ledger")
	}
	r := &run{
		call:         call,
		intentResult: make(chan error, 1),
		done:         make(chan struct{}),
		intent: ledger.Record{
			ID: id, RequestDigest: request, State: ledger.StateIntent, RunID: uuid.NewString(), IntentAt: time.Now().UTC(),
		},
	}
	p.runs[id] = r
	p.queue = append(p.queue, r.intent)
	p.wakeWriter()
	go p.execute(context.WithoutCancel(ctx), r) // ends by the call's deadline
	return beginResult{run: r}, nil
}

func (p *partition) find(id ledger.ID) (ledger.Record, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		return ledger.Record{}, false
	}
	return p.state.Find(id)
}

// wait returns the result of a run when it has finished.
func (r *run) wait(ctx context.Context) (caller.ServiceAnswer, error) {
	select {
	case <-r.done:
		return r.answer, r.err
	case <-ctx.Done():
		return caller.ServiceAnswer{}, ctx.Err()
	}
}

// recordedOutcome returns the outcome of an earlier run that is not in progress at this node. If the record is an
// intent, it reads the head again and then asks the servers.
func (p *partition) recordedOutcome(ctx context.Context, record ledger.Record, request string, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	if record.State == ledger.StateIntent && record.RequestDigest == request {
		if err := p.refresh(ctx); err == nil {
			record, _ = p.find(record.ID)
		}
	}
	if record.ID == "" { // the record is past its retention, or the state was unloaded: the call may have run
		return caller.ServiceAnswer{}, caller.ErrOutcomeUnknown
	}
	if record.State == ledger.StateNotRun { // withdrawn by another node
		return caller.ServiceAnswer{}, errWithdrawn
	}
	if record.RequestDigest != request { // the record may have been replaced since
		return caller.ServiceAnswer{}, keyReused()
	}
	if record.State == ledger.StateIntent {
		record = p.askServers(ctx, record, call)
	}
	if record.State == ledger.StateDone {
		return p.replay(ctx, *record.Answer)
	}
	return caller.ServiceAnswer{}, caller.ErrOutcomeUnknown
}

// replay returns a stored answer, whose body it reads from the store if necessary.
func (p *partition) replay(ctx context.Context, stored ledger.Answer) (caller.ServiceAnswer, error) {
	if err := checkStatus(stored.Status); err != nil {
		return caller.ServiceAnswer{}, err
	}
	answer := caller.ServiceAnswer{
		Status: stored.Status, ContentType: stored.ContentType, Body: stored.Body, Replayed: true,
	}
	if stored.BodyKey == "" {
		return answer, nil
	}
	entry, err := p.m.store.Get(ctx, stored.BodyKey)
	if err != nil {
		return caller.ServiceAnswer{}, errors.Join(caller.ErrOutcomeUnknown, errBodyLost, err)
	}
	answer.Body = entry.Value
	return answer, nil
}

// checkStatus returns an error that wraps caller.ErrOutcomeUnknown if a call ran with a status that no final answer has. Nodes of older builds
// store and forward such answers of services.
func checkStatus(status int) error {
	if bounded.IsFinal(status) {
		return nil
	}
	return fmt.Errorf("%w: %w: status %d", caller.ErrOutcomeUnknown, bounded.ErrStatus, status)
}

// errBodyLost accompanies ErrOutcomeUnknown when the call ran.
var errBodyLost = errors.New("the call ran, and its answer cannot be read from the store")

// askServers asks the servers of the call's service for the outcome of a run until the call's deadline. It returns
// the record, which includes the answer if a server has it. The idempotency key that servers see is the record's
// ID. The answer is stored even if the caller has left: the outcome is recorded only once, so a body that is not
// stored now would be lost.
func (p *partition) askServers(ctx context.Context, record ledger.Record, call caller.ServiceCall) ledger.Record {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	for _, s := range p.m.servers(call.Service) {
		answer, err := p.m.services.FetchOutcome(ctx, s.Addr, string(record.ID))
		if err != nil {
			continue
		}
		record.State = ledger.StateDone
		record.Answer = p.storedAnswer(context.WithoutCancel(ctx), record.RunID, fromService(answer))
		p.queueOutcome(record)
		break
	}
	return record
}

// queueOutcome queues an outcome and wakes the writer after outcomeLinger.
func (p *partition) queueOutcome(record ledger.Record) {
	p.mu.Lock()
	p.queue = append(p.queue, record)
	p.mu.Unlock()
	time.AfterFunc(p.m.outcomeLinger, p.wakeWriter)
}

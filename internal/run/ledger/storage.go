// This file defines how the head and the segments of a partition are read and written.

package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ebonyferry/internal/base/bug"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/ledger"
	"ebonyferry/internal/edge/kvstore"
)

const (
	maxHeadAge      = 200 * time.Millisecond // refresh does not read the head again within this time
	initialBackoff  = 20 * time.Millisecond
	maxBackoff      = time.Second
	maxReadAttempts = 5 // the head may be replaced while its segments are read
)

// errHeadConflict means that another process wrote the head first.
var errHeadConflict = errors.New("another node wrote the ledger's head")

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialBackoff, maxBackoff
	return b
}

// lockHead acquires headLock.
func (p *partition) lockHead(ctx context.Context) error {
	select {
	case p.headLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *partition) unlockHead() { <-p.headLock }

// load loads the state if it is not loaded.
func (p *partition) load(ctx context.Context) error {
	if p.isComplete() {
		return nil
	}
	return p.refreshSince(ctx, time.Time{})
}

// refresh reads the head unless it was read or written within maxHeadAge.
func (p *partition) refresh(ctx context.Context) error {
	return p.refreshSince(ctx, time.Now().Add(-maxHeadAge))
}

// refreshSince reads the head unless it was read or written since the given time.
func (p *partition) refreshSince(ctx context.Context, since time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, p.m.commitTimeout)
	defer cancel()
	if err := p.lockHead(ctx); err != nil {
		return err
	}
	defer p.unlockHead()
	if p.syncedSince(since) && (p.isComplete() || p.syncedSince(time.Now().Add(-maxHeadAge))) {
		return nil
	}
	return p.readHead(ctx)
}

// syncedSince reports whether the state is loaded and the head was read or written since the given time.
func (p *partition) syncedSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state != nil && !p.syncedAt.Before(since)
}

// readHead reads the head and the segments that the state lacks, and settles the queue. The caller holds
// headLock.
func (p *partition) readHead(ctx context.Context) error {
	var err error
	for range maxReadAttempts {
		var entry kvstore.Entry
		entry, err = p.m.store.Get(ctx, ledger.HeadKey(p.number))
		if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
			return err
		}
		err = p.installHead(ctx, entry)
		if !errors.Is(err, kvstore.ErrNotFound) && !errors.Is(err, errHeadConflict) {
			return err
		}
	}
	return fmt.Errorf("partition %d keeps changing: %w", p.number, err)
}

// installHead makes the head in entry the state. An empty entry means that the head does not exist.
func (p *partition) installHead(ctx context.Context, entry kvstore.Entry) error {
	var head ledger.Head
	if entry.Revision != 0 {
		var err error
		if head, err = ledger.DecodeHead(entry.Value); err != nil {
			return err
		}
	}
	era := uint32(p.m.store.Era())
	if p.lacksEra() || head.Era < era {
		return p.restore(ctx, head, entry.Revision, era)
	}
	state := p.currentState()
	segments := make(map[string]ledger.Segment)
	for _, key := range state.MissingSegments(head) {
		var err error
		if segments[key], err = p.readSegment(ctx, key); err != nil {
			return err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state.Replace(head, segments)
	p.install(state, entry.Revision, era)
	return nil
}

func (p *partition) readSegment(ctx context.Context, key string) (ledger.Segment, error) {
	got, err := p.m.store.Get(ctx, key)
	if err != nil {
		return ledger.Segment{}, err
	}
	return ledger.DecodeSegment(got.Value)
}

// install makes state the state as of a revision of the head, and settles the queue. The caller holds mu.
func (p *partition) install(state *ledger.Partition, rev kvstore.Revision, era uint32) {
	p.state, p.rev, p.era, p.syncedAt = state, rev, era, time.Now()
	p.settleQueue()
}

// currentState returns the state, or a new one if none is loaded.
func (p *partition) currentState() *ledger.Partition {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != nil {
		return p.state
	}
	return ledger.NewPartition(p.number, p.m.limits)
}

// swapHead replaces the head by next and returns the new revision. After an error other than errHeadConflict the
// head certainly was not written, unless ctx has ended.
//
// A write whose answer is lost may take effect at any later time. swapHead therefore repeats the write with the
// same bytes and the same expected revision until the store answers: no matter which of the writes takes effect,
// the head is the same. After a conflict, the nonce in the stored head shows whether one of them did.
func (p *partition) swapHead(ctx context.Context, rev kvstore.Revision, next ledger.Head) (kvstore.Revision, error) {
	key, data := ledger.HeadKey(p.number), ledger.Encode(next)
	wait := newBackOff()
	mayTakeEffect := false
	for {
		got, err := p.m.store.CompareAndSwap(ctx, key, rev, data, 0)
		switch {
		case err == nil:
			return got, nil
		case errors.Is(err, kvstore.ErrConflict):
			entry, err := p.m.store.Get(ctx, key)
			if err == nil {
				return p.resolveConflict(entry, rev, next.Nonce)
			}
			if errors.Is(err, kvstore.ErrNotFound) {
				return 0, errHeadConflict // heads are not deleted: the store came back from a copy without it
			}
		case errors.Is(err, kvstore.ErrTooLarge):
			bug.Reportf("ledger head is too large for the store: %d bytes, %d segments", len(data), len(next.Sealed))
			return 0, err
		case errors.Is(err, kvstore.ErrOutcomeUnknown):
			mayTakeEffect = true
		case !mayTakeEffect:
			return 0, err
		}
		if !pause.For(ctx, wait.NextBackOff()) {
			return 0, ctx.Err()
		}
	}
}

// resolveConflict returns the revision of the head in the store if its nonce is that of this node's write, else
// errHeadConflict. A write that took effect in a later era than that of the replaced revision counts as a conflict: the head
// may refer to segments that the store lost.
func (p *partition) resolveConflict(entry kvstore.Entry, replaced kvstore.Revision, nonce string) (kvstore.Revision, error) {
	head, err := ledger.DecodeHead(entry.Value)
	if err != nil {
		return 0, err
	}
	if head.Nonce == nonce && (replaced == 0 || entry.Revision.Era() == replaced.Era()) {
		return entry.Revision, nil
	}
	return 0, errHeadConflict
}

// create writes a value under a key that no other process writes. It retries until the value is written, the
// store rejects it, or ctx ends. A conflict means that an earlier attempt took effect.
func (p *partition) create(ctx context.Context, key string, data []byte, lease kvstore.LeaseID) error {
	wait := newBackOff()
	for {
		_, err := p.m.store.CompareAndSwap(ctx, key, 0, data, lease)
		if err == nil || errors.Is(err, kvstore.ErrConflict) {
			return nil
		}
		if errors.Is(err, kvstore.ErrTooLarge) || errors.Is(err, kvstore.ErrLeaseExpired) {
			return err
		}
		if !pause.For(ctx, wait.NextBackOff()) {
			return ctx.Err()
		}
	}
}

// deleteKeys deletes keys that nothing refers to. It does not retry: a key that cannot be deleted stays in the
// store.
func (p *partition) deleteKeys(ctx context.Context, keys ...string) {
	for _, key := range keys {
		entry, err := p.m.store.Get(ctx, key)
		if err == nil {
			_ = p.m.store.Delete(ctx, key, entry.Revision) // not retried
		}
	}
}

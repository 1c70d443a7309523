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

// This file defines how the head and the segments of a partition are read and written.

const (
	freshFor       = 200 * time.Millisecond // a head read or written this recently is not read again for one call
	firstBackoff   = 20 * time.Millisecond
	longestBackoff = time.Second
	maxLoadTries   = 5 // the head may be replaced while its segments are read
)

// errLost means that another process wrote the head first.
var errLost = errors.New("another node wrote the ledger's head")

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstBackoff, longestBackoff
	return b
}

// Takes the token of the head's input and output.
func (p *partition) lock(ctx context.Context) error {
	select {
	case p.io <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *partition) unlock() { <-p.io }

// Loads the state unless it is loaded.
func (p *partition) load(ctx context.Context) error {
	if p.loadedSince(time.Time{}) {
		return nil
	}
	return p.refreshSince(ctx, time.Time{})
}

// Reads the head unless that was done just now.
func (p *partition) refresh(ctx context.Context) error {
	return p.refreshSince(ctx, time.Now().Add(-freshFor))
}

func (p *partition) refreshSince(ctx context.Context, since time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, p.m.commitTimeout)
	defer cancel()
	if err := p.lock(ctx); err != nil {
		return err
	}
	defer p.unlock()
	if p.loadedSince(since) {
		return nil
	}
	return p.read(ctx)
}

func (p *partition) loadedSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state != nil && !p.loaded.Before(since)
}

// Reads the head and the segments that are not held, and settles the queue. The caller holds io.
func (p *partition) read(ctx context.Context) error {
	var err error
	for range maxLoadTries {
		var entry kvstore.Entry
		entry, err = p.m.store.Get(ctx, ledger.HeadKey(p.number))
		if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
			return err
		}
		if err = p.adopt(ctx, entry); !errors.Is(err, kvstore.ErrNotFound) {
			return err
		}
	}
	return fmt.Errorf("segments of partition %d keep changing: %w", p.number, err)
}

// Makes the head in entry the state. An empty entry stands for a head that does not exist.
func (p *partition) adopt(ctx context.Context, entry kvstore.Entry) error {
	var head ledger.Head
	if entry.Revision != 0 {
		var err error
		if head, err = ledger.DecodeHead(entry.Value); err != nil {
			return err
		}
	}
	state := p.current()
	segments := make(map[string]ledger.Segment)
	for _, key := range state.MissingSegments(head) {
		got, err := p.m.store.Get(ctx, key)
		if err != nil {
			return err
		}
		if segments[key], err = ledger.DecodeSegment(got.Value); err != nil {
			return err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state.Replace(head, segments)
	p.state, p.rev, p.loaded = state, entry.Revision, time.Now()
	p.settle()
	return nil
}

// Returns the state, or a new one that is not published yet.
func (p *partition) current() *ledger.Partition {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != nil {
		return p.state
	}
	return ledger.NewPartition(p.number, p.m.limits)
}

// Swaps the head for next and returns its revision. The error is errLost, or else the head surely was not
// written, unless ctx has ended.
//
// A write whose answer is lost may take effect at any later time, so it is settled by writing the same bytes
// at the same expected revision until the store answers: whichever copy takes effect, the bytes are the same,
// and a conflict is settled by reading for the nonce.
func (p *partition) swap(ctx context.Context, rev kvstore.Revision, next ledger.Head) (kvstore.Revision, error) {
	key, data := ledger.HeadKey(p.number), ledger.Encode(next)
	wait := newBackOff()
	unsettled := false
	for {
		got, err := p.m.store.CompareAndSwap(ctx, key, rev, data, 0)
		switch {
		case err == nil:
			return got, nil
		case errors.Is(err, kvstore.ErrConflict):
			if entry, err := p.m.store.Get(ctx, key); err == nil {
				return p.settleConflict(entry, next.Nonce)
			}
		case errors.Is(err, kvstore.ErrTooLarge):
			bug.Reportf("ledger head of %d bytes with %d segments", len(data), len(next.Sealed))
			return 0, err
		case errors.Is(err, kvstore.ErrOutcomeUnknown):
			unsettled = true
		case !unsettled:
			return 0, err
		}
		if !pause.For(ctx, wait.NextBackOff()) {
			return 0, ctx.Err()
		}
	}
}

// Decides from the head in the store whether it is one's own write.
func (p *partition) settleConflict(entry kvstore.Entry, nonce string) (kvstore.Revision, error) {
	head, err := ledger.DecodeHead(entry.Value)
	if err != nil {
		return 0, err
	}
	if head.Nonce == nonce {
		return entry.Revision, nil
	}
	return 0, errLost
}

// Writes a value that no other process writes under a key of its own.
func (p *partition) create(ctx context.Context, key string, data []byte, lease kvstore.LeaseID) error {
	wait := newBackOff()
	for {
		_, err := p.m.store.CompareAndSwap(ctx, key, 0, data, lease)
		if err == nil || errors.Is(err, kvstore.ErrConflict) {
			return nil
		}
		if errors.Is(err, kvstore.ErrTooLarge) || errors.Is(err, kvstore.ErrLeaseLapsed) {
			return err
		}
		if !pause.For(ctx, wait.NextBackOff()) {
			return ctx.Err()
		}
	}
}

// Deletes keys that nothing names any more. A key that cannot be deleted now is left behind.
func (p *partition) remove(ctx context.Context, keys ...string) {
	for _, key := range keys {
		entry, err := p.m.store.Get(ctx, key)
		if err == nil {
			_ = p.m.store.Delete(ctx, key, entry.Revision) // see above
		}
	}
}

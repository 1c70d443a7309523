// This file defines how the nodes keep verdicts in the store. Each verdict has one key, and every node reads all of
// them periodically.

package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/quarantine"
	"ebonyferry/internal/edge/kvstore"
)

const (
	verdictPrefix   = "quarantine/"
	verdictInterval = 30 * time.Second // mean time between reads
	writeInterval   = time.Second      // between attempts to write
	storeTimeout    = 5 * time.Second
)

// VerdictStore is the part of the platform's store that the dispatcher uses.
type VerdictStore interface {
	Get(ctx context.Context, key string) (kvstore.Entry, error)
	List(ctx context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error)
	CompareAndSwap(ctx context.Context, key string, expected kvstore.Revision, value []byte, lease kvstore.LeaseID) (kvstore.Revision, error)
	Delete(ctx context.Context, key string, expected kvstore.Revision) error
}

// verdictSync writes the verdicts of this node to the store and reads those of other nodes. It is safe for
// concurrent use.
type verdictSync struct {
	store VerdictStore
	added chan struct{} // signals that pending has grown; capacity 1

	mu      sync.Mutex
	pending map[uint64]quarantine.Entry // not yet in the store, by fingerprint; guarded by mu
}

func newVerdictSync(s VerdictStore) *verdictSync {
	return &verdictSync{store: s, added: make(chan struct{}, 1), pending: make(map[uint64]quarantine.Entry)}
}

// add queues entries, which run writes to the store.
func (v *verdictSync) add(entries []quarantine.Entry) {
	if len(entries) == 0 {
		return
	}
	v.mu.Lock()
	for _, e := range entries {
		v.pending[e.Fingerprint] = e
	}
	v.mu.Unlock()
	select {
	case v.added <- struct{}{}:
	default:
	}
}

// run writes pending verdicts and reads those of other nodes until ctx ends.
func (v *verdictSync) run(ctx context.Context, d *Dispatcher) error {
	read := time.NewTimer(0)
	defer read.Stop()
	retry := time.NewTimer(writeInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-read.C:
			v.read(ctx, d)
			read.Reset(verdictInterval/2 + rand.N(verdictInterval))
			continue
		case <-v.added:
		case <-retry.C:
		}
		if !v.writePending(ctx) {
			retry.Reset(writeInterval)
		}
	}
}

// writePending writes the pending verdicts and reports whether it wrote all of them.
func (v *verdictSync) writePending(ctx context.Context) bool {
	v.mu.Lock()
	list := make([]quarantine.Entry, 0, len(v.pending))
	for _, e := range v.pending {
		list = append(list, e)
	}
	v.mu.Unlock()
	for _, e := range list {
		if v.write(ctx, e) != nil {
			return false
		}
		v.mu.Lock()
		if v.pending[e.Fingerprint].Equal(e) {
			delete(v.pending, e.Fingerprint)
		}
		v.mu.Unlock()
	}
	return true
}

// write writes e to the store. Writes are idempotent, so after a lost answer the next attempt writes e again. A
// verdict does not replace a release.
func (v *verdictSync) write(ctx context.Context, e quarantine.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := verdictPrefix + formatFingerprint(e.Fingerprint)
	var expected kvstore.Revision
	old, err := v.store.Get(ctx, key)
	switch {
	case err == nil:
		expected = old.Revision
		var kept quarantine.Entry
		if json.Unmarshal(old.Value, &kept) == nil && kept.Released && !e.Released && time.Now().Before(kept.Expires) {
			return nil
		}
	case !errors.Is(err, kvstore.ErrNotFound):
		return err
	}
	value, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = v.store.CompareAndSwap(ctx, key, expected, value, 0)
	return err
}

// read records the verdicts in the store and deletes those that have expired.
func (v *verdictSync) read(ctx context.Context, d *Dispatcher) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := v.store.List(ctx, verdictPrefix)
	if err != nil {
		return // the next read gets them
	}
	var msg notice
	for _, entry := range entries {
		var e quarantine.Entry
		if err := json.Unmarshal(entry.Value, &e); err != nil {
			event.Log(d.log, event.VerdictUnreadable, event.Fields{"key": entry.Key, "cause": err.Error()})
			continue
		}
		if time.Now().After(e.Expires) {
			_ = v.store.Delete(ctx, entry.Key, entry.Revision) // another node may have deleted it
			continue
		}
		msg.Verdicts = append(msg.Verdicts, e)
	}
	if len(msg.Verdicts) > 0 {
		d.recordNotice(msg)
	}
}

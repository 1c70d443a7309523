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

// This file defines how verdicts are kept in the store: one key each, read by all nodes now and then.

const (
	verdictPrefix   = "quarantine/"
	verdictInterval = 30 * time.Second // between two readings
	writeInterval   = time.Second      // between two tries to write
	storeTimeout    = 5 * time.Second
)

// VerdictStore is what the dispatcher asks of the platform's store.
type VerdictStore interface {
	Get(ctx context.Context, key string) (kvstore.Entry, error)
	List(ctx context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error)
	CompareAndSwap(ctx context.Context, key string, expected kvstore.Revision, value []byte, lease kvstore.LeaseID) (kvstore.Revision, error)
	Delete(ctx context.Context, key string, expected kvstore.Revision) error
}

// verdicts keeps the verdicts of this node until the store has them. It is safe for concurrent use.
type verdicts struct {
	store   VerdictStore
	written chan struct{} // signals something to write; capacity 1

	mu      sync.Mutex
	pending map[uint64]quarantine.Entry // guarded by mu
}

func newVerdicts(s VerdictStore) *verdicts {
	return &verdicts{store: s, written: make(chan struct{}, 1), pending: make(map[uint64]quarantine.Entry)}
}

// Keep has entries written in the background.
func (v *verdicts) keep(entries []quarantine.Entry) {
	if len(entries) == 0 {
		return
	}
	v.mu.Lock()
	for _, e := range entries {
		v.pending[e.Fingerprint] = e
	}
	v.mu.Unlock()
	select {
	case v.written <- struct{}{}:
	default:
	}
}

// Run writes pending verdicts and reads those of other nodes until ctx ends.
func (v *verdicts) run(ctx context.Context, d *Dispatcher) error {
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
		case <-v.written:
		case <-retry.C:
		}
		if !v.writeAll(ctx) {
			retry.Reset(writeInterval)
		}
	}
}

// WriteAll reports whether nothing is pending any more.
func (v *verdicts) writeAll(ctx context.Context) bool {
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
		if v.pending[e.Fingerprint] == e {
			delete(v.pending, e.Fingerprint)
		}
		v.mu.Unlock()
	}
	return true
}

// Write brings the store to e. Writing the same entry again does no harm, so an answer that was lost is settled
// by the next try. A verdict does not replace a release.
func (v *verdicts) write(ctx context.Context, e quarantine.Entry) error {
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

// Read takes the verdicts that other nodes wrote and deletes those that have expired.
func (v *verdicts) read(ctx context.Context, d *Dispatcher) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := v.store.List(ctx, verdictPrefix)
	if err != nil {
		return // the next reading finds them
	}
	var msg notice
	for _, entry := range entries {
		var e quarantine.Entry
		if err := json.Unmarshal(entry.Value, &e); err != nil {
			event.Log(d.log, event.VerdictUnreadable, event.Fields{"key": entry.Key, "cause": err.Error()})
			continue
		}
		if time.Now().After(e.Expires) {
			_ = v.store.Delete(ctx, entry.Key, entry.Revision) // another node may have done so
			continue
		}
		msg.Verdicts = append(msg.Verdicts, e)
	}
	if len(msg.Verdicts) > 0 {
		d.hear(msg)
	}
}

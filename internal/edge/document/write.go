// This file defines writes. If the answer to a write is lost, the writer repeats the write to learn its outcome. It can
// recognize its own earlier write: the parts of a document never change, and a head carries the nonce of its writer.

package document

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/kvstore"
)

const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// historySize is the number of replaced heads that the history keeps.
	historySize = 5000
)

// RaceError means that another change came first. Head is the head of that change.
type RaceError struct {
	Head bundle.Head
}

// Error implements error. The text names the other operator and the change.
func (e *RaceError) Error() string {
	return fmt.Sprintf("revision %d by %q came first: %s", e.Head.Revision, e.Head.ChangedBy, e.Head.Summary)
}

// ErrKeysTaken means that another operator is writing the same revision of the keys.
var ErrKeysTaken = errors.New("revision of the keys is taken")

// create writes a value under a key that must not exist, as swap does. The error wraps kvstore.ErrConflict if the key
// exists. An earlier attempt of the same call may have created it.
func create(ctx context.Context, store Store, key string, value []byte) error {
	_, err := swap(ctx, store, key, 0, value)
	return err
}

// swap compares and swaps a value. It retries while the store limits the rate, and after an attempt with an unknown
// outcome until the store reports the outcome.
func swap(ctx context.Context, store Store, key string, expected kvstore.Revision, value []byte) (kvstore.Revision, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = initialBackoff, maxBackoff
	unknown := false
	op := func() (kvstore.Revision, error) {
		rev, err := store.CompareAndSwap(ctx, key, expected, value, 0)
		switch {
		case errors.Is(err, kvstore.ErrOutcomeUnknown):
			unknown = true
			return 0, err
		case errors.Is(err, kvstore.ErrRateLimited), unknown && errors.Is(err, kvstore.ErrUnavailable):
			return 0, err
		case err != nil:
			return 0, backoff.Permanent(err)
		}
		return rev, nil
	}
	rev, err := backoff.Retry(ctx, op, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(0))
	if err != nil && unknown && !errors.Is(err, kvstore.ErrConflict) {
		return 0, fmt.Errorf("writing %s: %w: %w", key, kvstore.ErrOutcomeUnknown, err)
	}
	if err != nil {
		return 0, fmt.Errorf("writing %s: %w", key, err)
	}
	return rev, nil
}

// PutBundle writes a canonical bundle. Writing the same bundle again changes nothing.
func PutBundle(ctx context.Context, store Store, b bundle.Bundle) error {
	values, err := bundle.EncodeBundle(b)
	if err != nil {
		return err
	}
	for i, value := range values {
		err := create(ctx, store, bundle.PartKey(bundle.BundlePrefix(b.ID), i), value)
		if err != nil && !errors.Is(err, kvstore.ErrConflict) {
			return err
		}
	}
	return nil
}

// PutKeys writes keys under k.Revision. The error wraps ErrKeysTaken if that revision holds other keys.
func PutKeys(ctx context.Context, store Store, k bundle.Keys) error {
	prefix := bundle.KeysPrefix(k.Revision)
	for i, value := range bundle.EncodeKeys(k) {
		key := bundle.PartKey(prefix, i)
		err := create(ctx, store, key, value)
		if errors.Is(err, kvstore.ErrConflict) {
			err = checkValue(ctx, store, key, value)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// checkValue returns an error that wraps ErrKeysTaken if the key holds another value.
func checkValue(ctx context.Context, store Store, key string, value []byte) error {
	entry, err := store.Get(ctx, key)
	if err != nil {
		return err
	}
	if string(entry.Value) != string(value) {
		return fmt.Errorf("%w: %s", ErrKeysTaken, key)
	}
	return nil
}

// SwitchHead replaces the head was, whose revision in the store is at, by next. It returns a *RaceError if another
// change came first. If the store does not answer until ctx ends, the error wraps kvstore.ErrOutcomeUnknown. The caller
// may then repeat the change with the same nonce.
func SwitchHead(ctx context.Context, store Store, was bundle.Head, at kvstore.Revision, next bundle.Head) error {
	if err := keepHistory(ctx, store, was); err != nil {
		return err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encoding head %d: %w", next.Revision, err)
	}
	_, err = swap(ctx, store, bundle.HeadKey, at, value)
	if !errors.Is(err, kvstore.ErrConflict) {
		return err
	}
	winner, err := HeadAt(ctx, store, next.Revision)
	if err != nil {
		return err
	}
	if winner.Nonce == next.Nonce {
		return nil
	}
	return &RaceError{Head: winner}
}

// HeadAt returns the head of a revision, in force or replaced. The error wraps kvstore.ErrNotFound if the revision does
// not exist or is no longer in the history.
func HeadAt(ctx context.Context, store Reader, rev bundle.Revision) (bundle.Head, error) {
	h, _, err := LoadHead(ctx, store)
	if err != nil || h.Revision == rev {
		return h, err
	}
	entry, err := store.Get(ctx, bundle.HistoryKey(rev))
	if err != nil {
		return bundle.Head{}, fmt.Errorf("reading head %d: %w", rev, err)
	}
	return DecodeHead(entry.Value)
}

// keepHistory adds a head to the history before it is replaced, so that the history has no gaps. It deletes the head
// that has become too old.
func keepHistory(ctx context.Context, store Store, was bundle.Head) error {
	value, err := json.Marshal(was)
	if err != nil {
		return fmt.Errorf("encoding head %d: %w", was.Revision, err)
	}
	err = create(ctx, store, bundle.HistoryKey(was.Revision), value)
	if err != nil && !errors.Is(err, kvstore.ErrConflict) {
		return err
	}
	if was.Revision <= historySize {
		return nil
	}
	key := bundle.HistoryKey(was.Revision - historySize)
	if entry, err := store.Get(ctx, key); err == nil {
		_ = store.Delete(ctx, key, entry.Revision) // no retry: a remaining old entry does no harm
	}
	return nil
}

// Bootstrap writes the first bundle, keys and head into an empty store and returns what is then in force. It sets the
// revision of the keys to 1. The error is a *RaceError if a head already exists.
func Bootstrap(ctx context.Context, store Store, b bundle.Bundle, k bundle.Keys, req bundle.ChangeRequest) (*bundle.InForce, error) {
	b, k = bundle.Canonical(b), bundle.CanonicalKeys(k)
	k.Revision = 1
	if ps := append(bundle.Validate(b), bundle.ValidateKeys(k)...); len(ps) > 0 {
		return nil, ps
	}
	if err := PutBundle(ctx, store, b); err != nil {
		return nil, err
	}
	if err := PutKeys(ctx, store, k); err != nil {
		return nil, err
	}
	h := bundle.FirstHead(b, k, req)
	value, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encoding the first head: %w", err)
	}
	_, err = swap(ctx, store, bundle.HeadKey, 0, value)
	if errors.Is(err, kvstore.ErrConflict) {
		return afterConflict(ctx, store, h, b, k)
	}
	if err != nil {
		return nil, err
	}
	return bundle.NewInForce(h, b, k), nil
}

// afterConflict handles a first head that already exists. It may be h, if the answer to an earlier attempt was lost.
func afterConflict(ctx context.Context, store Store, h bundle.Head, b bundle.Bundle, k bundle.Keys) (*bundle.InForce, error) {
	found, _, err := LoadHead(ctx, store)
	if err != nil {
		return nil, err
	}
	if found.Nonce != h.Nonce {
		return nil, &RaceError{Head: found}
	}
	return bundle.NewInForce(h, b, k), nil
}

// RetainedKeyRevisions is the number of revisions of the keys that stay in the store, for nodes that lag behind.
const RetainedKeyRevisions = 16

// DeleteOldKeys deletes the revisions of the keys that are no longer retained when the revision in force changes from
// was to now. It ignores errors: nothing refers to a revision that remains.
func DeleteOldKeys(ctx context.Context, store Store, was, now bundle.Revision) {
	for rev := was; rev < now; rev++ {
		if rev < RetainedKeyRevisions {
			continue
		}
		deleteParts(ctx, store, bundle.KeysPrefix(rev-RetainedKeyRevisions+1))
	}
}

func deleteParts(ctx context.Context, store Store, prefix string) {
	entries, _, err := store.List(ctx, prefix)
	if err != nil {
		return
	}
	for _, e := range entries {
		_ = store.Delete(ctx, e.Key, e.Revision) // see DeleteOldKeys
	}
}

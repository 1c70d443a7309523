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

// This file defines writes. Each settles an answer that was lost by asking again: a document's parts never
// change, and a head carries the nonce of its writer.

const (
	firstPause = 20 * time.Millisecond
	maxPause   = 500 * time.Millisecond
	// keptHeads is how many replaced heads the history keeps.
	keptHeads = 5000
)

// RaceError says that another change came first. It names the head that won.
type RaceError struct {
	Head bundle.Head
}

// Error tells who won and what they did.
func (e *RaceError) Error() string {
	return fmt.Sprintf("revision %d by %q came first: %s", e.Head.Revision, e.Head.ChangedBy, e.Head.Summary)
}

// ErrKeysTaken means that another operator is writing the same revision of the keys.
var ErrKeysTaken = errors.New("revision of the keys is taken")

// Writes a value that must not exist, asking again while the store says that it is busy or does not answer. It
// returns kvstore.ErrConflict when the key exists, which may be the effect of an earlier try.
func create(ctx context.Context, store Store, key string, value []byte) error {
	_, err := swap(ctx, store, key, 0, value)
	return err
}

// Swaps a value, repeating the same swap until the store says what became of it.
func swap(ctx context.Context, store Store, key string, expected kvstore.Revision, value []byte) (kvstore.Revision, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstPause, maxPause
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

// PutKeys writes keys under k.Revision, which must be unused. The error wraps ErrKeysTaken when it is not.
func PutKeys(ctx context.Context, store Store, k bundle.Keys) error {
	prefix := bundle.KeysPrefix(k.Revision)
	for i, value := range bundle.EncodeKeys(k) {
		key := bundle.PartKey(prefix, i)
		err := create(ctx, store, key, value)
		if errors.Is(err, kvstore.ErrConflict) {
			err = sameValue(ctx, store, key, value)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Fails with ErrKeysTaken when the key holds another value.
func sameValue(ctx context.Context, store Store, key string, value []byte) error {
	entry, err := store.Get(ctx, key)
	if err != nil {
		return err
	}
	if string(entry.Value) != string(value) {
		return fmt.Errorf("%w: %s", ErrKeysTaken, key)
	}
	return nil
}

// SwitchHead replaces was, found at the store's revision at, by next. It returns the head that took effect,
// which is next, or a *RaceError. When the store does not answer until ctx ends, the error wraps
// kvstore.ErrOutcomeUnknown; the same change may be asked for again under the same nonce.
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

// HeadAt returns the head of a revision, the one in force or a replaced one. The error wraps
// kvstore.ErrNotFound when there has been none or it is no longer kept.
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

// Writes a head into the history before it is replaced, so that the history never lacks one, and forgets the
// one that has become too old.
func keepHistory(ctx context.Context, store Store, was bundle.Head) error {
	value, err := json.Marshal(was)
	if err != nil {
		return fmt.Errorf("encoding head %d: %w", was.Revision, err)
	}
	err = create(ctx, store, bundle.HistoryKey(was.Revision), value)
	if err != nil && !errors.Is(err, kvstore.ErrConflict) {
		return err
	}
	if was.Revision <= keptHeads {
		return nil
	}
	key := bundle.HistoryKey(was.Revision - keptHeads)
	if entry, err := store.Get(ctx, key); err == nil {
		_ = store.Delete(ctx, key, entry.Revision) // tried again never: one old entry left over does no harm
	}
	return nil
}

// Bootstrap writes a first bundle, keys and head into an empty store and returns what is then in force. k's
// Revision is set to 1. The error is a *RaceError when a head exists already.
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

// Tells one's own first head, whose answer was lost, from another one.
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

// RetainedKeyRevisions is how many revisions of the keys stay in the store, for nodes that lag behind.
const RetainedKeyRevisions = 16

// DeleteOldKeys deletes the revisions of the keys that fall out of the kept ones when the revision in force goes
// from was to now. What cannot be deleted stays; nothing refers to it.
func DeleteOldKeys(ctx context.Context, store Store, was, now bundle.Revision) {
	for rev := was; rev < now; rev++ {
		if rev < RetainedKeyRevisions {
			continue
		}
		forgetParts(ctx, store, bundle.KeysPrefix(rev-RetainedKeyRevisions+1))
	}
}

func forgetParts(ctx context.Context, store Store, prefix string) {
	entries, _, err := store.List(ctx, prefix)
	if err != nil {
		return
	}
	for _, e := range entries {
		_ = store.Delete(ctx, e.Key, e.Revision) // see DeleteOldKeys
	}
}

// This file defines the small documents beside the head, such as sign-offs and descriptions.

package document

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/kvstore"
)

// PutJSON writes v under key and overwrites an existing value.
func PutJSON(ctx context.Context, store Store, key string, v any) error {
	value, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encoding %s: %w", key, err)
	}
	err = create(ctx, store, key, value)
	for errors.Is(err, kvstore.ErrConflict) {
		var entry kvstore.Entry
		entry, err = store.Get(ctx, key)
		if err != nil {
			return fmt.Errorf("reading %s: %w", key, err)
		}
		if string(entry.Value) == string(value) {
			return nil
		}
		_, err = swap(ctx, store, key, entry.Revision, value)
	}
	return err
}

// PutSignOff writes a sign-off. It overwrites an earlier sign-off of the same operator for the same bundle.
func PutSignOff(ctx context.Context, store Store, s bundle.SignOff) error {
	return PutJSON(ctx, store, bundle.SignOffPrefix(s.Subject.BundleID)+s.Operator, s)
}

// SignOffs returns the sign-offs of a bundle without checking them.
func SignOffs(ctx context.Context, store Reader, bundleID string) ([]bundle.SignOff, error) {
	entries, _, err := store.List(ctx, bundle.SignOffPrefix(bundleID))
	if err != nil {
		return nil, fmt.Errorf("reading the sign-offs of bundle %s: %w", bundle.ShortID(bundleID), err)
	}
	var list []bundle.SignOff
	for _, e := range entries {
		var s bundle.SignOff
		if err := json.Unmarshal(e.Value, &s); err != nil {
			return nil, fmt.Errorf("reading %s: %w", e.Key, err)
		}
		list = append(list, s)
	}
	return list, nil
}

// Package document reads and writes the operators' documents in the store: bundles, keys, the head that puts them in
// force, the replaced heads and the sign-offs.
//
// A writer stores a complete bundle with PutBundle, or complete keys with PutKeys, before a head names them. Stored
// bundles and keys never change. Only the head changes, by compare-and-swap in SwitchHead, so a document of many parts
// comes into force atomically. LoadInForce reads what is in force.
package document

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/kvstore"
)

// Reader holds the store operations for reads. *kvstore.Client implements it.
type Reader interface {
	Get(ctx context.Context, key string) (kvstore.Entry, error)
	List(ctx context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error)
}

// Store holds the store operations for reads and writes. *kvstore.Client implements it.
type Store interface {
	Reader
	CompareAndSwap(ctx context.Context, key string, expected kvstore.Revision, value []byte, lease kvstore.LeaseID) (kvstore.Revision, error)
	Delete(ctx context.Context, key string, expected kvstore.Revision) error
}

// ErrNoHead means that the store holds no configuration yet.
var ErrNoHead = errors.New("store holds no head")

// LoadHead returns the head in force and its revision in the store.
func LoadHead(ctx context.Context, store Reader) (bundle.Head, kvstore.Revision, error) {
	entry, err := store.Get(ctx, bundle.HeadKey)
	if errors.Is(err, kvstore.ErrNotFound) {
		return bundle.Head{}, 0, ErrNoHead
	}
	if err != nil {
		return bundle.Head{}, 0, fmt.Errorf("reading the head: %w", err)
	}
	h, err := DecodeHead(entry.Value)
	return h, entry.Revision, err
}

// DecodeHead decodes a head from its value in the store.
func DecodeHead(value []byte) (bundle.Head, error) {
	var h bundle.Head
	if err := json.Unmarshal(value, &h); err != nil {
		return bundle.Head{}, fmt.Errorf("reading the head: %w", err)
	}
	if h.Revision == 0 || h.BundleID == "" {
		return bundle.Head{}, errors.New("reading the head: it names no revision or no bundle")
	}
	return h, nil
}

// LoadInForce returns what is in force and the revision of the head in the store.
func LoadInForce(ctx context.Context, store Reader) (*bundle.InForce, kvstore.Revision, error) {
	h, rev, err := LoadHead(ctx, store)
	if err != nil {
		return nil, 0, err
	}
	in, err := Load(ctx, store, h, nil)
	return in, rev, err
}

// Load returns what is in force under h. It takes from have, which may be nil, the documents that h names too, and reads
// the others from the store.
func Load(ctx context.Context, store Reader, h bundle.Head, have *bundle.InForce) (*bundle.InForce, error) {
	var b bundle.Bundle
	var k bundle.Keys
	var err error
	if have != nil && have.Head.BundleID == h.BundleID {
		b = have.Bundle
	} else if b, err = LoadBundle(ctx, store, h.BundleID); err != nil {
		return nil, err
	}
	if have != nil && have.Head.KeysRevision == h.KeysRevision && have.Head.KeysDigest == h.KeysDigest {
		k = have.Keys
	} else if k, err = LoadKeys(ctx, store, h.KeysRevision, h.KeysDigest); err != nil {
		return nil, err
	}
	return bundle.NewInForce(h, b, k), nil
}

// LoadBundle returns the bundle with the given ID. The error wraps kvstore.ErrNotFound if there is none.
func LoadBundle(ctx context.Context, store Reader, id string) (bundle.Bundle, error) {
	values, err := loadParts(ctx, store, bundle.BundlePrefix(id))
	if err != nil {
		return bundle.Bundle{}, fmt.Errorf("reading bundle %s: %w", bundle.ShortID(id), err)
	}
	return bundle.AssembleBundle(id, values)
}

// LoadKeys returns one revision of the keys. With an empty digest it checks them against the digest that
// they contain.
func LoadKeys(ctx context.Context, store Reader, rev bundle.Revision, digest string) (bundle.Keys, error) {
	values, err := loadParts(ctx, store, bundle.KeysPrefix(rev))
	if err != nil {
		return bundle.Keys{}, fmt.Errorf("reading keys of revision %d: %w", rev, err)
	}
	return bundle.AssembleKeys(digest, values)
}

func loadParts(ctx context.Context, store Reader, prefix string) ([][]byte, error) {
	entries, _, err := store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	if len(entries) == 0 {
		return nil, kvstore.ErrNotFound
	}
	values := make([][]byte, len(entries))
	for i, e := range entries {
		values[i] = e.Value
	}
	return values, nil
}

// This file defines what a node does when the store comes back from an earlier copy, without heads that it had confirmed. Nodes keep
// those heads in force, and refuse lower revisions as before. Those that read the store therefore write the head in force again. A
// change that operators made to the restored head meanwhile was confirmed too, with a revision that was given out before: it gets
// the revision after the one in force, so that all nodes apply it.

package intent

import (
	"context"
	"encoding/json"
	"errors"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/bundle"
	docs "ebonyferry/internal/edge/document"
	"ebonyferry/internal/edge/kvstore"
)

// maxKnownHeads bounds the heads that a node remembers, to recognize an earlier one in a restored store.
const maxKnownHeads = 128

// rememberHead remembers a head of the store. The caller holds mu.
func (in *Intent) rememberHead(h bundle.Head) {
	data, err := json.Marshal(h)
	if err != nil {
		return // a head that was decoded can be encoded
	}
	in.known[h.Revision] = string(data)
	if in.oldestKnown == 0 {
		in.oldestKnown = h.Revision
	}
	for len(in.known) > maxKnownHeads {
		delete(in.known, in.oldestKnown)
		in.oldestKnown++
	}
}

// isEarlier reports whether a head is one that was replaced by those that this node knows. The caller holds mu.
func (in *Intent) isEarlier(h bundle.Head) bool {
	if h.Revision < in.oldestKnown {
		return true
	}
	data, err := json.Marshal(h)
	return err == nil && in.known[h.Revision] == string(data)
}

// lostHead returns the configuration in force if the store, by its entry of the head, has lost it.
func (in *Intent) lostHead(entry kvstore.Entry) (lost *bundle.InForce, stored bundle.Head, earlier bool) {
	var h bundle.Head
	if entry.Revision != 0 {
		var err error
		if h, err = docs.DecodeHead(entry.Value); err != nil {
			return nil, h, false
		}
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.inForce == nil || h.Revision > in.inForce.Head.Revision || h.Revision == in.inForce.Head.Revision && in.isEarlier(h) {
		return nil, h, false
	}
	return in.inForce, h, h.Revision == 0 || in.isEarlier(h)
}

// writeLostHead writes the head in force again if the store has lost it. A node that was refused or came second tries again
// when it next reads the store, until the store has a head that it can apply.
func (in *Intent) writeLostHead(ctx context.Context) error {
	entry, err := in.store.Get(ctx, bundle.HeadKey)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return err
	}
	lost, stored, earlier := in.lostHead(entry)
	if lost == nil {
		in.setHeadLost(false)
		return nil
	}
	next := lost.Head
	if earlier {
		if err := errors.Join(docs.PutBundle(ctx, in.store, lost.Bundle), docs.PutKeys(ctx, in.store, lost.Keys)); err != nil {
			return err
		}
	} else {
		next = stored
		next.Revision = lost.Head.Revision + 1
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if _, err := in.store.CompareAndSwap(ctx, bundle.HeadKey, entry.Revision, value, 0); err != nil {
		return err
	}
	event.Log(in.log, event.HeadWrittenAgain, event.Fields{
		"revision": next.Revision, "stored": stored.Revision, "inForce": lost.Head.Revision, "changedBy": next.ChangedBy,
	})
	return nil
}

func (in *Intent) setHeadLost(lost bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.headLost = lost
}

// restoreHead calls writeLostHead while the store may have lost the head in force.
func (in *Intent) restoreHead(ctx context.Context) {
	in.mu.Lock()
	lost := in.headLost
	in.mu.Unlock()
	if !lost {
		return
	}
	if err := in.writeLostHead(ctx); err != nil && !errors.Is(err, kvstore.ErrConflict) {
		event.Log(in.log, event.HeadNotWritten, event.Fields{"error": err.Error()})
	}
}

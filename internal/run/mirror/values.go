// This file defines how large values travel apart from the changes that name them.

package mirror

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/run/transfer"
)

// maxInlineBytes is the size of the largest value that is sent with the changes. To 17 followers on one link of 10 Mbit/s it takes 0.15 s.
const maxInlineBytes = 8 << 10

// valueRef names the value of an entry.
type valueRef struct {
	Key      string           `json:"key"`
	Revision kvstore.Revision `json:"revision"`
	Lease    kvstore.LeaseID  `json:"lease,omitempty"`
	Digest   transfer.ID      `json:"digest"`
}

// pendingValue is a value that the node knows of and has not received.
type pendingValue struct {
	ref      valueRef         // the latest that is known
	missing  kvstore.Revision // of the first change of the key that the node has not applied
	restored bool             // Restored of the batch that the value will be in
	since    time.Time        // when the node learnt of the first change
}

// expectValue makes a value pending. The caller holds mu.
func (m *Mirror) expectValue(ref valueRef, restored bool) {
	p, ok := m.pending[ref.Key]
	if !ok || p.missing.Era() != ref.Revision.Era() {
		p = pendingValue{missing: ref.Revision, since: time.Now()}
	}
	p.ref, p.restored = ref, p.restored || restored
	m.pending[ref.Key] = p
}

// completeRevision returns the revision up to which all held entries with the prefix are complete. The caller holds mu.
func (m *Mirror) completeRevision(prefix string) kvstore.Revision {
	revision := m.revision
	for key, p := range m.pending {
		if strings.HasPrefix(key, prefix) {
			revision = min(revision, p.missing-1)
		}
	}
	return revision
}

// refOf returns the reference to the latest value of a key, if it is large. The caller holds mu.
func (m *Mirror) refOf(key string) (valueRef, bool) {
	if p, ok := m.pending[key]; ok {
		return p.ref, true
	}
	d, ok := m.digests[key]
	if !ok {
		return valueRef{}, false
	}
	e := m.held[key]
	return valueRef{Key: key, Revision: e.Revision, Lease: e.Lease, Digest: d}, true
}

// changesApart returns changes and, in place of those with large values, references. The caller holds mu.
func (m *Mirror) changesApart(latest []keyChange) (changes []kvstore.Change, refs []valueRef) {
	var small []keyChange
	for _, c := range latest {
		if ref, large := m.refOf(c.key); large && !c.deleted {
			ref.Revision = c.revision
			refs = append(refs, ref)
			continue
		}
		small = append(small, c)
	}
	return m.heldChanges(small), refs
}

// entriesApart returns all entries and, in place of those with large values, references. The caller holds mu.
func (m *Mirror) entriesApart() (entries []kvstore.Entry, refs []valueRef) {
	for _, e := range m.entries("") {
		if _, large := m.refOf(e.Key); !large {
			entries = append(entries, e)
		}
	}
	for key := range m.digests {
		if ref, ok := m.refOf(key); ok {
			refs = append(refs, ref)
		}
	}
	for key, p := range m.pending {
		if _, listed := m.digests[key]; !listed {
			refs = append(refs, p.ref)
		}
	}
	return entries, refs
}

// receiveValue applies a pending value that has arrived. A newer one of the key stays pending.
func (m *Mirror) receiveValue(ref valueRef, data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.pending[ref.Key]
	if !ok || ref.Revision < p.missing {
		return
	}
	c := kvstore.Change{Entry: kvstore.Entry{Key: ref.Key, Value: data, Revision: ref.Revision, Lease: ref.Lease}}
	m.hold(c)
	if p.ref.Revision > ref.Revision {
		p.missing = ref.Revision + 1
		m.pending[ref.Key] = p
	}
	m.recordComplete()
	m.applyBatch([]kvstore.Change{c}, p.restored)
	m.wakeWaiters()
}

// nextPending returns the value that has been pending for longest, and a channel that is closed at the next change.
func (m *Mirror) nextPending() (ref valueRef, ok bool, updated <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var since time.Time
	for _, p := range m.pending {
		if !ok || p.since.Before(since) {
			ref, since, ok = p.ref, p.since, true
		}
	}
	return ref, ok, m.updated
}

// isPending reports whether a value is still missing, and whether it is the latest of its key.
func (m *Mirror) isPending(ref valueRef) (missing, latest bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.pending[ref.Key]
	return ok && p.missing <= ref.Revision, ok && p.ref.Digest == ref.Digest
}

// fetchValues fetches pending values, one after the other, until ctx ends.
func (m *Mirror) fetchValues(ctx context.Context) error {
	for ctx.Err() == nil {
		ref, ok, updated := m.nextPending()
		if ok {
			m.fetchValue(ctx, ref)
			continue
		}
		select {
		case <-updated:
		case <-ctx.Done():
		}
	}
	return nil
}

// fetchValue fetches one value. A transfer that makes progress is finished although a newer value is known: under frequent changes none
// would arrive otherwise, and the newer one is then a small difference.
func (m *Mirror) fetchValue(ctx context.Context, ref valueRef) {
	start := time.Now()
	download := m.values.Download(m.client, ref.Key, ref.Digest, transfer.VerifyDigest(ref.Digest), transfer.WithWait(sourceWait))
	wanted := func() bool { missing, _ := m.isPending(ref); return missing }
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if _, latest := m.isPending(ref); !latest || !wanted() {
			return
		}
		from, ok := m.valueSource(attempt)
		if !ok {
			m.readValue(ctx, ref)
			pause.For(ctx, m.retryWait())
			continue
		}
		data, err := download.From(ctx, from, wanted)
		if err == nil {
			m.logValue(ref, from, len(data), download.Stats(), start)
			m.receiveValue(ref, data)
			return
		}
		m.logGivenUp(from, err)
		if attempt%MaxSources == MaxSources-1 {
			pause.For(ctx, m.retryWait())
		}
	}
}

const (
	// sourceWait is how long a source that learnt of a value just before this node waits for it.
	sourceWait = 800 * time.Millisecond
	// followedAttempts is how often each followed node is asked for a value before other nodes are.
	followedAttempts = 2
	// otherAttempts is how many other nodes are asked before the store is read.
	otherAttempts = 3
)

// valueSource returns the node to ask for a value: those that this node follows, then others, and none when it is time to read the store.
func (m *Mirror) valueSource(attempt int) (netip.AddrPort, bool) {
	followed := m.followed()
	if attempt < followedAttempts*len(followed) {
		return followed[attempt%len(followed)], true
	}
	others := m.peers.Others()
	if (attempt-followedAttempts*len(followed))%(otherAttempts+1) == otherAttempts || len(others) == 0 {
		return netip.AddrPort{}, false
	}
	return others[rand.IntN(len(others))], true
}

// followed returns the nodes that this node follows: the sources that confirm the data, the substitute, and the other sources.
func (m *Mirror) followed() []netip.AddrPort {
	sources, _ := m.peers.Sources()
	m.mu.Lock()
	defer m.mu.Unlock()
	var confirming, rest []netip.AddrPort
	for i, addr := range sources {
		if i < MaxSources && m.confirming[i] {
			confirming = append(confirming, addr)
		} else {
			rest = append(rest, addr)
		}
	}
	if m.substitute.IsValid() {
		confirming = append(confirming, m.substitute)
	}
	return append(confirming, rest...)
}

// readValue reads a value from the store, which may already hold a newer one.
func (m *Mirror) readValue(ctx context.Context, ref valueRef) {
	entries, _, err := m.store.List(ctx, ref.Key)
	if err != nil {
		m.logGivenUp(netip.AddrPort{}, err)
		return
	}
	i := slices.IndexFunc(entries, func(e kvstore.Entry) bool { return e.Key == ref.Key })
	if i < 0 || entries[i].Revision.Era() != ref.Revision.Era() {
		return // removed, or written in another era: the next changes say so
	}
	e := entries[i]
	m.receiveValue(valueRef{Key: e.Key, Revision: e.Revision, Lease: e.Lease}, e.Value)
}

func (m *Mirror) logValue(ref valueRef, from netip.AddrPort, bytes int, s transfer.Stats, start time.Time) {
	event.Log(m.log, event.ValueArrived, event.Fields{
		"key": ref.Key, "revision": ref.Revision.Number(), "bytes": bytes, "packedBytes": s.Size, "difference": s.Difference, "calls": s.Calls,
		"from": from.String(), "tookMs": time.Since(start).Milliseconds(),
	})
}

// PendingValues returns how many large values the node knows of and has not received.
func (m *Mirror) PendingValues() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.pending)
}

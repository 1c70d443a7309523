// This file defines how a mirror applies changes, lists and confirmations.

package mirror

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/run/transfer"
)

// confirm records that the store confirmed the mirror's revision at a time. The caller holds mu.
func (m *Mirror) confirm(at time.Time) {
	if !at.After(m.confirmedAt) {
		return
	}
	if !m.confirmedAt.IsZero() && at.Sub(m.confirmedAt) > m.timing.OutageThreshold {
		m.outageEnd = at
	}
	m.confirmedAt = at
	if at.Sub(m.notifiedAt) >= minConfirmStep {
		m.notifiedAt = at
		m.wakeWaiters()
	}
}

// minConfirmStep is how much later than notifiedAt a confirmation must be for followers to be notified immediately.
// Otherwise nodes that follow each other would notify each other without end, since the delay of each message makes
// the confirmation look a little later.
const minConfirmStep = 300 * time.Millisecond

// wakeWaiters wakes watches and followers that wait for a change. The caller holds mu.
func (m *Mirror) wakeWaiters() {
	close(m.updated)
	m.updated = make(chan struct{})
}

// update is a change of a key, or the news of a change to a large value.
type update struct {
	kvstore.Change
	value *valueRef // nil if Change holds the value
}

// updates returns changes and references in order of revision.
func updates(changes []kvstore.Change, refs []valueRef) []update {
	list := make([]update, 0, len(changes)+len(refs))
	for _, c := range changes {
		list = append(list, update{Change: c})
	}
	for _, ref := range refs {
		list = append(list, update{kvstore.Change{Entry: kvstore.Entry{Key: ref.Key, Revision: ref.Revision, Lease: ref.Lease}}, &ref})
	}
	slices.SortStableFunc(list, func(a, b update) int { return cmp.Compare(a.Revision, b.Revision) })
	return list
}

// applyChanges applies changes, and references to large values, that lead to revision, which the store confirmed at a time.
func (m *Mirror) applyChanges(changes []kvstore.Change, revision kvstore.Revision, at time.Time, refs ...valueRef) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision {
		return // older data does not confirm the current state of the store
	}
	m.enterEra(revision, at)
	precededBy := m.confirmedAt
	if before := at.Add(-answerDelay); before.Sub(precededBy) < m.timing.MaxConfirmationAge && before.After(precededBy) {
		precededBy = before // a call that waits is answered as soon as there is a change
	}
	m.confirm(at)
	newer := slices.DeleteFunc(latestByKey(updates(changes, refs), func(u update) string { return u.Key }), func(u update) bool { return u.Revision <= m.revision })
	m.advance(newer, revision, precededBy)
}

// applyList applies the whole list at a revision, which the store confirmed at a time, as changes of the held entries.
func (m *Mirror) applyList(entries []kvstore.Entry, revision kvstore.Revision, at time.Time, refs ...valueRef) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision {
		return
	}
	m.enterEra(revision, at)
	precededBy := m.confirmedAt
	m.confirm(at)
	listed := make(map[string]bool, len(entries)+len(refs))
	var changed []update
	changes := make([]kvstore.Change, len(entries))
	for i, e := range entries {
		changes[i].Entry = e
	}
	for _, u := range updates(changes, refs) {
		listed[u.Key] = true
		held, ok := m.held[u.Key]
		if pending, waits := m.pending[u.Key]; waits && pending.ref.Revision == u.Revision && u.value != nil {
			continue
		}
		switch {
		case !ok || held.Revision < u.Revision && !m.sameWrite(held, u):
			changed = append(changed, u)
		case held.Revision < u.Revision: // written in an earlier era
			held.Revision = u.Revision
			m.held[u.Key] = held
			delete(m.pending, u.Key)
		}
	}
	removed := make(map[string]bool)
	for key := range m.held {
		removed[key] = !listed[key]
	}
	for key := range m.pending {
		removed[key] = !listed[key]
	}
	for _, key := range slices.Sorted(maps.Keys(removed)) {
		if removed[key] {
			changed = append(changed, update{Change: kvstore.Change{Entry: kvstore.Entry{Key: key, Revision: revision}, Deleted: true}})
		}
	}
	slices.SortStableFunc(changed, func(a, b update) int { return cmp.Compare(a.Revision, b.Revision) })
	first := m.revision == 0
	m.advance(changed, max(revision, 1), precededBy)
	if first {
		m.changesFrom, m.changes = m.revision, nil
	}
}

// sameWrite reports whether a held entry and an update of its key, from different eras, are the same write: the restored store has it in
// its copy. The caller holds mu.
func (m *Mirror) sameWrite(held kvstore.Entry, u update) bool {
	if held.Revision.Era() == u.Revision.Era() || held.Revision.Number() != u.Revision.Number() || held.Lease != u.Lease {
		return false
	}
	if u.value != nil {
		return m.digests[u.Key] == u.value.Digest
	}
	return bytes.Equal(held.Value, u.Value)
}

// enterEra prepares for the first data of a later era. Entries may have expired in the outage before it. The caller holds mu.
func (m *Mirror) enterEra(revision kvstore.Revision, at time.Time) {
	if m.revision == 0 || revision.Era() == m.revision.Era() {
		return
	}
	event.Log(m.log, event.StoreRestored, event.Fields{
		"era": revision.Era(), "revision": revision.Number(), "heldEra": m.revision.Era(), "heldRevision": m.revision.Number(),
	})
	m.eraEnd = m.revision
	m.outageEnd = at
}

// advance applies updates newer than the held entries. The store still had the state before them at precededBy. The caller holds mu.
func (m *Mirror) advance(newer []update, revision kvstore.Revision, precededBy time.Time) {
	restored := m.revision != 0 && revision.Era() > m.revision.Era()
	advanced := revision > m.revision
	now := time.Now()
	var changes []kvstore.Change
	for _, u := range newer {
		if u.value != nil {
			if data, ok := m.values.Get(u.value.Digest); ok {
				u.Value, u.value = data, nil // an earlier value again
			}
		}
		if u.value != nil {
			m.expectValue(*u.value, restored)
		} else {
			m.hold(u.Change)
			changes = append(changes, u.Change)
		}
		m.changes = append(m.changes, keyChange{u.Key, u.Revision, u.Deleted, now, precededBy})
	}
	m.revision = revision
	if n := len(m.changes) - maxChanges; n > 0 {
		m.changesFrom = m.changes[n-1].revision
		m.changes = slices.Clone(m.changes[n:])
	}
	m.recordComplete()
	m.applyBatch(changes, restored)
	if advanced {
		m.wakeWaiters()
	}
}

// hold replaces the held entry of a key. The caller holds mu.
func (m *Mirror) hold(c kvstore.Change) {
	delete(m.pending, c.Key)
	switch {
	case c.Deleted:
		delete(m.held, c.Key)
		delete(m.digests, c.Key)
		m.values.Remove(c.Key)
		return
	case len(c.Value) > maxInlineBytes:
		m.digests[c.Key] = transfer.Digest(c.Value)
		m.values.Put(c.Key, m.digests[c.Key], c.Value)
	default:
		delete(m.digests, c.Key)
	}
	m.held[c.Key] = c.Entry
}

// recordComplete records the confirmation if no value is pending. The caller holds mu.
func (m *Mirror) recordComplete() {
	if len(m.pending) == 0 {
		m.completeAt = m.confirmedAt
	}
}

// applyBatch passes changes to the function that was set by WithApply. The caller holds mu.
func (m *Mirror) applyBatch(changes []kvstore.Change, restored bool) {
	if len(changes) == 0 {
		return
	}
	afterOutage := !m.outageEnd.IsZero() && time.Since(m.outageEnd) < m.timing.ExpiryWindow
	m.apply(Batch{Changes: changes, Revision: m.revision, AfterOutage: afterOutage, OutageEnd: m.outageEnd, Restored: restored})
}

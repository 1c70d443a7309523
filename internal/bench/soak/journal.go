// This file defines the journal of actions and observations that the checks use.

package soak

import (
	"sync"
	"time"

	"ebonyferry/internal/core/bundle"
)

// span is the time during which an action or a state lasted.
type span struct {
	kind     Kind
	target   string
	from, to time.Time // to is zero while it lasts
}

func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// change is a change of the configuration that a node confirmed.
type change struct {
	at          time.Time
	revision    bundle.Revision
	description string
}

// sighting is a revision that a node reported when it was polled.
type sighting struct {
	at       time.Time
	revision bundle.Revision
}

// journal records actions, changes and observed revisions. It is safe for concurrent use.
type journal struct {
	mu        sync.Mutex
	spans     []*span               // guarded by mu
	changes   []change              // guarded by mu
	sightings map[string][]sighting // by node; guarded by mu
	notes     []string              // such as refused changes; guarded by mu
}

func newJournal() *journal { return &journal{sightings: make(map[string][]sighting)} }

// beginSpan records the start of a span and returns a function that ends it.
func (j *journal) beginSpan(kind Kind, target string) (end func()) {
	s := &span{kind: kind, target: target, from: time.Now()}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.spans = append(j.spans, s)
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		s.to = time.Now()
	}
}

func (j *journal) addChange(what string, revision bundle.Revision) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.changes = append(j.changes, change{at: time.Now(), revision: revision, description: what})
}

func (j *journal) addSighting(node string, revision bundle.Revision) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sightings[node] = append(j.sightings[node], sighting{at: time.Now(), revision: revision})
}

func (j *journal) addNote(text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.notes = append(j.notes, text)
}

// spansOf returns copies of the spans of a kind.
func (j *journal) spansOf(kind Kind) []span {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []span
	for _, s := range j.spans {
		if s.kind == kind {
			list = append(list, *s)
		}
	}
	return list
}

// disturbed reports whether an action of one of the kinds affected target between from and to.
func (j *journal) disturbed(target string, from, to time.Time, kinds ...Kind) bool {
	for _, kind := range kinds {
		for _, s := range j.spansOf(kind) {
			if s.target == target && s.overlaps(from, to) {
				return true
			}
		}
	}
	return false
}

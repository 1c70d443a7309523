package soak

import (
	"sync"
	"time"

	"ebonyferry/internal/core/bundle"
)

// This file defines the journal of what was done when, which the checks are made against.

// span is a stretch of time in which something was the case.
type span struct {
	kind     Kind
	target   string
	from, to time.Time // to is zero while it lasts
}

func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// accepted is a change of the configuration that a node confirmed.
type accepted struct {
	at       time.Time
	revision bundle.Revision
	what     string
}

// sighting is a revision that a node reported.
type sighting struct {
	at       time.Time
	revision bundle.Revision
}

// journal records. It is safe for concurrent use.
type journal struct {
	mu        sync.Mutex
	spans     []*span               // guarded by mu
	changes   []accepted            // guarded by mu
	sightings map[string][]sighting // by node; guarded by mu
	notes     []string              // operators' refused changes and the like; guarded by mu
}

func newJournal() *journal { return &journal{sightings: make(map[string][]sighting)} }

// begin records the start of a span and returns the function that ends it.
func (j *journal) begin(kind Kind, target string) (end func()) {
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

func (j *journal) accept(what string, revision bundle.Revision) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.changes = append(j.changes, accepted{at: time.Now(), revision: revision, what: what})
}

func (j *journal) see(node string, revision bundle.Revision) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sightings[node] = append(j.sightings[node], sighting{at: time.Now(), revision: revision})
}

func (j *journal) note(text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.notes = append(j.notes, text)
}

// ofKind returns the spans of a kind.
func (j *journal) ofKind(kind Kind) []span {
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

// troubled tells whether any of the kinds acted on target between from and to.
func (j *journal) troubled(target string, from, to time.Time, kinds ...Kind) bool {
	for _, kind := range kinds {
		for _, s := range j.ofKind(kind) {
			if s.target == target && s.overlaps(from, to) {
				return true
			}
		}
	}
	return false
}

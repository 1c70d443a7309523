package engine

import (
	"strings"
	"time"

	"ebonyferry/internal/core/bundle"
)

// This file defines how an engine misbehaves on request.

// BadKind is what a bad version does.
type BadKind string

// The kinds of bad version.
const (
	BadFails BadKind = "fails" // new requests are answered with an error
	BadSlows BadKind = "slows" // streams get a token only in each slowFactor-th step
)

const slowFactor = 8

// BadVersion makes one version bad. The conditions that are set must all hold for it to show.
type BadVersion struct {
	Version    bundle.ModelVersion
	Kind       BadKind
	After      time.Duration // shows only this long after the start of the engine
	MinStreams int           // shows only with at least so many streams on the engine
	Mark       string        // shows only for prompts that contain this, as one route's do
}

func (v BadVersion) shows(model bundle.ModelVersion, prompt string, age time.Duration, streams int) bool {
	return v.Version == model && age >= v.After && streams >= v.MinStreams && strings.Contains(prompt, v.Mark)
}

// MisbehaviourKind is what goes wrong in a stream.
type MisbehaviourKind string

// The kinds of misbehaviour.
const (
	MisbehaveRepeat  MisbehaviourKind = "repeat"  // the token is sent twice
	MisbehaveSkip    MisbehaviourKind = "skip"    // the token is left out
	MisbehaveForeign MisbehaviourKind = "foreign" // a token of another generation comes before it
	MisbehaveLate    MisbehaviourKind = "late"    // the token comes Delay later
	MisbehaveCut     MisbehaviourKind = "cut"     // the connection is cut before the token
)

// Misbehaviour makes streams go wrong at one token. A stream resumed behind that token is right.
type Misbehaviour struct {
	Kind  MisbehaviourKind // empty means none
	At    int              // index of the token
	Every int              // in each n-th generation; zero means in all
	Delay time.Duration    // for MisbehaveLate
}

func (m Misbehaviour) hits(serial, index int) bool {
	return m.Kind != "" && index == m.At && (m.Every <= 1 || serial%m.Every == 0)
}

// SetMisbehaviour replaces the misbehaviour of streams.
func (e *Engine) SetMisbehaviour(m Misbehaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.misbehaviour = m
}

// SetBadVersions replaces the list of bad versions.
func (e *Engine) SetBadVersions(bad ...BadVersion) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bad = bad
}

// SetLeaving makes the load reports say that the engine is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Tells whether a bad version of the given kind shows for a prompt now. The caller holds e.mu.
func (e *Engine) badShows(b *boot, kind BadKind, model bundle.ModelVersion, prompt string) bool {
	for _, v := range e.bad {
		if v.Kind == kind && v.shows(model, prompt, time.Since(b.startedAt), b.streams()) {
			return true
		}
	}
	return false
}

// This file defines the faults that tests and experiments can set: bad versions and misbehaving streams.

package engine

import (
	"strings"
	"time"

	"ebonyferry/internal/core/bundle"
)

// BadKind is how a bad version fails.
type BadKind string

// The kinds of bad version.
const (
	BadFails BadKind = "fails" // new requests are answered with an error
	BadSlows BadKind = "slows" // streams get a token only in every slowFactor-th step
)

const slowFactor = 8

// BadVersion makes one version bad while all conditions hold that are set.
type BadVersion struct {
	Version    bundle.ModelVersion
	Kind       BadKind
	After      time.Duration // bad only this long after the engine booted
	MinStreams int           // bad only while the engine has at least this many streams
	Mark       string        // bad only for prompts that contain this text, which can stand for one route
}

func (v BadVersion) applies(model bundle.ModelVersion, prompt string, age time.Duration, streams int) bool {
	return v.Version == model && age >= v.After && streams >= v.MinStreams && strings.Contains(prompt, v.Mark)
}

// MisbehaviourKind is how a stream misbehaves.
type MisbehaviourKind string

// The kinds of misbehaviour.
const (
	MisbehaveRepeat  MisbehaviourKind = "repeat"  // the token is sent twice
	MisbehaveSkip    MisbehaviourKind = "skip"    // the token is not sent
	MisbehaveForeign MisbehaviourKind = "foreign" // a token of another generation is sent before the token
	MisbehaveLate    MisbehaviourKind = "late"    // the token is sent Delay later
	MisbehaveCut     MisbehaviourKind = "cut"     // the connection is cut before the token
)

// Misbehaviour makes streams misbehave at one token. A stream resumed after that token is correct.
type Misbehaviour struct {
	Kind  MisbehaviourKind // empty means none
	At    int              // index of the token
	Every int              // only in generations whose serial is a multiple of it; zero means in all
	Delay time.Duration    // for MisbehaveLate
}

func (m Misbehaviour) appliesTo(serial, index int) bool {
	return m.Kind != "" && index == m.At && (m.Every <= 1 || serial%m.Every == 0)
}

// SetMisbehaviour replaces the misbehaviour. It applies to running streams too.
func (e *Engine) SetMisbehaviour(m Misbehaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.misbehaviour = m
}

// SetBadVersions replaces the list of bad versions.
func (e *Engine) SetBadVersions(bad ...BadVersion) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.badVersions = bad
}

// SetLeaving sets whether load reports say that the engine is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// badVersionApplies reports whether a bad version of the given kind affects a prompt now. The caller holds e.mu.
func (e *Engine) badVersionApplies(b *boot, kind BadKind, model bundle.ModelVersion, prompt string) bool {
	for _, v := range e.badVersions {
		if v.Kind == kind && v.applies(model, prompt, time.Since(b.startedAt), b.streams()) {
			return true
		}
	}
	return false
}

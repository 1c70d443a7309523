// Package event defines the numbered log events of ebonyferry.
//
// Every line that a program logs is an Event of this package with its fields, written by Log. Each area of the program
// has a range of numbers and a file here. Numbers are never reused. docs/events.md is generated from Catalogue, and a
// test fails when it is stale.
package event

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/apex/log"
)

// Event is one kind of log line.
type Event struct {
	Number int       // unique, stable across releases; its range identifies the area
	Name   string    // camelCase, unique
	Level  log.Level // level at which it is logged
	Doc    string    // what happened and what, if anything, an operator should do about it
}

// Fields holds the values of one log line. Keys are camelCase. Values must not contain secrets (keys, tokens, prompts).
type Fields = log.Fields

var catalogue []Event

// define registers an event. It is called only to initialize package-level variables, so a duplicate number or name
// panics at program start, which every test run shows.
func define(number int, name string, level log.Level, doc string) Event {
	for _, e := range catalogue {
		if e.Number == number || e.Name == name {
			panic(fmt.Sprintf("event %d %q is already defined as %d %q", number, name, e.Number, e.Name))
		}
	}
	e := Event{Number: number, Name: name, Level: level, Doc: doc}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events, ordered by number.
func Catalogue() []Event {
	all := slices.Clone(catalogue)
	slices.SortFunc(all, func(a, b Event) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

// Log writes e with the given fields to l.
func Log(l log.Interface, e Event, fields Fields) {
	entry := l.WithFields(fields).WithField("event", e.Number)
	switch e.Level {
	case log.DebugLevel:
		entry.Debug(e.Name)
	case log.WarnLevel:
		entry.Warn(e.Name)
	case log.ErrorLevel, log.FatalLevel:
		entry.Error(e.Name)
	default:
		entry.Info(e.Name)
	}
}

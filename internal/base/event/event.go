// Package event defines the numbered log events of ebonyferry.
//
// Every line that a program logs is one Event from this package with typed fields. The events of one area
// stand in one file; numbers are never reused. docs/events.md is generated from Catalogue, and a test fails
// when it is stale.
package event

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/apex/log"
)

// Event is one kind of log line.
type Event struct {
	Number int       // unique, stable across releases; the hundreds digit names the area
	Name   string    // camelCase, unique
	Level  log.Level // level at which it is logged
	Doc    string    // what happened and what, if anything, an operator does about it
}

// Fields carries the values of one log line. Keys are camelCase. Secrets (keys, tokens, prompts) never
// appear as values.
type Fields = log.Fields

var catalogue []Event

// Registers an event. It is called from package-level variables only; a repeated number or name panics at
// program start, which every test run shows.
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

// Catalogue returns all events in order of number.
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

// Package exit holds the exit codes that all programs share, and errors that carry one.
package exit

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
)

// Code is a process exit code.
type Code int

// The exit codes.
const (
	Done     Code = 0 // the command did what was asked
	Failed   Code = 1 // the command failed, or a check did not hold
	Usage    Code = 2 // the command line or a file given on it is wrong
	Refused  Code = 3 // the system refused the request
	TimedOut Code = 4 // the outcome was not reached in time
)

// codeKey is the key under which an error carries its code.
type codeKey struct{}

// With gives err an exit code. A nil err stays nil.
func With(code Code, err error) error {
	return merry.Wrap(err, merry.WithValue(codeKey{}, code), merry.NoCaptureStack())
}

// CodeOf returns the code that a program whose command returned err ends with: that of With, TimedOut for a
// deadline, else Failed.
func CodeOf(err error) Code {
	if err == nil {
		return Done
	}
	if code, ok := merry.Value(err, codeKey{}).(Code); ok {
		return code
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return TimedOut
	}
	return Failed
}

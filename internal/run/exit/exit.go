// Package exit defines the exit codes that all programs share, and attaches them to errors.
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
	Done     Code = 0 // the command succeeded
	Failed   Code = 1 // the command failed, or a check did not hold
	Usage    Code = 2 // the command line, or a file that it names, is invalid
	Refused  Code = 3 // the system refused the request
	TimedOut Code = 4 // the outcome was not reached in time
)

// codeKey is the key of an error's exit code.
type codeKey struct{}

// With returns err with an exit code, or nil if err is nil.
func With(code Code, err error) error {
	return merry.Wrap(err, merry.WithValue(codeKey{}, code), merry.NoCaptureStack())
}

// CodeOf returns the exit code for the error of a command: the code that With attached, TimedOut for a deadline that
// was exceeded, Failed for any other error, or Done for nil.
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

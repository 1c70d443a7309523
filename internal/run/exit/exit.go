// Package exit holds the exit codes that all programs share, and errors that carry one.
package exit

import (
	"context"
	"errors"
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

// Error is an error with the exit code that the program ends with.
type Error struct {
	Code Code
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the error without its code.
func (e *Error) Unwrap() error { return e.Err }

// With gives err an exit code. A nil err stays nil.
func With(code Code, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Code: code, Err: err}
}

// CodeOf returns the code that a program whose command returned err ends with: that of With, TimedOut for a
// deadline, else Failed.
func CodeOf(err error) Code {
	var e *Error
	switch {
	case err == nil:
		return Done
	case errors.As(err, &e):
		return e.Code
	case errors.Is(err, context.DeadlineExceeded):
		return TimedOut
	}
	return Failed
}

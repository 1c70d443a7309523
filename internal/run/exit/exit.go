// Package exit holds the exit codes that all programs share.
package exit

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

// Package bug reports states that the program's own logic rules out.
//
// A report does not stop the process: it is counted, kept with the place in the source that made it, and
// handed to the installed handler. Tests fail when Count is not zero after a run.
package bug

import (
	"fmt"
	"path/filepath"
	"runtime"
	"sync"
)

// Report describes one impossible state.
type Report struct {
	Place   string // file and line of the caller, as "file.go:12"
	Message string
}

var (
	mu      sync.Mutex
	handler func(Report)   // guarded by mu
	counts  map[string]int // reports by place; guarded by mu
)

// Handle installs fn as the receiver of later reports. A nil fn removes it.
func Handle(fn func(Report)) {
	mu.Lock()
	defer mu.Unlock()
	handler = fn
}

// Reportf records an impossible state at the caller's place.
func Reportf(format string, args ...any) {
	_, file, line, _ := runtime.Caller(1)
	rep := Report{
		Place:   fmt.Sprintf("%s:%d", filepath.Base(file), line),
		Message: fmt.Sprintf(format, args...),
	}
	if fn := record(rep.Place); fn != nil {
		fn(rep)
	}
}

// Counts a report at place and returns the handler to call outside the lock.
func record(place string) func(Report) {
	mu.Lock()
	defer mu.Unlock()
	if counts == nil {
		counts = make(map[string]int)
	}
	counts[place]++
	return handler
}

// Count returns the number of reports since the process started.
func Count() int {
	mu.Lock()
	defer mu.Unlock()
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

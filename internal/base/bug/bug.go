// Package bug reports states that the program's own logic rules out.
//
// A report does not stop the process. It is counted by the place in the source that made it, and passed to the handler
// that Handle installed. Tests fail if Count is not zero after a run.
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

// Handle installs fn as the handler of later reports, in place of any other. A nil fn removes the handler.
func Handle(fn func(Report)) {
	mu.Lock()
	defer mu.Unlock()
	handler = fn
}

// Reportf reports an impossible state at the source line of the caller.
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

// record counts a report at place and returns the handler, which the caller calls without the lock.
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

// Command standin2 plays the cases of the second independent review: it starts nodes of the project as processes, and is the store, the backend
// servers and the clients around them.
//
//	standin2 CASE FOLDER
//
// It writes what was sent, answered and run to FOLDER/record.txt. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in its environment it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"
)

// binary is the program of the deploy file.
const binary = "target/ebonyferry"

// trouble reports whether the disruption is played.
var trouble = os.Getenv("TROUBLE") != "0"

var plainClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// record is the file that a case writes.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

var rec record

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// errNothingServed means that the case shows nothing.
var errNothingServed = errors.New("nothing was served")

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name. Each gets a temporary folder.
var cases = map[string]func(dir string) error{}

func main() {
	runtime.LockOSThread() // Linux ends a node together with the thread that has started it
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return 2
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	rec.f, rec.start = f, time.Now()
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	err = cases[os.Args[1]](dir)
	switch {
	case err == nil:
		rec.printf("the rule held")
		return 0
	case errors.Is(err, errBroken):
		rec.printf("%v", err)
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	rec.printf("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return 2
}

// Command standin plays one case of the review: it starts nodes of ebonyferry as separate processes before stand-ins for the
// platform's store, backend servers and clients, and checks one rule of the users' pages.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// play plays a case and reports whether the rule held. Without trouble it leaves the disruption out.
type play func(rec *record, dir string, trouble bool) (held bool, err error)

var cases = map[string]play{
	"path": playPath, "rollout": playRollout, "quiet": playQuiet, "reclaim": playReclaim, "part": playPart, "poison": playPoison, "poison-resets": playPoisonResets, "cold": playCold, "twice": playTwice, "memory": playMemory, "hung": playHung,
}

// timeLimit ends a case that hangs.
const timeLimit = 112 * time.Second

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(playCase()) }

func playCase() int {
	name := flag.String("case", "", "case to play")
	dir := flag.String("dir", "", "temporary folder for settings and logs of the nodes")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	p, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	path, err := filepath.Abs(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	time.AfterFunc(timeLimit, func() { // the nodes end with this process
		rec.sayf("the case took over %v", timeLimit)
		rec.close()
		os.Exit(exitNotRun)
	})
	held, err := p(rec, *dir, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.sayf("the case could not run: %v", err)
		return exitNotRun
	case !held:
		rec.sayf("the rule was broken")
		return exitBroken
	}
	rec.sayf("the rule held")
	return exitHeld
}

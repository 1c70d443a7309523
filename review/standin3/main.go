// Command standin3 plays the scripts of the third review: it starts the project's nodes as processes of their own, and is their
// platform, their model servers and their clients. Usage: standin3 CASE PROGRAM RECORD.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in its
// environment it plays the case without the disruption.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// cases holds the scripts by name. Each returns what broke the rule, and an error if the case could not run.
var cases = map[string]func(b *bed) (broken []string, err error){
	"continuation": lostContinuation,
	"queue":        lostBesideTheQueue,
	"order":        rejectedOrder,
	"crash":        crashAfterOrder,
	"parts":        manyParts,
}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "server" {
		serveAlone(os.Args[2], os.Args[3], os.Args[4])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	b, err := newBed(os.Args[2], rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](b)
	b.end()
	for _, line := range broken {
		rec.add("", "check", "BROKEN: %s", line)
	}
	code := 0
	switch {
	case err != nil:
		rec.add("", "check", "the case could not run: %v", err)
		code = 2
	case len(broken) > 0:
		code = 1
	default:
		rec.add("", "check", "the rule held")
	}
	rec.close()
	os.Exit(code)
}

// record writes what was sent, answered and run.
type record struct {
	start time.Time
	mu    sync.Mutex
	out   *os.File
	spans []span
}

// span is the time in which a server worked on a request.
type span struct {
	id, server string
	from, to   time.Time // to is zero while the server works
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return recordTo(f), nil
}

func recordTo(f *os.File) *record { return &record{start: time.Now(), out: f} }

func (r *record) add(id, who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %-10s %s %s\n", time.Since(r.start).Seconds(), who, id, fmt.Sprintf(format, args...))
	_, _ = r.out.WriteString(line)
}

func (r *record) begin(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spans = append(r.spans, span{id: id, server: server, from: time.Now()})
}

func (r *record) end(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.spans {
		if s := &r.spans[i]; s.id == id && s.server == server && s.to.IsZero() {
			s.to = time.Now()
		}
	}
}

// together returns the pairs of servers that both worked on one request for longer than a time.
func (r *record) together(longer time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	end := func(s span) time.Time {
		if s.to.IsZero() {
			return time.Now()
		}
		return s.to
	}
	for i, a := range r.spans {
		for _, b := range r.spans[i+1:] {
			if a.id != b.id || a.server == b.server {
				continue
			}
			until := end(a)
			if end(b).Before(until) {
				until = end(b)
			}
			if d := until.Sub(b.from); d > longer {
				list = append(list, fmt.Sprintf("%s goes on at %s while %s still works on it, for %v", a.id, b.server, a.server, d.Round(time.Millisecond)))
			}
		}
	}
	return list
}

func (r *record) close() { _ = r.out.Close() }

// Package explain traces a request through the log lines of all nodes.
//
// A line belongs to the request's chain when it carries its id, or when it tells of a server that the request was at,
// around that time: that it drains, has gone or was not reachable, or that the node lost the store. The last line of
// the request itself names how it ended; the chain gives the cause.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"ebonyferry/internal/base/event"
)

// Line is one log line.
type Line struct {
	At     time.Time      `json:"at"`
	Node   string         `json:"node"`
	Number int            `json:"event"`
	Name   string         `json:"name"`
	Fields map[string]any `json:"fields"`
}

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// Read returns the log lines in r. Text before a line's first brace, such as a prefix that a collector writes, is
// passed over, and so is what is no log line.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		at := bytes.IndexByte(text, '{')
		if at < 0 {
			continue
		}
		if l, ok := parse(text[at:]); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("reading a log: %w", err)
	}
	return lines, nil
}

func parse(text []byte) (Line, bool) {
	var raw struct {
		Fields    map[string]any `json:"fields"`
		Timestamp time.Time      `json:"timestamp"`
		Message   string         `json:"message"`
	}
	if err := json.Unmarshal(text, &raw); err != nil || raw.Message == "" {
		return Line{}, false
	}
	number, ok := raw.Fields["event"].(float64)
	if !ok {
		return Line{}, false
	}
	node, _ := raw.Fields["node"].(string)
	return Line{At: raw.Timestamp, Node: node, Number: int(number), Name: raw.Message, Fields: raw.Fields}, true
}

// Trace is the chain of decisions about one request.
type Trace struct {
	Request string `json:"request"`
	Outcome string `json:"outcome"` // name of the event that ended it, empty when no line tells
	Cause   string `json:"cause"`
	Lines   []Line `json:"lines"`
}

// around is how far before a line of the request the news of a server counts as its context.
const contextMargin = 3 * time.Second

// Request returns the trace of a request.
func TraceRequest(lines []Line, id string) Trace {
	t := Trace{Request: id}
	var own []Line
	for _, l := range lines {
		if l.text("request") == id {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, byTime)
	if len(own) == 0 {
		t.Cause = "no line names this request: it reached no node that these logs are of, or was served among those that are summed up"
		return t
	}
	context := contextOf(lines, own)
	t.Lines = slices.Concat(own, context)
	slices.SortStableFunc(t.Lines, byTime)
	last := own[len(own)-1]
	if endEvents[last.Number] {
		t.Outcome = last.Name
	}
	t.Cause = cause(own, context)
	return t
}

func byTime(a, b Line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) }

// Events that end a request.
var endEvents = map[int]bool{
	event.RequestServed.Number: true, event.RequestRefused.Number: true, event.RequestFailed.Number: true, event.RequestAbandoned.Number: true,
}

// Events that tell of a server or a node around a request.
var contextEvents = map[int]bool{
	event.ServerGone.Number: true, event.ServerListed.Number: true, event.ServerUnreachable.Number: true,
	event.StoreLost.Number: true, event.NodeDraining.Number: true, event.DomainEvacuated.Number: true,
}

// Returns the news of the request's servers and node around its lines.
func contextOf(lines, own []Line) []Line {
	servers, node := make(map[string]bool), own[len(own)-1].Node
	for _, l := range own {
		servers[l.text("server")] = true
		servers[l.text("to")] = true
	}
	delete(servers, "")
	from, to := own[0].At.Add(-contextMargin), own[len(own)-1].At
	if ms, ok := own[len(own)-1].Fields["tookMs"].(float64); ok {
		from = to.Add(-time.Duration(ms)*time.Millisecond - contextMargin)
	}
	var found []Line
	for _, l := range lines {
		if l.Node != node || !contextEvents[l.Number] || l.At.Before(from) || l.At.After(to) || l.text("request") != "" {
			continue
		}
		if server := l.text("server"); server != "" && !servers[server] {
			continue
		}
		if l.Number == event.ServerListed.Number && l.Fields["draining"] != true {
			continue
		}
		found = append(found, l)
	}
	return found
}

func (l Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Causes by the reason in a request's last line.
var causeOfReason = map[string]string{
	"notReady":     "the node held no config yet",
	"draining":     "the node was stopping and would have ended before the answer",
	"noRoute":      "no route of the config in force matched host and path",
	"noAccount":    "the key was of no client account in the config in force",
	"noServer":     "the service had no usable server",
	"overloaded":   "no server had room in time",
	"notRun":       "the servers that were asked said that they did not run it",
	"timeout":      "the server did not answer before the route's timeout or the caller's deadline",
	"lost":         "the connection to the server ended without an answer; the request may have run",
	"broken":       "the stream broke and no copy could continue it",
	"callerLeft":   "the caller closed its connection",
	"badRequest":   "the request had no id",
	"bodyTooLarge": "the body was over the config's limit",
	"bodyNotRead":  "the body did not arrive in time",
}

// Returns the cause in words.
func cause(own, context []Line) string {
	last := own[len(own)-1]
	text := causeOfReason[last.text("reason")]
	switch {
	case text == "" && last.Number == event.RequestServed.Number:
		text = describeServed(last)
	case text == "":
		return "the request was in hand when these logs end, or its node was killed: no line tells its end"
	}
	var because []string
	for _, l := range own[:len(own)-1] {
		because = append(because, describeEvent(l))
	}
	for _, l := range context {
		because = append(because, describeEvent(l))
	}
	because = distinctNonEmpty(because)
	if len(because) == 0 {
		return text
	}
	return text + "; before that, " + strings.Join(because, "; ")
}

// Returns the texts that are not empty, each once.
func distinctNonEmpty(texts []string) []string {
	seen := map[string]bool{"": true}
	return slices.DeleteFunc(texts, func(s string) bool {
		again := seen[s]
		seen[s] = true
		return again
	})
}

// Returns the end of an error's text, which names the last cause.
func lastCause(cause string) string {
	parts := strings.Split(strings.TrimRight(cause, ": "), ": ")
	return parts[len(parts)-1]
}

func describeServed(l Line) string {
	if late, _ := l.Fields["late"].(bool); late {
		return fmt.Sprintf("it was served late: it waited %v ms for a place, and its answer began after %v ms", l.Fields["waitedMs"], l.Fields["firstMs"])
	}
	if status, _ := l.Fields["status"].(float64); status >= 400 {
		return fmt.Sprintf("the backend server %s answered with status %v, which was passed on", l.text("server"), status)
	}
	return "it was served"
}

// Returns what one line says of the request's way.
func describeEvent(l Line) string {
	switch l.Number {
	case event.StreamContinued.Number:
		return fmt.Sprintf("its stream went on from %s to %s after %v ms", l.text("server"), l.text("to"), l.Fields["pauseMs"])
	case event.StreamLost.Number:
		return fmt.Sprintf("its stream on %s ended (%s)", l.text("server"), l.text("cause"))
	case event.MoveFailed.Number:
		return fmt.Sprintf("it could not be moved off %s (%s)", l.text("server"), lastCause(l.text("cause")))
	case event.RequestRepeated.Number:
		return fmt.Sprintf("%s failed it (%s)", l.text("server"), lastCause(l.text("cause")))
	case event.ServerGone.Number:
		return fmt.Sprintf("server %s left the store", l.text("server"))
	case event.ServerListed.Number:
		return fmt.Sprintf("server %s was draining", l.text("server"))
	case event.ServerUnreachable.Number:
		return fmt.Sprintf("server %s was unreachable (%s)", l.text("server"), lastCause(l.text("cause")))
	case event.StoreLost.Number:
		return "the node had lost the store"
	case event.NodeDraining.Number:
		return "the node was told to stop"
	case event.DomainEvacuated.Number:
		return fmt.Sprintf("failure domain %s was evacuated (%v)", l.text("domain"), l.Fields["on"])
	}
	return ""
}

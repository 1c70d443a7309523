// Package explain traces a request through the logs of all nodes and states why it ended as it did.
//
// [Read] parses the logs and [TraceRequest] selects the lines of one request. These are the lines with the request's ID
// and, as context, the lines that its last node logged around that time about itself and the request's servers: that a
// server drained, was removed or was unreachable, that the node stopped or lost the store, or that a failure domain was
// evacuated. The last line with the request's ID gives the outcome, and the lines before it and the context the cause.
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

// Line is a parsed log line.
type Line struct {
	At     time.Time      `json:"at"`
	Node   string         `json:"node"`
	Number int            `json:"event"`
	Name   string         `json:"name"`
	Fields map[string]any `json:"fields"`
}

// maxLineBytes is the largest length of a log line.
const maxLineBytes = 1 << 20

// Read returns the log lines in r. It ignores text before the first brace of a line, such as the prefix of a log
// collector, and lines that are not log lines.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
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
		return nil, fmt.Errorf("reading log: %w", err)
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

// Trace describes what happened to one request.
type Trace struct {
	Request string `json:"request"`
	Outcome string `json:"outcome"` // name of the event that ended it; empty if no line shows the end
	Cause   string `json:"cause"`
	Lines   []Line `json:"lines"` // of the request and its context, by time
}

// contextMargin is how long the context starts before the request. The request's start is the time of its last line less
// that line's field tookMs, or the time of its first line if there is no such field.
const contextMargin = 3 * time.Second

// TraceRequest returns the trace of the request with the given ID.
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
		t.Cause = "no line names this request: it reached none of the nodes that wrote these logs, or it was served and only counted in a summary line"
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
	if t.Outcome == "" {
		if restart, ok := restartAfter(lines, last); ok {
			t.Lines = append(t.Lines, restart)
			t.Cause = causeOfRestart(last, restart)
		}
	}
	return t
}

// restartAfter returns the first line after l that says that l's node started again.
func restartAfter(lines []Line, l Line) (Line, bool) {
	var first Line
	for _, s := range lines {
		if s.Number == event.NodeStarted.Number && s.Node == l.Node && s.At.After(l.At) && (first.At.IsZero() || s.At.Before(first.At)) {
			first = s
		}
	}
	return first, !first.At.IsZero()
}

// causeOfRestart describes the end of a request whose last line is last and whose node then started again.
func causeOfRestart(last, restart Line) string {
	text := fmt.Sprintf("its node %s stopped without a line about its end and started again at %s", last.Node, restart.At.Format(time.TimeOnly))
	server := last.text("to")
	if server == "" {
		server = last.text("server")
	}
	if server == "" {
		return text
	}
	return text + "; it ran on " + server
}

func byTime(a, b Line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) }

// endEvents are the events that end a request.
var endEvents = map[int]bool{
	event.RequestServed.Number: true, event.RequestRefused.Number: true, event.RequestFailed.Number: true, event.RequestAbandoned.Number: true,
}

// contextEvents are the events about a server or the node that may have affected a request.
var contextEvents = map[int]bool{
	event.ServerGone.Number: true, event.ServerListed.Number: true, event.ServerUnreachable.Number: true,
	event.StoreLost.Number: true, event.NodeDraining.Number: true, event.DomainEvacuated.Number: true,
}

// contextOf returns the lines about the request's servers and its last node around the time of its own lines.
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

// text returns a field that holds a string, or an empty string.
func (l Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// causeOfReason describes the reason in a request's last line.
var causeOfReason = map[string]string{
	"notReady":     "the node had no configuration yet",
	"draining":     "the node was stopping and would have exited before the answer",
	"noRoute":      "no route of the current configuration matched the host and path",
	"noAccount":    "the key belonged to no client account of the current configuration",
	"noServer":     "the service had no usable server",
	"overloaded":   "no server had capacity in time",
	"accountShare": "no memory was free in time, and its account had received more than its share",
	"notRun":       "the servers that received it answered that they did not run it",
	"timeout":      "the server did not answer before the route's timeout or the caller's deadline",
	"withheld":     "its server may have run it, and gave a status that says that it has not run",
	"stopped":      "its node stopped before the server's answer was complete; the request may have run",
	"lost":         "the connection to the server ended without an answer; the request may have run",
	"broken":       "the stream broke and no copy could continue it",
	"callerLeft":   "the caller closed its connection",
	"badRequest":   "the request had no ID",
	"bodyTooLarge": "the body exceeded the configured limit",
	"bodyNotRead":  "the body did not arrive in time",
}

// cause returns a sentence about why the request ended as it did.
func cause(own, context []Line) string {
	last := own[len(own)-1]
	text := causeOfReason[last.text("reason")]
	switch {
	case text == "" && last.Number == event.RequestServed.Number:
		text = describeServed(last)
	case text == "":
		return "the request was in flight when these logs end, or its node was killed: no line shows how it ended"
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

// distinctNonEmpty returns the texts without empty ones and repetitions.
func distinctNonEmpty(texts []string) []string {
	seen := map[string]bool{"": true}
	return slices.DeleteFunc(texts, func(s string) bool {
		again := seen[s]
		seen[s] = true
		return again
	})
}

// lastCause returns the last part of an error's text, which names the root cause.
func lastCause(cause string) string {
	parts := strings.Split(strings.TrimRight(cause, ": "), ": ")
	return parts[len(parts)-1]
}

func describeServed(l Line) string {
	if late, _ := l.Fields["late"].(bool); late {
		return fmt.Sprintf("it was served late: it waited %v ms for capacity, and its answer began after %v ms", l.Fields["waitedMs"], l.Fields["firstMs"])
	}
	if status, _ := l.Fields["status"].(float64); status >= 400 {
		return fmt.Sprintf("the backend server %s answered with status %v, which was passed on", l.text("server"), status)
	}
	if l.text("end") == "closed" {
		return fmt.Sprintf("it was served; nothing but the close of the connection by %s marked the end of the stream", l.text("server"))
	}
	return "it was served"
}

// describeEnd describes a line about the end of a stream that needed a decision.
func describeEnd(l Line) string {
	whole := "whole"
	if l.Fields["whole"] != true {
		whole = "not whole"
	}
	after := ""
	if last := l.text("lastEvent"); last != "" {
		after = " after event " + last
	}
	return fmt.Sprintf("its answer on %s was found %s%s (end %s, run %s, server %s)",
		l.text("server"), whole, after, l.text("end"), l.text("stop"), l.text("asked"))
}

// describeEvent describes what a line says about the request, or returns an empty string if it says nothing.
func describeEvent(l Line) string {
	switch l.Number {
	case event.StreamContinued.Number:
		return fmt.Sprintf("its stream continued from %s to %s after %v ms", l.text("server"), l.text("to"), l.Fields["pauseMs"])
	case event.StreamLost.Number:
		return fmt.Sprintf("its stream on %s ended (%s)", l.text("server"), l.text("cause"))
	case event.MoveFailed.Number:
		return fmt.Sprintf("it could not be moved off %s (%s)", l.text("server"), lastCause(l.text("cause")))
	case event.RunStopOrdered.Number:
		return fmt.Sprintf("%s was asked to stop its run (%s)", l.text("server"), l.text("answer"))
	case event.StreamEndJudged.Number:
		return describeEnd(l)
	case event.RequestRepeated.Number:
		return fmt.Sprintf("%s failed it (%s)", l.text("server"), lastCause(l.text("cause")))
	case event.ServerGone.Number:
		return fmt.Sprintf("server %s was removed from the store", l.text("server"))
	case event.ServerListed.Number:
		return fmt.Sprintf("server %s was draining", l.text("server"))
	case event.ServerUnreachable.Number:
		return fmt.Sprintf("server %s was unreachable (%s)", l.text("server"), lastCause(l.text("cause")))
	case event.StoreLost.Number:
		return "the node had lost the store"
	case event.NodeDraining.Number:
		return "the node was asked to stop"
	case event.DomainEvacuated.Number:
		return fmt.Sprintf("failure domain %s was evacuated (%v)", l.text("domain"), l.Fields["on"])
	}
	return ""
}

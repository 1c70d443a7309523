package explain

import (
	"strings"
	"testing"
)

const logs = `
  9.6 front-a {"fields":{"event":432,"node":"a","server":"s1","draining":true},"level":"info","timestamp":"2026-01-01T00:00:09Z","message":"serverListed"}
not a log line {
{"fields":{"event":432,"node":"a","server":"s3","draining":true},"level":"info","timestamp":"2026-01-01T00:00:09Z","message":"serverListed"}
{"fields":{"event":433,"node":"b","server":"s1"},"level":"info","timestamp":"2026-01-01T00:00:09Z","message":"serverGone"}
{"fields":{"event":422,"node":"a","server":"s1","request":"r1","cause":"no room"},"level":"warn","timestamp":"2026-01-01T00:00:10Z","message":"moveFailed"}
{"fields":{"event":421,"node":"a","server":"s1","request":"r1","cause":"EOF"},"level":"warn","timestamp":"2026-01-01T00:00:11Z","message":"streamLost"}
{"fields":{"event":402,"node":"a","server":"s1","request":"r1","reason":"broken","tookMs":5000},"level":"warn","timestamp":"2026-01-01T00:00:11Z","message":"requestFailed"}
{"fields":{"event":401,"node":"a","request":"r2","reason":"overloaded","tookMs":900},"level":"info","timestamp":"2026-01-01T00:00:20Z","message":"requestRefused"}
{"fields":{"event":400,"node":"a","request":"r3","server":"s2","status":200,"late":true,"waitedMs":700,"firstMs":2100},"level":"info","timestamp":"2026-01-01T00:00:20Z","message":"requestServed"}
{"fields":{"event":400,"node":"a","request":"r4","server":"s2","status":500},"level":"info","timestamp":"2026-01-01T00:00:20Z","message":"requestServed"}
{"fields":{"event":405,"node":"a","request":"r5","server":"s2","streams":3},"level":"info","timestamp":"2026-01-01T00:00:21Z","message":"generationPlaced"}
{"fields":{"event":405,"node":"c","request":"r6","server":"s2","streams":3},"level":"info","timestamp":"2026-01-01T00:00:21Z","message":"generationPlaced"}
{"fields":{"event":424,"node":"a","request":"r7","server":"s2","to":"s3","for":"move","answer":"lost"},"level":"info","timestamp":"2026-01-01T00:00:06Z","message":"runStopOrdered"}
{"fields":{"event":425,"node":"a","request":"r7","server":"s2","end":"closed","stop":"maybeStopped","asked":"notAsked","whole":false,"lastEvent":"78"},"level":"info","timestamp":"2026-01-01T00:00:06Z","message":"streamEndJudged"}
{"fields":{"event":400,"node":"a","request":"r7","server":"s3","status":200,"end":"closed"},"level":"info","timestamp":"2026-01-01T00:00:07Z","message":"requestServed"}
{"fields":{"event":100,"node":"a"},"level":"info","timestamp":"2026-01-01T00:00:05Z","message":"nodeStarted"}
{"fields":{"event":100,"node":"b"},"level":"info","timestamp":"2026-01-01T00:00:23Z","message":"nodeStarted"}
{"fields":{"event":100,"node":"a"},"level":"info","timestamp":"2026-01-01T00:00:24Z","message":"nodeStarted"}
`

func TestCauses(t *testing.T) {
	lines, err := Read(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		id, outcome, cause string
		lines              int
	}{
		{"r1", "requestFailed", "the stream broke and no copy could continue it; before that, it could not be moved off s1 (no room); its stream on s1 ended (EOF); server s1 was draining", 4},
		{"r2", "requestRefused", "no server had capacity in time", 1},
		{"r3", "requestServed", "it was served late: it waited 700 ms for capacity, and its answer began after 2100 ms", 1},
		{"r4", "requestServed", "the backend server s2 answered with status 500, which was passed on", 1},
		{"r5", "", "its node a stopped without a line about its end and started again at 00:00:24; it ran on s2", 2},
		{"r6", "", "the request was in flight when these logs end, or its node was killed: no line shows how it ended", 1},
		{"r7", "requestServed", "it was served; nothing but the close of the connection by s3 marked the end of the stream; before that, s2 was asked to stop its run (lost); its answer on s2 was found not whole after event 78 (end closed, run maybeStopped, server notAsked)", 3},
		{"r9", "", "no line names this request: it reached none of the nodes that wrote these logs, or it was served and only counted in a summary line", 0},
	}
	for _, tt := range tests {
		got := TraceRequest(lines, tt.id)
		if got.Outcome != tt.outcome || got.Cause != tt.cause || len(got.Lines) != tt.lines {
			t.Errorf("%s: got %q, %q with %d lines; want %q, %q with %d", tt.id, got.Outcome, got.Cause, len(got.Lines), tt.outcome, tt.cause, tt.lines)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add(logs)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := Read(strings.NewReader(text))
		if err != nil {
			return
		}
		for _, l := range lines {
			TraceRequest(lines, l.text("request"))
		}
	})
}

package stall

import (
	"testing"
	"time"
)

func TestDetector(t *testing.T) {
	now := time.Now()
	var d Detector
	if d.Check(now.Add(time.Hour)) {
		t.Error("before the first tick: got a stall, want none")
	}
	d.Tick(now)
	if now = now.Add(Limit - time.Millisecond); d.Tick(now) {
		t.Error("ticks within the limit: got a stall, want none")
	}
	now = now.Add(Limit)
	if !d.Check(now) {
		t.Error("no tick within the limit: got no stall")
	}
	if d.Check(now) || d.Tick(now) {
		t.Error("the same stall was reported twice")
	}
	// The monotonic clock of a suspended VM may stand still. Without a monotonic reading the wall clock alone counts.
	if !d.Check(now.Round(0).Add(5 * time.Second)) {
		t.Error("the wall clock alone has gone on: got no stall")
	}
	if d.Tick(now.Round(0).Add(-time.Hour)) {
		t.Error("the wall clock was set back: got a stall, want none")
	}
}

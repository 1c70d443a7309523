package stall

import (
	"testing"
	"time"
)

func TestRecorder(t *testing.T) {
	var r Recorder
	start := time.Now()
	if got := r.Arrival(start); !got.Equal(start) {
		t.Errorf("without a tick: got %v after the read, want the read", got.Sub(start))
	}
	r.Tick(start.Add(shortStall - 1))
	read := start.Add(2*shortStall - 2)
	if got := r.Arrival(read); !got.Equal(read) {
		t.Errorf("ticks within the limit: got %v before the read, want the read", read.Sub(got))
	}
	woke := read.Add(shortStall)
	for _, after := range []time.Duration{0, readDelay - 1} {
		if got := r.Arrival(woke.Add(after)); !got.Equal(read) {
			t.Errorf("%v after a stall: got %v after its start, want its start", after, got.Sub(read))
		}
	}
	if now := woke.Add(readDelay); !r.Arrival(now).Equal(now) {
		t.Errorf("%v after a stall: want the read", readDelay)
	}
}

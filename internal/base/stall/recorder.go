package stall

import "time"

const (
	// shortStall is the time without a tick from which a [Recorder] records a stall. Its loop ticks several times as often.
	shortStall = 250 * time.Millisecond
	// readDelay is how long after a stall a goroutine may still read what arrived during it.
	readDelay = 100 * time.Millisecond
)

// Recorder remembers the last stall, also one that is too short for a [Detector], so that data which waited meanwhile is
// not taken for recent. The zero value has seen no tick. It is not safe for concurrent use.
type Recorder struct {
	last     time.Time // of the last tick
	from, to time.Time // the last stall; to is not before from
}

// Tick records that the process runs.
func (r *Recorder) Tick(now time.Time) {
	if !r.last.IsZero() && now.Sub(r.last) >= shortStall {
		r.from, r.to = r.last, now
	}
	r.last = now
}

// Arrival returns the earliest time at which data that the process reads now may have arrived: the start of a stall that has
// just ended, and now otherwise. It counts as a tick.
func (r *Recorder) Arrival(now time.Time) time.Time {
	r.Tick(now)
	if now.Sub(r.to) < readDelay {
		return r.from
	}
	return now
}

// Package stall detects that the process did not run for a while: it was stopped by a signal, or its VM was suspended.
//
// After a stall everything that the process knows is old, and permissions that it holds may have run out. A loop calls
// [Detector.Tick] at a short period. [Detector.Check], called before the process acts, reports whether it has just
// resumed, even if the loop has not run again yet.
package stall

import "time"

// Limit is the time without a tick from which the process counts as stalled. It is far above the delays of a busy VM.
const Limit = time.Second

// Detector detects stalls. The zero value has seen no tick and reports none. It is not safe for concurrent use.
type Detector struct {
	last time.Time // time of the last tick
}

// Tick records that the process runs, and reports whether it had stalled since the last tick or check.
func (d *Detector) Tick(now time.Time) bool {
	stalled := d.Check(now)
	d.last = now
	return stalled
}

// Check reports whether the process has stalled since the last tick. It reports each stall once.
//
// The monotonic clock may not count the time during which a VM is suspended, and the wall clock may be set back, so the
// longer of both times counts. A wall clock that is set forward counts as a stall.
func (d *Detector) Check(now time.Time) bool {
	if d.last.IsZero() || max(now.Sub(d.last), now.Round(0).Sub(d.last.Round(0))) < Limit {
		return false
	}
	d.last = now
	return true
}

package duty

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Report is the usage of one window. It is never changed once the store holds it.
type Report struct {
	Window uint64 `json:"window"`
	Counts Counts `json:"counts"`
}

// Stored is the entry of the store that holds the newest reports. No window up to Closed is ever summed again.
type Stored struct {
	Closed uint64   `json:"closed"`
	Open   []Report `json:"open"` // those that the writer did not know to be acknowledged
}

// DecodeStored decodes the entry. Errors wrap ErrMalformed.
func DecodeStored(value []byte) (Stored, error) {
	var s Stored
	if err := json.Unmarshal(value, &s); err != nil {
		return Stored{}, fmt.Errorf("%w: reports: %w", ErrMalformed, err)
	}
	for _, r := range s.Open {
		if r.Window > s.Closed || len(r.Counts) > maxAccounts {
			return Stored{}, fmt.Errorf("%w: report of window %d with %d accounts, closed up to %d", ErrMalformed, r.Window, len(r.Counts), s.Closed)
		}
	}
	return s, nil
}

// History is what a node knows of the reports that the store held. It survives a store that comes back without them. It is not safe for
// concurrent use.
type History struct {
	closed  uint64
	reports map[uint64]Report
	done    map[uint64]bool // acknowledged by the platform, or given up
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{reports: make(map[uint64]Report), done: make(map[uint64]bool)}
}

// Learn adds an entry of the store. Reports up to its last closed window that it lacks were acknowledged to its writer, or given up.
func (h *History) Learn(s Stored) {
	for k := range h.reports {
		if k <= s.Closed && !slices.ContainsFunc(s.Open, func(r Report) bool { return r.Window == k }) {
			h.done[k] = true
		}
	}
	h.Remember(s)
}

// Remember adds reports that the store holds or held, as another node remembers them.
func (h *History) Remember(s Stored) {
	h.closed = max(h.closed, s.Closed)
	for _, r := range s.Open {
		if _, ok := h.reports[r.Window]; !ok {
			h.reports[r.Window] = r
		}
	}
}

// Closed returns the last window that must not be summed again, or 0.
func (h *History) Closed() uint64 { return h.closed }

// Done records that a report was acknowledged, or was given up.
func (h *History) Done(window uint64) { h.done[window] = true }

// Open returns the reports that were not acknowledged to this node, oldest first.
func (h *History) Open() []Report {
	var list []Report
	for _, k := range slices.Sorted(maps.Keys(h.reports)) {
		if !h.done[k] {
			list = append(list, h.reports[k])
		}
	}
	return list
}

// Known returns all remembered reports from a window on, and the last closed window.
func (h *History) Known(from uint64) Stored {
	s := Stored{Closed: h.closed}
	for _, k := range slices.Sorted(maps.Keys(h.reports)) {
		if k >= from {
			s.Open = append(s.Open, h.reports[k])
		}
	}
	return s
}

// Next returns the entry to write: what this node has not seen acknowledged, with further reports.
func (h *History) Next(more []Report) Stored {
	s := Stored{Closed: h.closed, Open: append(h.Open(), more...)}
	for _, r := range more {
		s.Closed = max(s.Closed, r.Window)
	}
	return s
}

// Forget drops the reports of windows before one.
func (h *History) Forget(before uint64) {
	maps.DeleteFunc(h.reports, func(k uint64, _ Report) bool { return k < before })
	maps.DeleteFunc(h.done, func(k uint64, _ bool) bool { return k < before })
}

// Closing decides when the holder sums a window.
type Closing struct {
	Windows Windows
	After   time.Duration // from the end of the window until it is summed if all nodes have reported
	Latest  time.Duration // from the end of the window until it is summed although a few requests may be missing
	GiveUp  time.Duration // from the end of the window until it is not reported any more
	Off     float64       // largest estimated share that may be missing
}

// closeReserve is what a report needs after a window is summed: two calls to the store and one to the platform.
const closeReserve = 2500 * time.Millisecond

// NewClosing returns the times for reports that are due some time after the end of their window and may be off by a share. A successor of the
// holder needs two times to live until it acts, and a second for the calls; windows are summed that long before they are due.
func NewClosing(w Windows, due, ttl time.Duration, off float64) Closing {
	after := min(max(due-2*ttl-time.Second, due/5), due/2)
	return Closing{
		Windows: w, After: after, Latest: max(after, due-closeReserve),
		GiveUp: MaxAge - w.Length - 2*time.Second, // earlier than the counts are dropped
		Off:    off / 2,                           // the estimate may be wrong itself
	}
}

// Verdict is what happens to a window.
type Verdict int

// The verdicts.
const (
	Later Verdict = iota // counts may still arrive
	Sum
	Skip // a missing report does less harm than a wrong one
)

// Judge returns what happens to a window now.
func (c Closing) Judge(window uint64, coverage Coverage, now time.Time) Verdict {
	age := now.Sub(c.Windows.End(window))
	switch {
	case age < c.After:
		return Later
	case coverage.Share == 0 || age >= c.Latest && coverage.Share <= c.Off:
		return Sum
	case age >= c.GiveUp:
		return Skip
	}
	return Later
}

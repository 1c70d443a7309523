package exchange

import (
	"sync/atomic"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/route"
)

// This file defines what the runtime tells operators: metrics, and one line for the end of each request.

// Observer takes measurements. Classes are few; accounts are bounded by the observer.
type Observer interface {
	Request(class, account, result string)
	FirstEvent(class, account string, d time.Duration)
	EventGap(class, account string, d time.Duration)
}

// WithObserver sets where measurements go.
func WithObserver(o Observer) Option { return func(rt *Runtime) { rt.observer = o } }

// silent is the observer of a runtime without one.
type silent struct{}

func (silent) Request(string, string, string)           {}
func (silent) FirstEvent(string, string, time.Duration) {}
func (silent) EventGap(string, string, time.Duration)   {}

// Classes of requests.
var classes = map[route.Kind]string{
	route.Repeatable: "repeatable", route.NonRepeatable: "nonRepeatable", route.Stream: "stream",
}

// classNone is the class of requests that match no route.
const classNone = "none"

// counters are totals since the start.
type counters struct {
	continued atomic.Int64 // streams that went on elsewhere
	lost      atomic.Int64 // streams that broke for good
	unsaid    atomic.Int64 // served requests without a line of their own, since the last summary
}

// Totals are what a runtime has done since its start, and what it does now.
type Totals struct {
	InFlight, Waiting int
	Continued, Lost   int64
	ConfigVersion     uint64
}

// Totals returns the totals now.
func (rt *Runtime) Totals() Totals {
	t := Totals{InFlight: rt.InFlight(), Continued: rt.count.continued.Load(), Lost: rt.count.lost.Load(), ConfigVersion: rt.version()}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	t.Waiting = len(rt.waiting.list)
	return t
}

// maxServedLines is how many served requests get a line of their own in a second. The others are summed up; refusals
// and failures always have theirs.
const maxServedLines = 50

// servedLines bounds the lines of served requests. It has one owner.
type servedLines struct {
	second time.Time
	lines  int
}

// Allow reports whether a served request gets a line of its own, and whether a second has passed.
func (s *servedLines) allow(now time.Time) (own, summary bool) {
	if now.Sub(s.second) >= time.Second {
		s.second, s.lines = now, 0
		summary = true
	}
	s.lines++
	return s.lines <= maxServedLines, summary
}

// Logs and counts the end of an exchange.
func (rt *Runtime) logEnd(req *Request, class, account string, target time.Duration, res Result) {
	late := target > 0 && res.First > target
	result := string(res.Reason)
	if result == "" {
		result = "served"
	}
	rt.observer.Request(class, account, result)
	ev := event.RequestServed
	switch {
	case res.Reason == ReasonCallerLeft:
		ev = event.RequestAbandoned
	case res.Reason != "" && res.Reason.NotRun():
		ev = event.RequestRefused
	case res.Reason != "":
		ev = event.RequestFailed
	case !late && !rt.hasLine():
		return
	}
	fields := event.Fields{"request": req.ID, "path": req.Path, "class": class, "tookMs": time.Since(req.Arrived).Milliseconds()}
	if account != "" {
		fields["account"] = account
	}
	if res.Reason != "" {
		fields["reason"] = result
		fields["configVersion"] = rt.version()
	}
	if res.Server != "" {
		fields["server"] = res.Server
	}
	if res.Status != 0 {
		fields["status"] = res.Status
	}
	if late {
		fields["late"], fields["waitedMs"], fields["firstMs"] = true, res.Waited.Milliseconds(), res.First.Milliseconds()
	}
	if res.Events > 0 {
		fields["events"] = res.Events
	}
	event.Log(rt.log, ev, fields)
}

// Returns the version of the config in force, or 0.
func (rt *Runtime) version() uint64 {
	if cfg := rt.config.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// Reports whether a served request gets a line, and logs how many had none in the last second.
func (rt *Runtime) hasLine() bool {
	rt.mu.Lock()
	own, summary := rt.served.allow(time.Now())
	rt.mu.Unlock()
	if !own {
		rt.count.unsaid.Add(1)
	}
	if summary {
		if n := rt.count.unsaid.Swap(0); n > 0 {
			event.Log(rt.log, event.RequestsServed, event.Fields{"requests": n})
		}
	}
	return own
}

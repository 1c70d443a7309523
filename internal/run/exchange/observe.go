// This file defines what the runtime reports to operators: metrics, and one log line at the end of each request.

package exchange

import (
	"errors"
	"sync/atomic"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/route"
)

// Observer receives measurements. An implementation that keeps them by account must limit the number of accounts.
type Observer interface {
	RecordRequest(class, account, result string)
	RecordFirstEvent(class, account string, d time.Duration)
	RecordEventGap(class, account string, d time.Duration)
}

// WithObserver sets the observer that receives measurements.
func WithObserver(o Observer) Option { return func(rt *Runtime) { rt.observer = o } }

// WithUsage sets a function that is called once for each request that began to run, with its client account, which is empty on public
// routes. A stream begins with its first event; one that the caller resumes began before. A call that a server answered began when it was
// sent.
func WithUsage(fn func(account string, began time.Time)) Option {
	return func(rt *Runtime) { rt.usage = fn }
}

// recordUsage calls the function of WithUsage, if there is one.
func (rt *Runtime) recordUsage(adm *Admitted, began time.Time) {
	if rt.usage != nil && adm.ResumeFrom == "" {
		rt.usage(adm.Account, began)
	}
}

// noopObserver is the observer of a runtime without one.
type noopObserver struct{}

func (noopObserver) RecordRequest(string, string, string)           {}
func (noopObserver) RecordFirstEvent(string, string, time.Duration) {}
func (noopObserver) RecordEventGap(string, string, time.Duration)   {}

// classes maps kinds of routes to the classes of their requests.
var classes = map[route.Kind]string{
	route.Repeatable: "repeatable", route.NonRepeatable: "nonRepeatable", route.Stream: "stream",
}

// classNone is the class of requests that match no route.
const classNone = "none"

// counters are totals since the start, except for unlogged.
type counters struct {
	continued atomic.Int64 // streams that continued at another server
	lost      atomic.Int64 // streams that broke off and could not be continued
	malformed atomic.Int64 // answers that were no valid answer
	closed    atomic.Int64 // complete streams whose end only the close of the connection marks
	withheld  atomic.Int64 // complete answers that a refusal replaced
	unlogged  atomic.Int64 // served requests without a log line, since the last summary
}

// Totals are counts since the start of a runtime, and its current state.
type Totals struct {
	InFlight, Waiting int
	Continued, Lost   int64
	Malformed         int64 // answers of servers that were no valid answer
	Closed            int64 // complete streams whose end only the close of their connections marks
	Withheld          int64 // complete answers that would have assured callers wrongly that their requests had not run
	LimitedServers    int   // servers that name a rate which they accept
	Unreachable       int   // servers to which this node's last connection failed
	ConfigVersion     uint64
	Speeds            SpeedTotals
	Sharing           SharingTotals
}

// SharingTotals are counts since the start of what was shared while memory was scarce.
type SharingTotals struct {
	GrantedUrgent, GrantedOther int64         // tokens granted to urgency 0 and to all others
	RefusedUrgent, RefusedOther int64         // tokens of requests refused early
	RefusedForShare             int64         // requests refused early for their account's share
	BelowHalf                   int           // accounts that wait now and received less than half of their share
	PredictedWait, ActualWait   time.Duration // of the requests that were placed after a predicted wait
}

// Totals returns the current totals.
func (rt *Runtime) Totals() Totals {
	t := Totals{
		InFlight: rt.InFlight(), ConfigVersion: rt.version(),
		Continued: rt.count.continued.Load(), Lost: rt.count.lost.Load(), Malformed: rt.count.malformed.Load(), Closed: rt.count.closed.Load(),
		Withheld: rt.count.withheld.Load(),
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	t.Waiting = len(rt.waiting.list)
	t.LimitedServers = rt.limitedServers()
	t.Unreachable = rt.tracker.CountUnreachable()
	t.Speeds = rt.speeds.totals(time.Now())
	t.Sharing = rt.demand.count
	t.Sharing.BelowHalf = rt.demand.belowHalf(time.Now())
	return t
}

// maxServedLines is how many requests that were served in time are logged individually in a second. The others are
// counted in a summary. Refusals, failures and late answers are always logged.
const maxServedLines = 50

// lineLimit limits the log lines of one event. It is not safe for concurrent use.
type lineLimit struct {
	second time.Time
	lines  int
}

// take reports whether there is a line left of the most that are logged in a second, and whether a summary is due.
func (s *lineLimit) take(now time.Time, most int) (own, summary bool) {
	if now.Sub(s.second) >= time.Second {
		s.second, s.lines = now, 0
		summary = true
	}
	s.lines++
	return s.lines <= most, summary
}

// logEnd logs and counts the end of an exchange.
func (rt *Runtime) logEnd(req *Request, class, account string, target time.Duration, res Result) {
	late := target > 0 && res.First > target
	result := string(res.Reason)
	if result == "" {
		result = "served"
	}
	rt.observer.RecordRequest(class, account, result)
	ev := event.RequestServed
	switch {
	case res.Reason == ReasonCallerLeft:
		ev = event.RequestAbandoned
	case res.Reason != "" && res.Reason.NotRun():
		ev = event.RequestRefused
	case res.Reason != "":
		ev = event.RequestFailed
	case !late && !rt.takeServedLine():
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
	if res.End != "" {
		fields["end"] = res.End
	}
	event.Log(rt.log, ev, fields)
}

// maxPlacedLines is how many placed generations are logged in a second.
const maxPlacedLines = 50

// logPlaced logs where a generation is sent to. A node that fails takes its streams with it, and this line is then all
// that says where they ran.
func (rt *Runtime) logPlaced(adm *Admitted, g grant) {
	if adm.Service.Engine == nil {
		return
	}
	rt.mu.Lock()
	own, _ := rt.placedLog.take(time.Now(), maxPlacedLines)
	rt.mu.Unlock()
	if !own {
		return
	}
	fields := event.Fields{
		"request": adm.ID, "server": g.server.ID, "waitedMs": time.Since(adm.Arrived).Milliseconds(), "streams": g.seen.Streams,
		"runTokens": g.seen.RunTokens, "prefillTokens": g.seen.PrefillTokens, "loadsAgeMs": g.seenAge.Milliseconds(),
	}
	if g.copy != nil {
		fields["copy"] = g.copy.ID
	}
	event.Log(rt.log, event.GenerationPlaced, fields)
}

// maxStopLines is how many requests to stop a run are logged in a second.
const maxStopLines = 50

// logStopOrder logs a server's answer to a request to stop a run.
func (rt *Runtime) logStopOrder(id string, from, to backend.Server, why stopCause, began time.Time, err error) {
	rt.mu.Lock()
	own, _ := rt.stopLog.take(time.Now(), maxStopLines)
	rt.mu.Unlock()
	if !own {
		return
	}
	fields := event.Fields{
		"request": id, "server": from.ID, "to": to.ID, "for": string(why), "answer": answerToStop(err), "tookMs": time.Since(began).Milliseconds(),
	}
	if err != nil {
		fields["cause"] = err.Error()
	}
	event.Log(rt.log, event.RunStopOrdered, fields)
}

// answerToStop names a server's answer to a request to stop a run.
func answerToStop(err error) string {
	switch {
	case err == nil:
		return "stopped"
	case errors.Is(err, ErrNoRoom):
		return "stoppedNotCopied"
	case errors.Is(err, ErrNoRun):
		return "noSuchRun"
	case errors.Is(err, ErrNotSent):
		return "notSent"
	case errors.Is(err, ErrNotRun):
		return "refused"
	}
	return "lost"
}

// version returns the version of the current configuration, or 0.
func (rt *Runtime) version() uint64 {
	if cfg := rt.config.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// takeServedLine reports whether a served request gets its own log line. Once a second it logs how many got none.
func (rt *Runtime) takeServedLine() bool {
	rt.mu.Lock()
	own, summary := rt.servedLog.take(time.Now(), maxServedLines)
	rt.mu.Unlock()
	if !own {
		rt.count.unlogged.Add(1)
	}
	if summary {
		if n := rt.count.unlogged.Swap(0); n > 0 {
			event.Log(rt.log, event.RequestsServed, event.Fields{"requests": n})
		}
	}
	return own
}

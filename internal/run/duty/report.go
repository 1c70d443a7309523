// This file defines how the holder of the usage duty sums windows, keeps the reports in the store and sends them.

package duty

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/duty"
	"ebonyferry/internal/edge/kvstore"
)

const (
	// reportsKey is the entry of the store that holds the newest reports. One write in each window replaces it.
	reportsKey = keyPrefix + "usage/reports"
	// reportPeriod is how often the holder looks for windows to sum and reports to send.
	reportPeriod = 250 * time.Millisecond
	// reportTimeout bounds one call with a report.
	reportTimeout = 1500 * time.Millisecond
	// reportRetry is the time between two calls after one that failed, and between two attempts to write.
	reportRetry = 500 * time.Millisecond
	// clockSlack is how far the clocks of two nodes may differ at most.
	clockSlack = time.Second
	// pullGap is the least time between two questions for the counts of a window.
	pullGap = time.Second
	// maxRefused is how often the platform may refuse a report before it is dropped.
	maxRefused = 3
	// historyAge is how long reports are remembered. Until then a store that came back without them does not make them be summed again.
	historyAge = 2 * time.Minute
)

// reporter is the state of reportUsage. Its fields belong to that goroutine.
type reporter struct {
	token    uint64           // of the term in which revision was read
	synced   bool             // revision is that of the entry, as far as is known
	revision kvstore.Revision // of the entry; 0 if there is none
	closed   uint64           // last window that the entry closes
	learned  kvstore.Revision // of the last entry that was learned from the node's copy of the store
	nextTry  time.Time
	pulled   map[uint64]time.Time // when the counts of a window were last asked for
	refused  map[uint64]int       // how often the platform refused the report of a window
}

// reportUsage sums and sends reports while this node holds the duty, until ctx ends.
func (s *Service) reportUsage(ctx context.Context) error {
	for pause.For(ctx, reportPeriod) {
		s.learnReports(ctx)
		s.stepReports(ctx)
	}
	return nil
}

// learnReports remembers the reports in the node's copy of the store if this node is a candidate. Other nodes ask the candidates when they
// become one.
func (s *Service) learnReports(ctx context.Context) {
	if s.rank() < 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	entry, ok, err := s.mirror.Lookup(ctx, reportsKey)
	if err != nil || !ok || entry.Revision == s.report.learned {
		return
	}
	s.report.learned = entry.Revision
	_ = s.learn(entry)
}

// learn remembers the reports of an entry of the store, and returns the last window that it closes.
func (s *Service) learn(entry kvstore.Entry) uint64 {
	stored, err := duty.DecodeStored(entry.Value)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if err == nil && !s.closedAhead(stored.Closed, now) {
		s.history.Learn(stored)
		s.history.Forget(s.windows.At(now.Add(-historyAge)))
		return stored.Closed
	}
	fields := event.Fields{"key": entry.Key, "revision": entry.Revision}
	if err != nil {
		fields["cause"] = err.Error()
	}
	event.Log(s.log, event.UsageUnreadable, fields)
	// It may have held reports of all windows that a node with a slightly different clock may have summed.
	s.history.Remember(duty.Stored{Closed: s.windows.At(now.Add(clockSlack-s.closing.After)) - 1})
	return 0
}

// closedAhead reports whether a last closed window has not even ended. A valid one has.
func (s *Service) closedAhead(closed uint64, now time.Time) bool { return closed > s.windows.At(now) }

// stepReports does what is due now, if this node may act.
func (s *Service) stepReports(ctx context.Context) {
	term, remaining := s.acting(duty.Usage)
	if remaining <= 0 || time.Now().Before(s.report.nextTry) {
		return
	}
	if term.Token != s.report.token {
		s.report.token, s.report.synced = term.Token, false
	}
	if !s.report.synced && !s.readReports(ctx) {
		return
	}
	s.closeWindows(ctx)
	s.sendReports(ctx)
}

// readReports reads the entry from the store itself: the node's copy may be older than what another holder wrote last.
func (s *Service) readReports(ctx context.Context) bool {
	entry, err := s.store.Get(ctx, reportsKey)
	s.report.closed = 0
	switch {
	case err == nil:
		s.report.closed = s.learn(entry)
	case !errors.Is(err, kvstore.ErrNotFound):
		s.logUnstored(err)
		return false
	}
	s.report.revision, s.report.synced = entry.Revision, true
	return true
}

func (s *Service) logUnstored(err error) {
	s.report.nextTry = time.Now().Add(reportRetry)
	event.Log(s.log, event.UsageUnstored, event.Fields{"cause": err.Error()})
}

// closeWindows sums the windows that are complete, oldest first, and writes the reports to the store.
func (s *Service) closeWindows(ctx context.Context) {
	var reports []duty.Report
	var covered []duty.Coverage
	closed := s.firstOpen()
	for k := closed; k != 0; k++ {
		now := s.now()
		if now.Sub(s.windows.End(k)) < s.closing.After {
			break
		}
		if time.Since(s.report.pulled[k]) > pullGap {
			s.report.pulled[k] = time.Now()
			s.pull(ctx, k)
		}
		if s.knownClosed(k) {
			continue // another node remembers the report
		}
		report, coverage, verdict := s.judge(k)
		if verdict == duty.Later {
			break
		}
		if verdict == duty.Skip {
			s.drop(k, k, "the counts of too many requests did not arrive")
			s.closeThrough(k)
			continue
		}
		reports, covered = append(reports, report), append(covered, coverage)
	}
	if len(reports) > 0 || s.storeLostReports() {
		s.storeReports(ctx, reports, covered)
	}
}

// storeLostReports reports whether this node remembers reports that the store came back without. They are written again, so that no
// node sums their windows anew.
func (s *Service) storeLostReports() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report.closed < s.history.Closed() && len(s.history.Open()) > 0
}

// firstOpen returns the first window that was not closed and can still be summed, or 0 if no window was counted yet.
func (s *Service) firstOpen() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.windows.At(s.now().Add(-duty.MaxAge)) + 1
	for k := range s.report.pulled {
		if k < oldest {
			delete(s.report.pulled, k)
			delete(s.report.refused, k)
		}
	}
	if closed := s.history.Closed(); closed != 0 {
		return max(closed+1, oldest)
	}
	if first := s.table.First(); first != 0 {
		return max(first, oldest)
	}
	return 0
}

func (s *Service) knownClosed(window uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return window <= s.history.Closed()
}

func (s *Service) closeThrough(window uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Remember(duty.Stored{Closed: window})
}

// judge returns the report of a window, and whether it is final.
func (s *Service) judge(window uint64) (duty.Report, duty.Coverage, duty.Verdict) {
	var names []string
	for _, p := range s.fleet.Nodes() {
		names = append(names, p.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	coverage := s.table.Coverage(window, names, now)
	return duty.Report{Window: window, Counts: s.table.Sum(window)}, coverage, s.closing.Judge(window, coverage, now)
}

// storeReports writes reports to the store. After any error the entry is read before the next attempt: a write whose answer was lost may have
// taken effect, and its counts are then the ones to send.
func (s *Service) storeReports(ctx context.Context, reports []duty.Report, covered []duty.Coverage) {
	term, remaining := s.acting(duty.Usage)
	if remaining <= 0 || term.Token != s.report.token {
		return
	}
	s.mu.Lock()
	next := s.history.Next(reports)
	s.mu.Unlock()
	value, err := json.Marshal(next)
	if err == nil {
		s.report.revision, err = s.store.CompareAndSwap(ctx, reportsKey, s.report.revision, value, 0)
	}
	if err != nil {
		s.report.synced = false
		s.logUnstored(err)
		return
	}
	s.report.closed = next.Closed
	s.mu.Lock()
	s.history.Learn(next)
	s.mu.Unlock()
	for i, r := range reports {
		c := covered[i]
		event.Log(s.log, event.UsageSummed, event.Fields{"window": r.Window, "nodes": len(c.Reported), "missing": c.Missing, "share": c.Share})
	}
}

// sendReports sends the stored reports that were not acknowledged, oldest first. Each call ends before the node may not act any more.
func (s *Service) sendReports(ctx context.Context) {
	s.mu.Lock()
	open := s.history.Open()
	s.mu.Unlock()
	for _, r := range open {
		age := s.now().Sub(s.windows.End(r.Window))
		if age > historyAge {
			continue
		}
		term, remaining := s.acting(duty.Usage)
		if remaining <= 0 || term.Token != s.report.token {
			return
		}
		call, cancel := context.WithTimeout(ctx, min(remaining, reportTimeout))
		err := s.client.ReportUsage(call, term, r)
		cancel()
		if err != nil {
			s.recordFailure(r.Window, err)
			return
		}
		s.recordReported(r, age)
	}
}

func (s *Service) recordReported(r duty.Report, age time.Duration) {
	requests := 0
	for _, n := range r.Counts {
		requests += n
	}
	s.mu.Lock()
	s.history.Done(r.Window)
	s.totals.Reported++
	s.totals.LastReport = time.Now()
	s.mu.Unlock()
	event.Log(s.log, event.UsageReported, event.Fields{
		"window": r.Window, "requests": requests, "accounts": len(r.Counts), "ageMs": age.Milliseconds(),
	})
}

func (s *Service) recordFailure(window uint64, err error) {
	s.report.nextTry = time.Now().Add(reportRetry)
	s.mu.Lock()
	s.totals.Failed++
	s.mu.Unlock()
	event.Log(s.log, event.UsageUnreported, event.Fields{"window": window, "cause": err.Error()})
	if !errors.Is(err, ErrRefused) {
		return
	}
	s.report.refused[window]++
	if s.report.refused[window] >= maxRefused {
		s.mu.Lock()
		s.history.Done(window)
		s.mu.Unlock()
		s.drop(window, window, err.Error())
	}
}

func (s *Service) drop(first, last uint64, cause string) {
	s.mu.Lock()
	s.totals.Dropped += int(last - first + 1)
	s.mu.Unlock()
	event.Log(s.log, event.UsageDropped, event.Fields{"first": first, "last": last, "cause": cause})
}

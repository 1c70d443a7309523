package dispatch

import (
	"sync/atomic"
	"time"

	"ebonyferry/internal/base/bug"
	"ebonyferry/internal/core/admission"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/warmup"
	"ebonyferry/internal/edge/caller"
)

// slot is a slot that the scheduler granted on a backend server. It implements caller.Slot.
type slot struct {
	d         *Dispatcher
	ticket    *admission.Ticket
	server    bundle.Server
	meter     *meter
	tokens    atomic.Int64
	lastToken atomic.Int64 // arrival of the latest token in Unix nanoseconds
	done      atomic.Bool
}

// Server implements caller.Slot.
func (s *slot) Server() bundle.Server { return s.server }

// Version implements caller.Slot.
func (s *slot) Version() string { return s.ticket.Version }

func (s *slot) generated() int { return int(s.tokens.Load()) }

// RecordToken implements caller.Slot.
func (s *slot) RecordToken(index int) {
	now := time.Now()
	last := s.lastToken.Swap(now.UnixNano())
	if int64(index) < s.tokens.Load() {
		return // sent again after a resume
	}
	s.tokens.Store(int64(index) + 1)
	if index == 0 || last == 0 {
		s.recordFirstToken(now)
		return
	}
	s.meter.addToken(time.Duration(now.UnixNano()-last), s.d.targetGap)
}

func (s *slot) recordFirstToken(now time.Time) {
	s.meter.firstTokens.Add(1)
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.scheduler.RecordFirstToken(s.ticket, now)
}

// Done implements caller.Slot.
func (s *slot) Done(outcome caller.Outcome) {
	if s.done.Swap(true) {
		bug.Reportf("slot on server %s was released twice", s.server.ID)
		return
	}
	s.meter.running.Add(-1)
	s.d.mu.Lock()
	now := time.Now()
	crash, verdicts := s.d.scheduler.Done(s.ticket, outcomeOf(outcome), s.generated(), now)
	s.d.poll(now)
	s.d.mu.Unlock()
	if crash != nil {
		s.d.broadcast.reportCrash(*crash, verdicts)
	}
}

func outcomeOf(o caller.Outcome) admission.Outcome {
	switch o {
	case caller.OutcomeFinished:
		return admission.Finished
	case caller.OutcomeCanceled:
		return admission.Canceled
	case caller.OutcomeNotRun:
		return admission.NotRun
	case caller.OutcomeOverloaded:
		return admission.Rejected
	case caller.OutcomeInterrupted:
		return admission.Interrupted
	}
	return admission.Failed
}

// meter counts the tokens of one server between two collections. It is safe for concurrent use.
type meter struct {
	tokens, late, gapSum, firstTokens atomic.Int64
	running                           atomic.Int64 // slots granted and not released
}

func (m *meter) addToken(gap, target time.Duration) {
	m.tokens.Add(1)
	m.gapSum.Add(int64(gap))
	if gap > target {
		m.late.Add(1)
	}
}

// collect returns the counts since the last call and resets them.
func (m *meter) collect() warmup.Evidence {
	return warmup.Evidence{
		Tokens:      int(m.tokens.Swap(0)),
		Late:        int(m.late.Swap(0)),
		GapSum:      time.Duration(m.gapSum.Swap(0)),
		FirstTokens: int(m.firstTokens.Swap(0)),
	}
}

// meter returns the counters of a server. The caller holds mu.
func (d *Dispatcher) meter(server string) *meter {
	m := d.meters[server]
	if m == nil {
		m = new(meter)
		d.meters[server] = m
	}
	return m
}

// Running returns the number of running streams by server, without the servers that have none.
func (d *Dispatcher) Running() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	running := make(map[string]int)
	for id, m := range d.meters {
		if n := m.running.Load(); n > 0 {
			running[id] = int(n)
		}
	}
	return running
}

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

// This file defines a granted place and the counters that its tokens go into.

// place implements caller.Place.
type place struct {
	d      *Dispatcher
	ticket *admission.Ticket
	server bundle.Server
	meter  *meter
	tokens atomic.Int64
	last   atomic.Int64 // Unix nanoseconds of the latest token
	done   atomic.Bool
}

// Server implements caller.Place.
func (p *place) Server() bundle.Server { return p.server }

// Version implements caller.Place.
func (p *place) Version() string { return p.ticket.Version }

func (p *place) generated() int { return int(p.tokens.Load()) }

// Token implements caller.Place.
func (p *place) Token(index int) {
	now := time.Now()
	last := p.last.Swap(now.UnixNano())
	if int64(index) < p.tokens.Load() {
		return // sent again after a resume
	}
	p.tokens.Store(int64(index) + 1)
	if index == 0 || last == 0 {
		p.first(now)
		return
	}
	p.meter.add(time.Duration(now.UnixNano()-last), p.d.gap)
}

func (p *place) first(now time.Time) {
	p.meter.firsts.Add(1)
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	p.d.scheduler.RecordFirstToken(p.ticket, now)
}

// Done implements caller.Place.
func (p *place) Done(outcome caller.Outcome) {
	if p.done.Swap(true) {
		bug.Reportf("place on server %s was given back twice", p.server.ID)
		return
	}
	p.meter.running.Add(-1)
	p.d.mu.Lock()
	now := time.Now()
	crash, verdicts := p.d.scheduler.Done(p.ticket, outcomeOf(outcome), p.generated(), now)
	p.d.poll(now)
	p.d.mu.Unlock()
	if crash != nil {
		p.d.spread.crashed(*crash, verdicts)
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
	case caller.OutcomeDied:
		return admission.Interrupted
	}
	return admission.Failed
}

// meter counts the tokens of one server between two collections. It is safe for concurrent use.
type meter struct {
	tokens, late, gapSum, firsts atomic.Int64
	running                      atomic.Int64 // places granted and not given back
}

func (m *meter) add(gap, target time.Duration) {
	m.tokens.Add(1)
	m.gapSum.Add(int64(gap))
	if gap > target {
		m.late.Add(1)
	}
}

// Collect returns what was counted since the last call.
func (m *meter) collect() warmup.Evidence {
	return warmup.Evidence{
		Tokens:      int(m.tokens.Swap(0)),
		Late:        int(m.late.Swap(0)),
		GapSum:      time.Duration(m.gapSum.Swap(0)),
		FirstTokens: int(m.firsts.Swap(0)),
	}
}

// Meter returns the counters of a server. The caller holds mu.
func (d *Dispatcher) meter(server string) *meter {
	m := d.meters[server]
	if m == nil {
		m = new(meter)
		d.meters[server] = m
	}
	return m
}

// Running returns the number of streams under way by server, for servers that have some.
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

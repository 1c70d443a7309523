package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ebonyferry/internal/core/bundle"
)

// This file defines the experiment in which operators take a failure domain out of service and put it back.

const (
	moveOutAt = 4 * time.Minute
	moveInAt  = 7 * time.Minute
	// lastSpread is when the last node has a mark in force; the others have it in equal steps before.
	lastSpread = 2 * time.Second
	// shareWindow is over how long the part of the work that a failure domain gets is taken.
	shareWindow = 10 * time.Second
	// backPart is the part of its share from which a failure domain counts as back.
	backPart = 0.9
)

// MoveFigures are the measurements of a move away from a failure domain and back.
type MoveFigures struct {
	NewWorkAfterMs        int64   `json:"newWorkAfterMs"` // from the mark to the last request sent to the failure domain
	Lost                  int     `json:"lost"`           // requests under which a server ended, from the mark on
	RefusedBefore         int     `json:"refusedBefore"`
	Refused               int     `json:"refused"` // from the mark until the failure domain was put back
	RefusedAfter          int     `json:"refusedAfter"`
	FirstTokenP95MsBefore float64 `json:"firstTokenP95MsBefore"`
	FirstTokenP95MsDuring float64 `json:"firstTokenP95MsDuring"`
	FirstTokenP95MsAfter  float64 `json:"firstTokenP95MsAfter"`
	// BackToShareMs is from putting the failure domain back until, over 10 s, it had 9 in 10 of the part of the
	// requests that it had before the move; -1 when it never had.
	BackToShareMs int64 `json:"backToShareMs"`
	// ShareBefore and ShareAtEnd are the shares of the failure domain in the requests before the move and in the last
	// minute of arrivals.
	ShareBefore   float64 `json:"partBefore"`
	ShareAtEnd    float64 `json:"partAtEnd"`
	ColdOverloads int     `json:"coldOverloads"` // from putting it back on
}

// phase is a part of the experiment.
type phase int

const (
	before phase = iota
	during
	after
	phases
)

// mover is a policy that knows service marks.
type mover interface {
	// mark puts a failure domain out of service, or back, on one node.
	mark(node int, domain string, out bool)
}

// domainMove takes one of four failure domains out. Its servers restart, and are cold when they come back.
func domainMove(seed uint64) *scenario {
	sc := steady(14, 4, 0.6, seed)
	sc.moved = sc.servers[1].FailureDomain
	return sc
}

// moveTracker measures a move. A nil one measures nothing.
type moveTracker struct {
	s       *sim
	domain  string
	share   counted // of the requests before the move
	figures MoveFigures
	firsts  [phases]*hdrhistogram.Histogram
	atEnd   counted
	recent  []placed // in the last shareWindow
	inside  int      // of these, in the failure domain
	cold    int      // cold overloads before the failure domain was put back
}

// counted is how many of some requests went to the failure domain.
type counted struct{ all, inside int }

func (c *counted) add(inside bool) {
	c.all++
	if inside {
		c.inside++
	}
}

func (c counted) part() float64 { return float64(c.inside) / float64(max(c.all, 1)) }

// placed is one request sent to a server.
type placed struct {
	at     time.Duration
	inside bool
}

// Plans the move of a scenario that has one.
func (s *sim) planMove() {
	if s.scenario.moved == "" {
		return
	}
	m := &moveTracker{s: s, domain: s.scenario.moved, figures: MoveFigures{BackToShareMs: -1}}
	for i := range m.firsts {
		m.firsts[i] = newHistogram()
	}
	s.move = m
	for node := range nodes {
		lag := lastSpread * time.Duration(node+1) / nodes
		s.at(moveOutAt+lag, func() { s.policy.(mover).mark(node, m.domain, true) })
		s.at(moveInAt+lag, func() { s.policy.(mover).mark(node, m.domain, false) })
	}
	s.at(moveInAt-2*restartTime, m.restart)
	s.at(moveInAt, func() { m.cold = s.figures.ColdOverloads })
}

// Restarts the servers of the failure domain that have nothing running.
func (m *moveTracker) restart() {
	for _, e := range m.s.engines {
		if e.FailureDomain == m.domain && len(e.running)+len(e.waiting) == 0 {
			e.crash()
		}
	}
}

func (m *moveTracker) phase() phase {
	switch {
	case m.s.now < moveOutAt:
		return before
	case m.s.now < moveInAt:
		return during
	}
	return after
}

func (m *moveTracker) sent(e *engine) {
	if m == nil {
		return
	}
	now, inside := m.s.now, e.FailureDomain == m.domain
	if inside && m.phase() == during {
		m.figures.NewWorkAfterMs = (now - moveOutAt).Milliseconds()
	}
	if m.phase() == before {
		m.share.add(inside)
	}
	if left := m.s.scenario.end - now; left > 0 && left <= time.Minute {
		m.atEnd.add(inside)
	}
	m.recent = append(m.recent, placed{now, inside})
	if inside {
		m.inside++
	}
	for now-m.recent[0].at > shareWindow {
		if m.recent[0].inside {
			m.inside--
		}
		m.recent = m.recent[1:]
	}
	full := m.phase() == after && float64(m.inside) >= backPart*m.share.part()*float64(len(m.recent))
	if full && m.figures.BackToShareMs < 0 {
		m.figures.BackToShareMs = (now - moveInAt).Milliseconds()
	}
}

func (m *moveTracker) first(d time.Duration) {
	if m != nil {
		_ = m.firsts[m.phase()].RecordValue(max(1, d.Microseconds())) // below histMax
	}
}

func (m *moveTracker) refused() {
	if m == nil {
		return
	}
	switch m.phase() {
	case before:
		m.figures.RefusedBefore++
	case during:
		m.figures.Refused++
	default:
		m.figures.RefusedAfter++
	}
}

func (m *moveTracker) died() {
	if m != nil && m.phase() != before {
		m.figures.Lost++
	}
}

func (m *moveTracker) close(f *Figures) {
	if m == nil {
		return
	}
	p95 := func(p phase) float64 { return float64(m.firsts[p].ValueAtQuantile(95)) / 1000 }
	m.figures.FirstTokenP95MsBefore, m.figures.FirstTokenP95MsDuring, m.figures.FirstTokenP95MsAfter = p95(before), p95(during), p95(after)
	m.figures.ColdOverloads = f.ColdOverloads - m.cold
	m.figures.ShareBefore, m.figures.ShareAtEnd = m.share.part(), m.atEnd.part()
	f.Move = &m.figures
}

// mark implements mover.
func (f *ferry) mark(node int, domain string, out bool) {
	if node >= len(f.nodes) {
		return
	}
	in := &bundle.InForce{Bundle: bundle.Bundle{Servers: f.s.scenario.servers, Models: f.s.scenario.models}}
	if out {
		in.Head.OutOfService.FailureDomains = []string{domain}
	}
	f.nodes[node].Configure(in, len(f.nodes), node)
}

// mark implements mover.
func (p *sender) mark(node int, domain string, out bool) {
	p.out[node] = ""
	if out {
		p.out[node] = domain
	}
}

// This file defines the experiment in which operators take a failure domain out of service and put it back.

package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ebonyferry/internal/core/bundle"
)

const (
	moveOutAt = 4 * time.Minute // the failure domain is taken out of service
	moveInAt  = 7 * time.Minute // it is put back
	// markDelay is the time until the last node applies a mark. The others apply it at equal intervals before.
	markDelay = 2 * time.Second
	// shareWindow is the period over which the share of a failure domain in the requests is measured.
	shareWindow = 10 * time.Second
	// restoredShare is the fraction of its earlier share from which a failure domain counts as restored.
	restoredShare = 0.9
)

// MoveFigures holds the measurements of a move away from a failure domain and back.
type MoveFigures struct {
	NewWorkAfterMs        int64   `json:"newWorkAfterMs"` // from the mark to the last request sent to the failure domain
	Lost                  int     `json:"lost"`           // requests lost with their server, after the mark
	RefusedBefore         int     `json:"refusedBefore"`
	Refused               int     `json:"refused"` // from the mark until the failure domain was put back
	RefusedAfter          int     `json:"refusedAfter"`
	FirstTokenP95MsBefore float64 `json:"firstTokenP95MsBefore"`
	FirstTokenP95MsDuring float64 `json:"firstTokenP95MsDuring"`
	FirstTokenP95MsAfter  float64 `json:"firstTokenP95MsAfter"`
	// BackToShareMs is the time from putting the failure domain back until its share of the requests over 10 s was
	// 9/10 of that before the move; -1 if it never was.
	BackToShareMs int64 `json:"backToShareMs"`
	// ShareBefore and ShareAtEnd are the shares of the failure domain in the requests before the move and
	// in the last minute of arrivals.
	ShareBefore   float64 `json:"partBefore"`
	ShareAtEnd    float64 `json:"partAtEnd"`
	ColdOverloads int     `json:"coldOverloads"` // after the failure domain was put back
}

// phase is a phase of the move.
type phase int

const (
	before phase = iota
	during
	after
	phases
)

// serviceMarker is a policy that observes service marks.
type serviceMarker interface {
	// mark takes a failure domain out of service on one node, or puts it back.
	mark(node int, domain string, out bool)
}

// domainMove takes one of four failure domains out of service. Its servers restart, and are cold when it is put back.
func domainMove(seed uint64) *scenario {
	sc := steady(14, 4, 0.6, seed)
	sc.movedDomain = sc.servers[1].FailureDomain
	return sc
}

// moveTracker measures a move. A nil one measures nothing.
type moveTracker struct {
	s              *sim
	domain         string
	beforeMove     domainCount
	figures        MoveFigures
	firstTokens    [phases]*hdrhistogram.Histogram
	lastMinute     domainCount
	recent         []sentRequest // in the last shareWindow
	recentInDomain int           // requests in recent that went to the failure domain
	coldBefore     int           // cold overloads before the failure domain was put back
}

// domainCount counts requests, and those that went to the failure domain.
type domainCount struct{ all, inDomain int }

func (c *domainCount) add(inDomain bool) {
	c.all++
	if inDomain {
		c.inDomain++
	}
}

func (c domainCount) share() float64 { return float64(c.inDomain) / float64(max(c.all, 1)) }

// sentRequest is a request sent to a server.
type sentRequest struct {
	at       time.Duration
	inDomain bool
}

// planMove schedules the move of the scenario, if it has one.
func (s *sim) planMove() {
	if s.scenario.movedDomain == "" {
		return
	}
	m := &moveTracker{s: s, domain: s.scenario.movedDomain, figures: MoveFigures{BackToShareMs: -1}}
	for i := range m.firstTokens {
		m.firstTokens[i] = newHistogram()
	}
	s.move = m
	for node := range nodes {
		lag := markDelay * time.Duration(node+1) / nodes
		s.at(moveOutAt+lag, func() { s.policy.(serviceMarker).mark(node, m.domain, true) })
		s.at(moveInAt+lag, func() { s.policy.(serviceMarker).mark(node, m.domain, false) })
	}
	s.at(moveInAt-2*restartTime, m.restart)
	s.at(moveInAt, func() { m.coldBefore = s.figures.ColdOverloads })
}

// restart restarts the idle servers of the failure domain.
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

func (m *moveTracker) recordSent(e *engine) {
	if m == nil {
		return
	}
	now, inDomain := m.s.now, e.FailureDomain == m.domain
	if inDomain && m.phase() == during {
		m.figures.NewWorkAfterMs = (now - moveOutAt).Milliseconds()
	}
	if m.phase() == before {
		m.beforeMove.add(inDomain)
	}
	if left := m.s.scenario.end - now; left > 0 && left <= time.Minute {
		m.lastMinute.add(inDomain)
	}
	m.recent = append(m.recent, sentRequest{now, inDomain})
	if inDomain {
		m.recentInDomain++
	}
	for now-m.recent[0].at > shareWindow {
		if m.recent[0].inDomain {
			m.recentInDomain--
		}
		m.recent = m.recent[1:]
	}
	restored := m.phase() == after && float64(m.recentInDomain) >= restoredShare*m.beforeMove.share()*float64(len(m.recent))
	if restored && m.figures.BackToShareMs < 0 {
		m.figures.BackToShareMs = (now - moveInAt).Milliseconds()
	}
}

func (m *moveTracker) recordFirstToken(d time.Duration) {
	if m != nil {
		_ = m.firstTokens[m.phase()].RecordValue(max(1, d.Microseconds())) // below histMax
	}
}

func (m *moveTracker) recordRefused() {
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

func (m *moveTracker) recordLost() {
	if m != nil && m.phase() != before {
		m.figures.Lost++
	}
}

func (m *moveTracker) summarize(f *Figures) {
	if m == nil {
		return
	}
	p95 := func(p phase) float64 { return float64(m.firstTokens[p].ValueAtQuantile(95)) / 1000 }
	m.figures.FirstTokenP95MsBefore, m.figures.FirstTokenP95MsDuring, m.figures.FirstTokenP95MsAfter = p95(before), p95(during), p95(after)
	m.figures.ColdOverloads = f.ColdOverloads - m.coldBefore
	m.figures.ShareBefore, m.figures.ShareAtEnd = m.beforeMove.share(), m.lastMinute.share()
	f.Move = &m.figures
}

// mark implements serviceMarker.
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

// mark implements serviceMarker.
func (p *baseline) mark(node int, domain string, out bool) {
	p.outOfService[node] = ""
	if out {
		p.outOfService[node] = domain
	}
}

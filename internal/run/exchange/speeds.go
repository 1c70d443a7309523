// This file defines what a node knows of the speed of backend servers.

package exchange

import (
	"maps"
	"math"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/speed"
)

// ServerLoad is what a server says of its load in an answer.
type ServerLoad struct {
	Running, Waiting, Slots int
	Pace                    float64 // how long work takes there at the moment, where 1 is as usual; 0 if the server does not say
}

// OnLoad sets the functions that RecordLoad and RecordMalformedLoad call.
func (a *Admitted) OnLoad(load func(srv backend.Server, l ServerLoad), malformed func(srv backend.Server, text string)) {
	a.recordLoad, a.recordMalformedLoad = load, malformed
}

// RecordLoad records what a server said of its load in an answer to the request.
func (a *Admitted) RecordLoad(srv backend.Server, l ServerLoad) {
	if a.recordLoad != nil {
		a.recordLoad(srv, l)
	}
}

// RecordMalformedLoad records that a server stated its load in a text that cannot be read.
func (a *Admitted) RecordMalformedLoad(srv backend.Server, text string) {
	if a.recordMalformedLoad != nil {
		a.recordMalformedLoad(srv, text)
	}
}

const (
	// slowNow is the momentary factor from which a server counts as slow at the moment.
	slowNow = 1.5
	// fastBelow and slowAbove bound the factors of servers that are neither fast nor slow.
	fastBelow, slowAbove = 0.8, 1.25
	// maxWriteTime is how long a caller may take for an event before the gap that includes it says nothing of the server.
	maxWriteTime = 10 * time.Millisecond
	// startTags is the range of the tags of starts in digests, in milliseconds: a server that starts again under the same ID
	// does so within it, or all nodes have forgotten the start before.
	startTags = 100_000
	// maxTypicalRoutes bounds the routes of a kind whose typical durations are learned.
	maxTypicalRoutes = 256
	// maxSpeedLines is how many changes of speed, and how many generations on slow servers, are logged in a second.
	maxSpeedLines = 2
)

// speedTable is what a node knows of the speed of servers: what it observed, and digests of what other nodes did. It has
// an effect for a service from the time when one of its servers states its pace. It implements digestKind, and is guarded
// by Runtime.mu.
type speedTable struct {
	pool    *backend.Pool
	tracker *speed.Tracker
	in      map[string]bool // services with servers that state their pace
	slow    map[string]slowServer
	typical map[string]*typicalCall // by route
	work    map[string]routeWork    // of stream routes, by service

	peers    map[string]peerSpeeds // by node
	merged   map[speed.Server]speed.Report
	mergedAt time.Time // zero if merged is not valid

	placedOnSlow         int64
	turnedLog, placedLog boundedLog
	malformedLog         boundedLog
}

// boundedLog limits the lines of one event and counts the others.
type boundedLog struct {
	limit    lineLimit
	unlogged int // since the last line
}

// take reports whether there is a line left, and how many were left out before it.
func (b *boundedLog) take(now time.Time, most int) (unlogged int, ok bool) {
	if own, _ := b.limit.take(now, most); !own {
		b.unlogged++
		return 0, false
	}
	unlogged, b.unlogged = b.unlogged, 0
	return unlogged, true
}

// slowServer is a server that is slow at the moment.
type slowServer struct {
	since   time.Time // first observed
	started int64
}

// typicalCall is the typical duration of the calls of a route.
type typicalCall struct {
	logMean float64 // of the duration in seconds
	count   int
}

// typicalOf returns the entry of a route. It adds one if there is none.
func typicalOf(routes map[string]*typicalCall, route string) *typicalCall {
	c := routes[route]
	if c == nil {
		if len(routes) >= maxTypicalRoutes {
			clear(routes) // of routes that were removed, mostly
		}
		c = new(typicalCall)
		routes[route] = c
	}
	return c
}

func (c *typicalCall) duration() time.Duration {
	return time.Duration(math.Exp(c.logMean) * float64(time.Second))
}

func (c *typicalCall) observe(took time.Duration) {
	c.count = min(c.count+1, typicalCalls)
	c.logMean += (math.Log(took.Seconds()) - c.logMean) / float64(c.count)
}

// peerSpeeds is the digest of a node, as of a time.
type peerSpeeds struct {
	reports map[speed.Server]speed.Report
	at      time.Time
}

func newSpeedTable(pool *backend.Pool) *speedTable {
	return &speedTable{
		pool: pool, tracker: speed.NewTracker(), in: make(map[string]bool), slow: make(map[string]slowServer),
		typical: make(map[string]*typicalCall), work: make(map[string]routeWork), peers: make(map[string]peerSpeeds),
	}
}

// of returns the table if speeds are in use for a service, and otherwise nil.
func (t *speedTable) of(service string) *speedTable {
	if !t.in[service] {
		return nil
	}
	return t
}

// speedKey identifies the present start of a server, as digests do.
func speedKey(srv backend.Server) speed.Server {
	return speed.Server{ID: srv.ID, Started: srv.StartedAt.UnixMilli()}
}

// tagged returns the key of a start in digests.
func tagged(s speed.Server) speed.Server {
	return speed.Server{ID: s.ID, Started: ((s.Started % startTags) + startTags) % startTags}
}

// estimate returns the estimate of a server by all that is known.
func (t *speedTable) estimate(srv backend.Server, now time.Time) speed.Estimate {
	key := speedKey(srv)
	return t.report(key, now).Estimate()
}

func (t *speedTable) report(key speed.Server, now time.Time) speed.Report {
	r := t.tracker.Report(key, now)
	if other, ok := t.others(now)[tagged(key)]; ok {
		r = speed.Merge(r, other.Later(now.Sub(t.mergedAt)))
	}
	return r
}

// mergePeriod is how long merged digests are used: digests arrive every half second from each node.
const mergePeriod = 250 * time.Millisecond

// others returns the merged digests of other nodes, as of mergedAt.
func (t *speedTable) others(now time.Time) map[speed.Server]speed.Report {
	if !t.mergedAt.IsZero() && now.Sub(t.mergedAt) < mergePeriod {
		return t.merged
	}
	t.merged, t.mergedAt = make(map[speed.Server]speed.Report), now
	for _, p := range t.peers {
		t.merge(t.merged, p, now)
	}
	return t.merged
}

// merge adds the digest of a node to a sum, unless it is too old.
func (t *speedTable) merge(sum map[speed.Server]speed.Report, p peerSpeeds, now time.Time) {
	age := now.Sub(p.at)
	if age > digestTTL {
		return
	}
	for s, r := range p.reports {
		sum[s] = speed.Merge(sum[s], r.Later(age))
	}
}

// turned records whether a server is slow at the moment, and reports whether that changed.
func (t *speedTable) turned(s speed.Server, now time.Time) (factor float64, slow, changed bool) {
	r := t.tracker.Report(s, now)
	known, was := t.slow[s.ID]
	was = was && known.started == s.Started
	switch slow = r.Momentary >= slowNow; {
	case slow && !was:
		t.slow[s.ID] = slowServer{since: now, started: s.Started}
	case !slow && was:
		delete(t.slow, s.ID)
	}
	return r.Momentary, slow, slow != was
}

// retainServers drops what is known of all servers but the given ones.
func (t *speedTable) retainServers(known map[string]bool) {
	t.tracker.RetainOnly(func(id string) bool { return known[id] })
	maps.DeleteFunc(t.slow, func(id string, _ slowServer) bool { return !known[id] })
}

// SpeedTotals are counts of the servers of services with speeds, by their factors of time.
type SpeedTotals struct {
	Fast, Usual, Slow int
	MeanAge           time.Duration // of the last observation
	PlacedOnSlow      int64         // generations that waited on a server that turned slow
}

func (t *speedTable) totals(now time.Time) SpeedTotals {
	sum := SpeedTotals{PlacedOnSlow: t.placedOnSlow}
	if len(t.in) == 0 {
		return sum
	}
	var age time.Duration
	observed := 0
	for _, id := range t.pool.IDs() {
		srv, ok := t.pool.Get(id)
		if !ok || !t.in[srv.Service] {
			continue
		}
		r := t.report(speedKey(srv), now)
		e := r.Estimate()
		switch f := e.Factor(); {
		case f < fastBelow:
			sum.Fast++
		case f > slowAbove:
			sum.Slow++
		default:
			sum.Usual++
		}
		if r != (speed.Report{}) {
			age += r.Age
			observed++
		}
	}
	sum.MeanAge = age / time.Duration(max(1, observed))
	return sum
}

func (rt *Runtime) recordLoad(srv backend.Server, l ServerLoad) {
	if l.Pace <= 0 {
		return
	}
	now := time.Now()
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.speeds.in[srv.Service] = true
	rt.speeds.tracker.RecordPace(speedKey(srv), l.Pace, now)
	rt.logTurned(srv, now)
}

// logTurned logs that a server turned slow, or is as usual again. The caller holds mu.
func (rt *Runtime) logTurned(srv backend.Server, now time.Time) {
	factor, slow, changed := rt.speeds.turned(speedKey(srv), now)
	if !changed {
		return
	}
	if n, ok := rt.speeds.turnedLog.take(now, maxSpeedLines); ok {
		event.Log(rt.log, event.ServerSpeedTurned, event.Fields{"server": srv.ID, "slow": slow, "factor": hundredths(factor), "unlogged": n})
	}
}

// hundredths rounds a factor for log lines.
func hundredths(f float64) float64 { return math.Round(100*f) / 100 }

// model returns the prediction for the engines of a service.
func (s *streamRun) model() speed.Model {
	m := speed.DefaultModel
	if e := s.adm.Service.Engine; e != nil && e.TokensPerEvent > 0 {
		m.TokensPerEvent = e.TokensPerEvent
	}
	return m
}

// recordSpeed records the gaps of a stream as evidence for the speed of its server. The caller holds rt.mu.
func (s *streamRun) recordSpeed(srv backend.Server, now time.Time) {
	heldUp := s.heldUp
	s.heldUp = false
	t := s.rt.speeds.of(srv.Service)
	if t == nil || heldUp {
		return
	}
	m, load := s.model(), s.rt.loads.load(srv.ID, now)
	t.tracker.RecordGaps(speedKey(srv), s.gaps, m.Gap(load.Streams, load.PrefillTokens > 0), now)
	s.rt.logTurned(srv, now)
}

// recordFirstSpeed records the time to the first event of a stream as evidence for the speed of its server.
func (s *streamRun) recordFirstSpeed(now time.Time) {
	g := s.currentGrant()
	s.rt.mu.Lock()
	defer s.rt.mu.Unlock()
	t := s.rt.speeds.of(g.server.Service)
	if t == nil {
		return
	}
	m, key := s.model(), speedKey(g.server)
	ahead := g.seen.PrefillTokens + s.adm.Generation.PromptTokens
	t.recordWork(g.server.Service, s.adm.Route.Name, s.work())
	t.tracker.RecordFirstEvent(key, now.Sub(s.openedAt), m.Prefill(ahead, g.seen.Streams)+m.Gap(g.seen.Streams+1, false), now)
	slow, ok := t.slow[key.ID]
	if !ok || slow.started != key.Started || slow.since.Before(s.openedAt) {
		return
	}
	t.placedOnSlow++
	if n, ok := t.placedLog.take(now, maxSpeedLines); ok {
		event.Log(s.rt.log, event.PlacedOnSlow, event.Fields{
			"request": s.adm.ID, "server": key.ID, "factor": hundredths(t.tracker.Report(key, now).Momentary),
			"firstMs": now.Sub(s.openedAt).Milliseconds(), "unlogged": n,
		})
	}
}

// typicalCalls is the number of recent calls over which the typical duration of a route is taken.
const typicalCalls = 200

// recordCallSpeed records the duration of a call of a plain service as evidence for the speed of its server. The caller
// holds mu.
func (rt *Runtime) recordCallSpeed(srv backend.Server, route string, took time.Duration, failed bool) {
	t := rt.speeds.of(srv.Service)
	if t == nil || failed || took <= 0 {
		return
	}
	if cfg := rt.config.Load(); cfg == nil || cfg.Service(srv.Service) == nil || cfg.Service(srv.Service).Engine != nil {
		return
	}
	typical := typicalOf(t.typical, route)
	if typical.count > 0 {
		t.tracker.RecordCall(speedKey(srv), took, typical.duration(), time.Now())
	}
	typical.observe(took)
}

const (
	// maxMalformedLines is how many malformed loads are logged in a second: a faulty version of a server sends one with
	// every answer.
	maxMalformedLines = 1
	// maxMalformedText is how many bytes of a malformed load are logged.
	maxMalformedText = 64
)

func (rt *Runtime) recordMalformedLoad(srv backend.Server, text string) {
	rt.mu.Lock()
	unlogged, ok := rt.speeds.malformedLog.take(time.Now(), maxMalformedLines)
	rt.mu.Unlock()
	if ok {
		event.Log(rt.log, event.LoadMalformed, event.Fields{"server": srv.ID, "value": text[:min(len(text), maxMalformedText)], "unlogged": unlogged})
	}
}

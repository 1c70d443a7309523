// This file defines what a node knows of the typical work of stream routes, by which long prompts make way for short ones.

package exchange

import (
	"time"

	"ebonyferry/internal/core/placement"
)

// routeWork is the typical work of the stream routes of a service, by route.
type routeWork map[string]*typicalCall

// minWorkObserved is the number of streams below which the typical work of a route is unknown.
const minWorkObserved = 5

// work returns the expected time for which an engine works on the whole stream.
func (s *streamRun) work() time.Duration {
	m := s.model()
	return m.Work(s.adm.Generation.PromptTokens, s.length().Predict(0))
}

// recordWork records the expected work of a stream of a route.
func (t *speedTable) recordWork(service, route string, work time.Duration) {
	if work <= 0 {
		return
	}
	routes := t.work[service]
	if routes == nil {
		routes = make(routeWork)
		t.work[service] = routes
	}
	typicalOf(routes, route).observe(work)
}

// span returns the typical work of the lightest and the heaviest route. Both are zero while no route is known.
func (w routeWork) span() (lightest, heaviest time.Duration) {
	for _, c := range w {
		if c.count < minWorkObserved {
			continue
		}
		d := c.duration()
		if lightest == 0 || d < lightest {
			lightest = d
		}
		heaviest = max(heaviest, d)
	}
	return lightest, heaviest
}

// weighedNeed returns the need of a stream that is to be placed. Where speeds are in use, its time to the first event is
// weighed by its work.
func (s *streamRun) weighedNeed() placement.Need {
	need := s.need()
	s.rt.mu.Lock()
	defer s.rt.mu.Unlock()
	if t := s.rt.speeds.of(s.adm.Service.Name); t != nil {
		lightest, heaviest := t.work[s.adm.Service.Name].span()
		need.FirstWeight = placement.FirstWeight(s.work(), lightest, heaviest)
	}
	return need
}

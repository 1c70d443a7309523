// This file judges a new version by the answers of each route. A version may fail on one route only, of which the sum over all
// routes shows nothing, and a service may get so few requests that a share of them says nothing.

package versions

import (
	"maps"
	"math"
)

const (
	// minGood is the number of successes of the new version, of the service and of each route with traffic, before the share grows.
	minGood      = 3
	minGoodRoute = 2
	// minRouteAnswers is the number of the old version's answers from which a route has traffic.
	minRouteAnswers = 3
	// maxRoutes bounds the routes that are judged by themselves, since nodes send each other the evidence of all of them. The rest is
	// judged as one.
	maxRoutes = 64
	// judgedUntil is the fraction of an order's duration after which a version without failures is no longer held back for
	// want of answers: a good version is completed within the duration.
	judgedUntil = 0.6
	// lateShare is the share from then on of a version without any answer, where the old one has had fewer than fewRequests.
	lateShare   = 0.8
	fewRequests = 30
	// maxChance is the largest probability that chance makes the difference in a verdict. It is that of minDeviations.
	maxChance = 0.0007
)

// RouteTally counts the answers of both versions on one route.
type RouteTally struct {
	Old, OldFailures int
	New, NewFailures int
}

// Add returns the sum of two tallies.
func (t RouteTally) Add(o RouteTally) RouteTally {
	return RouteTally{Old: t.Old + o.Old, OldFailures: t.OldFailures + o.OldFailures, New: t.New + o.New, NewFailures: t.NewFailures + o.NewFailures}
}

// bad reports whether the new version fails far more often than the old one.
func (t RouteTally) bad() bool {
	if t.New == 0 || t.Old == 0 {
		return false
	}
	excess := float64(t.NewFailures)/float64(t.New) - float64(t.OldFailures)/float64(t.Old)
	return excess > failureExcess && t.chance() < maxChance
}

// chance returns the probability that as many or more of the failures fall to the new version if both versions fail alike: Fisher's
// exact test, one-sided.
func (t RouteTally) chance() float64 {
	total, failures := t.New+t.Old, t.NewFailures+t.OldFailures
	p := 0.0
	for f := t.NewFailures; f <= min(failures, t.New); f++ {
		p += math.Exp(logChoose(failures, f) + logChoose(total-failures, t.New-f) - logChoose(total, t.New))
	}
	return p
}

// logChoose returns the logarithm of the number of ways to choose k of n.
func logChoose(n, k int) float64 {
	if k < 0 || k > n {
		return math.Inf(-1)
	}
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}

// lacks reports whether the new version has fewer successes than a verdict that it is good needs.
func (t RouteTally) lacks(good int) bool { return t.New-t.NewFailures < good }

// suspicious reports whether most of the new version's few answers are failures, and not those of the old one.
func (t RouteTally) suspicious() bool { return 2*t.NewFailures > t.New && 2*t.OldFailures <= t.Old }

// sum returns the tally of all routes.
func (e Evidence) sum() RouteTally {
	return RouteTally{Old: e.Old.Answers, OldFailures: e.Old.Failures, New: e.New.Answers, NewFailures: e.New.Failures}
}

// badOnARoute reports whether the new version fails far more often than the old one, over all routes or on one.
func (e Evidence) badOnARoute() bool {
	if e.sum().bad() {
		return true
	}
	for _, t := range e.Routes {
		if t.bad() {
			return true
		}
	}
	return false
}

// suspicious reports whether the new version mostly fails, over all routes or on one, with too few answers for a verdict.
func (e Evidence) suspicious() bool {
	if e.sum().suspicious() {
		return true
	}
	for _, t := range e.Routes {
		if t.suspicious() {
			return true
		}
	}
	return false
}

// untried returns whether the route has traffic and too few successes of the new version.
func (e Evidence) untried(route string) bool {
	t := e.Routes[route]
	return t.Old >= minRouteAnswers && t.lacks(minGoodRoute)
}

// untriedRoutes reports whether there is such a route.
func (e Evidence) untriedRoutes() bool {
	for route := range e.Routes {
		if e.untried(route) {
			return true
		}
	}
	return false
}

// addRoutes returns the sum of the tallies of two nodes.
func addRoutes(a, b map[string]RouteTally) map[string]RouteTally {
	if len(a) == 0 && len(b) == 0 {
		return nil
	}
	sum := maps.Clone(a)
	if sum == nil {
		sum = make(map[string]RouteTally)
	}
	for route, t := range b {
		sum[route] = sum[route].Add(t)
	}
	return sum
}

// recordRoute records an answer on a route.
func (e *Evidence) recordRoute(route, version string, failed bool) {
	if e.Routes == nil {
		e.Routes = make(map[string]RouteTally)
	}
	if _, ok := e.Routes[route]; !ok && len(e.Routes) >= maxRoutes {
		route = ""
	}
	t, n := e.Routes[route], 0
	if failed {
		n = 1
	}
	if version == e.Target {
		t.New++
		t.NewFailures += n
	} else {
		t.Old++
		t.OldFailures += n
	}
	e.Routes[route] = t
}

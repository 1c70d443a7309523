package versions

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// rollOutOnRoutes replays a rollout before calls on routes, of which a share of the requests each. Bad names the route on which the new
// version fails every request, all for every route, or "" for none.
func rollOutOnRoutes(rng *rand.Rand, d time.Duration, perSecond float64, routes map[string]float64, bad string) (state State, after time.Duration, exposed, sent int) {
	r := New(Order{Service: "s", Target: "v2", Duration: d}, start)
	names := []string{"stamp", "look", "slip"}
	next := time.Duration(0)
	for at := time.Duration(0); at < 2*d; at += 10 * time.Millisecond {
		now := start.Add(at)
		for next <= at {
			next += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
			route, x := names[0], rng.Float64()
			for _, name := range names {
				if route = name; x < routes[name] {
					break
				}
				x -= routes[name]
			}
			version, failed := "v1", false
			if rng.Float64() < r.ShareOn(route, now) {
				version, failed = "v2", bad == "all" || bad == route
			}
			if at < d {
				if sent++; version == "v2" {
					exposed++
				}
			}
			r.RecordAnswer(version, 60*time.Millisecond, failed)
			r.RecordRoute(route, version, failed)
		}
		if at%(400*time.Millisecond) == 0 {
			r.ApplyFleetEvidence(r.LocalEvidence(now), now)
			if s := r.ProposedState(now); s != Running && r.State() == Running {
				r.SetState(s)
				state, after = s, at
			}
		}
	}
	return state, after, exposed, sent
}

var someRoutes = map[string]float64{"stamp": 0.6, "look": 0.38, "slip": 0.02}

// A version that fails every request was completed where few requests come, and one that fails on a rare route where many do.
func TestFailingVersionsAreRolledBack(t *testing.T) {
	tests := []struct {
		name      string
		d         time.Duration
		perSecond float64
		bad       string
	}{
		{"few requests", 12 * time.Second, 1.4, "all"},
		{"very few requests", 12 * time.Second, 0.7, "all"},
		{"a rare route", 30 * time.Second, 40, "slip"},
		{"a usual route", 12 * time.Second, 40, "look"},
		{"many requests", 12 * time.Second, 200, "all"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(100) {
				state, after, exposed, sent := rollOutOnRoutes(rand.New(rand.NewPCG(seed, 5)), tt.d, tt.perSecond, someRoutes, tt.bad)
				if state != RolledBack {
					t.Errorf("seed %d: got state %v after %v, want rolled back", seed, state, after)
				}
				if limit := sent/10 + 50; exposed > limit {
					t.Errorf("seed %d: the version got %d requests of %d, want at most %d", seed, exposed, sent, limit)
				}
			}
		})
	}
}

// A good version must be completed in time, with few requests and with a rare route.
func TestGoodVersionsAreCompletedOnAllRoutes(t *testing.T) {
	tests := []struct {
		name      string
		d         time.Duration
		perSecond float64
	}{
		{"few requests", 12 * time.Second, 1.4}, {"a rare route", 30 * time.Second, 40}, {"a rare route, soon", 12 * time.Second, 10},
		{"many requests", 12 * time.Second, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			missed := 0
			for seed := range uint64(100) {
				state, after, _, _ := rollOutOnRoutes(rand.New(rand.NewPCG(seed, 6)), tt.d, tt.perSecond, someRoutes, "")
				if state != Completed || after > tt.d {
					missed++
					t.Logf("seed %d: state %v after %v", seed, state, after)
				}
			}
			if limit := 2; missed > limit {
				t.Errorf("good versions not completed in time: got %d of 100, want at most %d", missed, limit)
			}
		})
	}
}

// Evidence is sent by every node several times a second, so its size must not grow with the configuration.
func TestRoutesInEvidenceAreBounded(t *testing.T) {
	r := newRollout()
	for i := range 1000 {
		r.RecordRoute(strconv.Itoa(i), "v1", false)
	}
	e := r.LocalEvidence(start)
	if got, limit := len(e.Routes), maxRoutes+1; got > limit {
		t.Errorf("routes: got %d, want at most %d", got, limit)
	}
	if got, want := e.Routes[""].Old, 1000-maxRoutes; got != want {
		t.Errorf("answers on the other routes: got %d, want %d", got, want)
	}
}

func TestChance(t *testing.T) {
	tests := []struct {
		tally RouteTally
		want  float64
	}{
		{RouteTally{Old: 8, New: 4, NewFailures: 4}, 1.0 / 495},
		{RouteTally{Old: 9, New: 5, NewFailures: 5}, 1.0 / 2002},
		{RouteTally{Old: 10, New: 10}, 1},
		{RouteTally{Old: 1, OldFailures: 1, New: 1, NewFailures: 1}, 1},
	}
	for _, tt := range tests {
		if got := tt.tally.chance(); math.Abs(got-tt.want) > 1e-9 {
			t.Errorf("%+v: got %v, want %v", tt.tally, got, tt.want)
		}
	}
}

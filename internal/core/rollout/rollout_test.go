package rollout

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"ebonyferry/internal/core/bundle"
)

var (
	start    = time.Unix(0, 0).UTC()
	testPlan = Plan{
		Model:     "m",
		From:      []bundle.VersionShare{{Version: "v1", Share: 1000}, {Version: "v2", Share: 0}},
		To:        []bundle.VersionShare{{Version: "v1", Share: 0}, {Version: "v2", Share: 1000}},
		StartedAt: start, DoneBy: start.Add(time.Hour),
	}
)

// periodEvidence returns one period's evidence on both versions, with failures at the given rates.
func periodEvidence(rng *rand.Rand, candidate, control int, candidateRate, controlRate float64) Evidence {
	e := NewEvidence()
	for version, side := range map[string]struct {
		n    int
		rate float64
	}{"v1": {control, controlRate}, "v2": {candidate, candidateRate}} {
		for range side.n {
			e.AddOutcome(Key{Version: version, Route: "/v1/completions", Load: LoadLow}, rng.Float64() < side.rate)
		}
	}
	return e
}

// The chance of a verdict on a version that keeps the tolerances is bounded, even for a version at the limit of the
// tolerance that fails 1.5 times as often as the control.
func TestJudgeKeepsItsErrorRate(t *testing.T) {
	const runs, alpha, periods = 400, 0.05, 200
	for _, rates := range [][2]float64{{0.02, 0.02}, {0.03, 0.02}, {0.004, 0}} {
		rng := rand.New(rand.NewPCG(1, 2))
		got := 0
		for range runs {
			j := NewJudge("v2", []string{"v1"}, alpha, periods, 10)
			for range periods {
				j.Add(periodEvidence(rng, 4, 20, rates[0], rates[1]))
			}
			if j.Verdict() != "" {
				got++
			}
		}
		if want := int(alpha * runs); got > want {
			t.Errorf("got %d of %d versions judged bad at rates %v, want at most %d", got, runs, rates, want)
		}
	}
}

func TestJudgeSeesVersionThatTurnsBad(t *testing.T) {
	for _, good := range []int{0, 1000} {
		rng := rand.New(rand.NewPCG(1, 2))
		j := NewJudge("v2", []string{"v1"}, falseVerdictRate, 1200, 10)
		for range good {
			j.Add(periodEvidence(rng, 15, 15, 0.002, 0.002))
		}
		if j.Verdict() != "" {
			t.Fatalf("got verdict %q on a good version", j.Verdict())
		}
		const want = 20
		for got := 0; j.Verdict() == ""; got++ {
			if got > want {
				t.Fatalf("got no verdict in %d bad periods after %d good ones", want, good)
			}
			j.Add(periodEvidence(rng, 15, 15, 0.3, 0.002))
		}
	}
}

func TestJudgeIgnoresFaultsOfBothVersions(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	j := NewJudge("v2", []string{"v1"}, falseVerdictRate, 1200, 10)
	for range 300 {
		j.Add(periodEvidence(rng, 3, 30, 0.4, 0.4))
	}
	if j.Verdict() != "" {
		t.Errorf("got verdict %q while both versions fail alike, want none", j.Verdict())
	}
}

// judgeServerFailures returns a judge of periods in which a server sometimes fails: the one that runs the new version at
// rate withRate, and others at withoutRate each. The new version runs on one of ten servers, and two nodes report its
// failures.
func judgeServerFailures(periods int, withRate, withoutRate float64) *Judge {
	j := NewJudge("v2", []string{"v1"}, falseVerdictRate, 1200, 10)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range periods {
		e := periodEvidence(rng, 1, 30, 0, 0)
		at := start.Add(time.Duration(i) * Period * 10)
		e.AddUse("v2", "e1")
		if rng.Float64() < withRate {
			e.AddServerFailure("v1", "e1", at)
			e.AddServerFailure("v2", "e1", at)
		}
		if rng.Float64() < 9*withoutRate {
			e.AddServerFailure("v1", "e2", at)
		}
		j.Add(e)
		late := NewEvidence() // a later report of another node
		late.AddServerFailure("v1", "e1", at.Add(failureWindow/2))
		if withRate > 0 && j.counted(ServerFailure{Server: "e1", Window: at.UnixNano() / int64(failureWindow)}) {
			j.Add(late)
		}
	}
	return j
}

func TestServerFailuresAreComparedByServer(t *testing.T) {
	if got := judgeServerFailures(600, 0.01, 0.01).Verdict(); got != "" {
		t.Errorf("got verdict %q while servers fail alike with and without the version, want none", got)
	}
	if got := judgeServerFailures(100, 0.2, 0.002).Verdict(); got == "" {
		t.Error("got no verdict on a version that crashes its servers")
	}
	if got := judgeServerFailures(1, 1, 0); got.Verdict() != "" || got.controlServerFailures.Bad != 0 {
		t.Errorf("got verdict %q and %d failures without the version from one failure, want none", got.Verdict(), got.controlServerFailures.Bad)
	}
}

func TestTrimUsesReplacesManyServers(t *testing.T) {
	e := NewEvidence()
	for i := range maxUses + 1 {
		e.AddUse("v2", string(rune('A'+i)))
		e.AddUse("v1", string(rune('A'+i)))
	}
	e.AddUse("v3", "A")
	e.TrimUses([]string{"v2", "v3"})
	want := map[string][]string{"v2": {everywhere}, "v3": {"A"}}
	if got := e.Report().Uses; !reflect.DeepEqual(got, want) {
		t.Errorf("got uses %v, want %v", got, want)
	}
}

func TestControllerReachesSharesInTime(t *testing.T) {
	c := NewController(testPlan)
	last, doneAt := -1, time.Time{}
	for now := start; now.Before(testPlan.DoneBy.Add(Watch)); now = now.Add(Period) {
		step := c.Decide(now)
		switch step.State {
		case bundle.RolloutRunning:
			got := step.Shares[1].Share
			if got < last || step.Shares[0].Share+got != bundle.ShareTotal {
				t.Fatalf("got shares %+v after %d, want them to grow and to sum to %d", step.Shares, last, bundle.ShareTotal)
			}
			last = got
		case bundle.RolloutWatching:
			if doneAt.IsZero() {
				doneAt = now
			}
		}
	}
	if doneAt.IsZero() || doneAt.After(testPlan.DoneBy) {
		t.Errorf("got all shares at %v, want them by %v", doneAt, testPlan.DoneBy)
	}
	if got := c.Decide(testPlan.DoneBy.Add(Watch)).State; got != bundle.RolloutDone {
		t.Errorf("got state %s after the watch, want %s", got, bundle.RolloutDone)
	}
}

func TestControllerWaitsForLoadedServers(t *testing.T) {
	loaded := 0.0
	c := NewController(testPlan, WithReady(func(string) float64 { return loaded }))
	if got := c.Decide(start.Add(time.Minute)).Shares[1].Share; got != 0 {
		t.Errorf("got share %d before a server has the version, want 0", got)
	}
	loaded = 0.1
	for now := start; now.Before(testPlan.DoneBy); now = now.Add(Period) {
		c.Decide(now)
	}
	if got := c.Decide(testPlan.DoneBy).Shares[1].Share; got != 100 {
		t.Errorf("got share %d with a tenth of the servers loaded, want 100", got)
	}
}

// A controller that takes over from a checkpoint continues as the first one would have.
func TestCheckpointKeepsEvidence(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	first := NewController(testPlan)
	verdict := false
	for i := range 100 {
		now := start.Add(time.Duration(i) * Period)
		data, err := json.Marshal(first.Checkpoint())
		if err != nil {
			t.Fatal(err)
		}
		var cp Checkpoint
		if err := json.Unmarshal(data, &cp); err != nil {
			t.Fatal(err)
		}
		second := NewController(testPlan)
		if err := second.Restore(cp); err != nil {
			t.Fatal(err)
		}
		e := periodEvidence(rng, 2, 20, 0.2, 0.002)
		first.Add(e)
		second.Add(e)
		got, want := second.Decide(now), first.Decide(now)
		if !reflect.DeepEqual(got, want) || math.Abs(second.Suspicion()-first.Suspicion()) > 1e-9 {
			t.Fatalf("got %+v after taking over in period %d, want %+v", got, i, want)
		}
		verdict = verdict || want.State == bundle.RolloutTakenBack
		first = second
	}
	if !verdict {
		t.Error("got no verdict on a bad version")
	}
	if err := NewController(testPlan).Restore(Checkpoint{Step: 99}); err == nil {
		t.Error("got a checkpoint of another rollout accepted")
	}
}

func TestLocalCutEndsWithoutTheController(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	l := NewLocalJudge(testPlan)
	now := start
	for l.CutReason(now) == "" && now.Before(start.Add(5*time.Minute)) {
		l.Add(periodEvidence(rng, 1, 20, 0.5, 0.002), now)
		now = now.Add(Period)
	}
	if l.CutReason(now) == "" {
		t.Fatal("got no cut on strong evidence")
	}
	now = now.Add(cutDuration)
	l.Add(periodEvidence(rng, 0, 20, 0, 0.002), now)
	if got := l.CutReason(now); got != "" {
		t.Errorf("got cut %q after its duration, want none", got)
	}
}

func TestReportRoundTrip(t *testing.T) {
	e := NewEvidence()
	for i := range 12 {
		k := Key{Version: "v1", Route: string(rune('a' + i)), Load: LoadHigh}
		e.AddFirstToken(k, time.Duration(i)*time.Second)
		e.AddTokenGap(k, time.Duration(12-i)*time.Millisecond)
		e.AddOutcome(k, i%2 == 0)
	}
	e.AddServerFailure("v1", "e1", start)
	e.AddUse("v1", "e1")
	if got := e.Report().Evidence(); !reflect.DeepEqual(got, e) {
		t.Errorf("got %+v after a round trip, want %+v", got.Report(), e.Report())
	}
	var routes []string
	for k := range e.Cells {
		routes = append(routes, k.Route)
	}
	if got, want := len(routes), maxRoutes+1; got != want || !slices.Contains(routes, otherRoutes) {
		t.Errorf("got routes %v, want %d with the rest under %q", routes, want, otherRoutes)
	}
}

func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"cells":[{"v":"v1","r":"/a","l":"low","n":3,"f":1,"t":{"o":4,"c":[1,2]}}],"deaths":[{"v":"v1","s":"e1","w":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Report
		if json.Unmarshal(data, &r) != nil {
			return
		}
		e := r.Evidence()
		for _, c := range e.Report().Cells {
			if c.Failures > c.Requests || c.First.Total() < 0 {
				t.Errorf("got impossible cell %+v", c)
			}
		}
		NewJudge("v1", []string{"v2"}, falseVerdictRate, 10, 10).Add(e)
	})
}

func TestOrdersArePacedAndFenced(t *testing.T) {
	v1, v2 := bundle.ModelVersion{Model: "m", Version: "v1"}, bundle.ModelVersion{Model: "m", Version: "v2"}
	var b bundle.Bundle
	reports := make(map[string][]bundle.ModelVersion)
	for i := range 10 {
		s := bundle.Server{ID: string(rune('a' + i)), Kind: bundle.KindEngine, Models: []bundle.ModelVersion{v1, v2}, HonoursFencing: i != 0}
		b.Servers = append(b.Servers, s)
		reports[s.ID] = []bundle.ModelVersion{v1}
	}
	b.Loads = bundle.Loads{PerMinute: 60, Percent: 20}
	in := bundle.NewInForce(bundle.Head{}, b, bundle.Keys{})
	o := NewOrderPlanner(start)
	ordered := make(map[string]time.Time)
	for now := start; len(ordered) < len(b.Servers); now = now.Add(time.Second) {
		if now.After(start.Add(time.Minute)) {
			t.Fatalf("got %d of %d servers ordered in a minute", len(ordered), len(b.Servers))
		}
		for _, order := range o.Plan(in, reports, now) {
			if !order.Serve || order.Model != v2 || !ordered[order.Server.ID].IsZero() {
				t.Errorf("got order %+v, want v2 to be loaded once", order)
			}
			if !order.Server.HonoursFencing && now.Sub(start) < orderLifetime {
				t.Errorf("got an order to an engine that ignores fencing %s after taking over, want none before %s", now.Sub(start), orderLifetime)
			}
			ordered[order.Server.ID] = now
		}
		loading := 0
		for id, at := range ordered {
			if now.Sub(at) >= 4*time.Second {
				reports[id] = []bundle.ModelVersion{v1, v2}
			} else {
				loading++
			}
		}
		if want := 2; loading > want {
			t.Errorf("got %d servers loading at once, want at most %d", loading, want)
		}
	}
	if got := Ready(in, v2, reports, map[string]bool{"a": true}); got >= 1 {
		t.Errorf("got %.1f of the servers ready with one absent, want less than all", got)
	}
	for id := range reports {
		reports[id] = []bundle.ModelVersion{v1, v2, {Model: "m", Version: "v0"}}
	}
	if got, want := len(o.Plan(in, reports, start.Add(time.Hour))), len(b.Servers); got != want {
		t.Errorf("got %d orders to unload versions that are not listed, want %d", got, want)
	}
}

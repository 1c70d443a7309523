package experiment_test

import (
	"reflect"
	"strconv"
	"testing"

	"ebonyferry/internal/bench/experiment"
)

// Limits that the figures must meet.
const (
	firstTargetMs  = 1900.0
	gapTargetMs    = 74.0
	baselineFactor = 50   // minimum ratio of leastOutstanding's preemptions and stall time to ebonyferry's
	oracleGoodput  = 0.95 // minimum share of the oracle's goodput
	extraRefused   = 0.03 // maximum share of the requests, beyond those that the oracle refuses
	bullyFactor    = 1.2  // maximum of Figures.BullyFactor
	bullySeeds     = 3
)

func run(t *testing.T, name string, policies ...string) map[string]*experiment.Figures {
	t.Helper()
	return runSeed(t, name, 1, policies...)
}

func runSeed(t *testing.T, name string, seed uint64, policies ...string) map[string]*experiment.Figures {
	t.Helper()
	if testing.Short() && name != "kandy" {
		t.Skip("each experiment runs in one goroutine; one of them is enough under the race detector")
	}
	t.Parallel()
	e, err := experiment.Find(name)
	if err != nil {
		t.Fatal(err)
	}
	res, err := e.Run(seed, policies...)
	if err != nil {
		t.Fatal(err)
	}
	return res.Policies
}

func checkLatency(t *testing.T, f *experiment.Figures) {
	t.Helper()
	if got, want := f.FirstTokenP95Ms, firstTargetMs; got > want {
		t.Errorf("first token p95: got %.0f ms, want at most %.0f", got, want)
	}
	if got, want := f.BetweenTokensP95Ms, gapTargetMs; got > want {
		t.Errorf("between tokens p95: got %.0f ms, want at most %.0f", got, want)
	}
	if got, want := f.ColdOverloads, 0; got != want {
		t.Errorf("cold overloads: got %d, want %d", got, want)
	}
}

func checkOracle(t *testing.T, f, oracle *experiment.Figures) {
	t.Helper()
	if got, want := f.GoodputTokensPerSecond, oracleGoodput*oracle.GoodputTokensPerSecond; got < want {
		t.Errorf("goodput: got %.0f tokens/s, want at least %.0f", got, want)
	}
	got := float64(f.Refused-oracle.Refused) / float64(f.Requests)
	if want := extraRefused; got > want {
		t.Errorf("refused beyond the oracle: got %.3f, want at most %.3f", got, want)
	}
}

func TestSteady(t *testing.T) {
	for _, name := range []string{"steady70", "steady110", "kandy", "storeDown", "drift"} {
		t.Run(name, func(t *testing.T) {
			p := run(t, name, "ebonyferry", "oracle")
			checkLatency(t, p["ebonyferry"])
			checkOracle(t, p["ebonyferry"], p["oracle"])
		})
	}
}

func TestSteady90(t *testing.T) {
	p := run(t, "steady90", "ebonyferry", "leastOutstanding", "oracle")
	f, base := p["ebonyferry"], p["leastOutstanding"]
	checkLatency(t, f)
	checkOracle(t, f, p["oracle"])
	if got, want := float64(f.Preemptions), float64(base.Preemptions)/baselineFactor; got > want {
		t.Errorf("preemptions: got %.0f, want at most %.1f", got, want)
	}
	if got, want := f.StallSeconds, base.StallSeconds/baselineFactor; got > want {
		t.Errorf("stall time: got %.1f s, want at most %.1f", got, want)
	}
}

func TestColdServers(t *testing.T) {
	for _, name := range []string{"coldStart", "coldAgain"} {
		t.Run(name, func(t *testing.T) { checkLatency(t, run(t, name, "ebonyferry")["ebonyferry"]) })
	}
}

func TestBully(t *testing.T) {
	for seed := range uint64(bullySeeds) {
		t.Run(strconv.FormatUint(seed+1, 10), func(t *testing.T) {
			f := runSeed(t, "bully", seed+1, "ebonyferry")["ebonyferry"]
			checkLatency(t, f)
			if got, want := f.BullyFactor, bullyFactor; got > want {
				t.Errorf("worst ratio of first token p95 to that without the bully: got %.2f, want at most %.2f", got, want)
			}
		})
	}
}

func TestCrasher(t *testing.T) {
	f := run(t, "crasher", "ebonyferry")["ebonyferry"]
	checkLatency(t, f)
	if got, want := f.FalselyQuarantined, 0; got != want {
		t.Errorf("harmless requests in quarantine: got %d, want %d", got, want)
	}
	if got, want := f.Crashes, 2*experiment.PoisonRequests; got > want {
		t.Errorf("crashes: got %d, want at most %d, two for each crashing request", got, want)
	}
}

func TestRunIsDeterministic(t *testing.T) {
	got, want := run(t, "coldAgain", "ebonyferry")["ebonyferry"], runAgain(t, "coldAgain")
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func runAgain(t *testing.T, name string) *experiment.Figures {
	t.Helper()
	e, _ := experiment.Find(name)
	res, err := e.Run(1, "ebonyferry")
	if err != nil {
		t.Fatal(err)
	}
	return res.Policies["ebonyferry"]
}

package experiment

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"ebonyferry/internal/core/bundle"
)

// ErrUnknownExperiment means that no experiment has the given name.
var ErrUnknownExperiment = errors.New("unknown experiment")

// Experiment is a comparison of policies on one scenario.
type Experiment struct {
	Name     string
	Doc      string
	scenario func(seed uint64) *scenario
}

// Result is the outcome of one experiment.
type Result struct {
	Experiment string              `json:"experiment"`
	Seed       uint64              `json:"seed"`
	Method     string              `json:"method"`
	Policies   map[string]*Figures `json:"policies"`
}

const method = "core on a virtual clock with model engines"

const (
	arrivalsEnd       = 10 * time.Minute
	serverMemory      = 160_000 // tokens
	serverMaxStreams  = 192     // streams
	serverColdStreams = 12      // streams
	accounts          = 10
)

// Policies lists the policies in the order in which tables show them.
var Policies = []string{"ebonyferry", "roundRobin", "leastOutstanding", "staticShares", "oracle"}

var newPolicy = map[string]func(*sim) policy{
	"ebonyferry":       newFerry,
	"roundRobin":       func(s *sim) policy { return &roundRobin{baseline: newBaseline(s)} },
	"leastOutstanding": func(s *sim) policy { return &leastOutstanding{newBaseline(s)} },
	"staticShares":     func(s *sim) policy { return &staticShares{newBaseline(s)} },
	"oracle":           newOracle,
}

// Experiments lists all experiments.
var Experiments = []Experiment{
	{"steady", "the same as steady90", func(seed uint64) *scenario { return steady(14, 4, 0.9, seed) }},
	{"steady70", "Ropehouse's 14 + 4 servers at 70% of capacity", func(seed uint64) *scenario { return steady(14, 4, 0.7, seed) }},
	{"steady90", "the same at 90%", func(seed uint64) *scenario { return steady(14, 4, 0.9, seed) }},
	{"steady110", "the same at 110%", func(seed uint64) *scenario { return steady(14, 4, 1.1, seed) }},
	{"kandy", "Kandy's 9 + 3 servers at 90% of capacity", func(seed uint64) *scenario { return steady(9, 3, 0.9, seed) }},
	{"coldStart", "all servers are fresh, at 70%", coldStart},
	{"coldAgain", "a third of the servers restart unannounced, at 70%", coldAgain},
	{"drift", "lengths double half way, from 60%", drift},
	{"bully", "one account sends ten times its share, on 70%", bully},
	{"crasher", "requests that crash their server, at 70%", crasher},
	{"domainMove", "one of four failure domains out of service for three minutes, at 60%", domainMove},
	{"storeDown", "slices do not move for four minutes, at 90%", storeDown},
}

// Find returns the experiment with the given name.
func Find(name string) (Experiment, error) {
	i := slices.IndexFunc(Experiments, func(e Experiment) bool { return e.Name == name })
	if i < 0 {
		return Experiment{}, fmt.Errorf("%w %q", ErrUnknownExperiment, name)
	}
	return Experiments[i], nil
}

// Run runs the experiment under the named policies, or under all policies if none is named.
func (e Experiment) Run(seed uint64, policies ...string) (*Result, error) {
	if len(policies) == 0 {
		policies = Policies
	}
	sc := e.scenario(seed)
	res := &Result{Experiment: e.Name, Seed: seed, Method: method, Policies: make(map[string]*Figures)}
	for _, name := range policies {
		start, ok := newPolicy[name]
		if !ok {
			return nil, fmt.Errorf("unknown policy %q", name)
		}
		f := run(sc, start)
		if sc.bully >= 0 {
			f.BullyFactor = bullyFactor(f, run(sc.withoutBully(sc.bully), start), sc)
		}
		res.Policies[name] = f
	}
	return res, nil
}

func steady(narrative, quick int, load float64, seed uint64) *scenario {
	return compose(narrative, quick, seed, func(time.Duration) float64 { return load })
}

// compose draws arrivals for each kind of server at the fraction load(t) of the capacity of its servers.
func compose(narrative, quick int, seed uint64, load func(time.Duration) float64) *scenario {
	sc := &scenario{accounts: accounts, end: arrivalsEnd, bully: -1}
	for _, part := range []struct {
		profile profile
		servers int
	}{{narrativeProfile, narrative}, {quickProfile, quick}} {
		g := newGenerator(part.profile, accounts, seed)
		full := g.capacity(part.servers, serverMaxStreams, serverMemory)
		rate := func(t time.Duration) float64 { return full * load(t) }
		sc.add(part.profile.model, part.servers, g.draw(rate, sc.end))
	}
	return sc
}

func (sc *scenario) add(model string, servers int, arrivals []*request) {
	version := bundle.ModelVersion{Model: model, Version: "v1"}
	for i := range servers {
		n := len(sc.servers)
		sc.servers = append(sc.servers, bundle.Server{
			ID:            model + strconv.Itoa(i),
			Kind:          bundle.KindEngine,
			Addr:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+n)),
			FailureDomain: strconv.Itoa(n % 4),
			Models:        []bundle.ModelVersion{version},
			MaxStreams:    serverMaxStreams,
			ColdStreams:   serverColdStreams,
			MemoryTokens:  serverMemory,
		})
	}
	sc.models = append(sc.models, bundle.Model{
		Name: model, Versions: []bundle.VersionShare{{Version: "v1", Share: bundle.ShareTotal}},
	})
	sc.arrivals = append(sc.arrivals, arrivals...)
	sc.sort()
}

func (sc *scenario) sort() {
	slices.SortStableFunc(sc.arrivals, func(a, b *request) int { return cmp.Compare(a.arrivesAt, b.arrivesAt) })
}

func coldStart(seed uint64) *scenario {
	sc := steady(14, 4, 0.7, seed)
	sc.startCold = true
	return sc
}

func coldAgain(seed uint64) *scenario {
	sc := steady(14, 4, 0.7, seed)
	sc.restartAt = sc.end / 2
	return sc
}

func drift(seed uint64) *scenario {
	sc := steady(14, 4, 0.6, seed)
	for _, r := range sc.arrivals {
		if r.arrivesAt >= sc.end/2 {
			r.length = min(maxLength, 2*r.length)
		}
	}
	return sc
}

const bullyAccount = 3

// bully multiplies the requests of one account by ten after a third of the time.
func bully(seed uint64) *scenario {
	sc := steady(14, 4, 0.7, seed)
	sc.bully = bullyAccount
	var extra []*request
	for _, r := range sc.arrivals {
		if r.account != bullyAccount || r.arrivesAt < sc.end/3 {
			continue
		}
		for i := range 9 {
			more := *r
			more.arrivesAt += time.Duration(i+1) * 37 * time.Millisecond
			more.node = (r.node + i) % nodes
			more.fromBully = true
			extra = append(extra, &more)
		}
	}
	sc.arrivals = append(sc.arrivals, extra...)
	sc.sort()
	return sc
}

// withoutBully returns the scenario without the bully's additional requests.
func (sc *scenario) withoutBully(int) *scenario {
	calm := *sc
	calm.arrivals = slices.DeleteFunc(slices.Clone(sc.arrivals), func(r *request) bool { return r.fromBully })
	return &calm
}

// bullyFactor returns the worst ratio of the first token p95 of another account with the bully to that without.
func bullyFactor(with, calm *Figures, sc *scenario) float64 {
	worst := 0.0
	for a := range sc.accounts {
		if a == sc.bully || calm.accountFirstTokens[a].TotalCount() == 0 {
			continue
		}
		before := float64(calm.accountFirstTokens[a].ValueAtQuantile(95))
		worst = max(worst, float64(with.accountFirstTokens[a].ValueAtQuantile(95))/before)
	}
	return worst
}

// PoisonRequests is the number of requests that crash their server in the experiment crasher.
const PoisonRequests = 4 // evenly spread over the arrivals

func crasher(seed uint64) *scenario {
	sc := steady(14, 4, 0.7, seed)
	every := len(sc.arrivals) / PoisonRequests
	for i, r := range sc.arrivals {
		r.poison = i%every == every/2
	}
	return sc
}

func storeDown(seed uint64) *scenario {
	sc := steady(14, 4, 0.9, seed)
	sc.storeDownFrom, sc.storeDownTo = sc.end/4, sc.end/4+4*time.Minute
	return sc
}

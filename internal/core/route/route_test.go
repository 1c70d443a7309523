package route

import (
	"fmt"
	"testing"
)

func testConfig() *Config {
	urgent := 0
	routes := []*Route{
		{Name: "all", Host: "a.example", Prefix: "/x/", Priority: 2, Backends: []Backend{{Service: "s", Weight: 1}}},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Public: true, Backends: []Backend{{Service: "s", Weight: 1}}},
		{Name: "split", Host: "b.example", Prefix: "/", Backends: []Backend{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}},
	}
	accounts := []*Account{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}, Priority: &urgent}}
	return New(7, routes, []*Service{{Name: "s"}}, accounts, Limits{})
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	tests := []struct {
		host, path, want string
	}{
		{"a.example", "/x/1", "all"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"c.example", "/x/1", ""},
	}
	cfg := testConfig()
	for _, tt := range tests {
		got := ""
		if r, ok := cfg.Match(tt.host, tt.path); ok {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("%s%s: got route %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestAccountsAndPriority(t *testing.T) {
	cfg := testConfig()
	all, _ := cfg.Match("a.example", "/x/1")
	public, _ := cfg.Match("a.example", "/x/y/1")
	if !cfg.NeedsKey(all) || cfg.NeedsKey(public) {
		t.Errorf("needs a key: got %v for a route and %v for a public one, want true and false", cfg.NeedsKey(all), cfg.NeedsKey(public))
	}
	if got := cfg.Account("k9"); got != nil {
		t.Errorf("unknown key: got account %q, want none", got.Name)
	}
	for key, want := range map[string]int{"k1": 2, "k3": 0} {
		if got := all.EffectivePriority(cfg.Account(key)); got != want {
			t.Errorf("priority with key %s: got %d, want %d", key, got, want)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	split, _ := testConfig().Match("b.example", "/")
	const requests = 10_000
	count := make(map[string]int)
	for i := range requests {
		id := fmt.Sprintf("request-%d", i)
		service := split.Pick(id)
		count[service]++
		if again := split.Pick(id); again != service {
			t.Fatalf("request %s: got %s and then %s", id, service, again)
		}
	}
	if got := float64(count["new"]) / requests; got < 0.08 || got > 0.12 {
		t.Errorf("share of the new service: got %.3f, want about 0.1", got)
	}
}

// Guards against sharing where no requests compete, and against weights of zero or below that count.
func TestContendedServices(t *testing.T) {
	weight := func(w float64) *float64 { return &w }
	urgent := 0
	stream := func(priority int) *Route {
		return &Route{Host: "a", Prefix: "/", Kind: Stream, Priority: priority, Backends: []Backend{{Service: "s"}}}
	}
	engines := &Service{Name: "s", Engine: &Engine{}}
	tests := []struct {
		name     string
		routes   []*Route
		service  *Service
		accounts []*Account
		want     bool
	}{
		{"one urgency", []*Route{stream(1), stream(1)}, engines, nil, false},
		{"two urgencies", []*Route{stream(1), stream(0)}, engines, nil, true},
		{"no engines", []*Route{stream(1), stream(0)}, &Service{Name: "s"}, nil, false},
		{"account with its own urgency", []*Route{stream(1)}, engines, []*Account{{Name: "a", Priority: &urgent}}, true},
		{"weights", []*Route{stream(1)}, engines, []*Account{{Name: "a", Weight: weight(2)}}, true},
		{"malformed weight", []*Route{stream(1)}, engines, []*Account{{Name: "a", Weight: weight(-2)}}, false},
	}
	for _, tt := range tests {
		c := New(1, tt.routes, []*Service{tt.service}, tt.accounts, Limits{})
		if got := c.Contended("s"); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
	c := New(1, nil, nil, []*Account{{Name: "a", Weight: weight(0)}, {Name: "b", Weight: weight(3)}}, Limits{})
	if got := []float64{c.Weight("a"), c.Weight("b"), c.Weight("c")}; got[0] != 1 || got[1] != 3 || got[2] != 1 || len(c.MalformedWeights()) != 1 {
		t.Errorf("weights: got %v, %d malformed", got, len(c.MalformedWeights()))
	}
}

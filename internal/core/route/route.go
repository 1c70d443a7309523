// Package route finds the route, the client account and the service of a request.
//
// A [Config] is an immutable version of the operator's configuration: routes by host and path prefix, services, client
// accounts by key, and limits on callers. Versions only grow, and a node never returns to a lower one.
package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says whether a request may run more than once.
type Kind int

// The kinds of requests.
const (
	Repeatable    Kind = iota // may run more than once
	NonRepeatable             // runs at most once for each client attempt
	Stream                    // like NonRepeatable, with an answer that is a stream of events
)

// Route sends the requests for a host and a path prefix to services.
type Route struct {
	Name          string
	Host          string // lower case, without a port
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration // longest time that a request is kept
	LatencyTarget time.Duration // until the answer, or until the first event of a stream
	GapTarget     time.Duration // longest pause between the events of a stream that is on time; 0 if unknown
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // number of servers that may run one client attempt of a repeatable request; at least 1
	Public        bool          // needs no key
	Resumable     bool          // a caller may resume a stream after an event that it names
	Backends      []Backend     // at least one
}

// Backend is a service with its weight in a route.
type Backend struct {
	Service string
	Weight  int // at least 0, relative to the sum of the route's weights
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name          string
	ColdPerSecond float64  // requests per second that a cold server can serve, from all nodes together; 0 is unlimited
	Engine        *Engine  // nil if the service has no model engines
	Scaling       *Scaling // nil if the number of servers is not ordered by nodes
}

// Scaling bounds the number of a service's servers in each failure domain.
type Scaling struct {
	Min, Max int           // at least 0, and Max not below Min
	Boot     time.Duration // from the order of a server until it serves
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int  // streams that run concurrently
	MemoryTokens   int  // capacity for running and cached prompts and answers
	Copies         bool // can keep a copy of a run's memory on another server as the run grows
	Moves          bool // can copy a run's memory to another server on request
	TokensPerEvent int  // tokens in one event of a stream
}

// Limits limits the body of one request.
type Limits struct {
	MaxBodyBytes int64
	BodyTimeout  time.Duration // until the whole body has arrived, from the time when the node starts to read it
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority *int     // overrides the route's priority when set
	Weight   *float64 // share of scarce memory relative to other accounts; nil, zero and below count as 1
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version      uint64
	Limits       Limits
	byHost       map[string][]*Route // longest prefix first
	services     map[string]*Service
	byKey        map[string]*Account
	keysRequired bool               // requests need a key unless their route is public
	weights      map[string]float64 // of accounts whose weight is not 1
	contended    []string           // services whose streams compete, sorted
	badWeights   []string           // accounts whose weight is zero or below
}

// New returns a config. It keeps the pointers that it is given.
func New(version uint64, routes []*Route, services []*Service, accounts []*Account, limits Limits) *Config {
	c := &Config{
		Version:      version,
		Limits:       limits,
		byHost:       make(map[string][]*Route),
		services:     make(map[string]*Service, len(services)),
		byKey:        make(map[string]*Account),
		keysRequired: len(accounts) > 0,
	}
	for _, r := range routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, a := range accounts {
		for _, key := range a.Keys {
			c.byKey[key] = a
		}
	}
	c.findContended(routes, accounts)
	return c
}

// findContended finds the services with engines whose streams differ in urgency, or whose accounts differ in weight.
func (c *Config) findContended(routes []*Route, accounts []*Account) {
	c.weights = make(map[string]float64)
	for _, a := range accounts {
		switch {
		case a.Weight == nil || *a.Weight == 1:
		case *a.Weight > 0:
			c.weights[a.Name] = *a.Weight
		default:
			c.badWeights = append(c.badWeights, a.Name)
		}
	}
	urgencies := make(map[string]map[int]bool)
	for _, r := range routes {
		if r.Kind != Stream {
			continue
		}
		for _, b := range r.Backends {
			if s := c.services[b.Service]; s == nil || s.Engine == nil {
				continue
			}
			if urgencies[b.Service] == nil {
				urgencies[b.Service] = make(map[int]bool)
			}
			urgencies[b.Service][r.Priority] = true
			for _, a := range accounts {
				urgencies[b.Service][r.EffectivePriority(a)] = true
			}
		}
	}
	for name, u := range urgencies {
		if len(u) > 1 || len(c.weights) > 0 {
			c.contended = append(c.contended, name)
		}
	}
	slices.Sort(c.contended)
}

// Contended reports whether the streams of a service compete: they differ in urgency, or accounts differ in weight.
func (c *Config) Contended(service string) bool { return slices.Contains(c.contended, service) }

// ContendedServices returns the services whose streams compete. The caller must not modify the list.
func (c *Config) ContendedServices() []string { return c.contended }

// MalformedWeights returns the accounts whose weight is zero or below, which counts as one. The caller must not modify the
// list.
func (c *Config) MalformedWeights() []string { return c.badWeights }

// HasWeights reports whether operators gave accounts weights.
func (c *Config) HasWeights() bool { return len(c.weights) > 0 }

// Weight returns the weight of an account in the sharing of scarce memory.
func (c *Config) Weight(account string) float64 {
	if w, ok := c.weights[account]; ok {
		return w
	}
	return 1
}

// Match returns the route of host with the longest prefix of path. host may include a port.
func (c *Config) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Scaled returns the services whose numbers of servers are ordered by nodes, sorted by name.
func (c *Config) Scaled() []*Service {
	var list []*Service
	for _, s := range c.services {
		if s.Scaling != nil {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Account returns the client account that holds key, or nil.
func (c *Config) Account(key string) *Account { return c.byKey[key] }

// NeedsKey reports whether requests on r need the key of a client account.
func (c *Config) NeedsKey(r *Route) bool { return c.keysRequired && !r.Public }

// Pick returns the service for the request with the given id, by weight. An id gets the same service as long as the
// weights stay the same.
func (r *Route) Pick(id string) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, b := range r.Backends {
		if at < b.Weight {
			return b.Service
		}
		at -= b.Weight
	}
	return r.Backends[0].Service
}

// Patience is how long a caller waits for the next event of a stream before it leaves.
func (r *Route) Patience() time.Duration { return max(2*time.Second, 4*r.LatencyTarget, 8*r.GapTarget) }

// EffectivePriority returns the priority of an account's requests on r. 0 is the most urgent, and a may be nil.
func (r *Route) EffectivePriority(a *Account) int {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}

// Package route decides which route a request takes, whose it is, and which service serves it.
//
// A Config is an immutable snapshot of what the operator put in force: routes by host and path prefix, services,
// client accounts by key, and limits on callers. Its version only grows; a node never goes back to a lower one.
package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells what may be repeated.
type Kind int

// The kinds of requests.
const (
	Repeatable    Kind = iota // may run more than once
	NonRepeatable             // runs at most once for each client attempt
	Stream                    // a non-repeatable answer in events
)

// Route sends requests under a host and a path prefix to services.
type Route struct {
	Name          string
	Host          string // lower case, without a port
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration // the longest time that a request is kept
	LatencyTarget time.Duration // to the answer, or to the first event of a stream
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // servers that may run one client attempt; at least 1
	Public        bool          // needs no key
	Resumable     bool          // a caller may continue a stream after an event that it names
	Backends      []Backend     // at least one
}

// Backend is a service with its share of a route.
type Backend struct {
	Service string
	Weight  int // at least 0; the shares of a route need not sum to anything
}

// Service is a set of backend servers that can stand in for each other.
type Service struct {
	Name          string
	ColdPerSecond float64 // requests a second that a cold server bears of all nodes together; 0 is unlimited
	Engine        *Engine // nil for a plain service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int  // streams that run at a time
	MemoryTokens   int  // tokens of running and cached prompts and answers that fit
	Copies         bool // keeps a copy of a run's memory on another server as the run grows
	Moves          bool // copies a run's memory to another server on request
	TokensPerEvent int  // tokens in one event of a stream
}

// Limits bounds what one caller may send.
type Limits struct {
	MaxBodyBytes int64
	BodyTimeout  time.Duration // for the request to arrive whole
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority *int // goes before the route's when set
}

// Config is one version of what is in force. It is immutable.
type Config struct {
	Version  uint64
	Limits   Limits
	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
	byKey    map[string]*Account
	accounts bool // requests need a key unless their route is public
}

// New returns a config. It keeps the values that it is given.
func New(version uint64, routes []*Route, services []*Service, accounts []*Account, limits Limits) *Config {
	c := &Config{
		Version:  version,
		Limits:   limits,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(services)),
		byKey:    make(map[string]*Account),
		accounts: len(accounts) > 0,
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
	return c
}

// Match returns the route with the longest prefix that begins path on a host, which may carry a port.
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

// Service returns the service of a name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Account returns the client account that holds key, or nil.
func (c *Config) Account(key string) *Account { return c.byKey[key] }

// NeedsKey reports whether requests on r need the key of a client account.
func (c *Config) NeedsKey(r *Route) bool { return c.accounts && !r.Public }

// Pick returns the service of a request. The same id gets the same service for as long as the shares stay.
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

// Urgency returns the priority of an account's requests on r: 0 is the most urgent.
func (r *Route) EffectivePriority(a *Account) int {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}

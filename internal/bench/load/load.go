// Package load generates load on the nodes' public HTTP interface and checks every answer as its caller receives it.
//
// A Generator is open-loop: requests arrive at random times that do not depend on earlier answers. They are sent by
// callers, which behave as real ones do. A caller fetches entry addresses, sends its request to the first, resumes a
// cut stream at another address with its resume token, and retries a booking only under its idempotency key. The
// expected answer follows from the request alone, since emulated engines derive texts and lengths from the prompt.
// The Report counts outcomes, latencies and violations. With WithFakes it also covers what the fakes ran.
package load

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"ebonyferry/internal/base/pause"
)

// Account is a client account that callers use.
type Account struct {
	ID  string
	Key string // bearer key
}

// Mix holds the relative weights of the kinds of request.
type Mix struct {
	Narrative int `json:"narrative"`
	Quick     int `json:"quick"`
	Booking   int `json:"booking"`
	Lookup    int `json:"lookup"`
}

// DefaultMix is the mix of a generator without WithMix.
var DefaultMix = Mix{Narrative: 4, Quick: 8, Booking: 2, Lookup: 4}

const (
	defaultRate         = 10.0
	defaultDuration     = 10 * time.Second
	defaultPatience     = 60 * time.Second
	defaultMaxTokens    = 600
	defaultMedianTokens = 120
	defaultMaxRefusals  = 4
	callersPerAccount   = 4
	dialTimeout         = time.Second
	maxIdleConnsPerHost = 256
)

// Generator drives load. It is made for one Run.
type Generator struct {
	initialEntries []netip.AddrPort // used until a caller has fetched others
	accounts       []Account        // at least one
	models         []string         // at least one
	servicePrefix  string
	region         string
	mix            Mix
	seed           uint64
	rate           float64 // requests per second
	duration       time.Duration
	patience       time.Duration // from a request's arrival until its caller stops retrying
	maxRefusals    int           // refusals of a request after which its caller stops retrying
	medianTokens   int           // of narratives
	maxTokens      int           // of narratives
	crashEvery     int           // every n-th request crashes its engine if it is a narrative; zero means none
	fakes          Fakes

	httpClient *http.Client
	callers    []*caller
	rec        *recorder
}

// Option changes a Generator.
type Option func(*Generator)

// WithSeed sets the seed of all choices.
func WithSeed(seed uint64) Option { return func(g *Generator) { g.seed = seed } }

// WithRate sets the number of requests per second and for how long they arrive.
func WithRate(rate float64, d time.Duration) Option {
	return func(g *Generator) { g.rate, g.duration = rate, d }
}

// WithMix sets the weights of the kinds.
func WithMix(m Mix) Option { return func(g *Generator) { g.mix = m } }

// WithModels sets the models that requests name.
func WithModels(names ...string) Option { return func(g *Generator) { g.models = names } }

// WithService sets the path prefix of the service that takes bookings.
func WithService(prefix string) Option { return func(g *Generator) { g.servicePrefix = prefix } }

// WithRegion sets the region that callers send in the Ferry-Region header.
func WithRegion(region string) Option { return func(g *Generator) { g.region = region } }

// WithPatience sets how long a caller retries a request, and the number of refusals after which it stops.
func WithPatience(d time.Duration, refusals int) Option {
	return func(g *Generator) { g.patience, g.maxRefusals = d, refusals }
}

// WithLengths sets the median and the maximum length of narratives in tokens.
func WithLengths(median, longest int) Option {
	return func(g *Generator) { g.medianTokens, g.maxTokens = median, longest }
}

// WithCrashers makes each n-th request crash the engine that runs it if the request is a narrative.
func WithCrashers(every int) Option { return func(g *Generator) { g.crashEvery = every } }

// WithFakes lets the generator compare what callers received with what the fakes did.
func WithFakes(fakes Fakes) Option { return func(g *Generator) { g.fakes = fakes } }

// New returns a generator whose callers start with the given entry addresses.
func New(entries []netip.AddrPort, accounts []Account, opts ...Option) (*Generator, error) {
	g := &Generator{
		initialEntries: entries,
		accounts:       accounts,
		models:         []string{"default"},
		servicePrefix:  "/services/bookings",
		mix:            DefaultMix,
		rate:           defaultRate,
		duration:       defaultDuration,
		patience:       defaultPatience,
		maxRefusals:    defaultMaxRefusals,
		medianTokens:   defaultMedianTokens,
		maxTokens:      defaultMaxTokens,
		rec:            newRecorder(),
	}
	for _, opt := range opts {
		opt(g)
	}
	switch {
	case len(entries) == 0:
		return nil, errors.New("load needs at least one entry address")
	case len(accounts) == 0:
		return nil, errors.New("load needs at least one client account")
	case len(g.models) == 0:
		return nil, errors.New("load needs at least one model")
	case g.rate <= 0:
		return nil, errors.New("load needs a rate above zero")
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	g.httpClient = &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DisableCompression:  true,
	}}
	for i := range accounts {
		for j := range callersPerAccount {
			g.callers = append(g.callers, g.newCaller(accounts[i], i+j))
		}
	}
	return g, nil
}

// Run sends requests at their arrival times until the duration has passed or ctx ends, waits for their
// answers, and returns the report. Requests in flight when ctx ends are counted as abandoned.
func (g *Generator) Run(ctx context.Context) Report {
	defer g.httpClient.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(g.seed, arrivalStream))
	start := time.Now()
	g.rec.setStart(start)
	var wg sync.WaitGroup
	for serial, at := 0, time.Duration(0); ; serial++ {
		at += time.Duration(rng.ExpFloat64() / g.rate * float64(time.Second))
		if at > g.duration || !pause.Until(ctx, start.Add(at)) {
			break
		}
		req := g.draw(serial, start.Add(at))
		wg.Go(func() { g.runRequest(ctx, req) })
	}
	wg.Wait()
	return g.Snapshot()
}

// Snapshot returns the report so far. Checks against the fakes cover the requests that have ended.
func (g *Generator) Snapshot() Report {
	rep := g.rec.report(g.seed)
	g.audit(&rep)
	return rep
}

// runRequest sends one request, with retries, and records how it ended.
func (g *Generator) runRequest(ctx context.Context, req *request) {
	g.rec.addRequest(req)
	reqCtx, cancel := context.WithDeadline(ctx, req.arrival.Add(g.patience))
	defer cancel()
	c := g.callers[req.serial%len(g.callers)]
	var end ending
	switch req.kind {
	case KindBooking:
		end = c.book(reqCtx, req)
	case KindLookup:
		end = c.lookUp(reqCtx, req)
	default:
		end = c.generate(reqCtx, req)
	}
	if ctx.Err() != nil && end.outcome != Complete {
		g.rec.addAbandoned(req)
		return
	}
	g.rec.addEnding(req, end)
}

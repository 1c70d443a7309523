// Package load acts as real callers of the nodes' public HTTP interface, in an open loop, and checks every
// answer from outside.
//
// A caller asks for entry addresses, sends its request to the first, resumes a cut stream at another by the
// token it holds, and repeats a booking only under its idempotency key. What it expects of an answer follows
// from its own request, since the emulated engines derive texts and lengths from the prompt.
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

// DefaultMix is the mix of a generator without another.
var DefaultMix = Mix{Narrative: 4, Quick: 8, Booking: 2, Lookup: 4}

const (
	defaultRate             = 10.0
	defaultDuration         = 10 * time.Second
	defaultPatience         = 60 * time.Second
	defaultMaxTokens        = 600
	defaultMedianTokens     = 120
	defaultRefusalsAccepted = 4
	callersPerAccount       = 4
	dialTimeout             = time.Second
	maxIdleConnsPerHost     = 256
)

// Generator drives load. It is made for one Run.
type Generator struct {
	seeds         []netip.AddrPort // first contacts
	accounts      []Account        // at least one
	models        []string         // at least one
	servicePrefix string
	region        string
	mix           Mix
	seed          uint64
	rate          float64 // requests a second
	duration      time.Duration
	patience      time.Duration // time from a request's arrival until its caller gives up
	refusals      int           // refusals after which a caller gives up
	medianTokens  int           // of narratives
	maxTokens     int           // of narratives
	crashEvery    int           // each n-th narrative crashes its engine; zero means none
	standIns      Fakes

	http    *http.Client
	callers []*caller
	rec     *recorder
}

// Option changes a Generator.
type Option func(*Generator)

// WithSeed sets the seed of all choices.
func WithSeed(seed uint64) Option { return func(g *Generator) { g.seed = seed } }

// WithRate sets the requests a second and for how long they arrive.
func WithRate(rate float64, d time.Duration) Option {
	return func(g *Generator) { g.rate, g.duration = rate, d }
}

// WithMix sets the weights of the kinds.
func WithMix(m Mix) Option { return func(g *Generator) { g.mix = m } }

// WithModels sets the models asked for.
func WithModels(names ...string) Option { return func(g *Generator) { g.models = names } }

// WithService sets the path prefix of the service that takes bookings.
func WithService(prefix string) Option { return func(g *Generator) { g.servicePrefix = prefix } }

// WithRegion sets the region that callers say they are in.
func WithRegion(region string) Option { return func(g *Generator) { g.region = region } }

// WithPatience sets how long a caller tries to get its answer, and how many refusals it takes.
func WithPatience(d time.Duration, refusals int) Option {
	return func(g *Generator) { g.patience, g.refusals = d, refusals }
}

// WithLengths sets the median and the greatest length of narratives in tokens.
func WithLengths(median, longest int) Option {
	return func(g *Generator) { g.medianTokens, g.maxTokens = median, longest }
}

// WithCrashers makes each n-th narrative crash the engine that runs it.
func WithCrashers(every int) Option { return func(g *Generator) { g.crashEvery = every } }

// WithFakes lets the generator compare what callers received with what the fakes did.
func WithFakes(s Fakes) Option { return func(g *Generator) { g.standIns = s } }

// New returns a generator whose callers know the given entry addresses at first.
func New(entries []netip.AddrPort, accounts []Account, opts ...Option) (*Generator, error) {
	g := &Generator{
		seeds:         entries,
		accounts:      accounts,
		models:        []string{"default"},
		servicePrefix: "/services/bookings",
		mix:           DefaultMix,
		rate:          defaultRate,
		duration:      defaultDuration,
		patience:      defaultPatience,
		refusals:      defaultRefusalsAccepted,
		medianTokens:  defaultMedianTokens,
		maxTokens:     defaultMaxTokens,
		rec:           newRecorder(),
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
	g.http = &http.Client{Transport: &http.Transport{
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
// answers, and returns the report. Requests under way when ctx ends are given up and not counted.
func (g *Generator) Run(ctx context.Context) Report {
	defer g.http.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(g.seed, arrivalStream))
	start := time.Now()
	g.rec.begin(start)
	var wg sync.WaitGroup
	for serial, at := 0, time.Duration(0); ; serial++ {
		at += time.Duration(rng.ExpFloat64() / g.rate * float64(time.Second))
		if at > g.duration || !pause.Until(ctx, start.Add(at)) {
			break
		}
		req := g.draw(serial, start.Add(at))
		wg.Go(func() { g.serve(ctx, req) })
	}
	wg.Wait()
	return g.Snapshot()
}

// Snapshot returns the report so far. Checks against stand-ins are made on what has ended.
func (g *Generator) Snapshot() Report {
	rep := g.rec.report(g.seed)
	g.audit(&rep)
	return rep
}

// Makes one request and records how it ended.
func (g *Generator) serve(ctx context.Context, req *request) {
	g.rec.started(req)
	within, cancel := context.WithDeadline(ctx, req.arrival.Add(g.patience))
	defer cancel()
	c := g.callers[req.serial%len(g.callers)]
	var end ending
	switch req.kind {
	case KindBooking:
		end = c.book(within, req)
	case KindLookup:
		end = c.lookUp(within, req)
	default:
		end = c.generate(within, req)
	}
	if ctx.Err() != nil && end.outcome != Complete {
		g.rec.abandoned(req)
		return
	}
	g.rec.ended(req, end)
}

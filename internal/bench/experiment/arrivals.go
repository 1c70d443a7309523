package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"ebonyferry/internal/core/admission"
)

// This file defines the requests of an experiment: heavy-tailed lengths correlated by account.

const (
	maxLength   = 30_000 // tokens
	tailShare   = 0.03   // of answers that are far longer than their account's usual
	tailFactor  = 8.0
	lengthSigma = 0.55 // of the logarithm within an account
	loadSamples = 20_000
)

// profile describes the requests for one model.
type profile struct {
	model      string
	class      admission.Class
	medianLow  float64 // tokens; accounts' medians lie between the two, evenly in the logarithm
	medianHigh float64
	promptLow  int
	promptHigh int
}

var (
	narratives = profile{"narrative", admission.Narrative, 200, 2000, 400, 2400}
	quickOnes  = profile{"quick", admission.Quick, 6, 60, 60, 400}
)

// request is one generation that a caller asks for.
type request struct {
	account  int
	node     int // that the caller asks
	class    admission.Class
	model    string
	prompt   int // tokens
	shared   int // of these, the prefix that the group shares
	group    int
	length   int // tokens of the whole answer
	at       time.Duration
	extra    bool // of a bully
	poison   bool // crashes the engine at token stopsAt
	deadline time.Duration

	ticket   *admission.Ticket
	stream   *stream       // on an engine; nil before
	server   int           // engine that runs it, -1 when none
	placedOn int           // server that a baseline chose
	sentAt   time.Duration // of this attempt
	firstAt  time.Duration // zero before the first token of this attempt
	late     int           // late gaps of this attempt
	tries    int
	attempt  int   // of the node, 0 for the first
	exclude  []int // servers that turned it away
}

const poisonTokens = 8 // after which a poisonous request crashes its engine

// StopsAt returns the number of tokens after which the request leaves the engine.
func (r *request) stopsAt() int {
	if r.poison {
		return min(r.length, poisonTokens)
	}
	return r.length
}

// accountShares returns the part of the arrivals of each of n accounts, a few of them large.
func accountShares(n int) []float64 {
	shares := make([]float64, n)
	sum := 0.0
	for i := range shares {
		shares[i] = 1 / float64(i+1)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// generator draws requests of one profile.
type generator struct {
	profile
	rnd     *rand.Rand
	shares  []float64 // by account
	medians []float64 // by account
	growth  float64   // factor on lengths
}

func newGenerator(p profile, accounts int, seed uint64) *generator {
	g := &generator{profile: p, rnd: rand.New(rand.NewPCG(seed, uint64(p.class)+1)), shares: accountShares(accounts), growth: 1}
	for range accounts {
		u := g.rnd.Float64()
		g.medians = append(g.medians, p.medianLow*math.Pow(p.medianHigh/p.medianLow, u))
	}
	return g
}

func (g *generator) pick() int {
	u := g.rnd.Float64()
	for i, share := range g.shares {
		if u -= share; u < 0 {
			return i
		}
	}
	return len(g.shares) - 1
}

// Next returns a request without its time.
func (g *generator) next() *request {
	a := g.pick()
	length := g.medians[a] * math.Exp(lengthSigma*g.rnd.NormFloat64())
	if g.rnd.Float64() < tailShare {
		length *= tailFactor * math.Exp(0.5*g.rnd.NormFloat64())
	}
	prompt := g.promptLow + g.rnd.IntN(g.promptHigh-g.promptLow)
	return &request{
		account: a,
		node:    g.rnd.IntN(nodes),
		class:   g.class,
		model:   g.model,
		prompt:  prompt,
		shared:  prompt / 2 / 16 * 16,
		group:   int(g.class)*1000 + a*10 + g.rnd.IntN(6),
		length:  min(maxLength, max(2, int(length*g.growth))),
		server:  -1,
	}
}

// Capacity returns the requests a second that servers alike in size bear, from the memory and the time that a
// mean request takes.
func (g *generator) capacity(servers, streams, memory int) float64 {
	draw := newGenerator(g.profile, len(g.shares), 0)
	draw.rnd = rand.New(rand.NewPCG(7, uint64(g.class)+1))
	draw.medians = g.medians
	var tokens, tokenSteps, prompts float64
	for range loadSamples {
		r := draw.next()
		l, p := float64(r.length), float64(r.prompt)
		tokens += l / loadSamples
		prompts += (p - float64(r.shared)/2) / loadSamples
		tokenSteps += (l*p + l*l/2) / loadSamples
	}
	batch := min(float64(streams), float64(memory)*tokens/tokenSteps)
	// A step makes batch tokens; batch/tokens requests begin in it, whose prompts it computes.
	step := stepBase.Seconds() + batch*stepPerStream.Seconds() + batch/tokens*prompts*stepPerPrompt.Seconds()
	return float64(servers) * batch / (tokens * step)
}

// Draw returns the arrivals at rate(t) a second until end.
func (g *generator) draw(rate func(time.Duration) float64, end time.Duration) []*request {
	var list []*request
	at := time.Duration(0)
	for {
		at += time.Duration(g.rnd.ExpFloat64() / rate(at) * float64(time.Second))
		if at >= end {
			return list
		}
		r := g.next()
		r.at = at
		r.deadline = at + targetFirst
		list = append(list, r)
	}
}

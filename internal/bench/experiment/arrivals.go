// This file defines the requests of an experiment. Their lengths are heavy-tailed and correlated by account.

package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"ebonyferry/internal/core/admission"
)

const (
	maxLength       = 30_000 // tokens
	tailShare       = 0.03   // share of answers that are far longer than is usual for their account
	tailFactor      = 8.0
	lengthSigma     = 0.55   // standard deviation of the logarithm of the length, within an account
	capacitySamples = 20_000 // requests from which capacity estimates the mean
)

// profile describes the requests for one model.
type profile struct {
	model      string
	class      admission.Class
	medianLow  float64 // tokens; the medians of accounts are log-uniform between the two
	medianHigh float64
	promptLow  int
	promptHigh int
}

var (
	narrativeProfile = profile{"narrative", admission.Narrative, 200, 2000, 400, 2400}
	quickProfile     = profile{"quick", admission.Quick, 6, 60, 60, 400}
)

// request is one generation that a caller requests.
type request struct {
	account   int
	node      int // that receives the request
	class     admission.Class
	model     string
	prompt    int // tokens
	shared    int // tokens of the prompt prefix that all requests of the group share
	group     int
	length    int // tokens of the whole answer
	arrivesAt time.Duration
	fromBully bool // added for the bully
	poison    bool // crashes the engine after stopsAt tokens
	deadline  time.Duration

	ticket         *admission.Ticket
	stream         *stream       // nil until an engine accepts the request
	server         int           // index of the engine that runs it, -1 if none
	placedOn       int           // server that a baseline chose
	sentAt         time.Duration // start of this attempt
	firstTokenAt   time.Duration // zero before the first token of this attempt
	lateGaps       int           // gaps of this attempt longer than targetGap
	callerAttempts int
	nodeAttempt    int   // of the node, for this attempt of the caller; 0 for the first
	excluded       []int // servers that rejected it
}

const poisonTokens = 8 // after which a poison request crashes its engine

// stopsAt returns the number of tokens after which the request leaves the engine.
func (r *request) stopsAt() int {
	if r.poison {
		return min(r.length, poisonTokens)
	}
	return r.length
}

// sharesOfAccounts returns the share of the arrivals of each of n accounts. A few accounts are large.
func sharesOfAccounts(n int) []float64 {
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
	rnd           *rand.Rand
	accountShares []float64 // by account
	medians       []float64 // by account
	lengthFactor  float64   // of drawn lengths
}

func newGenerator(p profile, accounts int, seed uint64) *generator {
	g := &generator{profile: p, rnd: rand.New(rand.NewPCG(seed, uint64(p.class)+1)), accountShares: sharesOfAccounts(accounts), lengthFactor: 1}
	for range accounts {
		u := g.rnd.Float64()
		g.medians = append(g.medians, p.medianLow*math.Pow(p.medianHigh/p.medianLow, u))
	}
	return g
}

func (g *generator) pickAccount() int {
	u := g.rnd.Float64()
	for i, share := range g.accountShares {
		if u -= share; u < 0 {
			return i
		}
	}
	return len(g.accountShares) - 1
}

// next draws a request without its arrival time.
func (g *generator) next() *request {
	a := g.pickAccount()
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
		length:  min(maxLength, max(2, int(length*g.lengthFactor))),
		server:  -1,
	}
}

// capacity returns the requests per second that a number of equal servers sustain, from the memory and the time that
// a mean request takes.
func (g *generator) capacity(servers, streams, memory int) float64 {
	draw := newGenerator(g.profile, len(g.accountShares), 0)
	draw.rnd = rand.New(rand.NewPCG(7, uint64(g.class)+1))
	draw.medians = g.medians
	var tokens, tokenSteps, prompts float64
	for range capacitySamples {
		r := draw.next()
		l, p := float64(r.length), float64(r.prompt)
		tokens += l / capacitySamples
		// A prompt prefix counts half, as if it were cached for every second request.
		prompts += (p - float64(r.shared)/2) / capacitySamples
		// The prompt is in memory for l steps, and the answer grows by a token in each.
		tokenSteps += (l*p + l*l/2) / capacitySamples
	}
	batch := min(float64(streams), float64(memory)*tokens/tokenSteps)
	// A step generates batch tokens. It also computes the prompts of the batch/tokens requests that start in it.
	step := stepBase.Seconds() + batch*stepPerStream.Seconds() + batch/tokens*prompts*stepPerPrompt.Seconds()
	return float64(servers) * batch / (tokens * step)
}

// draw returns the arrivals until end, at rate(t) per second.
func (g *generator) draw(rate func(time.Duration) float64, end time.Duration) []*request {
	var list []*request
	at := time.Duration(0)
	for {
		at += time.Duration(g.rnd.ExpFloat64() / rate(at) * float64(time.Second))
		if at >= end {
			return list
		}
		r := g.next()
		r.arrivesAt = at
		r.deadline = at + targetFirst
		list = append(list, r)
	}
}

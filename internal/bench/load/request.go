// This file draws requests. Apart from its arrival time, each follows from its serial number and the generator's options,
// which include the seed.

package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	fake "ebonyferry/internal/fake/engine"
)

// Kind is what a request asks for.
type Kind string

// The kinds of request.
const (
	KindNarrative Kind = "narrative"
	KindQuick     Kind = "quick"
	KindBooking   Kind = "booking"
	KindLookup    Kind = "lookup"
)

// Streams of random numbers that are derived from the same seed.
const (
	arrivalStream = 1
	requestStream = 2
)

const (
	lengthSigma         = 0.9 // of the log-normal lengths of narratives
	maxQuickTokens      = 24
	historiesPerAccount = 8 // number of distinct prompt prefixes
	historyBytes        = 1024
	itemCount           = 40
)

// request is one request. It is immutable after draw.
type request struct {
	serial        int
	arrival       time.Time
	kind          Kind
	account       Account
	model         string
	prompt        string // as the caller sends it
	chat          bool   // use the chat completions call, not the text completions call
	stream        bool
	restart       bool // ask the node to restart the answer if the engine fails
	tokens        int  // length of the whole answer
	crashesEngine bool
	booking       string // also the idempotency key
	item          string
}

func (r *request) String() string {
	return fmt.Sprintf("request %d (%s, account %s)", r.serial, r.kind, r.account.ID)
}

// enginePrompt returns the prompt that the engine receives and derives its answer from.
func (r *request) enginePrompt() string {
	if r.chat {
		return "user: " + r.prompt + "\n"
	}
	return r.prompt
}

// draw returns the request with the given serial number.
func (g *Generator) draw(serial int, arrival time.Time) *request {
	rng := rand.New(rand.NewPCG(g.seed, requestStream+uint64(serial)<<8))
	c := g.callers[serial%len(g.callers)]
	req := &request{
		serial:  serial,
		arrival: arrival,
		kind:    g.drawKind(rng),
		account: c.account,
		model:   g.models[rng.IntN(len(g.models))],
	}
	switch req.kind {
	case KindNarrative:
		g.drawNarrative(rng, req)
	case KindQuick:
		req.tokens = 1 + rng.IntN(maxQuickTokens)
		req.prompt = fmt.Sprintf("Grade check %d-%d %s%d", g.seed, serial, fake.DirectiveTokens, req.tokens)
		req.chat = rng.IntN(2) == 0
		req.stream = rng.IntN(2) == 0
	case KindBooking:
		req.booking = fmt.Sprintf("booking-%d-%d", g.seed, serial)
		req.item = fmt.Sprintf("slot-%d", rng.IntN(itemCount))
	case KindLookup:
		req.item = fmt.Sprintf("item-%d", rng.IntN(itemCount))
	}
	return req
}

func (g *Generator) drawKind(rng *rand.Rand) Kind {
	n := rng.IntN(g.mix.Narrative + g.mix.Quick + g.mix.Booking + g.mix.Lookup)
	switch {
	case n < g.mix.Narrative:
		return KindNarrative
	case n < g.mix.Narrative+g.mix.Quick:
		return KindQuick
	case n < g.mix.Narrative+g.mix.Quick+g.mix.Booking:
		return KindBooking
	}
	return KindLookup
}

// drawNarrative draws a request for a long answer. Its prompt starts with a history that several requests of the
// account share.
func (g *Generator) drawNarrative(rng *rand.Rand, req *request) {
	length := float64(g.medianTokens) * math.Exp(lengthSigma*rng.NormFloat64())
	req.tokens = max(1, min(int(length), g.maxTokens))
	history := fmt.Sprintf("History %d of %s: ", rng.IntN(historiesPerAccount), req.account.ID)
	history = strings.Repeat(history, historyBytes/len(history)+1)
	req.prompt = fmt.Sprintf("%s Write-up %d-%d %s%d", history, g.seed, req.serial, fake.DirectiveTokens, req.tokens)
	req.crashesEngine = g.crashEvery > 0 && req.serial%g.crashEvery == g.crashEvery-1
	if req.crashesEngine {
		req.prompt += " " + fake.DirectiveCrash
	}
	req.chat = true
	req.stream = true
	req.restart = rng.IntN(2) == 0
}

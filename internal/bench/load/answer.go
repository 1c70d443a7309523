package load

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strings"
	"time"

	fake "ebonyferry/internal/fake/engine"
)

// This file defines the check of one generated answer from outside.

// answer is what a caller has of its answer. It is for one goroutine.
type answer struct {
	rec  *recorder
	req  *request
	seed uint64 // of the expected texts

	generation  string    // empty before the first chunk
	resumeToken string    // empty when the generation cannot be resumed
	next        int       // index of the token expected next
	digest      hash.Hash // over the texts of the tokens that came
	last        time.Time // when the last token came; zero before the first
	anyToken    bool
	finished    bool
}

func newAnswer(rec *recorder, req *request) *answer {
	return &answer{rec: rec, req: req, seed: fake.TextSeed(req.enginePrompt()), digest: sha256.New()}
}

// startOver gives up the generation, so that the next attempt asks for a new one.
func (a *answer) startOver() {
	a.generation = ""
	a.resumeToken = ""
	a.next = 0
	a.digest.Reset()
	a.rec.startedOver()
}

// chunk takes in one event that came at the given time.
func (a *answer) chunk(ch *chunk, now time.Time) {
	f := ch.Ferry
	if f == nil || a.finished {
		return // usage, or another addition that a caller ignores
	}
	a.identify(f)
	if f.ResumeToken != "" {
		a.resumeToken = f.ResumeToken
	}
	if f.Index != nil {
		a.token(*f.Index, ch.text(), now)
	}
	if f.Finished {
		a.finish(f, ch.finishReason())
	}
}

// Checks that the chunk belongs to the one generation of this answer.
func (a *answer) identify(f *ferryInfo) {
	switch {
	case f.Restarted && !a.req.restart:
		a.rec.violate(CheckForeign, a.req, "answer restarted unasked as generation %s", f.Generation)
	case f.Restarted:
		a.startOver()
	}
	if a.generation == "" {
		a.generation = f.Generation
	}
	if f.Generation != a.generation {
		a.rec.violate(CheckForeign, a.req, "generation %s in the answer of %s at index %d", f.Generation, a.generation, a.next)
	}
}

// Checks one token's place and text.
func (a *answer) token(index int, text string, now time.Time) {
	if index < a.next {
		a.rec.violate(CheckRepeated, a.req, "token %d came again, want %d", index, a.next)
		return
	}
	if index > a.next {
		a.rec.violateN(CheckLost, index-a.next, a.req, "tokens %d to %d are missing", a.next, index-1)
	}
	if want := fake.TextAt(a.seed, index); text != want {
		a.rec.violate(CheckForeign, a.req, "token %d is %q, want %q", index, text, want)
	}
	a.observe(now)
	a.digest.Write([]byte(text))
	a.next = index + 1
}

func (a *answer) observe(now time.Time) {
	if !a.anyToken {
		a.anyToken = true
		a.rec.firstToken(a.req.kind, now.Sub(a.req.arrival))
	} else if a.next > 0 {
		a.rec.tokenGap(a.req.kind, now.Sub(a.last))
	}
	a.last = now
}

// Checks the end of an answer that the node calls whole.
func (a *answer) finish(f *ferryInfo, reason string) {
	a.finished = true
	if f.Tokens == nil || *f.Tokens != a.next {
		a.rec.violate(CheckLost, a.req, "answer said to be whole counts %v tokens, %d came", f.Tokens, a.next)
	}
	if got := hex.EncodeToString(a.digest.Sum(nil)); got != f.Digest {
		a.rec.violate(CheckForeign, a.req, "digest is %s, want %s", f.Digest, got)
	}
	a.checkLength(reason)
}

// Checks the count against the length that the request leads to.
func (a *answer) checkLength(reason string) {
	if reason == "length" {
		return // cut by the engine's memory, and said so
	}
	if a.next < a.req.tokens {
		a.rec.violateN(CheckLost, a.req.tokens-a.next, a.req, "answer said to be whole has %d tokens, want %d", a.next, a.req.tokens)
	}
	if a.next > a.req.tokens {
		a.rec.violateN(CheckForeign, a.next-a.req.tokens, a.req, "answer has %d tokens, want %d", a.next, a.req.tokens)
	}
}

// done takes in the end of a stream.
func (a *answer) done() {
	if !a.finished {
		a.rec.violate(CheckLost, a.req, "stream ended as if whole after %d tokens without saying so", a.next)
	}
}

// whole checks an answer that came in one piece.
func (a *answer) whole(ch *chunk) {
	a.generation = ch.Ferry.Generation
	a.next = 0
	a.digest.Reset()
	text := ch.text()
	for i := 0; text != ""; i++ {
		token, rest, _ := strings.Cut(text, " ")
		a.digest.Write([]byte(token + " "))
		if want := fake.TextAt(a.seed, i); token+" " != want {
			a.rec.violate(CheckForeign, a.req, "token %d is %q, want %q", i, token+" ", want)
		}
		a.next++
		text = rest
	}
	a.finish(ch.Ferry, ch.finishReason())
}

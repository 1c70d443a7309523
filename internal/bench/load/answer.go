// This file defines the check of one generated answer as its caller receives it.

package load

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strings"
	"time"

	fake "ebonyferry/internal/fake/engine"
)

// answer checks one generated answer while its caller receives it. It is not safe for concurrent use.
type answer struct {
	rec  *recorder
	req  *request
	seed uint64 // of the expected texts

	generation  string    // empty before the first chunk
	resumeToken string    // empty when the generation cannot be resumed
	next        int       // index of the token expected next
	digest      hash.Hash // over the texts of the received tokens
	lastAt      time.Time // when the last token was received; zero before the first
	anyToken    bool      // a token was received, also of an abandoned generation
	finished    bool
}

func newAnswer(rec *recorder, req *request) *answer {
	return &answer{rec: rec, req: req, seed: fake.TextSeed(req.enginePrompt()), digest: sha256.New()}
}

// reset abandons the generation. The next attempt requests a new one.
func (a *answer) reset() {
	a.generation = ""
	a.resumeToken = ""
	a.next = 0
	a.digest.Reset()
	a.rec.addRestart()
}

// addChunk checks one event that was received at the given time.
func (a *answer) addChunk(ch *chunk, now time.Time) {
	f := ch.Ferry
	if f == nil || a.finished {
		return // usage, or another extension that a caller ignores
	}
	a.checkGeneration(f)
	if f.ResumeToken != "" {
		a.resumeToken = f.ResumeToken
	}
	if f.Index != nil {
		a.addToken(*f.Index, ch.text(), now)
	}
	if f.Finished {
		a.finish(f, ch.finishReason())
	}
}

// checkGeneration checks that a chunk belongs to the only generation of this answer.
func (a *answer) checkGeneration(f *ferryInfo) {
	switch {
	case f.Restarted && !a.req.restart:
		a.rec.addViolation(CheckForeign, a.req, "answer restarted as generation %s, which the request did not ask for", f.Generation)
	case f.Restarted:
		a.reset()
	}
	if a.generation == "" {
		a.generation = f.Generation
	}
	if f.Generation != a.generation {
		a.rec.addViolation(CheckForeign, a.req, "chunk of generation %s in the answer of generation %s at index %d", f.Generation, a.generation, a.next)
	}
}

// addToken checks the index and the text of one token.
func (a *answer) addToken(index int, text string, now time.Time) {
	if index < a.next {
		a.rec.addViolation(CheckRepeated, a.req, "token %d was repeated, want %d", index, a.next)
		return
	}
	if index > a.next {
		a.rec.addViolations(CheckLost, index-a.next, a.req, "tokens %d to %d are missing", a.next, index-1)
	}
	if want := fake.TextAt(a.seed, index); text != want {
		a.rec.addViolation(CheckForeign, a.req, "token %d is %q, want %q", index, text, want)
	}
	a.recordLatency(now)
	a.digest.Write([]byte(text))
	a.next = index + 1
}

// recordLatency records the time to the first token, or the gap since the previous one. The first token after a restart
// has neither.
func (a *answer) recordLatency(now time.Time) {
	if !a.anyToken {
		a.anyToken = true
		a.rec.addFirstToken(a.req.kind, now.Sub(a.req.arrival))
	} else if a.next > 0 {
		a.rec.addTokenGap(a.req.kind, now.Sub(a.lastAt))
	}
	a.lastAt = now
}

// finish checks the end of an answer that the node reports as complete.
func (a *answer) finish(f *ferryInfo, reason string) {
	a.finished = true
	if f.Tokens == nil || *f.Tokens != a.next {
		a.rec.addViolation(CheckLost, a.req, "answer reported as complete states %v tokens, received %d", f.Tokens, a.next)
	}
	if got := hex.EncodeToString(a.digest.Sum(nil)); got != f.Digest {
		a.rec.addViolation(CheckForeign, a.req, "digest is %s, want %s", f.Digest, got)
	}
	a.checkLength(reason)
}

// checkLength checks the number of tokens against the length that the request determines.
func (a *answer) checkLength(reason string) {
	if reason == "length" {
		return // the engine's memory limits the answer, and the answer states it
	}
	if a.next < a.req.tokens {
		a.rec.addViolations(CheckLost, a.req.tokens-a.next, a.req, "answer reported as complete has %d tokens, want %d", a.next, a.req.tokens)
	}
	if a.next > a.req.tokens {
		a.rec.addViolations(CheckForeign, a.next-a.req.tokens, a.req, "answer has %d tokens, want %d", a.next, a.req.tokens)
	}
}

// streamEnded checks that the answer was finished before its stream ended.
func (a *answer) streamEnded() {
	if !a.finished {
		a.rec.addViolation(CheckLost, a.req, "stream ended with [DONE] after %d tokens without a finished event", a.next)
	}
}

// addWhole checks an answer that is not streamed.
func (a *answer) addWhole(ch *chunk) {
	a.generation = ch.Ferry.Generation
	a.next = 0
	a.digest.Reset()
	text := ch.text()
	for i := 0; text != ""; i++ {
		token, rest, _ := strings.Cut(text, " ")
		a.digest.Write([]byte(token + " "))
		if want := fake.TextAt(a.seed, i); token+" " != want {
			a.rec.addViolation(CheckForeign, a.req, "token %d is %q, want %q", i, token+" ", want)
		}
		a.next++
		text = rest
	}
	a.finish(ch.Ferry, ch.finishReason())
}

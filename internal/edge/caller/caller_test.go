package caller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"net/http"
	"strings"
	"testing"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/resume"
	"ebonyferry/internal/edge/caller"
	fakeengine "ebonyferry/internal/fake/engine"
)

func digestOf(prompt string) string {
	var h hash.Hash = sha256.New()
	for i := range fakeengine.Length(prompt) {
		h.Write([]byte(fakeengine.TokenText(prompt, i)))
	}
	return hex.EncodeToString(h.Sum(nil))
}

func TestErrors(t *testing.T) {
	h := newHarness(t, 1, func(l *caller.Limits) { l.MaxBodyBytes = 4096 })
	good := `{"model":"m","prompt":"hello #tokens=2"}`
	sign := func(account string, expires time.Duration) string {
		tok, err := resume.Sign(h.cfg.Keys.TokenKeys, resume.Claims{Generation: "g", Server: "s0", Node: "node1", Account: account, Expires: time.Now().Add(expires)}, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf(`{"resumeToken":%q,"index":0}`, tok)
	}
	tests := []struct {
		name, method, path, key, body string
		headers                       []string
		status                        int
		code                          string
		notRun                        bool
	}{
		{"unknown key", "POST", "/v1/completions", "nobody", good, nil, 401, "invalidKey", true},
		{"no key", "POST", "/v1/completions", "", good, nil, 401, "missingKey", true},
		{"unknown model", "POST", "/v1/completions", aliceKey, `{"model":"x","prompt":"p"}`, nil, 404, "modelNotFound", true},
		{"malformed body", "POST", "/v1/completions", aliceKey, `{"model":`, nil, 400, "invalidRequest", true},
		{"body too large", "POST", "/v1/completions", aliceKey, `{"prompt":"` + strings.Repeat("x", 5000) + `"}`, nil, 413, "bodyTooLarge", true},
		{"several answers", "POST", "/v1/completions", aliceKey, `{"model":"m","prompt":"p","n":2}`, nil, 400, "invalidRequest", true},
		{"no messages", "POST", "/v1/chat/completions", aliceKey, `{"model":"m"}`, nil, 400, "invalidRequest", true},
		{"picture part", "POST", "/v1/chat/completions", aliceKey, `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, "invalidRequest", true},
		{"no tokens wanted", "POST", "/v1/completions", aliceKey, `{"model":"m","prompt":"p","max_tokens":0}`, nil, 400, "invalidRequest", true},
		{"unknown class", "POST", "/v1/completions", aliceKey, good, []string{"Ferry-Class", "urgent"}, 400, "invalidRequest", true},
		{"past deadline", "POST", "/v1/completions", aliceKey, good, []string{"Ferry-Deadline", "2001-01-01T00:00:00Z"}, 400, "invalidRequest", true},
		{"unknown loss choice", "POST", "/v1/completions", aliceKey, good, []string{"Ferry-On-Engine-Loss", "splice"}, 400, "invalidRequest", true},
		{"expired resume token", "POST", "/v1/ferry/resume", aliceKey, sign("alice", -time.Second), nil, 410, "resumeTokenExpired", false},
		{"resume token of another", "POST", "/v1/ferry/resume", bobKey, sign("alice", time.Minute), nil, 403, "resumeTokenForeign", false},
		{"made-up resume token", "POST", "/v1/ferry/resume", aliceKey, `{"resumeToken":"x","index":0}`, nil, 400, "resumeTokenInvalid", false},
		{"negative index", "POST", "/v1/ferry/resume", aliceKey, `{"resumeToken":"x","index":-1}`, nil, 400, "invalidRequest", true},
		{"lost generation", "POST", "/v1/ferry/resume", aliceKey, sign("alice", time.Minute), nil, 502, "generationLost", false},
		{"unknown path", "GET", "/v2/x", aliceKey, "", nil, 404, "unknownPath", true},
		{"unknown method", "DELETE", "/v1/models", aliceKey, "", nil, 405, "unknownMethod", true},
		{"unknown service", "POST", "/services/x/y", aliceKey, "", nil, 404, "unknownRoute", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp := h.send(h.url, tt.method, tt.path, tt.key, tt.body, tt.headers...)
			defer resp.Body.Close()
			var got struct {
				Error wireFailure `json:"error"`
			}
			if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status || got.Error.Code != tt.code || got.Error.Ferry.NotRun != tt.notRun {
				t.Errorf("got %d %+v, want %d %s notRun %v", resp.StatusCode, got.Error, tt.status, tt.code, tt.notRun)
			}
		})
	}
	if got := h.engines[0].Counters().Started; got != 0 {
		t.Errorf("generations started: got %d, want 0", got)
	}
}

func TestRefusalIsShown(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.dispatcher.refusal = &caller.Refusal{Reason: caller.ReasonOverloaded, Message: "no capacity", NotRun: true, RetryAfter: 1500 * time.Millisecond}
	resp := h.stream("p")
	defer resp.Body.Close()
	if got, want := resp.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	if got, want := resp.Header.Get("Retry-After"), "2"; got != want {
		t.Errorf("Retry-After: got %q, want %q", got, want)
	}
	if got, want := resp.Header.Get("Ferry-Not-Run"), "true"; got != want {
		t.Errorf("Ferry-Not-Run: got %q, want %q", got, want)
	}
}

func TestWholeAnswer(t *testing.T) {
	h := newHarness(t, 1, nil)
	prompt := "user: hi #tokens=7\n"
	resp := h.send(h.url, "POST", "/v1/chat/completions", aliceKey, `{"model":"m","messages":[{"role":"user","content":"hi #tokens=7"}]}`)
	defer resp.Body.Close()
	var got struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
		Ferry struct {
			Tokens int    `json:"tokens"`
			Digest string `json:"digest"`
		} `json:"ferry"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	want := ""
	for i := range 7 {
		want += fakeengine.TokenText(prompt, i)
	}
	if got.Choices[0].Message.Content != want || got.Ferry.Tokens != 7 || got.Ferry.Digest != digestOf(prompt) {
		t.Errorf("got %+v, want text %q with 7 tokens", got, want)
	}
}

// An engine sends wrong data once at token 5. After the node resumes the stream, the answer must be correct.
func TestEngineMisbehavesOnce(t *testing.T) {
	for _, kind := range []fakeengine.MisbehaviourKind{
		fakeengine.MisbehaveRepeat, fakeengine.MisbehaveSkip, fakeengine.MisbehaveForeign, fakeengine.MisbehaveLate, fakeengine.MisbehaveCut,
	} {
		t.Run(string(kind), func(t *testing.T) {
			h := newHarness(t, 1, func(l *caller.Limits) { l.StallTimeout = 300 * time.Millisecond },
				fakeengine.WithMisbehaviour(fakeengine.Misbehaviour{Kind: kind, At: 5, Delay: time.Second}))
			prompt := "history #tokens=20"
			resp := h.stream(prompt)
			defer resp.Body.Close()
			var a answer
			a.read(t, resp.Body, 5)
			h.engines[0].SetMisbehaviour(fakeengine.Misbehaviour{})
			a.read(t, resp.Body, 0)
			a.checkWhole(t, prompt)
		})
	}
}

// An engine sends wrong data at token 5 after every resume. The answer must end with an error after 5 correct tokens.
func TestEngineKeepsMisbehaving(t *testing.T) {
	for _, kind := range []fakeengine.MisbehaviourKind{fakeengine.MisbehaveSkip, fakeengine.MisbehaveForeign, fakeengine.MisbehaveCut} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, 1, nil, fakeengine.WithMisbehaviour(fakeengine.Misbehaviour{Kind: kind, At: 5}))
			prompt := "history #tokens=20"
			resp := h.stream(prompt)
			defer resp.Body.Close()
			var a answer
			a.read(t, resp.Body, 0)
			if a.failure == nil || a.finished || a.done {
				t.Fatalf("got %+v, want an error and no end", a)
			}
			if got, want := a.failure.Ferry.Delivered, 5; got != want || len(a.texts) != want {
				t.Errorf("delivered: got %d and %d tokens, want %d", got, len(a.texts), want)
			}
			for i := range 5 {
				if got, want := a.texts[i], fakeengine.TokenText(prompt, i); got != want {
					t.Errorf("token %d: got %q, want %q", i, got, want)
				}
			}
		})
	}
}

func TestEngineCrashes(t *testing.T) {
	prompt := "history #tokens=400"
	t.Run("error", func(t *testing.T) {
		h := newHarness(t, 2, nil)
		resp := h.stream(prompt)
		defer resp.Body.Close()
		var a answer
		a.read(t, resp.Body, 10)
		h.engines[0].Kill()
		a.read(t, resp.Body, 0)
		if a.failure == nil || a.finished || a.done {
			t.Fatalf("got %+v, want an error and no end", a)
		}
		if got, want := a.failure.Code, "generationLost"; got != want {
			t.Errorf("code: got %q, want %q", got, want)
		}
		if got, want := a.failure.Ferry.Delivered, len(a.texts); got < want || a.failure.Ferry.NotRun {
			t.Errorf("got delivered %d, notRun %v; want at least %d, false", got, a.failure.Ferry.NotRun, want)
		}
		if a.failure.Ferry.Resumable {
			t.Error("got a resumable error, want not resumable: the engine has stopped")
		}
	})
	t.Run("restart", func(t *testing.T) {
		h := newHarness(t, 2, nil)
		resp := h.stream(prompt, "Ferry-On-Engine-Loss", "restart")
		defer resp.Body.Close()
		var a answer
		a.read(t, resp.Body, 10)
		h.engines[0].Kill()
		a.read(t, resp.Body, 0)
		a.checkWhole(t, prompt)
		if got, want := a.restarts, 1; got != want {
			t.Errorf("restarts: got %d, want %d", got, want)
		}
	})
	t.Run("before the first token", func(t *testing.T) {
		h := newHarness(t, 2, nil)
		h.engines[0].Kill()
		resp := h.stream(prompt)
		defer resp.Body.Close()
		var a answer
		a.read(t, resp.Body, 0)
		a.checkWhole(t, prompt)
	})
}

func TestResumeAtAnotherNode(t *testing.T) {
	h := newHarness(t, 1, nil, fakeengine.WithStep(3*time.Millisecond, 0, 0))
	_, other := h.node("node2", nil)
	prompt := "history #tokens=100"
	resp := h.stream(prompt)
	var a answer
	a.read(t, resp.Body, 20)
	resp.Body.Close()

	body := fmt.Sprintf(`{"resumeToken":%q,"index":%d}`, a.resumeToken, len(a.texts))
	resp = h.send(other, "POST", "/v1/ferry/resume", aliceKey, body)
	defer resp.Body.Close()
	a.read(t, resp.Body, 0)
	a.checkWhole(t, prompt)
	if got, want := h.engines[0].Counters().Canceled, 0; got != want {
		t.Errorf("canceled: got %d, want %d", got, want)
	}
}

func TestResumeOfFinishedGeneration(t *testing.T) {
	h := newHarness(t, 1, nil)
	prompt := "note #tokens=12"
	resp := h.stream(prompt)
	var a answer
	a.read(t, resp.Body, 0)
	resp.Body.Close()
	again := answer{}
	resp = h.send(h.url, "POST", "/v1/ferry/resume", aliceKey, fmt.Sprintf(`{"resumeToken":%q,"index":0}`, a.resumeToken))
	defer resp.Body.Close()
	again.read(t, resp.Body, 0)
	again.checkWhole(t, prompt)
}

func TestCallerLeaves(t *testing.T) {
	h := newHarness(t, 1, nil, fakeengine.WithStep(5*time.Millisecond, 0, 0))
	resp := h.stream("history #tokens=100000")
	var a answer
	a.read(t, resp.Body, 5)
	resp.Body.Close()
	waitFor(t, "the generation is canceled", func() bool { return h.engines[0].Counters().Canceled == 1 })
	waitFor(t, "the slot is returned", func() bool { return len(h.dispatcher.usedOutcomes()) == 1 })
	if got, want := h.dispatcher.usedOutcomes()[0], caller.OutcomeCanceled; got != want {
		t.Errorf("outcome: got %s, want %s", got, want)
	}
}

// waitFor waits until done returns true. It fails the test after 10 seconds, far longer than any wait should take.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 2000 {
		if done() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", what)
}

func TestConcurrencyLimit(t *testing.T) {
	h := newHarness(t, 1, func(l *caller.Limits) { l.MaxConcurrent = 1 }, fakeengine.WithStep(5*time.Millisecond, 0, 0))
	first := h.stream("history #tokens=100000")
	defer first.Body.Close()
	var a answer
	a.read(t, first.Body, 1)
	second := h.stream("p")
	defer second.Body.Close()
	if got, want := second.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
}

func TestSlowSender(t *testing.T) {
	h := newHarness(t, 1, func(l *caller.Limits) { l.BodyTimeout = 100 * time.Millisecond })
	r, err := http.NewRequest("POST", h.url+"/v1/completions", neverEnding{t})
	if err != nil {
		t.Fatal(err)
	}
	r.ContentLength = 1000
	r.Header.Set("Authorization", "Bearer "+aliceKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if got, want := resp.StatusCode, http.StatusRequestTimeout; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
}

// neverEnding blocks its reader until the test ends.
type neverEnding struct{ t *testing.T }

func (n neverEnding) Read([]byte) (int, error) {
	<-n.t.Context().Done()
	return 0, n.t.Context().Err()
}

// A caller that does not read must be dropped after the write timeout, and its generation canceled.
func TestSlowReader(t *testing.T) {
	h := newHarness(t, 1, func(l *caller.Limits) { l.WriteTimeout = 100 * time.Millisecond }, fakeengine.WithStep(20*time.Microsecond, 0, 0))
	conn := h.rawConn()
	defer conn.Close()
	body := `{"model":"m","stream":true,"prompt":"history #tokens=1000000"}`
	_, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", aliceKey, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the slot is returned", func() bool { return len(h.dispatcher.usedOutcomes()) == 1 })
	if got, want := h.dispatcher.usedOutcomes()[0], caller.OutcomeCanceled; got != want {
		t.Errorf("outcome: got %s, want %s", got, want)
	}
}

// A request whose engine crashes before the first token must run on another server before that engine could restart.
func TestCrashBeforeFirstTokenIsRetriedSoon(t *testing.T) {
	h := newHarness(t, 2, func(l *caller.Limits) { l.MaxAttempts = 2 }, fakeengine.WithStep(30*time.Millisecond, 0, 0))
	prompt := "history #tokens=5"
	began := time.Now()
	done := make(chan answer)
	go func() {
		resp := h.stream(prompt)
		defer resp.Body.Close()
		var a answer
		a.read(t, resp.Body, 0)
		done <- a
	}()
	waitFor(t, "the first engine has the request", func() bool { return h.engines[0].Counters().Started == 1 })
	h.engines[0].Kill()
	a := <-done
	a.checkWhole(t, prompt)
	if got, most := time.Since(began), 1900*time.Millisecond; got > most {
		t.Errorf("answer took %v, want the first token within %v", got, most)
	}
	waitFor(t, "both slots are returned", func() bool { return len(h.dispatcher.usedOutcomes()) == 2 })
	if got, want := h.dispatcher.usedOutcomes(), []caller.Outcome{caller.OutcomeInterrupted, caller.OutcomeFinished}; got[0] != want[0] || got[1] != want[1] {
		t.Errorf("outcomes: got %v, want %v", got, want)
	}
}

func TestAnswerWithoutTokenKey(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.cfg.Keys.TokenKeys = nil
	prompt := "note #tokens=5"
	resp := h.stream(prompt)
	defer resp.Body.Close()
	var a answer
	a.read(t, resp.Body, 0)
	a.checkWhole(t, prompt)
	if a.resumeToken != "" {
		t.Errorf("resume token: got %q, want none", a.resumeToken)
	}
}

// A caller that resumes at the same node replaces the relay that waits for it. The end of the old relay must not stop
// the new one.
func TestResumeAtTheSameNode(t *testing.T) {
	h := newHarness(t, 1, func(l *caller.Limits) { l.ResumeGrace = time.Minute }, fakeengine.WithStep(3*time.Millisecond, 0, 0))
	prompt := "history #tokens=300"
	resp := h.stream(prompt)
	var a answer
	for range 4 {
		a.read(t, resp.Body, len(a.texts)+10)
		resp.Body.Close()
		resp = h.send(h.url, "POST", "/v1/ferry/resume", aliceKey, fmt.Sprintf(`{"resumeToken":%q,"index":%d}`, a.resumeToken, len(a.texts)))
	}
	defer resp.Body.Close()
	a.read(t, resp.Body, 0)
	a.checkWhole(t, prompt)
	if got, want := h.engines[0].Counters().Canceled, 0; got != want {
		t.Errorf("canceled: got %d, want %d", got, want)
	}
}

// Two connections read one generation. The later one must get the complete answer, the earlier one must end without it.
func TestLaterResumeEndsEarlierStream(t *testing.T) {
	h := newHarness(t, 1, nil, fakeengine.WithStep(3*time.Millisecond, 0, 0))
	prompt := "history #tokens=300"
	first := h.stream(prompt)
	defer first.Body.Close()
	var a, later answer
	a.read(t, first.Body, 10)
	second := h.send(h.url, "POST", "/v1/ferry/resume", aliceKey, fmt.Sprintf(`{"resumeToken":%q,"index":0}`, a.resumeToken))
	defer second.Body.Close()
	later.read(t, second.Body, 0)
	later.checkWhole(t, prompt)
	a.read(t, first.Body, 0)
	if a.finished || a.done {
		t.Error("the earlier connection got the end of the answer")
	}
}

// A caller of an answer that is not streamed has no resume token, so its generation must end with its connection.
func TestCallerOfWholeAnswerLeaves(t *testing.T) {
	h := newHarness(t, 1, func(l *caller.Limits) { l.ResumeGrace = time.Hour }, fakeengine.WithStep(5*time.Millisecond, 0, 0))
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, "POST", h.url+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"history #tokens=100000"}`))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+aliceKey)
	ended := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(r)
		ended <- err
	}()
	waitFor(t, "the engine runs the generation", func() bool { return h.engines[0].Counters().Tokens > 0 })
	cancel()
	if err := <-ended; err == nil {
		t.Error("the canceled request got an answer")
	}
	waitFor(t, "the generation is canceled", func() bool { return h.engines[0].Counters().Canceled == 1 })
}

// A caller whose connection stalls, unnoticed by its node, resumes at another node. The first node must stop its relay
// without canceling the generation.
func TestResumeAfterStalledLink(t *testing.T) {
	h := newHarness(t, 1, nil, fakeengine.WithStep(3*time.Millisecond, 0, 0))
	_, other := h.node("node2", nil)
	prompt := "history #tokens=300"
	stalled := h.stream(prompt) // stays open until the end and is not read after the first tokens
	defer stalled.Body.Close()
	var a answer
	a.read(t, stalled.Body, 10)
	resp := h.send(other, "POST", "/v1/ferry/resume", aliceKey, fmt.Sprintf(`{"resumeToken":%q,"index":%d}`, a.resumeToken, len(a.texts)))
	defer resp.Body.Close()
	waitFor(t, "the first node returns its slot", func() bool { return len(h.dispatcher.usedOutcomes()) == 1 })
	a.read(t, resp.Body, 0)
	a.checkWhole(t, prompt)
	if got, want := h.engines[0].Counters().Canceled, 0; got != want {
		t.Errorf("canceled: got %d, want %d", got, want)
	}
}

// An engine that answers with an error has not crashed. The request must run elsewhere, without suspicion of a crash.
func TestEngineFails(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.engines[0].SetBadVersions(fakeengine.BadVersion{Version: bundle.ModelVersion{Model: "m", Version: "v"}, Kind: fakeengine.BadFails})
	prompt := "history #tokens=5"
	resp := h.stream(prompt)
	defer resp.Body.Close()
	var a answer
	a.read(t, resp.Body, 0)
	a.checkWhole(t, prompt)
	waitFor(t, "both slots are returned", func() bool { return len(h.dispatcher.usedOutcomes()) == 2 })
	if got, want := h.dispatcher.usedOutcomes(), []caller.Outcome{caller.OutcomeFailed, caller.OutcomeFinished}; got[0] != want[0] || got[1] != want[1] {
		t.Errorf("outcomes: got %v, want %v", got, want)
	}
}

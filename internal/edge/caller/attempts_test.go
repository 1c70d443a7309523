// This file tests requests that take several attempts or several connections, and stalled callers.

package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/caller"
	fakeengine "ebonyferry/internal/fake/engine"
)

var failing = fakeengine.BadVersion{Version: bundle.ModelVersion{Model: "m", Version: "v"}, Kind: fakeengine.BadFails}

// The last attempt certainly did not run, but an earlier one may have. The error must then not say "not run".
func TestRefusalAfterFailedAttemptMayHaveRun(t *testing.T) {
	h := newHarness(t, 2, func(l *caller.Limits) { l.MaxAttempts = 2 })
	h.engines[0].SetBadVersions(failing)
	h.engines[1].Kill()
	resp := h.stream("history #tokens=5")
	defer resp.Body.Close()
	var failure struct {
		Error wireFailure `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&failure); err != nil {
		t.Fatal(err)
	}
	if got, want := failure.Error.Code, "engineUnavailable"; got != want {
		t.Errorf("code: got %q, want %q", got, want)
	}
	if failure.Error.Ferry.NotRun || resp.Header.Get("Ferry-Not-Run") != "false" {
		t.Errorf("not run: got %v and header %q, want false", failure.Error.Ferry.NotRun, resp.Header.Get("Ferry-Not-Run"))
	}
}

// A restarted generation may fail before its first token. The generation of the next attempt must still be announced.
func TestEachRestartIsAnnounced(t *testing.T) {
	h := newHarness(t, 3, nil)
	h.engines[1].SetBadVersions(failing)
	prompt := "history #tokens=400"
	resp := h.stream(prompt, "Ferry-On-Engine-Loss", "restart")
	defer resp.Body.Close()
	var a answer
	a.read(t, resp.Body, 10)
	h.engines[0].Kill()
	a.read(t, resp.Body, 0)
	a.checkWhole(t, prompt)
	if got, want := a.restarts, 2; got != want {
		t.Errorf("restarts: got %d, want %d", got, want)
	}
}

// A node that is cut off while a request is queued must not run it.
func TestCutOffWhileRequestWaits(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.dispatcher.onAcquire = func() { h.cutOff.Store(true) }
	resp := h.stream("history #tokens=5")
	defer resp.Body.Close()
	if got, want := resp.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	if got, want := resp.Header.Get("Ferry-Not-Run"), "true"; got != want {
		t.Errorf("not run: got %q, want %q", got, want)
	}
	if got, want := h.engines[0].Counters().Tokens, 0; int(got) != want {
		t.Errorf("tokens: got %d, want %d", got, want)
	}
	if got, want := len(h.dispatcher.usedOutcomes()), 1; got != want {
		t.Errorf("returned slots: got %d, want %d", got, want)
	}
}

// A refused caller that never sends its body must not keep its connection open longer than the body timeout.
func TestRefusedSlowSender(t *testing.T) {
	for _, path := range []string{"/v1/completions", "/v1/entries", "/nowhere"} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t, 1, func(l *caller.Limits) { l.BodyTimeout = 100 * time.Millisecond })
			conn := h.rawConn()
			defer conn.Close()
			if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n", path); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // far longer than the body timeout
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			resp.Body.Close()
		})
	}
}

// A service caller that does not read the answer must be dropped after the write timeout.
func TestSlowReaderOfService(t *testing.T) {
	h := newHarness(t, 1, func(l *caller.Limits) { l.WriteTimeout = 100 * time.Millisecond })
	doc := h.cfg.Bundle
	doc.Services = []bundle.Service{{Name: "stock", Prefix: "/services/stock", Routes: []bundle.Route{{Method: "GET", Path: "/all", Repeatable: true}}}}
	h.cfg = bundle.NewInForce(h.cfg.Head, doc, h.cfg.Keys)
	called := make(chan struct{})
	h.ledger = func(caller.ServiceCall) (caller.ServiceAnswer, error) {
		close(called)
		return caller.ServiceAnswer{Status: http.StatusOK, Body: make([]byte, 16<<20)}, nil
	}
	conn := h.rawConn()
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "GET /services/stock/all HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", aliceKey); err != nil {
		t.Fatal(err)
	}
	<-called
	waitFor(t, "the call ends", func() bool { return h.server.InFlight() == 0 })
}

// A caller's resumed connection may break before it has carried a token. The caller must be able to resume again.
func TestResumeAfterResumeWithoutToken(t *testing.T) {
	h := newHarness(t, 1, func(l *caller.Limits) { l.ResumeGrace = time.Minute },
		fakeengine.WithMisbehaviour(fakeengine.Misbehaviour{Kind: fakeengine.MisbehaveLate, At: 10, Delay: time.Second}))
	prompt := "history #tokens=2000"
	resp := h.stream(prompt)
	var a answer
	a.read(t, resp.Body, 10)
	resp.Body.Close()
	body := fmt.Sprintf(`{"resumeToken":%q,"index":%d}`, a.resumeToken, len(a.texts))

	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", h.url+"/v1/ferry/resume", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+aliceKey)
	if resp, err := http.DefaultClient.Do(r); err == nil {
		resp.Body.Close()
		t.Fatal("the resumed stream carried a token in time, want it to stall")
	}
	time.Sleep(200 * time.Millisecond) // time for the node to notice and to cancel wrongly

	resp = h.send(h.url, "POST", "/v1/ferry/resume", aliceKey, body)
	defer resp.Body.Close()
	a.read(t, resp.Body, 0)
	a.checkWhole(t, prompt)
}

// A resumed stream holds no slot, but must count as work of its server until it ends.
func TestResumedStreamsAreCounted(t *testing.T) {
	h := newHarness(t, 1, nil, fakeengine.WithStep(3*time.Millisecond, 0, 0))
	prompt := "history #tokens=300"
	resp := h.stream(prompt)
	var a answer
	a.read(t, resp.Body, 10)
	resp.Body.Close()
	resp = h.send(h.url, "POST", "/v1/ferry/resume", aliceKey, fmt.Sprintf(`{"resumeToken":%q,"index":%d}`, a.resumeToken, len(a.texts)))
	defer resp.Body.Close()
	a.read(t, resp.Body, len(a.texts)+1)
	if got, want := h.server.ResumedStreams()["s0"], 1; got != want {
		t.Errorf("resumed streams: got %d, want %d", got, want)
	}
	a.read(t, resp.Body, 0)
	a.checkWhole(t, prompt)
	waitFor(t, "the stream is no longer counted", func() bool { return len(h.server.ResumedStreams()) == 0 })
}

// A handler that panics must return its slot.
func TestPanicReleasesSlot(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.dispatcher.onToken = func(int) { panic(http.ErrAbortHandler) }
	r, err := http.NewRequest("POST", h.url+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"p"}`))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+aliceKey)
	if resp, err := http.DefaultClient.Do(r); err == nil {
		resp.Body.Close()
		t.Errorf("got status %d, want an aborted connection", resp.StatusCode)
	}
	waitFor(t, "the slot is returned", func() bool { return len(h.dispatcher.usedOutcomes()) == 1 && h.server.InFlight() == 0 })
}

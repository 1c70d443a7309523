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

// This file tests requests that take several attempts or several connections, and callers that stall.

var failing = fakeengine.BadVersion{Version: bundle.ModelVersion{Model: "m", Version: "v"}, Kind: fakeengine.BadFails}

// The last attempt was surely not run, but the one before may have been.
func TestRefusalAfterFailedAttemptIsNotCalledNotRun(t *testing.T) {
	b := newBench(t, 2, func(l *caller.Limits) { l.MaxAttempts = 2 })
	b.engines[0].SetBadVersions(failing)
	b.engines[1].Kill()
	resp := b.stream("history #tokens=5")
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

// After a restart that fails before its first token, the generation of the next attempt is announced too.
func TestEachRestartIsAnnounced(t *testing.T) {
	b := newBench(t, 3, nil)
	b.engines[1].SetBadVersions(failing)
	prompt := "history #tokens=400"
	resp := b.stream(prompt, "Ferry-On-Engine-Loss", "restart")
	defer resp.Body.Close()
	var a answer
	a.read(t, resp.Body, 10)
	b.engines[0].Kill()
	a.read(t, resp.Body, 0)
	a.checkWhole(t, prompt)
	if got, want := a.restarts, 2; got != want {
		t.Errorf("restarts: got %d, want %d", got, want)
	}
}

// A node that is cut off while a request waits for a place does not run it.
func TestCutOffWhileRequestWaits(t *testing.T) {
	b := newBench(t, 1, nil)
	b.places.granting = func() { b.cutOff.Store(true) }
	resp := b.stream("history #tokens=5")
	defer resp.Body.Close()
	if got, want := resp.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	if got, want := resp.Header.Get("Ferry-Not-Run"), "true"; got != want {
		t.Errorf("not run: got %q, want %q", got, want)
	}
	if got, want := b.engines[0].Counters().Tokens, 0; int(got) != want {
		t.Errorf("tokens: got %d, want %d", got, want)
	}
	if got, want := len(b.places.used()), 1; got != want {
		t.Errorf("places given back: got %d, want %d", got, want)
	}
}

// A refused caller that never sends its body holds its connection no longer than others do for theirs.
func TestRefusedSlowSender(t *testing.T) {
	for _, path := range []string{"/v1/completions", "/v1/entries", "/nowhere"} {
		t.Run(path, func(t *testing.T) {
			b := newBench(t, 1, func(l *caller.Limits) { l.BodyTimeout = 100 * time.Millisecond })
			conn := b.rawConn()
			defer conn.Close()
			if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n", path); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // far longer than the time for a body
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			resp.Body.Close()
		})
	}
}

// A caller of a service that does not read the answer is given up after the write timeout.
func TestSlowReaderOfService(t *testing.T) {
	b := newBench(t, 1, func(l *caller.Limits) { l.WriteTimeout = 100 * time.Millisecond })
	doc := b.cfg.Bundle
	doc.Services = []bundle.Service{{Name: "stock", Prefix: "/services/stock", Routes: []bundle.Route{{Method: "GET", Path: "/all", Repeatable: true}}}}
	b.cfg = bundle.NewInForce(b.cfg.Head, doc, b.cfg.Keys)
	called := make(chan struct{})
	b.ledger = func(caller.ServiceCall) (caller.ServiceAnswer, error) {
		close(called)
		return caller.ServiceAnswer{Status: http.StatusOK, Body: make([]byte, 16<<20)}, nil
	}
	conn := b.rawConn()
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "GET /services/stock/all HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", aliceKey); err != nil {
		t.Fatal(err)
	}
	<-called
	waitFor(t, "the call is given up", func() bool { return b.server.InFlight() == 0 })
}

// A caller whose new connection breaks before it has carried a token resumes once more.
func TestResumeAfterResumeWithoutToken(t *testing.T) {
	b := newBench(t, 1, func(l *caller.Limits) { l.ResumeGrace = time.Minute },
		fakeengine.WithMisbehaviour(fakeengine.Misbehaviour{Kind: fakeengine.MisbehaveLate, At: 10, Delay: time.Second}))
	prompt := "history #tokens=2000"
	resp := b.stream(prompt)
	var a answer
	a.read(t, resp.Body, 10)
	resp.Body.Close()
	body := fmt.Sprintf(`{"resumeToken":%q,"index":%d}`, a.resumeToken, len(a.texts))

	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", b.url+"/v1/ferry/resume", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+aliceKey)
	if resp, err := http.DefaultClient.Do(r); err == nil {
		resp.Body.Close()
		t.Fatal("the engine was not late")
	}
	time.Sleep(200 * time.Millisecond) // the node notices and would cancel

	resp = b.send(b.url, "POST", "/v1/ferry/resume", aliceKey, body)
	defer resp.Body.Close()
	a.read(t, resp.Body, 0)
	a.checkWhole(t, prompt)
}

// A resumed stream holds no place, but is work of its server until it ends.
func TestResumedStreamsAreCounted(t *testing.T) {
	b := newBench(t, 1, nil, fakeengine.WithStep(3*time.Millisecond, 0, 0))
	prompt := "history #tokens=300"
	resp := b.stream(prompt)
	var a answer
	a.read(t, resp.Body, 10)
	resp.Body.Close()
	resp = b.send(b.url, "POST", "/v1/ferry/resume", aliceKey, fmt.Sprintf(`{"resumeToken":%q,"index":%d}`, a.resumeToken, len(a.texts)))
	defer resp.Body.Close()
	a.read(t, resp.Body, len(a.texts)+1)
	if got, want := b.server.ResumedStreams()["s0"], 1; got != want {
		t.Errorf("while it runs: got %d, want %d", got, want)
	}
	a.read(t, resp.Body, 0)
	a.checkWhole(t, prompt)
	waitFor(t, "the stream is no longer counted", func() bool { return len(b.server.ResumedStreams()) == 0 })
}

// A handler that panics gives its place back.
func TestPanicGivesPlaceBack(t *testing.T) {
	b := newBench(t, 1, nil)
	b.places.token = func(int) { panic(http.ErrAbortHandler) }
	r, err := http.NewRequest("POST", b.url+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"p"}`))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+aliceKey)
	if resp, err := http.DefaultClient.Do(r); err == nil {
		resp.Body.Close()
		t.Errorf("got status %d, want a cut connection", resp.StatusCode)
	}
	waitFor(t, "the place is given back", func() bool { return len(b.places.used()) == 1 && b.server.InFlight() == 0 })
}

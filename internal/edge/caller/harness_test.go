package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"ebonyferry/internal/base/budget"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/caller"
	fakeengine "ebonyferry/internal/fake/engine"
)

const (
	aliceKey         = "key-of-alice"
	bobKey           = "key-of-bob"
	tokenKeyValidity = 2 * time.Hour // time until the resume-token key expires
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// harness runs caller edges in front of emulated engines.
type harness struct {
	t          testing.TB
	engines    []*fakeengine.Engine
	cfg        *bundle.InForce
	dispatcher *fakeDispatcher
	nodes      map[string]*caller.Server // by name
	server     *caller.Server
	url        string
	ledger     ledgerFunc
	closeNode  func()      // closes the connections of the node that was started last, as the end of its process does
	cutOff     atomic.Bool // the nodes may not accept new work
}

// newHarness starts a node and n engines that produce a token about every millisecond.
func newHarness(t testing.TB, n int, limits func(*caller.Limits), opts ...fakeengine.Option) *harness {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h := &harness{t: t, nodes: make(map[string]*caller.Server)}
	doc := bundle.Bundle{Models: []bundle.Model{{Name: "m", Versions: []bundle.VersionShare{{Version: "v", Share: bundle.ShareTotal}}}}}
	for i := range n {
		opts := append([]fakeengine.Option{fakeengine.WithStep(time.Millisecond, 0, 0), fakeengine.WithRestartAfter(0)}, opts...)
		e := fakeengine.New(opts...)
		addr, err := e.Listen(ctx, loopback)
		if err != nil {
			t.Fatal(err)
		}
		h.engines = append(h.engines, e)
		doc.Servers = append(doc.Servers, bundle.Server{ID: fmt.Sprint("s", i), Kind: bundle.KindEngine, Addr: addr, Models: []bundle.ModelVersion{{Model: "m", Version: "v"}}})
	}
	h.cfg = bundle.NewInForce(bundle.Head{Revision: 1}, doc, bundle.Keys{
		Accounts: []bundle.Account{
			{ID: "alice", KeyHashes: []string{bundle.KeyHash(aliceKey)}},
			{ID: "bob", KeyHashes: []string{bundle.KeyHash(bobKey)}},
		},
		TokenKeys: []bundle.TokenKey{{ID: "k", Secret: []byte("a secret of thirty-two bytes ...."), NotAfter: time.Now().Add(tokenKeyValidity)}},
	})
	h.dispatcher = &fakeDispatcher{servers: doc.Servers}
	h.server, h.url = h.node("node1", limits)
	return h
}

// node starts a node with the configuration of the harness.
func (h *harness) node(name string, limits func(*caller.Limits)) (*caller.Server, string) {
	bounds := caller.DefaultLimits()
	bounds.ResumeGrace = 50 * time.Millisecond
	if limits != nil {
		limits(&bounds)
	}
	end, cancel := context.WithCancel(context.Background())
	s := caller.New(end, name, caller.Dependencies{Config: h, Dispatcher: h.dispatcher, Ledger: ledgerFunc(h.call), Entries: entryList{}},
		caller.WithLimits(bounds), caller.WithLog(&log.Logger{Handler: discard.Default}), caller.WithNotifier(h))
	h.nodes[name] = s
	srv := httptest.NewUnstartedServer(budget.Handler(s.Handler()))
	l := budget.New(64<<20).Listen(smallBuffers{srv.Listener}, 1000, 1<<10, false)
	srv.Listener, srv.Config.ConnContext, srv.Config.ConnState = l, budget.WithConn, budget.TrackState
	srv.Start()
	h.closeNode = func() { l.EndAnswers(); srv.Config.Close() }
	h.t.Cleanup(func() {
		cancel()
		srv.CloseClientConnections()
		srv.Close()
	})
	return s, srv.URL
}

func (h *harness) Held() *bundle.InForce { return h.cfg }

func (h *harness) InForce() *bundle.InForce {
	if h.cutOff.Load() {
		return nil
	}
	return h.cfg
}

func (h *harness) call(call caller.ServiceCall) (caller.ServiceAnswer, error) { return h.ledger(call) }

// NotifyResumed implements caller.ResumeNotifier. It has the effect of the message between nodes.
func (h *harness) NotifyResumed(_ context.Context, node, generation string) {
	if s := h.nodes[node]; s != nil {
		s.StopRelay(generation)
	}
}

// send sends a request and returns the answer. The caller of send closes its body.
func (h *harness) send(url, method, path, key, body string, headers ...string) *http.Response {
	h.t.Helper()
	r, err := http.NewRequest(method, url+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		h.t.Fatal(err)
	}
	return resp
}

// stream sends a request of alice for a streamed completion.
func (h *harness) stream(prompt string, headers ...string) *http.Response {
	h.t.Helper()
	body, err := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "stream": true})
	if err != nil {
		h.t.Fatal(err)
	}
	return h.send(h.url, "POST", "/v1/completions", aliceKey, string(body), headers...)
}

// wireChunk holds the fields of an event that the tests read.
type wireChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Ferry struct {
		Generation  string `json:"generation"`
		Index       *int   `json:"index"`
		ResumeToken string `json:"resumeToken"`
		Restarted   bool   `json:"restarted"`
		Finished    bool   `json:"finished"`
		Tokens      int    `json:"tokens"`
		Digest      string `json:"digest"`
	} `json:"ferry"`
	Error *wireFailure `json:"error"`
}

type wireFailure struct {
	Code  string `json:"code"`
	Param string `json:"param"`
	Ferry struct {
		NotRun    bool `json:"notRun"`
		Delivered int  `json:"delivered"`
		Resumable bool `json:"resumable"`
	} `json:"ferry"`
}

// answer holds the parts of one answer that a caller has received.
type answer struct {
	source      io.Reader      // reader of lines
	lines       *bufio.Scanner // keeps data that it has read ahead between calls of read
	texts       map[int]string // by index, of the current generation
	repeated    int
	restarts    int
	generation  string // last announced
	unannounced int    // tokens of another generation
	resumeToken string
	finished    bool
	tokens      int
	digest      string
	failure     *wireFailure
	done        bool // [DONE] has arrived
}

// read reads events until the stream ends or the answer has limit tokens; 0 means no limit.
func (a *answer) read(t *testing.T, r io.Reader, limit int) {
	t.Helper()
	if a.texts == nil {
		a.texts = make(map[int]string)
	}
	if a.source != r {
		a.source, a.lines = r, bufio.NewScanner(r)
	}
	for (limit == 0 || len(a.texts) < limit) && a.lines.Scan() {
		data, ok := strings.CutPrefix(a.lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.done = true
			return
		}
		var c wireChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatalf("event %q: %v", data, err)
		}
		a.add(c)
	}
}

func (a *answer) add(c wireChunk) {
	if c.Ferry.ResumeToken != "" {
		a.resumeToken = c.Ferry.ResumeToken
	}
	switch {
	case c.Error != nil:
		a.failure = c.Error
	case c.Ferry.Restarted:
		a.restarts++
		a.generation = c.Ferry.Generation
		a.texts = make(map[int]string)
	case c.Ferry.Finished:
		a.finished, a.tokens, a.digest = true, c.Ferry.Tokens, c.Ferry.Digest
	case c.Ferry.Index != nil:
		if a.generation == "" {
			a.generation = c.Ferry.Generation
		}
		if a.generation != c.Ferry.Generation {
			a.unannounced++
		}
		if _, ok := a.texts[*c.Ferry.Index]; ok {
			a.repeated++
		}
		a.texts[*c.Ferry.Index] = c.Choices[0].Text
	}
}

// checkWhole fails the test unless the answer to prompt is complete, with each token once.
func (a *answer) checkWhole(t *testing.T, prompt string) {
	t.Helper()
	want := fakeengine.Length(prompt)
	if got := len(a.texts); got != want || !a.finished || a.tokens != want || a.repeated != 0 || !a.done {
		t.Fatalf("got %d tokens, finished %v with count %d, %d repeated, done %v, failure %+v; want %d tokens", got, a.finished, a.tokens, a.repeated, a.done, a.failure, want)
	}
	if got, want := a.unannounced, 0; got != want {
		t.Errorf("tokens of an unannounced generation: got %d, want %d", got, want)
	}
	for i := range want {
		if got, want := a.texts[i], fakeengine.TokenText(prompt, i); got != want {
			t.Fatalf("token %d: got %q, want %q", i, got, want)
		}
	}
	if got, want := a.digest, digestOf(prompt); got != want {
		t.Errorf("digest: got %s, want %s", got, want)
	}
}

// fakeDispatcher grants slots on the servers in turn, except excluded ones, and records how they were used.
type fakeDispatcher struct {
	servers []bundle.Server

	mu        sync.Mutex
	next      int
	refusal   error
	onAcquire func()    // called by Acquire; may be nil
	onToken   func(int) // called at each token; may be nil
	outcomes  []caller.Outcome
}

var errNoServer = errors.New("every server is excluded")

func (d *fakeDispatcher) Acquire(_ context.Context, w caller.Work) (caller.Slot, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusal != nil {
		return nil, d.refusal
	}
	if d.onAcquire != nil {
		d.onAcquire()
	}
	for range d.servers {
		srv := d.servers[d.next%len(d.servers)]
		d.next++
		if !contains(w.Exclude, srv.ID) {
			return &fakeSlot{dispatcher: d, server: srv}, nil
		}
	}
	return nil, &caller.Refusal{Reason: caller.ReasonNoServer, Message: errNoServer.Error(), NotRun: true}
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// usedOutcomes returns the outcomes of the slots returned so far.
func (d *fakeDispatcher) usedOutcomes() []caller.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]caller.Outcome(nil), d.outcomes...)
}

type fakeSlot struct {
	dispatcher *fakeDispatcher
	server     bundle.Server
}

func (s *fakeSlot) Server() bundle.Server { return s.server }
func (s *fakeSlot) Version() string       { return "v" }
func (s *fakeSlot) RecordToken(index int) {
	if s.dispatcher.onToken != nil {
		s.dispatcher.onToken(index)
	}
}
func (s *fakeSlot) Done(o caller.Outcome) {
	s.dispatcher.mu.Lock()
	defer s.dispatcher.mu.Unlock()
	s.dispatcher.outcomes = append(s.dispatcher.outcomes, o)
}

type ledgerFunc func(caller.ServiceCall) (caller.ServiceAnswer, error)

func (fn ledgerFunc) Call(_ context.Context, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	return fn(call)
}

type entryList struct{}

func (entryList) Entries(string) ([]netip.AddrPort, time.Duration) {
	return []netip.AddrPort{loopback}, time.Second
}

// smallBuffers accepts connections that buffer little unread data.
type smallBuffers struct{ net.Listener }

const smallBuffer = 4 << 10

func (l smallBuffers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(smallBuffer)
}

// rawConn returns a connection to the node. It buffers little unread data.
func (h *harness) rawConn() net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		h.t.Fatal(err)
	}
	if err := conn.(*net.TCPConn).SetReadBuffer(smallBuffer); err != nil {
		h.t.Fatal(err)
	}
	return conn
}

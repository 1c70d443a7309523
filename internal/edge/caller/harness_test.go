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

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/caller"
	fakeengine "ebonyferry/internal/fake/engine"
)

const (
	aliceKey = "key-of-alice"
	bobKey   = "key-of-bob"
	resumed  = 2 * time.Hour // how long the token key signs
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// bench is a caller edge before emulated engines.
type bench struct {
	t       testing.TB
	engines []*fakeengine.Engine
	cfg     *bundle.InForce
	places  *places
	nodes   map[string]*caller.Server // by name
	server  *caller.Server
	url     string
	ledger  ledgerFunc
	cutOff  atomic.Bool // the nodes may not take new work
}

// Starts n engines that make a token about every millisecond.
func newBench(t testing.TB, n int, limits func(*caller.Limits), opts ...fakeengine.Option) *bench {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	b := &bench{t: t, nodes: make(map[string]*caller.Server)}
	doc := bundle.Bundle{Models: []bundle.Model{{Name: "m", Versions: []bundle.VersionShare{{Version: "v", Share: bundle.ShareTotal}}}}}
	for i := range n {
		opts := append([]fakeengine.Option{fakeengine.WithStep(time.Millisecond, 0, 0), fakeengine.WithRestartAfter(0)}, opts...)
		e := fakeengine.New(opts...)
		addr, err := e.Listen(ctx, loopback)
		if err != nil {
			t.Fatal(err)
		}
		b.engines = append(b.engines, e)
		doc.Servers = append(doc.Servers, bundle.Server{ID: fmt.Sprint("s", i), Kind: bundle.KindEngine, Addr: addr, Models: []bundle.ModelVersion{{Model: "m", Version: "v"}}})
	}
	b.cfg = bundle.NewInForce(bundle.Head{Revision: 1}, doc, bundle.Keys{
		Accounts: []bundle.Account{
			{ID: "alice", KeyHashes: []string{bundle.KeyHash(aliceKey)}},
			{ID: "bob", KeyHashes: []string{bundle.KeyHash(bobKey)}},
		},
		TokenKeys: []bundle.TokenKey{{ID: "k", Secret: []byte("a secret of thirty-two bytes ...."), NotAfter: time.Now().Add(resumed)}},
	})
	b.places = &places{servers: doc.Servers}
	b.server, b.url = b.node("node1", limits)
	return b
}

// Starts another caller edge with the same configuration.
func (b *bench) node(name string, limits func(*caller.Limits)) (*caller.Server, string) {
	l := caller.DefaultLimits()
	l.ResumeGrace = 50 * time.Millisecond
	if limits != nil {
		limits(&l)
	}
	end, cancel := context.WithCancel(context.Background())
	s := caller.New(end, name, caller.Dependencies{Config: b, Dispatcher: b.places, Ledger: ledgerFunc(b.call), Entries: entryList{}},
		caller.WithLimits(l), caller.WithLog(&log.Logger{Handler: discard.Default}), caller.WithNotifier(b))
	b.nodes[name] = s
	srv := httptest.NewUnstartedServer(s.Handler())
	srv.Listener = smallBuffers{srv.Listener}
	srv.Start()
	b.t.Cleanup(func() {
		cancel()
		srv.CloseClientConnections()
		srv.Close()
	})
	return s, srv.URL
}

func (b *bench) Held() *bundle.InForce { return b.cfg }

func (b *bench) InForce() *bundle.InForce {
	if b.cutOff.Load() {
		return nil
	}
	return b.cfg
}

func (b *bench) call(call caller.ServiceCall) (caller.ServiceAnswer, error) { return b.ledger(call) }

// NotifyResumed implements caller.ResumeNotifier as the message between nodes does.
func (b *bench) NotifyResumed(_ context.Context, node, generation string) {
	if s := b.nodes[node]; s != nil {
		s.StopRelay(generation)
	}
}

// Sends a request and returns the answer, whose body the caller closes.
func (b *bench) send(url, method, path, key, body string, headers ...string) *http.Response {
	b.t.Helper()
	r, err := http.NewRequest(method, url+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		b.t.Fatal(err)
	}
	return resp
}

// stream sends a streamed completion request of alice.
func (b *bench) stream(prompt string, headers ...string) *http.Response {
	b.t.Helper()
	body, err := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "stream": true})
	if err != nil {
		b.t.Fatal(err)
	}
	return b.send(b.url, "POST", "/v1/completions", aliceKey, string(body), headers...)
}

// wireChunk is what the tests read of an event.
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

// answer is what a caller has of one answer.
type answer struct {
	from        io.Reader      // that lines was made of
	lines       *bufio.Scanner // keeps what it has read ahead from one read to the next
	texts       map[int]string // by index, of the present generation
	repeated    int
	restarts    int
	generation  string // announced last
	unannounced int    // tokens of another generation
	resumeToken string
	finished    bool
	tokens      int
	digest      string
	failure     *wireFailure
	done        bool // [DONE] came
}

// Reads events until the stream ends or holds limit tokens; zero means no limit.
func (a *answer) read(t *testing.T, r io.Reader, limit int) {
	t.Helper()
	if a.texts == nil {
		a.texts = make(map[int]string)
	}
	if a.from != r {
		a.from, a.lines = r, bufio.NewScanner(r)
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
		a.take(c)
	}
}

func (a *answer) take(c wireChunk) {
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

// Fails the test unless the answer is the whole answer to prompt, each token once.
func (a *answer) checkWhole(t *testing.T, prompt string) {
	t.Helper()
	want := fakeengine.Length(prompt)
	if got := len(a.texts); got != want || !a.finished || a.tokens != want || a.repeated != 0 || !a.done {
		t.Fatalf("got %d tokens, finished %v with count %d, %d repeated, done %v, failure %+v; want %d tokens", got, a.finished, a.tokens, a.repeated, a.done, a.failure, want)
	}
	if got, want := a.unannounced, 0; got != want {
		t.Errorf("tokens of a generation that was not announced: got %d, want %d", got, want)
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

// places grants servers in turn, leaving out the excluded, and records how places were used.
type places struct {
	servers []bundle.Server

	mu       sync.Mutex
	next     int
	refusal  error
	granting func()    // called while a place is granted; may be nil
	token    func(int) // called at each token; may be nil
	outcomes []caller.Outcome
}

var errNoServer = errors.New("every server is excluded")

func (p *places) Acquire(_ context.Context, w caller.Work) (caller.Slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusal != nil {
		return nil, p.refusal
	}
	if p.granting != nil {
		p.granting()
	}
	for range p.servers {
		srv := p.servers[p.next%len(p.servers)]
		p.next++
		if !contains(w.Exclude, srv.ID) {
			return &place{p: p, server: srv}, nil
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

// Returns how the places were used so far.
func (p *places) used() []caller.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]caller.Outcome(nil), p.outcomes...)
}

type place struct {
	p      *places
	server bundle.Server
}

func (p *place) Server() bundle.Server { return p.server }
func (p *place) Version() string       { return "v" }
func (p *place) RecordToken(index int) {
	if p.p.token != nil {
		p.p.token(index)
	}
}
func (p *place) Done(o caller.Outcome) {
	p.p.mu.Lock()
	defer p.p.mu.Unlock()
	p.p.outcomes = append(p.p.outcomes, o)
}

type ledgerFunc func(caller.ServiceCall) (caller.ServiceAnswer, error)

func (fn ledgerFunc) Call(_ context.Context, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	return fn(call)
}

type entryList struct{}

func (entryList) Entries(string) ([]netip.AddrPort, time.Duration) {
	return []netip.AddrPort{loopback}, time.Second
}

// smallBuffers makes connections that hold little unread data.
type smallBuffers struct{ net.Listener }

const smallBuffer = 4 << 10

func (l smallBuffers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(smallBuffer)
}

// rawConn connects to the bench's node without reading.
func (b *bench) rawConn() net.Conn {
	b.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		b.t.Fatal(err)
	}
	if err := conn.(*net.TCPConn).SetReadBuffer(smallBuffer); err != nil {
		b.t.Fatal(err)
	}
	return conn
}

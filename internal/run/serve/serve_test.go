package serve_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/document"
	"ebonyferry/internal/edge/kvstore"
	fakeengine "ebonyferry/internal/fake/engine"
	fakeplatform "ebonyferry/internal/fake/platform"
	fakeservice "ebonyferry/internal/fake/service"
	"ebonyferry/internal/run/serve"
	"ebonyferry/internal/run/settings"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

const key = "key-of-a-test-account"

// fixture is a platform with an engine and a plain service, for the nodes of a test.
type fixture struct {
	t        *testing.T
	ctx      context.Context
	platform *fakeplatform.Server
	addr     netip.AddrPort
	engine   *fakeengine.Engine
	service  *fakeservice.Service // "desk", under /services/desk

	operatorKey string // file of the private key of operator "op"
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &fixture{t: t, ctx: ctx, platform: fakeplatform.New(), engine: fakeengine.New(fakeengine.WithStep(5*time.Millisecond, 0, 0))}
	addr, err := f.platform.Listen(ctx, loopback)
	if err != nil {
		t.Fatal(err)
	}
	f.addr = addr
	engineAddr, err := f.engine.Listen(ctx, loopback)
	if err != nil {
		t.Fatal(err)
	}
	f.service = fakeservice.New()
	serviceAddr, err := f.service.Listen(ctx, loopback)
	if err != nil {
		t.Fatal(err)
	}
	doc := bundle.Bundle{
		Author:   "op",
		Services: []bundle.Service{{Name: "desk", Prefix: "/services/desk", Routes: []bundle.Route{{Method: "POST", Path: "/bookings"}}}},
		Servers: []bundle.Server{{ID: "e1", Kind: bundle.KindEngine, Addr: engineAddr, Region: "r", FailureDomain: "r-a", MaxStreams: 32, MemoryTokens: 64 << 10, Models: []bundle.ModelVersion{{Model: "m", Version: "v"}}},
			{ID: "d1", Kind: bundle.KindService, Service: "desk", Addr: serviceAddr, Region: "r", FailureDomain: "r-a", MaxStreams: 32}},
		Models: []bundle.Model{{Name: "m", Versions: []bundle.VersionShare{{Version: "v", Share: bundle.ShareTotal}}}},
	}
	keys := bundle.Keys{
		Accounts:  []bundle.Account{{ID: "shop", KeyHashes: []string{bundle.KeyHash(key)}}},
		Operators: []bundle.Operator{{Name: "op", PublicKeys: f.makeOperatorKey()}},
		TokenKeys: []bundle.TokenKey{{ID: "k", Secret: []byte("a secret of thirty-two bytes ...."), NotAfter: time.Now().Add(time.Hour)}},
	}
	store := kvstore.New([]netip.AddrPort{addr})
	if _, err := document.Bootstrap(ctx, store, doc, keys, bundle.ChangeRequest{By: "op", Nonce: "first", At: time.Now()}); err != nil {
		t.Fatal(err)
	}
	return f
}

// startNode starts a node whose settings edit may change, and waits until it accepts work.
func (f *fixture) startNode(name string, edit func(*settings.Settings)) *serve.Node {
	f.t.Helper()
	cfg := settings.Default()
	cfg.Node = settings.Node{Name: name, Region: "r", FailureDomain: "r-a"}
	cfg.Listen = settings.Listen{Callers: loopback, Nodes: loopback, Operators: loopback, Status: loopback}
	cfg.Advertise = settings.Advertise{Callers: loopback, Nodes: loopback}
	cfg.Platform.Addrs = []netip.AddrPort{f.addr}
	if edit != nil {
		edit(&cfg)
	}
	n, err := serve.Start(f.ctx, cfg, serve.WithLog(&log.Logger{Handler: discard.Default}))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(n.Stop)
	waitFor(f.t, name+" accepts work", func() bool { return n.InForce() != nil })
	return n
}

// waitFor waits until done returns true. Its limit is far longer than any wait in these tests takes.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 3000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", what)
}

// stream starts a streamed completion and returns its events, and a function that closes it.
func stream(t *testing.T, client *http.Client, base, prompt string) (*bufio.Scanner, func()) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"m","stream":true,"prompt":%q}`, prompt)
	r, err := http.NewRequest("POST", base+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status: got %d, want %d", resp.StatusCode, http.StatusOK)
	}
	return bufio.NewScanner(resp.Body), func() { resp.Body.Close() }
}

// readStream reads a stream to its end and returns the number of token events and the last line.
func readStream(sc *bufio.Scanner) (tokens int, last string) {
	for sc.Scan() {
		if strings.Contains(sc.Text(), `"index":`) && strings.Contains(sc.Text(), `"ferry":{"generation"`) && !strings.Contains(sc.Text(), `"finished"`) {
			tokens++
		}
		if sc.Text() != "" {
			last = sc.Text()
		}
	}
	return tokens, last
}

func TestDrainFinishesRunningAndLateStreams(t *testing.T) {
	f := newFixture(t)
	n := f.startNode("n1", nil)
	base := "http://" + n.CallerAddr().String()
	const tokens = 1400 // takes longer than a draining node waits for late callers
	sc, closeBody := stream(t, http.DefaultClient, base, fmt.Sprintf("history #tokens=%d", tokens))
	defer closeBody()

	done := make(chan error, 1)
	go func() { done <- n.Drain(context.Background()) }()
	late, closeLate := stream(t, &http.Client{}, base, "late caller #tokens=5")
	defer closeLate()
	if got, last := readStream(late); got != 5 || last != "data: [DONE]" {
		t.Errorf("late caller: got %d tokens and last line %q, want 5 and [DONE]", got, last)
	}
	if got, last := readStream(sc); got != tokens || last != "data: [DONE]" {
		t.Errorf("running stream: got %d tokens and last line %q, want %d and [DONE]", got, last, tokens)
	}
	if err := <-done; err != nil {
		t.Errorf("drain: %v", err)
	}
	if _, err := http.Get(base + "/v1/entries"); err == nil {
		t.Error("node still serves after its drain")
	}
}

func TestSecondSignalEndsStreamsResumably(t *testing.T) {
	f := newFixture(t)
	n := f.startNode("n1", nil)
	sc, closeBody := stream(t, http.DefaultClient, "http://"+n.CallerAddr().String(), "history #tokens=100000")
	defer closeBody()
	if !sc.Scan() {
		t.Fatal("stream did not begin")
	}
	done := make(chan error, 1)
	go func() { done <- n.Drain(context.Background()) }()
	n.End()
	_, last := readStream(sc)
	if err := sc.Err(); err != nil {
		t.Errorf("reading the stream: %v", err)
	}
	if !strings.Contains(last, `"code":"nodeEnds"`) || !strings.Contains(last, `"resumable":true`) {
		t.Errorf("last event: got %q, want nodeEnds and resumable", last)
	}
	if err := <-done; err != nil {
		t.Errorf("drain: %v", err)
	}
	if got, want := f.engine.Counters().Canceled, 0; got != want {
		t.Errorf("canceled at the engine: got %d, want %d", got, want)
	}
}

func TestStatusPages(t *testing.T) {
	f := newFixture(t)
	n := f.startNode("n1", nil)
	for path, want := range map[string]string{"/healthz": "ok", "/readyz": "ready", "/metrics": "ferry_revision 1"} {
		resp, err := http.Get("http://" + n.StatusAddr().String() + path)
		if err != nil {
			t.Fatal(err)
		}
		sc := bufio.NewScanner(resp.Body)
		found := false
		for sc.Scan() {
			found = found || strings.HasPrefix(sc.Text(), want)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK || !found {
			t.Errorf("%s: got status %d, line %q found %v", path, resp.StatusCode, want, found)
		}
	}
}

func TestNotReadyWithoutConfiguration(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	addr, err := fakeplatform.New().Listen(ctx, loopback)
	if err != nil {
		t.Fatal(err)
	}
	cfg := settings.Default()
	cfg.Node = settings.Node{Name: "n1", Region: "r", FailureDomain: "r-a"}
	cfg.Listen = settings.Listen{Callers: loopback, Nodes: loopback, Status: loopback}
	cfg.Advertise = settings.Advertise{Callers: loopback, Nodes: loopback}
	cfg.Platform.Addrs = []netip.AddrPort{addr}
	n, err := serve.Start(ctx, cfg, serve.WithLog(&log.Logger{Handler: discard.Default}))
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	resp, err := http.Get("http://" + n.StatusAddr().String() + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if got, want := resp.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("readyz: got %d, want %d", got, want)
	}
	resp, err = http.Post("http://"+n.CallerAddr().String()+"/v1/completions", "application/json", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if got, want := resp.Header.Get("Ferry-Not-Run"), "true"; resp.StatusCode != http.StatusServiceUnavailable || got != want {
		t.Errorf("request: got status %d, not run %q; want %d, %q", resp.StatusCode, got, http.StatusServiceUnavailable, want)
	}
}

// A node must refuse a request whose header exceeds its limit instead of reading all of it into memory.
func TestLargeHeaderIsRefused(t *testing.T) {
	f := newFixture(t)
	n := f.startNode("n1", nil)
	r, err := http.NewRequest("GET", "http://"+n.CallerAddr().String()+"/v1/models", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Ferry-Region", strings.Repeat("x", 64<<10))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if got, want := resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
}

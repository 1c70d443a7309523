package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/retry"
	"ebonyferry/internal/core/route"
)

// sentRequest is one request that a server received.
type sentRequest struct {
	server string
	id     string
	opts   OpenOptions
}

// fakeUpstream is an upstream whose servers behave as the test's functions say.
type fakeUpstream struct {
	mu     sync.Mutex
	sent   []sentRequest
	copies []string // FROM>TO or FROM>TO!stop

	call func(ctx context.Context, server string, n int) (Answer, error) // n counts requests from 0
	open func(server string, n int, opts OpenOptions) (Events, *Answer, error)
	copy func(from, to string, stop bool) (string, error)

	report func(server string) (ServerReport, error)

	connect map[string]time.Duration // how long connections to servers take
}

func (u *fakeUpstream) record(server, id string, opts OpenOptions) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sent = append(u.sent, sentRequest{server, id, opts})
	return len(u.sent) - 1
}

func (u *fakeUpstream) requests() []sentRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]sentRequest(nil), u.sent...)
}

func (u *fakeUpstream) copyLog() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return strings.Join(u.copies, " ")
}

func (u *fakeUpstream) Call(ctx context.Context, srv backend.Server, req *Admitted) (Answer, error) {
	u.connectTo(srv.ID, req)
	return u.call(ctx, srv.ID, u.record(srv.ID, req.ID, OpenOptions{}))
}

func (u *fakeUpstream) connectTo(server string, req *Admitted) {
	time.Sleep(u.connect[server])
	req.RecordConnected(time.Now())
}

func (u *fakeUpstream) Open(_ context.Context, srv backend.Server, req *Admitted, opts OpenOptions) (Events, *Answer, error) {
	u.connectTo(srv.ID, req)
	return u.open(srv.ID, u.record(srv.ID, req.ID, opts), opts)
}

func (u *fakeUpstream) Copy(_ context.Context, from, to backend.Server, _ string, stop bool) (string, error) {
	text := from.ID + ">" + to.ID
	if stop {
		text += "!stop"
	}
	u.mu.Lock()
	u.copies = append(u.copies, text)
	u.mu.Unlock()
	if u.copy == nil {
		return "handle", nil
	}
	return u.copy(from.ID, to.ID, stop)
}

func (u *fakeUpstream) Report(_ context.Context, srv backend.Server) (ServerReport, error) {
	if u.report == nil {
		return ServerReport{}, nil
	}
	return u.report(srv.ID)
}

// fakeEvents is a stream that returns err after its last event.
type fakeEvents struct {
	from, to int // IDs of the last event returned and of the last event of the stream
	gap      time.Duration
	err      error
	closed   chan struct{}
	once     sync.Once
	stop     <-chan struct{} // ends the stream early with err, if not nil
}

var errCut = errors.New("connection reset")

// newFakeEvents returns a stream of the events from+1 to to, and then err.
func newFakeEvents(from, to int, err error) *fakeEvents {
	return &fakeEvents{from: from, to: to, gap: 10 * time.Millisecond, err: err, closed: make(chan struct{})}
}

func (e *fakeEvents) Head() Answer { return Answer{Status: http.StatusOK, Header: http.Header{}} }

func (e *fakeEvents) Close() { e.once.Do(func() { close(e.closed) }) }

func (e *fakeEvents) Next() (Event, error) {
	if e.from >= e.to {
		return Event{}, e.end()
	}
	select {
	case <-time.After(e.gap):
	case <-e.stop:
		return Event{}, e.err
	case <-e.closed:
		return Event{}, errCut
	}
	e.from++
	id := fmt.Sprint(e.from)
	return Event{ID: id, Data: []byte(id + " ")}, nil
}

// end returns err. A stream without an err is silent until it is closed.
func (e *fakeEvents) end() error {
	if e.err == nil {
		<-e.closed
		return errCut
	}
	return e.err
}

// fakeResponder records one answer.
type fakeResponder struct {
	mu      sync.Mutex
	answer  *Answer
	refusal *Refusal
	text    strings.Builder
	ended   bool
	broken  bool // the caller has left, so writes fail
}

func (w *fakeResponder) write(fn func()) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken {
		return io.ErrClosedPipe
	}
	fn()
	return nil
}

func (w *fakeResponder) Answer(a Answer) error             { return w.write(func() { w.answer = &a }) }
func (w *fakeResponder) Begin(Answer, time.Duration) error { return w.write(func() {}) }
func (w *fakeResponder) Event(d []byte) error              { return w.write(func() { w.text.Write(d) }) }
func (w *fakeResponder) End() error                        { return w.write(func() { w.ended = true }) }
func (w *fakeResponder) Refuse(r Refusal) error            { return w.write(func() { w.refusal = &r }) }

// singleNode is a fleet of one node.
type singleNode struct{}

func (singleNode) Self() string           { return "n1" }
func (singleNode) Peers() []Peer          { return nil }
func (singleNode) Rank() (int, int)       { return 1, 0 }
func (singleNode) Judges() ([]Peer, bool) { return nil, true }

const host = "a.example"

// testConfig returns a configuration with two services: "desk" is plain, "writers" are engines.
func testConfig() *route.Config { return configWith(1, 0) }

// coldConfig returns a later configuration whose engines tolerate a rate while they are cold.
func coldConfig(perSecond float64) *route.Config { return configWith(2, perSecond) }

func configWith(version uint64, coldPerSecond float64) *route.Config {
	routes := []*route.Route{
		{Host: host, Prefix: "/look/", Kind: route.Repeatable, Timeout: time.Second, LatencyTarget: 300 * time.Millisecond, MaxAttempts: 2, Backends: []route.Backend{{Service: "desk"}}},
		{Host: host, Prefix: "/book/", Kind: route.NonRepeatable, Timeout: time.Second, LatencyTarget: 300 * time.Millisecond, MaxAttempts: 1, Backends: []route.Backend{{Service: "desk"}}},
		{Host: host, Prefix: "/plan/", Kind: route.Stream, Timeout: 39 * time.Second, LatencyTarget: 1800 * time.Millisecond, MaxAttempts: 1, Backends: []route.Backend{{Service: "writers"}}},
	}
	engine := &route.Engine{Slots: 24, MemoryTokens: 34_000, Copies: true, Moves: true, TokensPerEvent: 4}
	services := []*route.Service{{Name: "desk"}, {Name: "writers", Engine: engine, ColdPerSecond: coldPerSecond}}
	accounts := []*route.Account{{Name: "one", Keys: []string{"key"}}}
	return route.New(version, routes, services, accounts, route.Limits{})
}

func newRuntime(up Upstream, servers ...string) *Runtime {
	bounds := Bounds{RetryRatio: 0.2, RetrySlack: 54, RetryWindow: 10 * time.Second, ColdRatio: 1.5, ColdSlack: 5}
	rt := New("x", up, singleNode{}, WithLog(&log.Logger{Handler: discard.New(), Level: log.FatalLevel}), WithBounds(bounds))
	rt.retries = retry.NewWindowBudget(bounds.RetryRatio, bounds.RetrySlack, bounds.RetryWindow, time.Now().Add(-time.Minute))
	rt.SetConfig(testConfig())
	rt.UpdatePool(func(p *backend.Pool) {
		for _, id := range servers {
			p.Put(testServer(id))
		}
	})
	return rt
}

// testServer returns the registration of a server. Names of engines start with "w".
func testServer(id string) backend.Server {
	srv := backend.Server{ID: id, Service: "desk", Domain: "x", Slots: 6}
	if strings.HasPrefix(id, "w") {
		srv.Service, srv.Slots = "writers", 24
	}
	return srv
}

func testRequest(path string) *Request {
	return &Request{
		ID: "r1", Method: http.MethodPost, Host: host, Target: path, Path: path, Key: "key",
		Arrived: time.Now(), Generation: Generation{PromptTokens: 3000, MaxTokens: 2000, LengthHint: 900},
	}
}

// serve serves a request and returns what the caller received.
func serve(t *testing.T, rt *Runtime, path string) (*fakeResponder, Result) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := new(fakeResponder)
	return w, rt.Serve(ctx, testRequest(path), w)
}

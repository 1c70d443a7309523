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
	"ebonyferry/internal/core/route"
)

// sent is one request at a server.
type sent struct {
	server string
	id     string
	how    OpenOptions
}

// script is an upstream whose servers do as the test says.
type script struct {
	mu     sync.Mutex
	sent   []sent
	copies []string // FROM>TO or FROM>TO!stop

	call func(ctx context.Context, server string, n int) (Answer, error) // n counts the calls from 0
	open func(server string, n int, how OpenOptions) (Events, *Answer, error)
	copy func(from, to string, stop bool) (string, error)
}

func (s *script) note(server, id string, how OpenOptions) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, sent{server, id, how})
	return len(s.sent) - 1
}

func (s *script) all() []sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]sent(nil), s.sent...)
}

func (s *script) copied() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.copies, " ")
}

func (s *script) Call(ctx context.Context, srv backend.Server, req *Admitted) (Answer, error) {
	return s.call(ctx, srv.ID, s.note(srv.ID, req.ID, OpenOptions{}))
}

func (s *script) Open(_ context.Context, srv backend.Server, req *Admitted, how OpenOptions) (Events, *Answer, error) {
	return s.open(srv.ID, s.note(srv.ID, req.ID, how), how)
}

func (s *script) Copy(_ context.Context, from, to backend.Server, _ string, stop bool) (string, error) {
	text := from.ID + ">" + to.ID
	if stop {
		text += "!stop"
	}
	s.mu.Lock()
	s.copies = append(s.copies, text)
	s.mu.Unlock()
	if s.copy == nil {
		return "handle", nil
	}
	return s.copy(from.ID, to.ID, stop)
}

// tape is a stream of events; it ends with err after the last.
type tape struct {
	from, to int // IDs of the events
	gap      time.Duration
	err      error
	closed   chan struct{}
	once     sync.Once
	stop     <-chan struct{} // ends the stream early with err; nil never does
}

var errCut = errors.New("connection reset")

// Returns events from+1 to to, and then err.
func play(from, to int, err error) *tape {
	return &tape{from: from, to: to, gap: 10 * time.Millisecond, err: err, closed: make(chan struct{})}
}

func (p *tape) Head() Answer { return Answer{Status: http.StatusOK, Header: http.Header{}} }

func (p *tape) Close() { p.once.Do(func() { close(p.closed) }) }

func (p *tape) Next() (Event, error) {
	if p.from >= p.to {
		return Event{}, p.end()
	}
	select {
	case <-time.After(p.gap):
	case <-p.stop:
		return Event{}, p.err
	case <-p.closed:
		return Event{}, errCut
	}
	p.from++
	id := fmt.Sprint(p.from)
	return Event{ID: id, Data: []byte(id + " ")}, nil
}

// Returns the end of the tape; one without an error is silent until it is closed.
func (p *tape) end() error {
	if p.err == nil {
		<-p.closed
		return errCut
	}
	return p.err
}

// page records one answer.
type page struct {
	mu      sync.Mutex
	answer  *Answer
	refusal *Refusal
	text    strings.Builder
	ended   bool
	broken  bool // writes fail, since the caller has left
}

func (p *page) write(fn func()) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broken {
		return io.ErrClosedPipe
	}
	fn()
	return nil
}

func (p *page) Answer(a Answer) error  { return p.write(func() { p.answer = &a }) }
func (p *page) Begin(Answer) error     { return p.write(func() {}) }
func (p *page) Event(d []byte) error   { return p.write(func() { p.text.Write(d) }) }
func (p *page) End() error             { return p.write(func() { p.ended = true }) }
func (p *page) Refuse(r Refusal) error { return p.write(func() { p.refusal = &r }) }

// alone is a fleet of one node.
type alone struct{}

func (alone) Peers() []Peer    { return nil }
func (alone) Rank() (int, int) { return 1, 0 }

const host = "a.example"

// Services: "desk" is plain, "writers" are engines.
func testConfig() *route.Config {
	routes := []*route.Route{
		{Host: host, Prefix: "/look/", Kind: route.Repeatable, Timeout: time.Second, LatencyTarget: 300 * time.Millisecond, MaxAttempts: 2, Backends: []route.Backend{{Service: "desk"}}},
		{Host: host, Prefix: "/book/", Kind: route.NonRepeatable, Timeout: time.Second, LatencyTarget: 300 * time.Millisecond, MaxAttempts: 1, Backends: []route.Backend{{Service: "desk"}}},
		{Host: host, Prefix: "/plan/", Kind: route.Stream, Timeout: 39 * time.Second, LatencyTarget: 1800 * time.Millisecond, MaxAttempts: 1, Backends: []route.Backend{{Service: "writers"}}},
	}
	engine := &route.Engine{Slots: 24, MemoryTokens: 34_000, Copies: true, Moves: true, TokensPerEvent: 4}
	services := []*route.Service{{Name: "desk"}, {Name: "writers", Engine: engine}}
	accounts := []*route.Account{{Name: "one", Keys: []string{"key"}}}
	return route.New(1, routes, services, accounts, route.Limits{})
}

func newRuntime(up Upstream, servers ...string) *Runtime {
	rules := Bounds{RetryRatio: 0.2, RetrySlack: 54, RetryWindow: 10 * time.Second, ColdRatio: 1.5, ColdSlack: 5}
	rt := New("x", up, alone{}, WithLog(&log.Logger{Handler: discard.New(), Level: log.FatalLevel}), WithBounds(rules))
	rt.SetConfig(testConfig())
	rt.UpdatePool(func(p *backend.Pool) {
		for _, id := range servers {
			p.Put(listed(id))
		}
	})
	return rt
}

// Returns the registration of a server. The names of engines begin with "w".
func listed(id string) backend.Server {
	srv := backend.Server{ID: id, Service: "desk", Domain: "x", Slots: 6}
	if strings.HasPrefix(id, "w") {
		srv.Service, srv.Slots = "writers", 24
	}
	return srv
}

func request(path string) *Request {
	return &Request{
		ID: "r1", Method: http.MethodPost, Host: host, Target: path, Path: path, Key: "key",
		Arrived: time.Now(), Generation: Generation{PromptTokens: 3000, MaxTokens: 2000, LengthHint: 900},
	}
}

// Serves a request and returns what the caller got.
func serve(t *testing.T, rt *Runtime, path string) (*page, Result) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := new(page)
	return p, rt.Serve(ctx, request(path), p)
}

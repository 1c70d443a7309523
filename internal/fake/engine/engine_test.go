package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/engine"
	fake "ebonyferry/internal/fake/engine"
)

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	fastStep = fake.WithStep(100*time.Microsecond, 0, 0)
)

func start(t *testing.T, opts ...fake.Option) (*fake.Engine, *engine.Client) {
	t.Helper()
	e := fake.New(append([]fake.Option{fastStep}, opts...)...)
	addr, err := e.Listen(t.Context(), loopback)
	if err != nil {
		t.Fatal(err)
	}
	c := engine.New(addr)
	t.Cleanup(c.Close)
	return e, c
}

func request(id, prompt string) engine.GenerateRequest {
	return engine.GenerateRequest{Generation: id, Model: "m", Version: "v1", Prompt: prompt}
}

// drain reads a stream to its end and checks the text of each token.
func drain(s *engine.Stream, prompt string) (tokens int, err error) {
	defer s.Close()
	for {
		tok, err := s.Next()
		if errors.Is(err, io.EOF) {
			return tokens, nil
		}
		if err != nil {
			return tokens, err
		}
		if tok.Finished {
			continue
		}
		if want := fake.TokenText(prompt, tok.Index); tok.Text != want {
			return tokens, fmt.Errorf("token %d: got %q, want %q", tok.Index, tok.Text, want)
		}
		tokens++
	}
}

func generate(ctx context.Context, c *engine.Client, id, prompt string) (int, error) {
	s, err := c.Generate(ctx, request(id, prompt))
	if err != nil {
		return 0, err
	}
	return drain(s, prompt)
}

func TestGenerate(t *testing.T) {
	e, c := start(t)
	for _, prompt := range []string{"#tokens=1", "hello #tokens=40", "a heavy-tailed answer"} {
		got, err := generate(t.Context(), c, prompt, prompt)
		if want := fake.Length(prompt); got != want || err != nil {
			t.Errorf("%q: got %d tokens, %v, want %d", prompt, got, err, want)
		}
	}
	if _, err := c.Generate(t.Context(), request("#tokens=1", "#tokens=1")); err == nil || errors.Is(err, engine.ErrNotRun) {
		t.Errorf("second start: got %v, want an error that is not ErrNotRun", err)
	}
	if got, want := e.Counters().DoubleStarted, 1; got != want {
		t.Errorf("double starts: got %d, want %d", got, want)
	}
}

func TestResumeAfterDroppedConnection(t *testing.T) {
	_, c := start(t)
	prompt := "#tokens=200"
	s, err := c.Generate(t.Context(), request("g", prompt))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Next(); err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	s, err = c.Resume(t.Context(), "g", 1)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := drain(s, prompt); got != 199 || err != nil {
		t.Errorf("resumed: got %d tokens, %v, want 199", got, err)
	}
	if _, err := c.Resume(t.Context(), "other", 0); !errors.Is(err, engine.ErrUnknownGeneration) {
		t.Errorf("unknown generation: got %v, want %v", err, engine.ErrUnknownGeneration)
	}
}

func TestCancel(t *testing.T) {
	e, c := start(t)
	s, err := c.Generate(t.Context(), request("g", "#tokens=1000000"))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Cancel(t.Context(), "g"); err != nil {
		t.Fatal(err)
	}
	if _, err := drain(s, "#tokens=1000000"); !errors.Is(err, engine.ErrTruncated) {
		t.Errorf("stream: got %v, want %v", err, engine.ErrTruncated)
	}
	if got, want := e.Counters().Canceled, 1; got != want {
		t.Errorf("canceled: got %d, want %d", got, want)
	}
	if err := c.Cancel(t.Context(), "none"); err != nil {
		t.Errorf("unknown generation: got %v, want nil", err)
	}
}

func TestRefusedRequestsAreNotRun(t *testing.T) {
	model := bundle.ModelVersion{Model: "m", Version: "v1"}
	e, c := start(t, fake.WithModels(0, model), fake.WithBatch(1, 0), fake.WithMemory(1000, 0))
	other := request("g", "x")
	other.Version = "v2"
	if _, err := c.Generate(t.Context(), other); !errors.Is(err, engine.ErrNotRun) {
		t.Errorf("version that is not loaded: got %v, want %v", err, engine.ErrNotRun)
	}
	if _, err := c.Generate(t.Context(), request("g", strings.Repeat("x", 4000))); !errors.Is(err, engine.ErrNotRun) {
		t.Errorf("prompt larger than the memory: got %v, want %v", err, engine.ErrNotRun)
	}
	s, err := c.Generate(t.Context(), request("long", "#tokens=1000000"))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	_, err = c.Generate(t.Context(), request("g", "x"))
	if !errors.Is(err, engine.ErrNotRun) || !errors.Is(err, engine.ErrOverloaded) {
		t.Errorf("full engine: got %v, want %v and %v", err, engine.ErrNotRun, engine.ErrOverloaded)
	}
	e.Kill()
	// Without a pooled connection no byte can have been sent, and the client must return ErrNotRun.
	fresh := engine.New(c.Addr())
	if _, err := fresh.Generate(t.Context(), request("g", "x")); !errors.Is(err, engine.ErrNotRun) {
		t.Errorf("engine that is down: got %v, want %v", err, engine.ErrNotRun)
	}
	if got, want := e.Counters().Started, 1; got != want {
		t.Errorf("started: got %d, want %d", got, want)
	}
}

func TestPreemptionLosesNoTokens(t *testing.T) {
	e, c := start(t, fake.WithMemory(150, 0))
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			prompt := fmt.Sprintf("%d #tokens=100", i)
			if got, err := generate(t.Context(), c, prompt, prompt); got != 100 || err != nil {
				t.Errorf("stream %d: got %d tokens, %v, want 100", i, got, err)
			}
		})
	}
	wg.Wait()
	if got := e.Counters(); got.Preemptions == 0 || got.Stall == 0 {
		t.Errorf("counters: got %+v, want preemptions and stall", got)
	}
}

func TestOverloadedColdEngineCrashes(t *testing.T) {
	tests := []struct {
		name    string
		streams int
		want    int
	}{
		{"within capacity", 2, 0},
		{"beyond capacity", 6, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, c := start(t, fake.WithColdStart(2, time.Hour, 5*time.Millisecond), fake.WithRestartAfter(0))
			var wg sync.WaitGroup
			for i := range tt.streams {
				wg.Go(func() { _, _ = generate(t.Context(), c, fmt.Sprint(i), "#tokens=400") })
			}
			wg.Wait()
			if got := e.Counters().ColdOverloads; got != tt.want {
				t.Errorf("cold overloads: got %d, want %d", got, tt.want)
			}
		})
	}
}

func TestWarmsUpAndTurnsCold(t *testing.T) {
	e, c := start(t, fake.WithColdStart(2, 10*time.Millisecond, time.Second), fake.WithBatch(8, 8))
	if got, want := e.Capacity(), 2; got != want {
		t.Errorf("capacity when cold: got %d streams, want %d", got, want)
	}
	if _, err := generate(t.Context(), c, "g", "#tokens=200"); err != nil {
		t.Fatal(err)
	}
	if got, want := e.Capacity(), 16; got != want {
		t.Errorf("capacity when warm: got %d streams, want %d", got, want)
	}
	e.TurnCold()
	if got, want := e.Capacity(), 2; got != want {
		t.Errorf("capacity when cold again: got %d streams, want %d", got, want)
	}
}

// An engine that turns cold under load must not crash because of the streams that it has then. It crashes when it
// gets many more.
func TestTurnsColdUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := fake.New(fake.WithStep(10*time.Millisecond, 0, 0), fake.WithColdStart(2, time.Minute, 10*time.Millisecond), fake.WithRestartAfter(0))
		e.Start(t.Context())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		startStreams := func(from, to int) {
			for i := from; i < to; i++ {
				body := fmt.Sprintf(`{"generation":"%d","prompt":"#tokens=100000"}`, i)
				r := httptest.NewRequestWithContext(ctx, http.MethodPost, engine.PathGenerate, strings.NewReader(body))
				go func() {
					defer func() { _ = recover() }() // the connection is dropped at the crash
					e.ServeHTTP(httptest.NewRecorder(), r)
				}()
			}
		}
		startStreams(0, 1)
		time.Sleep(90 * time.Second) // until warm
		startStreams(1, 10)
		time.Sleep(time.Second)
		e.TurnCold()
		time.Sleep(5 * time.Second)
		if got, want := e.Counters().ColdOverloads, 0; got != want {
			t.Errorf("with the streams from before: got %d overloads, want %d", got, want)
		}
		startStreams(10, 20)
		time.Sleep(time.Second)
		if got, want := e.Counters().ColdOverloads, 1; got != want {
			t.Errorf("with more streams: got %d overloads, want %d", got, want)
		}
	})
}

func TestCrashedEngineRestartsWithNewBootID(t *testing.T) {
	e, c := start(t, fake.WithRestartAfter(time.Millisecond))
	before, err := c.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got, err := generate(t.Context(), c, "g", "#crash #tokens=50"); got > 3 || !errors.Is(err, engine.ErrTruncated) {
		t.Errorf("crashing prompt: got %d tokens, %v, want at most 3 and %v", got, err, engine.ErrTruncated)
	}
	var after engine.Load
	for range 500 { // until it has restarted
		if after, err = c.Load(t.Context()); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil || after.BootID == before.BootID {
		t.Errorf("boot ID: got %q, %v, want another than %q", after.BootID, err, before.BootID)
	}
	if _, err := c.Resume(t.Context(), "g", 0); !errors.Is(err, engine.ErrUnknownGeneration) {
		t.Errorf("resume: got %v, want %v", err, engine.ErrUnknownGeneration)
	}
	if got, want := e.Counters().Crashes, 1; got != want {
		t.Errorf("crashes: got %d, want %d", got, want)
	}
}

func TestClientDetectsMisbehaviour(t *testing.T) {
	tests := []struct {
		kind fake.MisbehaviourKind
		want error
	}{
		{fake.MisbehaveRepeat, engine.ErrOutOfOrder},
		{fake.MisbehaveSkip, engine.ErrOutOfOrder},
		{fake.MisbehaveForeign, engine.ErrOutOfOrder},
		{fake.MisbehaveCut, engine.ErrTruncated},
		{fake.MisbehaveLate, nil},
	}
	for _, tt := range tests {
		t.Run(string(tt.kind), func(t *testing.T) {
			_, c := start(t, fake.WithMisbehaviour(fake.Misbehaviour{Kind: tt.kind, At: 5, Delay: time.Millisecond}))
			if _, err := generate(t.Context(), c, "g", "#tokens=20"); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

func TestOrders(t *testing.T) {
	v2 := bundle.ModelVersion{Model: "m", Version: "v2"}
	tests := []struct {
		name      string
		opts      []fake.Option
		wantErr   error
		wantStale int
	}{
		{"fencing honored", []fake.Option{fake.WithFencing()}, engine.ErrStaleFence, 0},
		{"fencing ignored", nil, nil, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			opts := append(tt.opts, fake.WithModels(0, bundle.ModelVersion{Model: "m", Version: "v1"}))
			e, c := start(t, opts...)
			if err := c.Order(t.Context(), engine.Order{Fence: 2, Kind: engine.OrderServe, Model: v2}); err != nil {
				t.Fatal(err)
			}
			err := c.Order(t.Context(), engine.Order{Fence: 1, Kind: engine.OrderUnload, Model: v2})
			if !errors.Is(err, tt.wantErr) {
				t.Errorf("old order: got %v, want %v", err, tt.wantErr)
			}
			if got := e.Counters().StaleOrders; got != tt.wantStale {
				t.Errorf("stale orders: got %d, want %d", got, tt.wantStale)
			}
		})
	}
}

func TestBadVersions(t *testing.T) {
	v1 := bundle.ModelVersion{Model: "m", Version: "v1"}
	_, c := start(t, fake.WithBadVersions(fake.BadVersion{Version: v1, Kind: fake.BadFails, Mark: "route-a"}))
	_, err := generate(t.Context(), c, "a", "route-a #tokens=3")
	if !errors.Is(err, engine.ErrFailed) || errors.Is(err, engine.ErrNotRun) {
		t.Errorf("marked prompt: got %v, want %v", err, engine.ErrFailed)
	}
	if _, err := generate(t.Context(), c, "b", "route-b #tokens=3"); err != nil {
		t.Errorf("other prompt: got %v, want nil", err)
	}
}

func TestCacheEventsHaveGaps(t *testing.T) {
	_, c := start(t, fake.WithCacheEvents(time.Millisecond, 2), fake.WithMemory(10_000, 4*engine.BlockTokens))
	for i := range 3 {
		prompt := strings.Repeat(fmt.Sprint(i), 2*engine.BlockBytes) + "#tokens=2"
		if _, err := generate(t.Context(), c, fmt.Sprint(i), prompt); err != nil {
			t.Fatal(err)
		}
	}
	// Six blocks are stored and two evicted; every second event is omitted.
	var got []engine.CacheEvent
	var after uint64
	for len(got) < 4 {
		events, err := c.CacheEvents(t.Context(), after)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, events...)
		after = got[len(got)-1].Seq
	}
	for i := 1; i < len(got); i++ {
		if step := got[i].Seq - got[i-1].Seq; step != 2 {
			t.Errorf("event %d: sequence grows by %d, want 2", i, step)
		}
	}
}

func TestLoadReportsLag(t *testing.T) {
	const lag = 50 * time.Millisecond
	_, c := start(t, fake.WithLoadLag(lag))
	time.Sleep(2 * lag)
	s, err := c.Generate(t.Context(), request("g", "#tokens=1000000"))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	load, err := c.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got := time.Since(load.SampledAt); got < lag {
		t.Errorf("age of the report: got %v, want at least %v", got, lag)
	}
}

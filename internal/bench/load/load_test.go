package load_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"ebonyferry/internal/bench/load"
	"ebonyferry/internal/edge/engine"
	"ebonyferry/internal/edge/service"
	fakeengine "ebonyferry/internal/fake/engine"
	fakeservice "ebonyferry/internal/fake/service"
)

// fault is how testNode misbehaves.
type fault string

const (
	faultNone         fault = ""
	faultCut          fault = "cut"
	faultRepeat       fault = "repeat"
	faultSkip         fault = "skip"
	faultForeign      fault = "foreign"
	faultShort        fault = "short"
	faultDigest       fault = "digest"
	faultOtherAnswer  fault = "other answer"
	faultFalseNotRun  fault = "false not run"
	faultDoubleRun    fault = "double run"
	faultFalseReceipt fault = "false receipt"
	faultRefuse       fault = "refuse"
)

// testNode serves the caller protocol in front of one engine and one service, with at most one fault.
type testNode struct {
	t       *testing.T
	fault   fault
	engine  *engine.Client
	service netip.AddrPort
}

const notRunBody = `{"error":{"message":"no","code":"overloaded","ferry":{"notRun":true,"retryAfterMs":1}}}`

func (n *testNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		n.t.Error(err)
	}
	switch {
	case r.URL.Path == "/v1/entries":
		fmt.Fprintf(w, `{"entries":[%q],"ttlMs":1000}`, r.Host)
	case strings.HasPrefix(r.URL.Path, "/services/bookings"):
		n.call(w, r, body)
	case n.fault == faultRefuse:
		n.refuse(w)
	default:
		n.complete(w, r, body)
	}
}

func (n *testNode) refuse(w http.ResponseWriter) {
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, notRunBody)
}

func (n *testNode) call(w http.ResponseWriter, r *http.Request, body []byte) {
	path := strings.TrimPrefix(r.URL.Path, "/services/bookings")
	call := service.Call{Method: r.Method, Path: path, Body: body, IdempotencyKey: r.Header.Get(service.HeaderIdempotencyKey)}
	if n.fault == faultFalseReceipt && r.Method == http.MethodPost {
		var b fakeservice.Booking
		_ = json.Unmarshal(body, &b)
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, `{"booking":%q,"run":1}`, b.Booking)
		return
	}
	if n.fault == faultOtherAnswer {
		call.Path = strings.Replace(call.Path, "item-", "other-", 1)
	}
	reply, err := service.New().Call(r.Context(), n.service, call)
	if err == nil && n.fault == faultDoubleRun {
		_, err = service.New().Call(r.Context(), n.service, call)
	}
	if err != nil || n.fault == faultFalseNotRun {
		n.refuse(w)
		return
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

func (n *testNode) complete(w http.ResponseWriter, r *http.Request, body []byte) {
	var req struct {
		Messages    []struct{ Content string }
		Prompt      string
		Stream      bool
		ResumeToken string
		Index       int
	}
	if err := json.Unmarshal(body, &req); err != nil {
		n.t.Error(err)
	}
	if req.ResumeToken != "" {
		s, err := n.engine.Resume(r.Context(), req.ResumeToken, 0)
		n.forward(w, s, err, req.ResumeToken, req.Index, true, faultNone)
		return
	}
	if len(req.Messages) > 0 {
		req.Prompt = "user: " + req.Messages[0].Content + "\n"
	}
	id := r.Header.Get("Authorization") + req.Prompt
	s, err := n.engine.Generate(r.Context(), engine.GenerateRequest{Generation: id, Model: "m", Version: "v", Prompt: req.Prompt})
	if err == nil && n.fault == faultFalseNotRun {
		n.refuse(w)
		return
	}
	n.forward(w, s, err, id, 0, req.Stream, n.fault)
}

// forward forwards a stream without the tokens below skip.
func (n *testNode) forward(w http.ResponseWriter, s *engine.Stream, err error, id string, skip int, stream bool, f fault) {
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		fmt.Fprintf(w, `{"error":{"message":%q,"code":"failed","ferry":{"notRun":false}}}`, err)
		return
	}
	defer s.Close()
	if stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	digest := sha256.New()
	var whole strings.Builder
	for {
		tok, err := s.Next()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				panic(http.ErrAbortHandler)
			}
			return
		}
		last := tok.Finished
		if f == faultShort && tok.Index == 2 {
			last = true
		}
		sum := hex.EncodeToString(digest.Sum(nil))
		if f == faultDigest {
			sum = "0"
		}
		if last && !stream {
			fmt.Fprintf(w, `{"choices":[{"text":%q}],"ferry":{"generation":%q,"finished":true,"tokens":%d,"digest":%q}}`, whole.String(), id, tok.Index, sum)
			return
		}
		if last {
			fmt.Fprintf(w, "data: {\"ferry\":{\"generation\":%q,\"finished\":true,\"tokens\":%d,\"digest\":%q}}\n\ndata: [DONE]\n\n", id, tok.Index, sum)
			return
		}
		digest.Write([]byte(tok.Text))
		whole.WriteString(tok.Text)
		if tok.Index < skip || !stream {
			continue
		}
		generation := id
		if tok.Index == 1 {
			switch f {
			case faultCut:
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			case faultSkip:
				continue
			case faultForeign:
				generation = "other"
			case faultRepeat:
				writeEvent(w, id, id, tok)
			}
		}
		writeEvent(w, generation, id, tok)
	}
}

func writeEvent(w io.Writer, generation, resume string, tok engine.Token) {
	fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}],\"ferry\":{\"generation\":%q,\"index\":%d,\"resumeToken\":%q}}\n\n", tok.Text, generation, tok.Index, resume)
}

// runLoad runs a short load against a node with a fault.
func runLoad(t *testing.T, f fault) load.Report {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	e := fakeengine.New(fakeengine.WithStep(100*time.Microsecond, 0, 0))
	engineAddr, err := e.Listen(t.Context(), loopback)
	if err != nil {
		t.Fatal(err)
	}
	s := fakeservice.New()
	serviceAddr, err := s.Listen(t.Context(), loopback)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(&testNode{t: t, fault: f, engine: engine.New(engineAddr), service: serviceAddr})
	t.Cleanup(server.Close)
	g, err := load.New(
		[]netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))},
		[]load.Account{{ID: "a1", Key: "k1"}},
		load.WithSeed(1), load.WithRate(200, 200*time.Millisecond), load.WithLengths(20, 60),
		load.WithPatience(20*time.Second, 1),
		load.WithFakes(load.Fakes{Engines: []*fakeengine.Engine{e}, Services: []*fakeservice.Service{s}}),
	)
	if err != nil {
		t.Fatal(err)
	}
	return g.Run(t.Context())
}

func TestCorrectNodeHasNoViolations(t *testing.T) {
	for _, f := range []fault{faultNone, faultCut, faultRefuse} {
		t.Run(string(f), func(t *testing.T) {
			rep := runLoad(t, f)
			if got, want := rep.ViolationCount(), 0; got != want {
				t.Errorf("violations: got %d, want %d: %v", got, want, rep.Violations)
			}
			if got, want := rep.Complete+rep.Refused, rep.Requests; got != want || got == 0 {
				t.Errorf("complete and refused: got %d, want %d: %v", got, want, rep.Endings)
			}
			if got, want := rep.Resumed > 0, f == faultCut; got != want {
				t.Errorf("resumed: got %t, want %t", got, want)
			}
			if got, want := rep.Refused > 0, f == faultRefuse; got != want {
				t.Errorf("refused: got %t, want %t", got, want)
			}
		})
	}
}

// Guards against a check that passes although the node misbehaves in the way it checks for.
func TestFaultsAreDetected(t *testing.T) {
	tests := []struct {
		fault fault
		got   func(load.Report) int
	}{
		{faultRepeat, func(r load.Report) int { return r.Repeated }},
		{faultSkip, func(r load.Report) int { return r.Lost }},
		{faultShort, func(r load.Report) int { return r.Lost }},
		{faultForeign, func(r load.Report) int { return r.Foreign }},
		{faultDigest, func(r load.Report) int { return r.Foreign }},
		{faultOtherAnswer, func(r load.Report) int { return r.Crossed }},
		{faultFalseNotRun, func(r load.Report) int { return r.FalseNotRun }},
		{faultDoubleRun, func(r load.Report) int { return r.DoubleRuns }},
		{faultFalseReceipt, func(r load.Report) int { return r.FalseReceipts }},
	}
	for _, tt := range tests {
		t.Run(string(tt.fault), func(t *testing.T) {
			rep := runLoad(t, tt.fault)
			if got := tt.got(rep); got == 0 {
				t.Errorf("violations of the check: got none, want some; report %+v", rep)
			}
			if len(rep.Violations) == 0 {
				t.Errorf("examples: got none, want some")
			}
		})
	}
}

func TestSameSeedSameRequests(t *testing.T) {
	first, second := runLoad(t, faultNone), runLoad(t, faultNone)
	for kind, k := range first.Kinds {
		if got, want := second.Kinds[kind].Tokens, k.Tokens; got != want || second.Kinds[kind].Requests != k.Requests {
			t.Errorf("%s: got %+v, want as many requests and tokens as %+v", kind, second.Kinds[kind], k)
		}
	}
}

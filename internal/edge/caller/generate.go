package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/resume"
	"ebonyferry/internal/edge/engine"
)

// This file defines how a request for tokens is read, run on one server after another, and answered.

const (
	notReadyRetryAfter = time.Second
	// Deadline of batch work that names none.
	batchDeadline = time.Minute
)

// onLoss is what the caller wants when the engine dies after the first delivered token.
type onLoss string

const (
	lossError   onLoss = "error"   // end with an error that says how much was delivered
	lossRestart onLoss = "restart" // begin again with a new generation after an event that says so
)

// generation is one request for tokens.
type generation struct {
	s          *Server
	sess       session
	shape      shape
	work       Work
	request    engine.GenerateRequest // its Generation changes with each run
	digest     string                 // hexadecimal digest of the request
	onLoss     onLoss
	sink       sink
	arrived    time.Time
	mayHaveRun bool // an attempt was sent to a server that did not say "not run"
}

func (s *Server) postChat(w http.ResponseWriter, r *http.Request, sess session) {
	s.complete(w, r, sess, true)
}

func (s *Server) postCompletion(w http.ResponseWriter, r *http.Request, sess session) {
	s.complete(w, r, sess, false)
}

// Serves a completion call of either kind.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, sess session, chat bool) {
	arrived := time.Now()
	g, err := s.readGeneration(w, r, sess, chat, arrived)
	if err != nil {
		s.observer.RecordRequest(ClassNarrative, sess.account.ID, err.code)
		writeError(w, err)
		return
	}
	result := g.run(r.Context())
	s.observer.RecordRequest(g.work.Class, sess.account.ID, result)
}

// Reads a body whole, within the limits of size and time, and lifts the bound on time: from then on a read that
// ends means that the caller has left.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *apiError) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &apiError{status: http.StatusRequestEntityTooLarge, kind: kindInvalid, code: "bodyTooLarge", message: fmt.Sprintf("body is larger than %d bytes", s.limits.MaxBodyBytes), notRun: true}
	case err != nil:
		return nil, &apiError{status: http.StatusRequestTimeout, kind: kindInvalid, code: "bodyNotRead", message: "body did not arrive whole: " + err.Error(), notRun: true}
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{}) // not every writer of a test can
	return data, nil
}

func (s *Server) readGeneration(w http.ResponseWriter, r *http.Request, sess session, chat bool, arrived time.Time) (*generation, *apiError) {
	body, aerr := s.readBody(w, r)
	if aerr != nil {
		return nil, aerr
	}
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, invalid("", "body is not a request in JSON: "+err.Error())
	}
	if req.N != nil && *req.N != 1 {
		return nil, invalid("n", fmt.Sprintf("n is %d; one answer for each request is served", *req.N))
	}
	if !hasModel(sess.cfg, req.Model) {
		return nil, fromRefusal(&Refusal{Reason: ReasonUnknownModel, Message: fmt.Sprintf("model %q is not served", req.Model), NotRun: true})
	}
	prompt, aerr := req.promptText(chat)
	if aerr != nil {
		return nil, aerr
	}
	maxTokens, aerr := req.maxTokens()
	if aerr != nil {
		return nil, aerr
	}
	opts, aerr := s.readOptions(r.Header, arrived)
	if aerr != nil {
		return nil, aerr
	}
	g := &generation{
		s:       s,
		sess:    sess,
		shape:   shape{chat: chat, model: req.Model, created: arrived},
		digest:  requestDigest(body),
		onLoss:  opts.onLoss,
		arrived: arrived,
		work: Work{
			Account: sess.account.ID, Class: opts.class, Model: req.Model, Route: r.URL.Path, Prompt: prompt,
			PromptTokens: engine.EstimateTokens(prompt), MaxTokens: maxTokens, Deadline: opts.deadline,
			Fingerprint: fingerprint(sess.account.ID, req.Model, prompt),
		},
		request: engine.GenerateRequest{
			Model: req.Model, Prompt: prompt, MaxTokens: maxTokens, Priority: priorities[opts.class], Sampling: req.sampling(),
		},
	}
	g.sink = newWholeSink(w, g.shape, s.limits.WriteTimeout)
	if req.Stream {
		g.sink = newEventSink(w, g.shape, s.limits.WriteTimeout, req.StreamOptions.IncludeUsage)
	}
	return g, nil
}

func hasModel(cfg *bundle.InForce, name string) bool {
	return slices.ContainsFunc(cfg.Bundle.Models, func(m bundle.Model) bool { return m.Name == name })
}

func requestDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Names a request by what may make it crash an engine: the same when the caller sends it again.
func fingerprint(account, model, prompt string) uint64 {
	d := xxhash.New()
	for _, part := range []string{account, model, prompt} {
		_, _ = d.WriteString(part) // never fails
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Engine priorities by class.
var priorities = map[Class]int{ClassQuick: 2, ClassNarrative: 1, ClassBatch: 0}

// options are the choices a caller makes in headers.
type options struct {
	class    Class
	deadline time.Time
	onLoss   onLoss
}

func (s *Server) readOptions(h http.Header, now time.Time) (options, *apiError) {
	opts := options{class: ClassNarrative, onLoss: lossError}
	if v := h.Get(headerClass); v != "" {
		opts.class = Class(v)
	}
	if _, ok := priorities[opts.class]; !ok {
		return opts, invalid(headerClass, fmt.Sprintf("class %q is none of quick, narrative and batch", opts.class))
	}
	if v := h.Get(headerOnLoss); v != "" {
		opts.onLoss = onLoss(v)
	}
	if opts.onLoss != lossError && opts.onLoss != lossRestart {
		return opts, invalid(headerOnLoss, fmt.Sprintf("choice %q is neither error nor restart", opts.onLoss))
	}
	opts.deadline = now.Add(s.limits.FirstTokenTarget)
	if opts.class == ClassBatch {
		opts.deadline = now.Add(batchDeadline)
	}
	if v := h.Get(headerDeadline); v != "" {
		deadline, err := parseDeadline(v, now)
		if err != nil {
			return opts, invalid(headerDeadline, err.Error())
		}
		opts.deadline = deadline
	}
	return opts, nil
}

// Reads a deadline given as a duration from now or as a time.
func parseDeadline(v string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(v); err == nil && d > 0 {
		return now.Add(d), nil
	}
	t, err := time.Parse(time.RFC3339, v)
	if err != nil || !t.After(now) {
		return time.Time{}, fmt.Errorf("deadline %q is neither a positive duration nor a later time in RFC 3339 form", v)
	}
	return t, nil
}

// Runs the request until it is answered and returns the result for the metrics.
func (g *generation) run(ctx context.Context) string {
	for attempt := 0; ; attempt++ {
		g.work.Attempt = attempt
		g.work.Waited = time.Since(g.arrived)
		end := g.runOnce(ctx)
		if end.err == nil {
			return end.result()
		}
		if !g.mayRunAgain(end, attempt) {
			g.sink.fail(end.err)
			return end.result()
		}
		if end.server != "" {
			g.work.Exclude = append(g.work.Exclude, end.server)
		}
	}
}

// runEnd is how one run on one server ended.
type runEnd struct {
	server     string    // that was tried, empty when none was
	err        *apiError // nil when the answer is whole
	callerLeft bool
	final      bool // must not be run again whatever the budget
}

func (e runEnd) result() string {
	switch {
	case e.callerLeft:
		return "callerLeft"
	case e.err != nil:
		return e.err.code
	}
	return "ok"
}

// Reports whether a run that failed may be followed by another. Tokens that were delivered are void only when
// the caller chose so.
func (g *generation) mayRunAgain(end runEnd, attempt int) bool {
	if end.final || attempt+1 >= g.s.limits.MaxAttempts {
		return false
	}
	return g.sink.delivered() == 0 || g.onLoss == lossRestart
}

// Gets a place and relays one generation from it.
func (g *generation) runOnce(ctx context.Context) runEnd {
	gen := uuid.NewString()
	g.work.Generation = gen
	g.request.Generation = gen
	place, err := g.s.dispatcher.Acquire(ctx, g.work)
	if err != nil {
		if ctx.Err() != nil {
			return runEnd{callerLeft: true, final: true}
		}
		return runEnd{err: g.refusedError(err), final: true}
	}
	if g.s.config.InForce() == nil { // the node was cut off while the request waited
		place.Done(OutcomeCanceled)
		return runEnd{err: g.refusedError(errNotReady()), final: true}
	}
	g.request.Version = place.Version()
	token := g.resumeToken(place, gen)
	if err := g.sink.begin(gen, token); err != nil {
		place.Done(OutcomeCanceled)
		return runEnd{callerLeft: true, final: true}
	}
	return g.relayFrom(ctx, place)
}

// Turns a refusal into an error. After an earlier attempt may have run, "not run" would be false.
func (g *generation) refusedError(err error) *apiError {
	aerr := fromDecision(err)
	if g.work.Attempt > 0 {
		aerr.notRun = aerr.notRun && !g.mayHaveRun
	}
	return aerr
}

// Returns the token with which the caller may resume. It is empty when no key signs: an answer that cannot be
// resumed is worth more than none.
func (g *generation) resumeToken(place Slot, gen string) string {
	now := time.Now()
	token, err := resume.Sign(g.sess.cfg.Keys.TokenKeys, resume.Claims{
		Generation: gen, Server: place.Server().ID, Node: g.s.node, Account: g.work.Account, Model: g.work.Model,
		Version: place.Version(), RequestDigest: g.digest, Chat: g.shape.chat, Expires: now.Add(g.s.limits.ResumeTokenExpiry),
	}, now)
	if err != nil {
		event.Log(g.s.log, event.NoResumeToken, event.Fields{"generation": gen, "cause": err.Error()})
	}
	return token
}

// Relays the generation of a granted place.
func (g *generation) relayFrom(ctx context.Context, place Slot) runEnd {
	server := place.Server()
	r := newRelay(g.s, ctx, g.request.Generation, g.s.engines(server.Addr), g.sink)
	r.place = place
	r.class, r.account, r.arrived = g.work.Class, g.work.Account, g.arrived
	r.promptTokens = g.work.PromptTokens
	outcome := OutcomeCanceled // unless a panic leaves it so, the run says how it ended
	defer func() { place.Done(outcome) }()
	outcome, err := r.run(g.request)
	canceled := outcome == OutcomeCanceled
	end := runEnd{server: server.ID, err: err, callerLeft: canceled && err == nil, final: canceled}
	if outcome != OutcomeNotRun && outcome != OutcomeOverloaded {
		g.mayHaveRun = true
	}
	if err != nil {
		err.notRun = err.notRun && !g.mayHaveRun
	}
	if outcome == OutcomeInterrupted && err != nil {
		event.Log(g.s.log, event.GenerationLost, event.Fields{"generation": g.request.Generation, "server": server.ID, "delivered": g.sink.delivered()})
	}
	return end
}

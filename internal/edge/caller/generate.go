// This file defines how a generation request is read, run on one server after another, and answered.

package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"ebonyferry/internal/base/budget"
	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/resume"
	"ebonyferry/internal/edge/engine"
)

const (
	notReadyRetryAfter = time.Second
	// batchDeadline is the deadline for the first token of batch work without a deadline.
	batchDeadline = time.Minute
)

// onLoss is the caller's choice of what happens if the engine fails after the first delivered token.
type onLoss string

const (
	lossError   onLoss = "error"   // end with an error that reports the number of delivered tokens
	lossRestart onLoss = "restart" // announce a restart to the caller and start a new generation
)

// generationRequest is a caller's request for a generation. It may take several attempts.
type generationRequest struct {
	s          *Server
	sess       session
	format     answerFormat
	work       Work
	request    engine.GenerateRequest // Generation and Version are set for each attempt
	digest     string                 // hexadecimal digest of the request body
	onLoss     onLoss
	sink       sink
	arrived    time.Time
	mayHaveRun bool // an attempt may have started on its server
}

func (s *Server) postChat(w http.ResponseWriter, r *http.Request, sess session) {
	s.serveCompletion(w, r, sess, true)
}

func (s *Server) postCompletion(w http.ResponseWriter, r *http.Request, sess session) {
	s.serveCompletion(w, r, sess, false)
}

// serveCompletion serves a chat or text completion call.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, sess session, chat bool) {
	arrived := time.Now()
	g, err := s.readGeneration(w, r, sess, chat, arrived)
	if err != nil {
		s.observer.RecordRequest(ClassNarrative, sess.account.ID, err.code)
		writeError(w, err)
		return
	}
	defer budget.Reset(r.Context()) // unless the answer is whole
	res := g.run(r.Context())
	s.observer.RecordRequest(g.work.Class, sess.account.ID, res.result())
	if res.callerLeft {
		panic(http.ErrAbortHandler) // a caller that closed its side still reads, and would get the end of a complete answer
	}
}

// readBody reads the complete body within the limits of size and time. It then removes the read deadline, because
// net/http would take its expiry for a caller that has left.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *apiError) {
	account := budget.FromContext(r.Context())
	data, err := budget.ReadAll(account, http.MaxBytesReader(w, r.Body, s.limits.MaxBodyBytes))
	if err == nil {
		err = account.Take(int64(len(data))) // for the decoded request
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, budget.ErrShort):
		return nil, fromRefusal(&Refusal{Reason: ReasonOverloaded, Message: "node has no memory for the body", NotRun: true, RetryAfter: time.Second})
	case errors.As(err, &tooLarge):
		return nil, &apiError{status: http.StatusRequestEntityTooLarge, kind: kindInvalid, code: "bodyTooLarge", message: fmt.Sprintf("body is larger than %d bytes", s.limits.MaxBodyBytes), notRun: true}
	case err != nil:
		return nil, &apiError{status: http.StatusRequestTimeout, kind: kindInvalid, code: "bodyNotRead", message: "body did not arrive whole: " + err.Error(), notRun: true}
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{}) // some test writers do not support it
	return data, nil
}

func (s *Server) readGeneration(w http.ResponseWriter, r *http.Request, sess session, chat bool, arrived time.Time) (*generationRequest, *apiError) {
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
	g := &generationRequest{
		s:       s,
		sess:    sess,
		format:  answerFormat{chat: chat, model: req.Model, created: arrived},
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
	g.sink = newBufferedSink(w, g.format, s.limits.WriteTimeout)
	if req.Stream {
		g.sink = newEventSink(w, r, g.format, s.limits.WriteTimeout, req.StreamOptions.IncludeUsage)
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

// fingerprint identifies a request by the inputs that may crash an engine. A repeated request has the same
// fingerprint.
func fingerprint(account, model, prompt string) uint64 {
	d := xxhash.New()
	for _, part := range []string{account, model, prompt} {
		_, _ = d.WriteString(part) // never fails
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// priorities holds the engine priority by class.
var priorities = map[Class]int{ClassQuick: 2, ClassNarrative: 1, ClassBatch: 0}

// options holds the settings that a caller passes in headers.
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

// parseDeadline parses a deadline, either a duration from now or a time.
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

// run runs the request until it is answered and returns the result of the last attempt.
func (g *generationRequest) run(ctx context.Context) runResult {
	for attempt := 0; ; attempt++ {
		g.work.Attempt = attempt
		g.work.Waited = time.Since(g.arrived)
		res := g.runOnce(ctx)
		if res.err == nil {
			return res
		}
		if !g.canRetry(res, attempt) {
			g.sink.fail(res.err)
			return res
		}
		if res.server != "" {
			g.work.Exclude = append(g.work.Exclude, res.server)
		}
	}
}

// runResult is the result of one attempt.
type runResult struct {
	server     string    // ID of the server used, empty if none
	err        *apiError // nil if the answer is complete or the caller left
	callerLeft bool
	final      bool // must not be retried, whatever attempts remain
}

// result returns the result for the metrics.
func (r runResult) result() string {
	switch {
	case r.callerLeft:
		return "callerLeft"
	case r.err != nil:
		return r.err.code
	}
	return "ok"
}

// canRetry reports whether a failed attempt may be followed by another. If tokens were delivered, a retry voids them,
// which the caller must have allowed.
func (g *generationRequest) canRetry(res runResult, attempt int) bool {
	if res.final || attempt+1 >= g.s.limits.MaxAttempts {
		return false
	}
	return g.sink.delivered() == 0 || g.onLoss == lossRestart
}

// runOnce acquires a slot and relays one generation from its server.
func (g *generationRequest) runOnce(ctx context.Context) runResult {
	gen := uuid.NewString()
	g.work.Generation = gen
	g.request.Generation = gen
	slot, err := g.s.dispatcher.Acquire(ctx, g.work)
	if err != nil {
		if ctx.Err() != nil {
			return runResult{callerLeft: true, final: true}
		}
		return runResult{err: g.refusalError(err), final: true}
	}
	if g.s.config.InForce() == nil { // the node was cut off while the request was queued
		slot.Done(OutcomeCanceled)
		return runResult{err: g.refusalError(errNotReady()), final: true}
	}
	g.request.Version = slot.Version()
	token := g.resumeToken(slot, gen)
	if err := g.sink.begin(gen, token); err != nil {
		slot.Done(OutcomeCanceled)
		return runResult{callerLeft: true, final: true}
	}
	return g.relayFrom(ctx, slot)
}

// refusalError converts a refusal to an apiError. It clears notRun if an earlier attempt may have run.
func (g *generationRequest) refusalError(err error) *apiError {
	aerr := fromError(err)
	if g.work.Attempt > 0 {
		aerr.notRun = aerr.notRun && !g.mayHaveRun
	}
	return aerr
}

// resumeToken returns the token with which the caller may resume. If no key can sign, it logs this and returns an empty
// token: an answer that cannot be resumed is better than none.
func (g *generationRequest) resumeToken(slot Slot, gen string) string {
	now := time.Now()
	token, err := resume.Sign(g.sess.cfg.Keys.TokenKeys, resume.Claims{
		Generation: gen, Server: slot.Server().ID, Node: g.s.node, Account: g.work.Account, Model: g.work.Model,
		Version: slot.Version(), RequestDigest: g.digest, Chat: g.format.chat, Expires: now.Add(g.s.limits.ResumeTokenExpiry),
	}, now)
	if err != nil {
		event.Log(g.s.log, event.NoResumeToken, event.Fields{"generation": gen, "cause": err.Error()})
	}
	return token
}

// relayFrom relays the generation from the server of a granted slot.
func (g *generationRequest) relayFrom(ctx context.Context, slot Slot) runResult {
	server := slot.Server()
	r := newRelay(g.s, ctx, g.request.Generation, g.s.engines(server.Addr), g.sink)
	r.slot = slot
	r.class, r.account, r.arrived = g.work.Class, g.work.Account, g.arrived
	r.promptTokens = g.work.PromptTokens
	outcome := OutcomeCanceled // applies only if the relay panics
	defer func() { slot.Done(outcome) }()
	outcome, err := r.run(g.request)
	canceled := outcome == OutcomeCanceled
	res := runResult{server: server.ID, err: err, callerLeft: canceled && err == nil, final: canceled}
	if outcome != OutcomeNotRun && outcome != OutcomeOverloaded {
		g.mayHaveRun = true
	}
	if err != nil {
		err.notRun = err.notRun && !g.mayHaveRun
	}
	if outcome == OutcomeInterrupted && err != nil {
		event.Log(g.s.log, event.GenerationLost, event.Fields{"generation": g.request.Generation, "server": server.ID, "delivered": g.sink.delivered()})
	}
	return res
}

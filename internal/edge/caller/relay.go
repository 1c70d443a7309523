// This file defines the relay of one generation from its engine to its caller. The relay resumes a stream that is cut
// or silent at the next token, for as long as the engine holds the generation.

package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/stream"
	"ebonyferry/internal/edge/engine"
)

const (
	// maxResumes is the maximum number of consecutive resumes of a stream without a token in between.
	maxResumes = 6
	// maxRefusedResumes is the maximum if the engine refuses connections and the caller has received nothing.
	maxRefusedResumes  = 2
	firstResumeBackoff = 50 * time.Millisecond
	maxResumeBackoff   = time.Second
	cancelTimeout      = 2 * time.Second
)

// Errors that end the relay of a stream, besides those of the engine.
var (
	errCallerLeft = errors.New("caller has left")
	errSuperseded = errors.New("generation was resumed elsewhere")
	errShutdown   = errors.New("node is stopping")
	errSilent     = errors.New("engine stream is silent")
)

// relay forwards one generation from its engine to a sink. Only one goroutine may use it.
type relay struct {
	s            *Server
	caller       context.Context // done when the caller has left
	superseded   context.Context // done when a caller has resumed the generation, here or at another node
	client       *engine.Client
	generation   string
	checker      *stream.Checker
	sink         sink
	slot         Slot // nil for a generation that a caller resumed
	skip         int  // tokens below this index are not sent again
	promptTokens int

	class     Class
	account   string
	arrived   time.Time // when the request arrived, for the latency of the first token
	lastToken time.Time // when the last token arrived, zero before the first
}

func newRelay(s *Server, caller context.Context, generation string, client *engine.Client, sk sink) *relay {
	return &relay{
		s: s, caller: caller, client: client, generation: generation, sink: sk,
		checker: stream.NewChecker(generation),
	}
}

// run starts the generation and relays it.
func (r *relay) run(req engine.GenerateRequest) (Outcome, *apiError) {
	return r.relayAll(func(ctx context.Context) (*engine.Stream, error) { return r.client.Generate(ctx, req) })
}

// runResumed relays a generation that is already running.
func (r *relay) runResumed() (Outcome, *apiError) { return r.relayAll(r.resume) }

func (r *relay) resume(ctx context.Context) (*engine.Stream, error) {
	return r.client.Resume(ctx, r.generation, r.checker.Next())
}

// relayAll opens the stream and resumes it until the generation ends or the relay stops.
func (r *relay) relayAll(open func(context.Context) (*engine.Stream, error)) (Outcome, *apiError) {
	superseded, remove := r.s.relays.add(r.generation)
	defer remove()
	r.superseded = superseded
	backoff := firstResumeBackoff
	for resumes := 0; ; resumes++ {
		before := r.checker.Next()
		err := r.relayStream(open)
		if r.checker.Next() > before {
			resumes, backoff = 0, firstResumeBackoff
		}
		outcome, aerr, ended := r.handleEnd(err, resumes)
		if ended {
			return outcome, aerr
		}
		event.Log(r.s.log, event.StreamResumed, event.Fields{"generation": r.generation, "index": r.checker.Next(), "cause": err.Error()})
		r.waitBackoff(backoff)
		backoff = min(2*backoff, maxResumeBackoff)
		open = r.resume
	}
}

// waitBackoff waits before the stream is resumed. It returns early if the relay must stop.
func (r *relay) waitBackoff(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.caller.Done():
	case <-r.superseded.Done():
	case <-r.s.shutdown.Done():
	}
}

// relayStream relays one engine stream until it ends. It returns nil if the answer is complete.
func (r *relay) relayStream(open func(context.Context) (*engine.Stream, error)) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	defer context.AfterFunc(r.caller, func() { cancel(errCallerLeft) })()
	defer context.AfterFunc(r.superseded, func() { cancel(errSuperseded) })()
	defer context.AfterFunc(r.s.shutdown, func() { cancel(errShutdown) })()
	silence := time.AfterFunc(r.s.limits.StallTimeout, func() { cancel(errSilent) })
	defer silence.Stop()

	st, err := open(ctx)
	if err != nil {
		return causeOf(ctx, err)
	}
	defer st.Close()
	for {
		tok, err := st.Next()
		if err != nil {
			return causeOf(ctx, err)
		}
		silence.Reset(r.s.limits.StallTimeout)
		if tok.Finished {
			return r.finish(tok)
		}
		if err := r.forward(tok); err != nil {
			return err
		}
	}
}

// causeOf returns why a stream ended: the cause for which the relay canceled it, or the engine's error.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if errors.Is(err, io.EOF) {
		return engine.ErrTruncated
	}
	return err
}

// forward checks one token and writes it to the caller.
func (r *relay) forward(tok engine.Token) error {
	ok, err := r.checker.Accept(tok.Generation, tok.Index, tok.Text)
	if err != nil {
		return err
	}
	if !ok {
		return nil
	}
	r.recordToken(tok.Index)
	if tok.Index < r.skip {
		return nil
	}
	if err := r.sink.token(tok.Index, tok.Text); err != nil {
		return errCallerLeft
	}
	return nil
}

// recordToken records the arrival of a token.
func (r *relay) recordToken(index int) {
	now := time.Now()
	if r.slot != nil {
		r.slot.RecordToken(index)
		r.recordLatency(now)
	}
	r.lastToken = now
}

func (r *relay) recordLatency(now time.Time) {
	if r.lastToken.IsZero() {
		r.s.observer.RecordFirstToken(r.class, r.account, now.Sub(r.arrived))
		return
	}
	r.s.observer.RecordTokenGap(r.class, r.account, now.Sub(r.lastToken))
}

// finish checks the engine's token count and ends the answer.
func (r *relay) finish(tok engine.Token) error {
	digest, err := r.checker.Finish(tok.Generation, tok.Index)
	if err != nil {
		return err
	}
	end := answerEnd{reason: tok.Reason, promptTokens: r.promptTokens, tokens: tok.Index, digest: digest}
	if err := r.sink.finish(end); err != nil {
		return errCallerLeft
	}
	return nil
}

// handleEnd decides how to proceed after the end of one engine stream. It reports false if the stream is to be resumed.
func (r *relay) handleEnd(err error, resumes int) (Outcome, *apiError, bool) {
	switch {
	case err == nil:
		return OutcomeFinished, nil, true
	case errors.Is(err, errCallerLeft):
		r.awaitResume()
		return OutcomeCanceled, nil, true
	case errors.Is(err, errSuperseded):
		event.Log(r.s.log, event.GenerationTaken, event.Fields{"generation": r.generation})
		return OutcomeCanceled, nil, true
	case errors.Is(err, errShutdown):
		return OutcomeCanceled, shutdownError(), true
	case r.failedAtStart(resumes) && errors.Is(err, engine.ErrNotRun):
		return r.notRunOutcome(err)
	case r.failedAtStart(resumes) && errors.Is(err, engine.ErrFailed):
		return OutcomeFailed, failedError(err), true
	case errors.Is(err, engine.ErrUnknownGeneration):
		return OutcomeInterrupted, lostError(err), true
	}
	r.logOutOfOrder(err)
	if resumes < r.maxResumesAfter(err) {
		return "", nil, false
	}
	go r.cancel() // an engine that is cut off may still run the generation
	return OutcomeInterrupted, lostError(err), true
}

// failedAtStart reports whether the call that starts the generation failed before its first token.
func (r *relay) failedAtStart(resumes int) bool {
	return r.slot != nil && resumes == 0 && r.checker.Next() == 0
}

// maxResumesAfter returns the maximum number of resumes after err. If the engine refuses connections and nothing has
// reached the caller, the maximum is low: a retry on another server is faster than a restart of the engine.
func (r *relay) maxResumesAfter(err error) int {
	if r.sink.delivered() == 0 && errors.Is(err, syscall.ECONNREFUSED) {
		return maxRefusedResumes
	}
	return maxResumes
}

// notRunOutcome returns the outcome of a generation that the engine certainly did not start.
func (r *relay) notRunOutcome(err error) (Outcome, *apiError, bool) {
	aerr := &apiError{status: http.StatusServiceUnavailable, kind: kindServer, code: "engineUnavailable", message: "backend server did not take the request", notRun: true, retryAfter: time.Second}
	if errors.Is(err, engine.ErrOverloaded) {
		return OutcomeOverloaded, aerr, true
	}
	return OutcomeNotRun, aerr, true
}

// logOutOfOrder logs err if it reports tokens that break the order of the stream.
func (r *relay) logOutOfOrder(err error) {
	for _, target := range []error{stream.ErrWrongGeneration, stream.ErrMissingToken, stream.ErrTokenChanged, stream.ErrTokenCount, engine.ErrOutOfOrder} {
		if errors.Is(err, target) {
			event.Log(r.s.log, event.TokensOutOfOrder, event.Fields{"generation": r.generation, "index": r.checker.Next(), "cause": err.Error()})
			return
		}
	}
}

// lostError returns the error for a lost generation. An engine that refuses connections has stopped, together with its
// generations. An engine that cannot be reached may still run them, so the error says resumable.
func lostError(err error) *apiError {
	ended := errors.Is(err, engine.ErrUnknownGeneration) || errors.Is(err, syscall.ECONNREFUSED)
	return &apiError{
		status: http.StatusBadGateway, kind: kindServer, code: "generationLost", message: "backend server lost the generation: " + err.Error(),
		resumable: !ended,
	}
}

func failedError(err error) *apiError {
	return &apiError{status: http.StatusBadGateway, kind: kindServer, code: "engineFailed", message: err.Error(), retryAfter: time.Second}
}

func shutdownError() *apiError {
	return &apiError{status: http.StatusServiceUnavailable, kind: kindServer, code: "nodeEnds", message: "node ends; resume at another entry address", resumable: true}
}

// awaitResume waits until the caller, who has left, resumes the generation. It cancels the generation if that does not
// happen within the grace period, during which the engine runs the generation without a reader. awaitResume does not
// wait if the sink of a new generation is not resumable. A caller that has resumed before holds a token anyway.
func (r *relay) awaitResume() {
	grace := r.s.limits.ResumeGrace
	if !r.sink.resumable() && r.slot != nil {
		grace = 0
	}
	event.Log(r.s.log, event.CallerLeft, event.Fields{"generation": r.generation, "index": r.checker.Next()})
	select {
	case <-r.superseded.Done():
		event.Log(r.s.log, event.GenerationTaken, event.Fields{"generation": r.generation})
		return
	case <-r.s.shutdown.Done():
		return // the caller may still resume; the engine ends a generation that nobody reads
	case <-time.After(grace):
	}
	r.cancel()
}

// cancel asks the engine to end the generation. It returns after cancelTimeout at the latest.
func (r *relay) cancel() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := r.client.Cancel(ctx, r.generation); err != nil {
		event.Log(r.s.log, event.CancelFailed, event.Fields{"generation": r.generation, "cause": err.Error()})
	}
}

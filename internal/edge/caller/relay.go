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

// This file defines the relay of one generation from its engine to its caller. A stream that is cut or silent
// is taken up again at the next token for as long as the engine holds the generation.

const (
	// Times that a stream is taken up again without a token in between.
	maxResumes         = 6
	maxRefusedResumes  = 2
	firstResumeBackoff = 50 * time.Millisecond
	maxResumeBackoff   = time.Second
	cancelTimeout      = 2 * time.Second
)

// Errors that end a pump, beside those of the engine.
var (
	errCallerLeft = errors.New("caller has left")
	errReleased   = errors.New("generation goes on at another node")
	errNodeEnds   = errors.New("node ends")
	errSilent     = errors.New("engine stream is silent")
)

// relay passes one generation from its engine to a sink. It is for one goroutine.
type relay struct {
	s            *Server
	caller       context.Context // done when the caller has left
	released     context.Context // done when another node has taken the generation up
	client       *engine.Client
	generation   string
	checker      *stream.Checker
	sink         sink
	place        Slot // nil for a generation that was taken up from another node
	skip         int  // tokens below this index reached the caller before
	promptTokens int

	class   Class
	account string
	arrived time.Time // of the request, for the first token's latency
	last    time.Time // of the last token, zero before the first
}

func newRelay(s *Server, caller context.Context, generation string, client *engine.Client, sk sink) *relay {
	return &relay{
		s: s, caller: caller, client: client, generation: generation, sink: sk,
		checker: stream.NewChecker(generation),
	}
}

// Starts the generation and relays it.
func (r *relay) run(req engine.GenerateRequest) (Outcome, *apiError) {
	return r.follow(func(ctx context.Context) (*engine.Stream, error) { return r.client.Generate(ctx, req) })
}

// Relays a generation that runs already.
func (r *relay) runOn() (Outcome, *apiError) { return r.follow(r.resume) }

func (r *relay) resume(ctx context.Context) (*engine.Stream, error) {
	return r.client.Resume(ctx, r.generation, r.checker.Next())
}

// Opens the stream and takes it up again until the generation has ended one way or another.
func (r *relay) follow(open func(context.Context) (*engine.Stream, error)) (Outcome, *apiError) {
	released, remove := r.s.active.add(r.generation)
	defer remove()
	r.released = released
	backoff := firstResumeBackoff
	for resumes := 0; ; resumes++ {
		before := r.checker.Next()
		err := r.pump(open)
		if r.checker.Next() > before {
			resumes, backoff = 0, firstResumeBackoff
		}
		outcome, aerr, ended := r.settle(err, resumes)
		if ended {
			return outcome, aerr
		}
		event.Log(r.s.log, event.StreamResumed, event.Fields{"generation": r.generation, "index": r.checker.Next(), "cause": err.Error()})
		r.pause(backoff)
		backoff = min(2*backoff, maxResumeBackoff)
		open = r.resume
	}
}

// Waits before the stream is taken up again, unless there is no more need to.
func (r *relay) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.caller.Done():
	case <-r.released.Done():
	case <-r.s.end.Done():
	}
}

// Reads one engine stream until it ends and returns nil when the answer is whole.
func (r *relay) pump(open func(context.Context) (*engine.Stream, error)) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	defer context.AfterFunc(r.caller, func() { cancel(errCallerLeft) })()
	defer context.AfterFunc(r.released, func() { cancel(errReleased) })()
	defer context.AfterFunc(r.s.end, func() { cancel(errNodeEnds) })()
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
		if err := r.pass(tok); err != nil {
			return err
		}
	}
}

// Returns why a stream ended: the reason it was canceled for here, or the engine's error.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if errors.Is(err, io.EOF) {
		return engine.ErrTruncated
	}
	return err
}

// Checks one token and writes it to the caller.
func (r *relay) pass(tok engine.Token) error {
	ok, err := r.checker.Accept(tok.Generation, tok.Index, tok.Text)
	if err != nil {
		return err
	}
	if !ok {
		return nil
	}
	r.observe(tok.Index)
	if tok.Index < r.skip {
		return nil
	}
	if err := r.sink.token(tok.Index, tok.Text); err != nil {
		return errCallerLeft
	}
	return nil
}

// Records the arrival of a token.
func (r *relay) observe(index int) {
	now := time.Now()
	if r.place != nil {
		r.place.RecordToken(index)
		r.measure(now)
	}
	r.last = now
}

func (r *relay) measure(now time.Time) {
	if r.last.IsZero() {
		r.s.observer.RecordFirstToken(r.class, r.account, now.Sub(r.arrived))
		return
	}
	r.s.observer.RecordTokenGap(r.class, r.account, now.Sub(r.last))
}

// Checks the engine's count and ends the answer.
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

// Decides what the end of one engine stream means. It reports false when the stream is to be taken up again.
func (r *relay) settle(err error, resumes int) (Outcome, *apiError, bool) {
	switch {
	case err == nil:
		return OutcomeFinished, nil, true
	case errors.Is(err, errCallerLeft):
		r.linger()
		return OutcomeCanceled, nil, true
	case errors.Is(err, errReleased):
		event.Log(r.s.log, event.GenerationTaken, event.Fields{"generation": r.generation})
		return OutcomeCanceled, nil, true
	case errors.Is(err, errNodeEnds):
		return OutcomeCanceled, nodeEndsError(), true
	case r.justStarted(resumes) && errors.Is(err, engine.ErrNotRun):
		return r.notRun(err)
	case r.justStarted(resumes) && errors.Is(err, engine.ErrFailed):
		return OutcomeFailed, failedError(err), true
	case errors.Is(err, engine.ErrUnknownGeneration):
		return OutcomeInterrupted, lostError(err), true
	}
	r.logDisorder(err)
	if resumes < r.resumesWorth(err) {
		return "", nil, false
	}
	go r.cancel() // an engine that is cut off may run on for nobody
	return OutcomeInterrupted, lostError(err), true
}

// Reports whether the error that ended a stream answers the call that was to start the generation.
func (r *relay) justStarted(resumes int) bool {
	return r.place != nil && resumes == 0 && r.checker.Next() == 0
}

// Returns how often the stream is taken up again after err. While nothing has reached the caller, an engine
// that refuses connections is not waited for: the request runs elsewhere sooner than the engine comes back.
func (r *relay) resumesWorth(err error) int {
	if r.sink.delivered() == 0 && errors.Is(err, syscall.ECONNREFUSED) {
		return maxRefusedResumes
	}
	return maxResumes
}

// Settles a run that the engine surely did not start.
func (r *relay) notRun(err error) (Outcome, *apiError, bool) {
	aerr := &apiError{status: http.StatusServiceUnavailable, kind: kindServer, code: "engineUnavailable", message: "backend server did not take the request", notRun: true, retryAfter: time.Second}
	if errors.Is(err, engine.ErrOverloaded) {
		return OutcomeOverloaded, aerr, true
	}
	return OutcomeNotRun, aerr, true
}

// Logs tokens that break the order of the stream.
func (r *relay) logDisorder(err error) {
	for _, target := range []error{stream.ErrWrongGeneration, stream.ErrMissingToken, stream.ErrTokenChanged, stream.ErrTokenCount, engine.ErrOutOfOrder} {
		if errors.Is(err, target) {
			event.Log(r.s.log, event.TokensOutOfOrder, event.Fields{"generation": r.generation, "index": r.checker.Next(), "cause": err.Error()})
			return
		}
	}
}

// An engine that refuses connections has ended, and its generations with it; one that cannot be reached may
// still run them.
func lostError(err error) *apiError {
	gone := errors.Is(err, engine.ErrUnknownGeneration) || errors.Is(err, syscall.ECONNREFUSED)
	return &apiError{
		status: http.StatusBadGateway, kind: kindServer, code: "generationLost", message: "backend server lost the generation: " + err.Error(),
		resumable: !gone,
	}
}

func failedError(err error) *apiError {
	return &apiError{status: http.StatusBadGateway, kind: kindServer, code: "engineFailed", message: err.Error(), retryAfter: time.Second}
}

func nodeEndsError() *apiError {
	return &apiError{status: http.StatusServiceUnavailable, kind: kindServer, code: "nodeEnds", message: "node ends; resume at another entry address", resumable: true}
}

// Keeps the generation for a caller that left, and cancels it when the grace is over and no other node has
// taken it up. The engine runs it meanwhile without a reader. A caller that holds no resume token is not waited
// for.
func (r *relay) linger() {
	grace := r.s.limits.ResumeGrace
	if !r.sink.resumable() && r.place != nil {
		grace = 0
	}
	event.Log(r.s.log, event.CallerLeft, event.Fields{"generation": r.generation, "index": r.checker.Next()})
	select {
	case <-r.released.Done():
		event.Log(r.s.log, event.GenerationTaken, event.Fields{"generation": r.generation})
		return
	case <-r.s.end.Done():
		return // the caller may still resume; the engine ends what nobody reads
	case <-time.After(grace):
	}
	r.cancel()
}

// Tells the engine to end the generation, within a bounded time.
func (r *relay) cancel() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := r.client.Cancel(ctx, r.generation); err != nil {
		event.Log(r.s.log, event.CancelFailed, event.Fields{"generation": r.generation, "cause": err.Error()})
	}
}

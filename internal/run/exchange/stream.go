// This file defines streams: requests whose answer is a sequence of events and may outlive the server that started it.

package exchange

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"ebonyferry/internal/base/bug"
	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/assurance"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/completion"
	"ebonyferry/internal/core/fencing"
	"ebonyferry/internal/core/placement"
)

const (
	// streamWaitFraction is the fraction of a route's target that a stream may wait for a slot. The server reads the
	// prompt in the rest.
	streamWaitFraction = 0.6
	// fullRetryAfter is when a caller may retry at engines without capacity: some streams end every second.
	fullRetryAfter = time.Second
)

// streamRun is one stream in flight. Fields not guarded by mu belong to the goroutine that serves it.
type streamRun struct {
	rt  *Runtime
	adm *Admitted
	w   Responder

	typicalTokens float64         // typical answer of the route in tokens when the request arrived
	openedAt      time.Time       // when the request was sent, once connected
	sentAt        time.Time       // when it was sent to the present server
	life          context.Context // ends with the request
	lastEventAt   time.Time       // when the last event arrived
	waited        time.Duration   // time until the request was placed
	first         time.Duration   // time until the first event
	answered      func(bool)      // ends the wait for the first event, see expectAnswer; nil before the request is sent
	gaps          []time.Duration // before the last events, not recorded yet
	gapsRecorded  bool
	wroteAt       time.Time       // when the caller had taken the last event
	heldUp        bool            // the caller was slow to take an event in gaps, which then says nothing of the server
	continuation  event.Fields    // log fields of a continued stream, until its next event
	ended         stopOutcome     // how the run ended at a silent server; empty until then
	end           completion.End  // how the last stream of a server ended
	silences      int             // continuations after silence since the last event, at most maxSilences
	withdrawn     <-chan struct{} // closed when the last continuation that was withdrawn has ended; nil if there was none

	mu         sync.Mutex
	lastID     string             // ID of the last event that reached the caller
	grant      grant              // the server that it runs on, and that of its copy
	forwarded  int                // events that reached the caller
	copyHandle string             // handle of the copy that a move made; empty if the engine keeps the copy
	orders     *completion.Orders // to stop the run at its server
	retryPaid  bool               // the next retry has been taken from the budget
	move       *move              // nil without a move, and while continuing
	continuing bool               // the run is being stopped or sent to the server of its copy, so that it cannot move

	sourceHandle string // handle of the memory that the server of a stopped run keeps; empty if there is none

	fence      fencing.Run
	sentTo     map[string]backend.Server // by ID, as it was when the request was sent
	lostCopies []runCopy                 // at servers whose answers to continuations are lost and that have stopped the run since
	watched    map[string]bool           // servers whose queues may hold the run and that are ordered to stop it, see watchQueues

	otherOrders map[string]*completion.Orders // by server, but for the present one

	// queueOrder holds a token while a server whose queue may hold the run is ordered to stop it, and before the run is sent to a server.
	queueOrder chan struct{}

	orderAnswered chan struct{} // holds a token after an order to stop the run was answered
}

func (rt *Runtime) serveStream(ctx context.Context, adm *Admitted, w Responder) Result {
	rt.mu.Lock()
	typical := rt.typicalLength(adm.Route.Name).Tokens()
	rt.demand.recognize(adm, time.Now())
	rt.mu.Unlock()
	s := &streamRun{
		rt: rt, adm: adm, w: w, lastID: adm.ResumeFrom, typicalTokens: typical,
		orders: new(completion.Orders), orderAnswered: make(chan struct{}, 1), sentTo: make(map[string]backend.Server),
		watched: make(map[string]bool), queueOrder: make(chan struct{}, 1), otherOrders: make(map[string]*completion.Orders),
	}
	defer func() {
		if s.answered != nil {
			s.answered(false)
		}
	}()
	var end context.CancelFunc
	s.life, end = context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	events, res := s.open(ctx)
	if events == nil {
		return res
	}
	defer s.unregister()
	if err := w.Begin(events.Head(), adm.Route.Patience()); err != nil {
		events.Close()
		return Result{Reason: ReasonCallerLeft, Server: s.grant.server.ID}
	}
	return s.forward(ctx, events)
}

// need returns the predicted resources for the rest of the stream.
func (s *streamRun) need() placement.Need {
	return placement.RunNeed(s.adm.Generation.PromptTokens, s.length(), s.tokensIn(s.progress()))
}

func (s *streamRun) length() placement.AnswerLength {
	return placement.AnswerLength{Typical: s.typicalTokens, Hint: s.adm.Generation.LengthHint, Max: s.adm.Generation.MaxTokens}
}

// worthCopy reports whether an engine should keep a copy of the run.
func (s *streamRun) worthCopy() bool {
	e := s.adm.Service.Engine
	return e != nil && e.Copies && s.length().WorthCopy(s.tokensIn(s.progress()))
}

// tokensIn returns the number of tokens in a number of events.
func (s *streamRun) tokensIn(events int) int {
	if e := s.adm.Service.Engine; e != nil {
		return events * e.TokensPerEvent
	}
	return 0
}

func (s *streamRun) lastEventID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastID
}

func (s *streamRun) progress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forwarded
}

// open opens the stream at one server after another until one runs it. If it returns no events, the result is final.
func (s *streamRun) open(ctx context.Context) (Events, Result) {
	until := s.adm.Arrived.Add(time.Duration(streamWaitFraction * float64(s.adm.Route.LatencyTarget)))
	req := slotRequest{adm: s.adm, need: s.weighedNeed(), copy: s.worthCopy(), exclude: make(map[string]bool), until: until}
	for sends := 0; ; {
		s.rt.refreshPeerLoads(ctx)
		g, err := s.rt.waitForSlot(ctx, req)
		if err != nil {
			return nil, s.refuseUnplaced(ctx, err, sends)
		}
		s.rt.logPlaced(s.adm, g)
		events, ans, err := s.send(ctx, g)
		switch {
		case events != nil:
			s.register(g)
			return events, Result{}
		case ans != nil:
			s.rt.release(g)
			s.observeAnswer(g.server, *ans)
			return nil, s.rt.forwardAnswer(s.w, s.adm, g.server, *ans)
		}
		s.rt.release(g)
		req.exclude[g.server.ID] = true
		if errors.Is(err, ErrNotRun) {
			sends++
		}
		if res, final := s.openFailed(ctx, g.server, err, sends); final {
			return nil, res
		}
		s.rt.logRetry(s.adm, g.server, err.Error())
	}
}

// errWithdrawn means that a server may no longer receive new work. It is no sign that the server cannot be reached.
var errWithdrawn = fmt.Errorf("%w: the server may no longer be used", ErrNotSent)

// send sends the request to the server of a slot.
func (s *streamRun) send(ctx context.Context, g grant) (Events, *Answer, error) {
	if ctx.Err() != nil {
		return nil, nil, ErrNotSent
	}
	if s.rt.stopsBefore(s.adm) {
		return nil, nil, errDraining
	}
	if s.rt.quarantined(s.adm) > 0 {
		return nil, nil, errQuarantined
	}
	if !s.rt.mayStart(g.server) {
		return nil, nil, errWithdrawn
	}
	s.openedAt = time.Now()
	s.waited = s.openedAt.Sub(s.adm.Arrived)
	if s.answered != nil {
		s.answered(false)
	}
	s.answered = s.rt.expectAnswer(s.adm, g.server)
	events, ans, err := s.rt.upstream.Open(ctx, g.server, s.adm, OpenOptions{CopyTo: g.copy, AfterID: s.lastID})
	s.openedAt = s.adm.sentAt(s.openedAt)
	s.sentAt = s.openedAt
	if ans != nil && !s.rt.isWhole(ctx, s.adm, g.server, *ans, s.sentAt) {
		return nil, nil, errPart
	}
	return events, ans, err
}

// observeAnswer records a complete answer that is not a stream as evidence on its server.
func (s *streamRun) observeAnswer(srv backend.Server, ans Answer) {
	s.answered(true)
	failed := assurance.Failed(ans.Status)
	s.rt.observe(srv, s.adm.Route.Name, time.Since(s.adm.Arrived), failed)
	if failed {
		s.rt.recordFailedGeneration(srv)
	}
}

// recordFailedGeneration makes all nodes prefer other engines for a while. An engine that fails generations at once looks idle to
// nodes that only know its load, and a generation that it failed has run, so it is not retried.
func (rt *Runtime) recordFailedGeneration(srv backend.Server) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.countFailure(srv)
}

// refuseUnplaced ends a stream that could not be placed.
func (s *streamRun) refuseUnplaced(ctx context.Context, err error, sends int) Result {
	reason, retryAfter := ReasonOverloaded, fullRetryAfter
	var limited *rateLimitedError
	if errors.As(err, &limited) {
		reason, retryAfter = ReasonRateLimited, limited.retryAfter
	}
	var turn *turnError
	if errors.As(err, &turn) {
		reason, retryAfter = turn.reason(), turn.retryAfter
	}
	switch {
	case callerLeft(ctx):
		return Result{Reason: ReasonCallerLeft}
	case errors.Is(err, errDraining) || isStopped(ctx):
		return refuse(s.w, Refusal{Reason: ReasonDraining, RetryAfter: drainRetryAfter})
	case errors.Is(err, errQuarantined):
		return refuse(s.w, refuseQuarantined(s.rt.quarantined(s.adm)))
	case errors.Is(err, errNoServer):
		reason = ReasonNoServer
	case sends > 0:
		reason = ReasonNotRun
	}
	return refuse(s.w, Refusal{Reason: reason, RetryAfter: retryAfter})
}

// openFailed decides how to proceed after a failed attempt to open the stream, and reports whether the result is final.
// If it is not, the stream is opened at another server.
func (s *streamRun) openFailed(ctx context.Context, srv backend.Server, err error, sends int) (Result, bool) {
	switch {
	case callerLeft(ctx):
		return Result{Reason: ReasonCallerLeft, Server: srv.ID}, true
	case errors.Is(err, errDraining), errors.Is(err, ErrNotSent) && isStopped(ctx):
		return refuse(s.w, Refusal{Reason: ReasonDraining, RetryAfter: drainRetryAfter}), true
	case errors.Is(err, errQuarantined):
		return refuse(s.w, refuseQuarantined(s.rt.quarantined(s.adm))), true
	case errors.Is(err, errWithdrawn):
		return Result{}, false
	case errors.Is(err, ErrNotSent):
		if ctx.Err() == nil {
			s.rt.markUnreachable(srv, err)
			return Result{}, false
		}
		return refuse(s.w, Refusal{Reason: ReasonOverloaded}), true
	case errors.Is(err, ErrNotRun):
		s.rt.markFull(srv)
		if sends < maxSends && ctx.Err() == nil && s.rt.takeOrBorrowRetry(ctx, s.adm.Service.Name) {
			return Result{}, false
		}
		return refuse(s.w, Refusal{Reason: ReasonNotRun, RetryAfter: fullRetryAfter}), true
	case isStopped(ctx):
		return s.refuseFrom(srv, ReasonStopped), true
	case ctx.Err() != nil:
		go s.rt.watchSilent(ctx, s.adm, srv)
		return s.refuseFrom(srv, ReasonTimeout), true
	}
	s.rt.markUnreachable(srv, err)
	if !errors.Is(err, ErrMalformed) {
		go s.rt.confirmCrash(ctx, s.adm, srv)
	}
	return s.refuseFrom(srv, ReasonLost), true
}

func (s *streamRun) refuseFrom(srv backend.Server, reason Reason) Result {
	res := refuse(s.w, Refusal{Reason: reason})
	res.Server = srv.ID
	return res
}

// register adds the run to those in flight.
func (s *streamRun) register(g grant) {
	s.grant = g
	if err := s.fenceSend(g.server); err != nil {
		bug.Reportf("stream opened while a server holds its run: %v", err)
	}
	s.recordAt(g.server, fencing.Accepted)
	s.rt.mu.Lock()
	s.rt.runs[s.adm.ID] = s
	s.rt.mu.Unlock()
}

// unregister removes the run from those in flight and releases its slot. A move that is in progress has no copy left to release.
func (s *streamRun) unregister() {
	s.rt.mu.Lock()
	s.mu.Lock()
	delete(s.rt.runs, s.adm.ID)
	g := s.grant
	s.grant.copy = nil
	s.mu.Unlock()
	s.rt.mu.Unlock()
	s.rt.release(g)
}

// forward forwards events until the stream ends. It continues a broken stream from its copy.
func (s *streamRun) forward(ctx context.Context, events Events) Result {
	for {
		next, err := s.forwardFrom(ctx, events)
		events.Close()
		srv := s.currentGrant().server
		res := Result{Server: srv.ID, Status: http.StatusOK, Events: s.forwarded, Waited: s.waited, First: s.first}
		switch {
		case next != nil:
			events = next
			continue
		case err == nil:
			res.End = s.end.String()
			if s.end == completion.Closed {
				s.rt.count.closed.Add(1)
			}
			s.observeLength()
			s.rt.recordPass(s.adm.parts)
			if s.w.End() != nil {
				res.Reason = ReasonCallerLeft
			}
			return res
		case errors.Is(err, errCallerLeft) || callerLeft(ctx):
			res.Reason = ReasonCallerLeft
			return res
		case isStopped(ctx):
			res.Reason, res.Truncated = ReasonStopped, true
			return res
		case ctx.Err() != nil:
			res.Reason, res.Truncated = ReasonTimeout, true
			return res
		}
		if errors.Is(err, ErrMalformed) {
			s.rt.markUnreachable(srv, err)
		} else if s.hasJustBegun() {
			s.rt.confirmCrash(ctx, s.adm, srv)
			if !s.rt.mayBeginAgain(s.adm, srv) {
				s.countLost(s.breakFields(errSuspected))
				res.Reason, res.Truncated = ReasonBroken, true
				return res
			}
		}
		if events, err = s.continueBroken(ctx, err); err != nil {
			res.Reason, res.Truncated = ReasonBroken, true
			return res
		}
	}
}

// typicalLength returns the length statistics of a route's answers. The caller holds mu.
func (rt *Runtime) typicalLength(name string) *placement.TypicalLength {
	t := rt.answerLengths[name]
	if t == nil {
		t = new(placement.TypicalLength)
		rt.answerLengths[name] = t
	}
	return t
}

// observeLength records the length of a complete answer.
func (s *streamRun) observeLength() {
	s.rt.mu.Lock()
	defer s.rt.mu.Unlock()
	s.rt.typicalLength(s.adm.Route.Name).Observe(s.tokensIn(s.progress()))
}

// forwardEvent forwards one event.
func (s *streamRun) forwardEvent(ev Event) error {
	s.measureEvent()
	if err := s.w.Event(ev.Data); err != nil {
		return errCallerLeft
	}
	s.wroteAt = time.Now()
	s.countEvent(ev.ID)
	return nil
}

// countEvent counts an event that reached the caller. The first one shows that the server has read the prompt.
func (s *streamRun) countEvent(id string) {
	s.mu.Lock()
	s.lastID = cmp.Or(id, s.lastID)
	s.orders.Event(time.Now())
	s.fence.Record(s.grant.server.ID, fencing.Progressed)
	s.forwarded++
	events := s.forwarded
	server, prefill := s.grant.server.ID, s.grant.prefillTokens
	s.grant.prefillTokens = 0
	s.mu.Unlock()
	if events == passedEvents {
		s.rt.recordPass(s.adm.parts)
	}
	if prefill > 0 {
		s.rt.mu.Lock()
		s.rt.loads.addPrefill(server, -1, prefill)
		s.rt.mu.Unlock()
	}
	if events%needUpdateEvents == 0 {
		s.updateNeed()
	}
}

// hasJustBegun reports whether the run is at the beginning of its answer, on a server that was not asked to stop it.
func (s *streamRun) hasJustBegun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forwarded <= begunEvents && s.orders.Stop() == completion.NotStopped && s.move == nil
}

// needUpdateEvents is the number of events after which a run's need is predicted again.
const needUpdateEvents = 25

// updateNeed updates the reserved memory to what the rest of the run is now predicted to need.
func (s *streamRun) updateNeed() {
	need := s.need()
	s.rt.mu.Lock()
	defer s.rt.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	more := need.Tokens - s.grant.need.Tokens
	s.grant.need = need
	s.grant.flow.addRunning(more)
	s.rt.loads.add(s.grant.server.ID, placement.Load{RunTokens: more})
	if c := s.grant.copy; c != nil {
		s.rt.loads.add(c.ID, placement.Load{CopyTokens: more})
	}
}

// measureEvent records the time of an event. For the first event after a continuation, it logs the continuation with
// the pause that the caller saw.
func (s *streamRun) measureEvent() {
	now := time.Now()
	class := classes[s.adm.Route.Kind]
	if s.lastEventAt.IsZero() {
		s.first = now.Sub(s.adm.Arrived)
		s.rt.observer.RecordFirstEvent(class, s.adm.Account, s.first)
		s.rt.recordUsage(s.adm, now)
		s.answered(true)
		s.rt.observeFirstEvent(s.currentGrant().server, s.adm.Route.Name, now.Sub(s.openedAt))
		s.recordFirstSpeed(now)
	} else {
		s.rt.observer.RecordEventGap(class, s.adm.Account, now.Sub(s.lastEventAt))
		if s.continuation == nil {
			s.recordGap(now.Sub(s.lastEventAt))
		}
	}
	if s.continuation != nil {
		from := s.lastEventAt
		if from.IsZero() {
			from = s.adm.Arrived
		}
		s.continuation["pauseMs"] = now.Sub(from).Milliseconds()
		s.rt.count.continued.Add(1)
		event.Log(s.rt.log, event.StreamContinued, s.continuation)
		s.continuation = nil
	}
	s.lastEventAt = now
}

func (s *streamRun) currentGrant() grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grant
}

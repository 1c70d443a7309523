// Package bookings measures whether calls that may not be repeated run at most once while the store, the
// service and the nodes fail.
//
// The ledgers of all nodes run in one process and in real time, against small fakes of the store and the
// service. Callers send each booking to randomly chosen nodes until they have an answer, and the fake service
// records which attempt caused each run. The counts of bookings that ran twice, and of refusals that said
// "not run" although the attempt ran, are therefore exact.
package bookings

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/service"
)

// Method describes how the figures are measured.
const Method = "ledgers of five nodes in one process in real time, fakes of store and service"

// Result is the outcome of one run. A seed fixes the schedules of faults and of calls. Which of them coincide
// differs from run to run.
type Result struct {
	Experiment  string  `json:"experiment"`
	Seed        uint64  `json:"seed"`
	Method      string  `json:"method"`
	Requested   int     `json:"asked"`       // bookings that callers requested
	Attempts    int     `json:"attempts"`    // calls by callers
	Ran         int     `json:"ran"`         // bookings that ran
	RanTwice    int     `json:"ranTwice"`    // bookings that ran more than once
	FalseNotRun int     `json:"falseNotRun"` // refusals that said "not run" although the attempt ran
	WrongAnswer int     `json:"wrongAnswer"` // answers other than that of the booking's first run
	Answered    int     `json:"answered"`    // bookings whose caller received the answer
	Replayed    int     `json:"replayed"`    // answered bookings whose every answer came from the ledger
	NotRun      int     `json:"notRun"`      // bookings whose every attempt was refused
	Unknown     int     `json:"unknown"`     // bookings whose caller received no more than "outcome unknown"
	Kills       int     `json:"kills"`       // of processes
	Pauses      int     `json:"pauses"`      // of processes
	Outages     int     `json:"outages"`     // of the store
	LostAnswers int     `json:"lostAnswers"` // of the store, to writes that took effect immediately or late
	Seconds     float64 `json:"seconds"`
	// Baseline is the result of the same run without a ledger. Nodes send each attempt to the service, and
	// callers retry until they have an answer.
	Baseline *Result `json:"baseline,omitempty"`
}

// FullRunBookings is the number of bookings in a full run.
const FullRunBookings = 10000

const (
	callers     = 64
	maxAttempts = 6
	callTimeout = 400 * time.Millisecond
	retryWait   = 20 * time.Millisecond
	settleTime  = 500 * time.Millisecond // after the last call, for late runs
)

// variant selects a deviation from the standard run. Two variants break a guarantee on purpose, so that tests can
// check that the figures reveal it.
type variant int

const (
	variantStandard     variant = iota
	variantBrokenSwap           // the store swaps at any revision
	variantFalseNotSent         // the service reports "not sent" for calls that run
	variantNoLedger             // nodes send each attempt to the service
)

// Run requests count bookings under all faults, once with the ledger and once without.
func Run(ctx context.Context, seed uint64, count int) Result {
	res := run(ctx, seed, count, variantStandard)
	base := run(ctx, seed, count, variantNoLedger)
	res.Baseline = &base
	return res
}

func run(ctx context.Context, seed uint64, count int, v variant) Result {
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := newHarness(ctx, seed, v)
	go h.injectFaults(ctx, rand.New(rand.NewPCG(seed, 3)))
	work := make(chan int)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for key := range work {
				h.book(ctx, key, rand.New(rand.NewPCG(seed, uint64(key))))
			}
		})
	}
	for key := range count {
		work <- key
	}
	close(work)
	wg.Wait()
	time.Sleep(settleTime)
	res := h.result(count)
	res.Experiment, res.Seed, res.Method = "bookings", seed, Method
	res.Seconds = time.Since(start).Seconds()
	return res
}

// attempt identifies one call by a caller.
type attempt struct{ key, number int }

// attemptKey is the context key of the attempt that a call belongs to.
type attemptKey struct{}

// outcome is the result of one attempt as its caller sees it.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeReplayed
	outcomeNotRun
	outcomeUnknown // also when the caller's node was killed
)

// book requests one booking through randomly chosen nodes until the caller has its answer.
func (h *harness) book(ctx context.Context, key int, r *rand.Rand) {
	for number := range maxAttempts {
		at := attempt{key, number}
		out, body := h.callNode(ctx, at, h.nodes[r.IntN(len(h.nodes))])
		h.recordAttempt(at, out, body)
		if (out == outcomeAnswered || out == outcomeReplayed) && (h.variant == variantNoLedger || r.IntN(4) > 0) {
			return // with a ledger, one caller in four retries although it has the answer
		}
		time.Sleep(retryWait)
	}
}

func (h *harness) callNode(ctx context.Context, at attempt, n *node) (outcome, string) {
	p := n.process.Load()
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, attemptKey{}, at), callTimeout)
	defer cancel()
	answer, err := h.callService(ctx, p, caller.ServiceCall{
		Account: "shop", Service: "bookings", Method: http.MethodPost, Path: "/bookings",
		Body: fmt.Appendf(nil, `{"booking":%d}`, at.key), IdempotencyKey: fmt.Sprint(at.key),
		Deadline: time.Now().Add(callTimeout),
	})
	var refusal *caller.Refusal
	switch {
	case p.killed(): // the caller sees a broken connection, whatever the killed process would have answered
		return outcomeUnknown, ""
	case err == nil && answer.Replayed:
		return outcomeReplayed, string(answer.Body)
	case err == nil:
		return outcomeAnswered, string(answer.Body)
	case errors.As(err, &refusal) && refusal.NotRun:
		return outcomeNotRun, ""
	}
	return outcomeUnknown, ""
}

// callService calls the service through the ledger of a process, or directly for the baseline.
func (h *harness) callService(ctx context.Context, p *process, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	if h.variant != variantNoLedger {
		return p.manager.Call(ctx, call)
	}
	answer, err := p.Call(ctx, netip.AddrPort{}, service.Call{Method: call.Method, Path: call.Path, Body: call.Body})
	if errors.Is(err, service.ErrNotSent) {
		err = &caller.Refusal{Reason: caller.ReasonNoServer, NotRun: true}
	}
	return caller.ServiceAnswer{Status: answer.Status, Body: answer.Body}, err
}

// history records what happened to one booking.
type history struct {
	attempts int
	best     outcome
	bodies   []string  // of the answers
	refused  []attempt // answered with "not run"
	runs     []attempt // that caused a run, in order
}

func (h *harness) recordAttempt(at attempt, out outcome, body string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hist := h.historyOf(at.key)
	if hist.attempts++; hist.attempts == 1 || out < hist.best || hist.best == outcomeNotRun && out == outcomeUnknown {
		hist.best = out
	}
	switch out {
	case outcomeNotRun:
		hist.refused = append(hist.refused, at)
	case outcomeAnswered, outcomeReplayed:
		hist.bodies = append(hist.bodies, body)
	}
}

// historyOf returns the history of a booking. The caller must hold mu.
func (h *harness) historyOf(key int) *history {
	if h.histories[key] == nil {
		h.histories[key] = &history{}
	}
	return h.histories[key]
}

func (h *harness) result(count int) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	res := h.counts
	res.Requested = count
	for _, hist := range h.histories {
		hist.count(&res)
	}
	return res
}

func (hist *history) count(res *Result) {
	res.Attempts += hist.attempts
	if len(hist.runs) > 0 {
		res.Ran++
	}
	if len(hist.runs) > 1 {
		res.RanTwice++
	}
	for _, refused := range hist.refused {
		for _, ran := range hist.runs {
			if ran == refused {
				res.FalseNotRun++
			}
		}
	}
	for _, body := range hist.bodies {
		if len(hist.runs) == 0 || body != receipt(hist.runs[0]) {
			res.WrongAnswer++
		}
	}
	switch hist.best {
	case outcomeAnswered:
		res.Answered++
	case outcomeReplayed:
		res.Answered++
		res.Replayed++
	case outcomeNotRun:
		res.NotRun++
	case outcomeUnknown:
		res.Unknown++
	}
}

func receipt(at attempt) string {
	return fmt.Sprintf("run of booking %d by attempt %d", at.key, at.number)
}

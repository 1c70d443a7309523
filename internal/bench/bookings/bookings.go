// Package bookings measures whether calls that may not be repeated run at most once while the store, the
// service and the nodes fail.
//
// The nodes' ledgers run in one process and in real time, before small fakes of the store and the service.
// Callers ask for each booking through changing nodes until they have an answer, and the service notes which
// attempt caused each run. So a booking that ran twice and a refusal that untruly said "not run" are counted
// exactly.
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

// Method says how the figures are taken.
const Method = "ledgers of five nodes in one process in real time, fakes of store and service"

// Result is the outcome of one run. One seed gives one schedule of faults and calls; what coincides with what
// differs from run to run.
type Result struct {
	Experiment  string  `json:"experiment"`
	Seed        uint64  `json:"seed"`
	Method      string  `json:"method"`
	Requested   int     `json:"asked"`       // bookings
	Attempts    int     `json:"attempts"`    // calls of callers
	Ran         int     `json:"ran"`         // bookings that ran
	RanTwice    int     `json:"ranTwice"`    // bookings that ran more than once
	FalseNotRun int     `json:"falseNotRun"` // refusals saying "not run" to an attempt that ran
	WrongAnswer int     `json:"wrongAnswer"` // answers that were not of the booking's run
	Answered    int     `json:"answered"`    // bookings whose caller has the answer
	Replayed    int     `json:"replayed"`    // of these, from the ledger
	NotRun      int     `json:"notRun"`      // bookings whose every attempt was refused
	Unknown     int     `json:"unknown"`     // bookings whose caller was told no more than "outcome unknown"
	Kills       int     `json:"kills"`       // of processes
	Pauses      int     `json:"pauses"`      // of processes
	Outages     int     `json:"outages"`     // of the store
	LostAnswers int     `json:"lostAnswers"` // of the store, after taking effect at once or late
	Seconds     float64 `json:"seconds"`
	// Baseline is the same without a ledger: nodes send each attempt to the service, and callers ask again
	// until they have an answer.
	Baseline *Result `json:"baseline,omitempty"`
}

// FullRunBookings is the number of bookings of a full run.
const FullRunBookings = 10000

const (
	callers     = 64
	maxAttempts = 6
	callTimeout = 400 * time.Millisecond
	retryWait   = 20 * time.Millisecond
	settleTime  = 500 * time.Millisecond // for late runs after the last call
)

// breakage breaks a rule on purpose, so that tests see the figures tell it.
type breakage int

const (
	breakNothing breakage = iota
	breakSwap             // the store swaps whatever revision is expected
	breakNotSent          // the service says "not sent" of calls that run
	noLedger              // nodes send each attempt to the service
)

// Run asks for keys bookings under all faults, with the ledger and without.
func Run(ctx context.Context, seed uint64, keys int) Result {
	res := run(ctx, seed, keys, breakNothing)
	base := run(ctx, seed, keys, noLedger)
	res.Baseline = &base
	return res
}

func run(ctx context.Context, seed uint64, keys int, b breakage) Result {
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newWorld(ctx, seed, b)
	go w.makeTrouble(ctx, rand.New(rand.NewPCG(seed, 3)))
	work := make(chan int)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for key := range work {
				w.book(ctx, key, rand.New(rand.NewPCG(seed, uint64(key))))
			}
		})
	}
	for key := range keys {
		work <- key
	}
	close(work)
	wg.Wait()
	time.Sleep(settleTime)
	res := w.result(keys)
	res.Experiment, res.Seed, res.Method = "bookings", seed, Method
	res.Seconds = time.Since(start).Seconds()
	return res
}

// attempt names one call of a caller.
type attempt struct{ key, number int }

type attemptKey struct{}

// ending is how one attempt ended for its caller.
type ending int

const (
	endAnswered ending = iota
	endReplayed
	endNotRun
	endUnknown // also when the caller's node went away
)

// Asks for one booking through changing nodes until the caller has its answer.
func (w *world) book(ctx context.Context, key int, r *rand.Rand) {
	for number := range maxAttempts {
		at := attempt{key, number}
		end, body := w.try(ctx, at, w.nodes[r.IntN(len(w.nodes))])
		w.note(at, end, body)
		if (end == endAnswered || end == endReplayed) && (w.breakage == noLedger || r.IntN(4) > 0) {
			return // one in four asks again though it has the answer, but not without a ledger
		}
		time.Sleep(retryWait)
	}
}

func (w *world) try(ctx context.Context, at attempt, n *node) (ending, string) {
	p := n.process.Load()
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, attemptKey{}, at), callTimeout)
	defer cancel()
	answer, err := w.call(ctx, p, caller.ServiceCall{
		Account: "shop", Service: "bookings", Method: http.MethodPost, Path: "/bookings",
		Body: fmt.Appendf(nil, `{"booking":%d}`, at.key), IdempotencyKey: fmt.Sprint(at.key),
		Deadline: time.Now().Add(callTimeout),
	})
	var refusal *caller.Refusal
	switch {
	case p.killed(): // the caller sees a cut connection, whatever the dead process would have said
		return endUnknown, ""
	case err == nil && answer.Replayed:
		return endReplayed, string(answer.Body)
	case err == nil:
		return endAnswered, string(answer.Body)
	case errors.As(err, &refusal) && refusal.NotRun:
		return endNotRun, ""
	}
	return endUnknown, ""
}

// Calls the service by the ledger of a process, or straight for the baseline.
func (w *world) call(ctx context.Context, p *process, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	if w.breakage != noLedger {
		return p.manager.Call(ctx, call)
	}
	answer, err := p.Call(ctx, netip.AddrPort{}, service.Call{Method: call.Method, Path: call.Path, Body: call.Body})
	if errors.Is(err, service.ErrNotSent) {
		err = &caller.Refusal{Reason: caller.ReasonNoServer, NotRun: true}
	}
	return caller.ServiceAnswer{Status: answer.Status, Body: answer.Body}, err
}

// history is what happened to one booking.
type history struct {
	attempts int
	best     ending
	bodies   []string  // of answers
	refused  []attempt // told "not run"
	runs     []attempt // that caused a run, in order
}

func (w *world) note(at attempt, end ending, body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.history(at.key)
	if h.attempts++; h.attempts == 1 || end < h.best || h.best == endNotRun && end == endUnknown {
		h.best = end
	}
	switch end {
	case endNotRun:
		h.refused = append(h.refused, at)
	case endAnswered, endReplayed:
		h.bodies = append(h.bodies, body)
	}
}

// Returns the history of a booking. The caller holds mu.
func (w *world) history(key int) *history {
	if w.histories[key] == nil {
		w.histories[key] = &history{}
	}
	return w.histories[key]
}

func (w *world) result(keys int) Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	res := w.counts
	res.Requested = keys
	for _, h := range w.histories {
		h.count(&res)
	}
	return res
}

func (h *history) count(res *Result) {
	res.Attempts += h.attempts
	if len(h.runs) > 0 {
		res.Ran++
	}
	if len(h.runs) > 1 {
		res.RanTwice++
	}
	for _, refused := range h.refused {
		for _, ran := range h.runs {
			if ran == refused {
				res.FalseNotRun++
			}
		}
	}
	for _, body := range h.bodies {
		if len(h.runs) == 0 || body != receipt(h.runs[0]) {
			res.WrongAnswer++
		}
	}
	switch h.best {
	case endAnswered:
		res.Answered++
	case endReplayed:
		res.Answered++
		res.Replayed++
	case endNotRun:
		res.NotRun++
	case endUnknown:
		res.Unknown++
	}
}

func receipt(at attempt) string {
	return fmt.Sprintf("run of booking %d by attempt %d", at.key, at.number)
}

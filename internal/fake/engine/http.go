// This file defines the HTTP interface of an engine.

package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/engine"
)

const (
	reasonStop   = "stop"
	reasonLength = "length"

	maxRequestBytes = 32 << 20
	cacheWait       = 5 * time.Second
)

func (e *Engine) routes() chi.Router {
	r := chi.NewRouter()
	r.Post(engine.PathGenerate, e.handleGenerate)
	r.Get(engine.PathGenerations+"{generation}", e.handleResume)
	r.Delete(engine.PathGenerations+"{generation}", e.handleCancel)
	r.Get(engine.PathLoad, e.handleLoad)
	r.Get(engine.PathCacheEvents, e.handleCacheEvents)
	r.Post(engine.PathOrders, e.handleOrder)
	return r
}

// ServeHTTP implements http.Handler. While the engine is down it drops every connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.currentBoot()
	e.router.ServeHTTP(w, r)
}

// currentBoot returns the current boot. While the engine is down it panics, which drops the connection.
func (e *Engine) currentBoot() *boot {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == nil {
		panic(http.ErrAbortHandler)
	}
	return e.boot
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var req engine.GenerateRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, engine.ErrorBody{Message: err.Error(), NotRun: true})
		return
	}
	b := e.currentBoot()
	g, status, errBody := e.accept(b, req)
	if g == nil {
		writeError(w, status, errBody)
		return
	}
	e.stream(w, r, b, g, 0)
}

// accept enqueues a request, or returns the status and body of a refusal.
func (e *Engine) accept(b *boot, req engine.GenerateRequest) (*generation, int, engine.ErrorBody) {
	e.mu.Lock()
	defer e.mu.Unlock()
	model := bundle.ModelVersion{Model: req.Model, Version: req.Version}
	promptTokens := engine.EstimateTokens(req.Prompt)
	refuse := func(status int, overloaded bool, format string, args ...any) (*generation, int, engine.ErrorBody) {
		e.counters.Refused++
		return nil, status, engine.ErrorBody{Message: fmt.Sprintf(format, args...), NotRun: true, Overloaded: overloaded}
	}
	switch {
	case e.started[req.Generation]:
		e.counters.DoubleStarted++
		return nil, http.StatusConflict, engine.ErrorBody{Message: fmt.Sprintf("generation %q was started before", req.Generation)}
	case !e.servesModel(model):
		return refuse(http.StatusUnprocessableEntity, false, "version %q of model %q is not loaded", req.Version, req.Model)
	case promptTokens+1 > e.cfg.memoryTokens:
		return refuse(http.StatusUnprocessableEntity, false, "prompt of %d tokens exceeds the memory of %d", promptTokens, e.cfg.memoryTokens)
	case b.streams() >= e.cfg.maxBatch+e.cfg.maxWaiting:
		return refuse(http.StatusServiceUnavailable, true, "%d streams are on the engine", b.streams())
	case e.badVersionApplies(b, BadFails, model, req.Prompt):
		e.recordStart(model, TextSeed(req.Prompt), true)
		return nil, http.StatusInternalServerError, engine.ErrorBody{Message: "generation failed"}
	}
	e.started[req.Generation] = true
	e.counters.Started++
	g := e.newGeneration(b, req, model)
	e.recordStart(model, g.seed, false)
	b.generations[g.id] = g
	e.enqueue(b, g)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return g, 0, engine.ErrorBody{}
}

// newGeneration returns the initial state of an accepted request's stream. The caller holds e.mu.
func (e *Engine) newGeneration(b *boot, req engine.GenerateRequest, model bundle.ModelVersion) *generation {
	g := &generation{
		id:           req.Generation,
		serial:       len(b.generations) + e.counters.Started,
		model:        model,
		prompt:       req.Prompt,
		promptTokens: engine.EstimateTokens(req.Prompt),
		priority:     req.Priority,
		seed:         TextSeed(req.Prompt),
		length:       e.cfg.lengthOf(req),
		reason:       reasonStop,
		crashAt:      -1,
		leftAt:       time.Now(),
		changed:      make(chan struct{}),
	}
	if req.MaxTokens > 0 && g.length > req.MaxTokens {
		g.length, g.reason = req.MaxTokens, reasonLength
	}
	if n, ok := crashAfter(req.Prompt); ok {
		g.crashAt = n
	}
	return g
}

// lookup returns the current boot and the generation named in the path. If there is no such generation, it answers
// the request and returns a nil generation.
func (e *Engine) lookup(w http.ResponseWriter, r *http.Request) (*boot, *generation) {
	b := e.currentBoot()
	id, err := url.PathUnescape(chi.URLParam(r, "generation"))
	if err != nil {
		writeError(w, http.StatusBadRequest, engine.ErrorBody{Message: err.Error()})
		return nil, nil
	}
	e.mu.Lock()
	g := b.generations[id]
	e.mu.Unlock()
	if g == nil {
		writeError(w, http.StatusNotFound, engine.ErrorBody{Message: fmt.Sprintf("generation %q is not here", id)})
	}
	return b, g
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	b, g := e.lookup(w, r)
	if g == nil {
		return
	}
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	if err != nil || index < 0 {
		writeError(w, http.StatusBadRequest, engine.ErrorBody{Message: "index is not a count of tokens"})
		return
	}
	e.mu.Lock()
	generated := g.generated
	e.counters.Resumed++
	e.mu.Unlock()
	if index > generated {
		writeError(w, http.StatusBadRequest, engine.ErrorBody{Message: fmt.Sprintf("index %d is beyond the %d tokens made", index, generated)})
		return
	}
	e.stream(w, r, b, g, index)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	b, g := e.lookup(w, r)
	if g == nil {
		return
	}
	e.mu.Lock()
	e.cancel(b, g)
	e.mu.Unlock()
	writeJSON(w, struct{}{})
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	b := e.currentBoot()
	e.mu.Lock()
	load := e.laggedReport(b)
	e.mu.Unlock()
	writeJSON(w, load)
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	b := e.currentBoot()
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, engine.ErrorBody{Message: "after is not a number"})
		return
	}
	deadline := time.NewTimer(cacheWait)
	defer deadline.Stop()
	for {
		e.mu.Lock()
		events, due, more := b.cacheEvents(after, time.Now())
		e.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, engine.CacheEvents{Events: events})
			return
		}
		var visible <-chan time.Time
		if due > 0 {
			visible = time.After(due)
		}
		select {
		case <-more:
		case <-visible:
		case <-deadline.C:
			writeJSON(w, engine.CacheEvents{})
			return
		case <-r.Context().Done():
			return
		case <-b.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	b := e.currentBoot()
	var order engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, engine.ErrorBody{Message: err.Error()})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.fence {
		if e.cfg.honorsFencing {
			msg := fmt.Sprintf("fencing number %d is older than %d", order.Fence, e.fence)
			writeError(w, http.StatusConflict, engine.ErrorBody{Message: msg, StaleFence: true})
			return
		}
		e.counters.StaleOrders++
	}
	e.fence = max(e.fence, order.Fence)
	e.counters.Orders++
	switch order.Kind {
	case engine.OrderServe:
		go e.loadModel(b, order.Model)
	case engine.OrderUnload:
		e.models = slices.DeleteFunc(slices.Clone(e.models), func(m bundle.ModelVersion) bool { return m == order.Model })
	default:
		writeError(w, http.StatusBadRequest, engine.ErrorBody{Message: fmt.Sprintf("order %q is unknown", order.Kind)})
		return
	}
	writeJSON(w, struct{}{})
}

// loadModel loads a model version after the load time, unless the boot ends before.
func (e *Engine) loadModel(b *boot, model bundle.ModelVersion) {
	if !pause.For(b.ctx, e.cfg.modelLoadTime) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.models, model) {
		e.models = append(slices.Clone(e.models), model)
	}
}

func writeError(w http.ResponseWriter, status int, body engine.ErrorBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a failed write shows at the caller
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a failed write shows at the caller
}

package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/edge/engine"
)

// This file defines how tokens are written to a reader, and load reports.

const foreignGeneration = "foreign"

// streamWriter writes the events of one generation.
type streamWriter struct {
	w   http.ResponseWriter
	r   *http.Request
	buf []byte // events not yet written
}

// Writes a generation's tokens from index on as they are made. The connection is dropped when the generation
// was canceled or the engine goes down.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, b *boot, g *generation, index int) {
	e.addReader(g, 1)
	defer e.addReader(g, -1)
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush() // lets the caller see that the request was accepted
	sw := &streamWriter{w: w, r: r}
	for {
		e.mu.Lock()
		made, ended, canceled, changed, m := g.made, g.ended, g.canceled, g.changed, e.misbehaviour
		e.mu.Unlock()
		for ; index < made; index++ {
			if m.hits(g.serial, index) {
				sw.misbehave(m, g, index)
				continue
			}
			sw.token(g, index)
		}
		if canceled {
			panic(http.ErrAbortHandler)
		}
		if ended {
			sw.event(engine.Token{Generation: g.id, Index: made, Finished: true, Reason: g.reason})
			sw.flush()
			return
		}
		sw.flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-b.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) addReader(g *generation, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers += n
	g.leftAt = time.Now()
}

// Adds a token to the buffer.
func (sw *streamWriter) token(g *generation, index int) {
	sw.event(engine.Token{Generation: g.id, Index: index, Text: TextAt(g.seed, index)})
}

func (sw *streamWriter) event(tok engine.Token) {
	data, _ := json.Marshal(tok) // plain fields never fail
	sw.buf = append(sw.buf, "data: "...)
	sw.buf = append(sw.buf, data...)
	sw.buf = append(sw.buf, "\n\n"...)
}

// Sends the buffer. A failed write shows as the end of the request's context.
func (sw *streamWriter) flush() {
	if len(sw.buf) == 0 {
		return
	}
	_, _ = sw.w.Write(sw.buf)
	_ = http.NewResponseController(sw.w).Flush()
	sw.buf = sw.buf[:0]
}

// Writes the token at index in the way that was asked for.
func (sw *streamWriter) misbehave(m Misbehaviour, g *generation, index int) {
	switch m.Kind {
	case MisbehaveRepeat:
		sw.token(g, index)
		sw.token(g, index)
	case MisbehaveSkip:
	case MisbehaveForeign:
		sw.event(engine.Token{Generation: foreignGeneration, Index: index, Text: TextAt(^g.seed, index)})
		sw.token(g, index)
	case MisbehaveLate:
		sw.flush()
		pause.For(sw.r.Context(), m.Delay)
		sw.token(g, index)
	case MisbehaveCut:
		sw.flush()
		panic(http.ErrAbortHandler)
	}
}

// Returns a load report of this moment. The caller holds e.mu.
func (e *Engine) report(b *boot) engine.Load {
	return engine.Load{
		BootID:       b.id,
		SampledAt:    time.Now(),
		Running:      len(b.running),
		Waiting:      len(b.waiting),
		UsedTokens:   b.used,
		MemoryTokens: e.cfg.memoryTokens,
		Preemptions:  b.preemptions,
		Leaving:      e.leaving,
		Models:       e.models,
	}
}

// Returns the latest report that is as old as the lag, or the oldest there is. The caller holds e.mu.
func (e *Engine) oldReport(b *boot) engine.Load {
	if e.cfg.loadLag == 0 || len(b.reports) == 0 {
		return e.report(b)
	}
	limit := time.Now().Add(-e.cfg.loadLag)
	for len(b.reports) > 1 && !b.reports[1].SampledAt.After(limit) {
		b.reports = b.reports[1:]
	}
	return b.reports[0]
}

// Samples the load until the boot ends.
func (e *Engine) sample(b *boot) {
	const samplesPerLag = 4
	for {
		e.mu.Lock()
		e.oldReport(b) // drops reports that are too old
		b.reports = append(b.reports, e.report(b))
		e.mu.Unlock()
		if !pause.For(b.ctx, max(e.cfg.loadLag/samplesPerLag, time.Millisecond)) {
			return
		}
	}
}

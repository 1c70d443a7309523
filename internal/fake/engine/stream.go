// This file writes tokens to readers and makes load reports.

package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/edge/engine"
)

const foreignGeneration = "foreign"

// streamWriter writes the events of one generation.
type streamWriter struct {
	w   http.ResponseWriter
	r   *http.Request
	buf []byte // events not yet written
}

// stream writes a generation's tokens from index on as they are generated. It drops the connection if the generation
// is canceled or the engine goes down.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, b *boot, g *generation, index int) {
	e.addReader(g, 1)
	defer e.addReader(g, -1)
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush() // shows the caller that the request was accepted
	sw := &streamWriter{w: w, r: r}
	for {
		e.mu.Lock()
		generated, ended, canceled, changed, m := g.generated, g.ended, g.canceled, g.changed, e.misbehaviour
		e.mu.Unlock()
		for ; index < generated; index++ {
			if m.appliesTo(g.serial, index) {
				sw.misbehave(m, g, index)
				continue
			}
			sw.addToken(g, index)
		}
		if canceled {
			panic(http.ErrAbortHandler)
		}
		if ended {
			sw.addEvent(engine.Token{Generation: g.id, Index: generated, Finished: true, Reason: g.reason})
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

// addReader adds n to the generation's number of readers.
func (e *Engine) addReader(g *generation, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers += n
	g.leftAt = time.Now()
}

// addToken adds a token to the buffer.
func (sw *streamWriter) addToken(g *generation, index int) {
	sw.addEvent(engine.Token{Generation: g.id, Index: index, Text: TextAt(g.seed, index)})
}

// addEvent adds an event to the buffer.
func (sw *streamWriter) addEvent(tok engine.Token) {
	data, _ := json.Marshal(tok) // plain fields never fail
	sw.buf = append(sw.buf, "data: "...)
	sw.buf = append(sw.buf, data...)
	sw.buf = append(sw.buf, "\n\n"...)
}

// flush sends the buffer. It ignores write errors: the request's context ends then.
func (sw *streamWriter) flush() {
	if len(sw.buf) == 0 {
		return
	}
	_, _ = sw.w.Write(sw.buf)
	_ = http.NewResponseController(sw.w).Flush()
	sw.buf = sw.buf[:0]
}

// misbehave writes the token at index with the given misbehaviour.
func (sw *streamWriter) misbehave(m Misbehaviour, g *generation, index int) {
	switch m.Kind {
	case MisbehaveRepeat:
		sw.addToken(g, index)
		sw.addToken(g, index)
	case MisbehaveSkip:
	case MisbehaveForeign:
		sw.addEvent(engine.Token{Generation: foreignGeneration, Index: index, Text: TextAt(^g.seed, index)})
		sw.addToken(g, index)
	case MisbehaveLate:
		sw.flush()
		pause.For(sw.r.Context(), m.Delay)
		sw.addToken(g, index)
	case MisbehaveCut:
		sw.flush()
		panic(http.ErrAbortHandler)
	}
}

// report returns a load report as of now. The caller holds e.mu.
func (e *Engine) report(b *boot) engine.Load {
	return engine.Load{
		BootID:       b.id,
		SampledAt:    time.Now(),
		Running:      len(b.running),
		Waiting:      len(b.waiting),
		UsedTokens:   b.usedTokens,
		MemoryTokens: e.cfg.memoryTokens,
		Preemptions:  b.preemptions,
		Leaving:      e.leaving,
		Models:       e.models,
	}
}

// laggedReport returns the latest report that is at least as old as the lag, or else the oldest report. It deletes the
// reports before that. The caller holds e.mu.
func (e *Engine) laggedReport(b *boot) engine.Load {
	if e.cfg.loadLag == 0 || len(b.reports) == 0 {
		return e.report(b)
	}
	limit := time.Now().Add(-e.cfg.loadLag)
	for len(b.reports) > 1 && !b.reports[1].SampledAt.After(limit) {
		b.reports = b.reports[1:]
	}
	return b.reports[0]
}

// sampleLoad records load reports until the boot ends.
func (e *Engine) sampleLoad(b *boot) {
	const samplesPerLag = 4
	for {
		e.mu.Lock()
		e.laggedReport(b) // deletes reports that are no longer needed
		b.reports = append(b.reports, e.report(b))
		e.mu.Unlock()
		if !pause.For(b.ctx, max(e.cfg.loadLag/samplesPerLag, time.Millisecond)) {
			return
		}
	}
}

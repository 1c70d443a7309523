// Package progress measures how the answer to a call arrives, and bounds its time without bounding its size.
//
// A call that ends without its answer looks the same to the caller whether the peer was silent or the link too slow for the size of the
// answer. An [Arrival] tells them apart: the answer began, and a part of it arrived. A fixed limit for the whole call would also end a
// large answer that arrives steadily, and the next attempt would begin it again. So a [Limit] bounds the time until the answer
// begins and the time without progress.
package progress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// ErrTooSlow means that an answer did not begin in time, or that too little of it arrived in time. It is a context.DeadlineExceeded.
var ErrTooSlow = fmt.Errorf("answer is too slow: %w", context.DeadlineExceeded)

// MinBytes is how many bytes of an answer must arrive within the stall time of its limit, unless it ends before.
const MinBytes = 16 << 10

// Limit bounds the time of a call.
type Limit struct {
	Start time.Duration // until the answer begins
	Stall time.Duration // within which MinBytes more must arrive once it has begun
}

// Arrival describes how the answer to one call arrived.
type Arrival struct {
	FirstByte time.Duration // from the start of the call until the answer began; 0 if it did not
	Duration  time.Duration // of the call
	Bytes     int           // of the answer's body that arrived
}

// IncompleteError is the error of a call whose answer did not arrive in full.
type IncompleteError struct {
	Arrival
	Err error
}

func (e *IncompleteError) Error() string {
	if e.FirstByte == 0 {
		return fmt.Sprintf("no answer after %v: %v", e.Duration.Round(time.Millisecond), e.Err)
	}
	return fmt.Sprintf("answer began after %v, %d bytes arrived in %v: %v",
		e.FirstByte.Round(time.Millisecond), e.Bytes, e.Duration.Round(time.Millisecond), e.Err)
}

func (e *IncompleteError) Unwrap() error { return e.Err }

// Meter measures and limits one call. It is not safe for concurrent use.
type Meter struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer // cancels ctx
	limit   Limit
	start   time.Time
	arrival Arrival
	recent  int // bytes since the timer was set
	check   func(bytes int) error
}

// Begin returns a meter of a call that starts now, and the context of the call. The caller must call End.
func (l Limit) Begin(ctx context.Context) (context.Context, *Meter) {
	m := &Meter{limit: l, start: time.Now()}
	m.ctx, m.cancel = context.WithCancelCause(ctx)
	m.timer = time.AfterFunc(l.Start, func() { m.cancel(ErrTooSlow) })
	return m.ctx, m
}

// End releases the resources of the meter and ends the call's context.
func (m *Meter) End() {
	m.timer.Stop()
	m.cancel(nil)
}

// Check sets a function that is called with the number of bytes that have arrived whenever more do. Its error ends the answer.
func (m *Meter) Check(fn func(bytes int) error) { m.check = fn }

// Body records that the answer begins and returns a reader of its body.
func (m *Meter) Body(r io.Reader) io.Reader {
	m.arrival.FirstByte = max(time.Since(m.start), 1)
	m.timer.Reset(m.limit.Stall)
	return &body{m, r}
}

type body struct {
	m *Meter
	r io.Reader
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.m.arrival.Bytes += n
	if b.m.recent += n; b.m.recent >= MinBytes {
		b.m.recent = 0
		b.m.timer.Reset(b.m.limit.Stall)
	}
	if err == nil && b.m.check != nil {
		err = b.m.check(b.m.arrival.Bytes)
	}
	return n, err
}

// Arrival returns how the answer arrived up to now.
func (m *Meter) Arrival() Arrival {
	m.arrival.Duration = time.Since(m.start)
	return m.arrival
}

// Incomplete returns an IncompleteError with the cause err, or ErrTooSlow if the limit ended the call.
func (m *Meter) Incomplete(err error) error {
	if cause := context.Cause(m.ctx); errors.Is(cause, ErrTooSlow) {
		err = cause
	}
	return &IncompleteError{m.Arrival(), err}
}

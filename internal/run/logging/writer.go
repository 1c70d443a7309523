// This file defines a writer for destinations that may block, such as a pipe that nobody reads.

package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"ebonyferry/internal/base/event"
)

const (
	// maxQueuedLines limits the queue. At about 300 bytes a line, a full queue takes about a megabyte.
	maxQueuedLines = 4096
	// closeTimeout limits how long Close waits for a destination that blocks.
	closeTimeout = 300 * time.Millisecond
)

// Writer queues lines and writes them in the background, so it never blocks its callers. It drops and counts lines
// while the queue is full, and reports their number in a line once it can write again. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	closing sync.Once
	closed  chan struct{} // closed by Close
	done    chan struct{} // closed when all lines are written
}

// NewWriter returns a writer to out. Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, maxQueuedLines), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It always reports success, since a logger can do nothing about a failure.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and ends the writer. It returns without them if the destination blocks.
func (w *Writer) Close() error {
	w.closing.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.write(line)
		case <-w.closed:
			w.flush()
			return
		}
	}
}

// flush writes the queued lines.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.queue:
			w.write(line)
		default:
			return
		}
	}
}

func (w *Writer) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		ev := event.LogLinesDropped
		fmt.Fprintf(w.out, `{"fields":{"event":%d,"lines":%d},"level":"%s","message":"%s"}`+"\n", ev.Number, n, ev.Level, ev.Name)
	}
	_, _ = w.out.Write(line) // a failure cannot be logged
}

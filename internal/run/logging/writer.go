package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"ebonyferry/internal/base/event"
)

// This file defines the writer between a logger and a destination that may block, such as a pipe that nobody reads.

const (
	// queueLines bounds the lines that wait. At some 300 bytes each they take about a megabyte.
	queueLines = 4096
	// closeWait bounds how long Close waits for a destination that blocks.
	closeWait = 300 * time.Millisecond
)

// Writer passes lines on without ever blocking who writes them. Lines that find the queue full are left out and
// counted, and a line says so when there is room again. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing sync.Once
	closed  chan struct{} // closed by Close
	done    chan struct{} // closed when all lines were written
}

// NewWriter returns a writer to out. Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), closed: make(chan struct{}), done: make(chan struct{})}
	go w.pass()
	return w
}

// Write queues one line. It always reports success, since a logger can do nothing about a failure.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and ends the writer. It gives up on a destination that blocks.
func (w *Writer) Close() error {
	w.closing.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
	return nil
}

func (w *Writer) pass() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closed:
			w.flush()
			return
		}
	}
}

// Writes what is queued.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
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
	_, _ = w.out.Write(line) // nowhere is left to tell of a failure
}

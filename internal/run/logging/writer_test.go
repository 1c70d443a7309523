package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

// blockingWriter is a destination that blocks until open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (dst *blockingWriter) Write(p []byte) (int, error) {
	<-dst.open
	dst.mu.Lock()
	defer dst.mu.Unlock()
	return dst.buf.Write(p)
}

// A pipe that nobody reads must not block the program through its logger. Dropped lines are counted.
func TestBlockedDestination(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dst := &blockingWriter{open: make(chan struct{})}
		w := NewWriter(dst)
		const extra = 100
		for range maxQueuedLines + extra {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		close(dst.open)
		synctest.Wait()
		_, _ = w.Write([]byte("last\n"))
		synctest.Wait()
		w.Close()
		text := dst.buf.String()
		written := strings.Count(text, "line\n")
		if want := fmt.Sprintf(`"lines":%d`, maxQueuedLines+extra-written); !strings.Contains(text, want) {
			t.Errorf("after %d lines of %d: the destination does not hold %s", written, maxQueuedLines+extra, want)
		}
		if !strings.Contains(text, "logLinesDropped") || !strings.HasSuffix(text, "last\n") {
			t.Errorf("destination: got %d bytes that end in %q, want the count of dropped lines and the last line", len(text), text[max(0, len(text)-20):])
		}
	})
}

func TestCloseWritesQueuedLines(t *testing.T) {
	var buf bytes.Buffer
	w := NewWriter(&buf)
	for range 50 {
		_, _ = w.Write([]byte("x"))
	}
	w.Close()
	if got := buf.Len(); got != 50 {
		t.Errorf("bytes written: got %d, want 50", got)
	}
}

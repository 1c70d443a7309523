package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

// gate is a destination that blocks until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

// A destination that blocks holds no one up, and what was left out is counted.
func TestBlockedDestination(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate{open: make(chan struct{})}
		w := NewWriter(g)
		const extra = 100
		for range queueLines + extra {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		close(g.open)
		synctest.Wait()
		_, _ = w.Write([]byte("last\n"))
		synctest.Wait()
		w.Close()
		text := g.buf.String()
		written := strings.Count(text, "line\n")
		if want := fmt.Sprintf(`"lines":%d`, queueLines+extra-written); !strings.Contains(text, want) {
			t.Errorf("after %d lines of %d: the destination does not hold %s", written, queueLines+extra, want)
		}
		if !strings.Contains(text, "logLinesDropped") || !strings.HasSuffix(text, "last\n") {
			t.Errorf("destination: got %d bytes that end in %q, want the count of lines left out and the last line", len(text), text[max(0, len(text)-20):])
		}
	})
}

func TestCloseWritesWhatIsQueued(t *testing.T) {
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

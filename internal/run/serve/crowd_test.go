package serve_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ebonyferry/internal/run/settings"
)

// Bodies that stop short of their end must be refused as not run when they take a node's memory, over the product's own protocol as well,
// and the largest legal body must be served afterwards.
func TestStalledBodiesAreRefusedAsNotRun(t *testing.T) {
	const clients, size = 12, 4 << 20
	f := newFixture(t)
	n := f.startNode("n1", func(s *settings.Settings) {
		s.Limits.MemoryMB, s.Limits.MaxFiles = 64, 128
		s.Timing.BodyTimeout.Duration = 2 * time.Second
	})
	head := func(length int) string {
		return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", key, length)
	}
	ask := func(text string) (*http.Response, error) {
		conn, err := net.Dial("tcp", n.CallerAddr().String())
		if err != nil {
			return nil, err
		}
		t.Cleanup(func() { conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = io.WriteString(conn, text) // fails if the node closes the connection
		return http.ReadResponse(bufio.NewReader(conn), nil)
	}
	var mu sync.Mutex
	statuses := make(map[int]int)
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			resp, err := ask(head(size) + strings.Repeat(" ", size-1))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				statuses[0]++ // closed
				return
			}
			statuses[resp.StatusCode]++
			if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Ferry-Not-Run") == "" {
				t.Error("refusal with status 503 does not say that the request has not run")
			}
		})
	}
	group.Wait()
	if statuses[0]+statuses[http.StatusServiceUnavailable] == 0 || statuses[http.StatusOK] != 0 {
		t.Errorf("statuses of bodies that lack their end: got %v, want some refused for memory and none served", statuses)
	}
	body := `{"model":"m","prompt":"hello","max_tokens":2}`
	body += strings.Repeat(" ", size-len(body))
	waitFor(t, "a body of the largest size is served", func() bool {
		resp, err := ask(head(len(body)) + body)
		return err == nil && resp.StatusCode == http.StatusOK
	})
}

package caller_test

import (
	"io"
	"sync"
	"testing"
	"time"

	fakeengine "ebonyferry/internal/fake/engine"
)

// BenchmarkRelay relays 64 concurrent streams of 500 tokens each. The engine and the callers run in the same process,
// so use the result only for profiles and to compare versions. To measure the cost of a node alone, run the node in its own process.
func BenchmarkRelay(b *testing.B) {
	const streams, tokens = 64, 500
	h := newHarness(b, 1, nil, fakeengine.WithStep(5*time.Millisecond, 0, 0), fakeengine.WithBatch(streams, streams), fakeengine.WithMemory(1<<20, 0))
	b.ReportAllocs()
	for b.Loop() {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				resp := h.stream("history #tokens=500")
				defer resp.Body.Close()
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					b.Error(err)
				}
			})
		}
		wg.Wait()
	}
	b.ReportMetric(float64(b.N*streams*tokens)/b.Elapsed().Seconds(), "tokens/s")
}

package caller_test

import (
	"io"
	"sync"
	"testing"
	"time"

	fakeengine "ebonyferry/internal/fake/engine"
)

// Relays 64 streams of 500 tokens each side by side. The engine and the callers run in the same process, so the
// figure is for profiles and for comparing versions; the cost of a node alone is measured by its own process.
func BenchmarkRelay(b *testing.B) {
	const streams, tokens = 64, 500
	bench := newBench(b, 1, nil, fakeengine.WithStep(5*time.Millisecond, 0, 0), fakeengine.WithBatch(streams, streams), fakeengine.WithMemory(1<<20, 0))
	b.ReportAllocs()
	for b.Loop() {
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				resp := bench.stream("history #tokens=500")
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

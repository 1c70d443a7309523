// This file measures the overhead of a node compared with a direct connection to an engine. The figures of a run
// are in docs/results/relay.md.

package soak

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"ebonyferry/internal/edge/engine"
	fakeengine "ebonyferry/internal/fake/engine"
)

const (
	relayStep    = 10 * time.Millisecond
	relayStreams = 32
	relayTokens  = 200
)

// startRelay starts two engines that are always warm, and one node.
func startRelay(b *testing.B) (*environment, *nodeProcess) {
	b.Helper()
	binary := buildProgram(b)
	env, err := newEnvironment(b.Context(), b.TempDir(), 2, fakeengine.WithStep(relayStep, 0, 0),
		fakeengine.WithColdStart(0, 0, 0), fakeengine.WithBatch(relayStreams, relayStreams), fakeengine.WithMemory(1<<20, 0))
	if err != nil {
		b.Fatal(err)
	}
	n, err := newNode(b.Context(), env, binary, 0)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(n.kill)
	if err := startAll(b.Context(), []*nodeProcess{n}); err != nil {
		b.Fatal(err)
	}
	return env, n
}

// askNode reads one answer through the node and returns the time to its first token.
func askNode(b *testing.B, env *environment, addr netip.AddrPort, prompt string) time.Duration {
	r := &reader{t: b, key: env.accounts[0].Key, prompt: prompt}
	start := time.Now()
	events := r.ask(b.Context(), addr)
	r.read(events, r.hasTokens(1))
	first := time.Since(start)
	r.read(events, never)
	if r.digest == "" {
		b.Errorf("%q: the answer is incomplete after %d tokens", prompt, r.next)
	}
	return first
}

// askEngine reads one answer from the engine and returns the time to its first token.
func askEngine(ctx context.Context, b *testing.B, c *engine.Client, prompt string) time.Duration {
	start := time.Now()
	s, err := c.Generate(ctx, engine.GenerateRequest{Generation: prompt, Model: modelName, Version: firstVersion, Prompt: prompt})
	if err != nil {
		b.Error(err)
		return 0
	}
	defer s.Close()
	var first time.Duration
	for {
		tok, err := s.Next()
		if err != nil {
			b.Error(err)
			return 0
		}
		if first == 0 {
			first = time.Since(start)
		}
		if tok.Finished {
			return first
		}
	}
}

func median(list []time.Duration) time.Duration {
	slices.Sort(list)
	return list[len(list)/2]
}

// BenchmarkFirstToken measures the time to the first token of single requests, alternately sent to the engine
// directly and through a node. Both include the engine's step of ten milliseconds.
func BenchmarkFirstToken(b *testing.B) {
	env, n := startRelay(b)
	c := engine.New(env.engines[0].directAddr)
	var direct, relayed []time.Duration
	for i := 0; b.Loop(); i++ {
		direct = append(direct, askEngine(b.Context(), b, c, fmt.Sprintf("direct %d %s2", i, fakeengine.DirectiveTokens)))
		relayed = append(relayed, askNode(b, env, n.directAddr, fmt.Sprintf("relayed %d %s2", i, fakeengine.DirectiveTokens)))
	}
	b.ReportMetric(float64(median(direct).Microseconds()), "direct-µs")
	b.ReportMetric(float64(median(relayed).Microseconds()), "relayed-µs")
	b.ReportMetric(float64((median(relayed) - median(direct)).Microseconds()), "added-µs")
}

// BenchmarkRelayCPU measures the processor time that a node process uses per relayed token with many concurrent
// streams, minus the processor time that it uses when idle for the same duration. For comparison it reports the
// processor time of engine and reader, which share a process, on a direct connection.
func BenchmarkRelayCPU(b *testing.B) {
	env, n := startRelay(b)
	c := engine.New(env.engines[0].directAddr)
	var directCPU, relayedTime time.Duration
	tokens := 0
	for i := 0; b.Loop(); i++ {
		before := processCPUTime(b)
		runStreams(func(j int) {
			askEngine(b.Context(), b, c, fmt.Sprintf("direct %d-%d %s%d", i, j, fakeengine.DirectiveTokens, relayTokens))
		})
		directCPU += processCPUTime(b) - before
		start := time.Now()
		runStreams(func(j int) {
			askNode(b, env, n.directAddr, fmt.Sprintf("relayed %d-%d %s%d", i, j, fakeengine.DirectiveTokens, relayTokens))
		})
		relayedTime += time.Since(start)
		tokens += relayStreams * relayTokens
	}
	elapsed := b.Elapsed()
	busyCPU := stopNode(b, n)
	if err := startAll(b.Context(), []*nodeProcess{n}); err != nil {
		b.Fatal(err)
	}
	time.Sleep(elapsed)
	idleCPU := stopNode(b, n)
	perToken := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 / float64(tokens) }
	b.ReportMetric(perToken(directCPU), "direct-µs/token")
	b.ReportMetric(perToken(busyCPU-idleCPU), "node-µs/token")
	b.ReportMetric(float64(idleCPU)/float64(elapsed)*100, "idle-%core")
	b.ReportMetric(float64(tokens)/relayedTime.Seconds(), "tokens/s")
}

// runStreams runs fn concurrently for relayStreams streams.
func runStreams(fn func(stream int)) {
	var wg sync.WaitGroup
	for j := range relayStreams {
		wg.Go(func() { fn(j) })
	}
	wg.Wait()
}

// processCPUTime returns the processor time that this process has used.
func processCPUTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// stopNode stops a node and returns the processor time that its process has used.
func stopNode(b *testing.B, n *nodeProcess) time.Duration {
	b.Helper()
	exited, ok := n.signal(syscall.SIGTERM)
	if !ok {
		b.Fatal("the node has exited before SIGTERM")
	}
	<-exited
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastCPUTime
}

// This file measures the cost of relaying streams: the difference between the processor time of streams through a node
// and that of the same streams directly from the emulated engine.

package capacity

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/engine"
	fakeengine "ebonyferry/internal/fake/engine"
	"ebonyferry/internal/run/serve"
	"ebonyferry/internal/run/settings"
)

const (
	tokenStep    = 60 * time.Millisecond // step time of the emulated engine, within the target for the time between tokens
	streamTokens = 100000                // longer than any measurement
	relayModel   = "model-0"
	relayKey     = "measurement"
)

// relaySizes are the numbers of streams that a node relays. The last one yields about as many tokens per second as one
// node relays at the target size.
var relaySizes = []int{64, 224, 448}

// tokenRate returns the tokens per second of the given number of streams.
func tokenRate(streams int) int { return int(float64(streams) / tokenStep.Seconds()) }

// relayHarness is one node and one emulated engine.
type relayHarness struct {
	engineAddr netip.AddrPort
	callerAddr netip.AddrPort
}

func startRelayHarness(ctx context.Context) (*relayHarness, error) {
	most := relaySizes[len(relaySizes)-1]
	e := fakeengine.New(
		fakeengine.WithMemory(40*most*streamTokens, 0), fakeengine.WithBatch(4*most, most),
		fakeengine.WithStep(tokenStep, 0, 0))
	addr, err := e.Listen(ctx, loopback)
	if err != nil {
		return nil, err
	}
	fleet, err := startHarness(ctx, Shape{Domains: 1, PerDomain: 1})
	if err != nil {
		return nil, err
	}
	if err := fleet.install(ctx, relayBundle(addr, most), relayKeys()); err != nil {
		return nil, err
	}
	cfg := settings.Default()
	cfg.Node = settings.Node{Name: "relay", Region: "r0", FailureDomain: "d0"}
	cfg.Listen = settings.Listen{Callers: loopback, Nodes: loopback, Operators: loopback, Status: loopback}
	cfg.Advertise = settings.Advertise{Callers: loopback, Nodes: loopback}
	cfg.Platform.Addrs = []netip.AddrPort{fleet.addr}
	n, err := serve.Start(ctx, cfg, serve.WithLog(&log.Logger{Handler: discard.New(), Level: log.FatalLevel}))
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(startTime)
	for n.InForce() == nil || n.InForce().Head.Revision == 0 {
		if time.Now().After(deadline) {
			return nil, fmt.Errorf("node has no configuration after %v", startTime)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return &relayHarness{engineAddr: addr, callerAddr: n.CallerAddr()}, nil
}

func relayBundle(addr netip.AddrPort, streams int) bundle.Bundle {
	version := bundle.ModelVersion{Model: relayModel, Version: "v1"}
	return bundle.Canonical(bundle.Bundle{
		Author: "ana",
		Models: []bundle.Model{{Name: relayModel, Versions: []bundle.VersionShare{{Version: "v1", Share: bundle.ShareTotal}}}},
		Servers: []bundle.Server{{
			ID: "engine", Kind: bundle.KindEngine, Addr: addr, Region: "r0", FailureDomain: "d0",
			Models: []bundle.ModelVersion{version}, MaxStreams: 4 * streams, ColdStreams: 4 * streams,
			MemoryTokens: 40 * streams * streamTokens,
		}},
	})
}

func relayKeys() bundle.Keys {
	secret := make([]byte, 32)
	_, _ = rand.Read(secret) // it never fails
	return bundle.Keys{
		Accounts:  []bundle.Account{{ID: "a", KeyHashes: []string{bundle.KeyHash(relayKey)}}},
		TokenKeys: []bundle.TokenKey{{ID: "t", Secret: secret, NotAfter: time.Now().Add(time.Hour)}},
	}
}

// measureRelay measures the processor time of streams through a node and directly from the engine.
func (m *measurer) measureRelay(ctx context.Context, cpu, memory *samples) error {
	ctx, cancel := context.WithCancel(ctx)
	defer stopHarness(cancel)
	h, err := startRelayHarness(ctx)
	if err != nil {
		return err
	}
	for _, streams := range relaySizes {
		m.progress("%d streams through a node and directly", streams)
		for range m.effort.Repeats {
			before := heapInUse()
			direct, err := m.streamCPU(ctx, streams, h.directRequest, nil)
			if err != nil {
				return err
			}
			var held int64
			relayed, err := m.streamCPU(ctx, streams, h.relayedRequest, func() { held = heapInUse() - before })
			if err != nil {
				return err
			}
			cpu.add(tokenRate(streams), max(0, relayed-direct))
			memory.add(streams, float64(held))
		}
	}
	return nil
}

// streamCPU runs the given number of streams and returns the number of cores that they use while all of them run. It
// calls atEnd, unless nil, before it stops them.
func (m *measurer) streamCPU(ctx context.Context, streams int, request func(int) (*http.Request, error), atEnd func()) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer stopHarness(cancel)
	var tokens, started atomic.Int64
	failures := make(chan error, streams)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for i := range streams {
		group.Go(func() {
			err := errRefused
			for attempt := 0; errors.Is(err, errRefused) && attempt < maxStreamAttempts; attempt++ {
				err = readStream(ctx, i, request, &started, &tokens)
			}
			if err != nil {
				failures <- err
			}
		})
		time.Sleep(time.Millisecond)
	}
	deadline := time.Now().Add(startTime)
	for started.Load() < int64(streams) {
		select {
		case err := <-failures:
			return 0, fmt.Errorf("stream failed after %d of %d started: %w", started.Load(), streams, err)
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(deadline) {
			return 0, fmt.Errorf("only %d of %d streams started within %v", started.Load(), streams, startTime)
		}
	}
	start, first := processCPUTime(), tokens.Load()
	began := time.Now()
	time.Sleep(m.effort.Window / 2)
	took := time.Since(began).Seconds()
	used, got := (processCPUTime() - start).Seconds(), tokens.Load()-first
	if atEnd != nil {
		atEnd()
	}
	if want := float64(streams) * took / tokenStep.Seconds(); float64(got) < want/2 {
		return 0, fmt.Errorf("%d streams yielded %d tokens in %.1f s, want about %.0f", streams, got, took, want)
	}
	return used / took, nil
}

// errRefused means that the node refused a stream for lack of capacity. readStream returns it after streamRetryDelay,
// so the caller may retry immediately.
var errRefused = errors.New("node refused the stream for lack of capacity")

const (
	maxStreamAttempts = 20
	streamRetryDelay  = 500 * time.Millisecond
)

// readStream counts the events of one stream until its context ends.
func readStream(ctx context.Context, i int, request func(int) (*http.Request, error), started, tokens *atomic.Int64) error {
	r, err := request(i)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r.WithContext(ctx))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		time.Sleep(streamRetryDelay)
		return errRefused
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10)) // for the error text only
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	lines := bufio.NewScanner(resp.Body)
	seen := false
	for lines.Scan() {
		if !bytes.HasPrefix(lines.Bytes(), []byte("data:")) {
			continue
		}
		tokens.Add(1)
		if !seen {
			seen = true
			started.Add(1)
		}
	}
	return lines.Err()
}

func (h *relayHarness) directRequest(i int) (*http.Request, error) {
	return post(h.engineAddr, engine.PathGenerate, "", engine.GenerateRequest{
		Generation: fmt.Sprintf("direct-%d-%d", i, time.Now().UnixNano()), Model: relayModel, Version: "v1",
		Prompt: streamPrompt(), MaxTokens: streamTokens,
	})
}

// completion is the request body that callers usually send.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (h *relayHarness) relayedRequest(int) (*http.Request, error) {
	return post(h.callerAddr, "/v1/completions", relayKey, completion{Model: relayModel, Prompt: streamPrompt(), MaxTokens: streamTokens, Stream: true})
}

// streamPrompt returns a prompt that makes the emulated engine generate streamTokens tokens.
func streamPrompt() string { return fmt.Sprintf("#tokens=%d", streamTokens) }

func post(addr netip.AddrPort, path, key string, body any) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+addr.String()+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return r, nil
}

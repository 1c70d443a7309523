// These tests run the programs as processes: nodes, emulated engines and platform, and ferryctl itself.

package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ebonyferry/internal/edge/engine"
)

const (
	bearer   = "test-key"
	callRate = 50 // requests a second
	// startTime limits the time until a fleet serves.
	startTime = 30 * time.Second
)

// programs builds the programs once and returns their directory.
var programs = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "ferry-programs-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir, "../ebonyferry", "../ferrybench", "../ferryctl").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := programs(); err == nil {
		os.RemoveAll(dir)
	}
	os.Exit(code)
}

// harness is a fleet of processes with its files.
type harness struct {
	t         *testing.T
	dir       string
	programs  string
	loopback  netip.Addr
	used      []netip.AddrPort // that freeAddr returned
	platform  netip.AddrPort
	engines   map[string]netip.AddrPort
	nodes     map[string]*exec.Cmd
	operators []string // addresses of the operators' listeners
	callers   []netip.AddrPort
}

// loopback returns a loopback address for the programs of one harness. On 127.0.0.1 any outgoing connection may take a port
// between its choice by freeAddr and the start of the program that listens on it, which then ends. Systems on which only 127.0.0.1
// can be used get that.
func loopback() netip.Addr {
	addr := netip.AddrFrom4([4]byte{127, byte(1 + rand.N(254)), byte(rand.N(256)), byte(1 + rand.N(254))})
	ln, err := net.Listen("tcp", netip.AddrPortFrom(addr, 0).String())
	if err != nil {
		return netip.AddrFrom4([4]byte{127, 0, 0, 1})
	}
	ln.Close()
	return addr
}

// freeAddr returns an address of the harness on which no process listens, another one at each call.
func (h *harness) freeAddr() netip.AddrPort {
	h.t.Helper()
	for {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(h.loopback, 0).String())
		if err != nil {
			h.t.Fatal(err)
		}
		addr := ln.Addr().(*net.TCPAddr).AddrPort()
		ln.Close()
		if !slices.Contains(h.used, addr) {
			h.used = append(h.used, addr)
			return addr
		}
	}
}

// start starts a program that runs until the test ends.
func (h *harness) start(name string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(h.programs, name), args...)
	log, err := os.Create(filepath.Join(h.dir, fmt.Sprintf("%s-%d.log", name, rand.Uint32())))
	if err != nil {
		h.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have exited
		_ = cmd.Wait()
		if text, err := os.ReadFile(log.Name()); h.t.Failed() && err == nil {
			h.t.Logf("%s %v:\n%s", name, args, text[max(0, len(text)-2000):])
		}
	})
	return cmd
}

func (h *harness) write(name string, v any) string {
	data, ok := v.([]byte)
	if !ok {
		var err error
		if data, err = json.Marshal(v); err != nil {
			h.t.Fatal(err)
		}
	}
	path := filepath.Join(h.dir, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		h.t.Fatal(err)
	}
	return path
}

// ferryctl runs ferryctl as an operator. It returns the exit code, the report and the text on standard error.
func (h *harness) ferryctl(args ...string) (int, map[string]any, string) {
	h.t.Helper()
	cmd := exec.Command(filepath.Join(h.programs, "ferryctl"), append(args, "--output=json")...)
	cmd.Env = append(os.Environ(), "FERRY_NODES="+strings.Join(h.operators, ","), "FERRY_OPERATOR=ana", "FERRY_KEY="+filepath.Join(h.dir, "ana.key"))
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		h.t.Fatal(err)
	}
	var report map[string]any
	_ = json.Unmarshal(out.Bytes(), &report) // some commands report lists or nothing
	return cmd.ProcessState.ExitCode(), report, errOut.String()
}

func (h *harness) mustFerryctl(args ...string) map[string]any {
	h.t.Helper()
	code, report, errOut := h.ferryctl(args...)
	if code != 0 {
		h.t.Fatalf("ferryctl %v: got exit code %d, want 0: %s", args, code, errOut)
	}
	return report
}

// bundle writes a bundle document that gives version v2 a share in thousandths, and returns its path.
func (h *harness) bundle(share int) string {
	versions := []any{map[string]any{"model": "m", "version": "v1"}, map[string]any{"model": "m", "version": "v2"}}
	var servers []any
	for id, addr := range h.engines {
		servers = append(servers, map[string]any{
			"id": id, "kind": "engine", "addr": addr, "region": "r", "failureDomain": id[:1], "models": versions,
			"maxStreams": 64, "coldStreams": 32, "memoryTokens": 65536, "honoursFencing": true,
		})
	}
	return h.write(fmt.Sprintf("bundle%d.json", share), map[string]any{"servers": servers, "models": []any{
		map[string]any{"name": "m", "versions": []any{map[string]any{"version": "v1", "share": 1000 - share}, map[string]any{"version": "v2", "share": share}}},
	}})
}

// newHarness starts a platform, two engines in each of two failure domains, and three nodes.
func newHarness(t *testing.T, engineArgs ...string) *harness {
	dir, err := programs()
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, dir: t.TempDir(), programs: dir, loopback: loopback(), engines: make(map[string]netip.AddrPort), nodes: make(map[string]*exec.Cmd)}
	h.platform = h.freeAddr()
	h.start("ferrybench", "platform", "--listen="+h.platform.String())
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		h.engines[id] = h.freeAddr()
		args := []string{"engine", "--id=" + id, "--listen=" + h.engines[id].String(), "--fencing", "--model=m@v1", "--load-time=1s", "--step=2ms", "--load-lag=200ms"}
		h.start("ferrybench", append(args, engineArgs...)...)
	}
	h.bootstrap()
	for i := range 3 {
		h.startNode(fmt.Sprintf("n%d", i))
	}
	h.awaitServing()
	return h
}

func (h *harness) bootstrap() {
	key := h.mustFerryctl("keygen", "--out="+filepath.Join(h.dir, "ana.key"))["publicKey"]
	keys := h.write("keys.json", map[string]any{
		// The key hash is the SHA-256 digest of bearer.
		"accounts":  []any{map[string]any{"id": "shop", "keyHashes": []string{"62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef"}}},
		"operators": []any{map[string]any{"name": "ana", "publicKeys": []any{key}}},
		"tokenKeys": []any{map[string]any{"id": "t1", "secret": base64.StdEncoding.EncodeToString(make([]byte, 32)), "notAfter": time.Now().Add(time.Hour)}},
	})
	for end := time.Now().Add(startTime); ; time.Sleep(100 * time.Millisecond) {
		code, _, errOut := h.ferryctl("bootstrap", "--store="+h.platform.String(), "--bundle="+h.bundle(0), "--keys="+keys)
		if code == 0 {
			return
		}
		if time.Now().After(end) {
			h.t.Fatalf("bootstrap: got exit code %d, want 0: %s", code, errOut)
		}
	}
}

func (h *harness) startNode(name string) {
	callers, nodes, operators := h.freeAddr(), h.freeAddr(), h.freeAddr()
	path := h.write(name+".json", map[string]any{
		"node":     map[string]any{"name": name, "region": "r", "failureDomain": "a"},
		"listen":   map[string]any{"callers": callers, "nodes": nodes, "operators": operators},
		"platform": map[string]any{"addrs": []any{h.platform}},
		"log":      map[string]any{"level": "warn"},
	})
	h.nodes[name] = h.start("ebonyferry", "serve", "--settings="+path)
	h.operators = append(h.operators, operators.String())
	h.callers = append(h.callers, callers)
}

// awaitServing waits until all nodes are live and hold the configuration.
func (h *harness) awaitServing() {
	h.t.Helper()
	for end := time.Now().Add(startTime); ; time.Sleep(200 * time.Millisecond) {
		_, report, errOut := h.ferryctl("status")
		nodes, _ := report["nodes"].([]any)
		ok := len(nodes) == len(h.nodes)
		for _, n := range nodes {
			ok = ok && n.(map[string]any)["revision"].(float64) > 0
		}
		if ok {
			return
		}
		if time.Now().After(end) {
			h.t.Fatalf("got status %v, want %d nodes with a configuration: %s", report, len(h.nodes), errOut)
		}
	}
}

// generateLoad sends short requests until ctx ends. The function that it returns waits for all requests to end and
// returns the number of complete answers.
func (h *harness) generateLoad(ctx context.Context) (completed func() int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	n := 0
	wg.Go(func() {
		tick := time.NewTicker(time.Second / callRate)
		defer tick.Stop()
		for i := 0; ctx.Err() == nil; i++ {
			<-tick.C
			addr := h.callers[i%len(h.callers)]
			wg.Go(func() {
				if h.sendRequest(ctx, addr, bearer, i) == nil {
					mu.Lock()
					n++
					mu.Unlock()
				}
			})
		}
	})
	return func() int {
		wg.Wait()
		return n
	}
}

// sendRequest sends one short request with a bearer key.
func (h *harness) sendRequest(ctx context.Context, addr netip.AddrPort, key string, i int) error {
	body := fmt.Sprintf(`{"model": "m", "prompt": "knot %d", "max_tokens": 12}`, i)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", resp.Status, text)
	}
	return err
}

// running returns the number of streams on the engines of a failure domain.
func (h *harness) running(domain string) int {
	n := 0
	for id, addr := range h.engines {
		if id[:1] != domain {
			continue
		}
		load, err := engine.New(addr).Load(h.t.Context())
		if err != nil {
			h.t.Fatal(err)
		}
		n += load.Running + load.Waiting
	}
	return n
}

func TestDomainOutAndInOverProcesses(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	ctx, cancel := context.WithCancel(t.Context())
	completed := h.generateLoad(ctx)
	report := h.mustFerryctl("domain", "out", "b", "--wait-done")
	spread := report["spread"].(map[string]any)
	if got, want := spread["inForce"], 3.0; got != want {
		t.Errorf("got in force on %v nodes, want %v", got, want)
	}
	if got, want := report["move"].(map[string]any)["state"], "done"; got != want {
		t.Errorf("got move %v, want %v", got, want)
	}
	time.Sleep(time.Second) // longer than the delay of load reports
	if got := h.running("b"); got != 0 {
		t.Errorf("got %d streams in the failure domain that is out, want 0", got)
	}
	if code, _, errOut := h.ferryctl("domain", "out", "a"); code != 3 || !strings.Contains(errOut, "no server") {
		t.Errorf("got exit code %d and %q for the last failure domain, want 3 and the reason", code, errOut)
	}
	if err := h.nodes["n2"].Process.Kill(); err != nil {
		t.Fatal(err)
	}
	code, report, errOut := h.ferryctl("domain", "in", "b", "--wait", "--wait-for=30s")
	if code != 0 || report["spread"].(map[string]any)["inForce"].(float64) < 2 {
		t.Errorf("got exit code %d and %v after a node was killed, want it in force on the rest: %s", code, report, errOut)
	}
	cancel()
	if completed() == 0 {
		t.Error("got no complete answer meanwhile")
	}
}

// A node that stands still for longer than two heartbeats is outside the views of the others, but holds its lease and acts
// when it goes on. A change is not in force everywhere before that node applies it.
func TestChangeWaitsForANodeThatStoodStill(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	paused := h.nodes["n2"].Process
	if err := paused.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	resumed := time.AfterFunc(2*time.Second, func() {
		if err := paused.Signal(syscall.SIGCONT); err != nil {
			t.Error(err)
		}
	})
	defer resumed.Stop()
	report := h.mustFerryctl("domain", "out", "b", "--wait")
	spread := report["spread"].(map[string]any)
	if got, want := spread["inForce"], 3.0; got != want {
		t.Errorf("got in force on %v nodes, want %v", got, want)
	}
}

func TestKeysOverProcesses(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	accepted := func(key string) (n int) {
		for i, addr := range h.callers {
			if h.sendRequest(t.Context(), addr, key, i) == nil {
				n++
			}
		}
		return n
	}
	first := h.mustFerryctl("keys", "account", "create", "desk", "--wait")["key"].(string)
	second := h.mustFerryctl("keys", "account", "rotate", "desk", "--wait")["key"].(string)
	h.mustFerryctl("keys", "token", "rotate", "t2")
	for _, key := range []string{first, second} {
		if got, want := accepted(key), len(h.callers); got != want {
			t.Errorf("got a key accepted by %d nodes while keys rotate, want %d", got, want)
		}
	}
	sum := sha256.Sum256([]byte(first))
	h.mustFerryctl("keys", "account", "revoke", "desk", hex.EncodeToString(sum[:4]), "--wait")
	if got, want := accepted(first), 0; got != want {
		t.Errorf("got a revoked key accepted by %d nodes, want %d", got, want)
	}
	if got, want := accepted(second), len(h.callers); got != want {
		t.Errorf("got the new key accepted by %d nodes, want %d", got, want)
	}
}

func TestBadVersionIsTakenBackOverProcesses(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "--bad=fails", "--bad-model=m@v2")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	completed := h.generateLoad(ctx)
	id := h.mustFerryctl("bundle", "create", h.bundle(1000))["id"].(string)
	h.mustFerryctl("bundle", "sign-off", id)
	h.mustFerryctl("bundle", "roll-forward", id, "--done-by=3m", "--wait")
	code, report, errOut := h.ferryctl("rollout", "watch", "m", "--wait-for=3m", "--every=250ms")
	rollout, _ := report["rollout"].(map[string]any)
	if code != 1 || rollout["state"] != "takenBack" {
		t.Fatalf("got exit code %d and %v, want 1 and the rollout taken back: %s", code, report, errOut)
	}
	cancel()
	if completed() == 0 {
		t.Error("got no complete answer meanwhile")
	}
	if code, _, _ := h.ferryctl("rollout", "take-back", "m"); code != 3 {
		t.Errorf("got exit code %d for taking it back again, want 3", code)
	}
	h.mustFerryctl("bundle", "roll-back", "--wait")
}

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
	"strings"
	"sync"
	"testing"
	"time"

	"ebonyferry/internal/edge/engine"
)

// These tests run the programs as processes: nodes, the platform's stand-in, engines, and ferryctl itself.

const (
	bearer   = "test-key"
	callRate = 50 // requests a second
	// startTime bounds the time until a fleet serves.
	startTime = 30 * time.Second
)

// programs builds the programs once.
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

// bench is a fleet of processes.
type harness struct {
	t         *testing.T
	dir       string
	programs  string
	platform  netip.AddrPort
	engines   map[string]netip.AddrPort
	nodes     map[string]*exec.Cmd
	operators []string // addresses of the operators' listeners
	callers   []netip.AddrPort
}

// freeAddr returns a loopback address that nobody listens on.
func freeAddr(t *testing.T) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// Starts a program that runs to the end of the test.
func (b *harness) start(name string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(b.programs, name), args...)
	log, err := os.Create(filepath.Join(b.dir, fmt.Sprintf("%s-%d.log", name, rand.Uint32())))
	if err != nil {
		b.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		_ = cmd.Wait()
		if text, err := os.ReadFile(log.Name()); b.t.Failed() && err == nil {
			b.t.Logf("%s %v:\n%s", name, args, text[max(0, len(text)-2000):])
		}
	})
	return cmd
}

func (b *harness) write(name string, v any) string {
	data, ok := v.([]byte)
	if !ok {
		var err error
		if data, err = json.Marshal(v); err != nil {
			b.t.Fatal(err)
		}
	}
	path := filepath.Join(b.dir, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

// Runs ferryctl as an operator and returns its exit code, its report and its complaints.
func (b *harness) ferryctl(args ...string) (int, map[string]any, string) {
	b.t.Helper()
	cmd := exec.Command(filepath.Join(b.programs, "ferryctl"), append(args, "--output=json")...)
	cmd.Env = append(os.Environ(), "FERRY_NODES="+strings.Join(b.operators, ","), "FERRY_OPERATOR=ana", "FERRY_KEY="+filepath.Join(b.dir, "ana.key"))
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		b.t.Fatal(err)
	}
	var report map[string]any
	_ = json.Unmarshal(out.Bytes(), &report) // some commands report lists or nothing
	return cmd.ProcessState.ExitCode(), report, errOut.String()
}

func (b *harness) mustFerryctl(args ...string) map[string]any {
	b.t.Helper()
	code, report, errOut := b.ferryctl(args...)
	if code != 0 {
		b.t.Fatalf("ferryctl %v: got exit code %d, want 0: %s", args, code, errOut)
	}
	return report
}

// Returns a bundle document with shares in thousandths for version v2.
func (b *harness) bundle(share int) string {
	versions := []any{map[string]any{"model": "m", "version": "v1"}, map[string]any{"model": "m", "version": "v2"}}
	var servers []any
	for id, addr := range b.engines {
		servers = append(servers, map[string]any{
			"id": id, "kind": "engine", "addr": addr, "region": "r", "failureDomain": id[:1], "models": versions,
			"maxStreams": 64, "coldStreams": 32, "memoryTokens": 65536, "honoursFencing": true,
		})
	}
	return b.write(fmt.Sprintf("bundle%d.json", share), map[string]any{"servers": servers, "models": []any{
		map[string]any{"name": "m", "versions": []any{map[string]any{"version": "v1", "share": 1000 - share}, map[string]any{"version": "v2", "share": share}}},
	}})
}

// Starts a platform, two engines in each of two failure domains, and three nodes.
func newHarness(t *testing.T, engineArgs ...string) *harness {
	dir, err := programs()
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, dir: t.TempDir(), programs: dir, platform: freeAddr(t), engines: make(map[string]netip.AddrPort), nodes: make(map[string]*exec.Cmd)}
	b.start("ferrybench", "platform", "--listen="+b.platform.String())
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		b.engines[id] = freeAddr(t)
		args := []string{"engine", "--id=" + id, "--listen=" + b.engines[id].String(), "--fencing", "--model=m@v1", "--load-time=1s", "--step=2ms", "--load-lag=200ms"}
		b.start("ferrybench", append(args, engineArgs...)...)
	}
	b.bootstrap()
	for i := range 3 {
		b.startNode(fmt.Sprintf("n%d", i))
	}
	b.awaitServing()
	return b
}

func (b *harness) bootstrap() {
	key := b.mustFerryctl("keygen", "--out="+filepath.Join(b.dir, "ana.key"))["publicKey"]
	keys := b.write("keys.json", map[string]any{
		"accounts":  []any{map[string]any{"id": "shop", "keyHashes": []string{"62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef"}}},
		"operators": []any{map[string]any{"name": "ana", "publicKeys": []any{key}}},
		"tokenKeys": []any{map[string]any{"id": "t1", "secret": base64.StdEncoding.EncodeToString(make([]byte, 32)), "notAfter": time.Now().Add(time.Hour)}},
	})
	for end := time.Now().Add(startTime); ; time.Sleep(100 * time.Millisecond) {
		code, _, errOut := b.ferryctl("bootstrap", "--store="+b.platform.String(), "--bundle="+b.bundle(0), "--keys="+keys)
		if code == 0 {
			return
		}
		if time.Now().After(end) {
			b.t.Fatalf("bootstrap: got exit code %d, want 0: %s", code, errOut)
		}
	}
}

func (b *harness) startNode(name string) {
	callers, nodes, operators := freeAddr(b.t), freeAddr(b.t), freeAddr(b.t)
	path := b.write(name+".json", map[string]any{
		"node":     map[string]any{"name": name, "region": "r", "failureDomain": "a"},
		"listen":   map[string]any{"callers": callers, "nodes": nodes, "operators": operators},
		"platform": map[string]any{"addrs": []any{b.platform}},
		"log":      map[string]any{"level": "warn"},
	})
	b.nodes[name] = b.start("ebonyferry", "serve", "--settings="+path)
	b.operators = append(b.operators, operators.String())
	b.callers = append(b.callers, callers)
}

// Waits until all nodes are live and hold the configuration.
func (b *harness) awaitServing() {
	b.t.Helper()
	for end := time.Now().Add(startTime); ; time.Sleep(200 * time.Millisecond) {
		_, report, errOut := b.ferryctl("status")
		nodes, _ := report["nodes"].([]any)
		ok := len(nodes) == len(b.nodes)
		for _, n := range nodes {
			ok = ok && n.(map[string]any)["revision"].(float64) > 0
		}
		if ok {
			return
		}
		if time.Now().After(end) {
			b.t.Fatalf("got status %v, want %d nodes with a configuration: %s", report, len(b.nodes), errOut)
		}
	}
}

// Sends short requests until ctx ends and counts whole answers.
func (b *harness) generateLoad(ctx context.Context) (completed func() int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	n := 0
	wg.Go(func() {
		tick := time.NewTicker(time.Second / callRate)
		defer tick.Stop()
		for i := 0; ctx.Err() == nil; i++ {
			<-tick.C
			addr := b.callers[i%len(b.callers)]
			wg.Go(func() {
				if b.sendRequest(ctx, addr, bearer, i) == nil {
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

// Sends one short request with a bearer key.
func (b *harness) sendRequest(ctx context.Context, addr netip.AddrPort, key string, i int) error {
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

// Returns the streams that engines of a failure domain run now.
func (b *harness) running(domain string) int {
	n := 0
	for id, addr := range b.engines {
		if id[:1] != domain {
			continue
		}
		load, err := engine.New(addr).Load(b.t.Context())
		if err != nil {
			b.t.Fatal(err)
		}
		n += load.Running + load.Waiting
	}
	return n
}

func TestDomainOutAndInOverProcesses(t *testing.T) {
	b := newHarness(t)
	ctx, cancel := context.WithCancel(t.Context())
	whole := b.generateLoad(ctx)
	report := b.mustFerryctl("domain", "out", "b", "--wait-done")
	spread := report["spread"].(map[string]any)
	if got, want := spread["inForce"], 3.0; got != want {
		t.Errorf("got in force on %v nodes, want %v", got, want)
	}
	if got, want := report["move"].(map[string]any)["state"], "done"; got != want {
		t.Errorf("got move %v, want %v", got, want)
	}
	time.Sleep(time.Second) // longer than the load reports lag
	if got := b.running("b"); got != 0 {
		t.Errorf("got %d streams in the failure domain that is out, want 0", got)
	}
	if code, _, errOut := b.ferryctl("domain", "out", "a"); code != 3 || !strings.Contains(errOut, "no server") {
		t.Errorf("got exit code %d and %q for the last failure domain, want 3 and the reason", code, errOut)
	}
	if err := b.nodes["n2"].Process.Kill(); err != nil {
		t.Fatal(err)
	}
	code, report, errOut := b.ferryctl("domain", "in", "b", "--wait", "--wait-for=30s")
	if code != 0 || report["spread"].(map[string]any)["inForce"].(float64) < 2 {
		t.Errorf("got exit code %d and %v after a node died, want it in force on the rest: %s", code, report, errOut)
	}
	cancel()
	if whole() == 0 {
		t.Error("got no whole answer meanwhile")
	}
}

func TestKeysOverProcesses(t *testing.T) {
	b := newHarness(t)
	accepted := func(key string) (n int) {
		for i, addr := range b.callers {
			if b.sendRequest(t.Context(), addr, key, i) == nil {
				n++
			}
		}
		return n
	}
	first := b.mustFerryctl("keys", "account", "create", "desk", "--wait")["key"].(string)
	second := b.mustFerryctl("keys", "account", "rotate", "desk", "--wait")["key"].(string)
	b.mustFerryctl("keys", "token", "rotate", "t2")
	for _, key := range []string{first, second} {
		if got, want := accepted(key), len(b.callers); got != want {
			t.Errorf("got a key accepted by %d nodes while keys rotate, want %d", got, want)
		}
	}
	sum := sha256.Sum256([]byte(first))
	b.mustFerryctl("keys", "account", "revoke", "desk", hex.EncodeToString(sum[:4]), "--wait")
	if got, want := accepted(first), 0; got != want {
		t.Errorf("got a revoked key accepted by %d nodes, want %d", got, want)
	}
	if got, want := accepted(second), len(b.callers); got != want {
		t.Errorf("got the new key accepted by %d nodes, want %d", got, want)
	}
}

func TestBadVersionIsTakenBackOverProcesses(t *testing.T) {
	b := newHarness(t, "--bad=fails", "--bad-model=m@v2")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	whole := b.generateLoad(ctx)
	id := b.mustFerryctl("bundle", "create", b.bundle(1000))["id"].(string)
	b.mustFerryctl("bundle", "sign-off", id)
	b.mustFerryctl("bundle", "roll-forward", id, "--done-by=3m", "--wait")
	code, report, errOut := b.ferryctl("rollout", "watch", "m", "--wait-for=3m", "--every=250ms")
	rollout, _ := report["rollout"].(map[string]any)
	if code != 1 || rollout["state"] != "takenBack" {
		t.Fatalf("got exit code %d and %v, want 1 and the rollout taken back: %s", code, report, errOut)
	}
	cancel()
	if whole() == 0 {
		t.Error("got no whole answer meanwhile")
	}
	if code, _, _ := b.ferryctl("rollout", "take-back", "m"); code != 3 {
		t.Errorf("got exit code %d for taking it back again, want 3", code)
	}
	b.mustFerryctl("bundle", "roll-back", "--wait")
}

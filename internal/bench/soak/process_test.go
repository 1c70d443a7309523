// This file tests with real processes of the program ebonyferry.

package soak

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3/packages/ssestream"

	fakeengine "ebonyferry/internal/fake/engine"
	"ebonyferry/internal/fake/link"
)

// buildProgram builds ebonyferry and returns its path.
func buildProgram(t testing.TB) string {
	t.Helper()
	if testing.Short() {
		t.Skip("builds and runs processes")
	}
	path := filepath.Join(t.TempDir(), "ebonyferry")
	out, err := exec.Command("go", "build", "-o", path, "ebonyferry/cmd/ebonyferry").CombinedOutput()
	if err != nil {
		t.Fatalf("building ebonyferry: %v\n%s", err, out)
	}
	return path
}

// startNodes starts an environment with two engines, and the given number of nodes.
func startNodes(t *testing.T, count int) (*environment, []*nodeProcess) {
	t.Helper()
	binary := buildProgram(t)
	env, err := newEnvironment(t.Context(), t.TempDir(), 2)
	if err != nil {
		t.Fatal(err)
	}
	var nodes []*nodeProcess
	for i := range count {
		n, err := newNode(t.Context(), env, binary, i)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.kill)
		nodes = append(nodes, n)
	}
	if err := startAll(t.Context(), nodes); err != nil {
		t.Fatal(err)
	}
	return env, nodes
}

const testTokens = 150

// testPrompt is the prompt as the tests send it.
var testPrompt = fmt.Sprintf("Rigging write-up %s%d", fakeengine.DirectiveTokens, testTokens)

// reader is a caller that reads one answer over several connections.
type reader struct {
	t      testing.TB
	key    string
	prompt string // empty for testPrompt
	token  string
	text   strings.Builder
	next   int
	digest string // that the node sent at the end
}

type event struct {
	Choices []struct {
		Delta struct{ Content string }
	}
	Ferry struct {
		Index       *int
		ResumeToken string
		Finished    bool
		Digest      string
	}
	Error *struct{ Code string }
}

// maxReaderRefusals is the number of refusals as not run after which a reader fails.
const maxReaderRefusals = 40

// open posts a request and returns its events, or nil after a failure. It retries after a refusal as not run.
func (r *reader) open(ctx context.Context, addr netip.AddrPort, path string, body any) ssestream.Decoder {
	r.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		r.t.Error(err)
		return nil
	}
	for range maxReaderRefusals {
		resp, err := r.post(ctx, addr, path, data)
		if err != nil {
			r.t.Error(err)
			return nil
		}
		if resp.StatusCode == http.StatusOK {
			return ssestream.NewDecoder(resp)
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.Header.Get("Ferry-Not-Run") != "true" || resp.Header.Get("Retry-After") == "" {
			r.t.Errorf("%s: got %s: %s", path, resp.Status, text)
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	r.t.Errorf("%s: refused %d times", path, maxReaderRefusals)
	return nil
}

func (r *reader) post(ctx context.Context, addr netip.AddrPort, path string, data []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+r.key)
	return http.DefaultClient.Do(req)
}

func (r *reader) ask(ctx context.Context, addr netip.AddrPort) ssestream.Decoder {
	prompt := cmp.Or(r.prompt, testPrompt)
	return r.open(ctx, addr, "/v1/chat/completions", map[string]any{
		"model": modelName, "stream": true,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
}

func (r *reader) resume(ctx context.Context, addr netip.AddrPort) ssestream.Decoder {
	return r.open(ctx, addr, "/v1/ferry/resume", map[string]any{"resumeToken": r.token, "index": r.next})
}

// read reads events until there are no more, the answer is finished, or until returns true.
func (r *reader) read(events ssestream.Decoder, until func() bool) {
	r.t.Helper()
	for events != nil && !until() && r.digest == "" && events.Next() {
		data := events.Event().Data
		if strings.HasPrefix(string(data), "[DONE]") {
			return
		}
		var ev event
		if err := json.Unmarshal(data, &ev); err != nil {
			r.t.Errorf("event %q: %v", data, err)
			return
		}
		if ev.Error != nil {
			r.t.Logf("stream ended at token %d: %s", r.next, ev.Error.Code)
			return
		}
		if ev.Ferry.ResumeToken != "" {
			r.token = ev.Ferry.ResumeToken
		}
		if ev.Ferry.Index != nil {
			if got, want := *ev.Ferry.Index, r.next; got != want {
				r.t.Errorf("index: got %d, want %d", got, want)
			}
			r.text.WriteString(ev.Choices[0].Delta.Content)
			r.next++
		}
		if ev.Ferry.Finished {
			r.digest = ev.Ferry.Digest
		}
	}
}

func (r *reader) hasTokens(tokens int) func() bool { return func() bool { return r.next >= tokens } }

func never() bool { return false }

// checkComplete checks that the answer is complete, matches the prompt, and was generated only once.
func (r *reader) checkComplete(env *environment) {
	r.t.Helper()
	var want strings.Builder
	prompt := "user: " + testPrompt + "\n"
	for i := range testTokens {
		want.WriteString(fakeengine.TokenText(prompt, i))
	}
	if got := r.text.String(); got != want.String() {
		r.t.Errorf("answer: got %d tokens that differ from the %d expected", r.next, testTokens)
	}
	sum := sha256.Sum256([]byte(want.String()))
	if got, want := r.digest, hex.EncodeToString(sum[:]); got != want {
		r.t.Errorf("digest: got %q, want %q", got, want)
	}
	starts := 0
	for _, e := range env.engines {
		starts += e.engine.StartsByPrompt()[fakeengine.TextSeed(prompt)]
	}
	if got, want := starts, 1; got != want {
		r.t.Errorf("generations started: got %d, want %d", got, want)
	}
}

// Guards against lost, repeated or regenerated tokens when a node is killed during a stream and the caller resumes at
// another node.
func TestResumeAfterNodeKilled(t *testing.T) {
	env, nodes := startNodes(t, 2)
	r := &reader{t: t, key: env.accounts[0].Key}
	events := r.ask(t.Context(), nodes[0].callerAddr)
	r.read(events, r.hasTokens(testTokens/3))
	nodes[0].kill()
	r.read(events, never) // events that were already received
	if r.digest != "" {
		t.Fatal("the answer ended before the node was killed")
	}
	r.read(r.resume(t.Context(), nodes[1].callerAddr), never)
	r.checkComplete(env)
}

// Guards against lost, repeated or regenerated tokens when the link to a node stalls during a stream and the caller
// resumes at another node, while the first one still has its connection.
func TestResumeAfterLinkStalled(t *testing.T) {
	env, nodes := startNodes(t, 2)
	r := &reader{t: t, key: env.accounts[0].Key}
	ctx, cancel := context.WithCancel(t.Context())
	events := r.ask(ctx, nodes[0].callerAddr)
	r.read(events, r.hasTokens(testTokens/3))
	nodes[0].callerLink.Set(link.Faults{Stall: link.Both})
	cancel() // the caller drops the silent connection; the node does not notice
	r.read(r.resume(t.Context(), nodes[1].callerAddr), never)
	r.checkComplete(env)
}

// Guards against a graceful shutdown that cuts a stream, gets stuck, or exits with an error.
func TestDrainFinishesStreams(t *testing.T) {
	env, nodes := startNodes(t, 2)
	r := &reader{t: t, key: env.accounts[0].Key}
	events := r.ask(t.Context(), nodes[0].callerAddr)
	r.read(events, r.hasTokens(testTokens/3))
	exited, ok := nodes[0].signal(syscall.SIGTERM)
	if !ok {
		t.Fatal("the node has exited before SIGTERM")
	}
	r.read(events, never)
	r.checkComplete(env)
	select {
	case <-exited:
	case <-time.After(maxDrain):
		t.Fatalf("the node did not exit within %s", maxDrain)
	}
	if got, want := nodes[0].exitCode(), 0; got != want {
		t.Errorf("exit code: got %d, want %d", got, want)
	}
}

// Runs a short soak with a fixed seed. It guards against regressions under the faults of its schedule.
func TestShortSoak(t *testing.T) {
	binary := buildProgram(t)
	res, err := Run(t.Context(), binary, t.TempDir(), WithSize(3, 8), WithDuration(25*time.Second), WithSeed(2), WithRate(10))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := res.Figures.Total(), 0; got != want {
		var text strings.Builder
		_ = res.WriteText(&text)
		t.Errorf("violations: got %d, want %d\n%s", got, want, text.String())
	}
	if got, want := res.Load.Complete+res.Load.Refused+res.Load.Failed+res.Load.Unknown, res.Load.Requests; got != want {
		t.Errorf("requests answered: got %d, want %d", got, want)
	}
}

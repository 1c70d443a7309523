package serve_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/apex/log"

	"ebonyferry/internal/run/serve"
	"ebonyferry/internal/run/settings"
)

// logLines is a log handler that keeps the lines as text.
type logLines struct {
	mu   sync.Mutex
	text []string // guarded by mu
}

func (l *logLines) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, fmt.Sprint(e.Message, e.Fields))
	return nil
}

func (l *logLines) all() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.text, "\n")
}

// Keys, prompts and resume tokens must not reach the log, even at the debug level, or the metrics, whether a request
// succeeds, fails or is resumed.
func TestSecretsAreNotLogged(t *testing.T) {
	f := newFixture(t)
	logged := &logLines{}
	cfg := settings.Default()
	cfg.Node = settings.Node{Name: "n1", Region: "r", FailureDomain: "r-a"}
	cfg.Listen = settings.Listen{Callers: loopback, Nodes: loopback, Operators: loopback, Status: loopback}
	cfg.Advertise = settings.Advertise{Callers: loopback, Nodes: loopback}
	cfg.Platform.Addrs = []netip.AddrPort{f.addr}
	n, err := serve.Start(f.ctx, cfg, serve.WithLog(&log.Logger{Handler: logged, Level: log.DebugLevel}))
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	waitFor(t, "the node takes work", func() bool { return n.InForce() != nil })
	base := "http://" + n.CallerAddr().String()

	const prompt = "secret-rope-history"
	sc, closeBody := stream(t, http.DefaultClient, base, prompt+" #tokens=100000")
	sc.Scan()
	first := sc.Text()
	closeBody()
	token := first[strings.Index(first, `"resumeToken":"`)+len(`"resumeToken":"`):]
	token = token[:strings.Index(token, `"`)]
	for _, req := range []struct{ path, key, body string }{
		{"/v1/completions", "wrong-key-of-somebody", `{}`},
		{"/v1/completions", key, `{"model":"m","prompt":"` + prompt},
		{"/v1/ferry/resume", key, `{"resumeToken":"` + token + `x","index":0}`},
	} {
		r, err := http.NewRequestWithContext(context.Background(), "POST", base+req.path, strings.NewReader(req.body))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+req.key)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	waitFor(t, "the caller's disconnect is logged", func() bool { return strings.Contains(logged.all(), "callerLeft") })
	resp, err := http.Get("http://" + n.StatusAddr().String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var page strings.Builder
	if _, err := fmt.Fprint(&page, logged.all()); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 1<<20)
	for {
		k, err := resp.Body.Read(buf)
		page.Write(buf[:k])
		if err != nil {
			break
		}
	}
	for _, secret := range []string{key, "wrong-key-of-somebody", prompt, token, "a secret of thirty-two"} {
		if strings.Contains(page.String(), secret) {
			t.Errorf("log or metrics contain the secret %q", secret)
		}
	}
}

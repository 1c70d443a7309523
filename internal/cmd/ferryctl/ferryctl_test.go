package ferryctl

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/document"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
	"ebonyferry/internal/edge/operator"
	fakeplatform "ebonyferry/internal/fake/platform"
	"ebonyferry/internal/run/exit"
	"ebonyferry/internal/run/survey"
)

const bundleText = `{
	"servers": [
		{"id": "e1", "kind": "engine", "addr": "10.0.0.1:1", "region": "r", "failureDomain": "a", "models": [{"model": "m", "version": "v1"}, {"model": "m", "version": "v2"}]},
		{"id": "e2", "kind": "engine", "addr": "10.0.0.2:1", "region": "r", "failureDomain": "b", "models": [{"model": "m", "version": "v1"}, {"model": "m", "version": "v2"}]},
	],
	"models": [{"name": "m", "versions": [{"version": "v1", "share": %d}, {"version": "v2", "share": %d}]}],
}`

// harness is an emulated store, one node that reads it on each request, and a directory with operators' key files.
type harness struct {
	t           *testing.T
	dir         string
	store       netip.AddrPort
	node        netip.AddrPort
	running     atomic.Int64 // streams that the node runs on e2
	inForce     atomic.Pointer[bundle.InForce]
	followStore atomic.Bool // the node applies the store's latest configuration
}

func listen(t *testing.T, handler *chi.Mux) netip.AddrPort {
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	u, err := url.Parse(srv.URL)
	if err != nil {
		t.Fatal(err)
	}
	return netip.MustParseAddrPort(u.Host)
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, dir: t.TempDir()}
	h.followStore.Store(true)
	storeRouter := chi.NewRouter()
	storeRouter.Mount("/", fakeplatform.New().Handler())
	h.store = listen(t, storeRouter)
	client := kvstore.New([]netip.AddrPort{h.store})
	current := func() *bundle.InForce {
		if h.followStore.Load() {
			if in, _, err := document.LoadInForce(context.Background(), client); err == nil {
				h.inForce.Store(in)
			}
		}
		return h.inForce.Load()
	}
	view := func() *membership.View {
		return &membership.View{Self: "n1", Nodes: []membership.Node{{Name: "n1", FailureDomain: "a"}}}
	}
	running := func() map[string]int { return map[string]int{"e2": int(h.running.Load())} }
	fleet := survey.New(node.NewClient(node.Sender{Name: "n1"}), view, current, running)
	router := chi.NewRouter()
	operator.NewServer(client, current, fleet).Mount(router)
	h.node = listen(t, router)
	return h
}

func (h *harness) write(name, text string) string {
	h.t.Helper()
	path := filepath.Join(h.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		h.t.Fatal(err)
	}
	return path
}

// run runs a command as an operator. It returns the exit code, the JSON report and the text on standard error.
func (h *harness) run(by string, args ...string) (exit.Code, map[string]any, string) {
	h.t.Helper()
	var out, errOut bytes.Buffer
	args = append(args, "--output=json", "--nodes="+h.node.String(), "--operator="+by, "--key="+filepath.Join(h.dir, by))
	code := Main(h.t.Context(), args, &out, &errOut)
	var report map[string]any
	_ = json.NewDecoder(&out).Decode(&report) // some reports are lists, and some commands report nothing
	return code, report, errOut.String()
}

// want runs a command, checks its exit code and returns its report.
func (h *harness) want(want exit.Code, by string, args ...string) map[string]any {
	h.t.Helper()
	got, report, errOut := h.run(by, args...)
	if got != want {
		h.t.Fatalf("%v: got exit code %d, want %d: %s", args, got, want, errOut)
	}
	return report
}

// bootstrap creates keys of the operators and writes the first configuration. It checks that this works only once.
func (h *harness) bootstrap(operators ...string) {
	h.t.Helper()
	keys := map[string]any{"accounts": []any{}, "tokenKeys": []any{map[string]any{
		"id": "t1", "secret": base64.StdEncoding.EncodeToString(make([]byte, 32)), "notAfter": time.Now().Add(time.Hour),
	}}}
	var list []any
	for _, name := range operators {
		report := h.want(exit.Done, name, "keygen", "--out="+filepath.Join(h.dir, name))
		list = append(list, map[string]any{"name": name, "publicKeys": []any{report["publicKey"]}})
	}
	keys["operators"] = list
	text, err := json.Marshal(keys)
	if err != nil {
		h.t.Fatal(err)
	}
	args := []string{"bootstrap", "--store=" + h.store.String(), "--bundle=" + h.write("first.json", fmt.Sprintf(bundleText, 1000, 0)), "--keys=" + h.write("keys.json", string(text))}
	h.want(exit.Done, operators[0], args...)
	h.want(exit.Refused, operators[0], args...)
}

func TestBundleLifecycle(t *testing.T) {
	h := newHarness(t)
	h.bootstrap("ana", "ben")
	h.want(exit.Done, "ana", "keys", "sign-offs", "1")
	h.want(exit.Usage, "ana", "bundle", "create", h.write("bad.json", fmt.Sprintf(bundleText, 1000, 1)))
	id := h.want(exit.Done, "ana", "bundle", "create", h.write("second.json", fmt.Sprintf(bundleText, 0, 1000)))["id"].(string)[:8]
	h.want(exit.Done, "ana", "bundle", "sign-off", id)
	h.want(exit.Refused, "ana", "bundle", "roll-forward", id)
	h.want(exit.Done, "ben", "bundle", "sign-off", id)
	report := h.want(exit.Done, "ana", "bundle", "roll-forward", id, "--done-by=1h", "--wait")
	if got, want := report["spread"].(map[string]any)["inForce"], 1.0; got != want {
		t.Errorf("got in force on %v nodes, want %v", got, want)
	}
	if got, want := h.inForce.Load().Shares("m")[0].Share, 1000; got != want {
		t.Errorf("got share %d for the old version at the start of a rollout, want %d", got, want)
	}
	h.want(exit.Done, "ben", "rollout", "finish", "m")
	h.want(exit.Done, "ben", "bundle", "roll-back", "--wait")
	if got, want := h.inForce.Load().Head.Revision, bundle.Revision(5); got != want {
		t.Errorf("got revision %d after four changes, want %d", got, want)
	}
	h.want(exit.Refused, "ben", "rollout", "take-back", "m")
}

func TestDomainOutWaitsForRunningWork(t *testing.T) {
	h := newHarness(t)
	h.bootstrap("ana")
	h.running.Store(2)
	_, report, errOut := h.run("ana", "domain", "out", "b", "--wait-done", "--wait-for=10ms")
	if got, want := report["move"].(map[string]any)["running"], 2.0; got != want || !strings.Contains(errOut, "2 still running") {
		t.Errorf("got %v running and message %q, want %v", got, errOut, want)
	}
	h.want(exit.Done, "ana", "domain", "in", "b")
	h.running.Store(0)
	report = h.want(exit.Done, "ana", "domain", "out", "b", "--wait-done")
	if got, want := report["move"].(map[string]any)["state"], string(moveDone); got != want {
		t.Errorf("got state %v, want %s", got, want)
	}
	h.want(exit.Refused, "ana", "domain", "out", "a")
	h.want(exit.Refused, "ana", "domain", "out", "nowhere")
	h.followStore.Store(false)
	code, _, errOut := h.run("ana", "domain", "in", "b", "--wait", "--wait-for=10ms")
	if code != exit.TimedOut || !strings.Contains(errOut, "in force on 0 of 1; missing: n1 (has revision 4)") {
		t.Errorf("got exit code %d and message %q, want %d and the missing node named", code, errOut, exit.TimedOut)
	}
}

func TestMoveStates(t *testing.T) {
	mark := bundle.Mark{Kind: bundle.MarkDomain, Name: "b"}
	tests := []struct {
		status operator.MoveStatus
		want   moveState
	}{
		{operator.MoveStatus{Out: true, Running: 1}, moveRunning},
		{operator.MoveStatus{Out: true, Unknown: []string{"n2"}}, moveRunning},
		{operator.MoveStatus{Out: true}, moveDone},
		{operator.MoveStatus{Head: bundle.Head{ChangedBy: "ben"}}, moveTakenBack},
	}
	for _, tt := range tests {
		if got := moveOf(mark, tt.status).State; got != tt.want {
			t.Errorf("got state %s for %+v, want %s", got, tt.status, tt.want)
		}
	}
}

func TestKeyCommands(t *testing.T) {
	h := newHarness(t)
	h.bootstrap("ana")
	key := h.want(exit.Done, "ana", "keys", "account", "create", "shop")["key"].(string)
	next := h.want(exit.Done, "ana", "keys", "account", "rotate", "shop", "--wait")["key"].(string)
	h.want(exit.Done, "ana", "keys", "account", "revoke", "shop", bundle.KeyHash(key)[:8], "--wait")
	in := h.inForce.Load()
	_, old := in.Account(key)
	_, ok := in.Account(next)
	if old || !ok {
		t.Errorf("got old key accepted %v and new key accepted %v, want false and true", old, ok)
	}
	h.want(exit.Done, "ana", "keys", "token", "rotate", "t2")
	report := h.want(exit.Done, "ben", "keygen", "--out="+filepath.Join(h.dir, "ben"))
	h.want(exit.Done, "ana", "keys", "operator", "add", "ben", "--public-key="+report["publicKey"].(string))
	h.want(exit.Done, "ben", "status")
	h.want(exit.Done, "ben", "keys", "operator", "revoke", "ben", "--public-key="+report["publicKey"].(string))
	h.want(exit.Refused, "ben", "status")
	if got, want := h.inForce.Load().Keys.TokenKeys[0].ID, "t2"; got != want {
		t.Errorf("got signing key %s, want %s", got, want)
	}
}

// An operator could evade sign-offs by adding a second operator to sign off with. Such an edit needs sign-offs too.
func TestOperatorsAreAddedWithSignOff(t *testing.T) {
	h := newHarness(t)
	h.bootstrap("ana", "ben")
	h.want(exit.Done, "ana", "keys", "sign-offs", "1")
	public := h.want(exit.Done, "cay", "keygen", "--out="+filepath.Join(h.dir, "cay"))["publicKey"].(string)
	add := []string{"keys", "operator", "add", "cay", "--public-key=" + public}
	h.want(exit.Refused, "ana", add...)
	h.want(exit.Done, "ana", append(add, "--sign-off")...)
	h.want(exit.Refused, "ana", add...)
	h.want(exit.Refused, "ana", "keys", "sign-offs", "0")
	h.want(exit.Done, "ben", append(add, "--sign-off")...)
	h.want(exit.Done, "ana", add...)
	h.want(exit.Done, "cay", "status")
	remove := []string{"keys", "operator", "revoke", "cay", "--public-key=" + public}
	h.want(exit.Refused, "ana", remove...)
	h.want(exit.Done, "cay", remove...)
	h.want(exit.Refused, "ana", add...) // the sign-off was for earlier keys
}

func TestUsageErrors(t *testing.T) {
	h := newHarness(t)
	h.want(exit.Usage, "ana", "domain", "out")
	h.want(exit.Usage, "nobody", "status")
	h.write("junk", "no key")
	h.want(exit.Usage, "junk", "status")
	key, err := encodePrivateKey(ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)))
	if err != nil {
		t.Fatal(err)
	}
	h.write("ana", string(key))
	h.want(exit.Refused, "ana", "status") // the store is empty
}

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

// bench is a store, one node that reads it on each request, and operators' key files.
type harness struct {
	t           *testing.T
	dir         string
	store       netip.AddrPort
	node        netip.AddrPort
	running     atomic.Int64 // streams that the node has on e2
	inForce     atomic.Pointer[bundle.InForce]
	followStore atomic.Bool // the node applies what the store holds
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
	b := &harness{t: t, dir: t.TempDir()}
	b.followStore.Store(true)
	storeRouter := chi.NewRouter()
	storeRouter.Mount("/", fakeplatform.New().Handler())
	b.store = listen(t, storeRouter)
	client := kvstore.New([]netip.AddrPort{b.store})
	current := func() *bundle.InForce {
		if b.followStore.Load() {
			if in, _, err := document.LoadInForce(context.Background(), client); err == nil {
				b.inForce.Store(in)
			}
		}
		return b.inForce.Load()
	}
	view := func() *membership.View {
		return &membership.View{Self: "n1", Nodes: []membership.Node{{Name: "n1", FailureDomain: "a"}}}
	}
	running := func() map[string]int { return map[string]int{"e2": int(b.running.Load())} }
	fleet := survey.New(node.NewClient(node.Sender{Name: "n1"}), view, current, running)
	router := chi.NewRouter()
	operator.NewServer(client, current, fleet).Register(router)
	b.node = listen(t, router)
	return b
}

func (b *harness) write(name, text string) string {
	b.t.Helper()
	path := filepath.Join(b.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

// Runs a command as an operator and returns its code and its JSON.
func (b *harness) run(by string, args ...string) (exit.Code, map[string]any, string) {
	b.t.Helper()
	var out, errOut bytes.Buffer
	args = append(args, "--output=json", "--nodes="+b.node.String(), "--operator="+by, "--key="+filepath.Join(b.dir, by))
	code := Main(b.t.Context(), args, &out, &errOut)
	var report map[string]any
	_ = json.NewDecoder(&out).Decode(&report) // some reports are lists, some commands report nothing
	return code, report, errOut.String()
}

// Runs a command that must end with a code.
func (b *harness) want(want exit.Code, by string, args ...string) map[string]any {
	b.t.Helper()
	got, report, errOut := b.run(by, args...)
	if got != want {
		b.t.Fatalf("%v: got exit code %d, want %d: %s", args, got, want, errOut)
	}
	return report
}

// Makes operators' keys and fills the store.
func (b *harness) bootstrap(operators ...string) {
	b.t.Helper()
	keys := map[string]any{"accounts": []any{}, "tokenKeys": []any{map[string]any{
		"id": "t1", "secret": base64.StdEncoding.EncodeToString(make([]byte, 32)), "notAfter": time.Now().Add(time.Hour),
	}}}
	var list []any
	for _, name := range operators {
		report := b.want(exit.Done, name, "keygen", "--out="+filepath.Join(b.dir, name))
		list = append(list, map[string]any{"name": name, "publicKeys": []any{report["publicKey"]}})
	}
	keys["operators"] = list
	text, err := json.Marshal(keys)
	if err != nil {
		b.t.Fatal(err)
	}
	args := []string{"bootstrap", "--store=" + b.store.String(), "--bundle=" + b.write("first.json", fmt.Sprintf(bundleText, 1000, 0)), "--keys=" + b.write("keys.json", string(text))}
	b.want(exit.Done, operators[0], args...)
	b.want(exit.Refused, operators[0], args...)
}

func TestBundleLifecycle(t *testing.T) {
	b := newHarness(t)
	b.bootstrap("ana", "ben")
	b.want(exit.Done, "ana", "keys", "sign-offs", "1")
	b.want(exit.Usage, "ana", "bundle", "create", b.write("bad.json", fmt.Sprintf(bundleText, 1000, 1)))
	id := b.want(exit.Done, "ana", "bundle", "create", b.write("second.json", fmt.Sprintf(bundleText, 0, 1000)))["id"].(string)[:8]
	b.want(exit.Done, "ana", "bundle", "sign-off", id)
	b.want(exit.Refused, "ana", "bundle", "roll-forward", id)
	b.want(exit.Done, "ben", "bundle", "sign-off", id)
	report := b.want(exit.Done, "ana", "bundle", "roll-forward", id, "--done-by=1h", "--wait")
	if got, want := report["spread"].(map[string]any)["inForce"], 1.0; got != want {
		t.Errorf("got in force on %v nodes, want %v", got, want)
	}
	if got, want := b.inForce.Load().Shares("m")[0].Share, 1000; got != want {
		t.Errorf("got share %d for the old version at the start of a rollout, want %d", got, want)
	}
	b.want(exit.Done, "ben", "rollout", "finish", "m")
	b.want(exit.Done, "ben", "bundle", "roll-back", "--wait")
	if got, want := b.inForce.Load().Head.Revision, bundle.Revision(5); got != want {
		t.Errorf("got revision %d after four changes, want %d", got, want)
	}
	b.want(exit.Refused, "ben", "rollout", "take-back", "m")
}

func TestDomainOutWaitsForRunningWork(t *testing.T) {
	b := newHarness(t)
	b.bootstrap("ana")
	b.running.Store(2)
	_, report, errOut := b.run("ana", "domain", "out", "b", "--wait-done", "--wait-for=10ms")
	if got, want := report["move"].(map[string]any)["running"], 2.0; got != want || !strings.Contains(errOut, "2 still running") {
		t.Errorf("got %v running and message %q, want %v", got, errOut, want)
	}
	b.want(exit.Done, "ana", "domain", "in", "b")
	b.running.Store(0)
	report = b.want(exit.Done, "ana", "domain", "out", "b", "--wait-done")
	if got, want := report["move"].(map[string]any)["state"], string(moveDone); got != want {
		t.Errorf("got state %v, want %s", got, want)
	}
	b.want(exit.Refused, "ana", "domain", "out", "a")
	b.want(exit.Refused, "ana", "domain", "out", "nowhere")
	b.followStore.Store(false)
	code, _, errOut := b.run("ana", "domain", "in", "b", "--wait", "--wait-for=10ms")
	if code != exit.TimedOut || !strings.Contains(errOut, "in force on 0 of 1; missing: n1 (has revision 4)") {
		t.Errorf("got exit code %d and message %q, want %d and the missing node named", code, errOut, exit.TimedOut)
	}
}

func TestMoveStates(t *testing.T) {
	mark := bundle.Mark{Kind: bundle.MarkDomain, Name: "b"}
	tests := []struct {
		page operator.MoveStatus
		want moveState
	}{
		{operator.MoveStatus{Out: true, Running: 1}, moveRunning},
		{operator.MoveStatus{Out: true, Unknown: []string{"n2"}}, moveRunning},
		{operator.MoveStatus{Out: true}, moveDone},
		{operator.MoveStatus{Head: bundle.Head{ChangedBy: "ben"}}, moveTakenBack},
	}
	for _, tt := range tests {
		if got := moveOf(mark, tt.page).State; got != tt.want {
			t.Errorf("got state %s for %+v, want %s", got, tt.page, tt.want)
		}
	}
}

func TestKeyCommands(t *testing.T) {
	b := newHarness(t)
	b.bootstrap("ana")
	key := b.want(exit.Done, "ana", "keys", "account", "create", "shop")["key"].(string)
	next := b.want(exit.Done, "ana", "keys", "account", "rotate", "shop", "--wait")["key"].(string)
	b.want(exit.Done, "ana", "keys", "account", "revoke", "shop", bundle.KeyHash(key)[:8], "--wait")
	in := b.inForce.Load()
	_, old := in.Account(key)
	_, ok := in.Account(next)
	if old || !ok {
		t.Errorf("got old key accepted %v and new key accepted %v, want false and true", old, ok)
	}
	b.want(exit.Done, "ana", "keys", "token", "rotate", "t2")
	report := b.want(exit.Done, "ben", "keygen", "--out="+filepath.Join(b.dir, "ben"))
	b.want(exit.Done, "ana", "keys", "operator", "add", "ben", "--public-key="+report["publicKey"].(string))
	b.want(exit.Done, "ben", "status")
	b.want(exit.Done, "ben", "keys", "operator", "revoke", "ben", "--public-key="+report["publicKey"].(string))
	b.want(exit.Refused, "ben", "status")
	if got, want := b.inForce.Load().Keys.TokenKeys[0].ID, "t2"; got != want {
		t.Errorf("got signing key %s, want %s", got, want)
	}
}

// One operator alone cannot make the second one who signs off.
func TestOperatorsAreAddedWithSignOff(t *testing.T) {
	b := newHarness(t)
	b.bootstrap("ana", "ben")
	b.want(exit.Done, "ana", "keys", "sign-offs", "1")
	public := b.want(exit.Done, "cay", "keygen", "--out="+filepath.Join(b.dir, "cay"))["publicKey"].(string)
	add := []string{"keys", "operator", "add", "cay", "--public-key=" + public}
	b.want(exit.Refused, "ana", add...)
	b.want(exit.Done, "ana", append(add, "--sign-off")...)
	b.want(exit.Refused, "ana", add...)
	b.want(exit.Refused, "ana", "keys", "sign-offs", "0")
	b.want(exit.Done, "ben", append(add, "--sign-off")...)
	b.want(exit.Done, "ana", add...)
	b.want(exit.Done, "cay", "status")
	remove := []string{"keys", "operator", "revoke", "cay", "--public-key=" + public}
	b.want(exit.Refused, "ana", remove...)
	b.want(exit.Done, "cay", remove...)
	b.want(exit.Refused, "ana", add...) // the sign-off was for earlier keys
}

func TestUsageErrors(t *testing.T) {
	b := newHarness(t)
	b.want(exit.Usage, "ana", "domain", "out")
	b.want(exit.Usage, "nobody", "status")
	b.write("junk", "no key")
	b.want(exit.Usage, "junk", "status")
	key, err := encodePrivateKey(ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)))
	if err != nil {
		t.Fatal(err)
	}
	b.write("ana", string(key))
	b.want(exit.Refused, "ana", "status") // the store is empty
}

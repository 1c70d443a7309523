package operator

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/document"
	"ebonyferry/internal/edge/kvstore"
	fakeplatform "ebonyferry/internal/fake/platform"
)

func keyOf(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

const bundleText = `{
	"servers": [
		{"id": "e1", "kind": "engine", "addr": "10.0.0.1:1", "region": "r", "failureDomain": "a", "models": [{"model": "m", "version": "v1"}]},
		{"id": "e2", "kind": "engine", "addr": "10.0.0.2:1", "region": "r", "failureDomain": "b", "models": [{"model": "m", "version": "v1"}]}],
	"models": [{"name": "m", "versions": [{"version": "v1", "share": 1000}]}],
	"note": %q}`

// fakeFleet is one node with an emulated store. It implements Fleet; states holds the nodes' answers to a survey.
type fakeFleet struct {
	store   *fakeplatform.Server
	client  *kvstore.Client
	node    netip.AddrPort
	server  *httptest.Server
	current atomic.Pointer[bundle.InForce]
	mu      sync.Mutex
	states  map[string]NodeState // guarded by mu

	unreachable []membership.Node // of the view; guarded by mu
}

func (f *fakeFleet) View() *membership.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	nodes := []membership.Node{{Name: "n1", FailureDomain: "a"}, {Name: "n2", FailureDomain: "c"}}
	return &membership.View{Self: "n1", Nodes: nodes, Unreachable: f.unreachable}
}

func (f *fakeFleet) Survey(_ context.Context, names []string) []NodeState {
	f.mu.Lock()
	defer f.mu.Unlock()
	var states []NodeState
	for name, s := range f.states {
		if len(names) == 0 || strings.Contains(strings.Join(names, " "), name) {
			states = append(states, s)
		}
	}
	return states
}

// reload makes the node apply the configuration in the store.
func (f *fakeFleet) reload(t *testing.T) *bundle.InForce {
	t.Helper()
	in, _, err := document.LoadInForce(t.Context(), f.client)
	if err != nil {
		t.Fatal(err)
	}
	f.current.Store(in)
	return in
}

func addrOf(t *testing.T, srv *httptest.Server) netip.AddrPort {
	t.Helper()
	u, err := url.Parse(srv.URL)
	if err != nil {
		t.Fatal(err)
	}
	return netip.MustParseAddrPort(u.Host)
}

func newFakeFleet(t *testing.T, others int) *fakeFleet {
	t.Helper()
	f := &fakeFleet{store: fakeplatform.New(), states: map[string]NodeState{
		"n1": {Node: "n1", Revision: 9, Running: map[string]int{"e1": 3}},
		"n2": {Node: "n2", Error: "did not answer"},
	}}
	storeServer := httptest.NewServer(f.store.Handler())
	t.Cleanup(storeServer.Close)
	f.client = kvstore.New([]netip.AddrPort{addrOf(t, storeServer)})
	keys := bundle.Keys{OtherSignOffs: others, Accounts: []bundle.Account{{ID: "shop", KeyHashes: []string{bundle.KeyHash("old")}}}}
	keys.TokenKeys = []bundle.TokenKey{{ID: "t1", Secret: make([]byte, 32), NotAfter: time.Now().Add(time.Hour).UTC()}}
	for _, name := range []string{"ana", "ben", "cay"} {
		keys.Operators = append(keys.Operators, bundle.Operator{Name: name, PublicKeys: []ed25519.PublicKey{keyOf(name).Public().(ed25519.PublicKey)}})
	}
	b, err := bundle.Parse(fmt.Appendf(nil, bundleText, "first"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := document.Bootstrap(t.Context(), f.client, b, keys, bundle.ChangeRequest{By: "ana", Nonce: "first"}); err != nil {
		t.Fatal(err)
	}
	f.reload(t)
	router := chi.NewRouter()
	NewServer(f.client, f.current.Load, f).Mount(router)
	f.server = httptest.NewServer(router)
	t.Cleanup(f.server.Close)
	f.node = addrOf(t, f.server)
	return f
}

func (f *fakeFleet) clientOf(name string) *Client {
	return NewClient([]netip.AddrPort{f.node}, name, keyOf(name))
}

func codeOf(err error) Code {
	var f *Failure
	if errors.As(err, &f) {
		return f.Code
	}
	return ""
}

// create creates a bundle and signs it off as signers.
func (f *fakeFleet) create(t *testing.T, author, note string, signers ...string) BundleInfo {
	t.Helper()
	info, err := PostText[BundleInfo](t.Context(), f.clientOf(author), "/bundles", fmt.Appendf(nil, bundleText, note))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range signers {
		subject := bundle.SignOffSubject{BundleID: info.ID, Since: f.reload(t).Head.BundleSince}
		if _, err := Post[BundleDetails](t.Context(), f.clientOf(name), "/bundles/"+info.ID[:12]+"/signoffs", bundle.Sign(name, keyOf(name), subject)); err != nil {
			t.Fatal(err)
		}
	}
	return info
}

func TestRollForwardNeedsSignOffByAnother(t *testing.T) {
	f := newFakeFleet(t, 1)
	info := f.create(t, "ana", "second", "ana")
	roll := &RollForward{BundleID: info.ID, Since: 1}
	if _, err := PostChange[ChangeResult](t.Context(), f.clientOf("ana"), "/changes/rollForward", roll); codeOf(err) != CodeNotSignedOff {
		t.Errorf("got error %v with the author's sign-off only, want %s", err, CodeNotSignedOff)
	}
	f.create(t, "ana", "second", "ben")
	roll = &RollForward{BundleID: info.ID, Since: 1}
	changed, err := PostChange[ChangeResult](t.Context(), f.clientOf("ana"), "/changes/rollForward", roll)
	if err != nil || changed.Head.BundleID != info.ID || changed.Head.Revision != 2 {
		t.Fatalf("got head %+v, error %v, want bundle %s at revision 2", changed.Head, err, info.ID)
	}
	back, err := PostChange[ChangeResult](t.Context(), f.clientOf("cay"), "/changes/rollBack", &RollBack{})
	if err != nil || back.Head.Revision != 3 || back.Head.BundleID == info.ID {
		t.Errorf("got head %+v, error %v, want the first bundle at revision 3", back.Head, err)
	}
	heads, err := Get[[]bundle.Head](t.Context(), f.clientOf("ana"), "/history")
	if err != nil || len(heads) != 3 {
		t.Errorf("got %d heads in the history, error %v, want 3", len(heads), err)
	}
}

func TestRaceLoserGetsWinner(t *testing.T) {
	f := newFakeFleet(t, 0)
	first, second := f.create(t, "ana", "by ana", "ana"), f.create(t, "ben", "by ben", "ben")
	if _, err := PostChange[ChangeResult](t.Context(), f.clientOf("ana"), "/changes/rollForward", &RollForward{BundleID: first.ID, Since: 1}); err != nil {
		t.Fatal(err)
	}
	_, err := PostChange[ChangeResult](t.Context(), f.clientOf("ben"), "/changes/rollForward", &RollForward{BundleID: second.ID, Since: 1})
	var failure *Failure
	if !errors.As(err, &failure) || failure.Code != CodeRaced || failure.Winner.ChangedBy != "ana" || failure.Winner.BundleID != first.ID {
		t.Errorf("got error %v, want a race that ana's bundle won", err)
	}
}

func TestRacingMarksAllTakeEffect(t *testing.T) {
	f := newFakeFleet(t, 0)
	var wg sync.WaitGroup
	for _, mark := range []bundle.Mark{{Kind: bundle.MarkServer, Name: "e1"}, {Kind: bundle.MarkVM, Name: "n1"}, {Kind: bundle.MarkVM, Name: "n2"}, {Kind: bundle.MarkDomain, Name: "c"}} {
		wg.Go(func() {
			if _, err := PostChange[ChangeResult](t.Context(), f.clientOf("ana"), "/changes/mark", &MarkChange{Mark: mark, Out: true}); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	out := f.reload(t).Head.OutOfService
	if len(out.Servers) != 1 || len(out.VMs) != 2 || len(out.FailureDomains) != 1 {
		t.Errorf("got marks %+v, want one server, two VMs and one failure domain", out)
	}
	_, err := PostChange[ChangeResult](t.Context(), f.clientOf("ana"), "/changes/mark", &MarkChange{Mark: bundle.Mark{Kind: bundle.MarkDomain, Name: "b"}, Out: true})
	if codeOf(err) != CodeUnserved {
		t.Errorf("got error %v for the last failure domain with an engine, want %s", err, CodeUnserved)
	}
	_, err = PostChange[ChangeResult](t.Context(), f.clientOf("ana"), "/changes/mark", &MarkChange{ChangeOptions: ChangeOptions{Force: true}, Mark: bundle.Mark{Kind: bundle.MarkDomain, Name: "b"}, Out: true})
	if err != nil {
		t.Errorf("got error %v with force, want none", err)
	}
	_, err = PostChange[ChangeResult](t.Context(), f.clientOf("ana"), "/changes/mark", &MarkChange{Mark: bundle.Mark{Kind: bundle.MarkDomain, Name: "x"}, Out: true})
	if codeOf(err) != CodeNotFound {
		t.Errorf("got error %v for an unknown failure domain, want %s", err, CodeNotFound)
	}
}

func TestChangesWithLostAnswersAreMadeOnce(t *testing.T) {
	f := newFakeFleet(t, 0)
	f.store.LoseAnswers(kvstore.KindCAS, 3)
	out := &MarkChange{Mark: bundle.Mark{Kind: bundle.MarkServer, Name: "e1"}, Out: true}
	changed, err := PostChange[ChangeResult](t.Context(), f.clientOf("ana"), "/changes/mark", out)
	if err != nil || changed.Head.Revision != 2 {
		t.Fatalf("got head %+v, error %v, want revision 2", changed.Head, err)
	}
	other := &MarkChange{Mark: bundle.Mark{Kind: bundle.MarkVM, Name: "n1"}, Out: true}
	if _, err := PostChange[ChangeResult](t.Context(), f.clientOf("ben"), "/changes/mark", other); err != nil {
		t.Fatal(err)
	}
	out.Retry = true
	changed, err = PostChange[ChangeResult](t.Context(), f.clientOf("ana"), "/changes/mark", out)
	if err != nil || !changed.AlreadyApplied || changed.Head.Revision != 2 {
		t.Errorf("got %+v, error %v for a retry, want revision 2 and the nonce recognised", changed, err)
	}
}

func TestStoreOutageIsReported(t *testing.T) {
	f := newFakeFleet(t, 0)
	f.store.SetOutage(fakeplatform.OutageRefuse)
	_, err := PostChange[ChangeResult](t.Context(), f.clientOf("ana"), "/changes/mark", &MarkChange{Mark: bundle.Mark{Kind: bundle.MarkServer, Name: "e1"}, Out: true})
	if codeOf(err) != CodeStoreUnavailable {
		t.Errorf("got error %v, want %s", err, CodeStoreUnavailable)
	}
	status, err := Get[Status](t.Context(), f.clientOf("ana"), "/status")
	if err != nil || status.StoreReachable || status.Head.Revision != 1 {
		t.Errorf("got status %+v, error %v, want the head in force and the store unreachable", status, err)
	}
}

func TestSpreadNamesMissingNodes(t *testing.T) {
	f := newFakeFleet(t, 0)
	spread, err := Get[Spread](t.Context(), f.clientOf("ana"), "/spread?revision=1&wait=10ms")
	if err != nil || spread.InForce != 1 || spread.Nodes != 2 || len(spread.Missing) != 1 || spread.Missing[0].Node != "n2" {
		t.Errorf("got %+v, error %v, want n2 missing", spread, err)
	}
	f.mu.Lock()
	f.states["n2"] = NodeState{Node: "n2", Revision: 1}
	f.mu.Unlock()
	spread, err = Get[Spread](t.Context(), f.clientOf("ana"), "/spread?revision=1&wait=5s")
	if err != nil || !spread.Complete() {
		t.Errorf("got %+v, error %v, want in force on 2 of 2", spread, err)
	}
}

// A node that failed heartbeats may have stood still for a moment. As long as its lease lasts it may act under an older
// revision, so a revision is not in force everywhere without it.
func TestSpreadCountsUnreachableNodes(t *testing.T) {
	f := newFakeFleet(t, 0)
	f.mu.Lock()
	f.states["n2"] = NodeState{Node: "n2", Revision: 1}
	f.states["n3"] = NodeState{Node: "n3", Error: "no answer"}
	f.unreachable = []membership.Node{{Name: "n3", FailureDomain: "c"}}
	f.mu.Unlock()
	spread, err := Get[Spread](t.Context(), f.clientOf("ana"), "/spread?revision=1&wait=10ms")
	if err != nil || spread.Complete() || spread.Nodes != 3 || len(spread.Missing) != 1 || spread.Missing[0].Node != "n3" {
		t.Errorf("got %+v, error %v, want n3 missing of 3", spread, err)
	}
	f.mu.Lock()
	f.states["n3"] = NodeState{Node: "n3", Revision: 1}
	f.mu.Unlock()
	spread, err = Get[Spread](t.Context(), f.clientOf("ana"), "/spread?revision=1&wait=5s")
	if err != nil || !spread.Complete() || spread.InForce != 3 {
		t.Errorf("got %+v, error %v, want in force on 3 of 3", spread, err)
	}
}

func TestRequestsMustBeSignedAndFresh(t *testing.T) {
	f := newFakeFleet(t, 0)
	if _, err := Get[Status](t.Context(), NewClient([]netip.AddrPort{f.node}, "ana", keyOf("ben")), "/status"); codeOf(err) != CodeUnauthenticated {
		t.Errorf("got error %v with another's key, want %s", err, CodeUnauthenticated)
	}
	late := f.clientOf("ana")
	late.now = func() time.Time { return time.Now().Add(-2 * signatureWindow) }
	if _, err := Get[Status](t.Context(), late, "/status"); codeOf(err) != CodeUnauthenticated {
		t.Errorf("got error %v for an old request, want %s", err, CodeUnauthenticated)
	}
	body := []byte(`{"nonce":"x","mark":{"kind":"vm","name":"n1"},"out":true}`)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+Prefix+"/changes/mark", nil)
	if err != nil {
		t.Fatal(err)
	}
	SignRequest(r, body, "ana", keyOf("ana"), time.Now())
	send := func(body []byte) int {
		again := r.Clone(t.Context())
		again.Body = io.NopCloser(bytes.NewReader(body))
		resp, err := http.DefaultClient.Do(again)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if got, want := send(bytes.Replace(body, []byte("n1"), []byte("n2"), 1)), http.StatusUnauthorized; got != want {
		t.Errorf("got status %d for a changed body, want %d", got, want)
	}
	if got, want := send(body), http.StatusOK; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if got, want := send(body), http.StatusUnauthorized; got != want {
		t.Errorf("got status %d for a replay, want %d", got, want)
	}
}

func TestKeysRotateWithOverlapAndRevoke(t *testing.T) {
	f := newFakeFleet(t, 0)
	edit := func(e bundle.KeyEdit) *bundle.InForce {
		t.Helper()
		if _, err := PostChange[ChangeResult](t.Context(), f.clientOf("ana"), "/changes/keys", &KeyChange{Edit: e}); err != nil {
			t.Fatal(err)
		}
		return f.reload(t)
	}
	accepts := func(in *bundle.InForce, bearer string) bool {
		_, ok := in.Account(bearer)
		return ok
	}
	in := edit(bundle.KeyEdit{Kind: bundle.AddAccountKey, Name: "shop", KeyHash: bundle.KeyHash("new")})
	if !accepts(in, "old") || !accepts(in, "new") {
		t.Error("got a key refused during the overlap, want both accepted")
	}
	in = edit(bundle.KeyEdit{Kind: bundle.RevokeAccountKey, Name: "shop", KeyHash: bundle.KeyHash("old")[:8]})
	if accepts(in, "old") || !accepts(in, "new") {
		t.Error("got the wrong keys accepted after the revocation")
	}
	in = edit(bundle.KeyEdit{Kind: bundle.AddTokenKey, Name: "t2"})
	if got, want := in.Keys.TokenKeys[0].ID, "t1"; got != want || len(in.Keys.TokenKeys) != 2 {
		t.Errorf("got signing key %s of %d, want %s of 2", got, len(in.Keys.TokenKeys), want)
	}
	in = edit(bundle.KeyEdit{Kind: bundle.PromoteTokenKey, Name: "t2", Overlap: time.Minute})
	if got, want := in.Keys.TokenKeys[0].ID, "t2"; got != want || time.Until(in.Keys.TokenKeys[1].NotAfter) > time.Minute {
		t.Errorf("got token keys %+v, want t2 first and t1 for a minute", in.Keys.TokenKeys)
	}
	edit(bundle.KeyEdit{Kind: bundle.RevokeOperatorKey, Name: "ben", PublicKey: keyOf("ben").Public().(ed25519.PublicKey)})
	if _, err := Get[Status](t.Context(), f.clientOf("ben"), "/status"); codeOf(err) != CodeUnauthenticated {
		t.Errorf("got error %v for a revoked operator, want %s", err, CodeUnauthenticated)
	}
}

// A node that has not received a revocation authenticates with the old keys. Changes must still be checked against
// the keys in the store.
func TestRevokedOperatorCannotChangeThroughLaggingNode(t *testing.T) {
	f := newFakeFleet(t, 0)
	revoke := bundle.KeyEdit{Kind: bundle.RevokeOperatorKey, Name: "ben", PublicKey: keyOf("ben").Public().(ed25519.PublicKey)}
	if _, err := PostChange[ChangeResult](t.Context(), f.clientOf("ana"), "/changes/keys", &KeyChange{Edit: revoke}); err != nil {
		t.Fatal(err)
	}
	out := &MarkChange{Mark: bundle.Mark{Kind: bundle.MarkServer, Name: "e1"}, Out: true}
	if _, err := PostChange[ChangeResult](t.Context(), f.clientOf("ben"), "/changes/mark", out); codeOf(err) != CodeUnauthenticated {
		t.Errorf("got error %v, want %s", err, CodeUnauthenticated)
	}
	if got := f.reload(t).Head.OutOfService.Servers; len(got) != 0 {
		t.Errorf("got servers %v out of service, want none", got)
	}
}

func FuzzRequestHeaders(f *testing.F) {
	f.Add("ana", "2026-01-02T03:04:05Z", "n", "c2ln")
	keys := bundle.Keys{Operators: []bundle.Operator{{Name: "ana", PublicKeys: []ed25519.PublicKey{keyOf("ana").Public().(ed25519.PublicKey)}}}}
	f.Fuzz(func(t *testing.T, operator, at, nonce, sig string) {
		r := httptest.NewRequest(http.MethodPost, Prefix+"/changes/mark", strings.NewReader("{}"))
		r.Header = http.Header{headerOperator: {operator}, headerTime: {at}, headerNonce: {nonce}, headerSignature: {sig}}
		if _, err := newVerifier(time.Now).check(r, keys); err == nil {
			t.Error("got a request accepted without a signature")
		}
	})
}

package kvstore_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"ebonyferry/internal/edge/kvstore"
	fake "ebonyferry/internal/fake/platform"
)

func startStore(t *testing.T, opts ...fake.Option) (*fake.Server, *kvstore.Client) {
	t.Helper()
	server := fake.New(opts...)
	addr, err := server.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	return server, kvstore.New([]netip.AddrPort{addr}, kvstore.WithWatchWait(5*time.Second))
}

func TestCompareAndSwap(t *testing.T) {
	_, client := startStore(t)
	ctx := t.Context()
	if _, err := client.Get(ctx, "a"); !errors.Is(err, kvstore.ErrNotFound) {
		t.Fatalf("Get of an absent key: got %v, want ErrNotFound", err)
	}
	rev, err := client.CompareAndSwap(ctx, "a", 0, []byte("one"), 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.CompareAndSwap(ctx, "a", 0, []byte("two"), 0); !errors.Is(err, kvstore.ErrConflict) {
		t.Errorf("swap with a stale revision: got %v, want ErrConflict", err)
	}
	if err := client.Delete(ctx, "a", rev+1); !errors.Is(err, kvstore.ErrConflict) {
		t.Errorf("delete with a wrong revision: got %v, want ErrConflict", err)
	}
	entry, err := client.Get(ctx, "a")
	if got, want := string(entry.Value), "one"; err != nil || got != want {
		t.Errorf("Get: got %q, %v, want %q", got, err, want)
	}
	if _, err := client.CompareAndSwap(ctx, "b", 0, make([]byte, kvstore.MaxValueBytes+1), 0); !errors.Is(err, kvstore.ErrTooLarge) {
		t.Errorf("swap of a large value: got %v, want ErrTooLarge", err)
	}
	if got, want := client.Counts()[kvstore.KindCAS], 2; got != want {
		t.Errorf("calls counted: got %d, want %d", got, want)
	}
}

// The error of a failed write must distinguish a write that had no effect from one whose outcome is unknown.
func TestWriteErrors(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(*fake.Server)
		want    error
		applied bool
	}{
		{"outage", func(s *fake.Server) { s.SetOutage(fake.OutageRefuse) }, kvstore.ErrUnavailable, false},
		{"silence", func(s *fake.Server) { s.SetOutage(fake.OutageSilent) }, kvstore.ErrOutcomeUnknown, false},
		{"lost answer", func(s *fake.Server) { s.LoseAnswers(kvstore.KindCAS, 1) }, kvstore.ErrOutcomeUnknown, true},
		{"rate", func(s *fake.Server) { s.SetRates(fake.Rates{Writes: 1e-9}); s.ExhaustWrites() }, kvstore.ErrRateLimited, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, client := startStore(t)
			test.fault(server)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := client.CompareAndSwap(ctx, "k", 0, []byte("v"), 0)
			if !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
			server.SetOutage(fake.OutageNone)
			_, err = client.Get(t.Context(), "k")
			if got, want := err == nil, test.applied; got != want {
				t.Errorf("took effect: got %v (%v), want %v", got, err, want)
			}
		})
	}
}

func TestUnreachableStoreDidNotWrite(t *testing.T) {
	client := kvstore.New([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")})
	_, err := client.CompareAndSwap(t.Context(), "k", 0, nil, 0)
	if !errors.Is(err, kvstore.ErrUnavailable) || errors.Is(err, kvstore.ErrOutcomeUnknown) {
		t.Errorf("got %v, want ErrUnavailable alone", err)
	}
}

func TestFailoverToSecondAddress(t *testing.T) {
	server := fake.New()
	addr, err := server.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	client := kvstore.New([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), addr})
	if _, _, err := client.List(t.Context(), ""); err != nil {
		t.Errorf("List at the second address: got %v, want no error", err)
	}
}

func TestWatchAndLease(t *testing.T) {
	server, client := startStore(t)
	ctx := t.Context()
	lease, err := client.GrantLease(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	rev, err := client.CompareAndSwap(ctx, "m/a", 0, []byte("x"), lease)
	if err != nil {
		t.Fatal(err)
	}
	changes, rev2, err := client.Watch(ctx, "m/", rev-1)
	if err != nil || len(changes) != 1 || rev2 != rev {
		t.Fatalf("Watch: got %v, %d, %v, want one change at %d", changes, rev2, err, rev)
	}
	time.AfterFunc(10*time.Millisecond, func() { server.ExpireLease("m/a") })
	changes, _, err = client.Watch(ctx, "m/", rev)
	if err != nil || len(changes) != 1 || !changes[0].Deleted {
		t.Fatalf("Watch after the lease expired: got %v, %v, want one deletion", changes, err)
	}
	if _, err := client.KeepAlive(ctx, lease); !errors.Is(err, kvstore.ErrLeaseExpired) {
		t.Errorf("KeepAlive of an expired lease: got %v, want ErrLeaseExpired", err)
	}
	if _, _, err := client.Watch(ctx, "m/", rev+100); !errors.Is(err, kvstore.ErrCompacted) {
		t.Errorf("Watch after a future revision: got %v, want ErrCompacted", err)
	}
}

// A malformed answer must not make the client panic, report success without the content, or report that a write did not
// take effect when the outcome is unknown.
func FuzzDecode(f *testing.F) {
	f.Add(uint8(0), 200, []byte(`{"entry":{"key":"a","value":"eA==","revision":3}}`))
	f.Add(uint8(4), 200, []byte(`{"revision":0}`))
	f.Add(uint8(4), 409, []byte(`{"code":"conflict"}`))
	f.Add(uint8(7), 200, []byte(`{"ttlMs":-1}`))
	f.Add(uint8(5), 500, []byte(`<html>`))
	f.Fuzz(func(t *testing.T, k uint8, status int, body []byte) {
		if status < 200 || status > 599 || status == http.StatusNoContent || status == http.StatusNotModified {
			return
		}
		kind := kvstore.Kinds[int(k)%len(kvstore.Kinds)]
		srv := httptest.NewRecorder()
		srv.WriteHeader(status)
		srv.Write(body)
		client := kvstore.New([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
			kvstore.WithHTTPClient(&http.Client{Transport: fixedTransport{srv.Result()}}))
		err := callKind(t.Context(), client, kind)
		if err == nil && status != http.StatusOK {
			t.Errorf("status %d was reported as success", status)
		}
		if kind.Writes() && errors.Is(err, kvstore.ErrUnavailable) && !bytesContain(body, "unavailable") {
			t.Errorf("write with answer %q: got %v, want an unknown outcome", body, err)
		}
	})
}

// fixedTransport answers all requests with one response.
type fixedTransport struct{ resp *http.Response }

func (c fixedTransport) RoundTrip(*http.Request) (*http.Response, error) { return c.resp, nil }

func bytesContain(body []byte, s string) bool { return bytes.Contains(body, []byte(s)) }

func callKind(ctx context.Context, c *kvstore.Client, kind kvstore.Kind) error {
	var err error
	switch kind {
	case kvstore.KindGet:
		_, err = c.Get(ctx, "k")
	case kvstore.KindList:
		_, _, err = c.List(ctx, "k")
	case kvstore.KindWatch:
		_, _, err = c.Watch(ctx, "k", 0)
	case kvstore.KindVMs:
		_, err = c.VMs(ctx)
	case kvstore.KindCAS:
		_, err = c.CompareAndSwap(ctx, "k", 0, nil, 0)
	case kvstore.KindDelete:
		err = c.Delete(ctx, "k", 1)
	case kvstore.KindGrantLease:
		_, err = c.GrantLease(ctx, time.Second)
	case kvstore.KindKeepAlive:
		_, err = c.KeepAlive(ctx, 1)
	case kvstore.KindRevokeLease:
		err = c.RevokeLease(ctx, 1)
	}
	return err
}

package platform_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/edge/kvstore"
	fakenode "ebonyferry/internal/fake/node"
	fake "ebonyferry/internal/fake/platform"
)

var addr = netip.MustParseAddrPort("10.0.0.1:1")

// connect returns a client that calls s through an in-memory network.
func connect(s *fake.Server) *kvstore.Client {
	net := fakenode.NewNetwork(time.Millisecond)
	net.Serve("store", addr, s.Handler())
	return kvstore.New([]netip.AddrPort{addr}, kvstore.WithHTTPClient(net.Client("test")))
}

func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.New(fake.WithVMLag(10 * time.Second))
		client := connect(s)
		s.SetVMs([]kvstore.VM{{Name: "a", State: kvstore.VMLive}})
		time.Sleep(20 * time.Second)
		s.SetVMs([]kvstore.VM{{Name: "a", State: kvstore.VMLeaving}})
		for _, want := range []kvstore.VMState{kvstore.VMLive, kvstore.VMLeaving} {
			vms, err := client.VMs(t.Context())
			if err != nil || len(vms) != 1 || vms[0].State != want {
				t.Errorf("got %v, %v, want a %s", vms, err, want)
			}
			time.Sleep(10 * time.Second)
		}
	})
}

func TestRatesByKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.New(fake.WithRates(fake.Rates{Kinds: map[kvstore.Kind]float64{kvstore.KindGet: 2}}))
		client := connect(s)
		limited := 0
		for range 5 {
			if _, err := client.Get(t.Context(), "k"); errors.Is(err, kvstore.ErrRateLimited) {
				limited++
			}
			if _, _, err := client.List(t.Context(), ""); err != nil {
				t.Errorf("list: got %v, want no error", err)
			}
		}
		if want := 3; limited != want || s.Counts()[kvstore.KindGet].Limited != want {
			t.Errorf("got %d rate limited, counted %d, want %d", limited, s.Counts()[kvstore.KindGet].Limited, want)
		}
	})
}

func TestLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.New()
		client := connect(s)
		lease, err := client.GrantLease(t.Context(), 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.CompareAndSwap(t.Context(), "k", 0, nil, lease); err != nil {
			t.Fatal(err)
		}
		time.Sleep(8 * time.Second)
		if _, err := client.KeepAlive(t.Context(), lease); err != nil {
			t.Fatal(err)
		}
		time.Sleep(8 * time.Second)
		if _, err := client.Get(t.Context(), "k"); err != nil {
			t.Errorf("renewed lease: got %v, want the key", err)
		}
		time.Sleep(3 * time.Second)
		if _, err := client.Get(t.Context(), "k"); !errors.Is(err, kvstore.ErrNotFound) {
			t.Errorf("expired lease: got %v, want ErrNotFound", err)
		}
	})
}

func TestControl(t *testing.T) {
	s := fake.New()
	listenAddr, err := s.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	client := kvstore.New([]netip.AddrPort{listenAddr})
	outage := fake.OutageRefuse
	body, err := json.Marshal(fake.Control{Outage: &outage})
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+listenAddr.String()+fake.ControlPath, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if _, err := client.Get(t.Context(), "k"); !errors.Is(err, kvstore.ErrUnavailable) {
		t.Errorf("outage set by control: got %v, want ErrUnavailable", err)
	}
	resp, err = http.Get("http://" + listenAddr.String() + fake.ControlPath)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var counts map[kvstore.Kind]fake.Count
	if err := json.NewDecoder(resp.Body).Decode(&counts); err != nil {
		t.Fatal(err)
	}
	if got, want := counts[kvstore.KindGet].Refused, 1; got != want {
		t.Errorf("refused calls counted: got %d, want %d", got, want)
	}
}

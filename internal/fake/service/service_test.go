package service_test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"ebonyferry/internal/edge/service"
	fake "ebonyferry/internal/fake/service"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func start(t *testing.T, opts ...fake.Option) (*fake.Service, netip.AddrPort) {
	t.Helper()
	s := fake.New(opts...)
	addr, err := s.Listen(t.Context(), loopback)
	if err != nil {
		t.Fatal(err)
	}
	return s, addr
}

func booking(key string) service.Call {
	return service.Call{
		Method:         http.MethodPost,
		Path:           fake.PathBookings,
		ContentType:    "application/json",
		Body:           []byte(`{"booking":"b1","item":"rope","count":1}`),
		IdempotencyKey: key,
	}
}

func TestBookingOutcomes(t *testing.T) {
	tests := []struct {
		name      string
		faults    fake.Faults
		wantErr   error
		wantRuns  int
		wantFetch error
	}{
		{"answered", fake.Faults{}, nil, 1, nil},
		{"answer lost", fake.Faults{LoseEvery: 1}, service.ErrOutcomeUnknown, 1, nil},
		{"connection cut before the run", fake.Faults{Unreachable: true}, service.ErrOutcomeUnknown, 0, service.ErrNoSuchKey},
		{"failed", fake.Faults{FailEvery: 1}, nil, 0, service.ErrNoSuchKey},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, addr := start(t, fake.WithOutcomeQueries(), fake.WithFaults(tt.faults))
			c := service.New()
			_, err := c.Call(t.Context(), addr, booking("k/1"))
			if !errors.Is(err, tt.wantErr) {
				t.Errorf("call: got %v, want %v", err, tt.wantErr)
			}
			if got := s.Runs()["b1"]; got != tt.wantRuns {
				t.Errorf("runs: got %d, want %d", got, tt.wantRuns)
			}
			s.SetFaults(fake.Faults{})
			if _, err := c.FetchOutcome(t.Context(), addr, "k/1"); !errors.Is(err, tt.wantFetch) {
				t.Errorf("fetch outcome: got %v, want %v", err, tt.wantFetch)
			}
		})
	}
}

func TestDoubleRunsAreCounted(t *testing.T) {
	tests := []struct {
		name string
		opts []fake.Option
		want int
	}{
		{"keys ignored", nil, 1},
		{"keys honored", []fake.Option{fake.WithIdempotencyKeys()}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, addr := start(t, tt.opts...)
			c := service.New()
			for range 2 {
				if _, err := c.Call(t.Context(), addr, booking("k1")); err != nil {
					t.Fatal(err)
				}
			}
			if got := s.Counters().DoubleRuns; got != tt.want {
				t.Errorf("double runs: got %d, want %d", got, tt.want)
			}
			if _, err := c.FetchOutcome(t.Context(), addr, "k1"); !errors.Is(err, service.ErrOutcomeUnavailable) {
				t.Errorf("fetch outcome: got %v, want %v", err, service.ErrOutcomeUnavailable)
			}
		})
	}
}

// A call with an idempotency key must be sent at most once. net/http treats a request with the Idempotency-Key
// header as repeatable, and would send it again when a pooled connection fails.
func TestKeyedCallIsSentOnce(t *testing.T) {
	s, addr := start(t)
	c := service.New()
	lookup := service.Call{Method: http.MethodGet, Path: fake.PathStock + "rope"}
	if _, err := c.Call(t.Context(), addr, lookup); err != nil { // leaves an idle connection in the pool
		t.Fatal(err)
	}
	s.SetFaults(fake.Faults{LoseEvery: 1})
	if _, err := c.Call(t.Context(), addr, booking("k1")); !errors.Is(err, service.ErrOutcomeUnknown) {
		t.Errorf("call: got %v, want %v", err, service.ErrOutcomeUnknown)
	}
	if got, want := s.Runs()["b1"], 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

func TestCallToClosedListenerIsNotSent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := fake.New()
	addr, err := s.Listen(ctx, loopback)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	c := service.New()
	for range 100 { // until the listener is closed
		_, err = c.Call(t.Context(), addr, booking("k1"))
		if errors.Is(err, service.ErrNotSent) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("call: got %v, want %v", err, service.ErrNotSent)
}

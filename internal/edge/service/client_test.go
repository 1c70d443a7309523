package service_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"ebonyferry/internal/edge/service"
)

// A service that does not report outcomes may answer any path with its own page, which is not an outcome.
func TestFetchOutcomeAcceptsOnlyOutcomes(t *testing.T) {
	tests := []struct {
		name, body string
		want       error
	}{
		{"outcome", `{"status":201,"body":"b2s="}`, nil},
		{"running", `{"running":true}`, service.ErrOutcomeUnknown},
		{"empty object", `{}`, service.ErrOutcomeUnavailable},
		{"other object", `{"ok":true}`, service.ErrOutcomeUnavailable},
		{"null", `null`, service.ErrOutcomeUnavailable},
		{"status that no answer has", `{"status":42}`, service.ErrOutcomeUnavailable},
		{"text", `welcome`, service.ErrOutcomeUnavailable},
	}
	for _, tt := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(tt.body))
		}))
		addr := netip.MustParseAddrPort(server.Listener.Addr().String())
		if _, got := service.New().FetchOutcome(t.Context(), addr, "k"); !errors.Is(got, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
		server.Close()
	}
}

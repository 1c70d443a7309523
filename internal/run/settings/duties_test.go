package settings

import (
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// Guards against nodes that do not start where the platform has no duties, and against duties with fields that do not apply.
func TestWithDuties(t *testing.T) {
	tests := []struct {
		name, text string
		wantErr    bool
		wantSet    bool
	}{
		{"all fields", "addr=10.0.0.3:80 held=usage,scaling callsPerSecond=50.0 leaseTtl=3000ms reportWindow=5s reportDue=10s reportTolerance=0.05", false, true},
		{"no text", "", false, false},
		{"platform without duties", "addr= held= callsPerSecond= leaseTtl=ms reportWindow=s reportDue=s reportTolerance=", false, false},
		{"placeholders not filled in", "addr={{a.b}} held={{a.c}} leaseTtl={{a.d}}ms", false, false},
		{"no address", "addr=x held=usage", true, false},
		{"unknown duty", "addr=10.0.0.3:80 held=weather", true, false},
		{"unknown field", "addr=10.0.0.3:80 holds=usage", true, false},
		{"no field", "addr=10.0.0.3:80 usage", true, false},
		{"lease too short", "addr=10.0.0.3:80 held=usage leaseTtl=10ms", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := Default().WithDuties(tt.text)
			if got := errors.Is(err, ErrDuties); got != tt.wantErr {
				t.Fatalf("error: got %v, want an error: %v", err, tt.wantErr)
			}
			if got := s.Duties.IsSet(); got != tt.wantSet {
				t.Errorf("duties are set: got %v, want %v", got, tt.wantSet)
			}
		})
	}
	s, err := Default().WithDuties(tests[0].text)
	d := s.Duties
	if err != nil || !slices.Equal(d.Held, []string{DutyUsage, DutyScaling}) || d.LeaseTTL.Duration != 3*time.Second || d.ReportWindow.Duration != 5*time.Second ||
		d.ReportDue.Duration != 10*time.Second || d.ReportTolerance != 0.05 || d.CallsPerSecond != 50 || d.Addr.Port() != 80 {
		t.Errorf("all fields: got %+v, %v", d, err)
	}
}

// Guards against defaults that cannot be written to a settings file: nodes of the soak did not start.
func TestDefaultsCanBeWritten(t *testing.T) {
	s := Default()
	s.Node = Node{Name: "n1", Region: "r", FailureDomain: "x", Peers: []netip.AddrPort{}}
	addr := netip.MustParseAddrPort("127.0.0.1:80")
	s.Listen.Callers, s.Listen.Nodes, s.Platform.Addrs = addr, netip.MustParseAddrPort("127.0.0.1:81"), []netip.AddrPort{addr}
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse(data); err != nil {
		t.Errorf("defaults written as JSON: got %v, want valid settings", err)
	}
}

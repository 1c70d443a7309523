package quarantine_test

import (
	"testing"
	"time"

	"ebonyferry/internal/core/quarantine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// registry is a Registry with a clock that advances by a minute per crash.
type registry struct {
	*quarantine.Registry
	now time.Time
}

func newRegistry() *registry { return &registry{quarantine.New(64), start} }

func (r *registry) crash(server string, fingerprints ...uint64) []quarantine.Entry {
	r.now = r.now.Add(time.Minute)
	return r.RecordCrash(crashOf(server, r.now, fingerprints...), r.now)
}

func crashOf(server string, at time.Time, fingerprints ...uint64) quarantine.Crash {
	c := quarantine.Crash{Server: server, At: at}
	for _, fp := range fingerprints {
		c.InFlight = append(c.InFlight, quarantine.InFlightRequest{Fingerprint: fp})
	}
	return c
}

func TestStatus(t *testing.T) {
	const poison, bystander, other = 1, 2, 3
	tests := []struct {
		name              string
		do                func(*registry)
		poison, bystander quarantine.Status
	}{
		{"first crash", func(r *registry) { r.crash("s1", poison, bystander) }, quarantine.Suspect, quarantine.Suspect},
		{"second crash with new bystanders", func(r *registry) {
			r.crash("s1", poison, bystander)
			r.crash("s2", poison, other)
		}, quarantine.Quarantined, quarantine.Suspect},
		{"one crash seen by two nodes", func(r *registry) {
			r.RecordCrash(crashOf("s1", r.now, poison), r.now)
			r.RecordCrash(crashOf("s1", r.now.Add(time.Second), poison), r.now)
		}, quarantine.Suspect, quarantine.Unsuspected},
		{"two suspects on one server", func(r *registry) {
			r.crash("s1", poison, bystander)
			r.crash("s2", poison, bystander)
		}, quarantine.Suspect, quarantine.Suspect},
		{"cleared bystander beside the suspect", func(r *registry) {
			r.crash("s1", poison, bystander)
			r.Clear(bystander)
			r.crash("s2", poison, bystander)
		}, quarantine.Quarantined, quarantine.Unsuspected},
		{"cleared request, second crash", func(r *registry) {
			r.crash("s1", poison)
			r.Clear(poison)
			r.crash("s2", poison)
		}, quarantine.Suspect, quarantine.Unsuspected},
		{"cleared request, third crash", func(r *registry) {
			r.crash("s1", poison)
			r.Clear(poison)
			r.crash("s2", poison)
			r.Clear(poison)
			r.crash("s3", poison)
		}, quarantine.Quarantined, quarantine.Unsuspected},
		{"crashes that other nodes saw", func(r *registry) {
			r.RecordRemoteCrash(crashOf("s1", r.now, poison), r.now)
			r.RecordRemoteCrash(crashOf("s2", r.now.Add(time.Minute), poison), r.now)
		}, quarantine.Suspect, quarantine.Unsuspected},
		{"crash with another cause", func(r *registry) {
			r.crash("s1", poison, bystander)
			r.RetractCrash(crashOf("s1", r.now, poison, bystander))
		}, quarantine.Unsuspected, quarantine.Unsuspected},
		{"released, then a late verdict", func(r *registry) {
			r.crash("s1", poison)
			v := r.crash("s2", poison)[0]
			r.Release(poison, r.now)
			r.Merge(v, r.now)
		}, quarantine.Unsuspected, quarantine.Unsuspected},
		{"expired", func(r *registry) {
			r.crash("s1", poison)
			r.crash("s2", poison)
			r.now = r.now.Add(48 * time.Hour)
		}, quarantine.Unsuspected, quarantine.Unsuspected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRegistry()
			tt.do(r)
			if got, want := r.Status(poison, r.now), tt.poison; got != want {
				t.Errorf("crashing request: got %v, want %v", got, want)
			}
			if got, want := r.Status(bystander, r.now), tt.bystander; got != want {
				t.Errorf("bystander: got %v, want %v", got, want)
			}
		})
	}
}

func TestVerdictsOutlastSuspectsWhenFull(t *testing.T) {
	r := newRegistry()
	r.crash("s1", 1)
	r.crash("s2", 1)
	for fp := range uint64(1000) {
		r.RecordRemoteCrash(crashOf("s3", r.now, fp+10), r.now)
	}
	if got, want := r.Len(), 64; got > want {
		t.Errorf("entries: got %d, want at most %d", got, want)
	}
	if got, want := r.Status(1, r.now), quarantine.Quarantined; got != want {
		t.Errorf("verdict: got %v, want %v", got, want)
	}
}

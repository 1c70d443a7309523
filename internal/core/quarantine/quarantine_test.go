package quarantine_test

import (
	"testing"
	"time"

	"ebonyferry/internal/core/quarantine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// book is a book with a clock that moves by a minute per crash.
type book struct {
	*quarantine.Registry
	now time.Time
}

func newBook() *book { return &book{quarantine.New(64), start} }

func (b *book) crash(server string, fingerprints ...uint64) []quarantine.Entry {
	b.now = b.now.Add(time.Minute)
	return b.RecordCrash(crashOf(server, b.now, fingerprints...), b.now)
}

func crashOf(server string, at time.Time, fingerprints ...uint64) quarantine.Crash {
	c := quarantine.Crash{Server: server, At: at}
	for _, fp := range fingerprints {
		c.InFlight = append(c.InFlight, quarantine.InFlightRequest{Fingerprint: fp})
	}
	return c
}

func TestStanding(t *testing.T) {
	const poison, bystander, other = 1, 2, 3
	tests := []struct {
		name             string
		do               func(*book)
		poison, innocent quarantine.Status
	}{
		{"first crash", func(b *book) { b.crash("s1", poison, bystander) }, quarantine.Suspect, quarantine.Suspect},
		{"second crash with new bystanders", func(b *book) {
			b.crash("s1", poison, bystander)
			b.crash("s2", poison, other)
		}, quarantine.Quarantined, quarantine.Suspect},
		{"one crash seen by two nodes", func(b *book) {
			b.RecordCrash(crashOf("s1", b.now, poison), b.now)
			b.RecordCrash(crashOf("s1", b.now.Add(time.Second), poison), b.now)
		}, quarantine.Suspect, quarantine.Unsuspected},
		{"two suspects on one server", func(b *book) {
			b.crash("s1", poison, bystander)
			b.crash("s2", poison, bystander)
		}, quarantine.Suspect, quarantine.Suspect},
		{"cleared bystander beside the suspect", func(b *book) {
			b.crash("s1", poison, bystander)
			b.Clear(bystander)
			b.crash("s2", poison, bystander)
		}, quarantine.Quarantined, quarantine.Unsuspected},
		{"cleared request, second crash", func(b *book) {
			b.crash("s1", poison)
			b.Clear(poison)
			b.crash("s2", poison)
		}, quarantine.Suspect, quarantine.Unsuspected},
		{"cleared request, third crash", func(b *book) {
			b.crash("s1", poison)
			b.Clear(poison)
			b.crash("s2", poison)
			b.Clear(poison)
			b.crash("s3", poison)
		}, quarantine.Quarantined, quarantine.Unsuspected},
		{"crashes that others saw", func(b *book) {
			b.RecordRemoteCrash(crashOf("s1", b.now, poison), b.now)
			b.RecordRemoteCrash(crashOf("s2", b.now.Add(time.Minute), poison), b.now)
		}, quarantine.Suspect, quarantine.Unsuspected},
		{"acquitted", func(b *book) {
			b.crash("s1", poison, bystander)
			b.RetractCrash(crashOf("s1", b.now, poison, bystander))
		}, quarantine.Unsuspected, quarantine.Unsuspected},
		{"released, then a late verdict", func(b *book) {
			b.crash("s1", poison)
			v := b.crash("s2", poison)[0]
			b.Release(poison, b.now)
			b.Merge(v, b.now)
		}, quarantine.Unsuspected, quarantine.Unsuspected},
		{"expired", func(b *book) {
			b.crash("s1", poison)
			b.crash("s2", poison)
			b.now = b.now.Add(48 * time.Hour)
		}, quarantine.Unsuspected, quarantine.Unsuspected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBook()
			tt.do(b)
			if got, want := b.Status(poison, b.now), tt.poison; got != want {
				t.Errorf("crashing request: got %v, want %v", got, want)
			}
			if got, want := b.Status(bystander, b.now), tt.innocent; got != want {
				t.Errorf("bystander: got %v, want %v", got, want)
			}
		})
	}
}

func TestVerdictsOutlastSuspectsWhenFull(t *testing.T) {
	b := newBook()
	b.crash("s1", 1)
	b.crash("s2", 1)
	for fp := range uint64(1000) {
		b.RecordRemoteCrash(crashOf("s3", b.now, fp+10), b.now)
	}
	if got, want := b.Len(), 64; got > want {
		t.Errorf("entries: got %d, want at most %d", got, want)
	}
	if got, want := b.Status(1, b.now), quarantine.Quarantined; got != want {
		t.Errorf("verdict: got %v, want %v", got, want)
	}
}

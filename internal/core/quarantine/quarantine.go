// Package quarantine finds requests that crash the backend servers that run them.
//
// A request is known by its fingerprint. One that was in flight at a crash becomes a suspect; a second
// crash with it in flight quarantines it. A server may lose many requests at once though only one is to blame,
// so a suspect is run on a server without other suspects: a second crash then condemns one request, and the
// others on that server become suspects only. A suspect that runs on past a probation is cleared: it no
// longer runs alone, and only a third crash condemns it.
package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Standing is what is known of a fingerprint.
type Status int

// The standings of a fingerprint.
const (
	Unsuspected Status = iota
	Suspect
	Quarantined
)

const (
	defaultMaxEntries = 8192
	suspectLife       = 15 * time.Minute
	quarantineLife    = 24 * time.Hour
	crashesToCondemn  = 2
	clearedToCondemn  = 3
	// Two reports of a crash of the same server within this time are one crash seen by two nodes.
	sameCrash = 3 * time.Second
)

// Entry is what is kept of one fingerprint.
type Entry struct {
	Fingerprint uint64    `json:"fingerprint"`
	Account     string    `json:"account,omitempty"`
	Crashes     int       `json:"crashes"`
	Server      string    `json:"server"` // of the last crash
	CrashedAt   time.Time `json:"crashedAt"`
	Cleared     bool      `json:"cleared,omitempty"` // has run past its probation since the last crash
	Quarantined bool      `json:"quarantined"`
	Released    bool      `json:"released,omitempty"` // by an operator
	Expires     time.Time `json:"expires"`
}

// Flight is one request that was running on a server when it crashed.
type InFlightRequest struct {
	Fingerprint uint64 `json:"fingerprint"`
	Account     string `json:"account,omitempty"`
}

// Crash is one crash of a server with the requests in flight there, as one node saw it.
type Crash struct {
	Server   string            `json:"server"`
	At       time.Time         `json:"at"`
	InFlight []InFlightRequest `json:"flights"`
}

// Book keeps suspects and verdicts. It has one owner.
type Registry struct {
	entries map[uint64]*Entry // at most maxEntries
	max     int
}

// New returns an empty book that keeps at most maxEntries fingerprints; zero means the default.
func New(maxEntries int) *Registry {
	if maxEntries <= 0 {
		maxEntries = defaultMaxEntries
	}
	return &Registry{entries: make(map[uint64]*Entry), max: maxEntries}
}

// Standing returns what is known of a fingerprint.
func (b *Registry) Status(fingerprint uint64, now time.Time) Status {
	e := b.entries[fingerprint]
	switch {
	case e == nil || e.Released || !now.Before(e.Expires):
		return Unsuspected
	case e.Quarantined:
		return Quarantined
	case e.Cleared:
		return Unsuspected
	}
	return Suspect
}

// Crash records a crash and returns the fingerprints that it condemned. Of several suspects in flight none is
// condemned, since all but one are bystanders; beside a suspect, a cleared request is a bystander.
func (b *Registry) RecordCrash(c Crash, now time.Time) []Entry {
	var suspects, cleared []*Entry
	for _, f := range c.InFlight {
		e := b.entries[f.Fingerprint]
		switch {
		case e == nil || !now.Before(e.Expires):
			b.put(f, c, now)
		case e.Released || e.Quarantined:
		case e.Server == c.Server && c.At.Sub(e.CrashedAt).Abs() < sameCrash:
			// The same crash reported by another node.
		case e.Cleared:
			cleared = append(cleared, e)
		default:
			suspects = append(suspects, e)
		}
	}
	if len(suspects) > 0 {
		return condemn(suspects, crashesToCondemn, c, now)
	}
	return condemn(cleared, clearedToCondemn, c, now)
}

// Note records a crash that another node saw. It makes suspects and condemns nothing: the node that ran a
// request knows best whether it had been cleared.
func (b *Registry) RecordRemoteCrash(c Crash, now time.Time) {
	for _, f := range c.InFlight {
		if e := b.entries[f.Fingerprint]; e == nil || !now.Before(e.Expires) {
			b.put(f, c, now)
		}
	}
}

// Condemn counts a crash for each entry, and quarantines the entry when it is the only one and was in flight
// at as many crashes as given.
func condemn(entries []*Entry, crashes int, c Crash, now time.Time) []Entry {
	for _, e := range entries {
		e.Crashes++
		e.Server, e.CrashedAt, e.Cleared = c.Server, c.At, false
		e.Expires = now.Add(suspectLife)
	}
	if len(entries) != 1 || entries[0].Crashes < crashes {
		return nil
	}
	entries[0].Quarantined = true
	entries[0].Expires = now.Add(quarantineLife)
	return []Entry{*entries[0]}
}

// Acquit forgets those flights of a crash that were in no other, since the crash turned out not to be theirs.
func (b *Registry) RetractCrash(c Crash) {
	for _, f := range c.InFlight {
		e := b.entries[f.Fingerprint]
		if e != nil && e.Crashes == 1 && e.Server == c.Server && !e.Quarantined {
			delete(b.entries, f.Fingerprint)
		}
	}
}

func (b *Registry) put(f InFlightRequest, c Crash, now time.Time) {
	if len(b.entries) >= b.max {
		b.makeRoom(now)
	}
	b.entries[f.Fingerprint] = &Entry{
		Fingerprint: f.Fingerprint, Account: f.Account, Crashes: 1,
		Server: c.Server, CrashedAt: c.At, Expires: now.Add(suspectLife),
	}
}

// Drops what has expired, and when that is not enough the entry that expires first; suspects expire before
// verdicts.
func (b *Registry) makeRoom(now time.Time) {
	var first *Entry
	for fp, e := range b.entries {
		if !now.Before(e.Expires) {
			delete(b.entries, fp)
			continue
		}
		if first == nil || e.Expires.Before(first.Expires) || (e.Expires.Equal(first.Expires) && fp < first.Fingerprint) {
			first = e
		}
	}
	if len(b.entries) >= b.max && first != nil {
		delete(b.entries, first.Fingerprint)
	}
}

// Clear ends the isolation of a suspect that ran past its probation. A verdict stays.
func (b *Registry) Clear(fingerprint uint64) {
	if e := b.entries[fingerprint]; e != nil && !e.Quarantined {
		e.Cleared = true
	}
}

// Merge takes a verdict or a release that another node or the store holds. A release ends a verdict, and a
// verdict does not end a release.
func (b *Registry) Merge(e Entry, now time.Time) {
	if !now.Before(e.Expires) {
		return
	}
	old := b.entries[e.Fingerprint]
	if old != nil && old.Released && !e.Released {
		return
	}
	if old == nil && len(b.entries) >= b.max {
		b.makeRoom(now)
	}
	b.entries[e.Fingerprint] = &e
}

// Release ends a verdict on the order of an operator and reports whether there was one.
func (b *Registry) Release(fingerprint uint64, now time.Time) (Entry, bool) {
	e := b.entries[fingerprint]
	if e == nil || !e.Quarantined || e.Released {
		return Entry{}, false
	}
	e.Released = true
	e.Expires = now.Add(suspectLife)
	return *e, true
}

// List returns the verdicts in force, oldest crash first.
func (b *Registry) List(now time.Time) []Entry {
	var all []Entry
	for fp, e := range b.entries {
		if b.Status(fp, now) == Quarantined {
			all = append(all, *e)
		}
	}
	slices.SortFunc(all, func(a, b Entry) int {
		return cmp.Or(a.CrashedAt.Compare(b.CrashedAt), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return all
}

// Len returns the number of fingerprints kept.
func (b *Registry) Len() int { return len(b.entries) }

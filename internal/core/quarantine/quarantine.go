// Package quarantine finds requests that crash the backend servers that run them.
//
// A fingerprint identifies a request. A request in flight at a crash becomes a suspect, and a second crash with it
// in flight quarantines it. A crash interrupts many requests, of which only one may have caused it. The scheduler
// therefore runs at most one suspect on a server: a second crash then quarantines that request, and the others on the
// server only become suspects. A suspect that keeps running past a probation is cleared: it may share a server with
// other suspects, and only a third crash quarantines it.
//
// A [Registry] holds suspects and verdicts, which are the quarantined entries. An operator can release one. Nodes
// report crashes to each other and merge each other's verdicts.
package quarantine

import (
	"cmp"
	"reflect"
	"slices"
	"time"
)

// Status says whether and how a request with a fingerprint may run.
type Status int

// The statuses of a fingerprint.
const (
	Unsuspected Status = iota // never in flight at a crash, cleared, released or expired
	Suspect                   // may run, but not beside another suspect
	Quarantined               // must not run
)

const (
	defaultMaxEntries          = 8192
	suspectLifetime            = 15 * time.Minute
	quarantineLifetime         = 24 * time.Hour
	crashesToQuarantine        = 2
	crashesToQuarantineCleared = 3
	// Two reports of a crash of the same server within sameCrashWindow are one crash that two nodes saw.
	sameCrashWindow = 3 * time.Second
)

// Entry records the crashes and the verdict of one fingerprint.
type Entry struct {
	Fingerprint uint64    `json:"fingerprint"`
	Parts       []uint64  `json:"parts,omitempty"` // if set, all requests with these parts are meant, and Fingerprint is that of the parts
	Account     string    `json:"account,omitempty"`
	Crashes     int       `json:"crashes"`
	Server      string    `json:"server"` // at the last crash
	CrashedAt   time.Time `json:"crashedAt"`
	Cleared     bool      `json:"cleared,omitempty"` // ran past its probation since the last crash
	Quarantined bool      `json:"quarantined"`
	Released    bool      `json:"released,omitempty"` // by an operator
	Expires     time.Time `json:"expires"`
}

// Equal reports whether two entries are the same.
func (e Entry) Equal(o Entry) bool {
	parts := slices.Equal(e.Parts, o.Parts)
	e.Parts, o.Parts = nil, nil
	return parts && reflect.DeepEqual(e, o)
}

// InFlightRequest is a request that was running on a server when the server crashed.
type InFlightRequest struct {
	Fingerprint uint64 `json:"fingerprint"`
	Account     string `json:"account,omitempty"`
}

// Crash is a crash of a server, with the requests that one node had in flight there.
type Crash struct {
	Server   string            `json:"server"`
	At       time.Time         `json:"at"`
	InFlight []InFlightRequest `json:"flights"`
	Begun    []PartCrash       `json:"begun,omitempty"` // the requests in flight whose answers had just begun, or not yet
}

// Registry holds suspects and verdicts. It is not safe for concurrent use.
type Registry struct {
	entries map[uint64]*Entry // at most max
	max     int
}

// New returns an empty registry of at most maxEntries fingerprints; zero means the default.
func New(maxEntries int) *Registry {
	if maxEntries <= 0 {
		maxEntries = defaultMaxEntries
	}
	return &Registry{entries: make(map[uint64]*Entry), max: maxEntries}
}

// Status returns the status of a fingerprint.
func (r *Registry) Status(fingerprint uint64, now time.Time) Status {
	e := r.entries[fingerprint]
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

// RecordCrash records a crash that this node saw and returns the entries that it quarantined. With several suspects
// in flight it quarantines none, because all but one are bystanders. Beside a suspect, a cleared request counts as a
// bystander.
func (r *Registry) RecordCrash(c Crash, now time.Time) []Entry {
	var suspects, cleared []*Entry
	for _, f := range c.InFlight {
		e := r.entries[f.Fingerprint]
		switch {
		case e == nil || !now.Before(e.Expires):
			r.put(f, c, now)
		case e.Released || e.Quarantined:
		case e.Server == c.Server && c.At.Sub(e.CrashedAt).Abs() < sameCrashWindow:
			// Another node reported the same crash before.
		case e.Cleared:
			cleared = append(cleared, e)
		default:
			suspects = append(suspects, e)
		}
	}
	if len(suspects) > 0 {
		return countCrash(suspects, crashesToQuarantine, c, now)
	}
	return countCrash(cleared, crashesToQuarantineCleared, c, now)
}

// RecordRemoteCrash records a crash that another node saw. It adds suspects but quarantines none, because only the
// node that ran a request knows whether it was cleared.
func (r *Registry) RecordRemoteCrash(c Crash, now time.Time) {
	for _, f := range c.InFlight {
		if e := r.entries[f.Fingerprint]; e == nil || !now.Before(e.Expires) {
			r.put(f, c, now)
		}
	}
}

// countCrash counts a crash for each entry. If there is only one entry and it was in flight at the given number of
// crashes, it quarantines the entry.
func countCrash(entries []*Entry, crashes int, c Crash, now time.Time) []Entry {
	for _, e := range entries {
		e.Crashes++
		e.Server, e.CrashedAt, e.Cleared = c.Server, c.At, false
		e.Expires = now.Add(suspectLifetime)
	}
	if len(entries) != 1 || entries[0].Crashes < crashes {
		return nil
	}
	entries[0].Quarantined = true
	entries[0].Expires = now.Add(quarantineLifetime)
	return []Entry{*entries[0]}
}

// RetractCrash removes the suspects that only this crash made, after the crash proved to have another cause.
func (r *Registry) RetractCrash(c Crash) {
	for _, f := range c.InFlight {
		e := r.entries[f.Fingerprint]
		if e != nil && e.Crashes == 1 && e.Server == c.Server && !e.Quarantined {
			delete(r.entries, f.Fingerprint)
		}
	}
}

func (r *Registry) put(f InFlightRequest, c Crash, now time.Time) {
	if len(r.entries) >= r.max {
		r.evict(now)
	}
	r.entries[f.Fingerprint] = &Entry{
		Fingerprint: f.Fingerprint, Account: f.Account, Crashes: 1,
		Server: c.Server, CrashedAt: c.At, Expires: now.Add(suspectLifetime),
	}
}

// evict drops the expired entries and, if there are none, the entry that expires first. Suspects expire before
// verdicts.
func (r *Registry) evict(now time.Time) {
	var first *Entry
	for fp, e := range r.entries {
		if !now.Before(e.Expires) {
			delete(r.entries, fp)
			continue
		}
		if first == nil || e.Expires.Before(first.Expires) || (e.Expires.Equal(first.Expires) && fp < first.Fingerprint) {
			first = e
		}
	}
	if len(r.entries) >= r.max && first != nil {
		delete(r.entries, first.Fingerprint)
	}
}

// Released reports whether an operator has released a fingerprint.
func (r *Registry) Released(fingerprint uint64, now time.Time) bool {
	e := r.entries[fingerprint]
	return e != nil && e.Released && now.Before(e.Expires)
}

// Clear marks a suspect as cleared after it ran past its probation. A verdict stays.
func (r *Registry) Clear(fingerprint uint64) {
	if e := r.entries[fingerprint]; e != nil && !e.Quarantined {
		e.Cleared = true
	}
}

// Merge adds a verdict or a release from another node or the store. A release ends a verdict, but a verdict does
// not end a release.
func (r *Registry) Merge(e Entry, now time.Time) {
	if !now.Before(e.Expires) {
		return
	}
	old := r.entries[e.Fingerprint]
	if old != nil && old.Released && !e.Released {
		return
	}
	if old == nil && len(r.entries) >= r.max {
		r.evict(now)
	}
	r.entries[e.Fingerprint] = &e
}

// Release ends a verdict at an operator's request and reports whether there was one.
func (r *Registry) Release(fingerprint uint64, now time.Time) (Entry, bool) {
	e := r.entries[fingerprint]
	if e == nil || !e.Quarantined || e.Released {
		return Entry{}, false
	}
	e.Released = true
	e.Expires = now.Add(suspectLifetime)
	return *e, true
}

// List returns the quarantined entries, oldest crash first.
func (r *Registry) List(now time.Time) []Entry {
	var all []Entry
	for fp, e := range r.entries {
		if r.Status(fp, now) == Quarantined {
			all = append(all, *e)
		}
	}
	slices.SortFunc(all, func(a, b Entry) int {
		return cmp.Or(a.CrashedAt.Compare(b.CrashedAt), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return all
}

// Len returns the number of fingerprints in the registry.
func (r *Registry) Len() int { return len(r.entries) }

// This file finds the part of requests that crashes the backend servers which begin to answer them.

package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PartCrash is a request that was lost in a crash of its server, which had just begun to answer it or had not begun. One request
// causes a crash, the others lost in it do not. The parts of a request are what other requests may share with it, such as
// sections of a prompt, and the request as a whole.
type PartCrash struct {
	ID     string    `json:"id"`     // of the request at this server
	Server string    `json:"server"` // process that crashed; empty if unknown
	At     time.Time `json:"at"`
	Parts  []uint64  `json:"parts"` // without duplicates
}

// crash identifies the crash in which the request was lost.
func (c PartCrash) crash() string { return cmp.Or(c.Server, c.ID) }

// PartVerdict says that requests with all of some parts must not run. They are several if all crashes share them, so that a
// request with one of them shows which it is.
type PartVerdict struct {
	Parts   []uint64  // sorted, not empty
	Crashes int       // that the parts explain
	Until   time.Time // requests with the parts are tried again from then on
}

// appliesTo reports whether a request with the given parts has all parts of the verdict.
func (v PartVerdict) appliesTo(parts []uint64) bool {
	return !slices.ContainsFunc(v.Parts, func(part uint64) bool { return !slices.Contains(parts, part) })
}

// Entry returns the verdict in the form that nodes exchange, store and show to operators. Server is that of the last crash.
func (v PartVerdict) Entry(server string, now time.Time) Entry {
	return Entry{
		Fingerprint: v.Fingerprint(), Parts: v.Parts, Crashes: v.Crashes, Server: server, CrashedAt: now,
		Quarantined: true, Expires: v.Until,
	}
}

// Fingerprint identifies the parts of a verdict. It is the fingerprint of no request.
func (v PartVerdict) Fingerprint() uint64 { return xxhash.Sum64String("parts " + v.key()) }

// key identifies the parts of a verdict.
func (v PartVerdict) key() string { return fmt.Sprint(v.Parts) }

const (
	// partCrashes is the number of crashes after which a part is judged.
	partCrashes = 3
	// partCrashesJoint is that number for a part that was quarantined together with others.
	partCrashesJoint = 2
	// sameMoment is the time within which crashes may have one cause outside of the servers. They count as one.
	sameMoment = 30 * time.Millisecond
	// partMemory is how long a crash counts.
	partMemory = 15 * time.Minute
	// firstQuarantine is how long a verdict lasts. After it, one crash of a request with a part that was quarantined alone
	// quarantines the part again, for twice as long.
	firstQuarantine = 5 * time.Minute
	maxQuarantine   = 24 * time.Hour
	maxPartCrashes  = 512 // remembered; the oldest are dropped
	maxPartVerdicts = 256 // remembered; those that ended first are dropped
)

// Parts holds the evidence against parts of requests and the verdicts. A part that crashes every server never gets past the
// beginning of an answer, so any answer past its beginning since the first of its crashes clears it. Of the parts that several
// crashes share, those in most of them explain these crashes. Parts is not safe for concurrent use.
type Parts struct {
	crashes  []PartCrash            // oldest first
	seen     map[string]bool        // IDs of crashes
	inCrash  map[uint64]int         // number of crashes by part
	passed   map[uint64]time.Time   // latest known answer past its beginning; the keys are in inCrash
	verdicts map[string]partVerdict // by key
}

type partVerdict struct {
	PartVerdict
	duration time.Duration
}

// NewParts returns an empty Parts.
func NewParts() *Parts {
	return &Parts{
		seen: make(map[string]bool), inCrash: make(map[uint64]int), passed: make(map[uint64]time.Time),
		verdicts: make(map[string]partVerdict),
	}
}

// RecordCrash records a crash, and reports whether it is new.
func (p *Parts) RecordCrash(c PartCrash) bool {
	if p.seen[c.ID] || len(c.Parts) == 0 {
		return false
	}
	p.seen[c.ID] = true
	at, _ := slices.BinarySearchFunc(p.crashes, c.At, func(o PartCrash, t time.Time) int { return o.At.Compare(t) })
	p.crashes = slices.Insert(p.crashes, at, c)
	for _, part := range c.Parts {
		p.inCrash[part]++
	}
	p.forget(c.At)
	return true
}

// forget drops what no longer counts.
func (p *Parts) forget(now time.Time) {
	n := max(0, len(p.crashes)-maxPartCrashes)
	for n < len(p.crashes) && now.Sub(p.crashes[n].At) > partMemory {
		n++
	}
	if n == 0 {
		return
	}
	for _, c := range p.crashes[:n] {
		delete(p.seen, c.ID)
		for _, part := range c.Parts {
			if p.inCrash[part]--; p.inCrash[part] == 0 {
				delete(p.inCrash, part)
				delete(p.passed, part)
			}
		}
	}
	p.crashes = slices.Clone(p.crashes[n:])
}

// Len returns the number of crashes, and of parts with the time of an answer, that are remembered.
func (p *Parts) Len() (crashes, answered int) { return len(p.crashes), len(p.passed) }

// RecordPass records that an answer to a request with a part got past its beginning. Only answers after a crash matter.
func (p *Parts) RecordPass(part uint64, at time.Time) {
	if p.inCrash[part] > 0 && at.After(p.passed[part]) {
		p.passed[part] = at
	}
}

// Suspected reports whether a request with one of the parts was lost in a crash of another server than the given one, and no later
// answer speaks against the part. Such a request should not begin at a second server after it lost its first.
func (p *Parts) Suspected(parts []uint64, server string) bool {
	for _, c := range p.crashes {
		if c.Server != server && slices.ContainsFunc(c.Parts, func(part uint64) bool {
			return slices.Contains(parts, part) && c.At.After(p.passed[part])
		}) {
			return true
		}
	}
	return false
}

// Query is a part that may be quarantined unless a node knows of an answer with it since a time.
type Query struct {
	Part  uint64
	Since time.Time
}

// Queries returns the parts in so many crashes that they could be quarantined, each with the time of its first crash or, if that is
// earlier, of the end of its last verdict. None is returned while no part is in enough crashes.
func (p *Parts) Queries(now time.Time) []Query {
	var list []Query
	due := false
	for part, at := range p.unexplained(now) {
		due = due || moments(at) >= p.threshold(part)
		if moments(at) > 1 || p.threshold(part) < partCrashes {
			list = append(list, Query{part, p.since(part, at[0])})
		}
	}
	if !due {
		return nil
	}
	slices.SortFunc(list, func(a, b Query) int { return cmp.Compare(a.Part, b.Part) })
	return list
}

// since returns the time from which answers with a part count if its first crash was at the given time.
func (p *Parts) since(part uint64, crash time.Time) time.Time {
	for _, v := range p.verdicts {
		if slices.Contains(v.Parts, part) && v.Until.Before(crash) {
			crash = v.Until
		}
	}
	return crash
}

// threshold returns the number of crashes after which a part is judged. Earlier verdicts lower it, unless an answer since their end
// shows that the part was not the cause.
func (p *Parts) threshold(part uint64) int {
	least := partCrashes
	for _, v := range p.verdicts {
		switch {
		case !slices.Contains(v.Parts, part) || p.passed[part].After(v.Until):
		case len(v.Parts) == 1:
			return 1
		default:
			least = partCrashesJoint
		}
	}
	return least
}

// unexplained returns the times of the crashes of each part since the last answer with it, oldest first. It leaves out crashes
// that a verdict explains: then the other requests lost in them did not cause them.
func (p *Parts) unexplained(now time.Time) map[uint64][]time.Time {
	explained := make(map[string]bool)
	for _, c := range p.crashes {
		explained[c.crash()] = explained[c.crash()] || p.explained(c, now)
	}
	type partOf struct {
		part  uint64
		crash string
	}
	counted := make(map[partOf]bool)
	began := make(map[string]time.Time) // of the crash
	at := make(map[uint64][]time.Time)
	for _, c := range p.crashes {
		if explained[c.crash()] {
			continue
		}
		if _, ok := began[c.crash()]; !ok {
			began[c.crash()] = c.At
		}
		for _, part := range c.Parts {
			key := partOf{part, c.crash()}
			if c.At.After(p.passed[part]) && !counted[key] {
				counted[key] = true
				at[part] = append(at[part], began[c.crash()])
			}
		}
	}
	for _, times := range at {
		slices.SortFunc(times, time.Time.Compare)
	}
	return at
}

// explained reports whether a verdict explains the crash that lost a request: it is in force, or was when the request ran.
func (p *Parts) explained(c PartCrash, now time.Time) bool {
	for _, v := range p.verdicts {
		if v.appliesTo(c.Parts) && (now.Before(v.Until) || !c.At.After(v.Until)) {
			return true
		}
	}
	return false
}

// moments returns the number of times that are at least sameMoment apart.
func moments(at []time.Time) int {
	n := 0
	var last time.Time
	for _, t := range at {
		if n == 0 || t.Sub(last) >= sameMoment {
			n, last = n+1, t
		}
	}
	return n
}

// Judge quarantines the parts that explain the crashes, and returns the new verdicts. The caller has asked all nodes the
// queries and recorded the answers; no other part is quarantined.
func (p *Parts) Judge(asked []Query, now time.Time) []PartVerdict {
	var verdicts []PartVerdict
	for {
		groups, crashes := p.mostInCrashes(now)
		if len(groups) == 0 || !containsAll(asked, slices.Concat(groups...)) {
			return verdicts
		}
		for _, parts := range groups {
			verdicts = append(verdicts, p.quarantine(parts, crashes, now))
		}
	}
}

func containsAll(asked []Query, parts []uint64) bool {
	return !slices.ContainsFunc(parts, func(part uint64) bool {
		return !slices.ContainsFunc(asked, func(q Query) bool { return q.Part == part })
	})
}

// mostInCrashes returns the parts in the most crashes that no verdict explains, if they are in enough of them. Parts that are in the
// same requests form one group. Of several groups, any may be the cause.
func (p *Parts) mostInCrashes(now time.Time) (groups [][]uint64, crashes int) {
	unexplained := p.unexplained(now)
	var most []time.Time
	for _, part := range slices.Sorted(maps.Keys(unexplained)) {
		at := unexplained[part]
		if n := moments(at); n >= p.threshold(part) && n > crashes {
			most, crashes = at, n
		}
	}
	if crashes == 0 {
		return nil, 0
	}
	byRequests := make(map[string][]uint64)
	for part, at := range unexplained {
		if slices.Equal(at, most) && crashes >= p.threshold(part) {
			key := p.requestsWith(part)
			byRequests[key] = append(byRequests[key], part)
		}
	}
	for _, parts := range byRequests {
		slices.Sort(parts)
		groups = append(groups, parts)
	}
	slices.SortFunc(groups, slices.Compare[[]uint64])
	return groups, crashes
}

// requestsWith returns the IDs of the lost requests with a part since the last answer with it.
func (p *Parts) requestsWith(part uint64) string {
	var ids []string
	for _, c := range p.crashes {
		if c.At.After(p.passed[part]) && slices.Contains(c.Parts, part) {
			ids = append(ids, c.ID)
		}
	}
	return strings.Join(ids, " ")
}

func (p *Parts) quarantine(parts []uint64, crashes int, now time.Time) PartVerdict {
	v := PartVerdict{Parts: parts, Crashes: crashes}
	duration := firstQuarantine
	if old, ok := p.verdicts[v.key()]; ok {
		duration = min(2*old.duration, maxQuarantine)
	}
	v.Until = now.Add(duration)
	p.put(v, duration)
	return v
}

func (p *Parts) put(v PartVerdict, duration time.Duration) {
	p.verdicts[v.key()] = partVerdict{v, duration}
	if len(p.verdicts) <= maxPartVerdicts {
		return
	}
	first := slices.MinFunc(slices.Collect(maps.Values(p.verdicts)), func(a, b partVerdict) int { return a.Until.Compare(b.Until) })
	delete(p.verdicts, first.key())
}

// Merge adds a verdict of another node, and reports whether it is new. The later end counts.
func (p *Parts) Merge(v PartVerdict, now time.Time) bool {
	v.Parts = slices.Compact(slices.Sorted(slices.Values(v.Parts)))
	if len(v.Parts) == 0 {
		return false // it would apply to all requests
	}
	old, ok := p.verdicts[v.key()]
	if ok && !v.Until.After(old.Until.Add(sameVerdict)) {
		return false
	}
	p.put(v, max(firstQuarantine, v.Until.Sub(now)))
	return true
}

// sameVerdict is the difference of two ends that the time between nodes explains.
const sameVerdict = 5 * time.Second

// Judged reports whether any verdict is known.
func (p *Parts) Judged() bool { return len(p.verdicts) > 0 }

// Quarantined returns the verdict on a request with these parts, and whether there is one.
func (p *Parts) Quarantined(parts []uint64, now time.Time) (PartVerdict, bool) {
	for _, v := range p.verdicts {
		if now.Before(v.Until) && v.appliesTo(parts) {
			return v.PartVerdict, true
		}
	}
	return PartVerdict{}, false
}

// Verdicts returns the verdicts in force, in order of their parts.
func (p *Parts) Verdicts(now time.Time) []PartVerdict {
	var list []PartVerdict
	for _, v := range p.verdicts {
		if now.Before(v.Until) {
			list = append(list, v.PartVerdict)
		}
	}
	slices.SortFunc(list, func(a, b PartVerdict) int { return slices.Compare(a.Parts, b.Parts) })
	return list
}

// This file defines the digest of the speeds of servers.

package exchange

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"time"

	"ebonyferry/internal/core/speed"
)

// speedEntry is one server in a digest: the tag of its start, its steady factor in hundredths, the age of the last
// observation in ms, the weight of the factor in tenths and, if the server is slow or fast at the moment, the momentary factor
// in hundredths and its age in ms.
type speedEntry []int

const (
	entryFields     = 4
	momentaryFields = 6
	// maxEntryFactor is the largest factor in hundredths, and maxEntryAge the largest age in ms, that a digest holds.
	maxEntryFactor = 10_000
	maxEntryAge    = 600_000
	maxEntryWeight = 10_000 // tenths
	// maxDigestServers is the number of servers beyond which a digest is malformed. Nodes send at most 64.
	maxDigestServers = 256
)

func encodeSpeed(s speed.Server, r speed.Report) speedEntry {
	round := func(f float64, most int) int { return min(most, max(0, int(math.Round(f)))) }
	e := speedEntry{
		int(tagged(s).Started), max(1, round(100*r.Factor, maxEntryFactor)), round(float64(r.Age.Milliseconds()), maxEntryAge),
		round(10*r.Weight, maxEntryWeight),
	}
	if r.Deviates() {
		e = append(e, max(1, round(100*r.Momentary, maxEntryFactor)), round(float64(r.MomentaryAge.Milliseconds()), maxEntryAge))
	}
	return e
}

// decode returns the report of an entry, or an error if it is malformed.
func (e speedEntry) decode() (tag int64, r speed.Report, err error) {
	if len(e) != entryFields && len(e) != momentaryFields {
		return 0, r, fmt.Errorf("%d numbers, want %d or %d", len(e), entryFields, momentaryFields)
	}
	most := [momentaryFields]int{startTags - 1, maxEntryFactor, maxEntryAge, maxEntryWeight, maxEntryFactor, maxEntryAge}
	least := [momentaryFields]int{1: 1, 4: 1}
	for i, n := range e {
		if n < least[i] || n > most[i] {
			return 0, r, fmt.Errorf("number %d is %d, want %d to %d", i, n, least[i], most[i])
		}
	}
	r = speed.Report{Factor: float64(e[1]) / 100, Age: milliseconds(int64(e[2])), Weight: float64(e[3]) / 10}
	if len(e) == momentaryFields {
		r.Momentary, r.MomentaryAge = float64(e[4])/100, milliseconds(int64(e[5]))
	}
	return int64(e[0]), r, nil
}

// active implements digestKind.
func (t *speedTable) active(time.Time) bool { return len(t.in) > 0 }

// sum implements digestKind.
func (t *speedTable) sum(include func(node string) bool, now time.Time) any {
	sum := make(map[speed.Server]speed.Report)
	for s, r := range t.tracker.Reports(now) {
		sum[tagged(s)] = r
	}
	for name, p := range t.peers {
		if include(name) {
			t.merge(sum, p, now)
		}
	}
	maps.DeleteFunc(sum, func(_ speed.Server, r speed.Report) bool { return !r.Worth() })
	speed.Newest(sum)
	if len(sum) == 0 {
		return nil
	}
	digest := make(map[string]speedEntry, len(sum))
	ages := make(map[string]time.Duration, len(sum))
	for s, r := range sum {
		if age, ok := ages[s.ID]; ok && age <= r.Age {
			continue // another start of the same server was observed later
		}
		digest[s.ID], ages[s.ID] = encodeSpeed(s, r), r.Age
	}
	return digest
}

// receive implements digestKind.
func (t *speedTable) receive(from string, data json.RawMessage, now time.Time) error {
	var digest map[string]speedEntry
	if err := json.Unmarshal(data, &digest); err != nil {
		return err
	}
	if len(digest) > maxDigestServers {
		return fmt.Errorf("%d servers, want at most %d", len(digest), maxDigestServers)
	}
	reports := make(map[speed.Server]speed.Report, len(digest))
	for id, e := range digest {
		tag, r, err := e.decode()
		if err != nil {
			return fmt.Errorf("server %q: %w", id, err)
		}
		reports[speed.Server{ID: id, Started: tag}] = r
	}
	for id := range digest {
		if srv, ok := t.pool.Get(id); ok {
			t.in[srv.Service] = true
		}
	}
	t.peers[from] = peerSpeeds{reports: reports, at: now}
	t.mergedAt = time.Time{}
	return nil
}

// retain implements digestKind.
func (t *speedTable) retain(keep func(node string) bool) {
	before := len(t.peers)
	maps.DeleteFunc(t.peers, func(name string, _ peerSpeeds) bool { return !keep(name) })
	if len(t.peers) != before {
		t.mergedAt = time.Time{}
	}
}

package ledger_test

import (
	"errors"
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ebonyferry/internal/core/ledger"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func record(key string, state ledger.State, run string, at time.Time) ledger.Record {
	r := ledger.Record{ID: ledger.NewID("account", "service", key), RequestDigest: "r", State: state, RunID: run, IntentAt: at}
	if state == ledger.StateDone {
		r.Answer = &ledger.Answer{Status: 201, Body: []byte(run)}
	}
	return r
}

func TestTransitions(t *testing.T) {
	const i, d, n = ledger.StateIntent, ledger.StateDone, ledger.StateNotRun
	type step struct {
		state ledger.State
		run   string
		want  bool
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"run once", []step{{i, "1", true}, {d, "1", true}}},
		{"second intent", []step{{i, "1", true}, {i, "2", false}}},
		{"intent after the answer", []step{{i, "1", true}, {d, "1", true}, {i, "2", false}}},
		{"new run after not run", []step{{i, "1", true}, {n, "1", true}, {i, "2", true}, {d, "2", true}}},
		{"outcome of another run", []step{{i, "1", true}, {d, "2", false}, {n, "2", false}}},
		{"late outcome of a withdrawn run", []step{{i, "1", true}, {n, "1", true}, {i, "2", true}, {d, "1", false}}},
		{"outcome without intent", []step{{d, "1", false}, {n, "1", false}}},
	}
	for _, tt := range tests {
		for _, together := range []bool{false, true} {
			p := ledger.NewPartition(0, ledger.DefaultLimits)
			var batch, want []ledger.Record
			for _, s := range tt.steps {
				r := record("k", s.state, s.run, start)
				if s.want {
					want = append(want, r)
				}
				batch = append(batch, r)
			}
			got := commit(p, batch, together)
			if !reflect.DeepEqual(got, want) {
				t.Errorf("%s, in one batch %v: accepted got %v, want %v", tt.name, together, got, want)
			}
		}
	}
}

// commit commits records in one batch or one by one and returns those accepted.
func commit(p *ledger.Partition, batch []ledger.Record, together bool) []ledger.Record {
	if together {
		plan := p.Prepare(ledger.Head{}, batch, start)
		p.Commit(plan, start)
		return plan.Accepted
	}
	var accepted []ledger.Record
	for _, r := range batch {
		accepted = append(accepted, commit(p, []ledger.Record{r}, true)...)
	}
	return accepted
}

// A partition that seals, merges and reloads holds the same records as a plain map within the retention.
func TestPartitionMatchesMap(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		limits := ledger.Limits{Retention: time.Hour, SealBytes: 400, MergeCount: 3, MaxSegmentBytes: 4000, MaxHeadBytes: 2000}
		p := ledger.NewPartition(0, limits)
		stored := make(map[string]ledger.Segment)
		want := make(map[ledger.ID]ledger.Record)
		now := start
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			key := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "key"))
			state := rapid.SampledFrom([]ledger.State{ledger.StateIntent, ledger.StateDone, ledger.StateNotRun}).Draw(t, "state")
			r := record(key, state, fmt.Sprint(step), now)
			if old := want[r.ID]; state != ledger.StateIntent && old.State == ledger.StateIntent {
				r.RunID, r.IntentAt = old.RunID, old.IntentAt
			}
			plan := p.Prepare(ledger.Head{Nonce: fmt.Sprint(step)}, []ledger.Record{r}, now)
			p.Commit(plan, now)
			for _, a := range plan.Accepted {
				want[a.ID] = a
			}
			if m, ok := p.NextMaintenance(fmt.Sprint(step), now); ok {
				stored[m.Key] = m.Segment
				applied := p.PrepareMaintenance(m, ledger.Head{})
				p.CommitMaintenance(m, applied)
				for _, s := range applied.Dropped {
					delete(stored, s.Key)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "reload") == 0 {
				p = reload(t, p.Head(), stored, limits)
			}
		}
		p = reload(t, p.Head(), stored, limits)
		if got := p.Len(); got != len(want) {
			t.Fatalf("calls: got %d, want %d", got, len(want))
		}
		for id, w := range want {
			if got, _ := p.Find(id); !reflect.DeepEqual(got, w) {
				t.Errorf("record: got %+v, want %+v", got, w)
			}
		}
	})
}

// reload returns a partition loaded from the encoded head and segments.
func reload(t *rapid.T, head ledger.Head, stored map[string]ledger.Segment, limits ledger.Limits) *ledger.Partition {
	decoded, err := ledger.DecodeHead(ledger.Encode(head))
	if err != nil {
		t.Fatal(err)
	}
	p := ledger.NewPartition(0, limits)
	segments := make(map[string]ledger.Segment)
	for _, key := range p.MissingSegments(decoded) {
		seg, err := ledger.DecodeSegment(ledger.Encode(stored[key]))
		if err != nil {
			t.Fatal(err)
		}
		segments[key] = seg
	}
	p.Replace(decoded, segments)
	return p
}

func TestRetention(t *testing.T) {
	limits := ledger.DefaultLimits
	p := ledger.NewPartition(0, limits)
	commit(p, []ledger.Record{record("old", ledger.StateIntent, "1", start)}, true)
	m := ledger.Maintenance{Key: "ledger/00/segments/1", Segment: ledger.Segment{Records: p.Head().Records}}
	p.CommitMaintenance(m, p.PrepareMaintenance(m, ledger.Head{}))
	later := start.Add(limits.Retention + time.Second)
	plan := p.Prepare(ledger.Head{}, []ledger.Record{record("new", ledger.StateIntent, "2", later)}, later)
	p.Commit(plan, later)
	if got, want := len(plan.Dropped), 1; got != want {
		t.Errorf("segments dropped: got %d, want %d", got, want)
	}
	if got, want := p.Len(), 1; got != want {
		t.Errorf("calls: got %d, want %d", got, want)
	}
}

func TestDecodeRejectsCorruptValues(t *testing.T) {
	id := `"id":"000102030405060708090a0b0c0d0e0f"`
	tests := []string{
		``, `[]`, `{"records":[{"id":"00"}]}`, `{"records":[{` + id + `}]}`,
		`{"records":[{` + id + `,"state":"done"}]}`,
		`{"records":[{` + id + `,"state":"intent","answer":{"status":1}}]}`,
		`{"records":[{` + id + `,"state":"intent"},{` + id + `,"state":"intent"}]}`,
	}
	for _, data := range tests {
		if _, err := ledger.DecodeSegment([]byte(data)); !errors.Is(err, ledger.ErrCorrupt) {
			t.Errorf("%s: got %v, want %v", data, err, ledger.ErrCorrupt)
		}
	}
}

// A decoded head survives encoding and decoding, and its records have valid IDs.
func FuzzDecodeHead(f *testing.F) {
	head := ledger.Head{
		Node: "node-1", Epoch: 2, Nonce: "n", Sealed: []ledger.SegmentRef{{Key: "k", Newest: start, Bytes: 3}},
		Records: []ledger.Record{record("a", ledger.StateDone, "1", start), record("b", ledger.StateIntent, "2", start)},
	}
	f.Add(ledger.Encode(head))
	f.Add([]byte(`{"records":[{"id":"000102030405060708090a0b0c0d0e0f","state":"done","answer":{"body":""}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := ledger.DecodeHead(data)
		if err != nil {
			return
		}
		again, err := ledger.DecodeHead(ledger.Encode(h))
		if err != nil {
			t.Fatalf("decoding the encoded head: %v", err)
		}
		if got, want := string(ledger.Encode(again)), string(ledger.Encode(h)); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		for _, r := range h.Records {
			if got := r.ID.Partition(); got < 0 || got >= ledger.Partitions {
				t.Errorf("partition of %s: got %d", r.ID, got)
			}
		}
	})
}

// A partition whose head is never sealed has no segments that expire, but must still drop records past their
// retention.
func TestUnsealedRecordsExpire(t *testing.T) {
	p := ledger.NewPartition(0, ledger.DefaultLimits)
	now := start
	for i := range 100 {
		now = now.Add(ledger.DefaultLimits.Retention)
		r := record(fmt.Sprint(i), ledger.StateIntent, "1", now)
		p.Commit(p.Prepare(ledger.Head{}, []ledger.Record{r}, now), now)
	}
	if got, want := p.Len(), len(p.Head().Records); got != want {
		t.Errorf("calls: got %d, want the %d in the head", got, want)
	}
}

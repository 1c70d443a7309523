package serve

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"ebonyferry/internal/core/quarantine"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/run/exchange"
	"ebonyferry/internal/run/mirror"
)

// verdictStore is a store with one key.
type verdictStore struct {
	Store

	mu       sync.Mutex
	entry    kvstore.Entry
	revision kvstore.Revision
	writes   int
}

func (s *verdictStore) List(context.Context, string) ([]kvstore.Entry, kvstore.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entry.Key == "" {
		return nil, s.revision + 1, nil
	}
	return []kvstore.Entry{s.entry}, s.revision + 1, nil
}

// Watch reports the entry as it is, as after a compaction.
func (s *verdictStore) Watch(ctx context.Context, _ string, after kvstore.Revision) ([]kvstore.Change, kvstore.Revision, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(5 * time.Millisecond):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision+1 > after {
		return nil, 0, kvstore.ErrCompacted
	}
	return nil, after, nil
}

func (s *verdictStore) CompareAndSwap(_ context.Context, key string, revision kvstore.Revision, value []byte, _ kvstore.LeaseID) (kvstore.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision != s.entry.Revision {
		return 0, kvstore.ErrConflict
	}
	s.writes++
	s.revision++
	s.entry = kvstore.Entry{Key: key, Value: value, Revision: s.revision + 1}
	return s.entry.Revision, nil
}

// startVerdictNode starts the parts of a gateway that keep verdicts in the store.
func startVerdictNode(t *testing.T, store *verdictStore) *Gateway {
	t.Helper()
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	g := &Gateway{process: process{log: logger}, platform: serverList{}, store: store}
	g.rt = exchange.New("d", nil, g, exchange.WithLog(logger))
	g.mirror = mirror.New(store, "", mirror.WithApply(g.apply))
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = g.mirror.Run(ctx) })
	t.Cleanup(func() { cancel(); group.Wait() })
	return g
}

// A node that starts after all that knew a verdict have gone must refuse what crashes servers, and a verdict of another judge in
// the store must not be lost when this one writes its own.
func TestVerdictsOutliveTheNodes(t *testing.T) {
	store := new(verdictStore)
	first := startVerdictNode(t, store)
	if _, _, err := first.mirror.Lookup(t.Context(), verdictsKey); err != nil {
		t.Fatal(err)
	}
	until := time.Now().Add(time.Hour)
	one := quarantine.PartVerdict{Parts: []uint64{1, 2}, Crashes: 3, Until: until}
	first.rt.MergeVerdicts([]quarantine.PartVerdict{one})
	first.writeVerdicts(t.Context(), first.rt.Verdicts())

	second := startVerdictNode(t, store)
	two := quarantine.PartVerdict{Parts: []uint64{1<<63 + 1}, Crashes: 4, Until: until}
	awaitVerdicts(t, second, one)
	second.rt.MergeVerdicts([]quarantine.PartVerdict{two})
	second.writeVerdicts(t.Context(), second.rt.Verdicts())
	awaitVerdicts(t, startVerdictNode(t, store), one, two)
	awaitVerdicts(t, first, one, two)

	first.writeVerdicts(t.Context(), first.rt.Verdicts())
	if got, want := store.writes, 2; got != want {
		t.Errorf("writes: got %d, want %d", got, want)
	}
}

// awaitVerdicts waits until a node has exactly the given verdicts.
func awaitVerdicts(t *testing.T, g *Gateway, want ...quarantine.PartVerdict) {
	t.Helper()
	same := func(a, b quarantine.PartVerdict) bool {
		return slices.Equal(a.Parts, b.Parts) && a.Crashes == b.Crashes && a.Until.Sub(b.Until).Abs() <= time.Second
	}
	deadline := time.Now().Add(5 * time.Second)
	for !slices.EqualFunc(g.rt.Verdicts(), want, same) {
		if time.Now().After(deadline) {
			t.Fatalf("verdicts: got %v, want %v", g.rt.Verdicts(), want)
		}
		time.Sleep(time.Millisecond)
	}
}

func TestMalformedVerdictsChangeNothing(t *testing.T) {
	for _, text := range []string{``, `{}`, `[{"parts": ["x"]}]`, `[{"parts": 7}]`} {
		if list, err := decodeVerdicts([]byte(text)); !errors.Is(err, errVerdicts) {
			t.Errorf("%q: got %v, error %v; want %v", text, list, err, errVerdicts)
		}
	}
	g := startVerdictNode(t, new(verdictStore))
	g.apply(mirror.Batch{Changes: []kvstore.Change{{Entry: kvstore.Entry{Key: verdictsKey, Value: []byte(`[{"until": "2100-01-01T00:00:00Z"}]`)}}}})
	if got := g.rt.Verdicts(); len(got) != 0 {
		t.Errorf("a verdict without parts, which would apply to all requests: got %v, want none", got)
	}
}

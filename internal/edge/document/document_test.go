package document

import (
	"context"
	"crypto/ed25519"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/kvstore"
)

// fakeStore is a Store in memory that can lose the answers to swaps that took effect.
type fakeStore struct {
	entries  map[string]kvstore.Entry
	revision kvstore.Revision
	lose     int // number of answers to lose
}

func newFakeStore() *fakeStore { return &fakeStore{entries: make(map[string]kvstore.Entry)} }

func (s *fakeStore) Get(_ context.Context, key string) (kvstore.Entry, error) {
	e, ok := s.entries[key]
	if !ok {
		return e, kvstore.ErrNotFound
	}
	return e, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error) {
	var found []kvstore.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	return found, s.revision, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expected kvstore.Revision, value []byte, _ kvstore.LeaseID) (kvstore.Revision, error) {
	if s.entries[key].Revision != expected {
		return 0, kvstore.ErrConflict
	}
	s.revision++
	s.entries[key] = kvstore.Entry{Key: key, Value: slices.Clone(value), Revision: s.revision}
	if s.lose > 0 {
		s.lose--
		return 0, kvstore.ErrOutcomeUnknown
	}
	return s.revision, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, _ kvstore.Revision) error {
	delete(s.entries, key)
	return nil
}

var operators = []string{"ana", "ben", "cay"}

func keyOf(operator string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, operator)
	return ed25519.NewKeyFromSeed(seed)
}

func testKeys(others int) bundle.Keys {
	k := bundle.Keys{OtherSignOffs: others}
	k.TokenKeys = []bundle.TokenKey{{ID: "t1", Secret: make([]byte, 32), NotAfter: time.Unix(1<<31, 0).UTC()}}
	for _, name := range operators {
		public := keyOf(name).Public().(ed25519.PublicKey)
		k.Operators = append(k.Operators, bundle.Operator{Name: name, PublicKeys: []ed25519.PublicKey{public}})
	}
	return k
}

func testBundle(t interface{ Fatal(...any) }, author string, share int) bundle.Bundle {
	b, err := bundle.Parse(fmt.Appendf(nil, `{"author": %q,
		"servers": [
			{"id": "e1", "kind": "engine", "addr": "10.0.0.1:1", "region": "r", "failureDomain": "a", "models": [{"model": "m", "version": "v1"}, {"model": "m", "version": "v2"}]},
			{"id": "e2", "kind": "engine", "addr": "10.0.0.2:1", "region": "r", "failureDomain": "b", "models": [{"model": "m", "version": "v1"}, {"model": "m", "version": "v2"}]}],
		"models": [{"name": "m", "versions": [{"version": "v1", "share": %d}, {"version": "v2", "share": %d}]}]}`, author, bundle.ShareTotal-share, share))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// writer is an operator that has read the head and writes later.
type writer struct {
	in *bundle.InForce
	at kvstore.Revision
}

// revisions is the model for a check that racing operators never revert, skip or repeat a revision.
type revisions struct {
	store   *fakeStore
	writers [3]writer
	heads   []bundle.Head // every head that was in force, by revision from 1
	seen    bundle.Head   // the head that a node last read
	nonces  int
}

func (m *revisions) read(t *rapid.T, i int) {
	in, at, err := LoadInForce(context.Background(), m.store)
	if err != nil {
		t.Fatal(err)
	}
	m.writers[i] = writer{in: in, at: at}
}

// write writes next as writer i and checks the outcome against the model.
func (m *revisions) write(t *rapid.T, i int, next bundle.Head) {
	m.store.lose = rapid.IntRange(0, 2).Draw(t, "lostAnswers")
	last := m.heads[len(m.heads)-1]
	err := SwitchHead(context.Background(), m.store, m.writers[i].in.Head, m.writers[i].at, next)
	m.store.lose = 0
	if m.writers[i].in.Head.Revision == last.Revision {
		if err != nil {
			t.Fatalf("got error %v for a writer with the current head, want none", err)
		}
		m.heads = append(m.heads, next)
		return
	}
	var race *RaceError
	if !errors.As(err, &race) {
		t.Fatalf("got error %v for a writer with an old head, want a RaceError", err)
	}
	if got, want := race.Head.Nonce, m.heads[next.Revision-1].Nonce; got != want {
		t.Fatalf("got winner %s of revision %d, want %s", got, next.Revision, want)
	}
}

func (m *revisions) request(by string) bundle.ChangeRequest {
	m.nonces++
	return bundle.ChangeRequest{By: by, Nonce: fmt.Sprint(m.nonces)}
}

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestRevisionsOfRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapid.Check(noDeadline{t}, checkRevisions) })
}

// noDeadline hides Deadline, which may not be called in a bubble of virtual time.
type noDeadline struct{ rapid.TB }

func checkRevisions(t *rapid.T) {
	ctx := context.Background()
	m := &revisions{store: newFakeStore()}
	in, err := Bootstrap(ctx, m.store, testBundle(t, "ana", 0), testKeys(1), m.request("ana"))
	if err != nil {
		t.Fatal(err)
	}
	m.heads = []bundle.Head{in.Head}
	for i := range m.writers {
		m.read(t, i)
	}
	draw := func(t *rapid.T) (int, writer) {
		i := rapid.IntRange(0, len(m.writers)-1).Draw(t, "writer")
		return i, m.writers[i]
	}
	t.Repeat(map[string]func(*rapid.T){
		"read": func(t *rapid.T) {
			i, _ := draw(t)
			m.read(t, i)
		},
		"bundle": func(t *rapid.T) {
			i, w := draw(t)
			b := testBundle(t, operators[i], rapid.IntRange(0, 2).Draw(t, "share"))
			if err := PutBundle(ctx, m.store, b); err != nil {
				t.Fatal(err)
			}
			signer := rapid.SampledFrom(operators).Draw(t, "signer")
			subject := bundle.SignOffSubject{BundleID: b.ID, Since: w.in.Head.BundleSince}
			if rapid.Bool().Draw(t, "staleSignOff") {
				subject.Since--
			}
			signOffs := []bundle.SignOff{bundle.Sign(signer, keyOf(signer), subject)}
			next, err := w.in.NextBundle(b, signOffs, m.request(operators[i]))
			allowed := signer != operators[i] && subject.Since == w.in.Head.BundleSince
			if errors.Is(err, bundle.ErrNoChange) {
				return
			}
			if got := err == nil; got != allowed {
				t.Fatalf("got transition allowed %v (%v), want %v", got, err, allowed)
			}
			if allowed {
				m.write(t, i, next)
			}
		},
		"mark": func(t *rapid.T) {
			i, w := draw(t)
			mark := bundle.Mark{Kind: bundle.MarkDomain, Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")}
			next, err := w.in.NextMark(mark, rapid.Bool().Draw(t, "out"), bundle.KnownNames{}, m.request(operators[i]))
			if err == nil {
				m.write(t, i, next)
			} else if !errors.Is(err, bundle.ErrNoChange) && !errors.Is(err, bundle.ErrUnserved) {
				t.Fatal(err)
			}
		},
		"": func(t *rapid.T) {
			in, _, err := LoadInForce(ctx, m.store)
			if err != nil {
				t.Fatal(err)
			}
			if got, want := in.Head.Nonce, m.heads[len(m.heads)-1].Nonce; got != want {
				t.Fatalf("got head %s in the store, want %s", got, want)
			}
			if got, want := int(in.Head.Revision), len(m.heads); got != want {
				t.Fatalf("got revision %d, want %d", got, want)
			}
			if m.seen.Revision > 0 && in.Head.Revision != m.seen.Revision && !in.Head.Supersedes(m.seen) {
				t.Fatalf("revision went from %d back to %d", m.seen.Revision, in.Head.Revision)
			}
			m.seen = in.Head
			if len(bundle.UnservedRegions(bundle.NewInForce(bundle.Head{}, in.Bundle, in.Keys), in)) > 0 {
				t.Fatal("got a region without a server, want each change to leave one")
			}
			for rev, want := range m.heads {
				got, err := HeadAt(ctx, m.store, bundle.Revision(rev+1))
				if err != nil || got.Nonce != want.Nonce {
					t.Fatalf("got head %s (%v) in the history at revision %d, want %s", got.Nonce, err, rev+1, want.Nonce)
				}
			}
		},
	})
}

func TestBootstrapRefusesSecondHead(t *testing.T) {
	ctx, store := context.Background(), newFakeStore()
	first := bundle.ChangeRequest{By: "ana", Nonce: "1"}
	store.lose = 3
	if _, err := Bootstrap(ctx, store, testBundle(t, "ana", 0), testKeys(0), first); err != nil {
		t.Fatal(err)
	}
	var race *RaceError
	_, err := Bootstrap(ctx, store, testBundle(t, "ben", 0), testKeys(0), bundle.ChangeRequest{By: "ben", Nonce: "2"})
	if !errors.As(err, &race) || race.Head.ChangedBy != "ana" {
		t.Errorf("got error %v, want a RaceError naming ana", err)
	}
}

func TestKeysRevisionHasOneWriter(t *testing.T) {
	ctx, store := context.Background(), newFakeStore()
	a, b := testKeys(0), testKeys(1)
	a.Revision, b.Revision = 2, 2
	if err := PutKeys(ctx, store, a); err != nil {
		t.Fatal(err)
	}
	if err := PutKeys(ctx, store, a); err != nil {
		t.Errorf("got error %v for the same keys again, want none", err)
	}
	if err := PutKeys(ctx, store, b); !errors.Is(err, ErrKeysTaken) {
		t.Errorf("got error %v for other keys, want ErrKeysTaken", err)
	}
}

func TestOldKeysAreDeleted(t *testing.T) {
	ctx, store := context.Background(), newFakeStore()
	k := testKeys(0)
	const last = RetainedKeyRevisions + 5
	for k.Revision = 1; k.Revision <= last; k.Revision++ {
		if err := PutKeys(ctx, store, k); err != nil {
			t.Fatal(err)
		}
		DeleteOldKeys(ctx, store, k.Revision-1, k.Revision)
	}
	if got, want := len(store.entries), RetainedKeyRevisions; got != want {
		t.Errorf("got %d retained revisions of the keys, want %d", got, want)
	}
	if _, err := LoadKeys(ctx, store, last, ""); err != nil {
		t.Errorf("got error %v for the keys in force, want none", err)
	}
}

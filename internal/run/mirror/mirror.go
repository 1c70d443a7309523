// Package mirror keeps a copy of the keys of the store at every node.
//
// A few nodes, in different failure domains, watch the store; every node follows two of them, and watches the store itself as soon as none of the two vouches for it.
// So the calls to the store do not grow with the fleet, and a node that the store refuses still hears of changes.
// Copies are ordered by the store's revision: a mirror takes what is newer than what it holds, whoever tells it,
// and never goes back.
//
// A Mirror answers List and Watch as the store's client does, from memory.
package mirror

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
)

// Store is what a mirror reads. Its errors are those of kvstore.
type Store interface {
	List(ctx context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error)
	Watch(ctx context.Context, prefix string, after kvstore.Revision) ([]kvstore.Change, kvstore.Revision, error)
}

// Timing holds the periods of a mirror.
type Timing struct {
	FollowWait         time.Duration // how long a followed node holds a request without word of the store; above a watch's wait
	FollowSlack        time.Duration // what an answer may take beyond the wait
	MaxConfirmationAge time.Duration // without word of the store for longer, a node watches it itself; above a watch's wait
	OutageThreshold    time.Duration // without word of the store for longer, removals may be lapsed entries
	ExpiryWindow       time.Duration // after an outage, removals that come within it may be lapsed entries
	RetryMin           time.Duration // after a failed call; the wait is spread evenly up to RetryMax
	RetryMax           time.Duration
}

// DefaultTiming lets a change reach every node within two seconds, even if all nodes that watch the store lose it
// without a sign.
var DefaultTiming = Timing{
	FollowWait:         1400 * time.Millisecond,
	FollowSlack:        300 * time.Millisecond,
	MaxConfirmationAge: 1600 * time.Millisecond,
	OutageThreshold:    3500 * time.Millisecond,
	ExpiryWindow:       2 * time.Second,
	RetryMin:           60 * time.Millisecond,
	RetryMax:           240 * time.Millisecond,
}

// maxLog bounds the changes that are kept for followers.
const maxLog = 4096

// Batch is a set of changes in order of revision.
type Batch struct {
	Changes     []kvstore.Change // the newest of each key
	Revision    kvstore.Revision
	AfterOutage bool // removals may be entries that lapsed while the store was away
}

// Mirror is a copy of the store's keys. It is safe for concurrent use.
type Mirror struct {
	store  Store
	prefix string
	timing Timing
	log    log.Interface
	client *node.Client
	peers  Peers
	apply  func(Batch)

	mu       sync.Mutex
	items    map[string]kvstore.Entry
	changes  []kvstore.Change // those after base, in order of revision
	base     kvstore.Revision
	revision kvstore.Revision // items are complete up to it; 0 before the first list
	contact  time.Time        // when the store last vouched for revision
	told     time.Time        // contact when the followers last heard of it at once
	returned time.Time        // end of the last outage
	news     chan struct{}    // closed and replaced when the store vouches anew, revision grows or blind is set
	blind    bool             // the last call to the store failed
	sound    [maxSources]bool // the followed node of a slot vouches for the store
}

// Peers says which nodes watch the store, and which of them this node follows.
type Peers interface {
	// Sources returns the nodes to follow, at most two, and whether this node watches the store.
	Sources() (follow []netip.AddrPort, watcher bool)
}

// Option changes a Mirror.
type Option func(*Mirror)

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option { return func(m *Mirror) { m.timing = t } }

// WithLog sets where events go.
func WithLog(l log.Interface) Option { return func(m *Mirror) { m.log = l } }

// WithPeers lets the mirror follow other nodes.
func WithPeers(p Peers, c *node.Client) Option {
	return func(m *Mirror) { m.peers, m.client = p, c }
}

// WithApply sets what is told of each change, in order and by one goroutine at a time.
func WithApply(fn func(Batch)) Option { return func(m *Mirror) { m.apply = fn } }

// New returns an empty mirror of the keys that begin with prefix.
func New(store Store, prefix string, opts ...Option) *Mirror {
	m := &Mirror{
		store:  store,
		prefix: prefix,
		timing: DefaultTiming,
		log:    &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		apply:  func(Batch) {},
		items:  make(map[string]kvstore.Entry),
		news:   make(chan struct{}),
	}
	for _, opt := range opts {
		opt(m)
	}
	if m.client != nil {
		m.client = m.client.Derive(node.WithTimeout(m.timing.FollowWait + m.timing.FollowSlack))
	}
	return m
}

// State is how current a mirror is.
type State struct {
	Revision    kvstore.Revision
	ConfirmedAt time.Time // when the store last vouched for Revision; zero when it never did
}

// State returns how current the mirror is.
func (m *Mirror) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return State{Revision: m.revision, ConfirmedAt: m.contact}
}

// List returns the mirrored entries whose keys begin with prefix, in order of key. It fails with
// kvstore.ErrUnavailable before the first list of the store.
func (m *Mirror) List(_ context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revision == 0 {
		return nil, 0, kvstore.ErrUnavailable
	}
	return m.entries(prefix), m.revision, nil
}

// Returns the items under a prefix in order of key. The caller holds mu.
func (m *Mirror) entries(prefix string) []kvstore.Entry {
	var list []kvstore.Entry
	for key, e := range m.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b kvstore.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// localWatchWait is how long Watch waits for a change, as a watch of the store does.
const localWatchWait = 2 * time.Second

// Watch waits for changes of keys that begin with prefix after a revision, for two seconds at most. It fails
// with kvstore.ErrCompacted when the mirror no longer keeps them.
func (m *Mirror) Watch(ctx context.Context, prefix string, after kvstore.Revision) ([]kvstore.Change, kvstore.Revision, error) {
	timer := time.NewTimer(localWatchWait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		news, revision, contact := m.news, m.revision, m.contact
		changes, whole := m.since(after)
		m.mu.Unlock()
		if whole {
			return nil, 0, kvstore.ErrCompacted
		}
		changes = slices.DeleteFunc(changes, func(c kvstore.Change) bool { return !strings.HasPrefix(c.Key, prefix) })
		if len(changes) > 0 {
			return changes, revision, nil
		}
		select {
		case <-news:
		case <-timer.C:
			if time.Since(contact) > m.timing.OutageThreshold {
				return nil, 0, kvstore.ErrUnavailable
			}
			return nil, max(after, revision), nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// Returns the newest changes after a revision, or whole when they are no longer kept. The caller holds mu and may keep
// the slice.
func (m *Mirror) since(after kvstore.Revision) (changes []kvstore.Change, whole bool) {
	if after < m.base {
		return nil, true
	}
	i, _ := slices.BinarySearchFunc(m.changes, after+1, func(c kvstore.Change, r kvstore.Revision) int {
		return cmp.Compare(c.Revision, r)
	})
	return newest(m.changes[i:]), false
}

// Returns the newest change of each key, in order of revision. Values are large in a storm of changes to one key, and
// links may be slow.
func newest(changes []kvstore.Change) []kvstore.Change {
	last := make(map[string]int, len(changes))
	for i, c := range changes {
		last[c.Key] = i
	}
	kept := make([]kvstore.Change, 0, len(last))
	for i, c := range changes {
		if last[c.Key] == i {
			kept = append(kept, c)
		}
	}
	return kept
}

// Notes that the store vouched for the mirror's revision at a time. The caller holds mu.
func (m *Mirror) vouched(at time.Time) {
	if !at.After(m.contact) {
		return
	}
	if !m.contact.IsZero() && at.Sub(m.contact) > m.timing.OutageThreshold {
		m.returned = at
	}
	m.contact = at
	if at.Sub(m.told) >= vouchStep {
		m.told = at
		m.wake()
	}
}

// vouchStep is by how much a new word of the store must be later than the last one for followers to hear of it at
// once. Nodes that follow each other would otherwise tell each other of every message's delay.
const vouchStep = 300 * time.Millisecond

// Wakes those that wait for news. The caller holds mu.
func (m *Mirror) wake() {
	close(m.news)
	m.news = make(chan struct{})
}

// Takes changes that lead to revision, as the store vouched for at a time.
func (m *Mirror) take(changes []kvstore.Change, revision kvstore.Revision, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision {
		return // an older view than the one held says nothing of the store's present
	}
	m.vouched(at)
	fresh := slices.DeleteFunc(newest(changes), func(c kvstore.Change) bool { return c.Revision <= m.revision })
	m.advance(fresh, revision)
}

// Takes the whole list as of a revision and turns it into changes.
func (m *Mirror) replace(entries []kvstore.Entry, revision kvstore.Revision, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision {
		return
	}
	m.vouched(at)
	listed := make(map[string]bool, len(entries))
	var changes []kvstore.Change
	for _, e := range entries {
		listed[e.Key] = true
		if held, ok := m.items[e.Key]; !ok || held.Revision < e.Revision {
			changes = append(changes, kvstore.Change{Entry: e})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		if !listed[key] {
			changes = append(changes, kvstore.Change{Entry: kvstore.Entry{Key: key, Revision: revision}, Deleted: true})
		}
	}
	slices.SortStableFunc(changes, func(a, b kvstore.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	first := m.revision == 0
	m.advance(changes, max(revision, 1))
	if first {
		m.base, m.changes = m.revision, nil
	}
}

// Applies changes newer than what is held. The caller holds mu.
func (m *Mirror) advance(changes []kvstore.Change, revision kvstore.Revision) {
	for _, c := range changes {
		if c.Deleted {
			delete(m.items, c.Key)
			continue
		}
		m.items[c.Key] = c.Entry
	}
	moved := revision > m.revision
	m.revision = revision
	m.changes = append(m.changes, changes...)
	if n := len(m.changes) - maxLog; n > 0 {
		m.base = m.changes[n-1].Revision
		m.changes = slices.Clone(m.changes[n:])
	}
	if len(changes) > 0 {
		lapsed := !m.returned.IsZero() && time.Since(m.returned) < m.timing.ExpiryWindow
		m.apply(Batch{Changes: changes, Revision: revision, AfterOutage: lapsed})
	}
	if moved {
		m.wake()
	}
}

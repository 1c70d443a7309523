// Package mirror keeps a copy of the store's keys on every node.
//
// A few nodes in different failure domains, the watchers, watch the store. Every node follows two of them by long
// polls, and watches the store itself as soon as neither confirms that its copy is current. The number of calls to
// the store therefore does not grow with the fleet, and a node that the store refuses still receives changes. If the
// store does not answer it either, it follows any other node that has current data. A mirror applies only changes newer
// than its own revision, whichever node sends them, so it never goes back to an earlier state.
//
// Followers get a large value apart from the changes, by its digest (package transfer), so that small changes and confirmations do not wait for
// it. Until it has arrived the older value stays in use: an entry is either the old one or the new one, and all other entries are
// current. Nodes of older builds do not ask for that; they get whole values, in an order that lets them arrive on slow links (oldbuild.go).
//
// A store that comes back from an earlier copy begins a new era, and revisions of a later era are newer. The first list of an
// era replaces the mirror's data; the differences are a batch with Restored set. Followers receive these differences too.
//
// [Mirror.Run] keeps the copy current. [Mirror.List] and [Mirror.Watch] answer from memory as the store's client
// does. The function that is set by [WithApply] receives each change.
package mirror

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"ebonyferry/internal/base/progress"
	"ebonyferry/internal/base/stall"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
	"ebonyferry/internal/run/transfer"
)

// Store is the part of the store's API that a mirror uses. Its errors are those of package kvstore.
type Store interface {
	List(ctx context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error)
	Watch(ctx context.Context, prefix string, after kvstore.Revision) ([]kvstore.Change, kvstore.Revision, error)
}

// Timing holds the periods of a mirror.
type Timing struct {
	FollowWait         time.Duration // how long a followed node holds a request without a confirmation of the store; must exceed the wait of a watch
	FollowSlack        time.Duration // how long after the wait an answer may begin
	FollowStall        time.Duration // how long an answer that has begun may make no progress
	MaxConfirmationAge time.Duration // when its last confirmation is older, a node watches the store itself; must exceed the wait of a watch
	SourceGrace        time.Duration // after a confirmation that is not older, a node does not watch the store although no node that it follows answers
	FallbackDelay      time.Duration // between two calls of a node that watches the store only because no node that it follows answers
	OutageThreshold    time.Duration // after a longer time without a confirmation, removals may be expired entries
	ExpiryWindow       time.Duration // how long after an outage removals may be expired entries
	RetryMin           time.Duration // after a failed call; the wait is uniformly random between RetryMin and RetryMax
	RetryMax           time.Duration
}

// DefaultTiming lets a change reach every node within two seconds, even if all watchers lose the store and their
// calls get no answer.
var DefaultTiming = Timing{
	FollowWait:         1400 * time.Millisecond,
	FollowSlack:        300 * time.Millisecond,
	FollowStall:        700 * time.Millisecond,
	MaxConfirmationAge: 1600 * time.Millisecond,
	SourceGrace:        400 * time.Millisecond,
	FallbackDelay:      300 * time.Millisecond,
	OutageThreshold:    3500 * time.Millisecond,
	ExpiryWindow:       2 * time.Second,
	RetryMin:           60 * time.Millisecond,
	RetryMax:           240 * time.Millisecond,
}

// maxChanges bounds the changes kept for followers.
const maxChanges = 4096

// keyChange is a change of a key. Followers get only the latest change of each key, whose value is held or pending, so no other value is kept:
// the values of all changes could fill the memory.
type keyChange struct {
	key      string
	revision kvstore.Revision
	deleted  bool
	at       time.Time // when this node learnt of it

	precededBy time.Time // lower bound of the time until which the store had the state before the change
}

// Batch is a set of changes in order of revision.
type Batch struct {
	Changes     []kvstore.Change // the newest of each key
	Revision    kvstore.Revision
	AfterOutage bool      // removals may be entries that expired during an outage of the store
	Restored    bool      // the store came back from an earlier copy: the changes may lead to older values, which their writers replace
	OutageEnd   time.Time // of the last outage; zero if there was none
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
	fresh  func(sentAt time.Time)

	values *transfer.Cache // large values of held, by key, and some that they replaced

	mu            sync.Mutex
	held          map[string]kvstore.Entry
	pending       map[string]pendingValue // large values that the node knows of and has not received; held has an older value, or none
	digests       map[string]transfer.ID  // of the large values of held
	changes       []keyChange             // those after changesFrom, in order of revision; the latest of a key has the revision or removal of held or pending
	changesFrom   kvstore.Revision
	revision      kvstore.Revision // held and pending are complete up to it; 0 before the first list
	eraEnd        kvstore.Revision // revision before the first list of the present era; 0 if there was none
	confirmedAt   time.Time        // when the store last confirmed revision
	completeAt    time.Time        // confirmedAt when pending was last empty
	notifiedAt    time.Time        // confirmedAt when the followers were last notified of it
	outageEnd     time.Time        // end of the last outage
	updated       chan struct{}    // closed and replaced when notifiedAt or revision grows or storeFailing becomes true
	storeFailing  bool             // the last call to the store failed
	watches       bool             // the last call to the store was made as a watcher
	stalls        stall.Recorder
	confirming    [MaxSources]bool     // whether the source with this index confirms the store's data
	substitute    netip.AddrPort       // node that is followed in place of the sources; not valid if there is none
	storeAnswered time.Time            // when the last call that the store answered was sent
	bulk          bulkAnswer           // that is arriving
	sentAhead     map[string]sentAhead // by the name of an old follower that lacks a large change

	givenUpLoggedAt time.Time // when an answer that was given up was last logged
}

// Peers selects the nodes that watch the store, and those of them that this node follows.
type Peers interface {
	// Sources returns the nodes to follow, at most two, and whether this node is a watcher. Large values come from the first one.
	Sources() (follow []netip.AddrPort, watcher bool)
	// Others returns all other nodes. The caller must not modify the list.
	Others() []netip.AddrPort
	// Follower returns what is known of the node with a name. The nodes that it follows agree on their positions.
	Follower(name string) Follower
}

// Option changes a Mirror.
type Option func(*Mirror)

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option { return func(m *Mirror) { m.timing = t } }

// WithLog sets the log for events.
func WithLog(l log.Interface) Option { return func(m *Mirror) { m.log = l } }

// WithPeers lets the mirror follow other nodes.
func WithPeers(p Peers, c *node.Client) Option {
	return func(m *Mirror) { m.peers, m.client = p, c }
}

// WithApply sets a function that is called with each change, in order and by one goroutine at a time. It is called with
// the mirror's lock held and must not call the mirror.
func WithApply(fn func(Batch)) Option { return func(m *Mirror) { m.apply = fn } }

// WithFresh sets a function that is called when an answer shows that the mirror is current, with the time at which the
// answered request was sent.
func WithFresh(fn func(sentAt time.Time)) Option { return func(m *Mirror) { m.fresh = fn } }

// New returns an empty mirror of the keys that start with prefix.
func New(store Store, prefix string, opts ...Option) *Mirror {
	m := &Mirror{
		store:   store,
		prefix:  prefix,
		timing:  DefaultTiming,
		log:     &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		apply:   func(Batch) {},
		fresh:   func(time.Time) {},
		values:  transfer.NewCache(),
		held:    make(map[string]kvstore.Entry),
		pending: make(map[string]pendingValue),
		digests: make(map[string]transfer.ID),
		updated: make(chan struct{}),

		sentAhead: make(map[string]sentAhead),
	}
	for _, opt := range opts {
		opt(m)
	}
	if m.client != nil {
		m.client = m.client.Derive(node.WithLimit(progress.Limit{Start: m.timing.FollowWait + m.timing.FollowSlack, Stall: m.timing.FollowStall}))
	}
	return m
}

// State is how current a mirror is.
type State struct {
	Revision    kvstore.Revision
	ConfirmedAt time.Time // when the store last confirmed Revision; zero if it never did
}

// State returns how current the mirror is.
func (m *Mirror) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return State{Revision: m.revision, ConfirmedAt: m.confirmedAt}
}

// List returns the mirrored entries whose keys start with prefix, in order of key, and the revision up to which they are complete. It fails
// with kvstore.ErrUnavailable before the first list of the store.
func (m *Mirror) List(_ context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revision == 0 {
		return nil, 0, kvstore.ErrUnavailable
	}
	return m.entries(prefix), m.completeRevision(prefix), nil
}

// Get returns the mirrored entry under key and whether there is one.
func (m *Mirror) Get(key string) (kvstore.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.held[key]
	return e, ok
}

// Lookup returns the mirrored entry under key and whether there is one. It waits for the first list of the store until
// ctx ends, and fails with kvstore.ErrUnavailable if the store does not answer.
func (m *Mirror) Lookup(ctx context.Context, key string) (kvstore.Entry, bool, error) {
	for {
		m.mu.Lock()
		updated, listed, failing := m.updated, m.revision > 0, m.storeFailing
		e, ok := m.held[key]
		m.mu.Unlock()
		switch {
		case listed:
			return e, ok, nil
		case failing:
			return kvstore.Entry{}, false, kvstore.ErrUnavailable
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return kvstore.Entry{}, false, ctx.Err()
		}
	}
}

// entries returns the entries under a prefix in order of key. The caller holds mu.
func (m *Mirror) entries(prefix string) []kvstore.Entry {
	var list []kvstore.Entry
	for key, e := range m.held {
		if strings.HasPrefix(key, prefix) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b kvstore.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// localWatchWait is how long Watch waits for a change before it returns without one.
const localWatchWait = 2 * time.Second

// Watch waits for changes of keys that start with prefix after a revision, for two seconds at most. It fails with
// kvstore.ErrCompacted if the mirror no longer has these changes, and with kvstore.ErrUnavailable if there is none and
// the store has not confirmed the revision for longer than OutageThreshold.
func (m *Mirror) Watch(ctx context.Context, prefix string, after kvstore.Revision) ([]kvstore.Change, kvstore.Revision, error) {
	timer := time.NewTimer(localWatchWait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		updated, revision, confirmedAt := m.updated, m.completeRevision(prefix), m.confirmedAt
		latest, whole := m.changesAfter(after, revision)
		changes := m.heldChanges(latest)
		m.mu.Unlock()
		if whole {
			return nil, 0, kvstore.ErrCompacted
		}
		changes = slices.DeleteFunc(changes, func(c kvstore.Change) bool { return !strings.HasPrefix(c.Key, prefix) })
		if len(changes) > 0 {
			return changes, revision, nil
		}
		select {
		case <-updated:
		case <-timer.C:
			if time.Since(confirmedAt) > m.timing.OutageThreshold {
				return nil, 0, kvstore.ErrUnavailable
			}
			return nil, max(after, revision), nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// changesAfter returns the latest change of each key after a revision and up to another one. If the mirror no longer has all changes, it
// sets whole instead: the whole list is needed. That is also so for a revision of an earlier era that this mirror never had. The
// caller holds mu and may keep the slice.
func (m *Mirror) changesAfter(after, upTo kvstore.Revision) (changes []keyChange, whole bool) {
	earlierEra := after.Era() < m.revision.Era()
	if after < m.changesFrom || earlierEra && (after > m.eraEnd || after.Era() != m.eraEnd.Era()) {
		return nil, true
	}
	from, to := m.firstChangeAfter(after), m.firstChangeAfter(upTo)
	if from >= to {
		return nil, false
	}
	return latestByKey(m.changes[from:to], func(c keyChange) string { return c.key }), false
}

// firstChangeAfter returns the index of the first change after a revision. The caller holds mu.
func (m *Mirror) firstChangeAfter(r kvstore.Revision) int {
	i, _ := slices.BinarySearchFunc(m.changes, r+1, func(c keyChange, r kvstore.Revision) int { return cmp.Compare(c.revision, r) })
	return i
}

// heldChanges returns changes with the values that are held. The caller holds mu.
func (m *Mirror) heldChanges(latest []keyChange) []kvstore.Change {
	changes := make([]kvstore.Change, len(latest))
	for i, c := range latest {
		changes[i] = kvstore.Change{Entry: m.held[c.key], Deleted: c.deleted}
		changes[i].Key, changes[i].Revision = c.key, c.revision
	}
	return changes
}

// latestByKey returns the latest change of each key, in order of revision. Followers do not need the earlier ones, and
// frequent changes of one key with a large value could fill slow links.
func latestByKey[C any](changes []C, key func(C) string) []C {
	last := make(map[string]int, len(changes))
	for i, c := range changes {
		last[key(c)] = i
	}
	kept := make([]C, 0, len(last))
	for i, c := range changes {
		if last[key(c)] == i {
			kept = append(kept, c)
		}
	}
	return kept
}

// This file defines how a mirror receives changes: from the store and from other nodes.

package mirror

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/base/progress"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
)

const pathFollow = "/mirror/follow"

// MaxSources is how many nodes a node follows at a time, without a substitute.
const MaxSources = 2

// batchDelay is how long a node waits after an answer of the store before its next call, since each call has a price
// and changes come in bursts.
const batchDelay = 80 * time.Millisecond

// idleWait is how long a loop of Run that has nothing to do waits before it checks again.
const idleWait = 50 * time.Millisecond

// firstListWait is how long a loop that waits for the first list or for a source waits before it checks again. It is
// well below SourceGrace, so that a node that starts follows its sources before it would watch the store.
const firstListWait = 20 * time.Millisecond

// followRequest requests the changes after a revision.
type followRequest struct {
	After         kvstore.Revision `json:"after"`
	WaitMs        int64            `json:"waitMs"`
	SourceFailing bool             `json:"blind,omitempty"` // StoreFailing of the last answer
	ValuesApart   bool             `json:"apart,omitempty"` // the sender fetches large values by itself; nodes up to 6404eb4 do not
}

// followAnswer is what a follower at a revision lacks.
type followAnswer struct {
	Revision     kvstore.Revision `json:"revision"` // 0 before the answering node's first list
	Whole        bool             `json:"whole,omitempty"`
	Entries      []kvstore.Entry  `json:"entries,omitempty"` // the whole list if Whole is set
	Changes      []kvstore.Change `json:"changes,omitempty"`
	Values       []valueRef       `json:"values,omitempty"` // large values among the entries or changes; only if ValuesApart was set
	AgeMs        int64            `json:"ageMs"`            // since the store confirmed Revision
	HeldMs       int64            `json:"heldMs,omitempty"` // since the answering node received the request
	StoreFailing bool             `json:"blind,omitempty"`  // the answering node's last call to the store failed
}

// Mount adds the handler of messages from other nodes to the router of the node-to-node listener.
func (m *Mirror) Mount(r chi.Router) {
	node.Handle(r, pathFollow, m.handleFollow)
	m.values.Mount(r)
}

// Run keeps the mirror current until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.watchStore(ctx) })
	if m.peers != nil {
		for i := range MaxSources {
			group.Go(func() error { return m.followSource(ctx, i) })
		}
		group.Go(func() error { return m.followSubstitute(ctx) })
		group.Go(func() error { return m.fetchValues(ctx) })
	}
	group.Go(func() error { return m.logStoreContact(ctx) })
	return group.Wait()
}

// watchStore watches the store while mustWatchStore reports true.
func (m *Mirror) watchStore(ctx context.Context) error {
	for ctx.Err() == nil {
		if !m.mustWatchStore() {
			pause.For(ctx, idleWait)
			continue
		}
		start := time.Now()
		err := m.readStore(ctx)
		m.recordStoreCall(start, err != nil, m.isWatcher())
		m.logGivenUp(netip.AddrPort{}, err)
		switch {
		case err != nil:
			pause.For(ctx, m.retryWait())
		case m.isWatcher():
			pause.For(ctx, batchDelay)
		default:
			pause.For(ctx, m.timing.FallbackDelay)
		}
	}
	return nil
}

// lacksStore reports whether followers should not rely on this node because its calls to the store fail. A node that does
// not watch for others calls the store only while no node that it follows confirms the data; the last failure no longer
// counts once one does. A substitute does not count: it may itself rely on this node's followers. The caller holds mu.
func (m *Mirror) lacksStore() bool {
	return m.storeFailing && (m.watches || !slices.Contains(m.confirming[:], true))
}

// recordStoreCall records whether the last call to the store, sent at start, failed. It wakes the followers when calls begin to
// fail.
func (m *Mirror) recordStoreCall(start time.Time, failing, watcher bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watches = watcher
	if !failing {
		m.storeAnswered = start
	}
	if failing && !m.storeFailing {
		m.wakeWaiters()
	}
	m.storeFailing = failing
}

// mustWatchStore reports whether this node watches the store now: as a watcher or without peers, before its first list,
// while its last confirmation is older than MaxConfirmationAge, or while no node that it follows confirms the store's
// data, unless a large answer is arriving, which the store would send once more. Nodes that start at the same time first
// give their sources SourceGrace to answer, since the sources may start with them.
func (m *Mirror) mustWatchStore() bool {
	if m.isReceivingBulk() {
		return m.isWatcher()
	}
	state := m.State()
	age := time.Since(state.ConfirmedAt)
	if state.Revision == 0 || age > m.timing.MaxConfirmationAge || m.isWatcher() {
		return true
	}
	return age > m.timing.SourceGrace && !m.sourceConfirms()
}

// isWatcher reports whether the node watches the store for others, or has none to follow.
func (m *Mirror) isWatcher() bool {
	if m.peers == nil {
		return true
	}
	follow, watcher := m.peers.Sources()
	return watcher || len(follow) == 0
}

// sourceConfirms reports whether a followed node confirms the store's data.
func (m *Mirror) sourceConfirms() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.confirming[:], true)
}

func (m *Mirror) setConfirming(i int, confirming bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirming[i] = confirming
}

func (m *Mirror) retryWait() time.Duration {
	return pause.Between(m.timing.RetryMin, m.timing.RetryMax)
}

// readStore reads the list if there is none yet, and waits for changes otherwise.
func (m *Mirror) readStore(ctx context.Context) error {
	state := m.State()
	if state.Revision == 0 {
		return m.listStore(ctx)
	}
	start := time.Now()
	changes, revision, err := m.store.Watch(ctx, m.prefix, state.Revision)
	if errors.Is(err, kvstore.ErrCompacted) {
		return m.listStore(ctx)
	}
	if err != nil {
		return err
	}
	m.applyChanges(changes, revision, m.answeredAt(start, time.Now()))
	m.fresh(start)
	return nil
}

// answerDelay is how long an answer of the store may be on its way; a slow store takes some hundred milliseconds.
const answerDelay = 100 * time.Millisecond

// answeredAt returns when the store sent the answer, read at now, to a call that was sent at start. The answer may have
// waited while the process was stopped.
func (m *Mirror) answeredAt(start, now time.Time) time.Time {
	m.mu.Lock()
	arrived := m.stalls.Arrival(now)
	m.mu.Unlock()
	at := arrived.Add(-answerDelay)
	if at.Before(start) {
		return start
	}
	return at
}

// tick records that the process runs.
func (m *Mirror) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stalls.Tick(now)
}

func (m *Mirror) listStore(ctx context.Context) error {
	start := time.Now()
	entries, revision, err := m.store.List(ctx, m.prefix)
	if err != nil {
		return err
	}
	m.applyList(entries, revision, start)
	m.fresh(start)
	return nil
}

// followSource follows the source with index i of Peers.Sources while there is one. The first request to a source does
// not wait for a change, so that the source confirms the data immediately.
func (m *Mirror) followSource(ctx context.Context, i int) error {
	sourceFailing := false
	var last netip.AddrPort // source of the last answer
	for ctx.Err() == nil {
		if m.isReceivingBulk() {
			pause.For(ctx, firstListWait)
			continue
		}
		follow, _ := m.peers.Sources()
		if i >= len(follow) || m.awaitsFirstList() {
			m.setConfirming(i, false)
			pause.For(ctx, firstListWait)
			continue
		}
		wait := m.timing.FollowWait
		if follow[i] != last {
			wait = 0
		}
		answer, confirmedAt, err := m.followOnce(ctx, follow[i], wait, sourceFailing)
		last = follow[i]
		if err != nil {
			last = netip.AddrPort{}
		}
		sourceFailing = answer.StoreFailing
		current := err == nil && !sourceFailing && answer.Revision.Era() >= m.State().Revision.Era()
		m.setConfirming(i, current && time.Since(confirmedAt) < m.timing.MaxConfirmationAge)
		if err != nil {
			pause.For(ctx, m.retryWait())
		}
	}
	return nil
}

// awaitsFirstList reports whether the node still reads its first list from the store. It follows other nodes once it has
// a list, or if the store does not answer. If the watchers sent the whole list to all nodes of a fleet that starts,
// they would fill their links.
func (m *Mirror) awaitsFirstList() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision == 0 && !m.storeFailing
}

// followOnce requests the changes from a node once and applies them. It also returns a lower bound of the time at which the
// store confirmed them.
func (m *Mirror) followOnce(ctx context.Context, addr netip.AddrPort, wait time.Duration, sourceFailing bool) (answer followAnswer, confirmedAt time.Time, err error) {
	req := followRequest{After: m.State().Revision, WaitMs: wait.Milliseconds(), SourceFailing: sourceFailing, ValuesApart: true}
	start := time.Now()
	var arrival progress.Arrival
	client := m.client.Derive(
		node.WithArrivals(func(_ netip.AddrPort, a progress.Arrival) { arrival = a }), node.WithCheck(m.checkBulk(addr, req.After)))
	defer m.endBulk(addr)
	answer, err = node.Call[followRequest, followAnswer](ctx, client, addr, pathFollow, req)
	if err != nil {
		m.logGivenUp(addr, err)
		return answer, time.Time{}, err
	}
	defer func() { m.logLargeAnswer(addr, arrival, time.Since(start)) }()
	if answer.Revision == 0 {
		return answer, time.Time{}, kvstore.ErrUnavailable
	}
	if delay := time.Since(start) - milliseconds(answer.HeldMs); delay > lateAnswer {
		event.Log(m.log, event.ConfirmationDelayed, event.Fields{"from": addr.String(), "delayMs": delay.Milliseconds(), "ageMs": answer.AgeMs})
	}
	// The source received the request at start at the earliest, so the store confirmed the data then or later. A time counted
	// back from now would ignore how long the answer was on its way.
	at := start.Add(milliseconds(answer.HeldMs - answer.AgeMs))
	if answer.Whole {
		m.applyList(answer.Entries, answer.Revision, at, answer.Values...)
	} else {
		m.applyChanges(answer.Changes, answer.Revision, at, answer.Values...)
	}
	if time.Since(at) <= m.timing.MaxConfirmationAge {
		m.fresh(start)
	}
	return answer, at, nil
}

// lateAnswer is the time on the way from which an answer of a followed node is logged: several round trips.
const lateAnswer = 250 * time.Millisecond

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// handleFollow answers a follower when there is a change that it lacks, when the store has confirmed the held revision,
// when calls to the store begin to fail, or after the follower's wait.
func (m *Mirror) handleFollow(ctx context.Context, from node.Sender, req followRequest) (followAnswer, error) {
	received := time.Now()
	timer := time.NewTimer(min(milliseconds(req.WaitMs), m.timing.FollowWait))
	defer timer.Stop()
	notified := m.lastNotified()
	for {
		m.mu.Lock()
		answer, updated, confirmed := m.answerAfter(req, received), m.updated, m.notifiedAt.After(notified)
		m.mu.Unlock()
		var turn <-chan time.Time
		if !req.ValuesApart {
			wait, hold, withheld := m.withhold(&answer, from.Name, req, received)
			if withheld && wait <= 0 {
				return answer, nil // the follower requests the large changes again, now with all of its time
			}
			if withheld {
				confirmed, turn = false, time.After(wait)
			}
			if hold > 0 {
				timer.Reset(hold - time.Since(received))
			}
		}
		if answer.Whole || len(answer.Changes)+len(answer.Values) > 0 || answer.StoreFailing && !req.SourceFailing || confirmed {
			return answer, nil
		}
		select {
		case <-updated:
		case <-turn:
		case <-timer.C:
			m.mu.Lock()
			defer m.mu.Unlock()
			if turn != nil {
				return m.partialAnswer(from.Name, Follower{}, req, received), nil
			}
			return m.answerAfter(req, received), nil
		case <-ctx.Done():
			return followAnswer{}, ctx.Err()
		}
	}
}

func (m *Mirror) lastNotified() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.notifiedAt
}

// answerAfter returns what a follower lacks, in answer to a request that was received at a time. The caller holds mu.
func (m *Mirror) answerAfter(req followRequest, received time.Time) followAnswer {
	revision, confirmedAt := m.revision, m.confirmedAt
	if !req.ValuesApart {
		revision, confirmedAt = m.completeRevision(""), m.completeAt
	}
	now := time.Now()
	answer := followAnswer{
		Revision: revision, AgeMs: now.Sub(confirmedAt).Milliseconds(), HeldMs: now.Sub(received).Milliseconds(),
		StoreFailing: m.lacksStore(),
	}
	if m.revision == 0 {
		answer.AgeMs = 0
		return answer
	}
	changes, whole := m.changesAfter(req.After, revision)
	switch {
	case whole && req.ValuesApart:
		answer.Whole = true
		answer.Entries, answer.Values = m.entriesApart()
	case whole:
		answer.Whole, answer.Entries = true, m.entries("")
	case req.ValuesApart:
		answer.Changes, answer.Values = m.changesApart(changes)
	default:
		answer.Changes = m.heldChanges(changes)
	}
	return answer
}

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
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
)

// This file defines where a mirror's changes come from: the store, and other nodes.

const pathFollow = "/mirror/follow"

// maxSources is how many nodes a node follows at a time.
const maxSources = 2

// batchGap is how long a node waits after an answer of the store before it asks again, since each call is priced and
// changes come in bursts.
const batchGap = 80 * time.Millisecond

// idlePause is how long a part waits that has nothing to do now.
const idlePause = 50 * time.Millisecond

// followRequest asks for what changed after a revision.
type followRequest struct {
	After  kvstore.Revision `json:"after"`
	WaitMs int64            `json:"waitMs"`
	Blind  bool             `json:"blind,omitempty"` // as the last answer said
}

// followAnswer brings a follower up to date.
type followAnswer struct {
	Revision kvstore.Revision `json:"revision"` // 0 when the answering node knows nothing
	Whole    bool             `json:"whole,omitempty"`
	Entries  []kvstore.Entry  `json:"entries,omitempty"` // the whole list when Whole
	Changes  []kvstore.Change `json:"changes,omitempty"`
	AgeMs    int64            `json:"ageMs"`           // since the store vouched for Revision
	Blind    bool             `json:"blind,omitempty"` // the answering node's last call to the store failed
}

// Mount registers the messages that other nodes send.
func (m *Mirror) Mount(r chi.Router) { node.Handle(r, pathFollow, m.handleFollow) }

// Run keeps the mirror current until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.watchStore(ctx) })
	if m.peers != nil {
		for slot := range maxSources {
			group.Go(func() error { return m.followNodes(ctx, slot) })
		}
	}
	group.Go(func() error { return m.reportContact(ctx) })
	return group.Wait()
}

// Watches the store for as long as this node is a watcher or those that it follows do not vouch for the store.
func (m *Mirror) watchStore(ctx context.Context) error {
	for ctx.Err() == nil {
		if !m.mustWatch() {
			pause.For(ctx, idlePause)
			continue
		}
		err := m.readStore(ctx)
		m.setBlind(err != nil)
		if err != nil {
			pause.For(ctx, m.retryWait())
		} else {
			pause.For(ctx, batchGap)
		}
	}
	return nil
}

// Notes whether the last call to the store failed, and tells the followers at once when it did.
func (m *Mirror) setBlind(blind bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if blind && !m.blind {
		m.wake()
	}
	m.blind = blind
}

func (m *Mirror) mustWatch() bool {
	state := m.State()
	if m.peers == nil || state.Revision == 0 || time.Since(state.ConfirmedAt) > m.timing.MaxConfirmationAge {
		return true
	}
	_, watcher := m.peers.Sources()
	return watcher || !m.vouchedFor()
}

// Reports whether a followed node vouches for the store.
func (m *Mirror) vouchedFor() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.sound[:], true)
}

func (m *Mirror) setSound(slot int, sound bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sound[slot] = sound
}

func (m *Mirror) retryWait() time.Duration {
	return pause.Between(m.timing.RetryMin, m.timing.RetryMax)
}

// Reads the list when there is none, or waits for changes.
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
	// The store held the call until a moment ago.
	at := time.Now().Add(-answerDelay)
	if at.Before(start) {
		at = start
	}
	m.take(changes, revision, at)
	return nil
}

// answerDelay is what an answer of the store may take on its way; a slow store takes some hundred milliseconds.
const answerDelay = 100 * time.Millisecond

func (m *Mirror) listStore(ctx context.Context) error {
	start := time.Now()
	entries, revision, err := m.store.List(ctx, m.prefix)
	if err != nil {
		return err
	}
	m.replace(entries, revision, start)
	return nil
}

// Follows the source of one slot while there is one.
func (m *Mirror) followNodes(ctx context.Context, slot int) error {
	blind := false
	for ctx.Err() == nil {
		follow, _ := m.peers.Sources()
		if slot >= len(follow) || m.readsList() {
			m.setSound(slot, false)
			pause.For(ctx, idlePause)
			continue
		}
		answer, err := m.followNode(ctx, follow[slot], blind)
		blind = answer.Blind
		m.setSound(slot, err == nil && !blind && answer.AgeMs < m.timing.MaxConfirmationAge.Milliseconds())
		if err != nil {
			pause.For(ctx, m.retryWait())
		}
	}
	return nil
}

// Reports whether the node reads its first list from the store now. It follows others once it has one, or when the store
// does not answer: whole lists from the watchers to all nodes of a fleet that starts would fill their links.
func (m *Mirror) readsList() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision == 0 && !m.blind
}

// Asks a node once for what changed, and takes it.
func (m *Mirror) followNode(ctx context.Context, addr netip.AddrPort, blind bool) (followAnswer, error) {
	req := followRequest{After: m.State().Revision, WaitMs: m.timing.FollowWait.Milliseconds(), Blind: blind}
	answer, err := node.Call[followRequest, followAnswer](ctx, m.client, addr, pathFollow, req)
	if err != nil {
		return answer, err
	}
	if answer.Revision == 0 {
		return answer, kvstore.ErrUnavailable
	}
	at := time.Now().Add(-time.Duration(answer.AgeMs) * time.Millisecond)
	if answer.Whole {
		m.replace(answer.Entries, answer.Revision, at)
		return answer, nil
	}
	m.take(answer.Changes, answer.Revision, at)
	return answer, nil
}

// Answers a follower when the store has vouched for what it holds, when there is news for it, or after its wait.
func (m *Mirror) handleFollow(ctx context.Context, _ node.Sender, req followRequest) (followAnswer, error) {
	timer := time.NewTimer(min(time.Duration(req.WaitMs)*time.Millisecond, m.timing.FollowWait))
	defer timer.Stop()
	told := m.lastTold()
	for {
		m.mu.Lock()
		answer, news, vouched := m.answer(req.After), m.news, m.told.After(told)
		m.mu.Unlock()
		if answer.Whole || len(answer.Changes) > 0 || answer.Blind && !req.Blind || vouched {
			return answer, nil
		}
		select {
		case <-news:
		case <-timer.C:
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.answer(req.After), nil
		case <-ctx.Done():
			return followAnswer{}, ctx.Err()
		}
	}
}

func (m *Mirror) lastTold() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.told
}

// Returns what a follower at a revision lacks. The caller holds mu.
func (m *Mirror) answer(after kvstore.Revision) followAnswer {
	answer := followAnswer{Revision: m.revision, AgeMs: time.Since(m.contact).Milliseconds(), Blind: m.blind}
	if m.revision == 0 {
		answer.AgeMs = 0
		return answer
	}
	answer.Changes, answer.Whole = m.since(after)
	if answer.Whole {
		answer.Entries = m.entries("")
	}
	return answer
}

// Logs when word of the store is lost and regained.
func (m *Mirror) reportContact(ctx context.Context) error {
	lost := false
	for pause.For(ctx, idlePause) {
		state := m.State()
		age := time.Since(state.ConfirmedAt)
		if now := age > m.timing.MaxConfirmationAge; now != lost {
			lost = now
			ev := event.StoreRegained
			if lost {
				ev = event.StoreLost
			}
			event.Log(m.log, ev, event.Fields{"revision": state.Revision, "ageMs": age.Milliseconds()})
		}
	}
	return nil
}
